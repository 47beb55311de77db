package controller

import (
	"time"

	"nettlefold/internal/metrics"
)

// slowSpread is the time from which a number that is not in force everywhere is worth a line in the log.
const slowPropagationThreshold = 2 * time.Second

// mostSpreading bounds the numbers that are followed at once.
const maxPendingPropagations = 64

// spreading is a committed number that not all agents with sessions here have yet.
type pendingPropagation struct {
	seq         uint64
	committedAt time.Duration // committed here
	received    bool          // all agents have it, applied or not
}

// spread measures how long committed numbers take until the last agent with a session here has them in hand, and in force at its proxy.
type propagationTracker struct {
	newestSeq uint64
	pending   []pendingPropagation
	received  metrics.Histogram
	applied   metrics.Histogram
}

// committed takes a number that is committed here since now.
func (s *propagationTracker) recordCommit(now time.Duration, seq uint64) {
	if seq <= s.newestSeq {
		return
	}
	s.newestSeq = seq
	s.pending = append(s.pending, pendingPropagation{seq: seq, committedAt: now})
	if len(s.pending) > maxPendingPropagations {
		s.pending = s.pending[1:]
	}
}

// reported takes the least number that any agent with a session here has, and the least that any has in force.
func (s *propagationTracker) recordProgress(now time.Duration, has, applied uint64) {
	rest := s.pending[:0]
	for _, p := range s.pending {
		if !p.received && has >= p.seq {
			p.received = true
			s.received.Observe(now - p.committedAt)
		}
		if applied >= p.seq {
			s.applied.Observe(now - p.committedAt)
			continue
		}
		rest = append(rest, p)
	}
	s.pending = rest
}

// oldest is the number that has been spreading for the longest time, and for how long.
func (s *propagationTracker) oldestPending(now time.Duration) (seq uint64, took time.Duration) {
	if len(s.pending) == 0 {
		return 0, 0
	}
	return s.pending[0].seq, now - s.pending[0].committedAt
}

// logSlowSpread names some agents that have not got what has been committed for long, once a second at most.
func (c *Controller) logSlowPropagation() {
	seq, took := c.propagation.oldestPending(c.sinceStart())
	if took < slowPropagationThreshold {
		return
	}
	const most = 5
	var without, notApplied []string
	for _, s := range c.sessions {
		switch {
		case s.receivedSeq < seq && len(without) < most:
			without = append(without, s.agent.ID)
		case s.receivedSeq >= seq && s.appliedSeq < seq && len(notApplied) < most:
			notApplied = append(notApplied, s.agent.ID)
		}
	}
	c.log.Info().Str("step", "spread").Uint64("seq", seq).Dur("took", took).Strs("without", without).Strs("not_applied", notApplied).
		Msg("agents lack what is committed")
}
