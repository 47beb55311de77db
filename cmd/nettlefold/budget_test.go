package main

import (
	"strings"
	"testing"
)

// TestBudgetOfConnections has fewer idle connections allowed than there are searchers; what becomes of them is told on the admin
// listener, and the budget among the settings in force.
func TestBudgetOfConnections(t *testing.T) {
	w := prepare(t)
	const admin = "127.78.1.9:19090"
	w.own(admin, `<connections open="64" idle="1" handshakes="400"/>`)
	w.start()
	if n := w.satisfied("a", 6); n != 6 {
		t.Errorf("%d of 6 lookups were answered whole", n)
	}
	w.until("one connection is kept", func() bool { return w.conns() == 1 })
	told := fetch("http://" + admin + "/metrics")
	for _, want := range []string{"connections_open 1\n", "connections_idle 1\n", `connections_closed_total{reason="fault"} 0`,
		`connections_refused_total{bound="handshakes"} 0`} {
		if !strings.Contains(told, "nettlefold_"+want) {
			t.Errorf("no %s in %.2000s", want, told)
		}
	}
	if strings.Contains(told, `nettlefold_connections_closed_total{reason="place"} 0`) {
		t.Error("nothing was closed for another's place")
	}
	if got := fetch("http://" + admin + "/settings"); !strings.Contains(got, `"Connections":{"Open":64,"Idle":1,"Handshakes":400}`) {
		t.Errorf("settings in force: %.2000s", got)
	}
}
