package fleet

import (
	"fmt"
	"testing"

	"nettlefold/internal/subset"
	"nettlefold/mixer"
)

// subsets has each mixer use so many of the holders of one cell, and share the cold budget with those that may use a searcher.
func subsets(searchers, least, most int) func(*Setup) {
	return func(s *Setup) {
		s.Searchers, s.Zones, s.Charter.Cells = searchers, 4, 1
		o := subset.Options{Cells: 1, Mixers: s.Mixers, Least: least, Most: most, Meetings: 64, Memory: mixer.PaceHalfLife,
			Linger: s.Charter.Tariffs[0].Patience, Hold: 30_000 * ms, ColdFor: s.Charter.ColdFor}
		b := subset.Bound(o, searchers, searchers)
		o.ColdShare, s.Charter.Users, s.Charter.UsersMean = b.ColdShare, b.Users, b.UsersMean
		s.Subset = func(name, zone string) subset.Options {
			o.Name, o.Zone = name, zone
			return o
		}
	}
}

// With subsets too, a searcher that has just started is sent by all mixers together no more than N and room for chance: where it is
// alone in its cell, so that all who may use it want to; where many are replaced; and where mixers start anew. The cell has 60
// searchers of 40 parts a second; of the plan's size are the mixers alone, since 420 holders and 130 parts a second for each mixer and
// cell take too long here. It is tighter than the plan: 700 parts in a window then, of one each by 1,662 who may, are 6 here of 1,200.
func TestColdSearchersAreSparedBySubsets(t *testing.T) {
	some := func(w *World, step int) {
		replaced(w, step, len(w.Searchers)/6)
		anew(w, step, 20, 50)
	}
	for _, c := range []struct {
		press
		setup func(*Setup)
	}{
		{press{"30, alone", 30, 2, 800, 50, false, false, nil, drained}, subsets(60, 6, 8)},
		{press{"30, some replaced", 30, 2, 800, 50, false, false, nil, some}, subsets(60, 6, 8)},
		{press{"300, alone", 300, 2, 800, 50, false, false, nil, drained}, subsets(60, 6, 8)},
		{press{"300, alone, uneven, traffic moves", 300, 2, 800, 50, true, true, nil, drained}, subsets(60, 6, 8)},
		{press{"300, some replaced", 300, 2, 800, 50, false, false, nil, some}, subsets(60, 6, 8)},
		{press{"6300, alone", 6300, 2, 800, 50, false, false, nil, drained}, subsets(60, 4, 6)},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			used, at, sent, w := c.playOn(1, c.setup)
			t.Logf("%.2f used, %s; %d parts in all, %.3f in time; bounded by %d users", used, at, sent, w.InTime(w.Now-11_500*ms, w.Now-800*ms),
				w.Charter.Users)
			if used > 1 || sent == 0 {
				t.Errorf("a cold searcher is pushed over, or sent nothing: %s", at)
			}
		})
	}
}

// A budget shared by a thirtieth of those who use a searcher is overdrawn, or the test above shows nothing.
func TestTooFewUsersAreFound(t *testing.T) {
	p := press{"", 300, 2, 800, 50, false, false, nil, drained}
	used, at, _, _ := p.playOn(1, func(s *Setup) {
		subsets(60, 6, 8)(s)
		s.Charter.Users, s.Charter.UsersMean = s.Charter.Users/30, 1
	})
	if t.Logf("%.2f used, %s", used, at); used <= 1 {
		t.Error("not found")
	}
}

// Where a charter says that all mixers use a searcher, every step is as where it says nothing.
func TestUsedByAllIsAsUnset(t *testing.T) {
	play := func(users int) (all []string) {
		s := Usual(3, 12, 0.6, 0, false)
		s.Charter.Users, s.Charter.UsersMean = users, users
		w := New(s)
		w.Trace = func(node int, what string) { all = append(all, fmt.Sprint(node, what)) }
		w.Run(w.Now + 3000*ms)
		w.Restart(w.Searchers[0], 500*ms)
		w.Run(w.Now + 8000*ms)
		return all
	}
	unset, set := play(0), play(12)
	if len(unset) < 1000 || fmt.Sprint(unset) != fmt.Sprint(set) {
		t.Errorf("%d steps, %d where it is said", len(unset), len(set))
	}
	if few := play(6); fmt.Sprint(unset) == fmt.Sprint(few) {
		t.Error("half as many users change nothing")
	}
}

// A subset of holders serves as well as all of them where each mixer meets each searcher 0.31 times a second, and connects to fewer. All of
// them are used evenly too: with a coin at each equal in place of a tie-break drawn by each, all mixers went for the last of the
// list (99th percentile 249 ms, load's deviation 0.40).
func TestSubsetOfThinTraffic(t *testing.T) {
	t.Parallel()
	s := Thin{Seed: 1, Mixers: 225, Holders: 64, Met: 0.31, Work: 10 * ms, Settle: 8_000 * ms, For: 4_000 * ms}
	whole := s.Play()
	s.Size = 16
	part := s.Play()
	t.Logf("whole %+v", whole)
	t.Logf("of 16 %+v", part)
	if part.InTime < whole.InTime-0.005 || part.P99 > whole.P99*11/10 || part.Spread > whole.Spread*11/10 || part.Pairs > 225*16 || part.Pairs > whole.Pairs {
		t.Error("a subset does worse")
	}
	if whole.Spread > 0.15 {
		t.Error("some of all are favoured")
	}
}

// A zone of four is lost to all mixers at once: subsets widen together, each to others, and serve as well as where all were used.
func TestSubsetsWidenTogether(t *testing.T) {
	t.Parallel()
	s := Thin{Seed: 2, Mixers: 225, Holders: 64, Met: 0.31, Work: 7 * ms, Settle: 8_000 * ms, For: 5_000 * ms, Lost: true}
	whole := s.Play()
	s.Size = 16
	part := s.Play()
	t.Logf("whole %+v", whole)
	t.Logf("of 16 %+v", part)
	if part.InTime < whole.InTime-0.01 || part.Most > 1.5 || part.Spread > whole.Spread*11/10 {
		t.Error("a subset does worse")
	}
}
