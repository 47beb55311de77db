package mixer

import "slices"

// settle takes a forward off its searcher's count and learns from it.
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
		// Guards against searchers too slow to answer in time, no answer of which ever tells how slow.
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
		if mean, _ := m.typicalLatency(now, f.part.lookup); float64(took) <= connLostMeans*mean { // a late one tells no zone well
			m.lastAnswer, s.zone.lastAnswer, s.zone.lost = now, now, 0
		}
		if f.lostAt > 0 && f.connLoss != nil { // only late: else heavy parts on sound days cost a connection each
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
		// Guards against one that fails fast, whose count near zero would draw every pick, or turns away.
		mean, _ := m.typicalLatency(now, f.part.lookup)
		if s.unansweredWait += int64(failureMeans * mean); o == Failed {
			s.unansweredWait -= int64((failureMeans - errorMeans) * mean)
		}
		s.recordPace(now, failureMeans*mean*float64(f.callsAtSend), f.callsAtSend)
	}
}

func (s *searcher) recordPace(now int64, time float64, calls int) {
	s.pace.Add(now, time, float64(calls), paceHalfLife)
	s.recentPace.Add(now, time, float64(calls), loadHalfLife)
}

// typical gives how long the tariff's forwards lately took in the mean, a guess when none did, and after how
// long one is late against nearly all of them.
func (m *Mixer) typicalLatency(now int64, l *Lookup) (mean float64, late int64) {
	n, mean, dev := m.latencies[l.request.Tariff].Read(now, loadHalfLife)
	if n < epsilon {
		mean, dev = initialLatencyShare*float64(l.tariff.Expected), 0
	}
	return mean, int64(mean + lateDeviations*max(dev, mean/4))
}

// unit is what forwards to s lately took for each call out with them, leaning on the fleet's figure where
// s has shown little. Times the calls that a new forward joins, it is the time it is likely to take.
// What others say of it stands for the fleet's, and weighs more than what s showed this mixer before.
func (m *Mixer) unitTime(now int64, s *searcher) float64 {
	if s.unitMemo.valid(now, m.calls) {
		return s.unitMemo.value
	}
	on, weight := m.fleetUnitTime(now)/s.size, fleetPriorCalls
	if w := s.currentReport(now); w.Slow > 0 {
		if on *= w.Slow; s.lastAnswer < w.At {
			weight += min(w.Weight, maxReportCalls) + s.pace.denominator.Read(now, paceHalfLife)
		}
	}
	return s.unitMemo.set(now, m.calls, s.pace.Read(now, paceHalfLife, on, weight))
}
