package sites

import (
	"maps"
	"slices"
	"sync"

	"nettlefold/internal/fleet/siteloss"
	"nettlefold/internal/protocol"
	"nettlefold/internal/routing"
	"nettlefold/mixer"
)

const (
	buckets       = 9 // of a ring: the window is eight of them, one is filling
	mostSearchers = 4096
	mostAsking    = 16 // probes under way at once
	mostAskingOne = 4  // of one site
	doubted       = 8  // probes without an answer in a row, after which only each second round asks: four show still within a window
)

// seen is what came of a site's searchers within one bucket of time.
type seen struct {
	number                              int64 // of the bucket
	answered, late, lost, tried, failed int
	clients                             int // of the ring of lookups only
}

// ring holds what was seen lately, in buckets that are used again.
type ring [buckets]seen

// at gives the bucket of a number, emptied if it held an older one.
func (r *ring) at(number int64) *seen {
	b := &r[number%buckets]
	if b.number != number {
		*b = seen{number: number}
	}
	return b
}

// sum adds up the buckets from a number on.
func (r *ring) sum(from int64) (all seen) {
	for _, b := range r {
		if b.number >= from {
			all.answered += b.answered
			all.late += b.late
			all.lost += b.lost
			all.tried += b.tried
			all.failed += b.failed
			all.clients += b.clients
		}
	}
	return all
}

// searcher is what the list says of one.
type searcher struct {
	site    int16
	address string
	live    bool
}

// place is what is kept of one site.
type place struct {
	ring   ring
	listed bool     // the list had a searcher there
	live   []string // addresses, in the order of names
	all    int
	turn   int // whose turn it is to be asked
	asking int
	failed int // probes in a row
}

// Eyes gather what this mixer sees of the sites' searchers: what came of its forwards, and of the probes where it sent none.
// The router calls them under its lock. They hold a lock for moments, and call nobody under it.
type Eyes struct {
	clock    func() int64
	span     int64 // of a bucket
	expected int64
	names    []string

	mu        sync.Mutex
	places    []place
	searchers map[string]searcher
	lookups   ring
	heard     int64 // when the list last gave a sign of life
}

func newEyes(clock func() int64, t siteloss.Terms, names []string) *Eyes {
	return &Eyes{clock: clock, span: max(1, t.Window()/(buckets-1)), expected: t.Expected, names: names,
		places: make([]place, len(names)), searchers: map[string]searcher{}, heard: clock()}
}

// Expect takes the longest expected time, ns, of the settings now in force: what lasts longer is late. What was seen stays as it was
// counted, and the window that of the start.
func (e *Eyes) Expect(longest int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expected = longest
}

// Spot gives the site of a searcher, below 0 where it is none of the fleet's.
func (e *Eyes) Spot(name string) int16 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.searchers[name]; ok {
		return s.site
	}
	return -1
}

// Outcome takes what came of a forward. A searcher that errs or turns away is there. A forward that was waited for less than
// the expected time, or that never left, shows nothing.
func (e *Eyes) Outcome(spot int16, o routing.Outcome, took int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.places[spot].ring.at(e.clock() / e.span)
	switch o {
	case mixer.Succeeded, mixer.Failed, mixer.Rejected:
		b.answered++
		if took > e.expected {
			b.late++
		}
	case mixer.Unreachable:
		b.tried++
		b.failed++
	case mixer.ConnectionReset:
		b.lost++
	case mixer.TimedOut, mixer.Cancelled:
		if took >= e.expected {
			b.lost++
		}
	}
}

// Asked notes a lookup of a client.
func (e *Eyes) Asked() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lookups.at(e.clock()/e.span).clients++
}

// Alive notes a sign of life of the list.
func (e *Eyes) Alive() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heard = e.clock()
}

// Listed takes news of the list, one at a time. A searcher beyond the bound belongs to no site. What follows from them is made without
// the lock, for which the router may wait under its own, and put in place at once.
func (e *Eyes) Listed(l protocol.MemberList) {
	e.mu.Lock()
	was := e.searchers // it is never written again, but replaced here
	e.mu.Unlock()
	all := map[string]searcher{}
	if !l.Snapshot {
		all = maps.Clone(was)
	}
	next := make([]place, len(e.names)) // what the list says of them
	for i := range l.Members {
		m := &l.Members[i]
		s, known := all[m.Searcher]
		if m.Zone != "" || !known {
			s.site = int16(slices.Index(e.names, m.Zone))
		}
		if s.live = m.Status == mixer.Live; m.Address != "" {
			s.address = m.Address
		}
		if s.site >= 0 {
			next[s.site].listed = true
		}
		switch {
		case m.Status == mixer.Dead:
			delete(all, m.Searcher)
		case known || len(all) < mostSearchers:
			all[m.Searcher] = s
		}
	}
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if s := all[name]; s.site >= 0 {
			p := &next[s.site]
			p.all++
			if s.live {
				p.live = append(p.live, s.address)
			}
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.searchers = all
	for i := range e.places {
		p := &e.places[i]
		p.live, p.all, p.listed = next[i].live, next[i].all, p.listed || next[i].listed
	}
}

// evidence gives what was seen within the window, and how many lookups clients brought.
func (e *Eyes) evidence(now int64) (all []siteloss.Evidence, clients int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	from := now/e.span - buckets + 1
	for i := range e.places {
		p := &e.places[i]
		s := p.ring.sum(from)
		one := siteloss.Evidence{Answered: s.answered, Late: s.late, Lost: s.lost, Tried: s.tried, Failed: s.failed,
			Listed: p.all, Live: len(p.live), ListAge: now - e.heard}
		if p.listed {
			one.Listed = max(1, one.Listed) // all that were there are gone from the list
		}
		all = append(all, one)
	}
	return all, e.lookups.sum(from).clients
}

// ask gives the searcher of a site that is to be asked now, "" for none: no forward and no probe there was answered in the
// newer half of the window. A site that has long been silent is asked more rarely.
func (e *Eyes) ask(site int, round int64) (address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := &e.places[site]
	if len(p.live) == 0 || p.asking >= mostAskingOne || p.failed >= doubted && round%2 != 0 ||
		p.ring.sum(e.clock()/e.span-buckets/2).answered > 0 {
		return ""
	}
	p.asking++
	p.turn++
	return p.live[p.turn%len(p.live)]
}

// asked takes what came of a probe: whether a connection came up, and whether an answer came.
func (e *Eyes) asked(site int, up, answered bool, took int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := &e.places[site]
	p.asking--
	p.failed++
	b := p.ring.at(e.clock() / e.span)
	b.tried++
	switch {
	case answered:
		p.failed = 0
		b.answered++
		if took > e.expected {
			b.late++
		}
	case up:
		b.lost++
	default:
		b.failed++
	}
}
