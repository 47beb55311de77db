package dispatch

import (
	"math"
	"slices"
	"time"

	"nettlefold/internal/rendezvous"
)

// The retry budget and the request rate of a cold backend are limits on all mixers together; requests that a mixer
// sent before a restart count too. Each mixer keeps to a share that it computes without
// coordination. coldAllowanceShare, retrySlackShare and retryRatioShare keep the sum of the shares below the
// limits even while mixers disagree on the members.

// minColdPerS is the lower bound, in requests per second, of the rate that a cold backend is assumed to sustain.
const minColdPerS = 0.1

// coldInterval returns the time between two requests of this mixer to a cold backend, 0 if it may send none. The
// interval is computed on demand, because ranking all mixers is expensive and few backends are cold.
func (t *Table) coldInterval(b *Backend) time.Duration {
	if b.coldIntervalRevision != t.sharesRevision {
		b.coldInterval, b.coldIntervalRevision = t.computeColdInterval(b), t.sharesRevision
	}
	return b.coldInterval
}

// computeColdInterval divides a backend's allowance for one second among as many mixers as may send one request
// each. These mixers are selected by rendezvous hashing.
func (t *Table) computeColdInterval(b *Backend) time.Duration {
	service := t.service(b.Service)
	if service == nil || len(t.members.All) == 0 {
		return 0
	}
	allowed := service.ColdPerS*t.settings.ColdOvershoot + t.settings.ColdSlack
	senders := int(math.Floor(allowed * coldAllowanceShare))
	if senders < 1 {
		return 0
	}
	if senders < len(t.members.All) && !slices.Contains(rendezvous.Top("cold/"+b.ID, t.members.All, senders), t.members.Self) {
		return 0
	}
	// Each sender sends at most once per second, and all senders together at most at the rate that the backend sustains.
	intervalS := float64(min(senders, len(t.members.All))) / max(service.ColdPerS, minColdPerS)
	return max(time.Second, time.Duration(intervalS*float64(time.Second)))
}

// coldAdmits reports whether this mixer may send a request to a backend now, as far as the backend's limit while
// it is cold is concerned.
func (t *Table) coldAdmits(now time.Duration, b *Backend) bool {
	if now >= b.coldUntil {
		return true
	}
	return now >= b.nextColdSend && now-t.started >= coldStartupWaitMS*time.Millisecond && t.coldInterval(b) > 0
}

// retryBudget counts a service's requests and retries in a sliding window that is divided into
// intervals.
type retryBudget struct {
	intervals      [retryBudgetIntervals]struct{ requests, retries int }
	newestInterval int64 // sequence number of the newest interval
}

const retryBudgetIntervals = 10

// advance clears the intervals that left the window.
func (b *retryBudget) advance(now, window time.Duration) {
	current := int64(now / (window / retryBudgetIntervals))
	for i := max(b.newestInterval+1, current-retryBudgetIntervals+1); i <= current; i++ {
		b.intervals[i%retryBudgetIntervals] = struct{ requests, retries int }{}
	}
	b.newestInterval = max(b.newestInterval, current)
}

// retryBudgetOf returns the retry budget of a service with its window advanced to now.
func (t *Table) retryBudgetOf(now time.Duration, service string) *retryBudget {
	b := t.retryBudgets[service]
	if b == nil {
		b = &retryBudget{newestInterval: int64(now / (t.settings.RetryBudgetWindow / retryBudgetIntervals))}
		t.retryBudgets[service] = b
	}
	b.advance(now, t.settings.RetryBudgetWindow)
	return b
}

// RecordRequest adds a client's request for a service to the retry budget.
func (t *Table) RecordRequest(now time.Duration, service string) {
	b := t.retryBudgetOf(now, service)
	b.intervals[b.newestInterval%retryBudgetIntervals].requests++
}

// TakeRetry counts one retry against a service's retry budget if this mixer's share of the budget allows it. It
// reports whether it does.
func (t *Table) TakeRetry(now time.Duration, service string) bool {
	if !t.RetryAllowed(now, service) {
		return false
	}
	b := t.retryBudgetOf(now, service)
	b.intervals[b.newestInterval%retryBudgetIntervals].retries++
	return true
}

// RetryAllowed reports whether this mixer's share of a service's retry budget allows one more attempt.
func (t *Table) RetryAllowed(now time.Duration, service string) bool {
	b := t.retryBudgetOf(now, service)
	requests, retries := 0, 0
	for _, s := range b.intervals {
		requests += s.requests
		retries += s.retries
	}
	slack := t.settings.RetryBudgetSlack * retrySlackShare / float64(max(1, len(t.members.All)))
	return float64(retries+1) <= slack+retryRatioShare*t.settings.RetryBudgetRatio*float64(requests)
}
