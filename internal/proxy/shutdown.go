package proxy

import (
	"maps"
	"net/http"
	"sync"
	"time"
)

// exitMargin is the part of the grace period that is reserved for the exit of the process.
const exitMargin = 250 * time.Millisecond

// shutdownPlan holds the times of a graceful shutdown.
type shutdownPlan struct {
	signalledAt        time.Time // when the shutdown began
	deadline           time.Time // when the last response must have ended
	closingConnections bool      // client connections are being closed, possibly while a request is read from one
}

// newShutdownPlan plans a shutdown that begins now and may take as long as grace.
func newShutdownPlan(now time.Time, grace time.Duration) *shutdownPlan {
	return &shutdownPlan{signalledAt: now, deadline: now.Add(max(0, grace-exitMargin))}
}

// admits reports whether a request with the given deadline may start: only if it is sure to end
// before the shutdown does. The recent duration of similar requests is no criterion: requests
// admitted by it were aborted when the engines became busier.
func (s *shutdownPlan) admits(requestDeadline time.Time) bool {
	return !s.closingConnections && !requestDeadline.After(s.deadline)
}

// withConnectionsClosing returns the plan for the phase in which client connections are closed.
func (s *shutdownPlan) withConnectionsClosing() *shutdownPlan {
	return &shutdownPlan{signalledAt: s.signalledAt, deadline: s.deadline, closingConnections: true}
}

// refuseShuttingDown refuses a request that was not started because of the shutdown. The request has
// not been executed and may be retried elsewhere at once.
func (q *request) refuseShuttingDown() {
	q.writer.Header().Set("Connection", "close")
	refuse(q.writer, http.StatusServiceUnavailable, q.retryAfterSeconds(), "this mixer is about to end")
}

// requestTracker tracks the requests that are being forwarded.
type requestTracker struct {
	mu         sync.Mutex
	startTimes map[*request]time.Time // by open request
}

func newRequestTracker() *requestTracker {
	return &requestTracker{startTimes: map[*request]time.Time{}}
}

// add records that a request is being forwarded, and returns a function that removes it.
func (t *requestTracker) add(q *request, now time.Time) (remove func()) {
	t.mu.Lock()
	t.startTimes[q] = now
	t.mu.Unlock()
	return func() {
		t.mu.Lock()
		delete(t.startTimes, q)
		t.mu.Unlock()
	}
}

// unfinished returns the start times of the open requests.
func (t *requestTracker) unfinished() map[*request]time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.startTimes)
}
