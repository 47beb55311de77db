package proxy

import (
	"net/http"
	"sync"
	"time"

	"nettlefold/internal/config"
)

const (
	// endMargin is kept of the grace for the program's own end.
	endMargin = 250 * time.Millisecond
	// lastBegin is how long after SIGTERM a request may still be begun that might last longer than what is left.
	lastBegin = 3 * time.Second
	// durationMargin is how many times what a route's requests lasted lately must be left of the grace.
	durationMargin = 3
	// durationWindow is how long a route's longest request is remembered at least; it is forgotten within twice that.
	durationWindow = 15 * time.Second
)

// stopping is when the program was told to end, and when the last answer must have ended.
type stopping struct {
	at  time.Time
	end time.Time
}

// newStopping plans the end of a program with a grace.
func newStopping(now time.Time, grace time.Duration) *stopping {
	return &stopping{at: now, end: now.Add(max(0, grace-endMargin))}
}

// mayBegin tells whether a request can be expected to end before the program does, so that it is not cut: in any case, as its own time
// is over before; or by what such requests lasted lately. longest is 0 where none ran.
func (s *stopping) mayBegin(now, limit time.Time, longest time.Duration) bool {
	if !limit.After(s.end) {
		return true
	}
	return now.Sub(s.at) <= lastBegin && longest > 0 && s.end.Sub(now) >= durationMargin*longest
}

// refuseStopping answers a request that is not begun any more: it has not run, and may be sent elsewhere at once.
func (q *request) refuseStopping() {
	q.writer.Header().Set("Connection", "close")
	refuse(q.writer, http.StatusServiceUnavailable, q.retryAfter(), "this mixer is about to end")
}

// durations knows for how long requests of each route last: those that ended lately, and those that run.
type durations struct {
	mu       sync.Mutex
	since    time.Time // the start of the current window
	current  map[string]time.Duration
	previous map[string]time.Duration
	open     map[*request]time.Time
}

func newDurations() *durations {
	return &durations{current: map[string]time.Duration{}, previous: map[string]time.Duration{}, open: map[*request]time.Time{}}
}

func routeKey(r *config.Route) string { return r.Host + r.PathPrefix }

// began notes that a request is sent on, and gives what notes its end.
func (d *durations) began(q *request, now time.Time) (ended func(now time.Time)) {
	d.mu.Lock()
	d.open[q] = now
	d.mu.Unlock()
	return func(end time.Time) {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.open, q)
		d.turn(end)
		key := routeKey(q.route)
		d.current[key] = max(d.current[key], end.Sub(now))
	}
}

// unfinished gives the requests that run.
func (d *durations) unfinished() (open []*request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for q := range d.open {
		open = append(open, q)
	}
	return open
}

// turn begins another window when the current one is over.
func (d *durations) turn(now time.Time) {
	if now.Sub(d.since) < durationWindow {
		return
	}
	d.previous, d.current, d.since = d.current, map[string]time.Duration{}, now
}

// longest gives the longest time of a route's requests: ended lately, or still running.
func (d *durations) longest(route *config.Route, now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.turn(now)
	key := routeKey(route)
	longest := max(d.current[key], d.previous[key])
	for q, began := range d.open {
		if routeKey(q.route) == key {
			longest = max(longest, now.Sub(began))
		}
	}
	return longest
}
