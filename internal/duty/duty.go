// Package duty tells when the holder of a duty may act. Ownership is agreed on in the control state, under a fencing token; this is the
// holder's side of it, by its own steady clock: how long a confirmation lasts, and how long a successor waits. It has no I/O and no clock.
package duty

import "time"

// Terms are the times of a lease.
type Terms struct {
	// Act is how long the holder acts after it asked for a confirmation that it got.
	Act time.Duration
	// Lease is for how long holders may not take turns, as the rules say.
	Lease time.Duration
	// Flight is how long something that was sent under the lease may be on its way.
	Flight time.Duration
}

// Takeover is how long a successor waits from when the duty became its own: the former holder acts for Act at most, what it sent then
// is on its way for Flight at most, and Lease has to pass after that.
func (t Terms) Takeover() time.Duration { return t.Act + t.Flight + t.Lease }

// Lease is one holder's.
type Lease struct {
	terms Terms
	fence uint64
	held  bool
	from  time.Duration // when it may act first
	until time.Duration // when it may act no more without another confirmation
}

// New makes a lease that is not held yet. fence is the token under which the duty was last seen.
func New(terms Terms, fence uint64) *Lease { return &Lease{terms: terms, fence: fence} }

// Fence is the token: once held, the one to act under.
func (l *Lease) Fence() uint64 { return l.fence }

// Confirmed takes a confirmation that was asked for at a time and arrived at another. inherited tells whether somebody else may have held
// the duty before. A confirmation under another token than the first is none of this lease.
func (l *Lease) Confirmed(asked, now time.Duration, fence uint64, inherited bool) bool {
	if l.held && fence != l.fence {
		return false
	}
	if !l.held {
		l.held, l.fence, l.from = true, fence, now
		if inherited {
			l.from = now + l.terms.Takeover()
		}
	}
	l.until = max(l.until, asked+l.terms.Act)
	return true
}

// MayAct tells whether something may be done under the lease now.
func (l *Lease) MayAct(now time.Duration) bool { return l.held && now >= l.from && now < l.until }

// From is when it may act first.
func (l *Lease) From() time.Duration { return l.from }

// Over tells whether the last confirmation has run out.
func (l *Lease) Over(now time.Duration) bool { return now >= l.until }
