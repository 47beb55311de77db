package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"nettlefold/internal/dispatch"
	"nettlefold/internal/upstream"
)

// attempt is one sending of a request to a backend.
type attempt struct {
	choice   *dispatch.Choice
	response *upstream.Response
	err      error
	begun    bool            // the first bytes of the answer are there
	end      func()          // frees what the attempt holds
	limit    beginLimit      // ends it where it may not begin later
	ctx      context.Context // of this attempt alone; its cause is an ending
	cancel   context.CancelCauseFunc
	request  *request
	tried    []string     // backends that the request was sent to, this one too
	sent     int          // how many of them may have run it, this one counted
	mayMove  bool         // it may be sent to another backend
	answer   atomic.Int32 // an answerState
	heard    atomic.Int64 // when the last bytes came, by the proxy's clock
	first    []byte       // the first bytes of the answer, until they are passed on
	firstErr error        // what came with them
	takeover atomic.Pointer[takeover]
}

// notRun tells whether it is known that the backend did not run the request.
func (a *attempt) notRun() bool {
	if a.err != nil {
		var failed *upstream.Error
		return errors.As(a.err, &failed) && failed.Stage == upstream.NotSent
	}
	return a.response.Header.Get(headerNotRun) != "" || a.response.StatusCode == http.StatusMisdirectedRequest
}

// forward sends a request to a backend, to another where the rules and the budget allow it, and answers the client.
func (p *Proxy) forward(q *request) {
	ctx, cancel := context.WithDeadline(q.Context(), q.limit)
	defer cancel()
	p.do(func() { p.table.RecordRequest(p.now(), q.service) })
	var tried []string
	sent, mayHaveRun := 0, false
	for {
		choice := p.pick(q, tried)
		if choice == nil {
			p.giveUp(q, mayHaveRun, "no backend may take the request now")
			return
		}
		if choice.RetryAfterMS > 0 {
			p.counters.deferred.Add(1)
			refuse(q.writer, http.StatusServiceUnavailable, choice.RetryAfterMS/1000, "too many requests wait")
			return
		}
		tried = append(tried, choice.ID)
		a := p.send(ctx, q, choice, tried, sent+1, "")
		if a.err == nil && !a.notRun() {
			p.relay(ctx, q, a)
			return
		}
		p.book(a, ctx)
		if a.err == nil {
			io.Copy(io.Discard, io.LimitReader(a.response.Body, 64<<10))
			a.response.Body.Close()
		}
		a.end()
		if !a.notRun() {
			mayHaveRun = true
		}
		if a.err == nil || !a.notRun() {
			sent++
		}
		if ctx.Err() != nil {
			p.giveUp(q, mayHaveRun, "its time is up")
			return
		}
		if mayHaveRun && !q.route.Repeatable() || sent >= max(1, q.route.MaxAttempts) || len(tried) > maxTried || !p.mayRepeat(q, sent) {
			p.giveUp(q, mayHaveRun, "it was not served")
			return
		}
	}
}

// maxTried bounds the backends tried, those included that could not be reached.
const maxTried = 4

func (p *Proxy) pick(q *request, tried []string) (choice *dispatch.Choice) {
	p.do(func() { choice = p.table.Pick(p.now(), q.decision(tried)) })
	return choice
}

// decision is what choosing a backend needs to know of a request that was sent to some already.
func (q *request) decision(tried []string) *dispatch.Request {
	return &dispatch.Request{
		TargetMS: q.route.TargetLatencyMS, PolicyRank: q.rank, RemainingMS: float64(time.Until(q.deadline).Milliseconds()), Retried: q.again || len(tried) > 0,
		Service: q.service, Model: q.model, Parts: q.parts, PromptTokens: q.prompt, BodyBytes: len(q.body), IsolatedTenant: q.wall(), TriedBackends: tried,
	}
}

// mayRepeat takes a place in the retry budget; what never reached a backend needs none.
func (p *Proxy) mayRepeat(q *request, sent int) (may bool) {
	if sent == 0 {
		return true
	}
	p.do(func() { may = p.table.TakeRetry(p.now(), q.service) })
	return may
}

// send makes one attempt, the last of tried and the sent-th that may run, up to the first bytes of the answer's body. A stream that was cut
// is taken up behind lastEvent.
func (p *Proxy) send(ctx context.Context, q *request, c *dispatch.Choice, tried []string, sent int, lastEvent string) *attempt {
	header := q.header.Clone()
	header.Set(headerExpected, c.ID)
	if c.Version != 0 {
		header.Set(headerVersion, strconv.FormatInt(c.Version, 10))
		header.Set(headerSalt, c.Salt)
		header.Set(headerPriority, strconv.Itoa(c.EnginePriority))
	}
	if c.FetchAddr != "" {
		header.Set(headerFetch, c.FetchAddr)
	}
	if c.SaveAddr != "" {
		header.Set(headerSave, c.SaveAddr)
	}
	if lastEvent != "" {
		header.Set(headerLastEvent, lastEvent)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	a := &attempt{
		choice: c, ctx: ctx, cancel: cancel, request: q, tried: tried, sent: sent,
		mayMove: q.route.Repeatable() && sent < max(1, q.route.MaxAttempts),
	}
	a.heard.Store(int64(p.now()))
	p.do(func() { // in one step with the versions in force, or one that is named meanwhile would not limit it
		p.attempts.add(a)
		p.limitBegin(p.now(), a)
	})
	a.end = func() { p.attempts.remove(a); a.limit.stop(); cancel(nil) }
	p.counters.attempts.Add(1)
	pool := p.pool(c.ID, c.Addr, p.connections(q.service))
	a.response, a.err = pool.Do(ctx, &upstream.Request{
		Method: q.Method, Target: q.RequestURI, Host: q.Host, ID: q.id, Header: header, Body: q.body, Deadline: q.limit,
	})
	if a.err == nil && unsealed(a.response) {
		a.response.Body.Close()
		a.err = &upstream.Error{Stage: upstream.Sent, Op: "read", Addr: c.Addr, Err: errUnsealed}
	}
	a.readFirst()
	return a
}

// readFirst waits for the first bytes of the answer's body. Until they are there nothing of the answer has been passed on, and the request may
// still go elsewhere, or be told how it stands; from then on the attempt is not taken back.
func (a *attempt) readFirst() {
	if a.err != nil || a.notRun() {
		return
	}
	buffer := make([]byte, firstBuffer)
	n, err := a.response.Body.Read(buffer)
	if n == 0 && err != nil && err != io.EOF {
		a.response.Body.Close()
		a.err = &upstream.Error{Stage: upstream.Sent, Op: "read", Addr: a.choice.Addr, Err: err}
		return
	}
	if !a.begin() {
		a.response.Body.Close()
		a.err = &upstream.Error{Stage: upstream.Sent, Op: "read", Addr: a.choice.Addr, Err: errTakenBack}
		return
	}
	a.first, a.firstErr = buffer[:n], err
}

// read gives the next bytes of the answer, the first ones from where they were kept.
func (a *attempt) read(buffer []byte) (n int, err error) {
	if len(a.first) == 0 && a.firstErr == nil {
		return a.response.Body.Read(buffer)
	}
	n, err = copy(buffer, a.first), a.firstErr
	a.first, a.firstErr = nil, nil
	return n, err
}

// errTakenBack is an answer that began after its attempt had been taken back.
var errTakenBack = errors.New("the attempt was taken back")

// errUnsealed is a success that is not a backend's: it lacks its seal.
var errUnsealed = errors.New("the answer has no seal")

func unsealed(r *upstream.Response) bool {
	return r.StatusCode >= 200 && r.StatusCode < 300 && r.Header.Get(headerSeal) == ""
}

// connections is this mixer's part of the connections that a backend takes from all.
func (p *Proxy) connections(service string) int {
	const unstated, part = 64, 0.9
	table := p.config.Load()
	s := table.Service(service)
	if s == nil || s.ConnectionLimit <= 0 {
		return unstated
	}
	return int(part * s.ConnectionLimit / float64(max(1, p.fellows.Load())))
}

// book tells the table what became of an attempt that brought no answer.
func (p *Proxy) book(a *attempt, ctx context.Context) {
	outcome := dispatch.Failed
	switch {
	case ctx.Err() != nil || errors.Is(a.err, upstream.ErrPoolExhausted):
		outcome = dispatch.Cancelled
	case a.err == nil && a.response.StatusCode == http.StatusMisdirectedRequest:
		outcome = dispatch.WrongInstance
	case a.err == nil:
		outcome = dispatch.Refused
	default:
		p.log.Debug().Err(a.err).Str("step", "forward").Str("peer", a.choice.Addr).Msg("attempt failed")
	}
	p.do(func() { p.table.End(p.now(), a.choice, outcome) })
}

// retryAfter is when a client that was refused should come again: soon enough to be served in time yet.
func (q *request) retryAfter() float64 {
	return min(retryLater, retryShare*q.route.TargetLatencyMS/1000)
}

// giveUp answers at once for a request that is not served: with a promise and a time to come again if it has not run.
func (p *Proxy) giveUp(q *request, mayHaveRun bool, reason string) {
	p.counters.givenUp.Add(1)
	switch {
	case q.Context().Err() != nil:
		panic(http.ErrAbortHandler) // its client is gone
	case !mayHaveRun:
		refuse(q.writer, http.StatusServiceUnavailable, q.retryAfter(), reason)
	case time.Now().After(q.limit):
		refuse(q.writer, http.StatusGatewayTimeout, 0, reason)
	default:
		refuse(q.writer, http.StatusBadGateway, 0, reason)
	}
}

// finish ends an attempt that brought an answer.
func (p *Proxy) finish(a *attempt, outcome dispatch.Outcome) {
	a.response.Body.Close()
	a.end()
	p.do(func() { p.table.End(p.now(), a.choice, outcome) })
}
