package proxy

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"nettlefold/internal/dispatch"
)

// errTakenOver ends the copying of an attempt whose stream another one goes on with.
var errTakenOver = errors.New("another backend goes on with the stream")

// takeover has a stream that stands still go on at another backend. The stream is left where it is until the other one has begun to answer
// behind the last event that was passed on; whichever brings the next event first goes on, and the other is ended.
type streamTakeover struct {
	proxy   *Proxy
	attempt *attempt
	events  *eventFilter // nil where the stream may not be taken up
	ctx     context.Context
	cancel  context.CancelFunc

	mu        sync.Mutex
	tries     int           // how often another backend was looked for
	tryDone   chan struct{} // closed when the try that runs is over; nil while none does
	closed    bool          // no other try may begin
	successor *attempt
}

// newTakeover is for an attempt whose answer begins to be passed on.
func newStreamTakeover(ctx context.Context, p *Proxy, a *attempt, events *eventFilter) *streamTakeover {
	t := &streamTakeover{proxy: p, attempt: a, events: events}
	t.ctx, t.cancel = context.WithCancel(ctx)
	a.takeover.Store(t)
	return t
}

// passOn writes bytes of the attempt's answer to the client, unless another attempt goes on by now.
func (t *streamTakeover) forwardBytes(bytes []byte, client http.ResponseWriter, flush *http.ResponseController) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.successor != nil {
		return errTakenOver
	}
	if t.events != nil {
		bytes = t.events.filter(bytes)
	}
	if len(bytes) == 0 {
		return nil
	}
	if _, err := client.Write(bytes); err != nil {
		return classifyWriteError(err)
	}
	flush.Flush()
	return nil
}

// start tries to have the stream go on elsewhere, in the background, unless that is tried already or may not be. It never waits: while bytes are
// being passed on to a slow client the stream does not stand still for its backend's sake.
func (t *streamTakeover) start(why endReason) {
	if !t.mu.TryLock() {
		return
	}
	defer t.mu.Unlock()
	if t.closed || t.tryDone != nil || t.events == nil || !t.attempt.retryable {
		return
	}
	done := make(chan struct{})
	t.tryDone = done
	t.tries++
	last := t.events.lastID
	go func() {
		t.run(last, why)
		close(done)
	}()
}

// try has another backend go on behind an event.
func (t *streamTakeover) run(last string, why endReason) {
	p, a := t.proxy, t.attempt
	next := p.resumeStream(t.ctx, a.request, a, last)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tryDone = nil
	if next == nil {
		return
	}
	if t.closed || t.events.lastID != last {
		p.finishAttempt(next, dispatch.Cancelled)
		a.triedBackends, a.sendCount = next.triedBackends, next.sendCount // it may have run there
		return
	}
	t.successor, t.closed = next, true
	p.log.Debug().Str("step", "takeover").Str("peer", a.choice.Addr).Str("ending", string(why)).Msg("stream goes on elsewhere")
	a.cancel(why)
}

// tried tells how often another backend was looked for.
func (t *streamTakeover) tryCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tries
}

// finish ends the takeover with the copying of its attempt, and gives the attempt that goes on, if there is one. Where the answer came whole a
// try that still runs is ended; else it is waited for, as it may yet save the answer.
func (t *streamTakeover) finish(whole bool) *attempt {
	if whole {
		t.cancel()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = t.closed || whole
	for t.tryDone != nil {
		running := t.tryDone
		t.mu.Unlock()
		<-running
		t.mu.Lock()
	}
	t.closed = true
	if whole && t.successor != nil { // it was chosen as the answer ended
		t.proxy.finishAttempt(t.successor, dispatch.Cancelled)
		return nil
	}
	return t.successor
}
