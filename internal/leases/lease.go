// Package leases decides who holds a duty and when its holder may act. Ownership is agreed on in the control state, under a fencing token. Here is
// what agents and controllers make of it, by their own steady clocks: who should hold a duty (Owner), how long a confirmation lasts and how
// long a successor waits (Lease), and what the head of the chain remembers of confirmations (Register). It has no I/O and no clock.
package leases

import (
	"slices"
	"time"

	"nettlefold/internal/rendezvous"
)

// Owner tells which of the members should hold a duty. Whoever holds it keeps it for as long as it is a member, as each change of hands
// stops the duty for a while; ranking decides only where nobody does. holder is empty where nobody ever held it.
func Owner(key, holder string, members []string) string {
	if holder != "" && slices.Contains(members, holder) {
		return holder
	}
	return rendezvous.Owner(key, members)
}

// Terms are the times of a lease.
type Terms struct {
	// Act is how long the holder acts after it asked for a confirmation that it got.
	Act time.Duration
	// Flight is how long something that was sent under the lease may be on its way.
	Flight time.Duration
	// Apart is for how long acts of two holders have to stay apart beyond that. It is 0 where whoever is acted on refuses lower tokens.
	Apart time.Duration
}

// Takeover is how long a successor waits after the former holder asked for its last confirmation: the former holder acts for Act at most, what
// it sent then is on its way for Flight at most, and Apart has to pass after that.
func (t Terms) Takeover() time.Duration { return t.Act + t.Flight + t.Apart }

// Confirmation is a reply of the control state to the holder of a duty.
type Confirmation struct {
	// Asked and Now are when it was asked for and when it arrived, by the holder's clock.
	Asked, Now time.Duration
	// Fence is the token under which the duty is held.
	Fence uint64
	// Inherited tells whether somebody else may have held the duty before.
	Inherited bool
	// Quiet is how long before the reply the former holder had asked for its last confirmation, at the least; 0 if that is not known.
	Quiet time.Duration
}

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

// Confirmed takes a confirmation. One under another token than the first is none of this lease.
func (l *Lease) Confirmed(c Confirmation) bool {
	if l.held && c.Fence != l.fence {
		return false
	}
	if !l.held {
		l.held, l.fence, l.from = true, c.Fence, c.Now
		if c.Inherited {
			l.from = max(c.Now, c.Now-c.Quiet+l.terms.Takeover())
		}
	}
	l.until = max(l.until, c.Asked+l.terms.Act)
	return true
}

// MayAct tells whether something may be done under the lease now.
func (l *Lease) MayAct(now time.Duration) bool { return l.held && now >= l.from && now < l.until }

// From is when it may act first.
func (l *Lease) From() time.Duration { return l.from }

// Over tells whether the last confirmation has run out.
func (l *Lease) Over(now time.Duration) bool { return now >= l.until }
