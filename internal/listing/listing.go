// Package listing tracks the membership list of the backends and reduces each message of it to the entries
// that differ from what was reported to the mixer before. It is deterministic: no I/O, no clock, no
// goroutines, and no dependence on the iteration order of maps.
package listing

import (
	"math"

	"nettlefold/mixer"
)

// Tracker holds the last reported entry of each listed backend. The zero Tracker is empty and ready to use.
// It is not safe for concurrent use.
type Tracker struct {
	index          map[string]int32 // by backend name, the index in rows
	rows           []row            // unused ones have the status Dead
	free           []int32          // indexes of unused rows
	currentMessage uint32           // sequence number of the current message
}

// row is the state of one backend. Its entry is Dead if the backend is not listed.
type row struct {
	entry          mixer.Entry // as last reported
	lastMessage    uint32      // sequence number of the last message that named the backend
	lastEntryIndex int32       // index of the backend's last entry in that message
}

// changeKind classifies how an entry differs from the one reported before, in the order in which changes are
// reported.
type changeKind uint8

const (
	removed     changeKind = iota // no longer listed
	draining                      // accepts no new calls
	started                       // new backend, or a new process of a known one
	modified                      // live again, or with another zone, size or cell
	unchanged                     // equal to what was reported before
	changeKinds int        = iota
)

// classify returns how entry e differs from the one reported before.
func classify(before, e *mixer.Entry) changeKind {
	switch {
	case before.Status == mixer.Dead && e.Status == mixer.Dead, *before == *e:
		return unchanged
	case e.Status == mixer.Dead:
		return removed
	case e.Status == mixer.Draining && before.Status != mixer.Draining:
		return draining
	case before.Status == mixer.Dead || before.Started != e.Started:
		return started
	}
	return modified
}

// Apply applies one message, which is the full list or a set of changes, and returns the entries that differ
// from what was reported before. Removed backends come first, then draining ones, new processes, and the rest,
// each kind in the order of the message; see massRemovalDivisor for the exception. Of several entries of one
// backend the last one counts. A listed backend that a full list omits is returned with its last reported
// entry and the status Dead, ahead of all others and in the order of the tracker's rows. A Dead entry of a
// backend that is not listed is ignored. The caller owns the returned slice.
func (t *Tracker) Apply(entries []mixer.Entry, full bool) []mixer.Entry {
	if t.index == nil {
		t.index, t.rows = make(map[string]int32, len(entries)), make([]row, 0, len(entries))
	}
	t.currentMessage++
	listed := len(t.index)
	named := t.assignRows(entries)
	kinds := make([]changeKind, len(named)) // of the backends in named
	var count [changeKinds]int
	for i, at := range named {
		r := &t.rows[at]
		kinds[i] = classify(&r.entry, &entries[r.lastEntryIndex])
		count[kinds[i]]++
	}
	omitted := 0
	if full {
		for i := range t.rows {
			if t.omitted(i) {
				omitted++
			}
		}
	}
	if omitted+len(named) == count[unchanged] {
		t.releaseDead(named)
		return nil
	}
	out := make([]mixer.Entry, omitted+len(named)-count[unchanged])
	var next [changeKinds]int // by kind, the index in out of its next entry
	next[removed] = omitted
	for k := removed + 1; k < unchanged; k++ {
		next[k] = next[k-1] + count[k-1]
	}
	for i, at := range named {
		if k := kinds[i]; k != unchanged {
			r := &t.rows[at]
			r.entry = entries[r.lastEntryIndex]
			out[next[k]] = r.entry
			next[k]++
		}
	}
	if omitted > 0 {
		at := 0
		for i := range t.rows {
			if r := &t.rows[i]; t.omitted(i) {
				r.entry.Status = mixer.Dead
				out[at] = r.entry
				at++
				t.release(int32(i))
			}
		}
	}
	t.releaseDead(named)
	// next[removed] is now the number of all removals, omitted backends included.
	if next[removed]*massRemovalDivisor > listed && count[started] > 0 {
		return interleave(out, next[removed], count[draining], count[started])
	}
	return out
}

// massRemovalDivisor bounds the removals that are reported before all additions: if more than one in this many
// listed backends are removed, the additions are interleaved with them. If all removals came first, a mixer
// would until the additions underestimate the size of the fleet by the share of the removals, and overestimate
// the capacity of each backend.
const massRemovalDivisor = 16

// interleave reorders the result of Apply, which holds the given numbers of removed, draining and started
// backends and then the rest. Draining ones come first, then the started ones spread evenly among the removed
// ones in proportion, with additions ahead of removals, then the rest.
func interleave(entries []mixer.Entry, removals, drains, starts int) []mixer.Entry {
	out := append(make([]mixer.Entry, 0, len(entries)), entries[removals:removals+drains]...)
	startedEntries := entries[removals+drains:][:starts]
	added := 0
	for i := range removals {
		// Additions up to this removal: at least one, so that the list is never empty.
		n := ((i+1)*starts + removals - 1) / removals
		out = append(append(out, startedEntries[added:n]...), entries[i])
		added = n
	}
	return append(out, entries[removals+drains+starts:]...)
}

// assignRows marks the backends that a message names and returns their rows in the order of the message. It
// adds rows for new backends that are not Dead.
func (t *Tracker) assignRows(entries []mixer.Entry) []int32 {
	named := make([]int32, 0, len(entries))
	for i := range entries {
		e := &entries[i]
		at, listed := t.index[e.Searcher]
		if !listed {
			if e.Status == mixer.Dead {
				continue
			}
			if n := len(t.free); n > 0 {
				at, t.free = t.free[n-1], t.free[:n-1]
			} else {
				at = int32(len(t.rows))
				t.rows = append(t.rows, row{})
			}
			t.rows[at] = row{entry: mixer.Entry{Searcher: e.Searcher, Status: mixer.Dead}}
			t.index[e.Searcher] = at
		}
		r := &t.rows[at]
		if r.lastMessage != t.currentMessage {
			r.lastMessage = t.currentMessage
			named = append(named, at)
		}
		r.lastEntryIndex = int32(i)
	}
	return named
}

// omitted reports whether a row holds a listed backend that the current message does not name.
func (t *Tracker) omitted(at int) bool {
	r := &t.rows[at]
	return r.entry.Status != mixer.Dead && r.lastMessage != t.currentMessage
}

// releaseDead releases those rows of an applied message that are Dead.
func (t *Tracker) releaseDead(named []int32) {
	for _, at := range named {
		if t.rows[at].entry.Status == mixer.Dead {
			t.release(at)
		}
	}
	if len(t.free) > minFreeRows && len(t.free) > len(t.rows)*3/4 {
		t.compact()
	}
}

// minFreeRows is the number of unused rows that are always kept for reuse.
const minFreeRows = 1024

// release frees the row of a backend that is no longer listed.
func (t *Tracker) release(at int32) {
	delete(t.index, t.rows[at].entry.Searcher)
	t.rows[at] = row{entry: mixer.Entry{Status: mixer.Dead}}
	t.free = append(t.free, at)
}

// compact drops the unused rows, to return the memory of a much longer list.
func (t *Tracker) compact() {
	rows := make([]row, 0, len(t.index))
	index := make(map[string]int32, len(t.index))
	for _, r := range t.rows {
		if r.entry.Status != mixer.Dead {
			index[r.entry.Searcher] = int32(len(rows))
			rows = append(rows, r)
		}
	}
	t.index, t.rows, t.free = index, rows, nil
}

// Invalidate marks entries that Apply returned as not reported, because reporting them failed. The next entry
// of each of these backends counts as a change, whatever it says.
func (t *Tracker) Invalidate(entries []mixer.Entry) {
	for _, e := range entries {
		if e.Status == mixer.Dead {
			e.Status = mixer.Draining // keep it listed, so that a full list that omits it reports the removal again
		}
		t.currentMessage++
		for _, at := range t.assignRows([]mixer.Entry{e}) {
			t.rows[at].entry = e
			t.rows[at].entry.Size = math.NaN() // NaN differs from any size
		}
	}
}
