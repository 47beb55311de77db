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
)

// relayBuffer is how much of an answer is read at a time.
const relayBufferBytes = 16 << 10

// firstBuffer is how much of it is read before anything is passed on.
const firstReadBytes = 4 << 10

// writeMargin is how long after a request's limit the writing of its answer is ended, so that its time is known to be up then.
const writeDeadlineMargin = 50 * time.Millisecond

// errClientGone is a client that takes no more bytes.
var errClientDisconnected = errors.New("the client is gone")

// relay passes an answer on to the client. One that is cut off is taken up at another backend where its route allows that, inside the
// same answer; one that cannot be finished ends with its connection, so that it does not look whole.
func (p *Proxy) relay(ctx context.Context, q *request, a *attempt) {
	client := http.NewResponseController(q.writer)
	client.SetWriteDeadline(q.effectiveDeadline.Add(writeDeadlineMargin))
	q.writeHeader(a, p.shutdownPlan.Load() != nil)
	var events *eventFilter
	if q.route.Kind == config.Streaming && q.route.Resumable && a.response.StatusCode == http.StatusOK {
		events = &eventFilter{lastID: q.Header.Get(headerLastEvent)}
	}
	for {
		move := newStreamTakeover(ctx, p, a, events)
		err := p.copyResponse(q, a, events, move)
		next := move.finish(err == nil)
		if err == nil {
			p.finishAttempt(a, dispatch.Completed)
			client.SetWriteDeadline(time.Time{})
			return
		}
		outcome := dispatch.Failed
		if ctx.Err() != nil || errors.Is(err, errClientDisconnected) || errors.Is(err, context.DeadlineExceeded) {
			outcome = dispatch.Cancelled
		}
		why := endReasonOf(ctx, q, a, err)
		p.finishAttempt(a, outcome)
		if next == nil && events != nil && outcome != dispatch.Cancelled {
			next = p.resumeStream(ctx, q, a, events.lastID)
		}
		if next == nil {
			p.recordAborted(q, a, move, why)
			panic(http.ErrAbortHandler)
		}
		events.discardPartial()
		p.counters.resumed.Add(1)
		a = next
	}
}

// writeHead passes the head of an answer on.
func (q *request) writeHeader(a *attempt, stopping bool) {
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
		out["Content-Type"] = nil // none is to be guessed
	}
	if a.response.ContentLength < 0 {
		out.Del("Content-Length")
	}
	if stopping {
		out.Set("Connection", "close")
	}
	q.writer.WriteHeader(a.response.StatusCode)
	if a.response.ContentLength < 0 {
		http.NewResponseController(q.writer).Flush()
	}
}

// copy passes the bytes of an answer on as they come; of one that may be taken up elsewhere only whole events. It ends without error
// if the answer came whole.
func (p *Proxy) copyResponse(q *request, a *attempt, events *eventFilter, move *streamTakeover) error {
	flush := http.NewResponseController(q.writer)
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := a.read(buffer)
		if n > 0 {
			p.recordProgress(q, a)
			if err := move.forwardBytes(buffer[:n], q.writer, flush); err != nil {
				return err
			}
		}
		if err == io.EOF {
			p.recordProgress(q, a)
			return p.flushLastEvent(q, a, events)
		}
		if err != nil {
			return err
		}
	}
}

// endEvents passes on what follows the last event of an answer that came whole. Where only the connection's end tells that it did, an event
// that is not whole means that it did not.
func (p *Proxy) flushLastEvent(q *request, a *attempt, events *eventFilter) error {
	if events == nil || len(events.partial) == 0 {
		return nil
	}
	if a.response.ContentLength < 0 && len(a.response.TransferEncoding) == 0 {
		return io.ErrUnexpectedEOF
	}
	_, err := q.writer.Write(events.partial)
	return classifyWriteError(err)
}

// writeError tells a client that is gone from one that took no bytes until its time was up.
func classifyWriteError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return context.DeadlineExceeded
	}
	return errClientDisconnected
}

// resume takes a stream up at another backend behind the last event that was passed on; nil if it may not or cannot be. former is the attempt
// that it goes on from.
func (p *Proxy) resumeStream(ctx context.Context, q *request, former *attempt, lastEvent string) *attempt {
	tried, sent := former.triedBackends, former.sendCount
	for sent < max(1, q.route.MaxAttempts) && len(tried) <= maxTriedBackends && ctx.Err() == nil {
		choice := p.pickBackend(q, tried)
		if choice == nil || choice.RetryAfterMS > 0 || !p.takeRetry(q, sent) {
			if choice != nil && choice.RetryAfterMS == 0 {
				p.execute(func() { p.dispatchTable.End(p.now(), choice, dispatch.Cancelled) })
			}
			return nil
		}
		tried = append(slices.Clone(tried), choice.ID)
		a := p.sendAttempt(ctx, q, choice, tried, sent+1, lastEvent)
		if a.err == nil && a.response.StatusCode == http.StatusOK && !a.notExecuted() {
			return a
		}
		if !a.notExecuted() {
			sent++
		}
		p.recordFailedAttempt(a, ctx)
		if a.err == nil {
			a.response.Body.Close()
		}
		a.release()
		former.triedBackends, former.sendCount = tried, sent
	}
	return nil
}

// began books the beginning of an answer, once its first bytes are there.
func (p *Proxy) recordProgress(q *request, a *attempt) {
	a.lastProgress.Store(int64(p.now()))
	if a.started {
		p.execute(func() { p.dispatchTable.RecordProgress(p.now(), a.choice) })
		return
	}
	a.started = true
	a.firstByteTimer.stop()
	p.execute(func() { p.dispatchTable.RecordFirstByte(p.now(), a.choice, q.service) })
}
