package fleetdemo

import (
	"sync"
	"time"
)

// Figures of a lagMeter.
const (
	lagInterval = 10 * time.Millisecond
	slackFactor = 3 // times the worst lag
	minSlack    = 100 * time.Millisecond
)

// lagMeter measures by how much the machine wakes this program late. Judges ease their times by its slack, and by
// nothing else.
type lagMeter struct {
	mu    sync.Mutex
	worst time.Duration
}

// run measures until done is closed.
func (m *lagMeter) run(done chan struct{}) {
	for {
		before := time.Now()
		select {
		case <-done:
			return
		case <-time.After(lagInterval):
		}
		late := time.Since(before) - lagInterval
		m.mu.Lock()
		m.worst = max(m.worst, late)
		m.mu.Unlock()
	}
}

// slack returns by how much times are eased.
func (m *lagMeter) slack() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(minSlack, slackFactor*m.worst)
}
