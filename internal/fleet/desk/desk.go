// Package desk lets a small pool of workers share the tables of the fleet: exchange with others, rounds on a timer, snapshots for
// questions. Tables are pure and need no lock of their own; each is worked on by one at a time.
//
// The order of locks: the desk's before a table's, tables by the order in which New got them, a table's before those in it.
// Nothing blocks under the desk's lock, and no table is called under it. Offer, Take and Snapshot take no table's lock, so
// whoever exchanges or asks never waits for a table. Built with the tag lockorder, Mutex checks the order.
//
// A table that is slow or hangs holds one worker and only its own work; there are as many workers as tables, up to maxWorkers.
// One that panics is put aside for good: its state may be half changed. It then takes and offers nothing, the rest go on.
package desk

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxTables  = 16
	maxWorkers = 8
	maxInbox   = 32      // states that wait for a table
	maxWaiting = 8 << 20 // bytes of them
	stale      = 4       // rounds, after which an offer is told no more
	firstMost  = 8 << 10 // bytes that a table may offer until the first exchange tells how much room there is

	// Round is how often each table has its round, ns.
	Round = 250 * time.Millisecond
	// Slow is how long a table may work at a time before the log tells of it.
	Slow = 500 * time.Millisecond
	// Grace is how long Run waits at its end for tables that are at work.
	Grace = 2 * time.Second
)

var (
	// ErrUnknown is the error for a table that the desk does not have.
	ErrUnknown = errors.New("desk: no such table")
	// ErrAside is the error for a table that has panicked.
	ErrAside = errors.New("desk: table is put aside after a panic")
	// ErrNone is the error of Snapshot before the first round, and for tables that have none.
	ErrNone = errors.New("desk: no snapshot")
)

// Table is what the desk serves. Its methods are called by one goroutine at a time. Times are ns of the desk's clock.
type Table interface {
	Name() string
	Offer(now int64, most int) []byte
	Take(now int64, from string, state []byte) error
	Round(now int64)
}

// Shower is a table that shows its state after each round. What it gives must not change any more.
type Shower interface {
	Show(now int64) any
}

// Standing is how a table is doing, for the admin listener and metrics.
type Standing struct {
	Name                             string
	Aside, Busy                      bool
	Rounds, Taken, Bad, Dropped, Out uint64 // states taken, refused, dropped as too many wait; offers left out for want of room
	Offered, Most, Waiting           int    // bytes of the last offer, that it may have, states that wait
	Slow                             uint64 // turns longer than Slow
}

type parcel struct {
	from  string
	state []byte
}

// slot is one table with all that belongs to it. What is not said to be otherwise is under the desk's lock.
type slot struct {
	name    string
	table   Table
	mu      Mutex // the table's: under it, and only there, its methods are called
	inbox   []parcel
	waiting int // bytes
	due     bool
	queued  bool
	running bool
	offer   []byte
	offered int64 // when it was made
	most    int
	stand   Standing
	aside   atomic.Bool
	shot    atomic.Pointer[any]
}

// Desk shares tables among workers.
type Desk struct {
	clock func() int64
	log   *slog.Logger
	round time.Duration
	grace time.Duration
	slots []*slot
	ready chan *slot // at most one of each

	mu     Mutex
	unread uint64 // parts of states for tables that are not here
	turn   int
}

// New makes a desk of tables, whose locks are taken in this order. Clock gives ns and never goes back.
func New(clock func() int64, log *slog.Logger, tables ...Table) (*Desk, error) {
	d := &Desk{clock: clock, log: log, round: Round, grace: Grace, ready: make(chan *slot, len(tables))}
	d.mu.ranked(RankDesk, "desk")
	if len(tables) > maxTables {
		return nil, fmt.Errorf("desk: %d tables, at most %d", len(tables), maxTables)
	}
	for i, t := range tables {
		name := t.Name()
		if _, err := d.slot(name); err == nil || name == "" || len(name) > maxName {
			return nil, fmt.Errorf("desk: table %q is there twice, or its name is none", name)
		}
		s := &slot{name: name, table: t, most: firstMost}
		s.mu.ranked(RankTable+Rank(i), name)
		d.slots = append(d.slots, s)
	}
	return d, nil
}

func (d *Desk) slot(name string) (*slot, error) {
	for _, s := range d.slots {
		if s.name == name {
			return s, nil
		}
	}
	return nil, fmt.Errorf("%w: %q", ErrUnknown, name)
}

// Run works until the context ends. It then waits up to Grace for tables that are at work; one that hangs keeps its goroutine
// until it returns, which is all that can be done to it.
func (d *Desk) Run(ctx context.Context) {
	var workers sync.WaitGroup
	for range min(len(d.slots), maxWorkers) {
		workers.Go(func() { d.work(ctx) })
	}
	timer := time.NewTicker(d.round)
	defer timer.Stop()
	for d.tick(); ctx.Err() == nil; {
		select {
		case <-timer.C:
			d.tick()
		case <-ctx.Done():
		}
	}
	ended := make(chan struct{})
	go func() { // ends with the last worker
		workers.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(d.grace):
		for _, s := range d.Standings() {
			if s.Busy {
				d.log.Error("a table of the fleet hangs at the end", "table", s.Name)
			}
		}
	}
}

// tick has each table's round be due. A round that is due still is not due twice.
func (d *Desk) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.slots {
		s.due = true
		d.wake(s)
	}
}

// wake has a worker turn to a table that has work and is not at it. Called under the desk's lock; ready has room for each.
func (d *Desk) wake(s *slot) {
	if !s.queued && !s.running && !s.aside.Load() && (s.due || len(s.inbox) > 0) {
		s.queued = true
		d.ready <- s
	}
}

func (d *Desk) work(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case s := <-d.ready:
			d.serve(s)
		case <-ctx.Done():
		}
	}
}

// serve does what there is to do for one table: takes what came, and has its round with the offer and the snapshot after it.
func (d *Desk) serve(s *slot) {
	d.mu.Lock()
	inbox, due, most := s.inbox, s.due, s.most
	s.inbox, s.waiting, s.due, s.queued, s.running = nil, 0, false, false, true
	d.mu.Unlock()
	began := time.Now()
	var offer []byte
	bad := 0
	err := d.call(s, func(now int64) {
		for _, p := range inbox {
			if err := s.table.Take(d.clock(), p.from, p.state); err != nil {
				bad++
				d.log.Debug("a state of the fleet is refused", "table", s.name, "from", p.from, "error", err)
			}
		}
		if due {
			s.table.Round(d.clock())
			if offer = s.table.Offer(d.clock(), most); len(offer) > most {
				d.log.Error("a table offers more than it may", "table", s.name, "bytes", len(offer), "most", most)
				offer = nil
			}
			if shower, ok := s.table.(Shower); ok {
				shot := shower.Show(now)
				s.shot.Store(&shot)
			}
		}
	})
	took := time.Since(began)
	if took > Slow {
		d.log.Warn("a table of the fleet is slow", "table", s.name, "took", took)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	s.running = false
	s.stand.Taken += uint64(len(inbox) - bad)
	s.stand.Bad += uint64(bad)
	if took > Slow {
		s.stand.Slow++
	}
	if due {
		s.offer, s.offered = offer, d.clock()
		s.stand.Rounds++
	}
	if err != nil {
		s.offer, s.inbox, s.waiting = nil, nil, 0
	}
	d.wake(s)
}

// call runs f under a table's lock. A panic puts the table aside.
func (d *Desk) call(s *slot, f func(now int64)) (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.aside.Load() {
		return fmt.Errorf("%w: %q", ErrAside, s.name)
	}
	defer func() {
		if p := recover(); p != nil {
			s.aside.Store(true)
			d.log.Error("a table of the fleet panics and is put aside", "table", s.name, "panic", p, "stack", string(debug.Stack()))
			err = fmt.Errorf("%w: %q: %v", ErrAside, s.name, p)
		}
	}()
	f(d.clock())
	return nil
}

// Do runs f while no worker is at the table. It waits for the table, so it is not for lookups, which read snapshots. Within f a
// Do of a table that comes after it in New's order is allowed.
func (d *Desk) Do(name string, f func(now int64)) error {
	s, err := d.slot(name)
	if err != nil {
		return err
	}
	return d.call(s, f)
}

// Snapshot gives what a table showed after its last round. It never waits.
func (d *Desk) Snapshot(name string) (any, error) {
	s, err := d.slot(name)
	if err != nil {
		return nil, err
	}
	if s.aside.Load() {
		return nil, fmt.Errorf("%w: %q", ErrAside, name)
	}
	if shot := s.shot.Load(); shot != nil {
		return *shot, nil
	}
	return nil, fmt.Errorf("%w: %q", ErrNone, name)
}

// Standings gives how the tables are doing, in New's order.
func (d *Desk) Standings() (all []Standing) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.slots {
		n := s.stand
		n.Name, n.Aside, n.Busy = s.name, s.aside.Load(), s.running
		n.Offered, n.Most, n.Waiting = len(s.offer), s.most, len(s.inbox)
		all = append(all, n)
	}
	return all
}
