package subset

import (
	"fmt"
	"maps"
	"testing"

	"nettlefold/mixer"
)

// large is a cell of 420 in eight zones, as a mixer of 6,300 with subsets of 32 sees it.
func large() (*judge, []mixer.Entry) {
	o := usual()
	o.Cells, o.Least, o.Most, o.Mixers, o.Users, o.Hold, o.Meetings = 1, 32, 64, mixers, 225, 30*second, 64
	var rows []mixer.Entry
	for i := range holders {
		rows = append(rows, mixer.Entry{Searcher: fmt.Sprint("s", i), Zone: fmt.Sprint("z", i%ofZones)})
	}
	j := newJudge(o, nil)
	j.change(rows...)
	return j, rows
}

// used gives whom the module may send to.
func (j *judge) used() map[string]bool {
	all := map[string]bool{}
	for name, e := range j.told {
		if e.Status == mixer.Live {
			all[name] = true
		}
	}
	return all
}

// A rolling restart of all searchers within an hour: each drains for 5 s, is gone for 3 s and comes back cold. Every rule holds each
// second, few more are used than are needed, and at its end the same as before it are. Each of the 32 is replaced and comes back, and so
// are some of those in its stead.
func TestRollingRestartOfAllInAnHour(t *testing.T) {
	j, rows := large()
	before, most, turns := j.used(), 0, 0
	for at := range 3700 {
		for i, e := range rows {
			switch at - i*3600/holders {
			case 0:
				e.Status = mixer.Draining
			case 5:
				e.Status = mixer.Dead
			case 8:
				e.Started = j.now
			default:
				continue
			}
			had := j.used()
			j.change(e)
			turns += moved(j.used(), had)
		}
		j.step(second)
		most = max(most, len(j.used()))
	}
	if t.Logf("%d used at the most of 32 that are needed, %d brought in by %d restarts", most, turns, holders); j.broken != "" {
		t.Error(j.broken)
	}
	if most > 40 || turns > 4*32 || !maps.Equal(before, j.used()) {
		t.Errorf("%d used at the most, %d brought in, the same as before: %v", most, turns, maps.Equal(before, j.used()))
	}
}

// A zone falls silent: at the next step as many sound ones of other zones are in use as before, none of the silent zone is added, and
// the tests of it go on. When it answers again the others go one a second, after a while, and no attempt is cut.
func TestZoneLost(t *testing.T) {
	j, _ := large()
	before := j.used()
	lost := func(silent bool) map[string]int {
		j.now += second
		all := j.own()
		for i := range all {
			all[i].ZoneSilent = silent && j.list[all[i].Searcher].Zone == "z0"
		}
		j.take(j.c.Step(j.now, all))
		byZone := map[string]int{}
		for name := range j.used() {
			byZone[j.list[name].Zone]++
		}
		return byZone
	}
	first := lost(false)
	for range 5 {
		got, others := lost(true), 0
		for z, n := range got {
			if z != "z0" {
				others += n
			}
		}
		if others != 32 || got["z0"] != first["z0"] || first["z0"] == 0 {
			t.Fatalf("%v, before %v", got, first)
		}
	}
	wide := len(j.used())
	for at := range 60 {
		lost(false)
		if n := len(j.used()); at < 30 && n != wide || n < max(32, wide-max(0, at-29)) {
			t.Fatalf("%d used %d s after the zone is back, %d before", n, at+1, wide)
		}
	}
	if !maps.Equal(before, j.used()) || j.broken != "" {
		t.Errorf("not the same as before; %s", j.broken)
	}
	if c := j.c.(*Chooser); len(c.State(j.now).Silent) != 0 {
		t.Errorf("%+v", c.State(j.now))
	}
}

// Every searcher of every zone silent, as for a mixer that is cut off: there is nobody to turn to, and nothing is turned over.
func TestCutOff(t *testing.T) {
	j, _ := large()
	before := j.used()
	for range 20 {
		j.now += second
		all := j.own()
		for i := range all {
			all[i].Suspect, all[i].ZoneSilent = true, true
		}
		j.take(j.c.Step(j.now, all))
	}
	if n := len(j.used()); n != holders || j.broken != "" { // it asks everybody, as it would without a subset
		t.Errorf("%d used, %s", n, j.broken)
	}
	for range 2 * holders {
		j.step(second)
	}
	if !maps.Equal(before, j.used()) || j.broken != "" {
		t.Errorf("%d used when it is back; %s", len(j.used()), j.broken)
	}
}

// A slice with one holder, and cells of four: all are used, whatever the settings.
func TestFewHolders(t *testing.T) {
	for _, n := range []int{1, 4} {
		o := usual()
		o.Cells, o.Least, o.Most, o.Mixers = 1, 32, 64, mixers
		j := newJudge(o, nil)
		for i := range n {
			j.change(mixer.Entry{Searcher: fmt.Sprint("s", i), Zone: fmt.Sprint("z", i)})
		}
		if c := j.c.(*Chooser); len(j.used()) != n || !c.Settled() || j.broken != "" || c.State(j.now).Whole != 1 {
			t.Errorf("%d of %d used; %s", len(j.used()), n, j.broken)
		}
	}
}

// With few mixers a subset would have some searchers used far more than others, so all are used; the more mixers there are, the fewer
// searchers each needs.
func TestManyMixersAreNeeded(t *testing.T) {
	for _, c := range []struct{ mixers, used int }{{30, holders}, {300, holders}, {450, holders}, {900, 105}, {6300, 32}} {
		o := usual()
		o.Cells, o.Least, o.Most, o.Mixers, o.Users = 1, 32, 64, c.mixers, 225
		j := newJudge(o, nil)
		for i := range holders {
			j.change(mixer.Entry{Searcher: fmt.Sprint("s", i), Zone: fmt.Sprint("z", i%ofZones)})
		}
		for range 800 {
			j.step(second)
		}
		if n := len(j.used()); n != c.used || j.broken != "" {
			t.Errorf("%d mixers: %d used, want %d; %s", c.mixers, n, c.used, j.broken)
		}
	}
}

// The size follows the traffic: at 0.31 parts a second for each of 420 holders each of a subset is met 64 times in the 23 s for which
// what it took is remembered. It grows at once, shrinks by one a second, and small changes do nothing.
func TestSizeFollowsTheTraffic(t *testing.T) {
	j, _ := large()
	sizes := func(rate float64, seconds int) (n int) {
		j.sent[0] = rate
		for range seconds {
			j.step(second)
		}
		return len(j.used())
	}
	for _, c := range []struct {
		rate       float64
		after, use int
	}{{0, 1, 32}, {130.2, 1, 47}, {120, 100, 47}, {150, 100, 47}, {1000, 1, 64}, {1000, 100, 64}, {130.2, 10, 64}, {130.2, 100, 62}, {0, 200, 42}} {
		if got := sizes(c.rate, c.after); got != c.use {
			t.Errorf("%v a second for %d s: %d used, want %d", c.rate, c.after, got, c.use)
		}
	}
	if j.broken != "" {
		t.Error(j.broken)
	}
}

// A suspect that starts anew is none: what was held against it was of another process.
func TestSuspectStartsAnew(t *testing.T) {
	j, _ := large()
	c := j.c.(*Chooser)
	var one mixer.Entry
	for name := range j.used() {
		one = j.list[name]
		j.ill[name] = true
		break
	}
	if j.step(second); c.State(j.now).Ill != 1 || len(j.used()) != 33 {
		t.Fatalf("%+v", c.State(j.now))
	}
	one.Started = j.now - 100*second
	if j.change(one); c.State(j.now).Ill != 0 || j.broken != "" {
		t.Errorf("%+v; %s", c.State(j.now), j.broken)
	}
}
