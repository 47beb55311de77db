package listing

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"nettlefold/mixer"
)

// entry is a line of the list: a searcher of cell 1, live and long there.
func entry(name string, change func(*mixer.Entry)) mixer.Entry {
	e := mixer.Entry{Searcher: name, Cell: 1, Zone: "z", Size: 1}
	if change != nil {
		change(&e)
	}
	return e
}

func live(names ...string) (lines []mixer.Entry) {
	for _, n := range names {
		lines = append(lines, entry(n, nil))
	}
	return lines
}

func state(s mixer.Status) func(*mixer.Entry) { return func(e *mixer.Entry) { e.Status = s } }

func many(n int) (lines []mixer.Entry) {
	for i := range n {
		lines = append(lines, entry(fmt.Sprint("s", i), func(e *mixer.Entry) { e.Cell = i / 4 }))
	}
	return lines
}

func TestOnlyWhatDiffersIsGiven(t *testing.T) {
	var b Tracker
	if got := b.Apply(live("a", "b", "c", "d"), true); !reflect.DeepEqual(got, live("a", "b", "c", "d")) {
		t.Fatalf("the first list: %v", got)
	}
	if got := b.Apply(live("d", "a", "b", "c"), true); len(got) != 0 {
		t.Errorf("the same list in another order: %v", got)
	}
	for what, change := range map[string]func(*mixer.Entry){
		"drains":          state(mixer.Draining),
		"another process": func(e *mixer.Entry) { e.Started = 5 },
		"another cell":    func(e *mixer.Entry) { e.Cell = 2 },
		"another zone":    func(e *mixer.Entry) { e.Zone = "y" },
		"another size":    func(e *mixer.Entry) { e.Size = 2 },
	} {
		new := entry("b", change)
		if got := b.Apply([]mixer.Entry{entry("a", nil), new, entry("c", nil), entry("d", nil)}, true); !slices.Equal(got, []mixer.Entry{new}) {
			t.Errorf("%s: %v", what, got)
		}
		if got := b.Apply([]mixer.Entry{new}, false); len(got) != 0 {
			t.Errorf("%s, told again: %v", what, got)
		}
		if got := b.Apply(live("b"), false); !slices.Equal(got, live("b")) {
			t.Errorf("%s, told back: %v", what, got)
		}
	}
}

func TestBadNewsFirst(t *testing.T) {
	var b Tracker
	lines := many(200) // so that two that go are no mass
	b.Apply(lines, true)
	drains, anew, moved := entry("s90", state(mixer.Draining)), entry("s20", nil), entry("s5", nil)
	anew.Cell, anew.Started, moved.Cell = 5, 9, 7
	drains.Cell = 22
	told := slices.Clone(lines)
	told[5], told[20], told[90] = moved, anew, drains
	told[150].Status = mixer.Dead
	goes := told[150]
	unnamed := lines[199]
	unnamed.Status = mixer.Dead
	new := entry("t", nil)
	got := b.Apply(append([]mixer.Entry{new}, told[:199]...), true)
	if want := []mixer.Entry{unnamed, goes, drains, new, anew, moved}; !reflect.DeepEqual(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}

func TestOfSeveralLinesTheLastCounts(t *testing.T) {
	dead, drains := entry("a", state(mixer.Dead)), entry("a", state(mixer.Draining))
	var b Tracker
	for _, c := range []struct {
		what        string
		lines, want []mixer.Entry
	}{
		{"dead before it is met", []mixer.Entry{dead}, nil},
		{"met and gone at once", []mixer.Entry{entry("a", nil), dead}, nil},
		{"dead, then met", []mixer.Entry{dead, entry("a", nil)}, live("a")},
		{"gone and back", []mixer.Entry{dead, entry("a", nil)}, nil},
		{"drains, then gone", []mixer.Entry{drains, dead}, []mixer.Entry{dead}},
		{"gone already", []mixer.Entry{dead}, nil},
		{"back", live("a"), live("a")},
	} {
		if got := b.Apply(c.lines, false); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.what, got, c.want)
		}
	}
}

// Where most of a list is replaced, what the module has stays about as much.
func TestAMassThatGoesIsToldAmongWhatComes(t *testing.T) {
	for _, c := range []struct{ going, coming int }{{1000, 1000}, {1000, 300}, {400, 1000}, {1000, 1}} {
		var b Tracker
		old := many(1000)
		b.Apply(old, true)
		list := slices.Clone(old[c.going:])
		if len(list) > 0 {
			list[0].Status = mixer.Draining
		}
		for _, e := range many(c.coming) {
			e.Searcher = "t" + e.Searcher
			list = append(list, e)
		}
		got := b.Apply(list, true)
		if len(list) > c.coming {
			if got[0] != list[0] {
				t.Errorf("%v: what drains is not first but %v", c, got[0])
			}
			got = got[1:]
		}
		if len(got) != c.going+c.coming {
			t.Fatalf("%v: %d rows", c, len(got))
		}
		gone, come := 0, 0
		for _, e := range got {
			if e.Status == mixer.Dead {
				gone++
			} else {
				come++
			}
			part := func(of int) int { return (of*c.coming + c.going - 1) / c.going }
			if come < part(gone) || come > part(gone+1) {
				t.Fatalf("%v: %d have come when %d are gone", c, come, gone)
			}
		}
	}
}

func TestDoubtIsToldAgain(t *testing.T) {
	var b Tracker
	b.Apply(live("a", "b", "c"), true)
	gone := b.Apply(live("a", "b"), true)
	b.Invalidate(append(gone, live("a")...))
	if got := b.Apply(live("a", "b"), true); !reflect.DeepEqual(got, []mixer.Entry{gone[0], entry("a", nil)}) {
		if len(got) != 2 || got[0].Searcher != "c" || got[0].Status != mixer.Dead || got[1] != entry("a", nil) {
			t.Errorf("%v", got)
		}
	}
	if got := b.Apply(live("a", "b"), true); len(got) != 0 {
		t.Errorf("twice: %v", got)
	}
	b.Invalidate(gone)
	if got := b.Apply([]mixer.Entry{entry("c", state(mixer.Dead))}, false); len(got) != 1 || got[0].Status != mixer.Dead {
		t.Errorf("gone, in doubt and gone again: %v", got)
	}
	b.Invalidate(gone)
	if got := b.Apply(live("c"), false); !slices.Equal(got, live("c")) {
		t.Errorf("gone, in doubt and back: %v", got)
	}
}

// What a long list took is given back after a short one, and the Book goes on.
func TestShrinks(t *testing.T) {
	var b Tracker
	b.Apply(many(9000), true)
	if got := b.Apply(many(100), true); len(got) != 8900 {
		t.Fatalf("%d are gone of 8900", len(got))
	}
	if len(b.rows) > 100+minFreeRows || len(b.index) != 100 {
		t.Errorf("%d rows are held of 100", len(b.rows))
	}
	if got := b.Apply(many(101), true); len(got) != 1 || got[0].Searcher != "s100" {
		t.Errorf("after it: %v", got)
	}
}

// A list again that has not changed allocates a bounded number of times whatever its length.
func TestFewAllocations(t *testing.T) {
	var b Tracker
	lines := many(5000)
	b.Apply(lines, true)
	if got := testing.AllocsPerRun(10, func() { b.Apply(lines, true) }); got > 4 {
		t.Errorf("%v allocations for a list that has not changed", got)
	}
	one := live("s9")
	if got := testing.AllocsPerRun(10, func() {
		one[0].Cell++
		b.Apply(one, false)
	}); got > 4 {
		t.Errorf("%v allocations for one change", got)
	}
}
