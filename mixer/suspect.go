package mixer

import "cmp"

// hearken judges searchers not by the list: when forwards to one since its last answer have waited, added up,
// for several times what they take, it is suspect. One alone may be slow or heavy and has to wait longer.
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

// distrust keeps a searcher from being picked, but for a test, until it answers.
func (m *Mixer) markSuspect(now int64, s *searcher) {
	s.probeInterval = int64(min(max(2*float64(s.probeInterval), firstProbeShare*m.longestExpected), lastProbeShare*m.longestExpected))
	s.nextProbe = now + s.probeInterval/2 + m.rng.Int63n(s.probeInterval)
	if !s.suspect {
		s.suspect = true
		m.invalidateReviews()
		s.reviewLookups(now)
	}
}

func (s *searcher) reviewLookups(now int64) {
	for _, f := range s.inFlight {
		f.part.lookup.scheduleReview(now, now)
	}
}

// doubted tells whether others hold s silent, and it has not answered this mixer since.
func (s *searcher) reportedSilent(now int64) bool {
	return s.currentReport(now).Silent && s.lastAnswer < s.report.At
}

// due tells whether a suspect may be tested. Mixers that suspect it together test it as often as one alone.
func (s *searcher) probeDue(now int64) bool {
	return now >= s.nextProbe+s.probeInterval*int64(s.currentReport(now).Suspecting)
}

// shunned tells whether s is suspect or in a silent zone, and not to be tested now.
func (m *Mixer) avoided(now int64, s *searcher) bool {
	if !s.suspect && s.reportedSilent(now) {
		return true // those who found out test it
	}
	return (s.suspect || s.zone.silent()) && (s.suspect && !s.probeDue(now) || !m.mayProbe(now))
}

// mayTest is the allowance for tests.
func (m *Mixer) mayProbe(now int64) bool {
	return m.sentProbes.Read(now, loadHalfLife) < max(minProbes, probeShare*m.sentForwards.Read(now, loadHalfLife))
}

// connect closes what lies idle to s where idle connections lose more than new ones. It guards against
// connections dropped unseen, which say nothing of the searcher. Where connecting fails, new ones lose more.
func (m *Mixer) chooseConnection(now int64, s *searcher) *DecayingRatio {
	line, share := &m.idleConnLoss, m.newConnLoss.Read(now, connLossHalfLife, 0, fleetPriorCalls)
	if line.numerator.Read(now, connLossHalfLife)-idleLossFactor*share*line.denominator.Read(now, connLossHalfLife) >= idleLossThreshold {
		m.env.CloseIdle(s.id)
		line = &m.newConnLoss
	}
	line.Add(now, 0, 1, connLossHalfLife)
	return line
}

// miss counts a forward as lost on its connection and in its zone, the latter where others answer meanwhile.
// It guards against a zone lost, which a mixer with little traffic else meets searcher by searcher for long.
func (f *forward) recordLoss(now int64) {
	if f.lostAt == 0 && f.connLoss != nil {
		f.connLoss.Add(now, 1, 0, connLossHalfLife)
	}
	if z := f.searcher.zone; f.lostAt == 0 && z.lastAnswer <= f.sentAt && f.sentAt < f.part.lookup.mixer.lastAnswer {
		z.lost++
		f.part.lookup.mixer.invalidateReviews()
	}
	f.lostAt = cmp.Or(f.lostAt, now)
}
