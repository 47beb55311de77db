package mixer

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
)

// recorder is an Environment that records each call and passes it on to a simulation.
type recorder struct {
	*simulation
	calls []string
}

func (r *recorder) record(call string, arguments ...any) {
	r.calls = append(r.calls, fmt.Sprint(r.now, " ", call, " ", arguments))
}

func (r *recorder) Forward(part, searcher string, within int64) {
	r.record("forward", part, searcher, within)
	r.simulation.Forward(part, searcher, within)
}

func (r *recorder) Cancel(part string, forward int) {
	r.record("cancel", part, forward)
	r.simulation.Cancel(part, forward)
}

func (r *recorder) Answer(id string, complete bool) {
	r.record("answer", id, complete)
	r.simulation.Answer(id, complete)
}

func (r *recorder) Reject(id string, wait int64) {
	r.record("bounce", id, wait)
	r.simulation.Reject(id, wait)
}

func (r *recorder) Fail(id string) {
	r.record("fail", id)
	r.simulation.Fail(id)
}

func (r *recorder) CloseIdle(searcher string) {
	r.record("close", searcher)
	r.simulation.CloseIdle(searcher)
}

func (r *recorder) SetTimer(after int64, h TimerHandler) {
	r.record("timer", after)
	r.simulation.SetTimer(after, h)
}

func (r *recorder) Subscribe() {
	r.record("subscribe")
	r.simulation.Subscribe()
}

// learntState returns the counters and statistics of a mixer, without its configuration.
func learntState(m *Mixer) string {
	var all []any
	for _, cell := range m.cells {
		for _, s := range cell {
			all = append(all, s.id, s.callsOut, s.partsOut, s.pace, s.recentPace, s.lastAnswer, s.lastForward,
				s.unansweredWait, s.suspect, s.probeInterval, s.nextProbe, s.coldCredit, s.coldCreditAt, len(s.inFlight),
				s.report, s.coldDemand, s.sentForwards, *s.zone)
		}
	}
	return fmt.Sprint(all, m.latencies, m.fleetPace, m.sentForwards, m.sentHedges, m.sentProbes, m.idleConnLoss,
		m.newConnLoss, m.budgetEarned, m.budgetSpent, m.warmAnswers, m.warmRate, m.lastAnswer, m.subscribing,
		m.listFailures, m.customerLookups, m.coldHeldUntil)
}

// A mixer that is given its own configuration again at any time makes the same calls as one that is
// not, timers included.
func TestUpdateConfigUnchanged(t *testing.T) {
	calls, updates := 0, 0
	for seed := range int64(8) {
		var runs [2][]string
		for run := range runs {
			r, rng := (*recorder)(nil), rand.New(rand.NewSource(seed))
			randomRun(t, seed, func(sim *simulation, _ []Entry) {
				if r == nil {
					r = &recorder{simulation: sim}
					sim.mixer.env = r
				}
				if run == 0 {
					return
				}
				for range rng.Intn(3) {
					before := learntState(sim.mixer)
					if sim.mixer.UpdateConfig(sim.now, sim.config); learntState(sim.mixer) != before {
						t.Fatalf("seed %d: state after an update: got\n%s\nwant\n%s",
							seed, learntState(sim.mixer), before)
					}
					updates++
				}
				sim.after(rng.Int63n(50*ms), func() { sim.mixer.UpdateConfig(sim.now, sim.config) }) // between any two calls
			})
			runs[run] = r.calls
		}
		if !slices.Equal(runs[0], runs[1]) {
			for i := range min(len(runs[0]), len(runs[1])) {
				if runs[0][i] != runs[1][i] {
					t.Fatalf("seed %d: call %d of %d with updates: got %s, want %s",
						seed, i, len(runs[0]), runs[1][i], runs[0][i])
				}
			}
			t.Fatalf("seed %d: got %d calls with updates, want %d", seed, len(runs[1]), len(runs[0]))
		}
		calls += len(runs[0])
	}
	t.Logf("%d equal calls, with %d updates", calls, updates)
}

// changedConfig returns c with random values in all fields that may change while a mixer serves.
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

// With random updates at any time, each lookup keeps its tariff until its end, and the simulation
// checks the rules: shares and repeats by the lookup's own tariff, the advised wait by the newest
// version.
func TestLookupKeepsItsTariff(t *testing.T) {
	updates := 0
	for seed := range int64(24) {
		rng := rand.New(rand.NewSource(seed))
		randomRun(t, seed, func(sim *simulation, _ []Entry) {
			if rng.Intn(6) == 0 {
				before := learntState(sim.mixer)
				sim.config = changedConfig(rng, sim.config)
				if sim.mixer.UpdateConfig(sim.now, sim.config); learntState(sim.mixer) != before {
					t.Fatalf("seed %d: state after an update: got\n%s\nwant\n%s",
						seed, learntState(sim.mixer), before)
				}
				updates++
			}
			for id, l := range sim.lookups {
				end := min(l.notAfter, sim.now+l.tariff.Expected) - deadlineMargin // earlier for a retry
				if *l.handle.tariff != l.tariff || l.handle.deadline > end ||
					!l.ended && sim.now > max(l.handle.deadline, 0)+sim.secondStepDelay+2*deadlineMargin && l.handle.stepComplete {
					t.Fatalf("seed %d: lookup %s at %d ns: got tariff %+v, deadline %d ns, ended %v, want tariff %+v, deadline at most %d ns",
						seed, id, sim.now, *l.handle.tariff, l.handle.deadline, l.ended, l.tariff, end)
				}
			}
		})
	}
	t.Logf("%d updates", updates)
}

// A lookup that started before an update neither ends earlier nor is answered with fewer parts; a
// later one does.
func TestLookupsAroundConfigUpdate(t *testing.T) {
	sim := startSimulation(t, 1, 6, nil)
	sim.warmUp(10)
	sim.searchers["box1"].fault, sim.searchers["box3"].fault, sim.searchers["box5"].fault = 1, 1, 1 // all holders of the second slice
	old := sim.startLookup(0, 2, 0, 4000*ms, false)
	began := sim.now
	c := sim.config
	c.Tariffs = []Tariff{{Expected: 1000 * ms, Patience: 4000 * ms, CompleteFrom: 0.5, LeastShare: 0.5}}
	sim.mixer.UpdateConfig(sim.now, c)
	c.Tariffs[0].CompleteFrom = 1 // the mixer has its own copy
	sim.config.Tariffs = []Tariff{{Expected: 1000 * ms, Patience: 4000 * ms, CompleteFrom: 0.5, LeastShare: 0.5}}
	next := sim.startLookup(0, 2, 0, 4000*ms, false)
	if sim.run(sim.now + 900*ms); !next.answeredWhole || old.ended {
		t.Errorf("lookup after the update: got complete answer %v, want true; lookup before it: got ended %v, want false",
			next.answeredWhole, old.ended)
	}
	if sim.run(began + 1900*ms); old.ended {
		t.Error("lookup before the update, at 1900 ms: got ended by the new expected time of 1000 ms, want 2000 ms")
	}
	if sim.run(began + 2000*ms); !old.ended || old.answeredWhole {
		t.Errorf("lookup before the update, at 2000 ms: got ended %v, complete answer %v, want true and false",
			old.ended, old.answeredWhole)
	}
	short := sim.startLookup(0, 1, 1, 4000*ms, false)
	began = sim.now
	sim.config.Tariffs = []Tariff{{Expected: 3000 * ms, Patience: 4000 * ms, CompleteFrom: 1, LeastShare: 1}}
	sim.mixer.UpdateConfig(sim.now, sim.config)
	long := sim.startLookup(0, 1, 1, 4000*ms, false)
	if sim.run(began + 1000*ms); !short.ended && !long.ended {
		t.Error("lookup with an expected time of 1000 ms: got no end by then")
	}
	if sim.mixer.longestExpected != float64(3000*ms) {
		t.Errorf("longest expected time: got %v ms, want 3000 ms", sim.mixer.longestExpected/float64(ms))
	}
}

// Fields that must not change keep their values, and a configuration with another number of tariffs
// or allowances is ignored.
func TestUpdateConfigFields(t *testing.T) {
	sim := startSimulation(t, 1, 2, func(c *Config) { c.Allowances = []float64{3} })
	began := sim.mixer.config
	c := Config{Zone: "z", Mixers: 9, Cells: 9, Reach: 9, MaxForwards: 9, MayAdvise: true, MaxAdvice: 8, Allowances: []float64{4},
		OverWorth: 0.1, Tariffs: []Tariff{{Expected: 5, Patience: 6, Effect: AtMostOnce, RepeatFor: 7, CompleteFrom: 0.8, LeastShare: 0.3,
			Partial: 0.2, SecondStep: 9}}}
	sim.mixer.UpdateConfig(sim.now, c)
	want := began
	want.Tariffs = []Tariff{{Expected: 5, Patience: 6, RepeatFor: 7, CompleteFrom: 0.8, LeastShare: 0.3, Partial: 0.2}}
	want.MaxAdvice, want.Allowances, want.OverWorth = 8, []float64{4}, 0.1
	if fmt.Sprintf("%+v", sim.mixer.config) != fmt.Sprintf("%+v", want) {
		t.Errorf("updated configuration: got %+v, want %+v", sim.mixer.config, want)
	}
	for _, invalid := range []Config{{}, {Tariffs: c.Tariffs}, {Tariffs: c.Tariffs, Allowances: []float64{1, 2}},
		{Tariffs: append(c.Tariffs, c.Tariffs...), Allowances: c.Allowances}} {
		if sim.mixer.UpdateConfig(sim.now, invalid); fmt.Sprintf("%+v", sim.mixer.config) != fmt.Sprintf("%+v", want) {
			t.Errorf("update with %+v: got %+v, want %+v", invalid, sim.mixer.config, want)
		}
	}
	(*Mixer)(nil).UpdateConfig(sim.now, c)
}
