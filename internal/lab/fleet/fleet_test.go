package fleet

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"nettlefold/internal/sharing"
	"nettlefold/mixer"
)

// small is a deployment that a test can afford.
func small(seed int64, shared bool) Setup { return Usual(seed, 8, 0.5, 0.9, shared) }

// traced plays a world for some seconds and gives every action of every module.
func traced(s Setup, seconds int64, before func(*World)) []string {
	w := New(s)
	var all []string
	w.Trace = func(node int, what string) { all = append(all, fmt.Sprint(node, " ", what)) }
	if before != nil {
		before(w)
	}
	w.After(5000*ms, func() { w.Restart(w.Searchers[2], 500*ms) })
	w.After(6000*ms, func() { w.Searchers[7].Silent = true })
	w.Run(w.Now + seconds*1000*ms)
	return all
}

func differ(t *testing.T, what string, one, other []string) {
	t.Helper()
	if len(one) < 1000 {
		t.Fatalf("%s: only %d actions", what, len(one))
	}
	for i := range min(len(one), len(other)) {
		if one[i] != other[i] {
			t.Fatalf("%s: action %d is %q, alone %q", what, i, other[i], one[i])
		}
	}
	if len(one) != len(other) {
		t.Fatalf("%s: %d actions, alone %d", what, len(other), len(one))
	}
}

func TestWithoutAnswersOfTheStoreAllIsAsAlone(t *testing.T) {
	alone := traced(small(1, false), 15, nil)
	differ(t, "the same seed again", alone, traced(small(1, false), 15, nil))
	for _, name := range []string{"silent", "answers after 5 s", "always just late", "drops replies"} {
		differ(t, name, alone, traced(small(1, true), 15, Troubles[name]))
	}
	// The comparison can fail: with a store that answers there are other actions.
	if shared := traced(small(1, true), 15, nil); slices.Equal(alone, shared) {
		t.Error("sharing changed nothing at all")
	}
}

// say puts a sheet of a mixer that is not played into the store.
func (w *World) say(name, zone string, number uint64, rows ...sharing.Row) {
	s := &sharing.Sheet{Version: 1, Mixer: name, Zone: zone, Life: 99, Number: number, Rows: rows}
	raw, err := s.Append()
	if err != nil {
		panic(err)
	}
	w.Store.keys[name] = entry{raw, s, w.Now + 1_000_000*ms}
}

// bad says of a searcher's process that it is silent and slow, and asks for its share.
func bad(s *Searcher) sharing.Row {
	return sharing.Row{Searcher: s.Name, Started: s.Started, Slow: 20, Weight: 8, Suspect: 500, Ask: 1e-6}
}

func TestWordsLeaveNoTraceOneLeaseAfterTheLast(t *testing.T) {
	s := small(1, true)
	s.Rates = nil
	w := New(s)
	w.Searchers[3].Started = w.Now - 1000*ms // cold, so that there is something to lend
	w.Tell(w.Searchers[3])
	w.Run(w.Now + 3000*ms)
	for i := range uint64(20) {
		for _, other := range []string{"x", "y", "z"} {
			w.say(other, "a", i+1, bad(w.Searchers[5]), bad(w.Searchers[3]))
		}
		w.Run(w.Now + 250*ms)
	}
	if !w.Mixers[0].passes(w.Searchers[5]) {
		t.Fatal("what three mixers say is not believed, so the test shows nothing")
	}
	w.Store.Stalled = true
	// From one lease after the last word, and what a lender gives up beyond it.
	w.Run(w.Now + 500*ms + sharing.GivenUp)
	w.standings(1, w.Mixers, []*Searcher{w.Searchers[5], w.Searchers[3]}, func(n *Node, o *Searcher, st mixer.SearcherState) {
		if st.Word != (mixer.PeerReport{}) || st.Doubted || st.Shunned || st.Suspect {
			t.Errorf("mixer %d of searcher %s, one lease after the last word: %+v", n.Index, o.Name, st)
		}
	})
}

// standings goes through how searchers stand with some mixers, every half second of so many.
func (w *World) standings(halves int, at []*Node, of []*Searcher, each func(n *Node, o *Searcher, st mixer.SearcherState)) {
	for range halves {
		w.Run(w.Now + 500*ms)
		for _, n := range at {
			for _, o := range of {
				st, _ := n.M.Standing(w.Now, o.Name)
				each(n, o, st)
			}
		}
	}
}

func TestOneMixerWithABrokenLineIsNotBelieved(t *testing.T) {
	s := small(3, true)
	w := New(s)
	w.Mixers[0].Broken = func(i int) bool { return i%2 == 0 }
	w.standings(40, w.Mixers[1:], w.Searchers, func(n *Node, o *Searcher, st mixer.SearcherState) {
		if st.Word.Silent || st.Doubted {
			t.Fatalf("after %v mixer %d holds the sound searcher %s silent: %+v", w.Now, n.Index, o.Name, st.Word)
		}
	})
	n := 0
	w.standings(1, w.Mixers[:1], w.Searchers, func(_ *Node, _ *Searcher, st mixer.SearcherState) {
		if st.Suspect {
			n++
		}
	})
	if n < 4 {
		t.Errorf("the mixer with the broken line suspects only %d searchers, so the test shows little", n)
	}
}

func TestALiarIsOutvoted(t *testing.T) {
	w := New(small(4, true))
	w.Mixers[1].Liar = func(s *sharing.Sheet) {
		s.Rows = nil
		for _, o := range w.Searchers {
			s.Rows = append(s.Rows, bad(o))
		}
	}
	w.standings(40, w.Mixers[2:], w.Searchers, func(n *Node, o *Searcher, st mixer.SearcherState) {
		if st.Doubted || st.Word.Slow > 19 { // it says 20; what sound mixers met by chance is less
			t.Fatalf("mixer %d believes a liar of searcher %s: %+v", n.Index, o.Name, st.Word)
		}
	})
}

func TestALineBrokenForAZoneIsBelievedThereOnly(t *testing.T) {
	s := small(5, true)
	w := New(s)
	for _, n := range w.Mixers {
		if n.Zone == "a" {
			n.Broken = func(i int) bool { return w.Searchers[i].Zone == "b" }
		}
	}
	w.Run(w.Now + 14_500*ms)
	w.standings(1, w.Mixers, w.Searchers, func(n *Node, o *Searcher, st mixer.SearcherState) {
		if n.Zone == "b" && (st.Doubted || st.Suspect) {
			t.Errorf("mixer %d of the other zone passes over the sound %s", n.Index, o.Name)
		}
	})
}

func TestNothingSaidOfAnOldProcessTouchesTheNew(t *testing.T) {
	w := New(small(6, true))
	w.ListLate = 1 * ms
	w.Run(w.Now + 10_000*ms)
	ill := w.Searchers[5]
	ill.Silent = true
	w.Run(w.Now + 5000*ms)
	doubt := 0
	for _, n := range w.Mixers {
		if st, _ := n.M.Standing(w.Now, ill.Name); st.Shunned || st.Suspect {
			doubt++
		}
	}
	if doubt < 7 {
		t.Fatalf("only %d of 8 mixers pass the silent searcher over", doubt)
	}
	ill.Silent = false
	w.Restart(ill, 1*ms)
	w.Run(w.Now + 5*ms)
	for _, n := range w.Mixers {
		st, _ := n.M.Standing(w.Now, ill.Name)
		if st.Started != ill.Started {
			t.Fatalf("mixer %d has not heard of the new process", n.Index)
		}
		if st.Word.Until != 0 || st.Suspect || st.Doubted {
			t.Errorf("mixer %d of the new process: %+v", n.Index, st)
		}
	}
}

func TestSuspectsAreTestedTogetherAsByOne(t *testing.T) {
	// A cell of which all are silent, so that nobody better holds its slices, would test nothing: one of three is.
	count := func(mixers int, shared bool) (tests int) {
		s := Usual(7, mixers, 0.4, 0, shared)
		w := New(s)
		w.Run(w.Now + 10_000*ms)
		w.Searchers[4].Silent = true
		w.Run(w.Now + 10_000*ms)
		w.Trace = func(_ int, what string) {
			if strings.HasSuffix(what, "to s4") {
				tests++
			}
		}
		w.Run(w.Now + 30_000*ms)
		return tests
	}
	alone, shared := count(12, false), count(12, true)
	t.Logf("forwards to a silent searcher in 30 s, 12 mixers: %d alone, %d shared", alone, shared)
	if shared*3 > alone*1 {
		t.Errorf("%d forwards to a silent searcher, alone %d", shared, alone)
	}
	if shared == 0 {
		t.Error("nobody tests it any more")
	}
}

func TestNoTroubleOfTheStorePushesASearcherOver(t *testing.T) {
	for name, trouble := range Troubles {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := Roll(Usual(11, 12, 0.6, 0.9, true), trouble)
			if r.Falls > 0 {
				t.Errorf("%d searchers were pushed over", r.Falls)
			}
			if r.Used < 0.1 {
				t.Errorf("only %.2f of what newcomers bear is used", r.Used)
			}
		})
	}
}
