package mixer

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
)

// scribe is a floor that writes down each call, and hands it on.
type recorder struct {
	*simulation
	calls []string
}

func (s *recorder) record(call string, about ...any) {
	s.calls = append(s.calls, fmt.Sprint(s.now, " ", call, " ", about))
}

func (s *recorder) Forward(part, searcher string, within int64) {
	s.record("forward", part, searcher, within)
	s.simulation.Forward(part, searcher, within)
}

func (s *recorder) Cancel(part string, forward int) {
	s.record("cancel", part, forward)
	s.simulation.Cancel(part, forward)
}

func (s *recorder) Answer(id string, whole bool) {
	s.record("answer", id, whole)
	s.simulation.Answer(id, whole)
}

func (s *recorder) Reject(id string, wait int64) {
	s.record("bounce", id, wait)
	s.simulation.Reject(id, wait)
}

func (s *recorder) Fail(id string) {
	s.record("fail", id)
	s.simulation.Fail(id)
}

func (s *recorder) CloseIdle(searcher string) {
	s.record("close", searcher)
	s.simulation.CloseIdle(searcher)
}

func (s *recorder) SetTimer(after int64, whose TimerHandler) {
	s.record("timer", after)
	s.simulation.SetTimer(after, whose)
}

func (s *recorder) Subscribe() {
	s.record("subscribe")
	s.simulation.Subscribe()
}

// state gives what a mixer has counted and learnt, the charter aside.
func learntState(m *Mixer) string {
	var all []any
	for _, cell := range m.cells {
		for _, s := range cell {
			all = append(all, s.id, s.callsOut, s.partsOut, s.pace, s.recentPace, s.lastAnswer, s.lastForward, s.unansweredWait, s.suspect, s.probeInterval, s.nextProbe, s.coldCredit,
				s.coldCreditAt, len(s.inFlight), s.report, s.coldDemand, s.sentForwards, *s.zone)
		}
	}
	return fmt.Sprint(all, m.latencies, m.fleetPace, m.sentForwards, m.sentHedges, m.sentProbes, m.idleConnLoss, m.newConnLoss, m.budgetEarned, m.budgetSpent, m.warmAnswers, m.warmRate, m.lastAnswer,
		m.subscribing, m.listFailures, m.customerLookups, m.coldHeldUntil)
}

// A mixer that is told its own charter again and again, at any moment, makes the same calls as one that is not, to the last timer.
func TestUpdateConfigUnchanged(t *testing.T) {
	calls, adopted := 0, 0
	for seed := range int64(8) {
		var runs [2][]string
		for again := range runs {
			s, rng := (*recorder)(nil), rand.New(rand.NewSource(seed))
			randomRun(t, seed, func(w *simulation, _ []Entry) {
				if s == nil {
					s = &recorder{simulation: w}
					w.mixer.env = s
				}
				if again == 0 {
					return
				}
				for range rng.Intn(3) {
					before := learntState(w.mixer)
					if w.mixer.UpdateConfig(w.now, w.config); learntState(w.mixer) != before {
						t.Fatalf("seed %d: a version changes\n%s\nto\n%s", seed, before, learntState(w.mixer))
					}
					adopted++
				}
				w.after(rng.Int63n(50*ms), func() { w.mixer.UpdateConfig(w.now, w.config) }) // between any two calls
			})
			runs[again] = s.calls
		}
		if !slices.Equal(runs[0], runs[1]) {
			for i := range min(len(runs[0]), len(runs[1])) {
				if runs[0][i] != runs[1][i] {
					t.Fatalf("seed %d: call %d of %d is %s, without versions %s", seed, i, len(runs[0]), runs[1][i], runs[0][i])
				}
			}
			t.Fatalf("seed %d: %d calls, without versions %d", seed, len(runs[1]), len(runs[0]))
		}
		calls += len(runs[0])
	}
	t.Logf("%d calls the same, through %d versions", calls, adopted)
}

// other gives a charter with all that may change in flight drawn anew.
func changedConfig(rng *rand.Rand, c Config) Config {
	drawn := randomConfig(rng)
	c.Tariffs, c.Allowances = slices.Clone(c.Tariffs), slices.Clone(c.Allowances)
	for i := range c.Tariffs {
		t := &c.Tariffs[i]
		t.CompleteFrom, t.LeastShare = drawn.Tariffs[i].CompleteFrom, drawn.Tariffs[i].LeastShare
		t.RepeatFor = drawn.Tariffs[i].RepeatFor
		t.Expected, t.Partial = int64(100+rng.Intn(1500))*ms, rng.Float64()
		t.Patience = t.Expected + int64(rng.Intn(1500))*ms
	}
	for i := range c.Allowances {
		c.Allowances[i] = 9 * rng.Float64()
	}
	c.OverWorth, c.MaxAdvice = rng.Float64(), int64(rng.Intn(1500))*ms
	return c
}

// Through versions drawn at any moment each lookup keeps its own row to its end, and the world finds all rules kept: shares and
// repeats by the lookup's own row, advice by the newest version.
func TestLookupKeepsItsTariff(t *testing.T) {
	versions := 0
	for seed := range int64(24) {
		rng := rand.New(rand.NewSource(seed))
		randomRun(t, seed, func(w *simulation, _ []Entry) {
			if rng.Intn(6) == 0 {
				before := learntState(w.mixer)
				w.config = changedConfig(rng, w.config)
				if w.mixer.UpdateConfig(w.now, w.config); learntState(w.mixer) != before {
					t.Fatalf("seed %d: a version changes\n%s\nto\n%s", seed, before, learntState(w.mixer))
				}
				versions++
			}
			for id, l := range w.lookups {
				end := min(l.notAfter, w.now+l.tariff.Expected) - deadlineMargin // a repeat was asked for earlier
				if *l.handle.tariff != l.tariff || l.handle.deadline > end || !l.ended && w.now > max(l.handle.deadline, 0)+w.secondStepDelay+2*deadlineMargin && l.handle.stepComplete {
					t.Fatalf("seed %d: lookup %s of %+v is held to %+v, until %d at %d", seed, id, l.tariff, *l.handle.tariff, l.handle.deadline, w.now)
				}
			}
		})
	}
	t.Logf("%d versions", versions)
}

// One that was taken before is neither ended earlier nor answered with less; the next is.
func TestLookupsAroundConfigUpdate(t *testing.T) {
	w := startSimulation(t, 1, 6, nil)
	w.warmUp(10)
	w.searchers["box1"].fault, w.searchers["box3"].fault, w.searchers["box5"].fault = 1, 1, 1 // all that hold the second slice
	old := w.startLookup(0, 2, 0, 4000*ms, false)
	began := w.now
	c := w.config
	c.Tariffs = []Tariff{{Expected: 1000 * ms, Patience: 4000 * ms, CompleteFrom: 0.5, LeastShare: 0.5}}
	w.mixer.UpdateConfig(w.now, c)
	c.Tariffs[0].CompleteFrom = 1 // what the caller does with it later is nothing here
	w.config.Tariffs = []Tariff{{Expected: 1000 * ms, Patience: 4000 * ms, CompleteFrom: 0.5, LeastShare: 0.5}}
	next := w.startLookup(0, 2, 0, 4000*ms, false)
	if w.run(w.now + 900*ms); !next.answeredWhole || old.ended {
		t.Errorf("taken after a version that asks for half: answered whole %v; taken before: ended %v", next.answeredWhole, old.ended)
	}
	if w.run(began + 1900*ms); old.ended {
		t.Error("one taken before is ended by the newer, shorter time")
	}
	if w.run(began + 2000*ms); !old.ended || old.answeredWhole {
		t.Errorf("one taken before has ended %v, answered whole %v, under a version that asks for all", old.ended, old.answeredWhole)
	}
	short := w.startLookup(0, 1, 1, 4000*ms, false)
	began = w.now
	w.config.Tariffs = []Tariff{{Expected: 3000 * ms, Patience: 4000 * ms, CompleteFrom: 1, LeastShare: 1}}
	w.mixer.UpdateConfig(w.now, w.config)
	long := w.startLookup(0, 1, 1, 4000*ms, false)
	if w.run(began + 1000*ms); !short.ended && !long.ended {
		t.Error("one taken under the shorter time is waited for beyond it")
	}
	if w.mixer.longestExpected != float64(3000*ms) {
		t.Errorf("the longest expected time is held to be %v ms", w.mixer.longestExpected/float64(ms))
	}
}

// What no version may change stays as at the start, and a charter of other rows changes nothing.
func TestUpdateConfigFields(t *testing.T) {
	w := startSimulation(t, 1, 2, func(c *Config) { c.Allowances = []float64{3} })
	began := w.mixer.config
	c := Config{Zone: "z", Mixers: 9, Cells: 9, Reach: 9, MaxForwards: 9, MayAdvise: true, MaxAdvice: 8, Allowances: []float64{4},
		OverWorth: 0.1, Tariffs: []Tariff{{Expected: 5, Patience: 6, Effect: AtMostOnce, RepeatFor: 7, CompleteFrom: 0.8, LeastShare: 0.3,
			Partial: 0.2, SecondStep: 9}}}
	w.mixer.UpdateConfig(w.now, c)
	want := began
	want.Tariffs = []Tariff{{Expected: 5, Patience: 6, RepeatFor: 7, CompleteFrom: 0.8, LeastShare: 0.3, Partial: 0.2}}
	want.MaxAdvice, want.Allowances, want.OverWorth = 8, []float64{4}, 0.1
	if fmt.Sprintf("%+v", w.mixer.config) != fmt.Sprintf("%+v", want) {
		t.Errorf("%+v, want %+v", w.mixer.config, want)
	}
	for _, odd := range []Config{{}, {Tariffs: c.Tariffs}, {Tariffs: c.Tariffs, Allowances: []float64{1, 2}},
		{Tariffs: append(c.Tariffs, c.Tariffs...), Allowances: c.Allowances}} {
		if w.mixer.UpdateConfig(w.now, odd); fmt.Sprintf("%+v", w.mixer.config) != fmt.Sprintf("%+v", want) {
			t.Errorf("%+v is taken", odd)
		}
	}
	(*Mixer)(nil).UpdateConfig(w.now, c)
}
