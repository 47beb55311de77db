package mixer

import (
	"testing"
)

func TestFastFailureAvoided(t *testing.T) {
	sim := warmSimulation(t, 5, 3)
	sim.searchers["box1"].fault = 2
	before := len(sim.retries)
	for range 20 {
		l := sim.startLookup(0, 3, 0, 4000*ms, false)
		if sim.run(sim.now + 300*ms); !l.answeredWhole {
			t.Error("lookup with one failing searcher of three: got no complete answer in 300 ms")
		}
	}
	if retries := len(sim.retries) - before; retries > 10 {
		t.Errorf("20 lookups with one failing searcher of three: got %d retries, want at most 10", retries)
	}
}

// A searcher that becomes silent is avoided and, once it answers again, used again: sooner where
// hedges back its probes.
func TestSilentSearcherAvoided(t *testing.T) {
	for _, hedges := range []bool{true, false} {
		sim := startSimulation(t, 6, 3, func(c *Config) { c.Cells, c.MayCopy, c.MayCancel = 1, hedges, !hedges })
		sim.warmUp(10)
		sim.searchers["box1"].fault = 1
		late := sim.countLate(3, 300*ms)
		if hedges && late > 3 || !sim.mixer.searchers["box1"].suspect {
			t.Errorf("hedges %v: got %d of 20 lookups late, silent searcher suspect %v, want at most 3 with hedges, and true",
				hedges, late, sim.mixer.searchers["box1"].suspect)
		}
		sim.searchers["box1"].fault = 0
		before := sim.closed
		sim.warmUp(map[bool]int{true: 60, false: 100}[hedges])
		if sim.closed == before {
			t.Errorf("hedges %v: probe: got no idle connection closed, want a new connection, as the old one may itself be silent",
				hedges)
		}
		if sim.mixer.searchers["box1"].suspect {
			t.Errorf("hedges %v: searcher that answers again: got suspect, want not suspect", hedges)
		}
	}
}

// Where hedging is not allowed, a part that waits at a silent searcher is cancelled there and
// served elsewhere in time. The simulation fails the test if two forwards of a part are in flight
// at once.
func TestStalledForwardCancelledAndResent(t *testing.T) {
	late := 0
	for seed := range int64(6) {
		sim := startSimulation(t, seed, 3, func(c *Config) { c.Cells, c.MayCopy, c.MayCancel = 1, false, true })
		sim.warmUp(10)
		sim.searchers["box1"].fault = 1
		for range 20 {
			l := sim.startLookup(0, 3, 0, 4000*ms, false)
			if sim.run(sim.now + 2000*ms); !l.answeredWhole {
				late++
			}
		}
		if !sim.mixer.searchers["box1"].suspect {
			t.Errorf("seed %d: silent searcher whose forwards are all cancelled: got not suspect, want suspect",
				seed)
		}
	}
	if late > 3 {
		t.Errorf("one silent searcher of three: got %d of 120 lookups without a complete answer, want at most 3",
			late)
	}
}

// A searcher that fails for a while is used again within a multiple of the expected time, for two
// expected times.
func TestSuspectProbeDelay(t *testing.T) {
	for seed := range int64(12) {
		expected := []int64{1000 * ms, 4000 * ms}[seed%2]
		sim := startSimulation(t, seed, 1, func(c *Config) { c.Cells, c.Tariffs[0].Expected = 1, expected })
		sim.warmUp(10)
		sim.searchers["box0"].fault = 2
		sim.countLate(1, 1500*ms)
		sim.searchers["box0"].fault = 0
		if !sim.mixer.searchers["box0"].suspect {
			t.Fatal("searcher that always fails: got not suspect, want suspect")
		}
		from := sim.now
		for sim.mixer.searchers["box0"].suspect && sim.now < from+20000*ms {
			sim.startLookup(0, 1, 0, 4000*ms, false)
			sim.run(sim.now + 50*ms)
		}
		if took := sim.now - from; took > 5*expected {
			t.Errorf("recovered searcher: got suspect for %d ms, want at most %d ms", took/ms, 5*expected/ms)
		}
	}
}

// Three of four searchers return errors half of the time, at a load that the fourth cannot serve
// alone: the capacity they have left must be used, and once they recover, all lookups are served.
func TestErringSearchersStillUsed(t *testing.T) {
	var unserved [2]int
	for seed := range int64(6) {
		sim := warmSimulation(t, seed, 4)
		for phase, fault := range []int{5, 0} {
			for _, id := range []string{"box0", "box1", "box2"} {
				sim.searchers[id].fault = fault
			}
			var all []*simLookup
			for range 250 {
				all = append(all, sim.startLookup(0, 1, 0, 4000*ms, false))
				sim.run(sim.now + 20*ms)
			}
			sim.run(sim.now + 2000*ms)
			for _, l := range all {
				if !l.answeredWhole {
					unserved[phase]++
				}
			}
		}
	}
	if unserved[0] > 120 || unserved[1] > 3 {
		t.Errorf("of 1500 lookups each: got %d without a complete answer during errors and %d after, want at most 120 and 3",
			unserved[0], unserved[1])
	}
}

// One searcher always fails and the other half of the time, so that many parts go to the first as a
// last resort. These are not probes: they must not use up the probe budget, which detects its
// recovery.
func TestLastResortIsNotAProbe(t *testing.T) {
	sim, over := warmSimulation(t, 6, 2), 0.0
	sim.searchers["box0"].fault, sim.searchers["box1"].fault = 2, 5
	for range 250 {
		sim.startLookup(0, 1, 0, 4000*ms, false)
		sim.run(sim.now + 40*ms)
		over = max(over, sim.mixer.sentProbes.Read(sim.now, loadHalfLife)-max(minProbes, probeShare*sim.mixer.sentForwards.Read(sim.now, loadHalfLife)))
	}
	if over > 1 {
		t.Errorf("probes above the budget: got %.1f, want at most 1", over)
	}
}

func TestSlowPartIsNotSilence(t *testing.T) {
	sim := warmSimulation(t, 11, 1)
	sim.searchers["box0"].coreFreeAt = [2]int64{sim.now + 500*ms, sim.now + 500*ms} // five times the usual latency
	l := sim.startLookup(0, 1, 0, 4000*ms, false)
	for sim.run(sim.now + 10*ms); !l.ended; sim.run(sim.now + 10*ms) {
		if sim.mixer.searchers["box0"].suspect {
			t.Fatal("searcher with one slow part: got suspect, want not suspect")
		}
	}
}

func TestLostForwardResent(t *testing.T) {
	sim := warmSimulation(t, 10, 2)
	sim.setFaults(1)
	sim.mixer.sentHedges.Add(sim.now, 1e6, loadHalfLife) // no hedge budget is left for parts that are merely late
	l := sim.startLookup(0, 1, 0, 4000*ms, false)
	sim.setFaults(0)
	if sim.run(sim.now + 740*ms); !l.ended {
		t.Error("lookup with a lost forward: got no answer in 740 ms, want the part resent before its searcher is suspect")
	}
}

func TestTimeoutRaisesPace(t *testing.T) {
	sim := warmSimulation(t, 13, 3)
	sim.searchers["box1"].coreFreeAt = [2]int64{sim.now + 3000*ms, sim.now + 3000*ms}
	sim.startLookup(0, 3, 0, 4000*ms, false)
	sim.run(sim.now + 3000*ms)
	for sim.mixer.searchers["box1"].suspect {
		sim.warmUp(1)
	}
	picked := 0
	for range 10 {
		sim.startLookup(0, 2, 0, 4000*ms, false)
		picked += sim.mixer.searchers["box1"].callsOut
		sim.run(sim.now + 300*ms)
	}
	if picked > 2 {
		t.Errorf("searcher that recently timed out: got picked first %d of 10 times, want at most 2", picked)
	}
}

func TestRemovedSearcherResends(t *testing.T) {
	sim := newSimulation(t, 9, plainConfig(func(c *Config) { c.Cells = 1 }))
	list := entries(2, 1)
	sim.updateList(true, list[0])
	sim.searchers["box0"].fault = 1
	l := sim.startLookup(0, 1, 0, 4000*ms, false)
	sim.updateList(true, list[1])
	sim.run(sim.now + 200*ms)
	if !l.answeredWhole {
		t.Error("lookup with a part at a removed searcher: got no complete answer in 200 ms, want the part resent at once")
	}
}

func TestDroppedConnectionsClosed(t *testing.T) {
	sim := warmSimulation(t, 12, 3)
	sim.setFaults(4)
	if late := sim.countLate(2, 3000*ms); late > 6 {
		t.Errorf("connections dropped silently: got %d of 20 lookups late, want at most 6", late)
	}
}

// Every eighth part takes long on healthy searchers, which must not count as a loss on their
// connections.
func TestLateAnswerKeepsConnections(t *testing.T) {
	sim := warmSimulation(t, 17, 3)
	for i := range 160 {
		if i%8 == 0 {
			for _, s := range sim.searchers {
				s.coreFreeAt = [2]int64{sim.now + 500*ms, sim.now + 500*ms}
			}
		}
		sim.startLookup(0, 1, 0, 4000*ms, false)
		sim.run(sim.now + 800*ms)
	}
	if sim.closed > 8 {
		t.Errorf("no connection dropped: got %d closings of idle connections, want at most 8", sim.closed)
	}
}

// The link to a zone is cut: from the fifth lookup on, hardly a part is sent there.
func TestSilentZoneAvoided(t *testing.T) {
	sent := 0
	for seed := range int64(10) {
		sim, there := twoZones(seed, t)
		for _, id := range there {
			sim.searchers[id].fault = 1
		}
		for i := range 12 {
			sim.startLookup(0, 2, sim.rng.Intn(20), 4000*ms, false)
			counts, _ := sim.callCounts()
			for _, n := range counts[20:] {
				sent += n * min(i/4, 1)
			}
			sim.run(sim.now + 2000*ms)
		}
	}
	if sent > 32 {
		t.Errorf("got %d of 160 parts at a silent zone, want at most 32", sent)
	}
}

// A zone that answers much later than others is avoided like a silent one, and used again once it
// answers in time.
func TestLateZoneAvoided(t *testing.T) {
	late, recovered := 0, 0
	for seed := range int64(10) {
		sim, there := twoZones(seed, t)
		setRoundTrip := func(d int64) {
			for _, id := range there {
				sim.searchers[id].roundTrip = d
			}
		}
		setRoundTrip(1900 * ms)
		for i := range 30 {
			l := sim.startLookup(0, 6, sim.rng.Intn(20), 4000*ms, false)
			if sim.run(sim.now + 500*ms); !l.ended && i >= 6 {
				late++
			}
		}
		setRoundTrip(0)
		for range 40 {
			sim.startLookup(0, 6, sim.rng.Intn(20), 4000*ms, false)
			sim.run(sim.now + 500*ms)
		}
		if !sim.mixer.zones["there"].silent() {
			recovered++
		}
	}
	if late > 6 || recovered < 9 {
		t.Errorf("late zone: got %d of 240 lookups late, %d of 10 zones in use 20 s after recovery, want at most 6 and at least 9",
			late, recovered)
	}
}

// twoZones returns a simulation of two zones whose mixer has latency statistics, and the searchers
// of the second.
func twoZones(seed int64, t *testing.T) (sim *simulation, there []string) {
	sim = newSimulation(t, seed, plainConfig(func(c *Config) { c.Cells = 20 }))
	list := entries(40, 20)
	for i := range list {
		if list[i].Zone = "here"; i >= 20 {
			list[i].Zone = "there"
			there = append(there, list[i].Searcher)
		}
	}
	sim.updateList(true, list...)
	for range 40 {
		sim.startLookup(0, 2, sim.rng.Intn(20), 4000*ms, false)
		sim.run(sim.now + 300*ms)
	}
	return sim, there
}

func TestRecoveryAfterFleetOutage(t *testing.T) {
	sim := warmSimulation(t, 16, 4)
	sim.setFaults(1)
	sim.warmUp(100)
	sim.setFaults(0)
	sim.warmUp(40)
	before := sim.answers
	if sim.warmUp(10); sim.answers < before+9 {
		t.Errorf("12 s after all searchers recovered: got %d of 10 lookups served, want at least 9",
			sim.answers-before)
	}
}
