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
type ending string

// The endings.
const (
	endingClientLeft    ending = "client_left"       // the client closed its connection or took no more bytes
	endingTimeUp        ending = "time_up"           // the route's time or the client's deadline was over
	endingBackendBroke  ending = "backend_broke_off" // the backend's connection ended or brought what is no answer
	endingBackendLeft   ending = "backend_left"      // the backend left the platform's list and has been silent since
	endingBackendSilent ending = "backend_silent"    // the backend has been silent to all requests for too long
	endingBeginLimit    ending = "begin_limit"       // it had not begun when its weights were too old to begin on
	endingGraceOver     ending = "grace_over"        // this program was told to end, and its grace was over
)

// endings lists all of them, for the figures.
var endings = []ending{
	endingClientLeft, endingTimeUp, endingBackendBroke, endingBackendLeft, endingBackendSilent, endingBeginLimit, endingGraceOver,
}

// Error makes an ending a cause with which an attempt is cancelled.
func (e ending) Error() string { return string(e) }

// endingOf tells why reading an answer failed. ctx is the request's, which ends with its time or its client.
func endingOf(ctx context.Context, q *request, a *attempt, err error) ending {
	var cause ending
	switch {
	case errors.Is(err, context.DeadlineExceeded): // its client took no bytes
		return endingTimeUp
	case errors.Is(err, errClientGone) || q.Context().Err() != nil:
		return endingClientLeft
	case ctx.Err() != nil:
		return endingTimeUp
	case errors.As(context.Cause(a.ctx), &cause):
		return cause
	}
	return endingBackendBroke
}

// endingCounts counts the answers that were begun and could not be finished, by their endings.
type endingCounts struct {
	counts map[ending]*atomic.Uint64
}

func newEndingCounts() endingCounts {
	c := endingCounts{counts: map[ending]*atomic.Uint64{}}
	for _, e := range endings {
		c.counts[e] = new(atomic.Uint64)
	}
	return c
}

func (c endingCounts) add(e ending) { c.counts[e].Add(1) }

func (c endingCounts) of(e ending) uint64 { return c.counts[e].Load() }

// cutOff notes that the answer to a request ends unfinished. What clients do themselves is told at the debug level alone.
func (p *Proxy) cutOff(q *request, a *attempt, move *takeover, why ending) {
	p.counters.cut.Add(1)
	p.endings.add(why)
	level := zerolog.InfoLevel
	if why == endingClientLeft {
		level = zerolog.DebugLevel
	}
	event := p.log.WithLevel(level).Str("step", "relay").Str("peer", a.choice.Addr).Str("backend", a.choice.ID).
		Int("sent", a.sent).Int("takeovers_tried", move.tried())
	p.logCut(event, q, why)
}

// graceEnded notes the requests that are still open when the program's grace is over.
func (p *Proxy) graceEnded(plan *stopping) {
	for q, began := range p.running.unfinished() {
		p.endings.add(endingGraceOver)
		event := p.log.Info().Str("step", "stop").Dur("begun_after_signal", began.Sub(plan.at))
		p.logCut(event, q, endingGraceOver)
	}
}

// logCut completes the log line of an answer that was cut with the times that applied to its request: all in ms, left_ms is negative by how
// late the request was ended.
func (p *Proxy) logCut(event *zerolog.Event, q *request, why ending) {
	now := time.Now()
	var inForce int64
	if table := p.config.Load(); table != nil {
		inForce = table.Version
	}
	event.Str("request", q.id).Str("ending", string(why)).Bool("stopping", p.stopping.Load() != nil).
		Int64("open_ms", now.Sub(q.taken).Milliseconds()).Float64("timeout_ms", q.route.TimeoutMS).
		Str("deadline_ms", q.Header.Get(headerDeadline)).Int64("left_ms", q.limit.Sub(now).Milliseconds()).
		Int64("config_taken", q.configVersion).Int64("config_now", inForce).
		Int64("timers_late_ms", p.timers.worst(now).Milliseconds()).Msg("answer cut")
}
