package proxy

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// ending is why an attempt, or the answer that it brought, came to its end before it was whole. Each way by which this program can end a
// connection to a client or to a backend in the middle of an answer has one.
type endReason string

// The endings.
const (
	endReasonClientDisconnected endReason = "client_left"       // the client closed its connection or took no more bytes
	endReasonDeadlineExceeded   endReason = "time_up"           // the route's time or the client's deadline was over
	endReasonBackendFailed      endReason = "backend_broke_off" // the backend's connection ended or brought what is no answer
	endReasonBackendRemoved     endReason = "backend_left"      // the backend left the platform's list and has been silent since
	endReasonBackendStalled     endReason = "backend_silent"    // the backend has been silent to all requests for too long
	endReasonFirstByteDeadline  endReason = "begin_limit"       // it had not begun when its weights were too old to begin on
	endReasonGracePeriodOver    endReason = "grace_over"        // this program was told to end, and its grace was over
)

// endings lists all of them, for the figures.
var endReasons = []endReason{
	endReasonClientDisconnected, endReasonDeadlineExceeded, endReasonBackendFailed, endReasonBackendRemoved, endReasonBackendStalled, endReasonFirstByteDeadline, endReasonGracePeriodOver,
}

// Error makes an ending a cause with which an attempt is cancelled.
func (e endReason) Error() string { return string(e) }

// endingOf tells why reading an answer failed. ctx is the request's, which ends with its time or its client.
func endReasonOf(ctx context.Context, q *request, a *attempt, err error) endReason {
	var cause endReason
	switch {
	case errors.Is(err, context.DeadlineExceeded): // its client took no bytes
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

// endingCounts counts the answers that were begun and could not be finished, by their endings.
type endReasonCounts struct {
	counts map[endReason]*atomic.Uint64
}

func newEndReasonCounts() endReasonCounts {
	c := endReasonCounts{counts: map[endReason]*atomic.Uint64{}}
	for _, e := range endReasons {
		c.counts[e] = new(atomic.Uint64)
	}
	return c
}

func (c endReasonCounts) add(e endReason) { c.counts[e].Add(1) }

func (c endReasonCounts) count(e endReason) uint64 { return c.counts[e].Load() }

// cutOff notes that the answer to a request ends unfinished. What clients do themselves is told at the debug level alone.
func (p *Proxy) recordAborted(q *request, a *attempt, move *streamTakeover, why endReason) {
	p.counters.aborted.Add(1)
	p.endReasons.add(why)
	level := zerolog.InfoLevel
	if why == endReasonClientDisconnected {
		level = zerolog.DebugLevel
	}
	event := p.log.WithLevel(level).Str("step", "relay").Str("peer", a.choice.Addr).Str("backend", a.choice.ID).
		Int("sent", a.sendCount).Int("takeovers_tried", move.tryCount())
	p.logAborted(event, q, why)
}

// graceEnded notes the requests that are still open when the program's grace is over.
func (p *Proxy) recordGracePeriodOver(plan *shutdownPlan) {
	for q, began := range p.openRequests.unfinished() {
		p.endReasons.add(endReasonGracePeriodOver)
		event := p.log.Info().Str("step", "stop").Dur("begun_after_signal", began.Sub(plan.signalledAt))
		p.logAborted(event, q, endReasonGracePeriodOver)
	}
}

// logCut completes the log line of an answer that was cut with the times that applied to its request: all in ms, left_ms is negative by how
// late the request was ended.
func (p *Proxy) logAborted(event *zerolog.Event, q *request, why endReason) {
	now := time.Now()
	var inForce int64
	if table := p.config.Load(); table != nil {
		inForce = table.Version
	}
	event.Str("request", q.id).Str("ending", string(why)).Bool("stopping", p.shutdownPlan.Load() != nil).
		Int64("open_ms", now.Sub(q.receivedAt).Milliseconds()).Float64("timeout_ms", q.route.TimeoutMS).
		Str("deadline_ms", q.Header.Get(headerDeadline)).Int64("left_ms", q.effectiveDeadline.Sub(now).Milliseconds()).
		Int64("config_taken", q.configVersion).Int64("config_now", inForce).
		Int64("timers_late_ms", p.timerLateness.maxInWindow(now).Milliseconds()).Msg("answer cut")
}
