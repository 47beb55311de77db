package controller

import (
	"time"

	"nettlefold/internal/metrics"
)

// slowPropagationThreshold is the time from which a committed operation that some agents lack is
// logged.
const slowPropagationThreshold = 2 * time.Second

// maxPendingPropagations limits the sequence numbers that are tracked at once.
const maxPendingPropagations = 64

// pendingPropagation is a committed sequence number that not all agents with sessions here have
// applied yet.
type pendingPropagation struct {
	seq         uint64
	committedAt time.Duration // at this replica
	received    bool          // by all agents, applied or not
}

// propagationTracker measures the time from the commit of an operation until the last agent with a
// session here has received it, and until the last one has applied it at its proxy.
type propagationTracker struct {
	newestSeq uint64
	pending   []pendingPropagation
	received  metrics.Histogram
	applied   metrics.Histogram
}

// recordCommit starts to track a sequence number that was committed at now.
func (t *propagationTracker) recordCommit(now time.Duration, seq uint64) {
	if seq <= t.newestSeq {
		return
	}
	t.newestSeq = seq
	t.pending = append(t.pending, pendingPropagation{seq: seq, committedAt: now})
	if len(t.pending) > maxPendingPropagations {
		t.pending = t.pending[1:]
	}
}

// recordProgress takes the lowest sequence numbers that any agent with a session here has received
// and applied.
func (t *propagationTracker) recordProgress(now time.Duration, received, applied uint64) {
	remaining := t.pending[:0]
	for _, p := range t.pending {
		if !p.received && received >= p.seq {
			p.received = true
			t.received.Observe(now - p.committedAt)
		}
		if applied >= p.seq {
			t.applied.Observe(now - p.committedAt)
			continue
		}
		remaining = append(remaining, p)
	}
	t.pending = remaining
}

// oldestPending returns the sequence number that has been pending for the longest time, and for how
// long.
func (t *propagationTracker) oldestPending(now time.Duration) (seq uint64, took time.Duration) {
	if len(t.pending) == 0 {
		return 0, 0
	}
	return t.pending[0].seq, now - t.pending[0].committedAt
}

// logSlowPropagation names some agents that lack an operation committed some time ago. It is called
// once a second.
func (c *Controller) logSlowPropagation() {
	seq, took := c.propagation.oldestPending(c.sinceStart())
	if took < slowPropagationThreshold {
		return
	}
	const maxListedAgents = 5
	var without, notApplied []string
	for _, s := range c.sessions {
		switch {
		case s.receivedSeq < seq && len(without) < maxListedAgents:
			without = append(without, s.agent.ID)
		case s.receivedSeq >= seq && s.appliedSeq < seq && len(notApplied) < maxListedAgents:
			notApplied = append(notApplied, s.agent.ID)
		}
	}
	c.log.Info().Str("step", "spread").Uint64("seq", seq).Dur("took", took).Strs("without", without).Strs("not_applied", notApplied).
		Msg("agents lack a committed operation")
}
