package mixer

import "cmp"

// checkSilence is the failure detector: it suspects a searcher once the forwards sent there since its last
// answer have waited several means in sum. A single one may be slow or heavy and has to wait longer.
func (m *Mixer) checkSilence(now int64, p *part, mean float64) {
	for _, f := range p.forwards {
		if s := f.searcher; !s.suspect && s.lastAnswer <= f.sentAt {
			silence := s.unansweredWait
			for _, g := range s.inFlight {
				if g.sentAt >= s.lastAnswer {
					silence += now - g.sentAt
				}
			}
			if float64(now-f.sentAt) > connLostMeans*mean && !f.done {
				f.recordLoss(now)
			}
			f.presumedLost = f.presumedLost || float64(now-f.sentAt) > presumedLostMeans*mean
			if float64(silence) > suspectMeans*mean {
				m.markSuspect(now, s)
			}
		}
	}
}

// markSuspect excludes a searcher from picks, except for probes with backoff and jitter, until it answers.
func (m *Mixer) markSuspect(now int64, s *searcher) {
	s.probeInterval = int64(min(max(2*float64(s.probeInterval), firstProbeShare*m.longestExpected),
		lastProbeShare*m.longestExpected))
	s.nextProbe = now + s.probeInterval/2 + m.rng.Int63n(s.probeInterval)
	if !s.suspect {
		s.suspect = true
		m.invalidateReviews()
		s.reviewLookups(now)
	}
}

// reviewLookups schedules a review of every lookup with a forward in flight at s.
func (s *searcher) reviewLookups(now int64) {
	for _, f := range s.inFlight {
		f.part.lookup.scheduleReview(now, now)
	}
}

// reportedSilent reports whether peers consider s silent and it has not answered this mixer since.
func (s *searcher) reportedSilent(now int64) bool {
	return s.currentReport(now).Silent && s.lastAnswer < s.report.At
}

// probeDue reports whether a suspect may be probed. All that suspect it together probe as often as one.
func (s *searcher) probeDue(now int64) bool {
	return now >= s.nextProbe+s.probeInterval*int64(s.currentReport(now).Suspecting)
}

// avoided reports whether s is reported silent, or is suspect or in a silent zone and must not be probed now.
func (m *Mixer) avoided(now int64, s *searcher) bool {
	if !s.suspect && s.reportedSilent(now) {
		return true // the mixers that suspect it probe it
	}
	return (s.suspect || s.zone.silent()) && (s.suspect && !s.probeDue(now) || !m.mayProbe(now))
}

// mayProbe reports whether the probe budget allows one more.
func (m *Mixer) mayProbe(now int64) bool {
	return m.sentProbes.Read(now, loadHalfLife) <
		max(minProbes, probeShare*m.sentForwards.Read(now, loadHalfLife))
}

// chooseConnection closes idle connections to s if they lose more than new ones; it returns the loss of those
// now used. Silent drops say nothing about s itself; where connecting fails, new connections lose more.
func (m *Mixer) chooseConnection(now int64, s *searcher) *DecayingRatio {
	loss, share := &m.idleConnLoss, m.newConnLoss.Read(now, connLossHalfLife, 0, fleetPriorCalls)
	if loss.numerator.Read(now, connLossHalfLife)-
		idleLossFactor*share*loss.denominator.Read(now, connLossHalfLife) >= idleLossThreshold {
		m.env.CloseIdle(s.id)
		loss = &m.newConnLoss
	}
	loss.Add(now, 0, 1, connLossHalfLife)
	return loss
}

// recordLoss counts a forward as lost, once, on its connection and, while other zones answer, in its zone. A
// mixer with little traffic would otherwise detect the loss of a zone one searcher at a time.
func (f *forward) recordLoss(now int64) {
	if f.lostAt == 0 && f.connLoss != nil {
		f.connLoss.Add(now, 1, 0, connLossHalfLife)
	}
	if z := f.searcher.zone; f.lostAt == 0 && z.lastAnswer <= f.sentAt &&
		f.sentAt < f.part.lookup.mixer.lastAnswer {
		z.lost++
		f.part.lookup.mixer.invalidateReviews()
	}
	f.lostAt = cmp.Or(f.lostAt, now)
}
