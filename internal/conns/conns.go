// Package conns decides which connections to searchers are kept: whether one more may be opened, which idle one is closed
// first and why, and what is closed for having been idle too long. It has no I/O, no clock and no goroutine: the holder of the
// connections (internal/transport) tells what becomes of each, under its own lock, with the time in ns of any one clock.
//
// Each decision takes O(log n) of n idle connections. Without a budget the one that is closed for another's place is the one idle
// longest. With one the order is: what carries nothing new; of searchers that are gone, silent, draining; what is there beyond
// one for a searcher; and of the rest the one whose next use is expected last (docs/connections.md).
package conns

import (
	"time"

	"golang.org/x/time/rate"
)

// Budget bounds the connections of one mixer. Zero: no such bound.
type Budget struct {
	Open       int // most open, those that are being made too
	Idle       int // most that nothing is waited for on
	Handshakes int // most a second in the long run; as many more at once as a second's
}

// Set tells whether any bound is.
func (b Budget) Set() bool { return b != Budget{} }

// Conn is a connection as its holder has it.
type Conn interface {
	Used() int64 // ns: when it was last written to or read from
}

// Class is what an idle connection is worth, least first.
type Class uint8

// The classes. Those before Silent are closed at the next sweep whether or not their place is needed.
const (
	Spent    Class = iota // carries nothing new
	Gone                  // its searcher is no more
	Silent                // has not answered what it was last sent
	Draining              // its searcher gets nothing new
	double                // beyond one for its searcher; the pool finds these itself
	Sound
)

// Reason is why a connection was closed.
type Reason uint8

// The reasons, those that the pool gives first.
const (
	ForSpent     Reason = iota // it carried nothing new
	ForGone                    // its searcher was gone or draining
	ForSilent                  // it had not answered
	ForDuplicate               // there was another to its searcher
	ForPlace                   // another needed its place, and its own next use was expected last
	ForAge                     // idle as long as it may be
	ForFresh                   // the module asked for a new one
	ForRestart                 // its searcher has restarted or moved
	ForFailure                 // it did not come up
	ForEnd                     // the other side ended it, or it broke
	ForFault                   // what came on it could not be used
	ForLeaving                 // the mixer leaves
	Reasons      int    = iota
)

var reasonNames = [Reasons]string{"spent", "gone", "silent", "duplicate", "place", "age", "fresh", "restart", "failure", "end", "fault",
	"leaving"}

func (r Reason) String() string { return reasonNames[r] }

// Peer is what is known of one searcher's connections. Its zero value has none.
type Peer struct {
	open, idle int
	last       *Entry // of its idle ones, linked by when they fell idle, the newest
	kept       *Entry // the one idle connection that is not beyond one
	met        bool
	used, gap  int64 // ns: when it was last used, and the mean of late between two uses; 0: used once at most
}

type state uint8

const (
	none state = iota
	busy
	idle
)

// Entry is the pool's account of one connection, kept by the connection. Its zero value is of one that the pool does not know,
// for which nothing is done.
type Entry struct {
	conn        Conn
	peer        *Peer // nil without a budget
	state       state
	class, rank Class // as told, and as ordered
	at          [orders]int32
	prev, next  *Entry // idle ones of the same peer
}

// Conn is the connection, nil for one that the pool does not know.
func (e *Entry) Conn() Conn { return e.conn }

// Stats counts what became of connections since the start.
type Stats struct {
	Open, Idle int
	Opened     uint64
	Closed     [Reasons]uint64
	TooMany    uint64 // refused for the bound on open ones
	TooFast    uint64 // refused for the bound on handshakes
	Steps      uint64 // comparisons that the decisions took
}

// Pool has the connections of one mixer. It is not safe for use by several at once.
type Pool struct {
	budget   Budget
	age      int64 // ns that one may be idle
	pace     *rate.Limiter
	oldest   order // all idle ones, that used longest ago first
	unwanted order // those before double, least worth first
	doubles  order // used longest ago first
	rare     order // sound ones where a budget is set, that of the longest gap first
	stats    Stats
}

// New makes a pool without connections; one may be idle for age ns.
func New(b Budget, age int64) *Pool {
	p := &Pool{budget: b, age: age}
	older := func(a, b *Entry) bool { return a.conn.Used() < b.conn.Used() }
	p.oldest = order{slot: 0, before: older, steps: &p.stats.Steps}
	p.unwanted = order{slot: 1, steps: &p.stats.Steps, before: func(a, b *Entry) bool {
		return a.rank < b.rank || a.rank == b.rank && older(a, b)
	}}
	p.doubles = order{slot: 2, before: older, steps: &p.stats.Steps}
	p.rare = order{slot: 3, steps: &p.stats.Steps, before: func(a, b *Entry) bool {
		return a.peer.gap > b.peer.gap || a.peer.gap == b.peer.gap && older(a, b)
	}}
	if b.Handshakes > 0 {
		p.pace = rate.NewLimiter(rate.Limit(b.Handshakes), b.Handshakes)
	}
	return p
}

// Budget is what the pool was made with.
func (p *Pool) Budget() Budget { return p.budget }

// Stats gives the counts.
func (p *Pool) Stats() Stats { return p.stats }

// Open is told that a connection begins to be made. It is busy until told otherwise. The peer may be nil without a budget.
func (p *Pool) Open(now int64, e *Entry, c Conn, of *Peer) {
	if p.pace != nil {
		p.pace.AllowN(time.Unix(0, now), 1)
	}
	*e = Entry{conn: c, state: busy}
	if p.budget.Set() {
		e.peer = of
		of.open++
		p.refresh(of)
	}
	p.stats.Open++
	p.stats.Opened++
}

// Use is told that a searcher is sent something.
func (p *Pool) Use(now int64, of *Peer) {
	switch since := now - of.used; {
	case !of.met:
		of.met = true
	case of.gap == 0:
		of.gap = max(1, since)
	default:
		of.gap = max(1, of.gap+(since-of.gap)/gapWeight)
	}
	of.used = now
	if of.kept != nil {
		p.place(of.kept)
	}
}

// gapWeight is over how many uses, about, the mean gap between a searcher's uses is taken.
const gapWeight = 8

// Busy is told that something is waited for on a connection, or that it is not up.
func (p *Pool) Busy(e *Entry) {
	if e.state == idle {
		p.leave(e)
		p.refresh(e.peer)
	}
}

// Idle is told that a connection is up and nothing is waited for on it, and again whenever its class or last use has changed.
func (p *Pool) Idle(e *Entry, class Class) {
	if e.state == none {
		return
	}
	if e.state == busy {
		e.state = idle
		p.stats.Idle++
		if of := e.peer; of != nil {
			of.idle++
			if e.prev = of.last; e.prev != nil {
				e.prev.next = e
			}
			of.last = e
		}
	}
	e.class = class
	p.place(e)
	p.refresh(e.peer)
}

// Close is told that a connection is closed, and why.
func (p *Pool) Close(e *Entry, why Reason) {
	if e.state == none {
		return
	}
	if e.state == idle {
		p.leave(e)
	}
	of := e.peer
	if of != nil {
		of.open--
	}
	p.refresh(of)
	*e = Entry{}
	p.stats.Open--
	p.stats.Closed[why]++
}

// TooFast tells whether one more handshake now would be beyond the budget.
func (p *Pool) TooFast(now int64) bool {
	return p.pace != nil && p.pace.TokensAt(time.Unix(0, now)) < 1
}

// TooMany tells whether one has to be closed before another is opened.
func (p *Pool) TooMany() bool { return p.budget.Open > 0 && p.stats.Open >= p.budget.Open }

// Crowded tells whether more are idle than the budget has.
func (p *Pool) Crowded() bool { return p.budget.Idle > 0 && p.stats.Idle > p.budget.Idle }

// Refused counts a connection that was not opened, for the rate or for the number.
func (p *Pool) Refused(forRate bool) {
	if forRate {
		p.stats.TooFast++
	} else {
		p.stats.TooMany++
	}
}

// Spare gives the idle connection to be closed first and why, nil if none is idle.
func (p *Pool) Spare(now int64) (*Entry, Reason) {
	old := p.oldest.first()
	switch {
	case old == nil:
		return nil, 0
	case !p.budget.Set():
		return old, ForPlace
	case p.unwanted.first() != nil:
		e := p.unwanted.first()
		return e, reasonOf[e.rank]
	case p.doubles.first() != nil:
		return p.doubles.first(), ForDuplicate
	}
	// What uses come by chance at a steady rate are expected after one gap, whatever has passed; one that stays away
	// for longer has become rarer. So the expected wait is the longer of the two, and the longest of all waits is that
	// of the first in either order.
	if e := p.rare.first(); e.peer.gap > now-old.conn.Used() {
		return e, ForPlace
	}
	return old, ForPlace
}

var reasonOf = [...]Reason{Spent: ForSpent, Gone: ForGone, Silent: ForSilent, Draining: ForGone}

// Due gives an idle connection that is to be closed whether or not its place is needed, nil if there is none.
func (p *Pool) Due(now int64) (*Entry, Reason) {
	if e := p.unwanted.first(); e != nil && e.rank < Silent {
		return e, reasonOf[e.rank]
	}
	if e := p.oldest.first(); e != nil && now-e.conn.Used() >= p.age {
		return e, ForAge
	}
	return nil, 0
}

// leave takes an idle connection out of all orders.
func (p *Pool) leave(e *Entry) {
	for _, o := range [...]*order{&p.oldest, &p.unwanted, &p.doubles, &p.rare} {
		o.take(e)
	}
	if of := e.peer; of != nil {
		of.idle--
		if e.next != nil {
			e.next.prev = e.prev
		} else {
			of.last = e.prev
		}
		if e.prev != nil {
			e.prev.next = e.next
		}
		e.prev, e.next = nil, nil
	}
	e.state = busy
	p.stats.Idle--
}

// refresh finds which idle connection of a searcher is not beyond one: none while another of it is busy, else the newest.
func (p *Pool) refresh(of *Peer) {
	if of == nil {
		return
	}
	old, kept := of.kept, (*Entry)(nil)
	if of.idle == of.open {
		kept = of.last
	}
	if old == kept {
		return
	}
	of.kept = kept
	for _, e := range [...]*Entry{old, kept} {
		if e != nil && e.state == idle {
			p.place(e)
		}
	}
}

// place puts an idle connection where it belongs.
func (p *Pool) place(e *Entry) {
	e.rank = e.class
	switch {
	case p.budget.Set() && e.rank == Sound && e != e.peer.kept:
		e.rank = double
	case !p.budget.Set() && (e.rank == Silent || e.rank == Draining):
		e.rank = Sound
	}
	var to *order
	switch {
	case e.rank < double:
		to = &p.unwanted
	case e.rank == double:
		to = &p.doubles
	case p.budget.Set():
		to = &p.rare
	}
	for _, o := range [...]*order{&p.unwanted, &p.doubles, &p.rare} {
		if o != to {
			o.take(e)
		}
	}
	p.oldest.put(e)
	if to != nil {
		to.put(e)
	}
}
