package routing

import (
	"sync"
	"time"

	"nettlefold/internal/listing"
)

// batch is how many rows of the list the module is told under one hold of the lock at most. docs/lists.md says by what runs.
const batch = 64

// Filter chooses which rows of the list reach the module. It is given those that differ from what the list told before, the most
// urgent first (listing.Tracker.Apply), with the module's time, and gives the rows that the module is told, in its own order; it may give rows
// that it kept back before. It is called for each message, one at a time, also where nothing differs, without the router's lock.
type Filter interface {
	Changed(now int64, rows []Entry) []Entry
}

// lists is what news of the list need outside the module. Its lock is taken before the router's, never while that is held.
type lists struct {
	mu   sync.Mutex
	book listing.Tracker
	told []Word // what other mixers say, as last handed over
	last Batches
	rest func() // between two batches: who waits for the lock goes first, else the next batch takes it at once
}

// Batches is how one message of the list reached the module.
type Batches struct {
	Rows, Calls int           // told, and in how many calls
	Most        int           // rows in one call
	Held        time.Duration // the longest that a call held the router's lock
}

// Batches gives how the last message of the list reached the module.
func (r *Router) Batches() Batches {
	r.list.mu.Lock()
	defer r.list.mu.Unlock()
	return r.list.last
}

// Listed takes news of the list: changes, or with full set all of it. They are compared with what was told before without the
// router's lock; only what differs reaches the module, in batches of a bounded number of rows, each one call in the clock's order.
// Other calls come between the batches. The module has all of the news when Listed returns.
func (r *Router) Listed(rows []Entry, full bool) {
	l := &r.list
	l.mu.Lock()
	defer l.mu.Unlock()
	rows = l.book.Apply(rows, full)
	if r.Filter != nil {
		rows = r.Filter.Changed(r.Now(), rows)
	}
	r.tell(rows)
}

// Refilter takes rows that a filter gives beside the list's news, and has them reach the module in the same way. Meanwhile no news come.
func (r *Router) Refilter(rows func(now int64) []Entry) {
	r.list.mu.Lock()
	defer r.list.mu.Unlock()
	r.tell(rows(r.Now()))
}

// tell tells the module of rows in batches. The lock of the list is held.
func (r *Router) tell(rows []Entry) {
	l := &r.list
	words := l.words(rows)
	l.last = Batches{}
	for len(rows) > 0 {
		n := min(len(rows), batch)
		if !r.hand(rows[:n], words) {
			l.book.Invalidate(rows[:n]) // the next list that names them, or does not, tells them again
		}
		if rows = rows[n:]; len(rows) > 0 {
			l.rest()
		}
	}
}

// hand tells the module of one batch of rows, and what other mixers say of processes that it did not know. It gives whether that went through.
func (r *Router) hand(rows []Entry, words map[string][]Word) (through bool) {
	r.mu.Lock()
	began := time.Now()
	r.run(nil, func(now int64) {
		var say []Word
		for _, e := range rows {
			if of := words[e.Searcher]; len(of) > 0 && !r.m.KnowsProcess(e.Searcher, e.Started) {
				say = append(say, of...)
			}
		}
		r.m.UpdateList(now, rows, false)
		r.m.UpdatePeerReports(now, say)
		through = true
	})
	held := time.Since(began)
	r.mu.Unlock()
	b := &r.list.last
	b.Rows, b.Calls, b.Most, b.Held = b.Rows+len(rows), b.Calls+1, max(b.Most, len(rows)), max(b.Held, held)
	return through
}

// words gives what other mixers say of the searchers of some rows, nil where that is nothing.
func (l *lists) words(rows []Entry) map[string][]Word {
	if len(rows) == 0 || len(l.told) == 0 {
		return nil
	}
	of := make(map[string][]Word, len(rows))
	for _, e := range rows {
		of[e.Searcher] = nil
	}
	for _, w := range l.told {
		if all, ok := of[w.Searcher]; ok {
			of[w.Searcher] = append(all, w)
		}
	}
	return of
}
