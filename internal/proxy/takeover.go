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
type takeover struct {
	proxy   *Proxy
	attempt *attempt
	events  *eventReader // nil where the stream may not be taken up
	ctx     context.Context
	cancel  context.CancelFunc

	mu        sync.Mutex
	tries     int           // how often another backend was looked for
	running   chan struct{} // closed when the try that runs is over; nil while none does
	over      bool          // no other try may begin
	successor *attempt
}

// newTakeover is for an attempt whose answer begins to be passed on.
func newTakeover(ctx context.Context, p *Proxy, a *attempt, events *eventReader) *takeover {
	t := &takeover{proxy: p, attempt: a, events: events}
	t.ctx, t.cancel = context.WithCancel(ctx)
	a.takeover.Store(t)
	return t
}

// passOn writes bytes of the attempt's answer to the client, unless another attempt goes on by now.
func (t *takeover) passOn(bytes []byte, client http.ResponseWriter, flush *http.ResponseController) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.successor != nil {
		return errTakenOver
	}
	if t.events != nil {
		bytes = t.events.take(bytes)
	}
	if len(bytes) == 0 {
		return nil
	}
	if _, err := client.Write(bytes); err != nil {
		return writeError(err)
	}
	flush.Flush()
	return nil
}

// start tries to have the stream go on elsewhere, in the background, unless that is tried already or may not be. It never waits: while bytes are
// being passed on to a slow client the stream does not stand still for its backend's sake.
func (t *takeover) start(why ending) {
	if !t.mu.TryLock() {
		return
	}
	defer t.mu.Unlock()
	if t.over || t.running != nil || t.events == nil || !t.attempt.mayMove {
		return
	}
	done := make(chan struct{})
	t.running = done
	t.tries++
	last := t.events.last
	go func() {
		t.try(last, why)
		close(done)
	}()
}

// try has another backend go on behind an event.
func (t *takeover) try(last string, why ending) {
	p, a := t.proxy, t.attempt
	next := p.resume(t.ctx, a.request, a, last)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running = nil
	if next == nil {
		return
	}
	if t.over || t.events.last != last {
		p.finish(next, dispatch.Cancelled)
		a.tried, a.sent = next.tried, next.sent // it may have run there
		return
	}
	t.successor, t.over = next, true
	p.log.Debug().Str("step", "takeover").Str("peer", a.choice.Addr).Str("ending", string(why)).Msg("stream goes on elsewhere")
	a.cancel(why)
}

// tried tells how often another backend was looked for.
func (t *takeover) tried() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tries
}

// finish ends the takeover with the copying of its attempt, and gives the attempt that goes on, if there is one. Where the answer came whole a
// try that still runs is ended; else it is waited for, as it may yet save the answer.
func (t *takeover) finish(whole bool) *attempt {
	if whole {
		t.cancel()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.over = t.over || whole
	for t.running != nil {
		running := t.running
		t.mu.Unlock()
		<-running
		t.mu.Lock()
	}
	t.over = true
	if whole && t.successor != nil { // it was chosen as the answer ended
		t.proxy.finish(t.successor, dispatch.Cancelled)
		return nil
	}
	return t.successor
}
