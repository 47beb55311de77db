package controller

import (
	"strconv"
	"time"

	"nettlefold/internal/metrics"
)

// spreadBounds are the upper bounds of the buckets in which times are counted; what took longer is in one more.
var spreadBounds = [...]time.Duration{
	100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, 5 * time.Second,
}

// slowSpread is the time from which a number that is not in force everywhere is worth a line in the log.
const slowSpread = 2 * time.Second

// mostSpreading bounds the numbers that are followed at once.
const mostSpreading = 64

// histogram counts times by bucket.
type histogram struct {
	counts [len(spreadBounds) + 1]int
	sum    time.Duration
}

func (h *histogram) observe(d time.Duration) {
	at := 0
	for at < len(spreadBounds) && d > spreadBounds[at] {
		at++
	}
	h.counts[at]++
	h.sum += d
}

// add adds the histogram to a set, as cumulative buckets.
func (h *histogram) add(set *metrics.Set, name string) {
	count := 0
	for at, n := range h.counts {
		count += n
		bound := "+Inf"
		if at < len(spreadBounds) {
			bound = strconv.FormatFloat(spreadBounds[at].Seconds(), 'g', -1, 64)
		}
		set.Add(name+`_bucket{le="`+bound+`"}`, float64(count))
	}
	set.Add(name+"_count", float64(count))
	set.Add(name+"_sum", h.sum.Seconds())
}

// spreading is a committed number that not all agents with sessions here have yet.
type spreading struct {
	seq   uint64
	since time.Duration // committed here
	had   bool          // all agents have it, applied or not
}

// spread measures how long committed numbers take until the last agent with a session here has them in hand, and in force at its proxy.
type spread struct {
	newest  uint64
	pending []spreading
	had     histogram
	applied histogram
}

// committed takes a number that is committed here since now.
func (s *spread) committed(now time.Duration, seq uint64) {
	if seq <= s.newest {
		return
	}
	s.newest = seq
	s.pending = append(s.pending, spreading{seq: seq, since: now})
	if len(s.pending) > mostSpreading {
		s.pending = s.pending[1:]
	}
}

// reported takes the least number that any agent with a session here has, and the least that any has in force.
func (s *spread) reported(now time.Duration, has, applied uint64) {
	rest := s.pending[:0]
	for _, p := range s.pending {
		if !p.had && has >= p.seq {
			p.had = true
			s.had.observe(now - p.since)
		}
		if applied >= p.seq {
			s.applied.observe(now - p.since)
			continue
		}
		rest = append(rest, p)
	}
	s.pending = rest
}

// oldest is the number that has been spreading for the longest time, and for how long.
func (s *spread) oldest(now time.Duration) (seq uint64, took time.Duration) {
	if len(s.pending) == 0 {
		return 0, 0
	}
	return s.pending[0].seq, now - s.pending[0].since
}

// logSlowSpread names some agents that have not got what has been committed for long, once a second at most.
func (c *Controller) logSlowSpread() {
	seq, took := c.spread.oldest(c.now())
	if took < slowSpread {
		return
	}
	const most = 5
	var without, notApplied []string
	for _, s := range c.sessions {
		switch {
		case s.has < seq && len(without) < most:
			without = append(without, s.agent.ID)
		case s.has >= seq && s.applied < seq && len(notApplied) < most:
			notApplied = append(notApplied, s.agent.ID)
		}
	}
	c.log.Info().Str("step", "spread").Uint64("seq", seq).Dur("took", took).Strs("without", without).Strs("not_applied", notApplied).
		Msg("agents lack what is committed")
}
