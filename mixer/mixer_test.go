package mixer

import (
	"math"
	"slices"
	"testing"
)

func TestLeastOutstandingFirst(t *testing.T) {
	sim := startSimulation(t, 1, 3, func(c *Config) { c.Cells = 1 })
	for i, want := range []int{1, 2, 3, 6} {
		sim.startLookup(0, []int{1, 1, 1, 3}[i], 0, 4000*ms, false)
		if counts, sum := sim.callCounts(); sum != want || slices.Max(counts) != (want+2)/3 {
			t.Errorf("calls in flight by searcher after lookup %d: got %v, want %d spread evenly", i, counts, want)
		}
	}
}

func TestForwardsOnlyNeededParts(t *testing.T) {
	sim := startSimulation(t, 2, 6, func(c *Config) { c.Tariffs[0].CompleteFrom, c.Tariffs[0].LeastShare = 0.6, 0.6 })
	l := sim.startLookup(0, 10, 0, 4000*ms, false)
	_, sent := sim.callCounts()
	sim.run(sim.now + 2000*ms)
	if sent != 6 || !l.answeredWhole {
		t.Errorf("got %d of 10 parts forwarded, complete answer %t, want 6 and true", sent, l.answeredWhole)
	}
}

func TestPartsShareCall(t *testing.T) {
	sim := startSimulation(t, 3, 1, func(c *Config) { c.Cells, c.PerCall = 1, 4 })
	sim.startLookup(0, 6, 0, 4000*ms, false)
	if s := sim.mixer.searchers["box0"]; s.callsOut != 2 || s.partsOut != 6 {
		t.Errorf("6 parts to one searcher: got %d calls with %d parts, want 2 with 6", s.callsOut, s.partsOut)
	}
}

func TestSecondStep(t *testing.T) {
	sim := startSimulation(t, 4, 6, func(c *Config) { c.Tariffs[0].SecondStep = 5 })
	l := sim.startLookup(0, 3, 0, 4000*ms, false)
	sim.run(sim.now + 4000*ms)
	if len(l.steps) != 2 || len(l.steps[1]) != 3 || !l.ended || sim.answers != 2 {
		t.Errorf("got steps %v, ended %v, %d answers, want 2 steps of 3 parts, true, 2",
			l.steps, l.ended, sim.answers)
	}
}

func TestOverloadSheds(t *testing.T) {
	sim := startSimulation(t, 7, 6, nil)
	sim.warmUp(5)
	before := sim.answers
	for range 600 { // three times what six searchers can serve
		sim.startLookup(0, 4, 0, 4000*ms, false)
		sim.run(sim.now + 11*ms)
	}
	sim.run(sim.now + 5000*ms)
	served := sim.answers - before
	if most := 600 / 3; served < most*3/4 {
		t.Errorf("got %d of 600 lookups served, want at least %d", served, most*3/4)
	}
}

func TestExpiredRetryRejected(t *testing.T) {
	sim := startSimulation(t, 8, 6, nil)
	if late, in := sim.startLookup(0, 2, 0, 1500*ms, true), sim.startLookup(0, 2, 0, 3500*ms, true); !late.ended || in.ended {
		t.Errorf("retry past its expected time rejected %v, retry with time left rejected %v, want true and false",
			late.ended, in.ended)
	}
}

// Sixty mixers send lookups at the same moments, some seconds apart, while one searcher is cold. In
// the mean of forty such fleets, they must send it at any time no more in total than coldMargin of
// what it can serve by then. In any second of any fleet, chance may add to what it can serve, N, no
// more than 2 sqrt(N) + 2.
func TestColdAllowanceAcrossMixers(t *testing.T) {
	worst, mean := 0.0, map[int64]float64{}
	for fleet := range int64(40) {
		over, sent := playColdFleet(t, 100+1000*fleet)
		worst = max(worst, over)
		for second, in := range sent {
			mean[second] += in / 40
		}
	}
	sum := 0.0
	for second := range int64(10) {
		sum += mean[second]
		if s := float64(second); sum > coldMargin*2*20*(0.2*s+0.8*s*s/20) {
			t.Errorf("cold searcher, mean of 40 fleets: got %.1f parts up to %d s, want at most %.2f of the %.1f it can serve",
				sum, second, coldMargin, 2*20*(0.2*s+0.8*s*s/20))
		}
	}
	if worst > 1 {
		t.Errorf("cold searcher, worst second of 40 fleets: got %.2f of the limit of parts, want at most 1", worst)
	}
}

// playColdFleet runs a fleet of 60 mixers. It returns the most parts that its cold searcher was
// sent within a second over the limit, and the number of parts for each second of its age.
func playColdFleet(t *testing.T, from int64) (over float64, seconds map[int64]float64) {
	seconds = map[int64]float64{}
	var sent []int64
	for seed := range int64(60) {
		sim := startSimulation(t, from+seed, 2, func(c *Config) { c.Cells, c.Mixers = 1, 60 })
		for range 5 {
			sim.startLookup(0, 2, 0, 4000*ms, false)
			sim.run(sim.now + 6000*ms)
		}
		cold := Entry{Searcher: "box2", Started: sim.now}
		sim.updateList(false, cold)
		for range 3 { // all mixers pick it at the same time
			sim.startLookup(0, 3, 0, 4000*ms, false)
			sim.run(sim.now + 3000*ms)
		}
		sent = append(sent, sim.coldSent[cold]...)
	}
	slices.Sort(sent)
	for i, at := range sent {
		age := at - 1e15 - 30000*ms
		canServe := 2 * 20 * (0.2 + 0.8*float64(age)/float64(10000*ms))
		in := countAfter(sent[:i+1], at-1000*ms)
		over = max(over, in/(canServe+2*math.Sqrt(canServe)+2))
		seconds[age/(1000*ms)]++
	}
	if len(sent) < 10 {
		t.Errorf("cold searcher: got %d parts, want at least 10", len(sent))
	}
	return over, seconds
}

func TestColdFleetStart(t *testing.T) {
	sim := newSimulation(t, 17, plainConfig(func(c *Config) { c.Cells = 1 }))
	sim.updateList(true, Entry{Searcher: "box0", Started: sim.now}, Entry{Searcher: "box1", Started: sim.now})
	if sim.warmUp(20); sim.answers < 5 {
		t.Errorf("cold fleet: got %d of 20 lookups served in 6 s, want at least 5", sim.answers)
	}
}

// Forwards still in flight when a lookup ends are cancelled: under overload they would take
// capacity from lookups that can still meet their deadline.
func TestEndedLookupCancelsForwards(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		sim := startSimulation(t, 1, 2, func(c *Config) { c.MayCancel, c.MaxForwards = allowed, 1 })
		sim.searchers["box0"].fault, sim.searchers["box1"].fault = 3, 1 // one fails finally while the other is pending
		l := sim.startLookup(0, 2, 0, 4000*ms, false)
		if sim.run(sim.now + 260*ms); !l.ended {
			t.Fatal("lookup with a part that has no forward left: got no end within 260 ms")
		}
		if inFlight := len(sim.mixer.searchers["box1"].inFlight); l.answeredWhole || (inFlight == 0) != allowed {
			t.Errorf("cancellation allowed %v: got %d forwards in flight at a silent searcher, complete answer %v",
				allowed, inFlight, l.answeredWhole)
		}
	}
}
