package settings

import (
	"slices"
	"testing"

	"nettlefold/internal/conns"
)

// TestBudgetOfConnections reads what may be set of connections; what is not set is not bounded.
func TestBudgetOfConnections(t *testing.T) {
	for name, want := range map[string]conns.Budget{
		"connections": {Open: 4096, Idle: 2048, Handshakes: 500}, "connections-none": {}, "connections-rate": {Handshakes: 1}, "learnt": {},
	} {
		s, err := Load("testdata/good/" + name + ".xml")
		if err != nil || s.Connections != want || s.Connections.Set() != (want != conns.Budget{}) {
			t.Errorf("%s: %+v, %v, want %+v", name, s.Connections, err, want)
		}
		if differs := slices.Contains(s.Differs(Settings{}), "connections"); differs != want.Set() {
			t.Errorf("%s: differs from nothing set: %v", name, differs)
		}
	}
}
