package agent

import (
	"time"

	"nettlefold/internal/feed"
	"nettlefold/internal/metrics"
)

// lateAfter is how long a stage may take until the log tells that it was late.
const slowStageThreshold = 1500 * time.Millisecond

// applied measures how long the proxy takes to have in force what its agent has. Pieces of news are numbered upwards.
type applyTracker struct {
	pending      uint64 // the first number that the proxy is not known to have, 0 if there is none
	pendingSince time.Time
	latencies    metrics.Histogram
}

// changed notes that there is news of a number.
func (p *applyTracker) noteAvailable(number uint64, now time.Time) {
	if p.pending == 0 {
		p.pending, p.pendingSince = number, now
	}
}

// has notes that the proxy has the news up to a number, and gives how long it took, 0 if it had it before.
func (p *applyTracker) noteApplied(number uint64, now time.Time) (took time.Duration) {
	if p.pending != 0 && number >= p.pending {
		p.pending = 0
		took = now.Sub(p.pendingSince)
		p.latencies.Observe(took)
	}
	return took
}

// noteApplied notes what a proxy's call tells that it has in force; same tells whether its numbers are of this agent's life.
func (a *Agent) observeApplied(same bool, request *feed.Request) {
	now := time.Now()
	if a.snapshot != nil && a.snapshot.Seq > request.SnapshotSeq {
		a.snapshotApplyTracker.noteAvailable(a.snapshot.Seq, now)
	}
	a.logSlowStage("snapshot applied", a.snapshotApplyTracker.noteApplied(request.SnapshotSeq, now))
	if same {
		a.logSlowStage("list applied", a.listApplyTracker.noteApplied(request.ListRevision, now))
	}
}

// tellLate tells in the log that a stage of the news took long.
func (a *Agent) logSlowStage(stage string, took time.Duration) {
	if took > slowStageThreshold {
		a.log.Info().Str("step", "late").Str("stage", stage).Dur("took", took).Msg("news came late")
	}
}
