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

// attempt is one transmission of a request to a backend.
type attempt struct {
	choice         *dispatch.Choice
	response       *upstream.Response
	err            error
	started        bool            // the first bytes of the response have arrived
	release        func()          // releases the resources of the attempt
	firstByteTimer firstByteTimer  // cancels the attempt if its response may not start any more
	ctx            context.Context // of this attempt alone; its cause may be an endReason
	cancel         context.CancelCauseFunc
	request        *request
	triedBackends  []string // IDs of the backends tried so far, this one included
	// sendCount counts the attempts that count against max_attempts, this one included. forward counts
	// all attempts but those whose request was not sent, resumeStream all but those known not to
	// have been executed.
	sendCount    int
	retryable    bool         // the request may be sent to another backend
	state        atomic.Int32 // a responseState
	lastProgress atomic.Int64 // time of the last received bytes, a time.Duration on the clock of the proxy
	// progressRecorded is the time of the last progress that was reported to the dispatch table.
	progressRecorded time.Duration
	firstBytes       []byte // first bytes of the response body, until they are relayed
	firstErr         error  // error of the read that returned firstBytes
	takeover         atomic.Pointer[streamTakeover]
}

// notExecuted reports whether the backend is known not to have executed the request.
func (a *attempt) notExecuted() bool {
	if a.err != nil {
		var failed *upstream.Error
		return errors.As(a.err, &failed) && failed.Stage == upstream.NotSent
	}
	return a.response.Header.Get(headerNotExecuted) != "" || a.response.StatusCode == http.StatusMisdirectedRequest
}

// forward sends a request to a backend, retries it elsewhere as its route and the retry budget allow,
// and answers the client.
func (p *Proxy) forward(q *request) {
	ctx, cancel := context.WithDeadline(q.Context(), q.effectiveDeadline)
	defer cancel()
	p.execute(func() { p.dispatchTable.RecordRequest(p.now(), q.service) })
	var tried []string
	sendCount, mayHaveExecuted := 0, false
	for {
		choice := p.pickBackend(q, tried)
		if choice == nil {
			p.refuseUnserved(q, mayHaveExecuted, "no backend may take the request now")
			return
		}
		if choice.RetryAfterMS > 0 {
			p.counters.deferred.Add(1)
			refuse(q.writer, http.StatusServiceUnavailable, choice.RetryAfterMS/1000, "too many requests wait")
			return
		}
		tried = append(tried, choice.ID)
		a := p.sendAttempt(ctx, q, choice, tried, sendCount+1, "")
		if a.err == nil && !a.notExecuted() {
			p.relay(ctx, q, a)
			return
		}
		p.recordFailedAttempt(a, ctx)
		if a.err == nil {
			io.Copy(io.Discard, io.LimitReader(a.response.Body, 64<<10))
			a.response.Body.Close()
		}
		a.release()
		if !a.notExecuted() {
			mayHaveExecuted = true
		}
		if a.err == nil || !a.notExecuted() {
			sendCount++
		}
		if ctx.Err() != nil {
			p.refuseUnserved(q, mayHaveExecuted, "its time is up")
			return
		}
		if mayHaveExecuted && !q.route.Repeatable() || sendCount >= max(1, q.route.MaxAttempts) || len(tried) > maxFailovers || !p.takeRetry(q, sendCount) {
			p.refuseUnserved(q, mayHaveExecuted, "it was not served")
			return
		}
	}
}

// maxFailovers bounds the backends tried for a request after the first one, unreachable ones included.
const maxFailovers = 4

// pickBackend picks a backend other than the tried ones. It returns nil if none may take the request.
func (p *Proxy) pickBackend(q *request, tried []string) (choice *dispatch.Choice) {
	p.execute(func() { choice = p.dispatchTable.Pick(p.now(), q.dispatchRequest(tried)) })
	return choice
}

// dispatchRequest describes a request that was sent to the tried backends to the dispatch table.
func (q *request) dispatchRequest(tried []string) *dispatch.Request {
	return &dispatch.Request{
		TargetMS: q.route.TargetLatencyMS, PolicyRank: q.rank, RemainingMS: float64(time.Until(q.clientDeadline).Milliseconds()),
		Retried: q.likelyRetry || len(tried) > 0, Service: q.service, Model: q.model, Parts: q.promptParts,
		PromptTokens: q.promptTokens, BodyBytes: len(q.body), Tenant: q.tenantName(), TriedBackends: tried,
	}
}

// takeRetry takes a retry from the budget of the service and reports whether one was left. A request
// that has not reached any backend needs none.
func (p *Proxy) takeRetry(q *request, sendCount int) (allowed bool) {
	if sendCount == 0 {
		return true
	}
	p.execute(func() { allowed = p.dispatchTable.TakeRetry(p.now(), q.service) })
	return allowed
}

// sendAttempt sends a request to a backend and waits for the first bytes of the response body. tried
// includes this backend and sendCount this attempt. A stream resumes after the event with the ID
// lastEvent, unless it is "".
func (p *Proxy) sendAttempt(ctx context.Context, q *request, c *dispatch.Choice, tried []string, sendCount int, lastEvent string) *attempt {
	header := q.backendHeader.Clone()
	header.Set(headerExpectedInstance, c.ID)
	if c.Version != 0 {
		header.Set(headerExpectedVersion, strconv.FormatInt(c.Version, 10))
		header.Set(headerPriority, strconv.Itoa(c.EnginePriority))
	}
	if c.Salt != "" {
		header.Set(headerCacheSalt, c.Salt)
	}
	if c.FetchAddr != "" {
		header.Set(headerKVFetch, c.FetchAddr)
	}
	if c.SaveAddr != "" {
		header.Set(headerKVSave, c.SaveAddr)
	}
	if lastEvent != "" {
		header.Set(headerLastEvent, lastEvent)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	a := &attempt{
		choice: c, ctx: ctx, cancel: cancel, request: q, triedBackends: tried, sendCount: sendCount,
		retryable: q.route.Repeatable() && sendCount < max(1, q.route.MaxAttempts),
	}
	a.lastProgress.Store(int64(p.now()))
	p.execute(func() {
		// In one command, so that the attempt misses no version change between its registration and the
		// arming of its timer.
		p.attempts.add(a)
		p.armFirstByteTimer(p.now(), a)
	})
	a.release = func() { p.attempts.remove(a); a.firstByteTimer.stop(); cancel(nil) }
	p.counters.attempts.Add(1)
	pool := p.pool(c.ID, c.Addr, p.connectionLimit(q.service))
	a.response, a.err = pool.Do(ctx, &upstream.Request{
		Method: q.Method, Target: q.RequestURI, Host: q.Host, ID: q.id, Header: header, Body: q.body, Deadline: q.effectiveDeadline,
	})
	if a.err == nil && lacksSeal(a.response) {
		a.response.Body.Close()
		a.err = &upstream.Error{Stage: upstream.Sent, Op: "read", Addr: c.Addr, Err: errNoSeal}
	}
	a.readFirstBytes()
	return a
}

// readFirstBytes waits for the first bytes of the response body. Before they arrive nothing has been
// relayed and the request may be retried elsewhere or refused; afterwards the attempt can't be
// cancelled in favour of another one.
func (a *attempt) readFirstBytes() {
	if a.err != nil || a.notExecuted() {
		return
	}
	buffer := make([]byte, firstReadBytes)
	n, err := a.response.Body.Read(buffer)
	if n == 0 && err != nil && err != io.EOF {
		a.response.Body.Close()
		a.err = &upstream.Error{Stage: upstream.Sent, Op: "read", Addr: a.choice.Addr, Err: err}
		return
	}
	if !a.startResponse() {
		a.response.Body.Close()
		a.err = &upstream.Error{Stage: upstream.Sent, Op: "read", Addr: a.choice.Addr, Err: errAttemptCancelled}
		return
	}
	a.firstBytes, a.firstErr = buffer[:n], err
}

// read reads the next bytes of the response body, starting with firstBytes.
func (a *attempt) read(buffer []byte) (n int, err error) {
	if len(a.firstBytes) == 0 && a.firstErr == nil {
		return a.response.Body.Read(buffer)
	}
	n, err = copy(buffer, a.firstBytes), a.firstErr
	a.firstBytes, a.firstErr = nil, nil
	return n, err
}

// errAttemptCancelled means that a response started after its attempt had been cancelled.
var errAttemptCancelled = errors.New("response started after the attempt was cancelled")

// errNoSeal means that a successful response was not produced by a backend, which would have set the
// X-Response-Seal header, but by something else at its address.
var errNoSeal = errors.New("successful response lacks the X-Response-Seal header")

// lacksSeal reports whether a response is successful but has no X-Response-Seal header, which every
// backend sets.
func lacksSeal(r *upstream.Response) bool {
	return r.StatusCode >= 200 && r.StatusCode < 300 && r.Header.Get(headerResponseSeal) == ""
}

// connectionLimit returns the maximum number of connections from this mixer to a backend: an equal
// share of usableFraction of the connections that each backend of the service accepts from all mixers
// together, or defaultLimit if the service sets no limit.
func (p *Proxy) connectionLimit(service string) int {
	const defaultLimit, usableFraction = 64, 0.9
	table := p.config.Load()
	s := table.Service(service)
	if s == nil || s.ConnectionLimit <= 0 {
		return defaultLimit
	}
	return int(usableFraction * s.ConnectionLimit / float64(max(1, p.mixerCount.Load())))
}

// retryAfterSeconds returns when a refused client should retry: soon enough to meet the route's target
// latency.
func (q *request) retryAfterSeconds() float64 {
	return min(maxRetryAfterSeconds, retryAfterTargetFraction*q.route.TargetLatencyMS/1000)
}

// refuseUnserved answers a request that no backend has served. If it was not executed, the answer
// is status 503 with a Retry-After header.
func (p *Proxy) refuseUnserved(q *request, mayHaveExecuted bool, reason string) {
	p.counters.unserved.Add(1)
	switch {
	case q.Context().Err() != nil:
		panic(http.ErrAbortHandler) // the client has disconnected
	case !mayHaveExecuted:
		refuse(q.writer, http.StatusServiceUnavailable, q.retryAfterSeconds(), reason)
	case time.Now().After(q.effectiveDeadline):
		refuse(q.writer, http.StatusGatewayTimeout, 0, reason)
	default:
		refuse(q.writer, http.StatusBadGateway, 0, reason)
	}
}

// finishAttempt ends an attempt that delivered a response.
func (p *Proxy) finishAttempt(a *attempt, outcome dispatch.Outcome) {
	a.response.Body.Close()
	a.release()
	p.execute(func() { p.dispatchTable.End(p.now(), a.choice, outcome) })
}
