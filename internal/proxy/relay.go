package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"time"

	"nettlefold/internal/config"
	"nettlefold/internal/dispatch"
	"nettlefold/internal/memlimit"
)

// relayBufferBytes is the size of one read of a response body.
const relayBufferBytes = 16 << 10

// progressRecordInterval is the shortest time between two reports of an attempt's progress to the dispatch table.
const progressRecordInterval = 20 * time.Millisecond

// firstReadBytes is the size of the read that has to succeed before anything is relayed.
const firstReadBytes = 4 << 10

// writeDeadlineMargin is the time from the deadline of a request to the write deadline of its client
// connection. A write that fails by timeout then proves that the deadline of the request has
// passed.
const writeDeadlineMargin = 50 * time.Millisecond

// errClientDisconnected means that a write to the client failed.
var errClientDisconnected = errors.New("client disconnected")

// relay relays a response to the client. A resumable stream that breaks off is resumed at another
// backend within the same response. For a response that cannot be completed the client connection is
// closed, or reset for a client of HTTP/1.0, so that the response does not look complete.
func (p *Proxy) relay(ctx context.Context, q *request, a *attempt) {
	client := http.NewResponseController(q.writer)
	client.SetWriteDeadline(q.effectiveDeadline.Add(writeDeadlineMargin))
	complete := resetUntilComplete(q.Request)
	var events *eventFilter
	length := a.response.ContentLength
	if q.isStream(a) && q.route.Resumable {
		events = newEventFilter(q.Header.Get(headerLastEvent), p.memory)
		defer events.close()
		length = unknownLength // a run that resumes the stream may send other bytes than this one would have
	}
	q.writeHeader(a, length, p.shutdownPlan.Load() != nil)
	for {
		takeover := newStreamTakeover(ctx, p, a, events)
		err := p.copyResponse(q, a, events, takeover)
		next := takeover.finish(err == nil)
		if err == nil {
			p.finishAttempt(a, dispatch.Completed)
			complete()
			client.SetWriteDeadline(time.Time{})
			return
		}
		outcome := dispatch.Failed
		if ctx.Err() != nil || errors.Is(err, errClientDisconnected) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, memlimit.ErrExhausted) {
			outcome = dispatch.Cancelled
		}
		reason := endReasonOf(ctx, q, a, err)
		p.finishAttempt(a, outcome)
		if next == nil && events != nil && events.resumable() && outcome != dispatch.Cancelled {
			next = p.resumeStream(ctx, q, a, events.lastID)
		}
		if next == nil {
			p.recordAborted(q, a, takeover, reason)
			panic(http.ErrAbortHandler)
		}
		events.startRun()
		p.counters.resumed.Add(1)
		a = next
	}
}

// unknownLength is the length of a response that is not sent with one.
const unknownLength = -1

// writeHeader relays the status and headers of a response that is sent with a length in bytes, or
// unknownLength.
func (q *request) writeHeader(a *attempt, length int64, stopping bool) {
	out := q.writer.Header()
	for name, values := range a.response.Header {
		out[name] = values
	}
	for _, name := range hopByHopHeaders {
		if name != "Content-Length" {
			out.Del(name)
		}
	}
	if a.response.Header["Content-Type"] == nil {
		out["Content-Type"] = nil // keeps net/http from guessing one
	}
	if length == unknownLength {
		out.Del("Content-Length")
	}
	if stopping {
		out.Set("Connection", "close")
	}
	q.writer.WriteHeader(a.response.StatusCode)
	if length == unknownLength {
		http.NewResponseController(q.writer).Flush()
	}
}

// copyResponse relays the bytes of a response as they arrive, but only complete events of a
// resumable stream, unless one is too long. It returns nil if the response was complete.
func (p *Proxy) copyResponse(q *request, a *attempt, events *eventFilter, takeover *streamTakeover) error {
	flusher := http.NewResponseController(q.writer)
	buffer := make([]byte, relayBufferBytes)
	meter := p.relays.newMeter(q.service)
	defer meter.close()
	for {
		meter.wait(a.ctx)
		began, reads, written := time.Now(), a.response.ReadTotals(), takeover.writing
		n, err := a.read(buffer)
		if n > 0 {
			p.recordProgress(q, a)
			if err := takeover.forwardBytes(buffer[:n], q.writer, flusher); err != nil {
				return err
			}
		}
		meter.charge(p.relays.cost(time.Since(began), reads, a.response.ReadTotals(), takeover.writing-written))
		if err == io.EOF {
			p.recordProgress(q, a)
			if takeover.cutOff() {
				return io.ErrUnexpectedEOF
			}
			return q.forwardRest(events)
		}
		if err != nil {
			return err
		}
	}
}

// forwardRest relays the bytes after the last complete event of a response that is complete.
func (q *request) forwardRest(events *eventFilter) error {
	if events == nil {
		return nil
	}
	rest := events.rest()
	if len(rest) == 0 {
		return nil
	}
	if _, err := q.writer.Write(rest); err != nil {
		return classifyWriteError(err)
	}
	return classifyWriteError(http.NewResponseController(q.writer).Flush())
}

// isStream reports whether the response of an attempt is a stream of events.
func (q *request) isStream(a *attempt) bool {
	return q.route.Kind == config.Streaming && a.response.StatusCode == http.StatusOK
}

// endsWithConnection reports whether only the close of the connection tells the end of a response. It
// then looks the same as when the backend broke off.
func (a *attempt) endsWithConnection() bool {
	return a.response.ContentLength < 0 && len(a.response.TransferEncoding) == 0
}

// classifyWriteError distinguishes a client that read nothing until the deadline from one that has
// disconnected.
func classifyWriteError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return context.DeadlineExceeded
	}
	return errClientDisconnected
}

// resumeStream resumes the stream of the attempt former at another backend, after the last forwarded
// event. It returns nil if the attempts, the retry budget or the backends don't allow that, and then
// adds the failed attempts to former.
func (p *Proxy) resumeStream(ctx context.Context, q *request, former *attempt, lastEvent string) *attempt {
	tried, sendCount := former.triedBackends, former.sendCount
	for sendCount < max(1, q.route.MaxAttempts) && len(tried) <= maxFailovers && ctx.Err() == nil {
		choice := p.pickBackend(q, tried)
		if choice == nil || choice.RetryAfterMS > 0 || !p.takeRetry(q, sendCount) {
			if choice != nil && choice.RetryAfterMS == 0 {
				p.execute(func() { p.dispatchTable.End(p.now(), choice, dispatch.Cancelled) })
			}
			return nil
		}
		tried = append(slices.Clone(tried), choice.ID)
		a := p.sendAttempt(ctx, q, choice, tried, sendCount+1, lastEvent)
		if a.err == nil && a.response.StatusCode == http.StatusOK && !a.notExecuted() {
			return a
		}
		if !a.notExecuted() {
			sendCount++
		}
		p.recordFailedAttempt(a, ctx)
		if a.err == nil {
			a.response.Body.Close()
		}
		a.release()
		former.triedBackends, former.sendCount = tried, sendCount
	}
	return nil
}

// recordProgress reports to the dispatch table that bytes of a response have arrived.
func (p *Proxy) recordProgress(q *request, a *attempt) {
	now := p.now()
	a.lastProgress.Store(int64(now))
	if a.started {
		if now-a.progressRecorded >= progressRecordInterval {
			a.progressRecorded = now
			p.execute(func() { p.dispatchTable.RecordProgress(p.now(), a.choice) })
		}
		return
	}
	a.started = true
	a.firstByteTimer.stop()
	p.execute(func() { p.dispatchTable.RecordFirstByte(p.now(), a.choice, q.service) })
}
