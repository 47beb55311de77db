// Package dispatch chooses, for each request, the backend that serves it and the holder from which that
// backend fetches cached prompt parts. Its Table does no I/O, has no clock, starts no goroutine and is not
// safe for concurrent use: its owner feeds it the configuration, the state of the backends and the
// outcomes of requests. All times are readings of the owner's monotonic clock. A mixer is one process that
// dispatches requests with a Table of its own.
package dispatch

import (
	"maps"
	"time"

	"nettlefold/internal/config"
	"nettlefold/internal/kvindex"
	"nettlefold/internal/trial"
)

// Phases of a backend during a rollout of new weights.
const (
	PhaseNone     = ""
	PhaseEmptying = "emptying" // to be ordered to load new weights; gets requests only if no other backend is eligible
	PhaseLoading  = "loading"
)

// BackendInfo is a backend as listed by the platform's service discovery, with what the fleet knows in
// addition.
type BackendInfo struct {
	ID       string           `cbor:"1,keyasint"`
	Service  string           `cbor:"2,keyasint"`
	Addr     string           `cbor:"3,keyasint"`
	Zone     string           `cbor:"4,keyasint"`
	Slots    int              `cbor:"5,keyasint"`
	Draining bool             `cbor:"6,keyasint,omitempty"`
	ColdMS   float64          `cbor:"7,keyasint,omitempty"` // remaining time for which the backend is cold: just started, and limited to a reduced request rate
	Versions map[string]int64 `cbor:"8,keyasint,omitempty"` // version of the loaded weights, by model
}

// Equal reports whether two entries are equal.
func (l *BackendInfo) Equal(o *BackendInfo) bool {
	return l.ID == o.ID && l.Service == o.Service && l.Addr == o.Addr && l.Zone == o.Zone && l.Slots == o.Slots &&
		l.Draining == o.Draining && l.ColdMS == o.ColdMS && maps.Equal(l.Versions, o.Versions)
}

// Load is the load that the requests of one or more mixers put on a backend.
type Load struct {
	_               struct{} `cbor:",toarray"`
	Running         int      // requests in flight
	QueuedPrefillMS int      // estimated prefill time of the requests that have no first byte yet
	Tokens          int      // prompt tokens that the requests hold in the KV cache
}

// Sub returns l without o. The two may have been taken at different times, so no field of the result is
// negative.
func (l Load) Sub(o Load) Load {
	return Load{
		Running: max(0, l.Running-o.Running), QueuedPrefillMS: max(0, l.QueuedPrefillMS-o.QueuedPrefillMS),
		Tokens: max(0, l.Tokens-o.Tokens),
	}
}

// Add returns the sum of two loads.
func (l Load) Add(o Load) Load {
	return Load{Running: l.Running + o.Running, QueuedPrefillMS: l.QueuedPrefillMS + o.QueuedPrefillMS, Tokens: l.Tokens + o.Tokens}
}

// Backend is the state of a backend in a Table.
type Backend struct {
	BackendInfo
	// prefillingUntil is the expiry, by key, of the assumption that the backend prefills or caches a shared
	// part for a request of this mixer.
	prefillingUntil     map[kvindex.Key]time.Duration
	coldUntil           time.Duration
	phase               string
	ownLoad             Load    // of this mixer
	otherLoad           Load    // of all other mixers
	pendingFetches      int     // requests of this mixer that fetch from this holder and have no first byte yet
	latencyMS           float64 // moving mean of the time to the first byte, 0 if not known
	consecutiveFailures int     // failed requests since the last first byte
	// consecutiveViolations counts the failures since the last first byte that were Violated.
	consecutiveViolations int
	avoidUntil            time.Duration // end of the backoff after a failure or a refusal
	probing               bool          // a probe request is in flight after failures
	awaitingFirstByte     int           // requests of this mixer without a first byte
	lastProgress          time.Duration // time of the last received byte, or when a request was sent while none was waiting
	nextColdSend          time.Duration // earliest time of this mixer's next request while the backend is cold
	// coldInterval is the time between two requests of this mixer while the backend is cold, 0 if this mixer
	// may send none. It is cached for coldIntervalRevision.
	coldInterval         time.Duration
	coldIntervalRevision uint64 // Table.sharesRevision for which coldInterval was computed
}

// nearlyIdle reports whether a request is expected to wait so briefly at a backend that its latency measures
// the backend's speed. In a busy fleet a mixer hardly ever sees a completely idle backend.
func (b *Backend) nearlyIdle(waitMS float64) bool {
	if trial.Disabled(trial.LearnWhenNearlyIdle) {
		return b.ownLoad.Running == 0 && b.otherLoad.Running == 0
	}
	return waitMS <= nearlyIdleWaitMS
}

// hasEngine reports whether the backends of a service are inference engines.
func hasEngine(s *config.Service) bool { return s != nil && s.Engine != nil }

// failureThreshold is the number of consecutive failures after which a backend is avoided.
const failureThreshold = 1

// violationThreshold is the number of consecutive violations after which a backend gets nothing but a probe at the end
// of each backoff, even if no other backend is eligible: it would only be asked again and again, as fast as clients retry.
const violationThreshold = 3

// suspended reports whether a backend that violates the protocol again and again gets no request now.
func (b *Backend) suspended(now time.Duration) bool {
	return b.consecutiveViolations >= violationThreshold && (now < b.avoidUntil || b.probing)
}

// failureBackoff returns the time for which a backend is avoided after consecutive failures: it doubles from
// 500 ms up to 4 s.
func failureBackoff(failures int) time.Duration {
	if failures < failureThreshold {
		return 0
	}
	return min(500*time.Millisecond<<min(failures-failureThreshold, 4), 4*time.Second)
}
