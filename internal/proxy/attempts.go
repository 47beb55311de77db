package proxy

import (
	"context"
	"sync"
	"time"
)

const (
	// attemptsEvery is how often attempts are looked at.
	attemptCheckInterval = 200 * time.Millisecond
	// goneSilence is how long an attempt has heard nothing that is ended because its backend is gone from the list: one that leaves in
	// order is still answering then.
	removedBackendTimeout = time.Second
	// streamSilence is how long a stream that may be taken up elsewhere pauses before it is, at a backend that is silent to all.
	stalledStreamTimeout = 1500 * time.Millisecond
)

// attempts are those under way: what waits at a backend that will not answer is ended here, to be sent elsewhere or to get its final
// answer at once.
type attemptRegistry struct {
	mu        sync.Mutex
	active    map[*attempt]bool
	removedAt map[string]time.Time // backends that left the list, and when
}

func newAttemptRegistry() *attemptRegistry {
	return &attemptRegistry{active: map[*attempt]bool{}, removedAt: map[string]time.Time{}}
}

func (s *attemptRegistry) add(a *attempt) {
	s.mu.Lock()
	s.active[a] = true
	s.mu.Unlock()
}

func (s *attemptRegistry) remove(a *attempt) {
	s.mu.Lock()
	delete(s.active, a)
	s.mu.Unlock()
}

// left notes that a backend is gone from the list.
func (s *attemptRegistry) backendRemoved(id string) {
	s.mu.Lock()
	s.removedAt[id] = time.Now()
	s.mu.Unlock()
}

// overdue gives the attempts that have heard nothing for too long, and why each is in doubt; silent tells whether a backend is.
func (s *attemptRegistry) overdue(now time.Duration, silent func(a *attempt) bool) (overdue map[*attempt]endReason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	overdue = map[*attempt]endReason{}
	for id, at := range s.removedAt {
		if time.Since(at) > time.Minute {
			delete(s.removedAt, id)
		}
	}
	for a := range s.active {
		quiet := now - time.Duration(a.lastProgress.Load())
		_, gone := s.removedAt[a.choice.ID]
		switch {
		case gone && quiet > removedBackendTimeout:
			overdue[a] = endReasonBackendRemoved
		case a.retryable && quiet > stalledStreamTimeout && silent(a):
			overdue[a] = endReasonBackendStalled
		}
	}
	return overdue
}

// answerState is who decides on an attempt whose answer is awaited: it is settled once, by whoever comes first.
type responseState = int32

// The states.
const (
	responsePending   responseState = iota
	responseStarted                 // it is passed on; nobody may take the attempt back
	responseCancelled               // the attempt is ended, and its answer must not be passed on
)

// begin settles that the answer is passed on; false if the attempt was taken back before.
func (a *attempt) startResponse() bool {
	return a.state.CompareAndSwap(responsePending, responseStarted)
}

// takeBack ends an attempt whose answer has not begun; one that has goes on.
func (a *attempt) cancelIfPending(why endReason) {
	if a.state.CompareAndSwap(responsePending, responseCancelled) {
		a.cancel(why)
	}
}

// beginLimit ends an attempt that has not begun by a time.
type firstByteTimer struct {
	mu      sync.Mutex
	stopped bool // it has begun or ended
	timer   *time.Timer
}

// set has end called after a time, in place of what was set before.
func (l *firstByteTimer) set(wait time.Duration, afterFunc func(time.Duration, func()) *time.Timer, end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return
	}
	if l.timer != nil {
		l.timer.Stop()
	}
	l.timer = afterFunc(wait, end)
}

// stop lifts the limit for good.
func (l *firstByteTimer) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	if l.timer != nil {
		l.timer.Stop()
	}
}

// limitBegin has an attempt end when its weights are too old to begin on. Call it at the owner.
func (p *Proxy) armFirstByteTimer(now time.Duration, a *attempt) {
	if by := p.dispatchTable.FirstByteDeadline(a.choice); by != 0 {
		a.firstByteTimer.set(by-now, p.afterFunc, func() { a.cancelIfPending(endReasonFirstByteDeadline) })
	}
}

// limitBegins does so with all attempts, as other versions are wanted. Call it at the owner.
func (p *Proxy) armFirstByteTimers(now time.Duration) {
	p.attempts.mu.Lock()
	defer p.attempts.mu.Unlock()
	for a := range p.attempts.active {
		p.armFirstByteTimer(now, a)
	}
}

// watchAttempts ends attempts that wait in vain.
func (p *Proxy) monitorAttempts(ctx context.Context) {
	ticker := time.NewTicker(attemptCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case due := <-ticker.C:
			p.timerLateness.record(due, time.Now())
		case <-ctx.Done():
			return
		}
		p.handleOverdue(p.now())
	}
}

// doubtful are the attempts that wait in vain, and why each is in doubt.
type overdueAttempts struct {
	toCancel   map[*attempt]endReason // their answer has not begun: to be taken back
	toTakeOver map[*attempt]endReason // their answer has begun: to be taken up elsewhere beside it
}

// endOverdue does something about the attempts that wait in vain at a time. An answer that has begun is never ended for its backend's
// silence: an engine without memory stops streams for seconds and goes on with them. Where it may be taken up elsewhere, that is tried
// beside it. A request whose answer has not begun is taken back if its backend is gone, or if another one would take it.
func (p *Proxy) handleOverdue(now time.Duration) { p.resolveOverdue(p.findOverdue(now)) }

// findDoubtful finds the attempts that wait in vain at a time.
func (p *Proxy) findOverdue(now time.Duration) (found overdueAttempts) {
	p.execute(func() {
		found = overdueAttempts{toCancel: map[*attempt]endReason{}, toTakeOver: map[*attempt]endReason{}}
		for a, why := range p.attempts.overdue(now, func(a *attempt) bool { return p.dispatchTable.Stalled(now, a.choice) }) {
			switch {
			case a.takeover.Load() != nil:
				found.toTakeOver[a] = why
			case why == endReasonBackendRemoved || p.canRetryElsewhere(now, a):
				found.toCancel[a] = why
			}
		}
	})
	return found
}

// endDoubtful does something about them.
func (p *Proxy) resolveOverdue(found overdueAttempts) {
	for a, why := range found.toCancel {
		p.log.Debug().Str("step", "overdue").Str("peer", a.choice.Addr).Str("ending", string(why)).Msg("attempt ended")
		a.cancelIfPending(why)
	}
	for a, why := range found.toTakeOver {
		a.takeover.Load().start(why)
	}
}

// fitsElsewhere tells whether another backend would take an attempt's request now. Call it at the owner.
func (p *Proxy) canRetryElsewhere(now time.Duration, a *attempt) bool {
	q := a.request
	return p.dispatchTable.RetryAllowed(now, q.service) && p.dispatchTable.WouldAdmit(now, q.dispatchRequest(a.triedBackends))
}
