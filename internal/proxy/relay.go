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
const relayBuffer = 16 << 10

// firstBuffer is how much of it is read before anything is passed on.
const firstBuffer = 4 << 10

// writeMargin is how long after a request's limit the writing of its answer is ended, so that its time is known to be up then.
const writeMargin = 50 * time.Millisecond

// errClientGone is a client that takes no more bytes.
var errClientGone = errors.New("the client is gone")

// relay passes an answer on to the client. One that is cut off is taken up at another backend where its route allows that, inside the
// same answer; one that cannot be finished ends with its connection, so that it does not look whole.
func (p *Proxy) relay(ctx context.Context, q *request, a *attempt) {
	client := http.NewResponseController(q.writer)
	client.SetWriteDeadline(q.limit.Add(writeMargin))
	q.writeHead(a, p.stopping.Load() != nil)
	var events *eventReader
	if q.route.Kind == config.Streaming && q.route.Resumable && a.response.StatusCode == http.StatusOK {
		events = &eventReader{last: q.Header.Get(headerLastEvent)}
	}
	for {
		move := newTakeover(ctx, p, a, events)
		err := p.copy(q, a, events, move)
		next := move.finish(err == nil)
		if err == nil {
			p.finish(a, dispatch.Completed)
			client.SetWriteDeadline(time.Time{})
			return
		}
		outcome := dispatch.Failed
		if ctx.Err() != nil || errors.Is(err, errClientGone) || errors.Is(err, context.DeadlineExceeded) {
			outcome = dispatch.Cancelled
		}
		why := endingOf(ctx, q, a, err)
		p.finish(a, outcome)
		if next == nil && events != nil && outcome != dispatch.Cancelled {
			next = p.resume(ctx, q, a, events.last)
		}
		if next == nil {
			p.cutOff(q, a, move, why)
			panic(http.ErrAbortHandler)
		}
		events.cut()
		p.counters.resumed.Add(1)
		a = next
	}
}

// writeHead passes the head of an answer on.
func (q *request) writeHead(a *attempt, stopping bool) {
	out := q.writer.Header()
	for name, values := range a.response.Header {
		out[name] = values
	}
	for _, name := range hopHeaders {
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
func (p *Proxy) copy(q *request, a *attempt, events *eventReader, move *takeover) error {
	flush := http.NewResponseController(q.writer)
	buffer := make([]byte, relayBuffer)
	for {
		n, err := a.read(buffer)
		if n > 0 {
			p.began(q, a)
			if err := move.passOn(buffer[:n], q.writer, flush); err != nil {
				return err
			}
		}
		if err == io.EOF {
			p.began(q, a)
			return p.endEvents(q, a, events)
		}
		if err != nil {
			return err
		}
	}
}

// endEvents passes on what follows the last event of an answer that came whole. Where only the connection's end tells that it did, an event
// that is not whole means that it did not.
func (p *Proxy) endEvents(q *request, a *attempt, events *eventReader) error {
	if events == nil || len(events.partial) == 0 {
		return nil
	}
	if a.response.ContentLength < 0 && len(a.response.TransferEncoding) == 0 {
		return io.ErrUnexpectedEOF
	}
	_, err := q.writer.Write(events.partial)
	return writeError(err)
}

// writeError tells a client that is gone from one that took no bytes until its time was up.
func writeError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return context.DeadlineExceeded
	}
	return errClientGone
}

// resume takes a stream up at another backend behind the last event that was passed on; nil if it may not or cannot be. former is the attempt
// that it goes on from.
func (p *Proxy) resume(ctx context.Context, q *request, former *attempt, lastEvent string) *attempt {
	tried, sent := former.tried, former.sent
	for sent < max(1, q.route.MaxAttempts) && len(tried) <= maxTried && ctx.Err() == nil {
		choice := p.pick(q, tried)
		if choice == nil || choice.RetryAfterMS > 0 || !p.mayRepeat(q, sent) {
			if choice != nil && choice.RetryAfterMS == 0 {
				p.do(func() { p.table.End(p.now(), choice, dispatch.Cancelled) })
			}
			return nil
		}
		tried = append(slices.Clone(tried), choice.ID)
		a := p.send(ctx, q, choice, tried, sent+1, lastEvent)
		if a.err == nil && a.response.StatusCode == http.StatusOK && !a.notRun() {
			return a
		}
		if !a.notRun() {
			sent++
		}
		p.book(a, ctx)
		if a.err == nil {
			a.response.Body.Close()
		}
		a.end()
		former.tried, former.sent = tried, sent
	}
	return nil
}

// began books the beginning of an answer, once its first bytes are there.
func (p *Proxy) began(q *request, a *attempt) {
	a.heard.Store(int64(p.now()))
	if a.begun {
		p.do(func() { p.table.RecordProgress(p.now(), a.choice) })
		return
	}
	a.begun = true
	a.limit.stop()
	p.do(func() { p.table.RecordFirstByte(p.now(), a.choice, q.service) })
}
