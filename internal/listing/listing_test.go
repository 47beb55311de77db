package listing

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"nettlefold/mixer"
)

// entry returns a live entry of cell 1 that started long ago, modified by change if that is not nil.
func entry(name string, change func(*mixer.Entry)) mixer.Entry {
	e := mixer.Entry{Searcher: name, Cell: 1, Zone: "z", Size: 1}
	if change != nil {
		change(&e)
	}
	return e
}

// live returns a live entry for each name.
func live(names ...string) (entries []mixer.Entry) {
	for _, n := range names {
		entries = append(entries, entry(n, nil))
	}
	return entries
}

// withStatus returns a change for entry that sets the status.
func withStatus(s mixer.Status) func(*mixer.Entry) { return func(e *mixer.Entry) { e.Status = s } }

// fleet returns n live entries s0, s1, ... with four backends per cell.
func fleet(n int) (entries []mixer.Entry) {
	for i := range n {
		entries = append(entries, entry(fmt.Sprint("s", i), func(e *mixer.Entry) { e.Cell = i / 4 }))
	}
	return entries
}

func TestApplyReturnsOnlyChanges(t *testing.T) {
	var tracker Tracker
	if got, want := tracker.Apply(live("a", "b", "c", "d"), true), live("a", "b", "c", "d"); !reflect.DeepEqual(got, want) {
		t.Fatalf("first full list: Apply() = %v, want %v", got, want)
	}
	if got := tracker.Apply(live("d", "a", "b", "c"), true); len(got) != 0 {
		t.Errorf("same list in another order: Apply() = %v, want none", got)
	}
	for name, change := range map[string]func(*mixer.Entry){
		"draining":        withStatus(mixer.Draining),
		"another process": func(e *mixer.Entry) { e.Started = 5 },
		"another cell":    func(e *mixer.Entry) { e.Cell = 2 },
		"another zone":    func(e *mixer.Entry) { e.Zone = "y" },
		"another size":    func(e *mixer.Entry) { e.Size = 2 },
	} {
		changed := entry("b", change)
		list, want := []mixer.Entry{entry("a", nil), changed, entry("c", nil), entry("d", nil)}, []mixer.Entry{changed}
		if got := tracker.Apply(list, true); !slices.Equal(got, want) {
			t.Errorf("%s: Apply() = %v, want %v", name, got, want)
		}
		if got := tracker.Apply([]mixer.Entry{changed}, false); len(got) != 0 {
			t.Errorf("%s, repeated: Apply() = %v, want none", name, got)
		}
		if got, want := tracker.Apply(live("b"), false), live("b"); !slices.Equal(got, want) {
			t.Errorf("%s, reverted: Apply() = %v, want %v", name, got, want)
		}
	}
}

func TestApplyOrdersByUrgency(t *testing.T) {
	var tracker Tracker
	entries := fleet(200) // two removals are too few for additions to be interleaved with them
	tracker.Apply(entries, true)
	drains, restarted, moved := entry("s90", withStatus(mixer.Draining)), entry("s20", nil), entry("s5", nil)
	restarted.Cell, restarted.Started, moved.Cell = 5, 9, 7
	drains.Cell = 22
	list := slices.Clone(entries)
	list[5], list[20], list[90] = moved, restarted, drains
	list[150].Status = mixer.Dead
	dead := list[150]
	omitted := entries[199]
	omitted.Status = mixer.Dead
	added := entry("t", nil)
	got := tracker.Apply(append([]mixer.Entry{added}, list[:199]...), true)
	if want := []mixer.Entry{omitted, dead, drains, added, restarted, moved}; !reflect.DeepEqual(got, want) {
		t.Errorf("Apply() = %v, want %v", got, want)
	}
}

func TestApplyLastEntryOfBackendCounts(t *testing.T) {
	dead, drains := entry("a", withStatus(mixer.Dead)), entry("a", withStatus(mixer.Draining))
	var tracker Tracker
	for _, c := range []struct {
		name          string
		entries, want []mixer.Entry
	}{
		{"dead and never listed", []mixer.Entry{dead}, nil},
		{"added and removed in one message", []mixer.Entry{entry("a", nil), dead}, nil},
		{"dead, then added", []mixer.Entry{dead, entry("a", nil)}, live("a")},
		{"removed and added back in one message", []mixer.Entry{dead, entry("a", nil)}, nil},
		{"draining, then removed", []mixer.Entry{drains, dead}, []mixer.Entry{dead}},
		{"removed again", []mixer.Entry{dead}, nil},
		{"added back", live("a"), live("a")},
	} {
		if got := tracker.Apply(c.entries, false); !slices.Equal(got, c.want) {
			t.Errorf("%s: Apply() = %v, want %v", c.name, got, c.want)
		}
	}
}

// TestApplyInterleavesMassReplacement checks that the fleet reported to the mixer keeps about its size while
// most of the list is replaced.
func TestApplyInterleavesMassReplacement(t *testing.T) {
	for _, c := range []struct{ removals, additions int }{{1000, 1000}, {1000, 300}, {400, 1000}, {1000, 1}} {
		var tracker Tracker
		before := fleet(1000)
		tracker.Apply(before, true)
		list := slices.Clone(before[c.removals:])
		if len(list) > 0 {
			list[0].Status = mixer.Draining
		}
		for _, e := range fleet(c.additions) {
			e.Searcher = "t" + e.Searcher
			list = append(list, e)
		}
		got := tracker.Apply(list, true)
		if len(list) > c.additions {
			if got[0] != list[0] {
				t.Errorf("%+v: first entry = %v, want the draining one, %v", c, got[0], list[0])
			}
			got = got[1:]
		}
		if want := c.removals + c.additions; len(got) != want {
			t.Fatalf("%+v: Apply() returned %d entries, want %d", c, len(got), want)
		}
		removed, added := 0, 0
		for _, e := range got {
			if e.Status == mixer.Dead {
				removed++
			} else {
				added++
			}
			proportional := func(removals int) int { return (removals*c.additions + c.removals - 1) / c.removals }
			if lo, hi := proportional(removed), proportional(removed+1); added < lo || added > hi {
				t.Fatalf("%+v: %d additions after %d removals, want %d to %d", c, added, removed, lo, hi)
			}
		}
	}
}

func TestInvalidate(t *testing.T) {
	var tracker Tracker
	tracker.Apply(live("a", "b", "c"), true)
	removed := tracker.Apply(live("a", "b"), true)
	tracker.Invalidate(append(removed, live("a")...))
	want := []mixer.Entry{removed[0], entry("a", nil)}
	if got := tracker.Apply(live("a", "b"), true); !reflect.DeepEqual(got, want) {
		// The size of an invalidated entry that is removed again is NaN, which equals nothing.
		if len(got) != 2 || got[0].Searcher != "c" || got[0].Status != mixer.Dead || got[1] != entry("a", nil) {
			t.Errorf("after Invalidate: Apply() = %v, want %v", got, want)
		}
	}
	if got := tracker.Apply(live("a", "b"), true); len(got) != 0 {
		t.Errorf("same list again: Apply() = %v, want none", got)
	}
	tracker.Invalidate(removed)
	if got := tracker.Apply([]mixer.Entry{entry("c", withStatus(mixer.Dead))}, false); len(got) != 1 || got[0].Status != mixer.Dead {
		t.Errorf("invalidated removal repeated: Apply() = %v, want one Dead entry", got)
	}
	tracker.Invalidate(removed)
	if got, want := tracker.Apply(live("c"), false), live("c"); !slices.Equal(got, want) {
		t.Errorf("invalidated removal added back: Apply() = %v, want %v", got, want)
	}
}

// TestCompact checks that a Tracker returns the memory of a long list after a short one, and still works.
func TestCompact(t *testing.T) {
	var tracker Tracker
	tracker.Apply(fleet(9000), true)
	if got := tracker.Apply(fleet(100), true); len(got) != 8900 {
		t.Fatalf("Apply() returned %d entries, want 8900 removals", len(got))
	}
	if rows, index := len(tracker.rows), len(tracker.index); rows > 100+minFreeRows || index != 100 {
		t.Errorf("%d rows and %d indexed backends, want at most %d and 100", rows, index, 100+minFreeRows)
	}
	if got := tracker.Apply(fleet(101), true); len(got) != 1 || got[0].Searcher != "s100" {
		t.Errorf("after compaction: Apply() = %v, want s100 added", got)
	}
}

// TestApplyAllocations checks that the number of allocations for an unchanged list, and for one change, does
// not depend on the length of the list.
func TestApplyAllocations(t *testing.T) {
	var tracker Tracker
	entries := fleet(5000)
	tracker.Apply(entries, true)
	if got := testing.AllocsPerRun(10, func() { tracker.Apply(entries, true) }); got > 4 {
		t.Errorf("unchanged list: %v allocations, want at most 4", got)
	}
	one := live("s9")
	if got := testing.AllocsPerRun(10, func() {
		one[0].Cell++
		tracker.Apply(one, false)
	}); got > 4 {
		t.Errorf("one change: %v allocations, want at most 4", got)
	}
}
