package scale

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"

	"nettlefold/internal/charter"
	"nettlefold/internal/fleet/control"
	"nettlefold/internal/fleet/relay"
	"nettlefold/internal/protocol"
)

// session follows the relays as a mixer does, until the context ends.
func (m *hollow) session(ctx context.Context) {
	region, zone := place(m.index)
	s := m.h.spec
	c := relay.Client{Seats: s.Seats, Self: control.Self{Name: mixerName(m.index), Region: region, Zone: zone}, Window: s.Window,
		Seed: rand.Uint64(), Apply: m.apply, Dial: m.wires.dial, Log: m.h.log}
	if err := c.Run(ctx); err != nil {
		m.h.log.Error("a hollow mixer does not run", "mixer", m.index, "error", err)
	}
}

// revise reads and checks a version whole, as a mixer does.
func (m *hollow) revise(document json.RawMessage) (protocol.Config, error) {
	return m.begin.Revise(document)
}

// adopt has the module take it.
func (m *hollow) adopt(c protocol.Config) { m.router.Adopt(c.Charter, c.Limits.Open) }

// fault gives element and value of a rejection.
func fault(err error) (element, value string) {
	if f, ok := errors.AsType[*charter.Fault](err); ok {
		return f.Key, f.Value
	}
	return "", err.Error()
}
