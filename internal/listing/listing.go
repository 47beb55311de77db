// Package listing compares messages of the list with what was told before, so that the module is told only what differs. It is
// pure: no I/O, no clock, no goroutine, no order of a map.
package listing

import (
	"math"

	"nettlefold/mixer"
)

// Book holds the rows of the list as they were last told. The zero Book holds none. One goroutine uses it at a time.
type Tracker struct {
	index    map[string]int32 // where a listed searcher's row is
	rows     []row            // those that are Dead are free
	free     []int32
	messages uint32 // counts messages
}

// row is one searcher's, as last told, Dead where it is not listed.
type row struct {
	entry       mixer.Entry
	lastMessage uint32 // that named it last
	lastLine    int32  // its last line in that
}

// rank is how urgent a row's news are, the most urgent first.
type changeKind uint8

const (
	removed     changeKind = iota // no longer there
	draining                      // takes no more
	started                       // met for the first time, or started anew
	modified                      // serves again, or has another zone, size or cell
	unchanged                     // as told before
	changeKinds int        = iota
)

// compare gives how a searcher's line differs from what was told before.
func classify(told, e *mixer.Entry) changeKind {
	switch {
	case told.Status == mixer.Dead && e.Status == mixer.Dead, *told == *e:
		return unchanged
	case e.Status == mixer.Dead:
		return removed
	case e.Status == mixer.Draining && told.Status != mixer.Draining:
		return draining
	case told.Status == mixer.Dead || told.Started != e.Started:
		return started
	}
	return modified
}

// Take takes one message, changes or with whole set all of the list, and gives the lines that differ from what was told before. Those
// that are gone come first, then what drains, new processes, and the rest, each in the message's order. Of several lines of one
// searcher the last counts. Where a whole list does not name a searcher its row comes as told last, but Dead. A line that is
// Dead of a searcher that is not listed is none. What is given is the caller's.
func (b *Tracker) Apply(lines []mixer.Entry, whole bool) []mixer.Entry {
	if b.index == nil {
		b.index, b.rows = make(map[string]int32, len(lines)), make([]row, 0, len(lines))
	}
	b.messages++
	listed := len(b.index)
	named := b.assignRows(lines)
	ordered := make([]changeKind, len(named)) // how what is named differs
	var count [changeKinds]int
	for i, at := range named {
		r := &b.rows[at]
		ordered[i] = classify(&r.entry, &lines[r.lastLine])
		count[ordered[i]]++
	}
	unnamed := 0
	if whole {
		for i := range b.rows {
			if b.omitted(i) {
				unnamed++
			}
		}
	}
	if unnamed+len(named) == count[unchanged] {
		b.releaseDead(named)
		return nil
	}
	out := make([]mixer.Entry, unnamed+len(named)-count[unchanged])
	var next [changeKinds]int // where the next of each rank is put
	next[removed] = unnamed
	for k := removed + 1; k < unchanged; k++ {
		next[k] = next[k-1] + count[k-1]
	}
	for i, at := range named {
		if k := ordered[i]; k != unchanged {
			r := &b.rows[at]
			r.entry = lines[r.lastLine]
			out[next[k]] = r.entry
			next[k]++
		}
	}
	if unnamed > 0 {
		at := 0
		for i := range b.rows {
			if r := &b.rows[i]; b.omitted(i) {
				r.entry.Status = mixer.Dead
				out[at] = r.entry
				at++
				b.release(int32(i))
			}
		}
	}
	b.releaseDead(named)
	if next[removed]*massRemovalDivisor > listed && count[started] > 0 {
		return interleave(out, next[removed], count[draining], count[started])
	}
	return out
}

// mass is the share of the list, as one in so many, beyond which what goes is not told before what comes: until both are told a mixer
// would take the fleet for so much smaller than it is, and each searcher in it for one that bears more.
const massRemovalDivisor = 16

// spread puts what drains first, and then newcomers evenly among those that go, each before those in whose place it comes.
func interleave(rows []mixer.Entry, going, drains, newcomers int) []mixer.Entry {
	out := append(make([]mixer.Entry, 0, len(rows)), rows[going:going+drains]...)
	come := rows[going+drains:][:newcomers]
	told := 0
	for i := range going {
		n := ((i+1)*newcomers + going - 1) / going // so many have come when this one goes: one at least, so that some are always listed
		out = append(append(out, come[told:n]...), rows[i])
		told = n
	}
	return append(out, rows[going+drains+newcomers:]...)
}

// name notes which searchers a message names and gives their rows in its order, new ones for those that are not listed.
func (b *Tracker) assignRows(lines []mixer.Entry) []int32 {
	named := make([]int32, 0, len(lines))
	for i := range lines {
		e := &lines[i]
		at, listed := b.index[e.Searcher]
		if !listed {
			if e.Status == mixer.Dead {
				continue
			}
			if n := len(b.free); n > 0 {
				at, b.free = b.free[n-1], b.free[:n-1]
			} else {
				at = int32(len(b.rows))
				b.rows = append(b.rows, row{})
			}
			b.rows[at] = row{entry: mixer.Entry{Searcher: e.Searcher, Status: mixer.Dead}}
			b.index[e.Searcher] = at
		}
		r := &b.rows[at]
		if r.lastMessage != b.messages {
			r.lastMessage = b.messages
			named = append(named, at)
		}
		r.lastLine = int32(i)
	}
	return named
}

// missing tells whether a row is of a listed searcher that the message at hand does not name.
func (b *Tracker) omitted(at int) bool {
	r := &b.rows[at]
	return r.entry.Status != mixer.Dead && r.lastMessage != b.messages
}

// drop frees those rows of a message that are Dead once it is taken.
func (b *Tracker) releaseDead(named []int32) {
	for _, at := range named {
		if b.rows[at].entry.Status == mixer.Dead {
			b.release(at)
		}
	}
	if len(b.free) > minFreeRows && len(b.free) > len(b.rows)*3/4 {
		b.compact()
	}
}

// spare is how many free rows are always kept.
const minFreeRows = 1024

// release frees the row of a searcher that is no longer listed.
func (b *Tracker) release(at int32) {
	delete(b.index, b.rows[at].entry.Searcher)
	b.rows[at] = row{entry: mixer.Entry{Status: mixer.Dead}}
	b.free = append(b.free, at)
}

// shrink gives back what a far longer list took.
func (b *Tracker) compact() {
	rows := make([]row, 0, len(b.index))
	at := make(map[string]int32, len(b.index))
	for _, r := range b.rows {
		if r.entry.Status != mixer.Dead {
			at[r.entry.Searcher] = int32(len(rows))
			rows = append(rows, r)
		}
	}
	b.index, b.rows, b.free = at, rows, nil
}

// Doubt has rows that were given count as not told: what comes of their searchers next differs, whatever it is.
func (b *Tracker) Invalidate(given []mixer.Entry) {
	for _, e := range given {
		if e.Status == mixer.Dead {
			e.Status = mixer.Draining // listed, so that a whole list that does not name it says so again
		}
		b.messages++
		for _, at := range b.assignRows([]mixer.Entry{e}) {
			b.rows[at].entry = e
			b.rows[at].entry.Size = math.NaN()
		}
	}
}
