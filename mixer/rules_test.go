package mixer

import (
	"fmt"
	"math/rand"
	"testing"
)

// randomConfig returns a random valid configuration.
func randomConfig(rng *rand.Rand) Config {
	c := Config{
		Mixers: 1 + rng.Intn(4), Cells: 3 + rng.Intn(6), PerCall: 1 + rng.Intn(8), ListAsked: rng.Intn(2) == 0,
		AskWithin: 10000 * ms, MaxForwards: 1 + rng.Intn(5), MayCopy: rng.Intn(3) > 0, MayCancel: rng.Intn(2) == 0,
		MayAdvise: true, MaxAdvice: 1000 * ms, ColdFrom: 0.1 + 0.4*rng.Float64(),
		ColdFor: 10000 * ms, FallMultiple: 2 + rng.Float64(), FallFor: int64(1+rng.Intn(3)) * 1000 * ms,
	}
	c.Reach = 1 + rng.Intn(3)
	c.BudgetFor, c.BudgetFree, c.BudgetShare = 2000*ms*rng.Int63n(2), float64(rng.Intn(5)), 0.3*rng.Float64()
	for i := range 3 {
		t := Tariff{Effect: Effect(i), Expected: 800 * ms, Patience: 2000 * ms, RepeatFor: int64(rng.Intn(1000)) * ms,
			CompleteFrom: 1 - 0.4*float64(rng.Intn(2)), Partial: 0.9, SecondStep: rng.Intn(2) * 3}
		t.LeastShare = t.CompleteFrom * float64(1+rng.Intn(2)) / 2
		c.Tariffs = append(c.Tariffs, t)
	}
	c.Sized, c.OverWorth, c.Allowances = rng.Intn(2) == 0, rng.Float64(), []float64{5, 0}[:rng.Intn(3)]
	return c
}

// FuzzRules runs the mixer in a random simulation, which checks the rules at every step.
func FuzzRules(f *testing.F) {
	for seed := range int64(60) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed int64) { randomRun(t, seed, func(*simulation, []Entry) {}) })
}

// randomRun runs a mixer in a random simulation and returns that at its end. each is called at
// every step.
func randomRun(t *testing.T, seed int64, each func(sim *simulation, all []Entry)) *simulation {
	rng := rand.New(rand.NewSource(seed))
	sim := newSimulation(t, seed, randomConfig(rng))
	sim.secondStepDelay = []int64{5, 300, 5000}[rng.Intn(3)] * ms
	var all []Entry
	for i := range 3 * sim.config.Cells {
		e := Entry{Searcher: fmt.Sprint("box", i), Cell: i % sim.config.Cells, Size: float64(i % 4)}
		if rng.Intn(4) == 0 {
			e.Started = sim.now - rng.Int63n(20000*ms)
		}
		all = append(all, e)
	}
	sim.updateList(true, all...)
	for range 600 {
		e := &all[rng.Intn(len(all))]
		switch rng.Intn(40) {
		case 0:
			sim.searchers[e.Searcher].fault = rng.Intn(6)
		case 1:
			e.Status = Status(rng.Intn(3))
			sim.updateList(false, *e)
		case 2:
			e.Status, e.Started = Live, sim.now
			sim.updateList(false, *e)
		case 3:
			sim.updateList(true, all[rng.Intn(3):]...)
		case 4:
			sim.refusing = !sim.refusing
			sim.mixer.ListFailed(sim.now)
		case 5:
			for id, l := range sim.lookups {
				if !l.ended && id[len(id)-1] == '7' {
					l.ended = true
					l.handle.Abandon(sim.now)
				}
			}
		default:
			patience := []int64{2000 * ms, 1500 * ms, 300 * ms, 5 * ms}[rng.Intn(4)]
			sim.startLookup(rng.Intn(3), 1+rng.Intn(7), rng.Intn(sim.config.Cells), patience, rng.Intn(5) == 0)
		}
		each(sim, all)
		sim.run(sim.now + rng.Int63n(60*ms))
	}
	sim.run(sim.now + 10000*ms)
	for id, l := range sim.lookups {
		if !l.ended {
			t.Errorf("lookup %s: got no final answer", id)
		}
	}
	for id, s := range sim.mixer.searchers {
		if s.callsOut != 0 || s.partsOut != 0 || len(s.inFlight) != 0 {
			t.Errorf("searcher %s at the end: got %d calls, %d parts, %d forwards in flight, want 0 of each",
				id, s.callsOut, s.partsOut, len(s.inFlight))
		}
	}
	return sim
}
