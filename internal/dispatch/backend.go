// Package dispatch decides, for one request at a time, which backend serves it and which holder of kept prompts it fetches from. It is
// a plain table without I/O, clock or goroutine: whoever owns it feeds it what is in force, what is known of backends and what became
// of requests. Times are by the owner's steady clock.
package dispatch

import (
	"maps"
	"time"

	"nettlefold/internal/config"
	"nettlefold/internal/kvindex"
	"nettlefold/internal/trial"
)

// Phases of a backend that takes new weights.
const (
	PhaseNone     = ""
	PhaseEmptying = "emptying" // it is to get nothing, as its order comes next
	PhaseLoading  = "loading"
)

// Listed is a backend as the platform's list has it, with what the fleet knows beyond.
type BackendInfo struct {
	ID       string           `cbor:"1,keyasint"`
	Service  string           `cbor:"2,keyasint"`
	Addr     string           `cbor:"3,keyasint"`
	Zone     string           `cbor:"4,keyasint"`
	Slots    int              `cbor:"5,keyasint"`
	Draining bool             `cbor:"6,keyasint,omitempty"`
	ColdMS   float64          `cbor:"7,keyasint,omitempty"`
	Versions map[string]int64 `cbor:"8,keyasint,omitempty"` // of models' weights
}

// Same tells whether two entries say the same.
func (l *BackendInfo) Equal(o *BackendInfo) bool {
	return l.ID == o.ID && l.Service == o.Service && l.Addr == o.Addr && l.Zone == o.Zone && l.Slots == o.Slots &&
		l.Draining == o.Draining && l.ColdMS == o.ColdMS && maps.Equal(l.Versions, o.Versions)
}

// Load is what a mixer has at a backend.
type Load struct {
	_               struct{} `cbor:",toarray"`
	Running         int
	QueuedPrefillMS int // ms of reading, for requests that have not begun to answer
	Tokens          int // that its requests hold in memory
}

// Minus takes a part out of a sum that may be older or newer than the part: nothing of it becomes negative.
func (l Load) Sub(o Load) Load {
	return Load{
		Running: max(0, l.Running-o.Running), QueuedPrefillMS: max(0, l.QueuedPrefillMS-o.QueuedPrefillMS),
		Tokens: max(0, l.Tokens-o.Tokens),
	}
}

// Plus adds loads.
func (l Load) Add(o Load) Load {
	return Load{Running: l.Running + o.Running, QueuedPrefillMS: l.QueuedPrefillMS + o.QueuedPrefillMS, Tokens: l.Tokens + o.Tokens}
}

// Backend is one that requests may be sent to.
type Backend struct {
	BackendInfo
	prefilling           map[kvindex.Key]time.Duration // parts that requests of ours are having read here, until when that is believed
	coldUntil            time.Duration
	phase                string
	ownLoad              Load
	otherLoad            Load
	pendingFetches       int           // requests of ours that name it as holder and have not begun to answer
	latencyMS            float64       // ms that an answer takes, moving mean; 0 if none is known
	consecutiveFailures  int           // in a row
	avoidUntil           time.Duration // until when it is avoided for them
	probing              bool          // a request is out that shows whether it is back
	awaitingFirstByte    int           // requests of ours that have not begun to answer
	lastProgress         time.Duration // when it was last heard from, or the first of those sent
	nextColdSend         time.Duration // when the next request may be sent to it while it is cold
	coldInterval         time.Duration // between two of them, 0 if this mixer has no share; as of sharedIn
	coldIntervalRevision uint64        // number of the shares that coldShare is of
}

// quiet reports whether a request is expected to wait so little at a backend that its answer tells how fast the backend is. In a busy fleet a
// mixer hardly ever meets a backend with nothing at all to do.
func (b *Backend) nearlyIdle(waitMS float64) bool {
	if trial.Disabled(trial.LearnWhenNearlyIdle) {
		return b.ownLoad.Running == 0 && b.otherLoad.Running == 0
	}
	return waitMS <= nearlyIdleWaitMS
}

// engine tells whether requests for a service are generations.
func hasEngine(s *config.Service) bool { return s != nil && s.Engine != nil }

// dead is the failures in a row from which a backend is avoided.
const failureThreshold = 1

// avoidance is how long a backend is avoided after so many failures in a row.
func failureBackoff(failures int) time.Duration {
	if failures < failureThreshold {
		return 0
	}
	return min(500*time.Millisecond<<min(failures-failureThreshold, 4), 4*time.Second)
}
