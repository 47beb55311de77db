package proxy

import (
	"maps"
	"net/http"
	"sync"
	"time"
)

// endMargin is kept of the grace for the program's own end.
const exitMargin = 250 * time.Millisecond

// stopping is when the program was told to end, and when the last answer must have ended.
type shutdownPlan struct {
	signalledAt        time.Time
	deadline           time.Time
	closingConnections bool // clients' connections are being closed, maybe as a request is read from them
}

// newStopping plans the end of a program with a grace.
func newShutdownPlan(now time.Time, grace time.Duration) *shutdownPlan {
	return &shutdownPlan{signalledAt: now, deadline: now.Add(max(0, grace-exitMargin))}
}

// mayBegin tells whether a request is sure to end before the program does, as its own time is over before. How long such requests lasted
// lately says nothing sure: one that was begun by that was cut when the engines had more to do than before.
func (s *shutdownPlan) admits(limit time.Time) bool {
	return !s.closingConnections && !limit.After(s.deadline)
}

// close gives the plan once connections are being closed.
func (s *shutdownPlan) withConnectionsClosing() *shutdownPlan {
	return &shutdownPlan{signalledAt: s.signalledAt, deadline: s.deadline, closingConnections: true}
}

// refuseStopping answers a request that is not begun any more: it has not run, and may be sent elsewhere at once.
func (q *request) refuseShuttingDown() {
	q.writer.Header().Set("Connection", "close")
	refuse(q.writer, http.StatusServiceUnavailable, q.retryAfterSeconds(), "this mixer is about to end")
}

// openRequests are those that were sent on and have not ended, and since when.
type requestTracker struct {
	mu         sync.Mutex
	startTimes map[*request]time.Time
}

func newRequestTracker() *requestTracker {
	return &requestTracker{startTimes: map[*request]time.Time{}}
}

// began notes that a request is sent on, and gives what notes its end.
func (o *requestTracker) add(q *request, now time.Time) (ended func()) {
	o.mu.Lock()
	o.startTimes[q] = now
	o.mu.Unlock()
	return func() {
		o.mu.Lock()
		delete(o.startTimes, q)
		o.mu.Unlock()
	}
}

// unfinished gives the requests that run, and since when.
func (o *requestTracker) unfinished() map[*request]time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.startTimes)
}
