package mixer

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
)

// scribe is a floor that writes down each call, and hands it on.
type scribe struct {
	*world
	calls []string
}

func (s *scribe) say(call string, about ...any) {
	s.calls = append(s.calls, fmt.Sprint(s.now, " ", call, " ", about))
}

func (s *scribe) Forward(part, searcher string, within int64) {
	s.say("forward", part, searcher, within)
	s.world.Forward(part, searcher, within)
}

func (s *scribe) Cancel(part string, forward int) {
	s.say("cancel", part, forward)
	s.world.Cancel(part, forward)
}

func (s *scribe) Answer(id string, whole bool) {
	s.say("answer", id, whole)
	s.world.Answer(id, whole)
}

func (s *scribe) Reject(id string, wait int64) {
	s.say("bounce", id, wait)
	s.world.Reject(id, wait)
}

func (s *scribe) Fail(id string) {
	s.say("fail", id)
	s.world.Fail(id)
}

func (s *scribe) CloseIdle(searcher string) {
	s.say("close", searcher)
	s.world.CloseIdle(searcher)
}

func (s *scribe) SetTimer(after int64, whose TimerHandler) {
	s.say("timer", after)
	s.world.SetTimer(after, whose)
}

func (s *scribe) Subscribe() {
	s.say("subscribe")
	s.world.Subscribe()
}

// state gives what a mixer has counted and learnt, the charter aside.
func state(m *Mixer) string {
	var all []any
	for _, cell := range m.cells {
		for _, s := range cell {
			all = append(all, s.id, s.calls, s.parts, s.pace, s.told, s.heard, s.sentAt, s.unheard, s.suspect, s.wait, s.testAt, s.credit,
				s.creditAt, len(s.out), s.word, s.want, s.sent, *s.zone)
		}
	}
	return fmt.Sprint(all, m.rows, m.pace, m.sent, m.copies, m.tests, m.idle, m.anew, m.taken, m.spent, m.borne, m.bears, m.heard,
		m.asking, m.refusals, m.customers, m.held)
}

// A mixer that is told its own charter again and again, at any moment, makes the same calls as one that is not, to the last timer.
func TestTheSameVersionDecidesTheSame(t *testing.T) {
	calls, adopted := 0, 0
	for seed := range int64(8) {
		var runs [2][]string
		for again := range runs {
			s, rng := (*scribe)(nil), rand.New(rand.NewSource(seed))
			random(t, seed, func(w *world, _ []Entry) {
				if s == nil {
					s = &scribe{world: w}
					w.m.floor = s
				}
				if again == 0 {
					return
				}
				for range rng.Intn(3) {
					before := state(w.m)
					if w.m.UpdateConfig(w.now, w.c); state(w.m) != before {
						t.Fatalf("seed %d: a version changes\n%s\nto\n%s", seed, before, state(w.m))
					}
					adopted++
				}
				w.after(rng.Int63n(50*ms), func() { w.m.UpdateConfig(w.now, w.c) }) // between any two calls
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
func other(rng *rand.Rand, c Config) Config {
	drawn := charter(rng)
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
func TestLookupsEndUnderTheirOwnVersion(t *testing.T) {
	versions := 0
	for seed := range int64(24) {
		rng := rand.New(rand.NewSource(seed))
		random(t, seed, func(w *world, _ []Entry) {
			if rng.Intn(6) == 0 {
				before := state(w.m)
				w.c = other(rng, w.c)
				if w.m.UpdateConfig(w.now, w.c); state(w.m) != before {
					t.Fatalf("seed %d: a version changes\n%s\nto\n%s", seed, before, state(w.m))
				}
				versions++
			}
			for id, l := range w.lookups {
				end := min(l.notAfter, w.now+l.t.Expected) - endMargin // a repeat was asked for earlier
				if *l.h.t != l.t || l.h.end > end || !l.ended && w.now > max(l.h.end, 0)+w.lag+2*endMargin && l.h.planned {
					t.Fatalf("seed %d: lookup %s of %+v is held to %+v, until %d at %d", seed, id, l.t, *l.h.t, l.h.end, w.now)
				}
			}
		})
	}
	t.Logf("%d versions", versions)
}

// One that was taken before is neither ended earlier nor answered with less; the next is.
func TestBeforeAndAfterAVersion(t *testing.T) {
	w := start(t, 1, 6, nil)
	w.warmUp(10)
	w.box["box1"].broken, w.box["box3"].broken, w.box["box5"].broken = 1, 1, 1 // all that hold the second slice
	old := w.take(0, 2, 0, 4000*ms, false)
	began := w.now
	c := w.c
	c.Tariffs = []Tariff{{Expected: 1000 * ms, Patience: 4000 * ms, CompleteFrom: 0.5, LeastShare: 0.5}}
	w.m.UpdateConfig(w.now, c)
	c.Tariffs[0].CompleteFrom = 1 // what the caller does with it later is nothing here
	w.c.Tariffs = []Tariff{{Expected: 1000 * ms, Patience: 4000 * ms, CompleteFrom: 0.5, LeastShare: 0.5}}
	next := w.take(0, 2, 0, 4000*ms, false)
	if w.run(w.now + 900*ms); !next.answeredWhole || old.ended {
		t.Errorf("taken after a version that asks for half: answered whole %v; taken before: ended %v", next.answeredWhole, old.ended)
	}
	if w.run(began + 1900*ms); old.ended {
		t.Error("one taken before is ended by the newer, shorter time")
	}
	if w.run(began + 2000*ms); !old.ended || old.answeredWhole {
		t.Errorf("one taken before has ended %v, answered whole %v, under a version that asks for all", old.ended, old.answeredWhole)
	}
	short := w.take(0, 1, 1, 4000*ms, false)
	began = w.now
	w.c.Tariffs = []Tariff{{Expected: 3000 * ms, Patience: 4000 * ms, CompleteFrom: 1, LeastShare: 1}}
	w.m.UpdateConfig(w.now, w.c)
	long := w.take(0, 1, 1, 4000*ms, false)
	if w.run(began + 1000*ms); !short.ended && !long.ended {
		t.Error("one taken under the shorter time is waited for beyond it")
	}
	if w.m.long != float64(3000*ms) {
		t.Errorf("the longest expected time is held to be %v ms", w.m.long/float64(ms))
	}
}

// What no version may change stays as at the start, and a charter of other rows changes nothing.
func TestOnlyWhatMayChangeIsTaken(t *testing.T) {
	w := start(t, 1, 2, func(c *Config) { c.Allowances = []float64{3} })
	began := w.m.c
	c := Config{Zone: "z", Mixers: 9, Cells: 9, Reach: 9, MaxForwards: 9, MayAdvise: true, MaxAdvice: 8, Allowances: []float64{4},
		OverWorth: 0.1, Tariffs: []Tariff{{Expected: 5, Patience: 6, Effect: AtMostOnce, RepeatFor: 7, CompleteFrom: 0.8, LeastShare: 0.3,
			Partial: 0.2, SecondStep: 9}}}
	w.m.UpdateConfig(w.now, c)
	want := began
	want.Tariffs = []Tariff{{Expected: 5, Patience: 6, RepeatFor: 7, CompleteFrom: 0.8, LeastShare: 0.3, Partial: 0.2}}
	want.MaxAdvice, want.Allowances, want.OverWorth = 8, []float64{4}, 0.1
	if fmt.Sprintf("%+v", w.m.c) != fmt.Sprintf("%+v", want) {
		t.Errorf("%+v, want %+v", w.m.c, want)
	}
	for _, odd := range []Config{{}, {Tariffs: c.Tariffs}, {Tariffs: c.Tariffs, Allowances: []float64{1, 2}},
		{Tariffs: append(c.Tariffs, c.Tariffs...), Allowances: c.Allowances}} {
		if w.m.UpdateConfig(w.now, odd); fmt.Sprintf("%+v", w.m.c) != fmt.Sprintf("%+v", want) {
			t.Errorf("%+v is taken", odd)
		}
	}
	(*Mixer)(nil).UpdateConfig(w.now, c)
}
