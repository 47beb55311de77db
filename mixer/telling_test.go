package mixer

import (
	"math/rand"
	"testing"
)

// FuzzWords has a mixer told anything about anybody while it goes through a random world: the rules hold all the same. Nothing
// is lent to it, as the world knows of no lender.
func FuzzWords(f *testing.F) {
	for seed := range int64(40) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed int64) {
		words := rand.New(rand.NewSource(seed + 1))
		w := random(t, seed, func(w *world, all []Entry) {
			if words.Intn(4) > 0 {
				return
			}
			e := all[words.Intn(len(all))]
			ahead := func() int64 { return w.now + words.Int63n(4000*ms) - 1000*ms }
			w.m.UpdatePeerReports(w.now, []PeerReport{{Searcher: e.Searcher, Started: e.Started - int64(words.Intn(2)), At: ahead(), Until: ahead(),
				Slow: words.ExpFloat64() * 5, Weight: words.ExpFloat64() * 10, Silent: words.Intn(2) == 0, Sound: words.Intn(3) == 0,
				Suspecting: words.Intn(5), AwayUntil: ahead()}})
			if words.Intn(50) == 0 {
				w.m.HoldColdAllowance(ahead())
			}
			w.m.Observations(w.now, 2000*ms, func(o Observation) {
				if o.Loan < 0 || o.Rate < 0 || o.Loan > o.Rate+1/float64(w.c.FallFor)+1e-15 || o.Weight < 0 || o.Slow < 0 {
					t.Fatalf("told: %+v", o)
				}
				if st, ok := w.m.SearcherState(w.now, o.Searcher); !ok || st.Started != o.Started || st.ColdWait < 0 {
					t.Fatalf("standing: %+v", st)
				}
			})
		})
		if w.answers == 0 {
			t.Skip("a world without any answer")
		}
	})
}

// newcomer gives a world whose box0 is cold and alone in its cell, with the time when it warms up.
func newcomer(t *testing.T) *world {
	w := start(t, 1, 2, nil)
	w.shares(20) // what a warm one bears is learnt
	w.list(false, Entry{Searcher: "box0", Started: w.now})
	return w
}

// sentCold asks for the newcomer's slice again and again for a time, and gives how many parts it was sent.
func (w *world) sentCold(d int64) (n int) {
	before := len(w.cold[w.told["box0"]])
	for end := w.now + d; w.now < end; w.run(w.now + 20*ms) {
		w.take(0, 1, 0, 2000*ms, false)
	}
	return len(w.cold[w.told["box0"]]) - before
}

// What is lent, and what is held back at a start, is not used meanwhile and comes back from nothing.
func TestAShareThatIsAwayIsNotUsedAndComesBackFromNothing(t *testing.T) {
	alone := newcomer(t)
	if n := alone.sentCold(3000 * ms); n < 3 {
		t.Fatalf("alone it sends only %d parts to the newcomer, so the test shows little", n)
	}
	for _, lent := range []bool{true, false} {
		w := newcomer(t)
		until := w.now + 3000*ms
		if lent {
			w.m.UpdatePeerReports(w.now, []PeerReport{{Searcher: "box0", Started: w.told["box0"].Started, AwayUntil: until}})
		} else {
			w.m.HoldColdAllowance(until)
		}
		if n := w.sentCold(2990 * ms); n != 0 {
			t.Errorf("lent %v: %d parts are sent of a share that is away", lent, n)
		}
		if st, _ := w.m.SearcherState(w.now, "box0"); lent && st.ColdWait <= until-w.now {
			t.Errorf("it waits %d ms for a part, its share is away for %d", st.ColdWait/ms, (until-w.now)/ms)
		}
		w.run(until)
		if s := w.m.searchers["box0"]; lent && s.credit > 0.1 {
			t.Errorf("it has %v of a part saved up when its share comes back", s.credit)
		}
		if n := w.sentCold(3000 * ms); n == 0 {
			t.Errorf("lent %v: the share never comes back", lent)
		}
	}
}

func TestABorrowedShareAddsUntilItsEnd(t *testing.T) {
	const lent = 5e-9 // five parts a second
	w := newcomer(t)
	// The world's own check of the newcomer knows no lenders: the bound here is what is owned and borrowed.
	w.c.FallMultiple = 1e6
	one := newcomer(t)
	alone, later := one.sentCold(2000*ms), one.sentCold(2000*ms) // warmer by then
	w.m.UpdatePeerReports(w.now, []PeerReport{{Searcher: "box0", Started: w.told["box0"].Started, Lent: lent, LentUntil: w.now + 2000*ms}})
	n := w.sentCold(2000 * ms)
	if n < alone+3 || n > alone+10+1 {
		t.Errorf("%d parts in two seconds, alone %d and borrowed 10", n, alone)
	}
	if after := w.sentCold(2000 * ms); after > later+2 {
		t.Errorf("%d parts in the two seconds after its end, alone %d", after, later)
	}
}

// shares asks for lookups one at a time, so that all counts are equal, and gives how many parts each box of cell 0 was sent.
func (w *world) shares(n int) map[string]int {
	sent := map[string]int{}
	for range n {
		l := w.take(0, 1, 0, 2000*ms, false)
		for _, f := range l.h.parts[0].forwards {
			sent[f.s.id]++
		}
		w.run(w.now + 400*ms)
	}
	return sent
}

func TestAWordOrdersEqualsUntilItIsOldOrOverruled(t *testing.T) {
	w := start(t, 3, 6, nil) // boxes 0, 2 and 4 hold cell 0
	w.shares(10)
	slow := func(at int64) PeerReport {
		return PeerReport{Searcher: "box2", At: at, Until: w.now + 60_000*ms, Slow: 10, Weight: 8}
	}
	w.m.UpdatePeerReports(w.now, []PeerReport{slow(w.now)})
	if n := w.shares(20)["box2"]; n != 0 {
		t.Errorf("%d of 20 parts go to one said to be slow", n)
	}
	w.m.UpdatePeerReports(w.now, []PeerReport{{Searcher: "box2", Started: 5, At: w.now, Until: w.now + 60_000*ms, Slow: 1, Weight: 8}})
	if n := w.shares(10)["box2"]; n != 0 {
		t.Errorf("%d of 10 parts go to it for a word on another process", n)
	}
	s := w.m.searchers["box2"]
	alone := func() float64 { return s.pace.Read(w.now, paceHalf, w.m.pace.Read(w.now, halfLife, 0, 0), lean) }
	w.m.UpdatePeerReports(w.now, []PeerReport{slow(w.now)})
	if with := w.m.unit(w.now, s); with < 4*alone() {
		t.Errorf("held to take %d ms for a word of ten times, alone %d", int64(with)/ms, int64(alone())/ms)
	}
	// Own answers newer than the word weigh by themselves: it is leant on as the fleet's figure is.
	w.list(false, Entry{Searcher: "box0", Status: Dead}, Entry{Searcher: "box4", Status: Dead})
	w.m.UpdatePeerReports(w.now, []PeerReport{{Searcher: "box2"}})
	w.shares(20)
	w.m.UpdatePeerReports(w.now, []PeerReport{slow(0)})
	if with := w.m.unit(w.now, s); with > 3*alone() || with < 1.2*alone() {
		t.Errorf("held to take %d ms by a word older than its own answers, alone %d", int64(with)/ms, int64(alone())/ms)
	}
	w.run(w.now + 60_000*ms)
	if with := w.m.unit(w.now, s); with != alone() {
		t.Errorf("an old word is believed still: %v, alone %v", with, alone())
	}
}

func TestOneSaidToBeSilentIsPickedLastUntilItAnswers(t *testing.T) {
	w := start(t, 3, 6, nil)
	w.shares(10)
	say := func() {
		w.m.UpdatePeerReports(w.now, []PeerReport{{Searcher: "box2", At: w.now, Until: w.now + 30_000*ms, Silent: true, Suspecting: 2}})
	}
	say()
	if n := w.shares(20)["box2"]; n != 0 {
		t.Errorf("%d of 20 parts go to one said to be silent", n)
	}
	say()
	s := w.m.searchers["box2"]
	if !s.doubted(w.now) || !w.m.shunned(w.now, s) {
		t.Error("it is not passed over")
	}
	s.heard = w.now + 1
	if s.doubted(w.now+2) || w.m.shunned(w.now+2, s) {
		t.Error("it has answered since, and is passed over still")
	}
	s.heard = 0
	for _, other := range []string{"box0", "box4"} {
		w.m.UpdatePeerReports(w.now, []PeerReport{{Searcher: other, At: w.now, Until: w.now + 30_000*ms, Silent: true, Suspecting: 2}})
	}
	if l := w.take(0, 1, 0, 2000*ms, false); !l.ended {
		t.Error("a lookup is kept waiting for holders none of which answers")
	}
	if w.run(w.now + 30_000*ms); s.doubted(w.now) || w.m.shunned(w.now, s) {
		t.Error("an old word is believed still")
	}
	if l := w.take(0, 1, 0, 2000*ms, false); l.ended {
		t.Error("a lookup is turned away by old words")
	}
}

func TestWhatOthersHearAgainIsTestedAtTheNextChance(t *testing.T) {
	w := start(t, 5, 6, nil)
	w.shares(10)
	w.box["box2"].broken = 1
	s := w.m.searchers["box2"]
	for range 30 {
		if w.shares(5); s.suspect {
			break
		}
	}
	s.testAt = w.now + 100_000*ms
	w.box["box2"].broken = 0
	w.run(w.now + 5000*ms) // tests are few
	if !s.suspect || !w.m.mayTest(w.now) {
		t.Fatalf("suspect %v, the allowance for tests is back %v", s.suspect, w.m.mayTest(w.now))
	}
	w.m.UpdatePeerReports(w.now, []PeerReport{{Searcher: "box2", At: w.now, Until: w.now + 2000*ms, Sound: true}})
	if n := w.shares(1)["box2"]; n != 1 || s.suspect {
		t.Errorf("%d parts go to it, suspect %v", n, s.suspect)
	}
}
