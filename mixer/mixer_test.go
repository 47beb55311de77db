package mixer

import (
	"math"
	"slices"
	"testing"
)

func TestLeastCountedFirst(t *testing.T) {
	w := start(t, 1, 3, func(c *Config) { c.Cells = 1 })
	for i, want := range []int{1, 2, 3, 6} {
		w.take(0, []int{1, 1, 1, 3}[i], 0, 4000*ms, false)
		if counts, sum := w.counts(); sum != want || slices.Max(counts) != (want+2)/3 {
			t.Errorf("after lookup %d counts are %v, want %d spread evenly", i, counts, want)
		}
	}
}

func TestAnyOfAsksJustEnough(t *testing.T) {
	w := start(t, 2, 6, func(c *Config) { c.Tariffs[0].CompleteFrom, c.Tariffs[0].LeastShare = 0.6, 0.6 })
	l := w.take(0, 10, 0, 4000*ms, false)
	_, sent := w.counts()
	w.run(w.now + 2000*ms)
	if sent != 6 || !l.answeredWhole {
		t.Errorf("asked %d of 10 parts, want 6; answered whole: %t", sent, l.answeredWhole)
	}
}

func TestPartsShareACall(t *testing.T) {
	w := start(t, 3, 1, func(c *Config) { c.Cells, c.PerCall = 1, 4 })
	w.take(0, 6, 0, 4000*ms, false)
	if s := w.m.searchers["box0"]; s.calls != 2 || s.parts != 6 {
		t.Errorf("6 parts to one searcher made %d calls with %d parts, want 2 with 6", s.calls, s.parts)
	}
}

func TestSecondStep(t *testing.T) {
	w := start(t, 4, 6, func(c *Config) { c.Tariffs[0].SecondStep = 5 })
	l := w.take(0, 3, 0, 4000*ms, false)
	w.run(w.now + 4000*ms)
	if len(l.steps) != 2 || len(l.steps[1]) != 3 || !l.ended || w.answers != 2 {
		t.Errorf("steps %v, %d answers", l.steps, w.answers)
	}
}

func TestOverloadIsTurnedAwayAtOnce(t *testing.T) {
	w := start(t, 7, 6, nil)
	w.warmUp(5)
	before := w.answers
	for range 600 { // three times what six searchers bear
		w.take(0, 4, 0, 4000*ms, false)
		w.run(w.now + 11*ms)
	}
	w.run(w.now + 5000*ms)
	served := w.answers - before
	if most := 600 / 3; served < most*3/4 {
		t.Errorf("%d of 600 lookups served, %d could be", served, most)
	}
}

func TestMarkedRepeatOutOfTimeIsTurnedAway(t *testing.T) {
	w := start(t, 8, 6, nil)
	if late, in := w.take(0, 2, 0, 1500*ms, true), w.take(0, 2, 0, 3500*ms, true); !late.ended || in.ended {
		t.Error("a repeat whose expected time has passed was taken, or one with time left turned away")
	}
}

// Sixty mixers that all ask at the same moments, some seconds apart, send a newcomer, in the mean of forty such fleets and up to any
// moment, no more than their margin of what it has borne by then; and whatever chance and the seconds between add, in no
// second of any fleet more than N + 2 root N + 2, N being what it bears.
func TestManyMixersSpareANewcomer(t *testing.T) {
	worst, mean := 0.0, map[int64]float64{}
	for fleet := range int64(40) {
		over, sent := newcomerOf(t, 100+1000*fleet)
		worst = max(worst, over)
		for second, in := range sent {
			mean[second] += in / 40
		}
	}
	sum := 0.0
	for second := range int64(10) {
		sum += mean[second]
		if s := float64(second); sum > coldMargin*2*20*(0.2*s+0.8*s*s/20) {
			t.Errorf("in the mean of 40 fleets a newcomer got %.1f parts up to %d s, it bears %.1f", sum, second, 2*20*(0.2*s+0.8*s*s/20))
		}
	}
	if worst > 1 {
		t.Errorf("in the worst of 40 fleets a newcomer got %.2f of the rule's bound in a second", worst)
	}
}

// newcomerOf plays one fleet of 60. It gives the most that its newcomer was sent within a second over the rule's bound, and for each
// second of its age how many parts it was sent in it.
func newcomerOf(t *testing.T, from int64) (over float64, seconds map[int64]float64) {
	seconds = map[int64]float64{}
	var sent []int64
	for seed := range int64(60) {
		w := start(t, from+seed, 2, func(c *Config) { c.Cells, c.Mixers = 1, 60 })
		for range 5 {
			w.take(0, 2, 0, 4000*ms, false)
			w.run(w.now + 6000*ms)
		}
		newcomer := Entry{Searcher: "box2", Started: w.now}
		w.list(false, newcomer)
		for range 3 { // all mixers would use it at once
			w.take(0, 3, 0, 4000*ms, false)
			w.run(w.now + 3000*ms)
		}
		sent = append(sent, w.cold[newcomer]...)
	}
	slices.Sort(sent)
	for i, at := range sent {
		age := at - 1e15 - 30000*ms
		bears := 2 * 20 * (0.2 + 0.8*float64(age)/float64(10000*ms))
		in := since(sent[:i+1], at-1000*ms)
		over = max(over, in/(bears+2*math.Sqrt(bears)+2))
		seconds[age/(1000*ms)]++
	}
	if len(sent) < 10 {
		t.Errorf("a newcomer was sent %d parts while cold", len(sent))
	}
	return over, seconds
}

func TestColdFleetIsBegun(t *testing.T) {
	w := newWorld(t, 17, plain(func(c *Config) { c.Cells = 1 }))
	w.list(true, Entry{Searcher: "box0", Started: w.now}, Entry{Searcher: "box1", Started: w.now})
	if w.warmUp(20); w.answers < 5 {
		t.Errorf("%d of 20 lookups served in 6 s by a fleet that starts", w.answers)
	}
}

// Nothing is left out at searchers once its lookup has ended, neither by an answer nor given up: in a jam it would take the time
// of lookups that can still be in time.
func TestEndedLookupsAreWithdrawn(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		w := start(t, 1, 2, func(c *Config) { c.MayCancel, c.MaxForwards = allowed, 1 })
		w.box["box0"].broken, w.box["box1"].broken = 3, 1 // one fails for good while the other is still waited for
		l := w.take(0, 2, 0, 4000*ms, false)
		if w.run(w.now + 260*ms); !l.ended {
			t.Fatal("a lookup with a part that has no forward left is sat on")
		}
		if out := len(w.m.searchers["box1"].out); l.answeredWhole || (out == 0) != allowed {
			t.Errorf("withdrawals allowed %v: %d forwards are out at a silent searcher", allowed, out)
		}
	}
}
