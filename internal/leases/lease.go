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
func PreferredHolder(key, holder string, members []string) string {
	if holder != "" && slices.Contains(members, holder) {
		return holder
	}
	return rendezvous.Owner(key, members)
}

// Terms are the times of a lease.
type Timing struct {
	// Act is how long the holder acts after it asked for a confirmation that it got.
	HoldFor time.Duration
	// Flight is how long something that was sent under the lease may be on its way.
	MaxTransit time.Duration
	// Apart is for how long acts of two holders have to stay apart beyond that. It is 0 where whoever is acted on refuses lower tokens.
	MinSeparation time.Duration
}

// Takeover is how long a successor waits after the former holder asked for its last confirmation: the former holder acts for Act at most, what
// it sent then is on its way for Flight at most, and Apart has to pass after that.
func (t Timing) TakeoverDelay() time.Duration { return t.HoldFor + t.MaxTransit + t.MinSeparation }

// Confirmation is a reply of the control state to the holder of a duty.
type Renewal struct {
	// Asked and Now are when it was asked for and when it arrived, by the holder's clock.
	RequestedAt, ReceivedAt time.Duration
	// Fence is the token under which the duty is held.
	FencingToken uint64
	// Inherited tells whether somebody else may have held the duty before.
	HadPredecessor bool
	// Quiet is how long before the reply the former holder had asked for its last confirmation, at the least; 0 if that is not known.
	PredecessorIdle time.Duration
}

// Lease is one holder's.
type Lease struct {
	timing       Timing
	fencingToken uint64
	held         bool
	validFrom    time.Duration // when it may act first
	expiresAt    time.Duration // when it may act no more without another confirmation
}

// New makes a lease that is not held yet. fence is the token under which the duty was last seen.
func New(terms Timing, fence uint64) *Lease { return &Lease{timing: terms, fencingToken: fence} }

// Fence is the token: once held, the one to act under.
func (l *Lease) FencingToken() uint64 { return l.fencingToken }

// Confirmed takes a confirmation. One under another token than the first is none of this lease.
func (l *Lease) Renew(c Renewal) bool {
	if l.held && c.FencingToken != l.fencingToken {
		return false
	}
	if !l.held {
		l.held, l.fencingToken, l.validFrom = true, c.FencingToken, c.ReceivedAt
		if c.HadPredecessor {
			l.validFrom = max(c.ReceivedAt, c.ReceivedAt-c.PredecessorIdle+l.timing.TakeoverDelay())
		}
	}
	l.expiresAt = max(l.expiresAt, c.RequestedAt+l.timing.HoldFor)
	return true
}

// MayAct tells whether something may be done under the lease now.
func (l *Lease) Valid(now time.Duration) bool {
	return l.held && now >= l.validFrom && now < l.expiresAt
}

// From is when it may act first.
func (l *Lease) ValidFrom() time.Duration { return l.validFrom }

// Over tells whether the last confirmation has run out.
func (l *Lease) Expired(now time.Duration) bool { return now >= l.expiresAt }
