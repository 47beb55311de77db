package subset

import (
	"fmt"
	"testing"

	"nettlefold/mixer"
)

// plan gives the searchers of the plan, 37,000 in so many cells.
func plan(cells int) (rows []mixer.Entry) {
	for i := range 37_000 {
		rows = append(rows, mixer.Entry{Searcher: fmt.Sprintf("searcher-%05d", i), Cell: i % cells, Zone: fmt.Sprint("z", i/cells%ofZones)})
	}
	return rows
}

func planned(cells int) *Chooser {
	o := usual()
	o.Cells, o.Least, o.Most, o.Mixers, o.Users, o.Meetings = cells, 32, 64, mixers, 225, 64
	return New(o)
}

// A start with the whole list, 37,000 searchers in 88 cells.
func BenchmarkWholeList(b *testing.B) {
	rows := plan(88)
	b.ReportAllocs()
	for b.Loop() {
		planned(88).Changed(1, rows)
	}
}

// One searcher drains or is back.
func BenchmarkOneChange(b *testing.B) {
	rows, c := plan(88), planned(88)
	c.Changed(1, rows)
	for i := 0; b.Loop(); i++ {
		e := rows[i*7%len(rows)]
		e.Status = mixer.Status(i / 7 % 2)
		c.Changed(1, []mixer.Entry{e})
	}
}

// A step, with what the module tells of those that are used.
func BenchmarkStep(b *testing.B) {
	c, now := planned(88), second
	var all []mixer.Usage
	for _, e := range c.Changed(1, plan(88)) {
		all = append(all, mixer.Usage{Searcher: e.Searcher, SentRate: 4e-9})
	}
	for b.Loop() {
		now += second
		c.Step(now, all)
	}
}

// In cells of four the module is told of all of the plan's searchers as the list has them, and a step does nothing.
func TestCellsOfFourAtTheSize(t *testing.T) {
	rows, c := plan(9250), planned(9250)
	got := c.Changed(1, rows)
	if len(got) != len(rows) || !c.Settled() || c.Step(second, nil) != nil {
		t.Fatalf("%d of %d, settled %v", len(got), len(rows), c.Settled())
	}
	for i := range rows {
		if got[i] != rows[i] {
			t.Fatalf("%v of %v", got[i], rows[i])
		}
	}
}
