package proxy

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"nettlefold/internal/dispatch"
)

// errTakenOver ends the copying of a response whose stream another attempt continues.
var errTakenOver = errors.New("stream was taken over by another backend")

// streamTakeover resumes a stalled stream at another backend. The stalled attempt keeps running until
// the other backend has started to respond after the last forwarded event. Whichever attempt delivers
// the next event first continues the stream; the other one is cancelled.
type streamTakeover struct {
	proxy   *Proxy
	attempt *attempt
	events  *eventFilter  // nil if the stream is not resumable
	scanner *eventScanner // of a stream that is not resumable and ends with the connection; nil for others
	ctx     context.Context
	cancel  context.CancelFunc
	writing time.Duration // to the client; of the goroutine that relays the response

	mu        sync.Mutex
	tries     int           // number of started tries
	tryDone   chan struct{} // closed at the end of the running try; nil if none is running
	closed    bool          // no further try may start
	successor *attempt      // continues the stream; nil if it was not taken over
}

// newStreamTakeover prepares the takeover of an attempt whose response starts to be relayed.
func newStreamTakeover(ctx context.Context, p *Proxy, a *attempt, events *eventFilter) *streamTakeover {
	t := &streamTakeover{proxy: p, attempt: a, events: events}
	if events == nil && a.request.isStream(a) && a.endsWithConnection() {
		t.scanner = new(eventScanner)
	}
	t.ctx, t.cancel = context.WithCancel(ctx)
	a.takeover.Store(t)
	return t
}

// forwardBytes writes bytes of the attempt's response to the client, unless a successor has taken
// over.
func (t *streamTakeover) forwardBytes(bytes []byte, client http.ResponseWriter, flusher *http.ResponseController) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.successor != nil {
		return errTakenOver
	}
	t.scan(bytes)
	var filterErr error
	if t.events != nil {
		bytes, filterErr = t.events.filter(bytes)
	}
	if len(bytes) > 0 {
		began := time.Now()
		_, err := client.Write(bytes)
		if err == nil {
			err = flusher.Flush()
		}
		t.writing += time.Since(began)
		if err != nil {
			return classifyWriteError(err)
		}
	}
	return filterErr
}

// scan follows the events of a stream that is not resumable and ends with the connection.
func (t *streamTakeover) scan(bytes []byte) {
	for t.scanner != nil && len(bytes) > 0 {
		length, _ := t.scanner.next(bytes)
		bytes = bytes[length:]
	}
}

// cutOff reports whether the end of the connection has cut a stream off in the middle of an event.
func (t *streamTakeover) cutOff() bool {
	if t.events != nil {
		return t.attempt.endsWithConnection() && !t.events.betweenEvents()
	}
	return t.scanner != nil && !t.scanner.betweenEvents()
}

// start tries to resume the stream elsewhere in the background, unless a try is running or the stream
// may not be resumed. It never blocks: if the lock is taken, forwardBytes may be waiting for a slow
// client, and then the backend is not the cause of the stall.
func (t *streamTakeover) start(reason endReason) {
	if !t.mu.TryLock() {
		return
	}
	defer t.mu.Unlock()
	if t.closed || t.tryDone != nil || t.events == nil || !t.events.resumable() || !t.attempt.retryable {
		return
	}
	done := make(chan struct{})
	t.tryDone = done
	t.tries++
	lastEvent := t.events.lastID
	go func() {
		t.run(lastEvent, reason)
		close(done)
	}()
}

// run tries to have another backend continue the stream after the event with the ID lastEvent.
func (t *streamTakeover) run(lastEvent string, reason endReason) {
	p, a := t.proxy, t.attempt
	next := p.resumeStream(t.ctx, a.request, a, lastEvent)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tryDone = nil
	if next == nil {
		return
	}
	if t.closed || t.events.lastID != lastEvent || !t.events.resumable() {
		p.finishAttempt(next, dispatch.Cancelled)
		// Count next against the limits, because its backend may have executed the request.
		a.triedBackends, a.sendCount = next.triedBackends, next.sendCount
		return
	}
	t.successor, t.closed = next, true
	p.log.Debug().Str("step", "takeover").Str("peer", a.choice.Addr).Str("ending", string(reason)).Msg("stream resumed at another backend")
	a.cancel(reason)
}

// tryCount returns the number of tries that were started.
func (t *streamTakeover) tryCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tries
}

// finish ends the takeover when the attempt's response has been copied or has failed, and returns the
// successor, if any. After a complete response a running try is cancelled; after a failure finish
// waits for it, because it may still save the response.
func (t *streamTakeover) finish(complete bool) *attempt {
	if complete {
		t.cancel()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = t.closed || complete
	for t.tryDone != nil {
		tryDone := t.tryDone
		t.mu.Unlock()
		<-tryDone
		t.mu.Lock()
	}
	t.closed = true
	if complete && t.successor != nil { // took over just as the response was completed
		t.proxy.finishAttempt(t.successor, dispatch.Cancelled)
		return nil
	}
	return t.successor
}
