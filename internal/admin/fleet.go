package admin

import (
	"fmt"
	"net/http"
	"time"

	"nettlefold/internal/fleet/roster"
)

// Fleet is what GET /fleet reports: the members of the fleet and the tables shared with them.
type Fleet struct {
	Roster interface {
		Self() roster.Life
		Members() []roster.Member
		Now() int64 // in ns, on the clock of the times of the members
	}
	Tables []Table
}

// Table is a named table that this mixer shares with others. Read returns its current state.
type Table struct {
	Name string
	Read func() any
}

// memberStatus is the JSON form of a member of the fleet.
type memberStatus struct {
	Name             string `json:"name"`
	Life             string `json:"life"` // incarnation ID of the process, hexadecimal
	Site             string `json:"site"`
	Build            string `json:"build"`
	State            string `json:"state"`
	Why              string `json:"why,omitempty"` // why the member is gone
	Term             uint32 `json:"term"`          // incarnation number
	SinceHeardMillis int64  `json:"heard_ms"`      // time since the last message from it; 0 for this mixer, -1 if never
	InStateMillis    int64  `json:"state_ms"`      // time in its current state
}

// tableStatus is the JSON form of a Table.
type tableStatus struct {
	Name  string `json:"name"`
	State any    `json:"state"`
}

// fleetStatus is the JSON body of GET /fleet.
type fleetStatus struct {
	Self    memberStatus   `json:"self"`
	Members []memberStatus `json:"members"` // including this mixer
	Tables  []tableStatus  `json:"tables"`
}

// status returns the current state of the fleet and its tables.
func (f *Fleet) status() fleetStatus {
	status := fleetStatus{Tables: []tableStatus{}}
	now, self := f.Roster.Now(), f.Roster.Self()
	millisSince := func(at int64) int64 { return max(0, time.Duration(now-at).Milliseconds()) }
	for _, m := range f.Roster.Members() {
		member := memberStatus{Name: m.Name, Life: fmt.Sprintf("%016x", m.Life.Life), Site: m.Site, Build: m.Build,
			State: m.State.String(), Why: m.Why.String(), Term: m.Term, SinceHeardMillis: -1,
			InStateMillis: millisSince(m.At)}
		if m.Heard > 0 {
			member.SinceHeardMillis = millisSince(m.Heard)
		}
		if m.Life.Life == self.Life {
			member.SinceHeardMillis = 0
			status.Self = member
		}
		status.Members = append(status.Members, member)
	}
	for _, t := range f.Tables {
		status.Tables = append(status.Tables, tableStatus{t.Name, t.Read()})
	}
	return status
}

// serveFleet handles GET /fleet.
func (s *Server) serveFleet(w http.ResponseWriter, _ *http.Request) {
	if s.Fleet == nil {
		http.Error(w, "no fleet is set", http.StatusNotFound)
		return
	}
	writeJSON(w, s.Fleet.status())
}
