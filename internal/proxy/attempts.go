package proxy

import (
	"context"
	"sync"
	"time"
)

const (
	// attemptCheckInterval is the interval at which attempts are checked for missing progress.
	attemptCheckInterval = 200 * time.Millisecond
	// connectionCheckTicks is after how many of these intervals idle connections to backends are checked.
	connectionCheckTicks = 5
	// removedBackendTimeout is how long an attempt may make no progress once its backend has been
	// removed from the list. A backend that is only draining still sends data, so missing progress
	// means that it is gone.
	removedBackendTimeout = time.Second
	// stalledStreamTimeout is how long a retryable attempt may make no progress before another backend is
	// tried, if its backend is stalled (see dispatch.Table.Stalled).
	stalledStreamTimeout = 1500 * time.Millisecond
)

// attemptRegistry holds the active attempts, so that those at a backend that will not answer can be
// cancelled and their requests retried elsewhere or refused at once.
type attemptRegistry struct {
	mu        sync.Mutex
	active    map[*attempt]bool
	removedAt map[string]time.Time // by ID of the removed backend
}

func newAttemptRegistry() *attemptRegistry {
	return &attemptRegistry{active: map[*attempt]bool{}, removedAt: map[string]time.Time{}}
}

func (r *attemptRegistry) add(a *attempt) {
	r.mu.Lock()
	r.active[a] = true
	r.mu.Unlock()
}

func (r *attemptRegistry) remove(a *attempt) {
	r.mu.Lock()
	delete(r.active, a)
	r.mu.Unlock()
}

// backendRemoved records that a backend was removed from the list.
func (r *attemptRegistry) backendRemoved(id string) {
	r.mu.Lock()
	r.removedAt[id] = time.Now()
	r.mu.Unlock()
}

// overdue returns the attempts that have made no progress for too long at a removed or stalled backend,
// and the reason to give up on each. stalled reports whether the backend of an attempt is stalled,
// as dispatch.Table.Stalled does.
// Removed backends are forgotten after a minute, long after removedBackendTimeout.
func (r *attemptRegistry) overdue(now time.Duration, stalled func(a *attempt) bool) (overdue map[*attempt]endReason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	overdue = map[*attempt]endReason{}
	for id, at := range r.removedAt {
		if time.Since(at) > time.Minute {
			delete(r.removedAt, id)
		}
	}
	for a := range r.active {
		sinceProgress := now - time.Duration(a.lastProgress.Load())
		_, removed := r.removedAt[a.choice.ID]
		switch {
		case removed && sinceProgress > removedBackendTimeout:
			overdue[a] = endReasonBackendRemoved
		case a.retryable && sinceProgress > stalledStreamTimeout && stalled(a):
			overdue[a] = endReasonBackendStalled
		}
	}
	return overdue
}

// responseState is the state of an attempt's response. It leaves responsePending exactly once, by
// whichever of startResponse and cancelIfPending comes first.
type responseState = int32

// Values of responseState.
const (
	responsePending   responseState = iota
	responseStarted                 // the response is relayed; the attempt can't be cancelled any more
	responseCancelled               // the attempt is cancelled; its response must not be relayed
)

// startResponse commits the attempt to relaying its response. It returns false if the attempt was
// cancelled before.
func (a *attempt) startResponse() bool {
	return a.state.CompareAndSwap(responsePending, responseStarted)
}

// cancelIfPending cancels an attempt whose response has not started.
func (a *attempt) cancelIfPending(reason endReason) {
	if a.state.CompareAndSwap(responsePending, responseCancelled) {
		a.cancel(reason)
	}
}

// firstByteTimer cancels an attempt whose response has not started by a deadline.
type firstByteTimer struct {
	mu      sync.Mutex
	stopped bool // the response has started or the attempt has ended
	timer   *time.Timer
}

// set schedules end after wait and replaces what was scheduled before. It does nothing after stop.
func (t *firstByteTimer) set(wait time.Duration, afterFunc func(time.Duration, func()) *time.Timer, end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	if t.timer != nil {
		t.timer.Stop()
	}
	t.timer = afterFunc(wait, end)
}

// stop disarms the timer for good.
func (t *firstByteTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	if t.timer != nil {
		t.timer.Stop()
	}
}

// armFirstByteTimer schedules the cancellation of an attempt for the time from which its model
// version is too old for a response to start. Call it from commandLoop.
func (p *Proxy) armFirstByteTimer(now time.Duration, a *attempt) {
	if deadline := p.dispatchTable.FirstByteDeadline(a.choice); deadline != 0 {
		a.firstByteTimer.set(deadline-now, p.afterFunc, func() { a.cancelIfPending(endReasonFirstByteDeadline) })
	}
}

// armFirstByteTimers rearms the timers of all active attempts after requested versions have changed.
// Call it from commandLoop.
func (p *Proxy) armFirstByteTimers(now time.Duration) {
	p.attempts.mu.Lock()
	defer p.attempts.mu.Unlock()
	for a := range p.attempts.active {
		p.armFirstByteTimer(now, a)
	}
}

// monitorAttempts periodically handles overdue attempts, and unusable connections to backends, until ctx is
// cancelled.
func (p *Proxy) monitorAttempts(ctx context.Context) {
	ticker := time.NewTicker(attemptCheckInterval)
	defer ticker.Stop()
	for tick := 1; ; tick++ {
		select {
		case due := <-ticker.C:
			p.timerLateness.record(due, time.Now())
		case <-ctx.Done():
			return
		}
		p.handleOverdue(p.now())
		if tick%connectionCheckTicks == 0 {
			p.closeUnusableConnections()
		}
	}
}

// overdueAttempts holds the attempts to give up on and the reason for each.
type overdueAttempts struct {
	toCancel   map[*attempt]endReason // response not started: to be cancelled
	toTakeOver map[*attempt]endReason // response started: to be resumed elsewhere if resumable
}

// handleOverdue deals with the attempts that are overdue at a time. Missing progress is no reason to
// cancel an attempt whose response has started: an engine that runs out of memory stops streams for
// seconds and then continues them. If the stream is resumable, another backend is tried in parallel.
// An attempt whose response has not started is cancelled if its backend was removed or if another
// backend would admit the request.
func (p *Proxy) handleOverdue(now time.Duration) { p.resolveOverdue(p.findOverdue(now)) }

// findOverdue returns the attempts that are overdue at a time.
func (p *Proxy) findOverdue(now time.Duration) (found overdueAttempts) {
	p.execute(func() {
		found = overdueAttempts{toCancel: map[*attempt]endReason{}, toTakeOver: map[*attempt]endReason{}}
		for a, reason := range p.attempts.overdue(now, func(a *attempt) bool { return p.dispatchTable.Stalled(now, a.choice) }) {
			switch {
			case a.takeover.Load() != nil:
				found.toTakeOver[a] = reason
			case reason == endReasonBackendRemoved || p.canRetryElsewhere(now, a):
				found.toCancel[a] = reason
			}
		}
	})
	return found
}

// resolveOverdue cancels or takes over the attempts that findOverdue returned.
func (p *Proxy) resolveOverdue(found overdueAttempts) {
	for a, reason := range found.toCancel {
		p.log.Debug().Str("step", "overdue").Str("peer", a.choice.Addr).Str("ending", string(reason)).Msg("cancelling overdue attempt")
		a.cancelIfPending(reason)
	}
	for a, reason := range found.toTakeOver {
		a.takeover.Load().start(reason)
	}
}

// canRetryElsewhere reports whether the retry budget and another backend would admit the request of
// an attempt now. Call it from commandLoop.
func (p *Proxy) canRetryElsewhere(now time.Duration, a *attempt) bool {
	q := a.request
	return p.dispatchTable.RetryAllowed(now, q.service) && p.dispatchTable.WouldAdmit(now, q.dispatchRequest(a.triedBackends))
}
