package routing

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"nettlefold/mixer"
)

// Lookup is a client's lookup as it is taken.
type Lookup struct {
	ID      string
	Tariff  string
	Expires time.Time // when the client leaves
	Again   bool      // the client has asked before
	Parts   []Part

	Customer int // row of the customers from 1 on, 0: not told
}

// Part is one part of a lookup.
type Part struct {
	Slice  int
	Weight float64
	Effort time.Duration // expected work, 0: not told
}

// Verdict is how a lookup ends.
type Verdict int

const (
	Answered Verdict = iota
	Bounced          // turned away, asking again is harmless
	Failed
)

// Final is the one final answer of a lookup.
type Final struct {
	Verdict Verdict
	Whole   bool          // answered: whole
	Hits    []Hit         // answered: the parts that are in
	Wait    time.Duration // bounced: before the client comes back, 0 for no advice
}

// Hit is the value of one part.
type Hit struct {
	Part  int
	Value []byte
}

// Call is what travels to a searcher as one frame.
type Call struct {
	Searcher string
	Fresh    bool // its idle connections are to be closed before
	Forwards []*Forward
	at       int64
}

// Step is what is to be done next for a lookup.
type Step struct {
	Calls     []Call
	Withdrawn []*Forward
	Final     *Final // set once, in the last step
}

// Ticket stands for one open lookup.
type Ticket struct {
	r      *Router
	l      *mixer.Lookup
	id     string
	slots  []*slot
	advice int64 // longest wait advised, of the version it was taken under
	ended  bool
	step   Step
	ready  chan struct{}
}

// slot is what is known of one part.
type slot struct {
	t        *Ticket
	id       string
	index    int
	forwards []*Forward
	in       bool
	value    []byte
}

// Forward is one try of a part. It has exactly one outcome, also after its lookup has ended.
type Forward struct {
	Part  int       // of its lookup
	ID    string    // of that part
	Until time.Time // when it is waited for no more
	slot  *slot
	copy  int
	at    int64
	left  bool
	spot  int16 // of its searcher
	done  atomic.Bool
	over  atomic.Pointer[func()]
}

// Take takes a lookup. Pick must then be called until it gives a final answer or an error.
func (r *Router) Take(l Lookup) (*Ticket, error) {
	t := &Ticket{r: r, id: l.ID, ready: make(chan struct{}, 1)}
	err := ErrFull
	r.call(t, func(now int64) {
		t.advice = r.advice
		if r.Eyes != nil {
			r.Eyes.Asked()
		}
		if r.tickets[l.ID] != nil {
			err = ErrTaken
			return
		}
		if r.open >= r.most { // as the platform counts, which lets in the one that goes beyond
			return
		}
		err = nil
		r.open += 1 + len(l.Parts)
		r.tickets[l.ID] = t
		for i, p := range l.Parts {
			s := &slot{t: t, id: partID(l.ID, p.Slice), index: i}
			t.slots = append(t.slots, s)
			r.slots[s.id] = s
		}
		if r.debug {
			r.log.Debug("taken", "lookup", l.ID, "tariff", l.Tariff, "parts", len(l.Parts), "left", time.Until(l.Expires), "again", l.Again)
		}
		notAfter := r.unix + int64(l.Expires.Sub(r.anchor))
		t.l = r.m.StartLookup(now, mixer.LookupRequest{
			ID: l.ID, Tariff: r.rows[l.Tariff], NotAfter: notAfter, Parts: len(l.Parts), Again: l.Again, Customer: l.Customer})
		for i, p := range l.Parts {
			t.l.AddPart(now, mixer.PartRequest{ID: t.slots[i].id, Slice: p.Slice, Weight: p.Weight, Effort: int64(p.Effort)})
		}
	})
	return t, err
}

// partID names a part by its lookup and slice.
func partID(lookup string, slice int) string { return lookup + "." + strconv.Itoa(slice) }

// Pick blocks until there is something to do for the lookup. Where the context ends first, as it does when the
// client has gone, the lookup ends without an answer.
func (t *Ticket) Pick(ctx context.Context) (Step, error) {
	for {
		select {
		case <-t.ready:
		case <-ctx.Done():
		}
		if ctx.Err() != nil { // also where both are ready: for a client that has gone nothing more begins
			t.r.call(t, func(now int64) {
				if !t.ended {
					t.close()
					t.l.Abandon(now)
				}
			})
			return Step{}, ctx.Err()
		}
		t.r.mu.Lock()
		step := t.step
		t.step = Step{}
		t.r.mu.Unlock()
		if len(step.Calls) > 0 || len(step.Withdrawn) > 0 || step.Final != nil {
			return step, nil
		}
	}
}

func (t *Ticket) wake() {
	select {
	case t.ready <- struct{}{}:
	default:
	}
}

// assign adds a forward to the calls of its review.
func (t *Ticket) assign(searcher string, f *Forward) {
	defer t.wake()
	for i := range t.step.Calls {
		c := &t.step.Calls[i]
		if c.Searcher == searcher && c.at == f.at && len(c.Forwards) < t.r.charter.PerCall {
			c.Forwards = append(c.Forwards, f)
			return
		}
	}
	t.step.Calls = append(t.step.Calls, Call{searcher, t.r.stale[searcher], []*Forward{f}, f.at})
	delete(t.r.stale, searcher)
}

// withdraw gives up one forward, which the searcher is told if it may have it.
func (t *Ticket) withdraw(f *Forward) {
	if f.done.Load() {
		return
	}
	o := mixer.NeverSent
	if f.left {
		o = mixer.Cancelled
		t.step.Withdrawn = append(t.step.Withdrawn, f)
		t.wake()
	}
	t.r.next = append(t.r.next, func(now int64) { f.settle(now, o, nil) })
}

// hits gives the parts that are in.
func (t *Ticket) hits() []Hit {
	var hits []Hit
	for _, s := range t.slots {
		if s.in {
			hits = append(hits, Hit{s.index, s.value})
		}
	}
	return hits
}

// end gives the lookup its final answer.
func (t *Ticket) end(f Final) {
	if !t.ended {
		if t.r.debug {
			t.r.log.Debug("final", "lookup", t.id, "verdict", f.Verdict, "whole", f.Whole, "hits", len(f.Hits), "wait", f.Wait)
		}
		t.close()
		t.step.Final = &f
		t.wake()
	}
}

// close forgets the lookup; what it had not handed out yet is never sent.
func (t *Ticket) close() {
	t.ended = true
	t.r.open--
	delete(t.r.tickets, t.id)
	for _, s := range t.slots {
		if !s.in {
			t.r.open--
		}
		delete(t.r.slots, s.id)
		for _, f := range s.forwards {
			if !f.left {
				t.r.next = append(t.r.next, func(now int64) { f.settle(now, mixer.NeverSent, nil) })
			}
		}
	}
	t.step.Calls = nil
}

// Leave tells that the forward is about to be written, and whether it still may be. Where it may not, it has had
// its outcome.
func (f *Forward) Leave() bool {
	may := false
	f.slot.t.r.call(f, func(now int64) {
		may = !f.done.Load()
		f.left = may
	})
	return may
}

// Over tells whether the forward has had its outcome. It needs no lock: connections ask it for each part on them.
func (f *Forward) Over() bool { return f.done.Load() }

// Watch has over called once the forward has had its outcome, at once where it has, and perhaps twice; nil ends that. It is called
// under the router's lock and must not block, nor call the router. Many forwards may share one.
func (f *Forward) Watch(over *func()) {
	f.over.Store(over)
	if over != nil && f.done.Load() {
		(*over)()
	}
}

// Report tells the outcome of the forward, with the value where it is satisfied. Any after the first is ignored.
func (f *Forward) Report(o Outcome, value []byte) {
	f.slot.t.r.call(f, func(now int64) { f.settle(now, o, value) })
}

// Due ends the wait for the forward.
func (f *Forward) HandleTimer(now int64) {
	if f.left {
		f.settle(now, mixer.TimedOut, nil)
	} else {
		f.settle(now, mixer.NeverSent, nil)
	}
}

// settle tells the module the outcome, once.
func (f *Forward) settle(now int64, o Outcome, value []byte) {
	if f.done.Load() {
		return
	}
	f.done.Store(true)
	if over := f.over.Load(); over != nil {
		(*over)()
	}
	s := f.slot
	if f.spot >= 0 {
		s.t.r.Eyes.Outcome(f.spot, o, now-f.at)
	}
	if s.t.r.debug {
		s.t.r.log.Debug("outcome", "part", s.id, "copy", f.copy, "outcome", o, "left", f.left, "took", time.Duration(now-f.at))
	}
	if o == mixer.Succeeded && !s.in && !s.t.ended {
		s.in, s.value = true, value
		s.t.r.open--
	}
	s.t.l.HandleOutcome(now, s.index, f.copy, o, now-f.at, s.in || s.t.ended)
}
