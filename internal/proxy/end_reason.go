package proxy

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"nettlefold/internal/memlimit"
)

// endReason is why an attempt, or the response that it delivers, ended before it was complete. Every
// way in which the proxy can end a client or backend connection during a response has its own value.
// The values appear in logs and in the proxy_endings_total metric.
type endReason string

// Values of endReason.
const (
	endReasonClientDisconnected endReason = "client_left"       // the client closed its connection or a write to it failed
	endReasonDeadlineExceeded   endReason = "time_up"           // the route's timeout or the client's deadline has passed
	endReasonBackendFailed      endReason = "backend_broke_off" // the backend's connection ended or delivered no valid response
	endReasonBackendRemoved     endReason = "backend_left"      // the backend was removed from the list and has sent nothing since
	endReasonBackendStalled     endReason = "backend_silent"    // the backend has sent nothing to any request for too long
	endReasonFirstByteDeadline  endReason = "begin_limit"       // no response had started when the model version became too old to start on
	endReasonGracePeriodOver    endReason = "grace_over"        // the grace period of the shutdown is over
	endReasonMemory             endReason = "memory"            // there was no memory to buffer the response in
)

// endReasons lists all values of endReason, for the metrics.
var endReasons = []endReason{
	endReasonClientDisconnected, endReasonDeadlineExceeded, endReasonBackendFailed, endReasonBackendRemoved,
	endReasonBackendStalled, endReasonFirstByteDeadline, endReasonGracePeriodOver, endReasonMemory,
}

// Error implements error, so that an endReason can be the cause of a cancelled context.
func (r endReason) Error() string { return string(r) }

// endReasonOf returns why reading or relaying a response failed with err. ctx is the context of the
// request, which ends at its deadline or when its client disconnects.
func endReasonOf(ctx context.Context, q *request, a *attempt, err error) endReason {
	var cause endReason
	switch {
	case errors.Is(err, memlimit.ErrExhausted):
		return endReasonMemory
	case errors.Is(err, context.DeadlineExceeded): // a write to a client that reads nothing
		return endReasonDeadlineExceeded
	case errors.Is(err, errClientDisconnected) || q.Context().Err() != nil:
		return endReasonClientDisconnected
	case ctx.Err() != nil:
		return endReasonDeadlineExceeded
	case errors.As(context.Cause(a.ctx), &cause):
		return cause
	}
	return endReasonBackendFailed
}

// endReasonCounts counts by reason the responses that started and could not be completed.
type endReasonCounts struct {
	counts map[endReason]*atomic.Uint64
}

func newEndReasonCounts() endReasonCounts {
	c := endReasonCounts{counts: map[endReason]*atomic.Uint64{}}
	for _, r := range endReasons {
		c.counts[r] = new(atomic.Uint64)
	}
	return c
}

func (c endReasonCounts) add(r endReason) { c.counts[r].Add(1) }

func (c endReasonCounts) count(r endReason) uint64 { return c.counts[r].Load() }

// recordAborted counts and logs a response that is aborted. Disconnects of clients are logged at the
// debug level only.
func (p *Proxy) recordAborted(q *request, a *attempt, takeover *streamTakeover, reason endReason) {
	p.counters.aborted.Add(1)
	p.endReasons.add(reason)
	level := zerolog.InfoLevel
	if reason == endReasonClientDisconnected {
		level = zerolog.DebugLevel
	}
	event := p.log.WithLevel(level).Str("step", "relay").Str("peer", a.choice.Addr).Str("backend", a.choice.ID).
		Int("sent", a.sendCount).Int("takeovers_tried", takeover.tryCount())
	p.logAborted(event, q, reason)
}

// recordGracePeriodOver counts and logs the requests that are still open at the end of the grace
// period.
func (p *Proxy) recordGracePeriodOver(plan *shutdownPlan) {
	for q, startedAt := range p.openRequests.unfinished() {
		p.endReasons.add(endReasonGracePeriodOver)
		event := p.log.Info().Str("step", "stop").Dur("begun_after_signal", startedAt.Sub(plan.signalledAt))
		p.logAborted(event, q, endReasonGracePeriodOver)
	}
}

// logAborted completes the log line of an aborted response with the times that applied to its
// request, in ms. left_ms is the time left to the deadline, negative if it has passed; deadline_ms is the
// client's deadline header as received. config_taken is the version of the configuration that serves
// the request, config_now the current one. stopping is set during a shutdown. The message "answer cut"
// means that the response was aborted.
func (p *Proxy) logAborted(event *zerolog.Event, q *request, reason endReason) {
	now := time.Now()
	var currentVersion int64
	if table := p.config.Load(); table != nil {
		currentVersion = table.Version
	}
	event.Str("request", q.id).Str("ending", string(reason)).Bool("stopping", p.shutdownPlan.Load() != nil).
		Int64("open_ms", now.Sub(q.receivedAt).Milliseconds()).Float64("timeout_ms", q.route.TimeoutMS).
		Str("deadline_ms", q.Header.Get(headerDeadline)).Int64("left_ms", q.effectiveDeadline.Sub(now).Milliseconds()).
		Int64("config_taken", q.configVersion).Int64("config_now", currentVersion).
		Int64("timers_late_ms", p.timerLateness.maxInWindow(now).Milliseconds()).Msg("answer cut")
}
