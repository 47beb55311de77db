package mixer

import (
	"math/rand"
	"testing"
)

// FuzzWords gives a mixer random peer reports in a random simulation, which checks the rules.
// Nothing is lent to the mixer, as the limit in the simulation does not include loans.
func FuzzWords(f *testing.F) {
	for seed := range int64(40) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed int64) {
		rng := rand.New(rand.NewSource(seed + 1))
		sim := randomRun(t, seed, func(sim *simulation, all []Entry) {
			if rng.Intn(4) > 0 {
				return
			}
			e := all[rng.Intn(len(all))]
			someTime := func() int64 { return sim.now + rng.Int63n(4000*ms) - 1000*ms }
			sim.mixer.UpdatePeerReports(sim.now, []PeerReport{{Searcher: e.Searcher, Started: e.Started - int64(rng.Intn(2)),
				At: someTime(), Until: someTime(), Slow: rng.ExpFloat64() * 5, Weight: rng.ExpFloat64() * 10,
				Silent: rng.Intn(2) == 0, Sound: rng.Intn(3) == 0, Suspecting: rng.Intn(5), AwayUntil: someTime()}})
			if rng.Intn(50) == 0 {
				sim.mixer.HoldColdAllowance(someTime())
			}
			sim.mixer.Observations(sim.now, 2000*ms, func(o Observation) {
				if o.Loan < 0 || o.Rate < 0 || o.Loan > o.Rate+1/float64(sim.config.FallFor)+1e-15 || o.Weight < 0 || o.Slow < 0 {
					t.Fatalf("seed %d: got observation %+v, want non-negative rates and a loan within one part per window of the rate",
						seed, o)
				}
				if st, ok := sim.mixer.SearcherState(sim.now, o.Searcher); !ok || st.Started != o.Started || st.ColdWait < 0 {
					t.Fatalf("seed %d: state of %s: got %+v, listed %v, want start %d and a cold wait of at least 0 ns",
						seed, o.Searcher, st, ok, o.Started)
				}
			})
		})
		if sim.answers == 0 {
			t.Skip("simulation without any answer")
		}
	})
}

// coldSimulation returns a simulation whose box0 is cold and alone in its cell.
func coldSimulation(t *testing.T) *simulation {
	sim := startSimulation(t, 1, 2, nil)
	sim.countParts(20) // gives the mixer a warm rate
	sim.updateList(false, Entry{Searcher: "box0", Started: sim.now})
	return sim
}

// countColdParts sends lookups of the cold searcher's slice for a time and returns how many parts
// it was sent.
func (sim *simulation) countColdParts(d int64) (n int) {
	before := len(sim.coldSent[sim.listed["box0"]])
	for end := sim.now + d; sim.now < end; sim.run(sim.now + 20*ms) {
		sim.startLookup(0, 1, 0, 2000*ms, false)
	}
	return len(sim.coldSent[sim.listed["box0"]]) - before
}

// A cold allowance that is lent out, or held back after a restart, is not used meanwhile, and then
// starts without credit.
func TestLentColdAllowance(t *testing.T) {
	alone := coldSimulation(t)
	if n := alone.countColdParts(3000 * ms); n < 3 {
		t.Fatalf("without a loan: got %d parts to the cold searcher, want at least 3 for the test to show anything",
			n)
	}
	for _, lent := range []bool{true, false} {
		sim := coldSimulation(t)
		until := sim.now + 3000*ms
		if lent {
			sim.mixer.UpdatePeerReports(sim.now, []PeerReport{{Searcher: "box0", Started: sim.listed["box0"].Started, AwayUntil: until}})
		} else {
			sim.mixer.HoldColdAllowance(until)
		}
		if n := sim.countColdParts(2990 * ms); n != 0 {
			t.Errorf("lent %v: got %d parts to the cold searcher, want 0", lent, n)
		}
		if st, _ := sim.mixer.SearcherState(sim.now, "box0"); lent && st.ColdWait <= until-sim.now {
			t.Errorf("cold wait while lent: got %d ms, want more than %d ms", st.ColdWait/ms, (until-sim.now)/ms)
		}
		sim.run(until)
		if s := sim.mixer.searchers["box0"]; lent && s.coldCredit > 0.1 {
			t.Errorf("cold credit at the end of the loan: got %v parts, want at most 0.1", s.coldCredit)
		}
		if n := sim.countColdParts(3000 * ms); n == 0 {
			t.Errorf("lent %v: after its end: got 0 parts to the cold searcher, want more", lent)
		}
	}
}

func TestBorrowedColdAllowance(t *testing.T) {
	const lent = 5e-9 // five parts a second
	sim := coldSimulation(t)
	// The simulation's limit does not include loans; this test checks the sum of the own and the
	// borrowed rate.
	sim.config.FallMultiple = 1e6
	other := coldSimulation(t)
	alone, later := other.countColdParts(2000*ms), other.countColdParts(2000*ms) // warmer in the second
	sim.mixer.UpdatePeerReports(sim.now, []PeerReport{{Searcher: "box0", Started: sim.listed["box0"].Started, Lent: lent, LentUntil: sim.now + 2000*ms}})
	n := sim.countColdParts(2000 * ms)
	if n < alone+3 || n > alone+10+1 {
		t.Errorf("with a loan of 10 parts: got %d parts in 2 s, want %d to %d", n, alone+3, alone+10+1)
	}
	if after := sim.countColdParts(2000 * ms); after > later+2 {
		t.Errorf("after the loan: got %d parts in 2 s, want at most %d", after, later+2)
	}
}

// countParts serves lookups one at a time, so that no calls are in flight, and returns how many
// parts each searcher of cell 0 was sent.
func (sim *simulation) countParts(n int) map[string]int {
	sent := map[string]int{}
	for range n {
		l := sim.startLookup(0, 1, 0, 2000*ms, false)
		for _, f := range l.handle.parts[0].forwards {
			sent[f.searcher.id]++
		}
		sim.run(sim.now + 400*ms)
	}
	return sent
}

func TestPeerReportPace(t *testing.T) {
	sim := startSimulation(t, 3, 6, nil) // box0, box2 and box4 form cell 0
	sim.countParts(10)
	slowReport := func(at int64) PeerReport {
		return PeerReport{Searcher: "box2", At: at, Until: sim.now + 60_000*ms, Slow: 10, Weight: 8}
	}
	sim.mixer.UpdatePeerReports(sim.now, []PeerReport{slowReport(sim.now)})
	if n := sim.countParts(20)["box2"]; n != 0 {
		t.Errorf("searcher reported slow: got %d of 20 parts, want 0", n)
	}
	sim.mixer.UpdatePeerReports(sim.now, []PeerReport{{Searcher: "box2", Started: 5, At: sim.now, Until: sim.now + 60_000*ms, Slow: 1, Weight: 8}})
	if n := sim.countParts(10)["box2"]; n != 0 {
		t.Errorf("after a report on another process: got %d of 10 parts, want 0", n)
	}
	s := sim.mixer.searchers["box2"]
	ownEstimate := func() float64 {
		return s.pace.Read(sim.now, paceHalfLife, sim.mixer.fleetPace.Read(sim.now, loadHalfLife, 0, 0), fleetPriorCalls)
	}
	sim.mixer.UpdatePeerReports(sim.now, []PeerReport{slowReport(sim.now)})
	if with := sim.mixer.unitTime(sim.now, s); with < 4*ownEstimate() {
		t.Errorf("unit time with a report of 10 times the fleet's: got %d ms, want at least 4 times %d ms",
			int64(with)/ms, int64(ownEstimate())/ms)
	}
	// Answers newer than the report keep their full weight, and the report only changes the prior.
	sim.updateList(false, Entry{Searcher: "box0", Status: Dead}, Entry{Searcher: "box4", Status: Dead})
	sim.mixer.UpdatePeerReports(sim.now, []PeerReport{{Searcher: "box2"}})
	sim.countParts(20)
	sim.mixer.UpdatePeerReports(sim.now, []PeerReport{slowReport(0)})
	if with := sim.mixer.unitTime(sim.now, s); with > 3*ownEstimate() || with < 1.2*ownEstimate() {
		t.Errorf("unit time with a report older than the last answer: got %d ms, want 1.2 to 3 times %d ms",
			int64(with)/ms, int64(ownEstimate())/ms)
	}
	sim.run(sim.now + 60_000*ms)
	if with := sim.mixer.unitTime(sim.now, s); with != ownEstimate() {
		t.Errorf("unit time with an expired report: got %v ns, want %v ns", with, ownEstimate())
	}
}

func TestPeerReportSilent(t *testing.T) {
	sim := startSimulation(t, 3, 6, nil)
	sim.countParts(10)
	reportSilent := func() {
		sim.mixer.UpdatePeerReports(sim.now, []PeerReport{{Searcher: "box2", At: sim.now, Until: sim.now + 30_000*ms, Silent: true, Suspecting: 2}})
	}
	reportSilent()
	if n := sim.countParts(20)["box2"]; n != 0 {
		t.Errorf("searcher reported silent: got %d of 20 parts, want 0", n)
	}
	reportSilent()
	s := sim.mixer.searchers["box2"]
	if !s.reportedSilent(sim.now) || !sim.mixer.avoided(sim.now, s) {
		t.Errorf("searcher reported silent: got reported %v, avoided %v, want true and true",
			s.reportedSilent(sim.now), sim.mixer.avoided(sim.now, s))
	}
	s.lastAnswer = sim.now + 1
	if s.reportedSilent(sim.now+2) || sim.mixer.avoided(sim.now+2, s) {
		t.Errorf("searcher that answered since the report: got reported %v, avoided %v, want false and false",
			s.reportedSilent(sim.now+2), sim.mixer.avoided(sim.now+2, s))
	}
	s.lastAnswer = 0
	for _, other := range []string{"box0", "box4"} {
		sim.mixer.UpdatePeerReports(sim.now, []PeerReport{{Searcher: other, At: sim.now, Until: sim.now + 30_000*ms, Silent: true, Suspecting: 2}})
	}
	if l := sim.startLookup(0, 1, 0, 2000*ms, false); !l.ended {
		t.Error("lookup with all holders reported silent: got no end, want a rejection at once")
	}
	if sim.run(sim.now + 30_000*ms); s.reportedSilent(sim.now) || sim.mixer.avoided(sim.now, s) {
		t.Errorf("expired report: got reported %v, avoided %v, want false and false",
			s.reportedSilent(sim.now), sim.mixer.avoided(sim.now, s))
	}
	if l := sim.startLookup(0, 1, 0, 2000*ms, false); l.ended {
		t.Error("lookup after all reports expired: got rejected, want admitted")
	}
}

func TestPeerReportRecovered(t *testing.T) {
	sim := startSimulation(t, 5, 6, nil)
	sim.countParts(10)
	sim.searchers["box2"].fault = 1
	s := sim.mixer.searchers["box2"]
	for range 30 {
		if sim.countParts(5); s.suspect {
			break
		}
	}
	s.nextProbe = sim.now + 100_000*ms
	sim.searchers["box2"].fault = 0
	sim.run(sim.now + 5000*ms) // for the probe budget to recover
	if !s.suspect || !sim.mixer.mayProbe(sim.now) {
		t.Fatalf("before the report: got suspect %v, probe allowed %v, want true and true",
			s.suspect, sim.mixer.mayProbe(sim.now))
	}
	sim.mixer.UpdatePeerReports(sim.now, []PeerReport{{Searcher: "box2", At: sim.now, Until: sim.now + 2000*ms, Sound: true}})
	if n := sim.countParts(1)["box2"]; n != 1 || s.suspect {
		t.Errorf("after a report that it answers others: got %d parts, suspect %v, want 1 and false", n, s.suspect)
	}
}
