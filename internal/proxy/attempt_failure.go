package proxy

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"nettlefold/internal/dispatch"
	"nettlefold/internal/memlimit"
	"nettlefold/internal/upstream"
)

// failureReason is why an attempt has no usable response. The values appear in logs and in the
// proxy_attempt_failures_total metric.
type failureReason string

// Values of failureReason.
const (
	failureCancelled    failureReason = "cancelled"     // the client left, the time was up, or another attempt took over
	failurePoolFull     failureReason = "pool_full"     // all connections to the backend are in use
	failureMemory       failureReason = "memory"        // the memory for data of peers is in use
	failureHeadTooLong  failureReason = "head_too_long" // the response head exceeds its bounds
	failureNoResponse   failureReason = "no_response"   // the backend sent bytes that are no response, or another request's
	failureNoConnection failureReason = "connection"    // the backend was unreachable, or its connection ended
	failureRefused      failureReason = "refused"       // the backend did not run the request and said so
	failureMisdirected  failureReason = "misdirected"   // the backend is another one, or has another version
)

// failureReasons lists all values of failureReason, for the metrics.
var failureReasons = []failureReason{
	failureCancelled, failurePoolFull, failureMemory, failureHeadTooLong, failureNoResponse, failureNoConnection, failureRefused, failureMisdirected,
}

// outcome returns how the dispatch table counts a failure.
func (r failureReason) outcome() dispatch.Outcome {
	switch r {
	case failureCancelled, failurePoolFull, failureMemory:
		return dispatch.Cancelled
	case failureMisdirected:
		return dispatch.WrongInstance
	case failureRefused:
		return dispatch.Refused
	case failureHeadTooLong, failureNoResponse:
		return dispatch.Violated
	}
	return dispatch.Failed
}

// failureReasonOf returns why an attempt has no usable response. ctx is the context of the request.
func failureReasonOf(ctx context.Context, a *attempt) failureReason {
	switch {
	case ctx.Err() != nil:
		return failureCancelled
	case a.err == nil && a.response.StatusCode == http.StatusMisdirectedRequest:
		return failureMisdirected
	case a.err == nil:
		return failureRefused
	}
	return failureReasonOfError(a.err)
}

// failureReasonOfError returns why sending a request or reading its response failed.
func failureReasonOfError(err error) failureReason {
	switch {
	case errors.Is(err, upstream.ErrPoolExhausted):
		return failurePoolFull
	case errors.Is(err, memlimit.ErrExhausted):
		return failureMemory
	case errors.Is(err, upstream.ErrHeadTooLong):
		return failureHeadTooLong
	case errors.Is(err, errAttemptCancelled):
		return failureNoConnection
	case upstream.IsProtocolViolation(err):
		return failureNoResponse
	}
	return failureNoConnection
}

// failureCounts counts attempts without a usable response by reason.
type failureCounts map[failureReason]*atomic.Uint64

func newFailureCounts() failureCounts {
	counts := failureCounts{}
	for _, reason := range failureReasons {
		counts[reason] = new(atomic.Uint64)
	}
	return counts
}

// newViolationLog returns a log for protocol violations that lets only a few lines through in each period: a backend may
// send junk as fast as clients retry.
func newViolationLog(log zerolog.Logger) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: 5, Period: 10 * time.Second})
}

// recordFailedAttempt counts and logs an attempt without a usable response, and reports its outcome to the dispatch table.
func (p *Proxy) recordFailedAttempt(a *attempt, ctx context.Context) {
	reason := failureReasonOf(ctx, a)
	p.failures[reason].Add(1)
	outcome := reason.outcome()
	if a.err != nil {
		p.log.Debug().Err(a.err).Str("step", "forward").Str("peer", a.choice.Addr).Str("reason", string(reason)).Msg("attempt failed")
	}
	if outcome == dispatch.Violated {
		p.violationLog.Warn().Err(a.err).Str("step", "forward").Str("peer", a.choice.Addr).Str("backend", a.choice.ID).
			Str("request", a.request.id).Str("reason", string(reason)).Msg("backend sent no response that can be used")
	}
	p.execute(func() { p.dispatchTable.End(p.now(), a.choice, outcome) })
}
