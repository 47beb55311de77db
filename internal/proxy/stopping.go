package proxy

import (
	"maps"
	"net/http"
	"sync"
	"time"
)

// endMargin is kept of the grace for the program's own end.
const endMargin = 250 * time.Millisecond

// stopping is when the program was told to end, and when the last answer must have ended.
type stopping struct {
	at      time.Time
	end     time.Time
	closing bool // clients' connections are being closed, maybe as a request is read from them
}

// newStopping plans the end of a program with a grace.
func newStopping(now time.Time, grace time.Duration) *stopping {
	return &stopping{at: now, end: now.Add(max(0, grace-endMargin))}
}

// mayBegin tells whether a request is sure to end before the program does, as its own time is over before. How long such requests lasted
// lately says nothing sure: one that was begun by that was cut when the engines had more to do than before.
func (s *stopping) mayBegin(limit time.Time) bool { return !s.closing && !limit.After(s.end) }

// close gives the plan once connections are being closed.
func (s *stopping) close() *stopping { return &stopping{at: s.at, end: s.end, closing: true} }

// refuseStopping answers a request that is not begun any more: it has not run, and may be sent elsewhere at once.
func (q *request) refuseStopping() {
	q.writer.Header().Set("Connection", "close")
	refuse(q.writer, http.StatusServiceUnavailable, q.retryAfter(), "this mixer is about to end")
}

// openRequests are those that were sent on and have not ended, and since when.
type openRequests struct {
	mu   sync.Mutex
	open map[*request]time.Time
}

func newOpenRequests() *openRequests { return &openRequests{open: map[*request]time.Time{}} }

// began notes that a request is sent on, and gives what notes its end.
func (o *openRequests) began(q *request, now time.Time) (ended func()) {
	o.mu.Lock()
	o.open[q] = now
	o.mu.Unlock()
	return func() {
		o.mu.Lock()
		delete(o.open, q)
		o.mu.Unlock()
	}
}

// unfinished gives the requests that run, and since when.
func (o *openRequests) unfinished() map[*request]time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.open)
}
