package subset

import (
	"flag"
	"fmt"
	"testing"

	"gonum.org/v1/gonum/stat/distuv"

	"nettlefold/mixer"
)

const (
	mixers  = 6300
	holders = 420 // of a cell, where 37,000 searchers are in 88
	ofZones = 8
)

var cells = flag.Int("cells", 1, "cells of 420 holders whose use by 6,300 mixers is reckoned; 88 are the whole fleet, some minutes")

// orders gives, for each mixer, the holders of one cell in its order, by number. Holder i is in zone i modulo the zones, as mixers are.
func orders(cell int, ownFirst bool, each func(order []int)) {
	names := make([]string, holders)
	for i := range names {
		names[i] = fmt.Sprint("searcher-", cell*holders+i)
	}
	all, order := make([]member, holders), make([]int, holders)
	for k := range mixers {
		name := fmt.Sprint("mixer-", k)
		c := New(Options{Name: name, Zone: fmt.Sprint("z", k%ofZones), OwnFirst: ownFirst, Cells: 1})
		at := &c.cells[0]
		for i := range all {
			all[i] = member{Entry: mixer.Entry{Searcher: names[i], Size: float64(i), Zone: fmt.Sprint("z", i%ofZones)}, seat: seat(name, names[i])}
			at.members = append(at.members, &all[i])
		}
		c.order(at)
		for r, m := range at.members {
			order[r] = int(m.Size)
		}
		each(order)
	}
}

// figures are those of one size of subset: by how many mixers the most and the least used holders are used, and the most used when
// zone 0 is lost; how many a mixer has in common with the one before it, all added up, and the most of any two.
type figures struct{ size, most, least, lost, common, alike int }

func reckon(ownFirst bool, sizes ...int) (all []figures) {
	for _, size := range sizes {
		all = append(all, figures{size: size, least: mixers})
	}
	for cell := range *cells {
		use, after, last := make([][holders]int, len(sizes)), make([][holders]int, len(sizes)), make([][holders]bool, len(sizes))
		orders(cell, ownFirst, func(order []int) {
			for x, size := range sizes {
				mine, n, common := [holders]bool{}, 0, 0
				for r, i := range order {
					if r < size {
						use[x][i]++
						if mine[i] = true; last[x][i] {
							common++
						}
					}
					if i%ofZones != 0 && n < size {
						after[x][i]++
						n++
					}
				}
				last[x], all[x].common, all[x].alike = mine, all[x].common+common, max(all[x].alike, common)
			}
		})
		for x := range sizes {
			f := &all[x]
			for i := range holders {
				f.most, f.least, f.lost = max(f.most, use[x][i]), min(f.least, use[x][i]), max(f.lost, after[x][i])
			}
		}
	}
	return all
}

// How evenly 6,300 mixers use the 420 holders of a cell, by the size of their subsets. When a zone is lost each mixer's next in order
// come in for its lost ones, and these are others at each mixer: nobody is rushed upon. No two mixers have much more in common
// than chance has it. All of it follows from the hash, so the figures are exact.
func TestEvenAtTheSize(t *testing.T) {
	want := map[bool][]figures{
		false: {{16, 291, 188, 323, 3800, 5}, {32, 538, 401, 601, 15479, 9}, {48, 791, 642, 901, 34743, 15}, {64, 1053, 880, 1186, 61695, 20}},
		true:  {{16, 290, 203, 323, 3187, 4}, {32, 529, 410, 608, 12471, 7}, {48, 785, 623, 897, 28100, 11}, {64, 1022, 846, 1167, 50333, 16}},
	}
	for ownFirst, want := range want {
		for i, f := range reckon(ownFirst, 16, 32, 48, 64) {
			mean, left := float64(mixers*f.size)/holders, float64(mixers*f.size)/float64(holders-(holders+ofZones-1)/ofZones)
			t.Logf("own zone first %v, size %d: used by %.0f mixers in the mean, %.3f times that at the most, %.3f at the least; %.3f of %.0f with a "+
				"zone lost; two mixers have %.2f in common, %d at the most", ownFirst, f.size, mean, float64(f.most)/mean, float64(f.least)/mean,
				float64(f.lost)/left, left, float64(f.common)/float64((mixers-1)**cells), f.alike)
			if *cells == 1 && (i >= len(want) || f != want[i]) {
				t.Errorf("own zone first %v: %#v", ownFirst, f)
			}
		}
	}
}

// The bound on who may use one cold searcher holds against the exact tail, and where it saves nothing all may.
func TestBoundsAgainstTheExactTail(t *testing.T) {
	for _, c := range []struct {
		mixers, smallest int
		want             Bounds
	}{{30, 420, Bounds{1, 0, 0}}, {300, 420, Bounds{1.5 * 64 / 420, 123, 22}}, {6300, 420, Bounds{1.5 * 64 / 420, 1662, 478}},
		{6300, 128, Bounds{1, 0, 0}}, {6300, 4, Bounds{1, 0, 0}}, {6300, 1, Bounds{1, 0, 0}}} {
		if few := Bound(Options{Mixers: 1000, Least: 32, Most: 64, Users: 225}, 1000, 1000); few != (Bounds{1.5 * 225 / 1000, 441, 225}) {
			t.Fatalf("where each of 1000 mixers uses 225 of 1000: %+v", few)
		}
		b := Bound(Options{Mixers: c.mixers, Least: 32, Most: 64}, c.smallest, 421)
		if b != c.want {
			t.Errorf("%d mixers, %d holders: %+v, want %+v", c.mixers, c.smallest, b, c.want)
		}
		tail := distuv.Binomial{N: float64(c.mixers), P: b.ColdShare}.Survival(float64(b.Users))
		if t.Logf("%d mixers, %d holders: %+v, exact chance of more %.1e", c.mixers, c.smallest, b, tail); b.Users > 0 && tail > chance {
			t.Errorf("more than %d of %d with a chance of %v", b.Users, c.mixers, tail)
		}
	}
}

// As many as may use a searcher while it is cold do, and no more than are bounded: all 420 of a cell, by the hash itself.
func TestColdUsersAtTheSize(t *testing.T) {
	b, users, worst, mean := Bound(Options{Mixers: mixers, Least: 32, Most: 64}, holders, holders), [holders]int{}, 0, 0.0
	for k := range mixers {
		c := New(Options{Name: fmt.Sprint("mixer-", k), Cells: 1, ColdShare: b.ColdShare})
		for i := range users {
			if seat(c.o.Name, fmt.Sprint("searcher-", i)) <= c.latest {
				users[i]++
			}
		}
	}
	for _, n := range users {
		worst, mean = max(worst, n), mean+float64(n)/holders
	}
	if t.Logf("%d users at the most, %.1f in the mean, %d bounded", worst, mean, b.Users); worst > b.Users || mean < 0.99*b.ColdShare*mixers {
		t.Errorf("%d users at the most, %.1f in the mean, of %+v", worst, mean, b)
	}
}
