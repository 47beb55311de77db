package relay

import (
	"fmt"
	"testing"
)

func TestVersionReachesAll(t *testing.T) {
	t.Parallel()
	w := newTier(t, Options{}, "east", "east", "west", "west", "north", "north", "south")
	var mixers []*mixer
	for i := range 20 {
		mixers = append(mixers, w.mixer(fmt.Sprint("m", i), []string{"east", "west", "north", "south"}[i%4]))
	}
	w.met()
	const doc = `{"PolicyLimits":{"MaxOpen":7}}`
	g := w.relays[0].given(t, doc)
	if g.Epoch != 1 || g.Number != 1 || g.Held < 4 {
		t.Errorf("%+v", g)
	}
	for _, m := range mixers {
		until(t, "all have it", func() bool { return m.has() == doc })
	}
	until(t, "the relays know", func() bool {
		n, there := 0, 0
		s := w.relays[3].Status()
		for _, one := range s.Standings {
			for _, v := range one.Versions {
				if v.Stamp == g.Stamp {
					n += v.InForce
				}
			}
		}
		for _, z := range s.Zones {
			there += z.Mixers
		}
		return n == len(mixers) && there == len(mixers) && s.Held == 7
	})
	for i, m := range mixers {
		s := m.State()
		if region := m.Self.Region; s.InForce == nil || *s.InForce != g.Stamp || s.Relay == "" || s.Heard < 0 || s.Since == "" || s.Rejected != nil {
			t.Errorf("mixer %d of %s: %+v", i, region, s)
		}
	}
}
