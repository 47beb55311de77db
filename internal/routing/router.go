// Package routing puts the module behind three blocking calls: Pick what to do next for a lookup, Report how a
// forward ended, Tick what has come due. It alone holds the module's lock, its clock, its timers and its Floor.
package routing

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"nettlefold/mixer"
)

// The module's plain types, for the layers above.
type (
	Entry   = mixer.Entry
	Outcome = mixer.Outcome
)

var (
	// ErrFull is the error of Take when as many lookups and parts are open as may be.
	ErrFull = errors.New("as many lookups and parts are open as the settings allow")
	// ErrTaken is the error of Take when a lookup of this id is open.
	ErrTaken = errors.New("a lookup of this id is open")
)

// Eyes see what comes of forwards, where somebody wants to know. They are called under the router's lock and do not block.
type Eyes interface {
	Spot(searcher string) int16 // what a searcher's outcomes are told for, below 0: they are not
	Outcome(spot int16, o Outcome, took int64)
	Asked() // a lookup was brought
}

// Router is one mixer's module with all that it needs to be called.
type Router struct {
	Eyes   Eyes   // nil: nobody looks. Set before the first lookup
	Filter Filter // nil: all rows of the list pass. Set before the first news of it

	log     *slog.Logger
	debug   bool // each step of each lookup is logged, with its id
	charter mixer.Config
	rows    map[string]int
	anchor  time.Time
	unix    int64 // the anchor as Unix time, ns

	list lists

	mu      sync.Mutex // taken after that of list where both are, never before it
	last    int64      // when the module was last called
	m       *mixer.Mixer
	most    int   // open lookups and parts from which on no lookup is let in
	advice  int64 // longest wait advised, of the version in force, and the greatest of all versions
	longest int64
	open    int // lookups, and parts of theirs that are not in
	tickets map[string]*Ticket
	slots   map[string]*slot
	stale   map[string]bool // searchers whose idle connections are to be closed before the next call
	timers  timers
	count   int64
	next    []func(now int64) // calls that came up within a call
	tells   int               // how many searchers Tell last gave
	kick    chan struct{}
}

// New makes a router around a new module.
func New(c mixer.Config, rows map[string]int, most int, seed int64, log *slog.Logger) (*Router, error) {
	for name, i := range rows {
		if c.Tariffs[i].SecondStep > 0 {
			return nil, fmt.Errorf("tariff %s: FamilyInfo.FetchParts is %d, but a second step has no words on sockets",
				name, c.Tariffs[i].SecondStep)
		}
	}
	now := time.Now()
	r := &Router{
		log: log, debug: log.Enabled(context.Background(), slog.LevelDebug), charter: c, rows: rows, anchor: now, unix: now.UnixNano(),
		most: most, advice: c.MaxAdvice, longest: c.MaxAdvice,
		tickets: map[string]*Ticket{}, slots: map[string]*slot{}, stale: map[string]bool{}, kick: make(chan struct{}, 1),
		list: lists{rest: runtime.Gosched},
	}
	r.call(nil, func(now int64) { r.m = mixer.New(now, c, seed, floor{r}) })
	return r, nil
}

// clock gives the module's time, which is Unix time counted on from the start by the monotonic clock. No two
// calls have the same, so forwards of one time are of one review. The lock is held.
func (r *Router) clock() int64 {
	r.last = max(r.last+1, r.unix+int64(time.Since(r.anchor)))
	return r.last
}

// at gives a time of the module's clock as the system's.
func (r *Router) at(t int64) time.Time { return r.anchor.Add(time.Duration(t - r.unix)) }

// call makes one call to the module, for whatever it concerns.
func (r *Router) call(whose any, do func(now int64)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.run(whose, do)
}

// run makes one call, and then those that came up within it. The lock is held.
func (r *Router) run(whose any, do func(now int64)) {
	r.guard(whose, do)
	for len(r.next) > 0 {
		do, r.next = r.next[0], r.next[1:]
		r.guard(whose, do)
	}
}

// guard keeps a panic inside the module to the lookup that the call was for, which ends as failed.
func (r *Router) guard(whose any, do func(now int64)) {
	defer func() {
		if p := recover(); p != nil {
			r.log.Error("panic in the module", "panic", p, "stack", string(debug.Stack()))
			if t := r.owner(whose); t != nil {
				t.end(Final{Verdict: Failed})
			}
		}
	}()
	do(r.clock())
}

// owner gives the open lookup that a call was for, if any.
func (r *Router) owner(whose any) *Ticket {
	switch w := whose.(type) {
	case *Ticket:
		return w
	case *Forward:
		return w.slot.t
	case *mixer.Lookup:
		for _, t := range r.tickets {
			if t.l == w {
				return t
			}
		}
	}
	return nil
}

// Keep gives what the module has learnt that is worth keeping, and the time at which it holds.
func (r *Router) Keep() (at time.Time, k mixer.Snapshot) {
	r.call(nil, func(now int64) { at, k = time.Unix(0, now), r.m.Snapshot(now) })
	return at, k
}

// Resume has the module take what another process kept at a time, and gives the number of searchers' processes met again.
func (r *Router) Resume(at time.Time, k mixer.Snapshot) (met int) {
	r.call(nil, func(int64) { met = r.m.Restore(at.UnixNano(), k) })
	return met
}

// Tick runs what has come due and says when the next is, the zero time if nothing is awaited.
func (r *Router) Tick() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.timers) > 0 {
		first := r.timers[0]
		if at := r.at(first.at); time.Now().Before(at) {
			return at
		}
		heap.Pop(&r.timers)
		r.run(first.whose, first.whose.HandleTimer)
	}
	return time.Time{}
}

// Run ticks until the context ends.
func (r *Router) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.kick:
		case <-timer.C:
		}
		if at := r.Tick(); !at.IsZero() {
			timer.Reset(time.Until(at))
		}
	}
}

// timer is a call that comes due.
type timer struct {
	at, number int64
	whose      mixer.TimerHandler
}

// timers is a heap, earliest first, those of one time in the order they were set.
type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].number < t[j].number
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	(*t)[len(*t)-1] = timer{}
	*t = (*t)[:len(*t)-1]
	return last
}

// set sets a timer, and wakes Run if it is the next.
func (r *Router) set(at int64, whose mixer.TimerHandler) {
	r.count++
	heap.Push(&r.timers, timer{at, r.count, whose})
	if r.timers[0].number == r.count {
		select {
		case r.kick <- struct{}{}:
		default:
		}
	}
}

// floor is how the module acts. The lock is held.
type floor struct{ *Router }

func (r floor) Forward(part, searcher string, within int64) {
	s := r.slots[part]
	if s == nil {
		return // its lookup has ended; the module does not send for such
	}
	f := &Forward{slot: s, copy: len(s.forwards), at: r.last, Part: s.index, ID: s.id, Until: r.at(r.last + within)}
	if f.spot = -1; r.Eyes != nil {
		f.spot = r.Eyes.Spot(searcher)
	}
	s.forwards = append(s.forwards, f)
	s.t.assign(searcher, f)
	if r.debug {
		r.log.Debug("forward", "part", part, "searcher", searcher, "copy", f.copy, "within", time.Duration(within))
	}
	r.set(r.last+within, f)
}

func (r floor) Cancel(part string, forward int) {
	if s := r.slots[part]; s != nil {
		s.t.withdraw(s.forwards[forward])
	}
}

func (r floor) Answer(lookup string, whole bool) {
	if t := r.tickets[lookup]; t != nil {
		t.end(Final{Verdict: Answered, Whole: whole, Hits: t.hits()})
	}
}

func (r floor) Reject(lookup string, wait int64) {
	if t := r.tickets[lookup]; t != nil {
		t.end(Final{Verdict: Bounced, Wait: time.Duration(min(wait, t.advice))})
	}
}

func (r floor) Fail(lookup string) {
	if t := r.tickets[lookup]; t != nil {
		t.end(Final{Verdict: Failed})
	}
}

func (r floor) CloseIdle(searcher string) { r.stale[searcher] = true }

func (r floor) SetTimer(after int64, whose mixer.TimerHandler) {
	r.set(r.last+after, whose)
}

// Subscribe has nothing to do: on sockets a watch on the list is always held or being tried again.
func (r floor) Subscribe() {}

func (r floor) Note(text string) { r.log.Info("module", "note", text) }
