package proxy

import (
	"context"
	"sync"
	"time"
)

const (
	// attemptsEvery is how often attempts are looked at.
	attemptsEvery = 200 * time.Millisecond
	// goneSilence is how long an attempt has heard nothing that is ended because its backend is gone from the list: one that leaves in
	// order is still answering then.
	goneSilence = time.Second
	// streamSilence is how long a stream that may be taken up elsewhere pauses before it is, at a backend that is silent to all.
	streamSilence = 1500 * time.Millisecond
)

// attempts are those under way: what waits at a backend that will not answer is ended here, to be sent elsewhere or to get its final
// answer at once.
type attempts struct {
	mu   sync.Mutex
	open map[*attempt]bool
	gone map[string]time.Time // backends that left the list, and when
}

func newAttempts() *attempts {
	return &attempts{open: map[*attempt]bool{}, gone: map[string]time.Time{}}
}

func (s *attempts) add(a *attempt) {
	s.mu.Lock()
	s.open[a] = true
	s.mu.Unlock()
}

func (s *attempts) remove(a *attempt) {
	s.mu.Lock()
	delete(s.open, a)
	s.mu.Unlock()
}

// left notes that a backend is gone from the list.
func (s *attempts) left(id string) {
	s.mu.Lock()
	s.gone[id] = time.Now()
	s.mu.Unlock()
}

// overdue gives the attempts that have heard nothing for too long, and why each is in doubt; silent tells whether a backend is.
func (s *attempts) overdue(now time.Duration, silent func(a *attempt) bool) (overdue map[*attempt]ending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	overdue = map[*attempt]ending{}
	for id, at := range s.gone {
		if time.Since(at) > time.Minute {
			delete(s.gone, id)
		}
	}
	for a := range s.open {
		quiet := now - time.Duration(a.heard.Load())
		_, gone := s.gone[a.choice.ID]
		switch {
		case gone && quiet > goneSilence:
			overdue[a] = endingBackendLeft
		case a.mayMove && quiet > streamSilence && silent(a):
			overdue[a] = endingBackendSilent
		}
	}
	return overdue
}

// answerState is who decides on an attempt whose answer is awaited: it is settled once, by whoever comes first.
type answerState = int32

// The states.
const (
	answerAwaited   answerState = iota
	answerBegun                 // it is passed on; nobody may take the attempt back
	answerTakenBack             // the attempt is ended, and its answer must not be passed on
)

// begin settles that the answer is passed on; false if the attempt was taken back before.
func (a *attempt) begin() bool { return a.answer.CompareAndSwap(answerAwaited, answerBegun) }

// takeBack ends an attempt whose answer has not begun; one that has goes on.
func (a *attempt) takeBack(why ending) {
	if a.answer.CompareAndSwap(answerAwaited, answerTakenBack) {
		a.cancel(why)
	}
}

// beginLimit ends an attempt that has not begun by a time.
type beginLimit struct {
	mu    sync.Mutex
	over  bool // it has begun or ended
	timer *time.Timer
}

// set has end called after a time, in place of what was set before.
func (l *beginLimit) set(wait time.Duration, afterFunc func(time.Duration, func()) *time.Timer, end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over {
		return
	}
	if l.timer != nil {
		l.timer.Stop()
	}
	l.timer = afterFunc(wait, end)
}

// stop lifts the limit for good.
func (l *beginLimit) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.over = true
	if l.timer != nil {
		l.timer.Stop()
	}
}

// limitBegin has an attempt end when its weights are too old to begin on. Call it at the owner.
func (p *Proxy) limitBegin(now time.Duration, a *attempt) {
	if by := p.table.FirstByteDeadline(a.choice); by != 0 {
		a.limit.set(by-now, p.afterFunc, func() { a.takeBack(endingBeginLimit) })
	}
}

// limitBegins does so with all attempts, as other versions are wanted. Call it at the owner.
func (p *Proxy) limitBegins(now time.Duration) {
	p.attempts.mu.Lock()
	defer p.attempts.mu.Unlock()
	for a := range p.attempts.open {
		p.limitBegin(now, a)
	}
}

// watchAttempts ends attempts that wait in vain.
func (p *Proxy) watchAttempts(ctx context.Context) {
	ticker := time.NewTicker(attemptsEvery)
	defer ticker.Stop()
	for {
		select {
		case due := <-ticker.C:
			p.timers.fired(due, time.Now())
		case <-ctx.Done():
			return
		}
		p.endOverdue(p.now())
	}
}

// doubtful are the attempts that wait in vain, and why each is in doubt.
type doubtful struct {
	back   map[*attempt]ending // their answer has not begun: to be taken back
	beside map[*attempt]ending // their answer has begun: to be taken up elsewhere beside it
}

// endOverdue does something about the attempts that wait in vain at a time. An answer that has begun is never ended for its backend's
// silence: an engine without memory stops streams for seconds and goes on with them. Where it may be taken up elsewhere, that is tried
// beside it. A request whose answer has not begun is taken back if its backend is gone, or if another one would take it.
func (p *Proxy) endOverdue(now time.Duration) { p.endDoubtful(p.findDoubtful(now)) }

// findDoubtful finds the attempts that wait in vain at a time.
func (p *Proxy) findDoubtful(now time.Duration) (found doubtful) {
	p.do(func() {
		found = doubtful{back: map[*attempt]ending{}, beside: map[*attempt]ending{}}
		for a, why := range p.attempts.overdue(now, func(a *attempt) bool { return p.table.Stalled(now, a.choice) }) {
			switch {
			case a.takeover.Load() != nil:
				found.beside[a] = why
			case why == endingBackendLeft || p.fitsElsewhere(now, a):
				found.back[a] = why
			}
		}
	})
	return found
}

// endDoubtful does something about them.
func (p *Proxy) endDoubtful(found doubtful) {
	for a, why := range found.back {
		p.log.Debug().Str("step", "overdue").Str("peer", a.choice.Addr).Str("ending", string(why)).Msg("attempt ended")
		a.takeBack(why)
	}
	for a, why := range found.beside {
		a.takeover.Load().start(why)
	}
}

// fitsElsewhere tells whether another backend would take an attempt's request now. Call it at the owner.
func (p *Proxy) fitsElsewhere(now time.Duration, a *attempt) bool {
	q := a.request
	return p.table.RetryAllowed(now, q.service) && p.table.WouldAdmit(now, q.decision(a.tried))
}
