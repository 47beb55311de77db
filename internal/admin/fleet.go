package admin

import (
	"fmt"
	"net/http"
	"time"

	"nettlefold/internal/fleet/roster"
)

// Fleet is what is told of the other mixers.
type Fleet struct {
	Roster interface {
		Self() roster.Life
		Members() []roster.Member
		Now() int64
	}
	Tables []Table
}

// Table is what one part of the program shares with other mixers, as it stands.
type Table struct {
	Name string
	Read func() any
}

type memberStatus struct {
	Name  string `json:"name"`
	Life  string `json:"life"` // hex
	Site  string `json:"site"`
	Build string `json:"build"`
	State string `json:"state"`
	Why   string `json:"why,omitempty"` // of gone
	Term  uint32 `json:"term"`
	Heard int64  `json:"heard_ms"` // ago; -1: never
	Since int64  `json:"state_ms"` // how long it has been in its state
}

type tableStatus struct {
	Name  string `json:"name"`
	State any    `json:"state"`
}

type fleetStatus struct {
	Self    memberStatus   `json:"self"`
	Members []memberStatus `json:"members"` // this one too
	Tables  []tableStatus  `json:"tables"`
}

func (f *Fleet) status() fleetStatus {
	a := fleetStatus{Tables: []tableStatus{}}
	now, self := f.Roster.Now(), f.Roster.Self()
	ago := func(at int64) int64 { return max(0, time.Duration(now-at).Milliseconds()) }
	for _, m := range f.Roster.Members() {
		one := memberStatus{Name: m.Name, Life: fmt.Sprintf("%016x", m.Life.Life), Site: m.Site, Build: m.Build,
			State: m.State.String(), Why: m.Why.String(), Term: m.Term, Heard: -1, Since: ago(m.At)}
		if m.Heard > 0 {
			one.Heard = ago(m.Heard)
		}
		if m.Life.Life == self.Life {
			one.Heard = 0
			a.Self = one
		}
		a.Members = append(a.Members, one)
	}
	for _, t := range f.Tables {
		a.Tables = append(a.Tables, tableStatus{t.Name, t.Read()})
	}
	return a
}

// fleet answers GET /fleet.
func (s *Server) serveFleet(w http.ResponseWriter, _ *http.Request) {
	if s.Fleet == nil {
		http.Error(w, "no fleet is set", http.StatusNotFound)
		return
	}
	writeJSON(w, s.Fleet.status())
}
