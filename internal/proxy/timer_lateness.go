package proxy

import (
	"sync"
	"time"
)

// latenessWindow is how long an observation of a late timer counts.
const latenessWindow = 5 * time.Second

// timerLateness tracks how late timers of this process fire, an indicator of CPU starvation.
type timerLateness struct {
	mu         sync.Mutex
	worst      time.Duration // greatest lateness within latenessWindow
	observedAt time.Time     // when worst was observed
}

// record adds a timer that was due at a time and is handled now.
func (l *timerLateness) record(due, now time.Time) {
	late := now.Sub(due)
	l.mu.Lock()
	defer l.mu.Unlock()
	if late >= l.worst || now.Sub(l.observedAt) > latenessWindow {
		l.worst, l.observedAt = late, now
	}
}

// maxInWindow returns the greatest lateness within latenessWindow.
func (l *timerLateness) maxInWindow(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.observedAt) > latenessWindow {
		return 0
	}
	return l.worst
}
