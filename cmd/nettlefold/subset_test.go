package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"nettlefold/example/toy"
	"nettlefold/internal/protocol"
	"nettlefold/internal/settings"
	"nettlefold/internal/subset"
	"nettlefold/mixer"
)

// many prepares two cells of twelve searchers in three zones.
func many(t *testing.T) *world {
	w := prepare(t)
	w.searchers = nil
	for i := range 24 {
		w.searchers = append(w.searchers, &toy.Searcher{Name: fmt.Sprint("s", i), Zone: fmt.Sprint("z", i%3), Cell: i / 12, Took: time.Millisecond})
	}
	w.settings["NInstances"] = 1000
	return w
}

// The program uses four searchers of each cell, others in the stead of those that are silent or drain, and the same four of each
// after a restart. Nobody else is connected to.
func TestUsesASubset(t *testing.T) {
	w := many(t)
	var silent [24]atomic.Bool
	for i, s := range w.searchers {
		s.Handle = func(p toy.Part) {
			if !silent[i].Load() {
				p.Answer("ok", p.Value())
			}
		}
	}
	const admin = "127.78.9.1:19090"
	w.own(admin, `<subset least="4" most="4" users="1"/>`)
	w.start()
	stands := func() (s subset.State) {
		t.Helper()
		if text := fetch("http://" + admin + "/subset"); json.Unmarshal([]byte(text), &s) != nil {
			t.Fatal(text)
		}
		return s
	}
	told := func() (all []int) { // whom the module knows of as live
		for i, s := range w.searchers {
			var why struct{ Standing mixer.SearcherState }
			if text := fetch("http://" + admin + "/why?searcher=" + s.Name); json.Unmarshal([]byte(text), &why) == nil && why.Standing.Status == mixer.Live {
				all = append(all, i)
			}
		}
		return all
	}
	only := func(these []int) { // and nobody else is sent to or connected to
		t.Helper()
		for i, s := range w.searchers {
			if !slices.Contains(these, i) && (calls(s) > 0 || s.Conns() > 0) {
				t.Errorf("searcher %d has %d calls and %d connections", i, calls(s), s.Conns())
			}
		}
	}
	first := told()
	s := stands()
	if s.Listed != 24 || s.Used != 8 || s.Needed != 8 || s.Cells != 2 || s.Whole != 0 || len(first) != 8 || first[4] < 12 || first[3] > 11 {
		t.Fatalf("%+v, told of %v", s, first)
	}
	if n := w.satisfied("first", 60); n != 60 {
		t.Errorf("%d of 60 served", n)
	}
	only(first)
	if text := fetch("http://" + admin + "/metrics"); !strings.Contains(text, "nettlefold_subset_used 8\n") {
		t.Errorf("the metrics have no 8 that are used: %s", text)
	}

	for _, i := range first[:4] {
		silent[i].Store(true)
	}
	w.asking("others come in for those that are silent", func() bool { // one may not be asked often enough to be found out
		s := stands()
		return s.Ill >= 3 && s.Used >= 8+s.Ill
	})
	w.asking("the cell is served by these", func() bool { return w.satisfied(fmt.Sprint("others", time.Now().UnixNano()), 10) == 10 })
	wide := told()
	if only(wide); slices.ContainsFunc(first, func(i int) bool { return !slices.Contains(wide, i) }) {
		t.Errorf("first %v, then %v", first, wide)
	}
	for i := range silent {
		silent[i].Store(false)
	}
	w.list.Say(changed(2, w.searchers[first[7]].Entry("DRAINING")))
	w.until("who drains is left, and four of its cell are used", func() bool {
		all := told()
		return !slices.Contains(all, first[7]) && len(all)-slices.IndexFunc(all, func(i int) bool { return i >= 12 }) >= 4
	})
	w.unused("nothing more is sent to it", w.searchers[first[7]])

	w.signal(syscall.SIGTERM)
	if code := w.exit(5 * time.Second); code != 0 {
		t.Fatalf("left with %d", code)
	}
	w.list.Say(w.whole(3, nil))
	w.write(w.listAt)
	w.execute()
	w.healthy()
	w.until("a mixer of the same name uses the same after its restart", func() bool { return slices.Equal(told(), first) })
	if n := w.satisfied("again", 20); n != 20 {
		t.Errorf("%d of 20 served", n)
	}
}

// Unset, nothing is there: no filter, no step, no question. With cells of few holders or few mixers, nothing is done.
func TestUnsetSubsetIsNone(t *testing.T) {
	c := protocol.Config{Name: "m"}
	c.Mixer.Cells, c.Mixer.Mixers = 2, 6300
	part, terms := newSubset(c, nil)
	part.choose(nil, terms, nil)
	part.run(t.Context(), nil)
	if part != nil || terms.Users != 0 {
		t.Errorf("%+v, %d users", part, terms.Users)
	}
	for i := range 1000 {
		m := protocol.Member{}
		m.Searcher, m.Cell = fmt.Sprint(i), i%2
		c.KnownMembers.Members = append(c.KnownMembers.Members, m)
	}
	set := &settings.Subset{Least: 32, Most: 64, Meetings: 64, Users: 225}
	if _, terms = newSubset(c, set); terms.Users == 0 || terms.Users >= 6300 || c.Mixer.Users != 0 {
		t.Errorf("%d users of 6300 where cells are large", terms.Users)
	}
	c.Mixer.Mixers = 300
	if part, terms = newSubset(c, set); terms.Users != 0 || part.step(1) != nil {
		t.Errorf("%d users of 300", terms.Users)
	}
	c.Mixer.Mixers, c.KnownMembers.Members = 6300, c.KnownMembers.Members[:128]
	if _, terms = newSubset(c, set); terms.Users != 0 {
		t.Errorf("%d users where all holders may be used", terms.Users)
	}
}
