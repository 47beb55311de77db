package agent

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"nettlefold/internal/distribute"
	"nettlefold/internal/leases"
	"nettlefold/internal/replicated"
)

// lease is a lease held or claimed by this agent. It is safe for concurrent use by the goroutines
// of a rollout.
type lease struct {
	name           string
	hadPredecessor bool // another agent, the predecessor, may have held the lease before this one acquired it
	mu             sync.Mutex
	state          *leases.Lease
}

func (l *lease) fencingToken() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.FencingToken()
}

func (l *lease) valid(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Valid(now)
}

func (l *lease) expired(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Expired(now)
}

// heldUnder reports whether the lease was acquired under a fencing token.
func (l *lease) heldUnder(fencingToken uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Held() && l.state.FencingToken() == fencingToken
}

// timeUntilValid returns the time until the lease becomes valid, 0 if it has.
func (l *lease) timeUntilValid(now time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.state.ValidFrom()-now)
}

// renew applies a renewal and reports whether the lease accepted it.
func (l *lease) renew(renewal leases.Renewal) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	renewal.MayHavePredecessor = l.hadPredecessor
	return l.state.Renew(renewal)
}

// rolloutLeaseTiming returns the timing of rollout leases. Engines that reject lower fencing tokens
// need no separation between two holders: once an order of the new holder has arrived, those of the
// former one are rejected.
func (a *Agent) rolloutLeaseTiming() leases.Timing {
	timing := leases.Timing{HoldFor: leaseHoldTime, MaxTransit: orderTimeout}
	if !a.settings.Bounds.Fenced {
		timing.MinSeparation = a.settings.Bounds.Lease
	}
	return timing
}

// acquireLease acquires a lease and returns at most emptyingLead before it becomes valid, which is
// after the former holder has stopped.
func (a *Agent) acquireLease(ctx context.Context, name string) (*lease, error) {
	var l *lease
	if err := a.runInLoop(ctx, func() { l = a.claimLease(name) }); err != nil {
		return nil, err
	}
	if err := a.renewLease(ctx, l); err != nil {
		return nil, err
	}
	for {
		wait := l.timeUntilValid(a.now()) - emptyingLead
		if wait <= 0 {
			return l, nil
		}
		time.Sleep(min(leaseRenewInterval, wait))
		if err := a.renewLease(ctx, l); err != nil {
			return nil, err
		}
	}
}

// claimLease returns the lease to acquire. If this agent has acquired it before and nobody else has since,
// that is the same lease, which doesn't become valid earlier than it would have. An acquisition whose reply
// was lost leaves only its record, which says nothing about when the predecessor stopped.
func (a *Agent) claimLease(name string) *lease {
	record := a.snapshot.Leases[name]
	if own := a.ownLeases[name]; own != nil && record.Holder == a.self.ID && own.heldUnder(record.FencingToken) {
		return own
	}
	l := &lease{name: name, hadPredecessor: record.Holder != "", state: leases.New(a.rolloutLeaseTiming(), record.FencingToken)}
	a.ownLeases[name] = l
	return l
}

// renewLease renews a lease through the head of the chain. An agent that doesn't hold the lease
// acquires it if nobody has acquired it since the known fencing token.
func (a *Agent) renewLease(ctx context.Context, l *lease) error {
	requestedAt := a.now()
	request := &distribute.SubmitRequest{Operation: replicated.Operation{
		Kind: replicated.KindLease, LeaseName: l.name, Holder: a.self.ID, FencingToken: l.fencingToken(),
	}}
	var controllers []string
	if err := a.runInLoop(ctx, func() { controllers = a.controllers }); err != nil {
		return err
	}
	err := merry.New("agent: renew lease " + l.name + ": no controller is known")
	for _, addr := range controllers {
		reply := new(distribute.SubmitReply)
		if callErr := a.pool.Call(ctx, orderTimeout, addr, distribute.KindSubmit, request, reply); callErr != nil {
			err = callErr
			continue
		}
		predecessorIdle := time.Duration(reply.PredecessorIdleMS) * time.Millisecond
		if reply.Outcome == distribute.OutcomeCommitted && l.renew(leases.Renewal{RequestedAt: requestedAt, ReceivedAt: a.now(), FencingToken: reply.FencingToken, PredecessorIdle: predecessorIdle}) {
			return nil
		}
		err = merry.New("agent: renew lease " + l.name + ": not granted: " + reply.Reason)
		if reply.Outcome != distribute.OutcomeUnknown {
			return err
		}
	}
	return err
}
