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

// lease is a duty as this agent holds it. Its owner's goroutines share it.
type lease struct {
	name           string
	hadPredecessor bool // somebody else may have held it before
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

// opensIn is how long it is until the lease begins.
func (l *lease) timeUntilValid(now time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.state.ValidFrom()-now)
}

func (l *lease) renew(c leases.Renewal) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.HadPredecessor = l.hadPredecessor
	return l.state.Renew(c)
}

// orderTerms are the times of the duty to give orders. Engines that refuse lower tokens need no time between two holders: what the former one
// sent has arrived by then or is refused.
func (a *Agent) rolloutLeaseTiming() leases.Timing {
	terms := leases.Timing{HoldFor: leaseHoldTime, MaxTransit: orderTimeout}
	if !a.settings.Bounds.Fenced {
		terms.MinSeparation = a.settings.Bounds.Lease
	}
	return terms
}

// acquire takes a duty over, and waits until shortly before whoever had it has stopped: its lease may begin emptyAhead later.
func (a *Agent) acquireLease(ctx context.Context, name string) (*lease, error) {
	var before replicated.LeaseRecord
	if err := a.runInLoop(ctx, func() { before = a.snapshot.Leases[name] }); err != nil {
		return nil, err
	}
	l := &lease{name: name, hadPredecessor: before.Holder != "" && before.Holder != a.self.ID, state: leases.New(a.rolloutLeaseTiming(), before.FencingToken)}
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

// confirm makes sure through the chain that the duty is this agent's; it becomes so if nobody took it since the fence that is known.
func (a *Agent) renewLease(ctx context.Context, l *lease) error {
	asked := a.now()
	request := &distribute.SubmitRequest{Operation: replicated.Operation{
		Kind: replicated.KindLease, LeaseName: l.name, Holder: a.self.ID, FencingToken: l.fencingToken(),
	}}
	var controllers []string
	if err := a.runInLoop(ctx, func() { controllers = a.controllers }); err != nil {
		return err
	}
	err := merry.New("no controller is known")
	for _, addr := range controllers {
		reply := new(distribute.SubmitReply)
		if callErr := a.pool.Call(ctx, orderTimeout, addr, distribute.KindSubmit, request, reply); callErr != nil {
			err = callErr
			continue
		}
		quiet := time.Duration(reply.PredecessorIdleMS) * time.Millisecond
		if reply.Outcome == distribute.OutcomeCommitted && l.renew(leases.Renewal{RequestedAt: asked, ReceivedAt: a.now(), FencingToken: reply.FencingToken, PredecessorIdle: quiet}) {
			return nil
		}
		err = merry.New("the duty " + l.name + " is another's: " + reply.Reason)
		if reply.Outcome != distribute.OutcomeUnknown {
			return err
		}
	}
	return err
}
