package settings

import (
	"fmt"
	"time"

	"nettlefold/internal/fleet/control"
)

// Control says which relays tell this mixer of settings that are taken in flight, and of who is there.
type Control struct {
	Region string        // of this mixer
	Window time.Duration // over which starts, and comings back after a relay's loss, are spread
	Relays []control.Seat
	Words  bool // what mixers learn of slow and silent searchers is told through the relays

	relay control.Seat // that is read
}

const mostRelays = 16

// DefaultWindow is over which starts and reconnects are spread: a relay that falls silent is noticed within 2.25 s, and a version given then
// is to be in force at its mixers within 6 s (`nettlelab measure control`: 4.3 and 5.4 s at 6,300 with 2 s).
const DefaultWindow = 2 * time.Second

// controlElement is the schema's element control.
func controlElement() *element {
	at := func(f func(*Control, string)) func(*Settings, string) {
		return func(s *Settings, v string) {
			if s.Control == nil {
				s.Control = &Control{Window: DefaultWindow}
			}
			f(s.Control, v)
		}
	}
	return &element{
		attributes: map[string]attribute{
			"words":  may("yes|no", at(func(c *Control, v string) { c.Words = v == "yes" })),
			"region": need(name, at(func(c *Control, v string) { c.Region = v })),
			"window": may("([1-9]|[1-9][0-9]|[1-5][0-9]{2}|600)s|([1-9]|10)m", at(func(c *Control, v string) {
				c.Window, _ = time.ParseDuration(v)
			})),
		},
		within: map[string]*element{
			"relay": {many: true, attributes: map[string]attribute{
				"name":    need(name, at(func(c *Control, v string) { c.relay.Name = v })),
				"region":  need(name, at(func(c *Control, v string) { c.relay.Region = v })),
				"address": need(address, at(func(c *Control, v string) { c.relay.Address = v })),
			}, whole: func(s *Settings, _ int) error { return s.Control.sits() }},
		},
		whole: func(s *Settings, _ int) error {
			if len(s.Control.Relays) == 0 {
				return fmt.Errorf("relay: missing")
			}
			return nil
		},
	}
}

// sits keeps the relay that has been read.
func (c *Control) sits() error {
	for _, r := range c.Relays {
		if r.Name == c.relay.Name {
			return fmt.Errorf("name: %q stands twice", r.Name)
		}
		if r.Address == c.relay.Address {
			return fmt.Errorf("address: %q stands twice", r.Address)
		}
	}
	if len(c.Relays) == mostRelays {
		return fmt.Errorf("name: %q: over %d relays", c.relay.Name, mostRelays)
	}
	c.Relays = append(c.Relays, c.relay)
	c.relay = control.Seat{}
	return nil
}

// Seat is the relay of a name.
func (c *Control) Seat(name string) (control.Seat, error) {
	for _, r := range c.Relays {
		if r.Name == name {
			return r, nil
		}
	}
	return control.Seat{}, fmt.Errorf("control: relay: name: %q is none of the relays", name)
}
