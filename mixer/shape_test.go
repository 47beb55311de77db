package mixer

import "testing"

// Where the list gives sizes, equal searchers without statistics are ordered by size; otherwise
// sizes are ignored.
func TestLargerSearcherFirst(t *testing.T) {
	for _, sized := range []bool{true, false} {
		sim, large := newSimulation(t, 1, plainConfig(func(c *Config) { c.Cells, c.Sized = 1, sized })), 0
		list := entries(40, 1)
		for i := range list {
			list[i].Size = float64(1 + i%2)
		}
		sim.updateList(true, list...)
		sim.warmUp(2)
		sim.startLookup(0, 10, 0, 4000*ms, false)
		counts, _ := sim.callCounts()
		for i, n := range counts {
			large += n * (i % 2)
		}
		if sized && large < 10 || !sized && large > 8 {
			t.Errorf("sizes given %v: got %d of 10 parts at larger searchers, want 10 if given, else at most 8",
				sized, large)
		}
	}
}

// Under overload, a customer beyond its allowance is rejected first, with an advised wait where
// that is allowed.
func TestCustomerOverShareRejectedFirst(t *testing.T) {
	var started, served [2]int
	for seed := range int64(6) {
		sim := startSimulation(t, seed, 2, func(c *Config) {
			c.Cells, c.MayAdvise, c.MaxAdvice = 1, seed%2 == 0, 500*ms
			c.Allowances, c.OverWorth = []float64{10, 10}, 0.1
		})
		sim.warmUp(10)
		var all [2][]*simLookup
		for i := range 1200 {
			customer := min(1, i%6) // the second sends five times as much, and overloads the fleet
			all[customer] = append(all[customer], sim.startLookupOf(customer+1, 0, 1, 0, 4000*ms, false))
			sim.run(sim.now + 17*ms)
		}
		sim.run(sim.now + 4000*ms)
		for customer := range all {
			for _, l := range all[customer] {
				if started[customer]++; l.answeredWhole {
					served[customer]++
				}
			}
		}
	}
	in, beyond := float64(served[0])/float64(started[0]), float64(served[1])/float64(started[1])
	if in < 0.8 || beyond > in-0.2 {
		t.Errorf("share of lookups served: got %.2f within the allowance, %.2f beyond, want at least 0.8 and at least 0.2 less",
			in, beyond)
	}
}

// A lookup that is given up ends at once, whether a wait may be advised or not.
func TestRejectedLookupEndsAtOnce(t *testing.T) {
	for _, advise := range []bool{true, false} {
		sim := startSimulation(t, 5, 1, func(c *Config) { c.Cells, c.MayAdvise, c.MaxAdvice = 1, advise, 500*ms })
		sim.warmUp(10)
		for range 200 {
			before := len(sim.mixer.searchers["box0"].inFlight)
			l := sim.startLookup(0, 1, 0, 4000*ms, false)
			if !l.ended && len(sim.mixer.searchers["box0"].inFlight) == before {
				t.Fatalf("advice allowed %v: lookup without a forward: got no end", advise)
			}
			if l.ended && (l.wait > 0) != advise {
				t.Fatalf("advice allowed %v: rejected with an advised wait of %d ns, want one above 0: %v",
					advise, l.wait, advise)
			}
			sim.run(sim.now + 10*ms)
		}
	}
}

// The statistics of a slow searcher apply in a restored mixer if the same process still runs.
func TestSnapshotRestore(t *testing.T) {
	sim := startSimulation(t, 7, 2, func(c *Config) { c.Cells = 1 })
	sim.searchers["box0"].roundTrip = 600 * ms
	sim.warmUp(10)
	snapshot := sim.mixer.Snapshot(sim.now)
	slow := [2]int{}
	for seed := range int64(10) {
		for restored := range slow {
			v := newSimulation(t, seed, sim.config)
			v.updateList(true, entries(2, 1)...)
			if restored == 1 && v.mixer.Restore(v.now, snapshot) != 2 {
				t.Error("running processes: got fewer than 2 restored, want 2")
			}
			v.startLookup(0, 1, 0, 4000*ms, false)
			slow[restored] += v.mixer.searchers["box0"].partsOut
		}
	}
	if slow[0] == 0 || slow[1] > 0 {
		t.Errorf("first 10 parts at the slow searcher: got %d without a snapshot, %d with it, want above 0 and 0",
			slow[0], slow[1])
	}
	v := newSimulation(t, 1, sim.config)
	v.updateList(true, Entry{Searcher: "box0", Started: 1}, Entry{Searcher: "box1"})
	if restored := v.mixer.Restore(v.now, snapshot); restored != 1 || v.mixer.searchers["box0"].pace.denominator.sum > 0 {
		t.Errorf("got %d processes restored, pace %v for a new process, want 1 and none",
			restored, v.mixer.searchers["box0"].pace)
	}
}
