// Package leases computes who may hold an exclusive task and when its holder may act. The holder of
// each lease, with its fencing token, is agreed on in the replicated control state. This package covers
// what agents and controllers derive from it by their own monotonic clocks: which member should hold a
// lease (PreferredHolder), how long a renewal is valid and how long a successor waits (Lease), and the
// renewals that the head of the chain remembers (RenewalTracker). It has no I/O and no clock.
package leases

import (
	"slices"
	"time"

	"nettlefold/internal/rendezvous"
)

// PreferredHolder returns the member that should hold the lease. The current holder keeps it for as long
// as it is a member, because each handover suspends the task for a while; rendezvous hashing decides only
// if there is no such holder. holder is empty if nobody has ever held the lease.
func PreferredHolder(lease, holder string, members []string) string {
	if holder != "" && slices.Contains(members, holder) {
		return holder
	}
	return rendezvous.Owner(lease, members)
}

// Timing has the durations of a lease.
type Timing struct {
	// HoldFor is how long a renewal is valid, counted from when the holder requested it.
	HoldFor time.Duration
	// MaxTransit is the longest time that an action taken under the lease is in transit.
	MaxTransit time.Duration
	// MinSeparation is the time that has to pass between the arrival of the last action of one holder and
	// that of the first action of the next one. It is 0 if the receiver rejects lower fencing tokens.
	MinSeparation time.Duration
}

// TakeoverDelay returns how long a successor waits, counted from when its predecessor requested its last
// renewal: the predecessor acts for at most HoldFor, its last action is in transit for at most
// MaxTransit, and MinSeparation has to pass after that.
func (t Timing) TakeoverDelay() time.Duration { return t.HoldFor + t.MaxTransit + t.MinSeparation }

// Renewal is a confirmation by the control state that a holder has the lease.
type Renewal struct {
	// RequestedAt and ReceivedAt are the times of the request and of its reply, by the holder's clock.
	RequestedAt, ReceivedAt time.Duration
	// FencingToken is the token under which the lease is held.
	FencingToken uint64
	// MayHavePredecessor is set if somebody else may have held the lease before.
	MayHavePredecessor bool
	// PredecessorIdle is a lower bound on the time between the predecessor's last renewal request and
	// the reply. It is 0 if unknown.
	PredecessorIdle time.Duration
}

// Lease is a lease as seen by one holder.
type Lease struct {
	timing       Timing
	fencingToken uint64
	held         bool
	validFrom    time.Duration
	expiresAt    time.Duration // unless it is renewed
}

// New returns a lease that is not held yet. fencingToken is the last known token of the lease.
func New(timing Timing, fencingToken uint64) *Lease {
	return &Lease{timing: timing, fencingToken: fencingToken}
}

// FencingToken returns the token to act under once the lease is held, and the last known one before.
func (l *Lease) FencingToken() uint64 { return l.fencingToken }

// Renew applies a renewal and reports whether it was applied. A renewal under another token than the
// first one is ignored.
func (l *Lease) Renew(r Renewal) bool {
	if l.held && r.FencingToken != l.fencingToken {
		return false
	}
	if !l.held {
		l.held, l.fencingToken, l.validFrom = true, r.FencingToken, r.ReceivedAt
		if r.MayHavePredecessor {
			l.validFrom = max(r.ReceivedAt, r.ReceivedAt-r.PredecessorIdle+l.timing.TakeoverDelay())
		}
	}
	l.expiresAt = max(l.expiresAt, r.RequestedAt+l.timing.HoldFor)
	return true
}

// Held reports whether a renewal has been applied.
func (l *Lease) Held() bool { return l.held }

// Valid reports whether the holder may act under the lease now.
func (l *Lease) Valid(now time.Duration) bool {
	return l.held && now >= l.validFrom && now < l.expiresAt
}

// ValidFrom returns the earliest time at which the holder may act.
func (l *Lease) ValidFrom() time.Duration { return l.validFrom }

// Expired reports whether the last renewal has run out.
func (l *Lease) Expired(now time.Duration) bool { return now >= l.expiresAt }
