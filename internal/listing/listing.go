// Package listing compares messages of the list with what was told before, so that the module is told only what differs. It is
// pure: no I/O, no clock, no goroutine, no order of a map.
package listing

import (
	"math"

	"nettlefold/mixer"
)

// Book holds the rows of the list as they were last told. The zero Book holds none. One goroutine uses it at a time.
type Book struct {
	at      map[string]int32 // where a listed searcher's row is
	rows    []row            // those that are Dead are free
	free    []int32
	message uint32 // counts messages
}

// row is one searcher's, as last told, Dead where it is not listed.
type row struct {
	told    mixer.Entry
	message uint32 // that named it last
	last    int32  // its last line in that
}

// rank is how urgent a row's news are, the most urgent first.
type rank uint8

const (
	gone       rank = iota // no longer there
	draining               // takes no more
	newProcess             // met for the first time, or started anew
	other                  // serves again, or has another zone, size or cell
	same                   // as told before
	ranks      int  = iota
)

// compare gives how a searcher's line differs from what was told before.
func compare(told, e *mixer.Entry) rank {
	switch {
	case told.Status == mixer.Dead && e.Status == mixer.Dead, *told == *e:
		return same
	case e.Status == mixer.Dead:
		return gone
	case e.Status == mixer.Draining && told.Status != mixer.Draining:
		return draining
	case told.Status == mixer.Dead || told.Started != e.Started:
		return newProcess
	}
	return other
}

// Take takes one message, changes or with whole set all of the list, and gives the lines that differ from what was told before. Those
// that are gone come first, then what drains, new processes, and the rest, each in the message's order. Of several lines of one
// searcher the last counts. Where a whole list does not name a searcher its row comes as told last, but Dead. A line that is
// Dead of a searcher that is not listed is none. What is given is the caller's.
func (b *Book) Take(lines []mixer.Entry, whole bool) []mixer.Entry {
	if b.at == nil {
		b.at, b.rows = make(map[string]int32, len(lines)), make([]row, 0, len(lines))
	}
	b.message++
	listed := len(b.at)
	named := b.name(lines)
	ordered := make([]rank, len(named)) // how what is named differs
	var count [ranks]int
	for i, at := range named {
		r := &b.rows[at]
		ordered[i] = compare(&r.told, &lines[r.last])
		count[ordered[i]]++
	}
	unnamed := 0
	if whole {
		for i := range b.rows {
			if b.missing(i) {
				unnamed++
			}
		}
	}
	if unnamed+len(named) == count[same] {
		b.drop(named)
		return nil
	}
	out := make([]mixer.Entry, unnamed+len(named)-count[same])
	var next [ranks]int // where the next of each rank is put
	next[gone] = unnamed
	for k := gone + 1; k < same; k++ {
		next[k] = next[k-1] + count[k-1]
	}
	for i, at := range named {
		if k := ordered[i]; k != same {
			r := &b.rows[at]
			r.told = lines[r.last]
			out[next[k]] = r.told
			next[k]++
		}
	}
	if unnamed > 0 {
		at := 0
		for i := range b.rows {
			if r := &b.rows[i]; b.missing(i) {
				r.told.Status = mixer.Dead
				out[at] = r.told
				at++
				b.release(int32(i))
			}
		}
	}
	b.drop(named)
	if next[gone]*mass > listed && count[newProcess] > 0 {
		return spread(out, next[gone], count[draining], count[newProcess])
	}
	return out
}

// mass is the share of the list, as one in so many, beyond which what goes is not told before what comes: until both are told a mixer
// would take the fleet for so much smaller than it is, and each searcher in it for one that bears more.
const mass = 16

// spread puts what drains first, and then newcomers evenly among those that go, each before those in whose place it comes.
func spread(rows []mixer.Entry, going, drains, newcomers int) []mixer.Entry {
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
func (b *Book) name(lines []mixer.Entry) []int32 {
	named := make([]int32, 0, len(lines))
	for i := range lines {
		e := &lines[i]
		at, listed := b.at[e.Searcher]
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
			b.rows[at] = row{told: mixer.Entry{Searcher: e.Searcher, Status: mixer.Dead}}
			b.at[e.Searcher] = at
		}
		r := &b.rows[at]
		if r.message != b.message {
			r.message = b.message
			named = append(named, at)
		}
		r.last = int32(i)
	}
	return named
}

// missing tells whether a row is of a listed searcher that the message at hand does not name.
func (b *Book) missing(at int) bool {
	r := &b.rows[at]
	return r.told.Status != mixer.Dead && r.message != b.message
}

// drop frees those rows of a message that are Dead once it is taken.
func (b *Book) drop(named []int32) {
	for _, at := range named {
		if b.rows[at].told.Status == mixer.Dead {
			b.release(at)
		}
	}
	if len(b.free) > spare && len(b.free) > len(b.rows)*3/4 {
		b.shrink()
	}
}

// spare is how many free rows are always kept.
const spare = 1024

// release frees the row of a searcher that is no longer listed.
func (b *Book) release(at int32) {
	delete(b.at, b.rows[at].told.Searcher)
	b.rows[at] = row{told: mixer.Entry{Status: mixer.Dead}}
	b.free = append(b.free, at)
}

// shrink gives back what a far longer list took.
func (b *Book) shrink() {
	rows := make([]row, 0, len(b.at))
	at := make(map[string]int32, len(b.at))
	for _, r := range b.rows {
		if r.told.Status != mixer.Dead {
			at[r.told.Searcher] = int32(len(rows))
			rows = append(rows, r)
		}
	}
	b.at, b.rows, b.free = at, rows, nil
}

// Doubt has rows that were given count as not told: what comes of their searchers next differs, whatever it is.
func (b *Book) Doubt(given []mixer.Entry) {
	for _, e := range given {
		if e.Status == mixer.Dead {
			e.Status = mixer.Draining // listed, so that a whole list that does not name it says so again
		}
		b.message++
		for _, at := range b.name([]mixer.Entry{e}) {
			b.rows[at].told = e
			b.rows[at].told.Size = math.NaN()
		}
	}
}
