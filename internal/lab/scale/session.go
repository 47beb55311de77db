package scale

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

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

// reading is what a process's mixers of one zone make of one version. Their settings are alike, so the first of them reads for
// all: 6,300 readings on one machine would take longer than all that is measured here. Reading tells what one takes.
type reading struct {
	once   sync.Once
	config protocol.Config
	err    error
}

type readKey struct {
	zone    string
	version control.Stamp
}

// revise reads and checks a version whole, as a mixer does.
func (m *hollow) revise(s control.Stamp, document json.RawMessage) (protocol.Config, error) {
	_, zone := place(m.index)
	h, k := m.h, readKey{zone, s}
	h.mu.Lock()
	r := h.read[k]
	if r == nil {
		for len(h.recent) >= 64 {
			delete(h.read, h.recent[0])
			h.recent = h.recent[1:]
		}
		r = &reading{}
		h.read[k], h.recent = r, append(h.recent, k)
	}
	h.mu.Unlock()
	r.once.Do(func() { r.config, r.err = m.begin.Revise(document) })
	return r.config, r.err
}

// Reading gives the processor time that one mixer takes to read a version.
func Reading() (time.Duration, error) {
	c, err := protocol.ReadConfig(started(0, 1))
	if err != nil {
		return 0, err
	}
	const n = 300
	began := spentHere()
	for i := range n {
		if _, err := c.Revise(document(i)); err != nil {
			return 0, err
		}
	}
	return (spentHere() - began) / n, nil
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
