package proxy

import (
	"sync"
	"time"
)

// latenessWindow is how long a late timer is remembered.
const latenessWindow = 5 * time.Second

// timerLateness remembers how late timers of this process were served, which tells whether it is short of processor time.
type timerLateness struct {
	mu   sync.Mutex
	most time.Duration // the worst of the window
	at   time.Time     // when that was seen
}

// fired notes that a timer that was due at a time is served now.
func (l *timerLateness) fired(due, now time.Time) {
	late := now.Sub(due)
	l.mu.Lock()
	defer l.mu.Unlock()
	if late >= l.most || now.Sub(l.at) > latenessWindow {
		l.most, l.at = late, now
	}
}

// worst gives how late a timer was at worst within the window.
func (l *timerLateness) worst(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.at) > latenessWindow {
		return 0
	}
	return l.most
}
