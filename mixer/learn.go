package mixer

import "slices"

// recordOutcome removes a forward from its searcher's counts and updates the statistics.
func (m *Mixer) recordOutcome(now int64, f *forward, o Outcome, took int64) {
	s := f.searcher
	s.partsOut--
	if f.call.left--; f.call.left == 0 {
		s.callsOut--
	}
	s.inFlight = slices.DeleteFunc(s.inFlight, func(g *forward) bool { return g == f })
	m.removeIfGone(s)
	if o == ConnectionReset || o == Unreachable || o == TimedOut && s.lastAnswer <= f.sentAt {
		f.recordLoss(now)
	}
	switch o {
	case TimedOut, Cancelled:
		// A searcher too slow to answer in time would otherwise never show in the statistics.
		if mean, _ := m.typicalLatency(now, f.part.lookup); o == TimedOut || float64(took) > mean {
			s.recordPace(now, timeoutFactor*float64(took), f.callsAtSend)
		}
		if s.lastAnswer <= f.sentAt {
			s.unansweredWait += took
			mean, _ := m.typicalLatency(now, f.part.lookup)
			m.checkSilence(now, f.part, mean)
		}
	case Succeeded:
		s.lastAnswer, s.unansweredWait, s.suspect, s.probeInterval = now, 0, false, 0
		// A late answer does not show that its zone is healthy.
		if mean, _ := m.typicalLatency(now, f.part.lookup); float64(took) <= connLostMeans*mean {
			m.lastAnswer, s.zone.lastAnswer, s.zone.lost = now, now, 0
		}
		if f.lostAt > 0 && f.connLoss != nil { // late, not lost: heavy parts must not cost healthy connections
			f.connLoss.Subtract(now, f.lostAt, 1, connLossHalfLife)
		}
		if m.capacityShare(now, s) == 1 {
			m.warmAnswers.Add(now, 1, loadHalfLife)
		}
		m.fleetPace.Add(now, float64(took)*s.size, float64(f.callsAtSend), loadHalfLife)
		s.recordPace(now, float64(took), f.callsAtSend)
		m.latencies[f.part.lookup.request.Tariff].Add(now, float64(took), loadHalfLife)
		m.updateWarmRate(now)
	case Failed, Rejected, Unreachable, ConnectionReset:
		// A searcher that fails or rejects fast has few calls in flight and would attract every pick.
		mean, _ := m.typicalLatency(now, f.part.lookup)
		if s.unansweredWait += int64(failureMeans * mean); o == Failed {
			s.unansweredWait -= int64((failureMeans - errorMeans) * mean)
		}
		s.recordPace(now, failureMeans*mean*float64(f.callsAtSend), f.callsAtSend)
	}
}

// recordPace adds one forward's latency and the calls in flight with it to the searcher's pace.
func (s *searcher) recordPace(now int64, time float64, calls int) {
	s.pace.Add(now, time, float64(calls), paceHalfLife)
	s.recentPace.Add(now, time, float64(calls), loadHalfLife)
}

// typicalLatency returns the tariff's recent mean latency, or a default, and when a forward counts as late.
func (m *Mixer) typicalLatency(now int64, l *Lookup) (mean float64, late int64) {
	n, mean, dev := m.latencies[l.request.Tariff].Read(now, loadHalfLife)
	if n < epsilon {
		mean, dev = initialLatencyShare*float64(l.tariff.Expected), 0
	}
	return mean, int64(mean + lateDeviations*max(dev, mean/4))
}

// unitTime estimates latency per call in flight at s; times those calls, a new forward's. The prior is the
// fleet's, corrected by peer reports on s; one newer than the last answer outweighs older own statistics.
func (m *Mixer) unitTime(now int64, s *searcher) float64 {
	if s.unitMemo.valid(now, m.eventCount) {
		return s.unitMemo.value
	}
	prior, weight := m.fleetUnitTime(now)/s.size, fleetPriorCalls
	if r := s.currentReport(now); r.Slow > 0 {
		if prior *= r.Slow; s.lastAnswer < r.At {
			weight += min(r.Weight, maxReportCalls) + s.pace.denominator.Read(now, paceHalfLife)
		}
	}
	return s.unitMemo.set(now, m.eventCount, s.pace.Read(now, paceHalfLife, prior, weight))
}
