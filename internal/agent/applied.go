package agent

import (
	"time"

	"nettlefold/internal/feed"
	"nettlefold/internal/metrics"
)

// lateAfter is how long a stage may take until the log tells that it was late.
const lateAfter = 1500 * time.Millisecond

// applied measures how long the proxy takes to have in force what its agent has. Pieces of news are numbered upwards.
type applied struct {
	waiting uint64 // the first number that the proxy is not known to have, 0 if there is none
	since   time.Time
	took    metrics.Histogram
}

// changed notes that there is news of a number.
func (p *applied) changed(number uint64, now time.Time) {
	if p.waiting == 0 {
		p.waiting, p.since = number, now
	}
}

// has notes that the proxy has the news up to a number, and gives how long it took, 0 if it had it before.
func (p *applied) has(number uint64, now time.Time) (took time.Duration) {
	if p.waiting != 0 && number >= p.waiting {
		p.waiting = 0
		took = now.Sub(p.since)
		p.took.Observe(took)
	}
	return took
}

// noteApplied notes what a proxy's call tells that it has in force; same tells whether its numbers are of this agent's life.
func (a *Agent) noteApplied(same bool, request *feed.Request) {
	now := time.Now()
	if a.snapshot != nil && a.snapshot.Seq > request.SnapshotSeq {
		a.snapshotApplied.changed(a.snapshot.Seq, now)
	}
	a.tellLate("snapshot applied", a.snapshotApplied.has(request.SnapshotSeq, now))
	if same {
		a.tellLate("list applied", a.listApplied.has(request.ListRevision, now))
	}
}

// tellLate tells in the log that a stage of the news took long.
func (a *Agent) tellLate(stage string, took time.Duration) {
	if took > lateAfter {
		a.log.Info().Str("step", "late").Str("stage", stage).Dur("took", took).Msg("news came late")
	}
}
