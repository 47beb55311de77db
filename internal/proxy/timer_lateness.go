package proxy

import (
	"sync"
	"time"
)

// latenessWindow is how long a late timer is remembered.
const latenessWindow = 5 * time.Second

// timerLateness remembers how late timers of this process were served, which tells whether it is short of processor time.
type timerLateness struct {
	mu         sync.Mutex
	worst      time.Duration // the worst of the window
	observedAt time.Time     // when that was seen
}

// fired notes that a timer that was due at a time is served now.
func (l *timerLateness) record(due, now time.Time) {
	late := now.Sub(due)
	l.mu.Lock()
	defer l.mu.Unlock()
	if late >= l.worst || now.Sub(l.observedAt) > latenessWindow {
		l.worst, l.observedAt = late, now
	}
}

// worst gives how late a timer was at worst within the window.
func (l *timerLateness) maxInWindow(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.observedAt) > latenessWindow {
		return 0
	}
	return l.worst
}
