package relay

import (
	"time"

	"nettlefold/internal/fleet/control"
)

// State is how a mixer stands with the control tier, for its admin listener.
type State struct {
	InForce  *control.Stamp      `json:"in_force"`         // nil: the settings of the start
	Since    string              `json:"since,omitempty"`  // RFC 3339, of a version in force
	Relay    string              `json:"relay"`            // "": alone
	Settled  bool                `json:"settled"`          // all that the relay held has been heard
	Heard    int64               `json:"heard_ms"`         // ago, the last word of any relay: how old what is held may be; -1: never
	Rejected *Rejected           `json:"rejected"`         // the last version that was not taken
	Zones    []control.ZoneCount `json:"zones,omitempty"`  // who is there, as the relay tells it
	Failed   string              `json:"failed,omitempty"` // why the last session ended, or could not be opened
}

// Rejected is a version that was not taken, and why.
type Rejected struct {
	control.Stamp
	Element string `json:"element"`
	Value   string `json:"value"`
}

// State may be asked for at any time.
func (c *Client) State() State {
	c.ready.Lock()
	f := c.follower
	c.ready.Unlock()
	if f == nil {
		return State{Heard: -1}
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	now := c.clock()
	s := State{Heard: -1, Failed: c.failed}
	if age, ever := f.Age(now); ever {
		s.Heard = time.Duration(age).Milliseconds()
	}
	if seat, settled := f.Following(); seat != nil {
		s.Relay, s.Settled = seat.Name, settled
		s.Zones = control.Present(f.Table(), seat.Name)
	}
	self, _ := f.Self(now)
	if self.InForce != (control.Stamp{}) {
		s.InForce, s.Since = &self.InForce, c.since.UTC().Format(time.RFC3339Nano)
	}
	if self.Rejected != (control.Stamp{}) {
		s.Rejected = &Rejected{self.Rejected, self.Element, self.Value}
	}
	return s
}
