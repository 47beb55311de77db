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
	duty      string
	inherited bool // somebody else may have held it before
	mu        sync.Mutex
	state     *leases.Lease
}

func (l *lease) fence() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.FencingToken()
}

func (l *lease) mayAct(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Valid(now)
}

func (l *lease) over(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Expired(now)
}

// opensIn is how long it is until the lease begins.
func (l *lease) opensIn(now time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.state.ValidFrom()-now)
}

func (l *lease) confirmed(c leases.Renewal) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.HadPredecessor = l.inherited
	return l.state.Renew(c)
}

// orderTerms are the times of the duty to give orders. Engines that refuse lower tokens need no time between two holders: what the former one
// sent has arrived by then or is refused.
func (a *Agent) orderTerms() leases.Timing {
	terms := leases.Timing{HoldFor: confirmFor, MaxTransit: orderLimit}
	if !a.settings.Bounds.Fenced {
		terms.MinSeparation = a.settings.Bounds.Lease
	}
	return terms
}

// acquire takes a duty over, and waits until shortly before whoever had it has stopped: its lease may begin emptyAhead later.
func (a *Agent) acquire(ctx context.Context, name string) (*lease, error) {
	var before replicated.LeaseRecord
	if err := a.ask(ctx, func() { before = a.snapshot.Leases[name] }); err != nil {
		return nil, err
	}
	l := &lease{duty: name, inherited: before.Holder != "" && before.Holder != a.self.ID, state: leases.New(a.orderTerms(), before.FencingToken)}
	if err := a.confirm(ctx, l); err != nil {
		return nil, err
	}
	for {
		wait := l.opensIn(a.now()) - emptyAhead
		if wait <= 0 {
			return l, nil
		}
		time.Sleep(min(confirmEvery, wait))
		if err := a.confirm(ctx, l); err != nil {
			return nil, err
		}
	}
}

// confirm makes sure through the chain that the duty is this agent's; it becomes so if nobody took it since the fence that is known.
func (a *Agent) confirm(ctx context.Context, l *lease) error {
	asked := a.now()
	request := &distribute.SubmitRequest{Operation: replicated.Operation{
		Kind: replicated.KindLease, LeaseName: l.duty, Holder: a.self.ID, FencingToken: l.fence(),
	}}
	var controllers []string
	if err := a.ask(ctx, func() { controllers = a.controllers }); err != nil {
		return err
	}
	err := merry.New("no controller is known")
	for _, addr := range controllers {
		reply := new(distribute.SubmitReply)
		if callErr := a.pool.Call(ctx, orderLimit, addr, distribute.KindSubmit, request, reply); callErr != nil {
			err = callErr
			continue
		}
		quiet := time.Duration(reply.PredecessorIdleMS) * time.Millisecond
		if reply.Outcome == distribute.OutcomeCommitted && l.confirmed(leases.Renewal{RequestedAt: asked, ReceivedAt: a.now(), FencingToken: reply.FencingToken, PredecessorIdle: quiet}) {
			return nil
		}
		err = merry.New("the duty " + l.duty + " is another's: " + reply.Reason)
		if reply.Outcome != distribute.OutcomeUnknown {
			return err
		}
	}
	return err
}
