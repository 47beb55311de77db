package mixer

import "slices"

// settle takes a forward off its searcher's count and learns from it.
func (m *Mixer) settle(now int64, f *forward, o Outcome, took int64) {
	s := f.s
	s.parts--
	if f.call.left--; f.call.left == 0 {
		s.calls--
	}
	s.out = slices.DeleteFunc(s.out, func(g *forward) bool { return g == f })
	m.forget(s)
	if o == ConnectionReset || o == Unreachable || o == TimedOut && s.heard <= f.sent {
		f.miss(now)
	}
	switch o {
	case TimedOut, Cancelled:
		// Guards against searchers too slow to answer in time, no answer of which ever tells how slow.
		if mean, _ := m.typical(now, f.part.l); o == TimedOut || float64(took) > mean {
			s.learn(now, lostTimes*float64(took), f.count)
		}
		if s.heard <= f.sent {
			s.unheard += took
			mean, _ := m.typical(now, f.part.l)
			m.hearken(now, f.part, mean)
		}
	case Succeeded:
		s.heard, s.unheard, s.suspect, s.wait = now, 0, false, 0
		if mean, _ := m.typical(now, f.part.l); float64(took) <= lineLate*mean { // a late one tells no zone well
			m.heard, s.zone.heard, s.zone.missed = now, now, 0
		}
		if f.missed > 0 && f.line != nil { // only late: else heavy parts on sound days cost a connection each
			f.line.Undo(now, f.missed, 1, lineHalf)
		}
		if m.frac(now, s) == 1 {
			m.borne.Add(now, 1, halfLife)
		}
		m.pace.Add(now, float64(took)*s.size, float64(f.count), halfLife)
		s.learn(now, float64(took), f.count)
		m.rows[f.part.l.ask.Tariff].Add(now, float64(took), halfLife)
		m.measure(now)
	case Failed, Rejected, Unreachable, ConnectionReset:
		// Guards against one that fails fast, whose count near zero would draw every pick, or turns away.
		mean, _ := m.typical(now, f.part.l)
		if s.unheard += int64(failedTimes * mean); o == Failed {
			s.unheard -= int64((failedTimes - erredTimes) * mean)
		}
		s.learn(now, failedTimes*mean*float64(f.count), f.count)
	}
}

func (s *searcher) learn(now int64, time float64, calls int) {
	s.pace.Add(now, time, float64(calls), paceHalf)
	s.told.Add(now, time, float64(calls), halfLife)
}

// typical gives how long the tariff's forwards lately took in the mean, a guess when none did, and after how
// long one is late against nearly all of them.
func (m *Mixer) typical(now int64, l *Lookup) (mean float64, late int64) {
	n, mean, dev := m.rows[l.ask.Tariff].Read(now, halfLife)
	if n < tiny {
		mean, dev = tookGuess*float64(l.t.Expected), 0
	}
	return mean, int64(mean + lateSpread*max(dev, mean/4))
}

// unit is what forwards to s lately took for each call out with them, leaning on the fleet's figure where
// s has shown little. Times the calls that a new forward joins, it is the time it is likely to take.
// What others say of it stands for the fleet's, and weighs more than what s showed this mixer before.
func (m *Mixer) unit(now int64, s *searcher) float64 {
	if s.unit.holds(now, m.call) {
		return s.unit.is
	}
	on, weight := m.fleet(now)/s.size, lean
	if w := s.said(now); w.Slow > 0 {
		if on *= w.Slow; s.heard < w.At {
			weight += min(w.Weight, wordMost) + s.pace.under.Read(now, paceHalf)
		}
	}
	return s.unit.keep(now, m.call, s.pace.Read(now, paceHalf, on, weight))
}
