package agent

import (
	"time"

	"nettlefold/internal/feed"
	"nettlefold/internal/metrics"
)

// slowStageThreshold is how long a stage of distribution may take before it is logged as late.
const slowStageThreshold = 1500 * time.Millisecond

// applyTracker measures how long the proxy takes to apply numbered updates that its agent has. The
// numbers increase.
type applyTracker struct {
	pending      uint64 // the first number that the proxy has not confirmed, 0 if there is none
	pendingSince time.Time
	latencies    metrics.Histogram
}

// noteAvailable records that the update of a number is available.
func (p *applyTracker) noteAvailable(number uint64, now time.Time) {
	if p.pending == 0 {
		p.pending, p.pendingSince = number, now
	}
}

// noteApplied records that the proxy has applied the updates up to a number. It returns how long
// the first pending one took, 0 if none of them was pending.
func (p *applyTracker) noteApplied(number uint64, now time.Time) (latency time.Duration) {
	if p.pending != 0 && number >= p.pending {
		p.pending = 0
		latency = now.Sub(p.pendingSince)
		p.latencies.Observe(latency)
	}
	return latency
}

// observeApplied records what a feed request reports as applied. sameAgent is true if its revisions
// are those of this run of the agent.
func (a *Agent) observeApplied(sameAgent bool, request *feed.Request) {
	now := time.Now()
	if a.snapshot != nil && a.snapshot.Seq > request.SnapshotSeq {
		a.snapshotApplyTracker.noteAvailable(a.snapshot.Seq, now)
	}
	a.logSlowStage("snapshot applied", a.snapshotApplyTracker.noteApplied(request.SnapshotSeq, now))
	if sameAgent {
		a.logSlowStage("list applied", a.listApplyTracker.noteApplied(request.ListRevision, now))
	}
}

// logSlowStage logs a stage of distribution that took longer than slowStageThreshold. The text of
// the stage is part of the log format.
func (a *Agent) logSlowStage(stage string, duration time.Duration) {
	if duration > slowStageThreshold {
		a.log.Info().Str("step", "late").Str("stage", stage).Dur("took", duration).Msg("update was applied or received late")
	}
}
