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
		w := randomRun(t, seed, func(w *simulation, all []Entry) {
			if rng.Intn(4) > 0 {
				return
			}
			e := all[rng.Intn(len(all))]
			someTime := func() int64 { return w.now + rng.Int63n(4000*ms) - 1000*ms }
			w.mixer.UpdatePeerReports(w.now, []PeerReport{{Searcher: e.Searcher, Started: e.Started - int64(rng.Intn(2)),
				At: someTime(), Until: someTime(), Slow: rng.ExpFloat64() * 5, Weight: rng.ExpFloat64() * 10,
				Silent: rng.Intn(2) == 0, Sound: rng.Intn(3) == 0, Suspecting: rng.Intn(5), AwayUntil: someTime()}})
			if rng.Intn(50) == 0 {
				w.mixer.HoldColdAllowance(someTime())
			}
			w.mixer.Observations(w.now, 2000*ms, func(o Observation) {
				if o.Loan < 0 || o.Rate < 0 || o.Loan > o.Rate+1/float64(w.config.FallFor)+1e-15 || o.Weight < 0 || o.Slow < 0 {
					t.Fatalf("seed %d: got observation %+v, want non-negative rates and a loan within one part per window of the rate", seed, o)
				}
				if st, ok := w.mixer.SearcherState(w.now, o.Searcher); !ok || st.Started != o.Started || st.ColdWait < 0 {
					t.Fatalf("seed %d: state of %s: got %+v, listed %v, want start %d and a cold wait of at least 0 ns", seed, o.Searcher, st, ok, o.Started)
				}
			})
		})
		if w.answers == 0 {
			t.Skip("simulation without any answer")
		}
	})
}

// coldSimulation returns a simulation whose box0 is cold and alone in its cell.
func coldSimulation(t *testing.T) *simulation {
	w := startSimulation(t, 1, 2, nil)
	w.countParts(20) // gives the mixer a warm rate
	w.updateList(false, Entry{Searcher: "box0", Started: w.now})
	return w
}

// countColdParts sends lookups of the cold searcher's slice for a time and returns how many parts
// it was sent.
func (w *simulation) countColdParts(d int64) (n int) {
	before := len(w.coldSent[w.listed["box0"]])
	for end := w.now + d; w.now < end; w.run(w.now + 20*ms) {
		w.startLookup(0, 1, 0, 2000*ms, false)
	}
	return len(w.coldSent[w.listed["box0"]]) - before
}

// A cold allowance that is lent out, or held back after a restart, is not used meanwhile, and then
// starts without credit.
func TestLentColdAllowance(t *testing.T) {
	alone := coldSimulation(t)
	if n := alone.countColdParts(3000 * ms); n < 3 {
		t.Fatalf("without a loan: got %d parts to the cold searcher, want at least 3 for the test to show anything", n)
	}
	for _, lent := range []bool{true, false} {
		w := coldSimulation(t)
		until := w.now + 3000*ms
		if lent {
			w.mixer.UpdatePeerReports(w.now, []PeerReport{{Searcher: "box0", Started: w.listed["box0"].Started, AwayUntil: until}})
		} else {
			w.mixer.HoldColdAllowance(until)
		}
		if n := w.countColdParts(2990 * ms); n != 0 {
			t.Errorf("lent %v: got %d parts to the cold searcher, want 0", lent, n)
		}
		if st, _ := w.mixer.SearcherState(w.now, "box0"); lent && st.ColdWait <= until-w.now {
			t.Errorf("cold wait while lent: got %d ms, want more than %d ms", st.ColdWait/ms, (until-w.now)/ms)
		}
		w.run(until)
		if s := w.mixer.searchers["box0"]; lent && s.coldCredit > 0.1 {
			t.Errorf("cold credit at the end of the loan: got %v parts, want at most 0.1", s.coldCredit)
		}
		if n := w.countColdParts(3000 * ms); n == 0 {
			t.Errorf("lent %v: after its end: got 0 parts to the cold searcher, want more", lent)
		}
	}
}

func TestBorrowedColdAllowance(t *testing.T) {
	const lent = 5e-9 // five parts a second
	w := coldSimulation(t)
	// The simulation's limit does not include loans; this test checks the sum of the own and the
	// borrowed rate.
	w.config.FallMultiple = 1e6
	other := coldSimulation(t)
	alone, later := other.countColdParts(2000*ms), other.countColdParts(2000*ms) // warmer in the second
	w.mixer.UpdatePeerReports(w.now, []PeerReport{{Searcher: "box0", Started: w.listed["box0"].Started, Lent: lent, LentUntil: w.now + 2000*ms}})
	n := w.countColdParts(2000 * ms)
	if n < alone+3 || n > alone+10+1 {
		t.Errorf("with a loan of 10 parts: got %d parts in 2 s, want %d to %d", n, alone+3, alone+10+1)
	}
	if after := w.countColdParts(2000 * ms); after > later+2 {
		t.Errorf("after the loan: got %d parts in 2 s, want at most %d", after, later+2)
	}
}

// countParts serves lookups one at a time, so that no calls are in flight, and returns how many
// parts each searcher of cell 0 was sent.
func (w *simulation) countParts(n int) map[string]int {
	sent := map[string]int{}
	for range n {
		l := w.startLookup(0, 1, 0, 2000*ms, false)
		for _, f := range l.handle.parts[0].forwards {
			sent[f.searcher.id]++
		}
		w.run(w.now + 400*ms)
	}
	return sent
}

func TestPeerReportPace(t *testing.T) {
	w := startSimulation(t, 3, 6, nil) // box0, box2 and box4 form cell 0
	w.countParts(10)
	slowReport := func(at int64) PeerReport {
		return PeerReport{Searcher: "box2", At: at, Until: w.now + 60_000*ms, Slow: 10, Weight: 8}
	}
	w.mixer.UpdatePeerReports(w.now, []PeerReport{slowReport(w.now)})
	if n := w.countParts(20)["box2"]; n != 0 {
		t.Errorf("searcher reported slow: got %d of 20 parts, want 0", n)
	}
	w.mixer.UpdatePeerReports(w.now, []PeerReport{{Searcher: "box2", Started: 5, At: w.now, Until: w.now + 60_000*ms, Slow: 1, Weight: 8}})
	if n := w.countParts(10)["box2"]; n != 0 {
		t.Errorf("after a report on another process: got %d of 10 parts, want 0", n)
	}
	s := w.mixer.searchers["box2"]
	ownEstimate := func() float64 {
		return s.pace.Read(w.now, paceHalfLife, w.mixer.fleetPace.Read(w.now, loadHalfLife, 0, 0), fleetPriorCalls)
	}
	w.mixer.UpdatePeerReports(w.now, []PeerReport{slowReport(w.now)})
	if with := w.mixer.unitTime(w.now, s); with < 4*ownEstimate() {
		t.Errorf("unit time with a report of 10 times the fleet's: got %d ms, want at least 4 times %d ms", int64(with)/ms, int64(ownEstimate())/ms)
	}
	// Answers newer than the report keep their full weight, and the report only changes the prior.
	w.updateList(false, Entry{Searcher: "box0", Status: Dead}, Entry{Searcher: "box4", Status: Dead})
	w.mixer.UpdatePeerReports(w.now, []PeerReport{{Searcher: "box2"}})
	w.countParts(20)
	w.mixer.UpdatePeerReports(w.now, []PeerReport{slowReport(0)})
	if with := w.mixer.unitTime(w.now, s); with > 3*ownEstimate() || with < 1.2*ownEstimate() {
		t.Errorf("unit time with a report older than the last answer: got %d ms, want 1.2 to 3 times %d ms", int64(with)/ms, int64(ownEstimate())/ms)
	}
	w.run(w.now + 60_000*ms)
	if with := w.mixer.unitTime(w.now, s); with != ownEstimate() {
		t.Errorf("unit time with an expired report: got %v ns, want %v ns", with, ownEstimate())
	}
}

func TestPeerReportSilent(t *testing.T) {
	w := startSimulation(t, 3, 6, nil)
	w.countParts(10)
	reportSilent := func() {
		w.mixer.UpdatePeerReports(w.now, []PeerReport{{Searcher: "box2", At: w.now, Until: w.now + 30_000*ms, Silent: true, Suspecting: 2}})
	}
	reportSilent()
	if n := w.countParts(20)["box2"]; n != 0 {
		t.Errorf("searcher reported silent: got %d of 20 parts, want 0", n)
	}
	reportSilent()
	s := w.mixer.searchers["box2"]
	if !s.reportedSilent(w.now) || !w.mixer.avoided(w.now, s) {
		t.Errorf("searcher reported silent: got reported %v, avoided %v, want true and true", s.reportedSilent(w.now), w.mixer.avoided(w.now, s))
	}
	s.lastAnswer = w.now + 1
	if s.reportedSilent(w.now+2) || w.mixer.avoided(w.now+2, s) {
		t.Errorf("searcher that answered since the report: got reported %v, avoided %v, want false and false", s.reportedSilent(w.now+2), w.mixer.avoided(w.now+2, s))
	}
	s.lastAnswer = 0
	for _, other := range []string{"box0", "box4"} {
		w.mixer.UpdatePeerReports(w.now, []PeerReport{{Searcher: other, At: w.now, Until: w.now + 30_000*ms, Silent: true, Suspecting: 2}})
	}
	if l := w.startLookup(0, 1, 0, 2000*ms, false); !l.ended {
		t.Error("lookup with all holders reported silent: got no end, want a rejection at once")
	}
	if w.run(w.now + 30_000*ms); s.reportedSilent(w.now) || w.mixer.avoided(w.now, s) {
		t.Errorf("expired report: got reported %v, avoided %v, want false and false", s.reportedSilent(w.now), w.mixer.avoided(w.now, s))
	}
	if l := w.startLookup(0, 1, 0, 2000*ms, false); l.ended {
		t.Error("lookup after all reports expired: got rejected, want admitted")
	}
}

func TestPeerReportRecovered(t *testing.T) {
	w := startSimulation(t, 5, 6, nil)
	w.countParts(10)
	w.searchers["box2"].fault = 1
	s := w.mixer.searchers["box2"]
	for range 30 {
		if w.countParts(5); s.suspect {
			break
		}
	}
	s.nextProbe = w.now + 100_000*ms
	w.searchers["box2"].fault = 0
	w.run(w.now + 5000*ms) // for the probe budget to recover
	if !s.suspect || !w.mixer.mayProbe(w.now) {
		t.Fatalf("before the report: got suspect %v, probe allowed %v, want true and true", s.suspect, w.mixer.mayProbe(w.now))
	}
	w.mixer.UpdatePeerReports(w.now, []PeerReport{{Searcher: "box2", At: w.now, Until: w.now + 2000*ms, Sound: true}})
	if n := w.countParts(1)["box2"]; n != 1 || s.suspect {
		t.Errorf("after a report that it answers others: got %d parts, suspect %v, want 1 and false", n, s.suspect)
	}
}
