package mixer

import "cmp"

// hearken judges searchers not by the list: when forwards to one since its last answer have waited, added up,
// for several times what they take, it is suspect. One alone may be slow or heavy and has to wait longer.
func (m *Mixer) hearken(now int64, p *part, mean float64) {
	for _, f := range p.forwards {
		if s := f.s; !s.suspect && s.heard <= f.sent {
			silence := s.unheard
			for _, g := range s.out {
				if g.sent >= s.heard {
					silence += now - g.sent
				}
			}
			if float64(now-f.sent) > lineLate*mean && !f.done {
				f.miss(now)
			}
			f.gone = f.gone || float64(now-f.sent) > goneTimes*mean
			if float64(silence) > silentTimes*mean {
				m.distrust(now, s)
			}
		}
	}
}

// distrust keeps a searcher from being picked, but for a test, until it answers.
func (m *Mixer) distrust(now int64, s *searcher) {
	s.wait = int64(min(max(2*float64(s.wait), testFirst*m.long), testLast*m.long))
	s.testAt = now + s.wait/2 + m.rng.Int63n(s.wait)
	if !s.suspect {
		s.suspect = true
		m.stir()
		s.rouse(now)
	}
}

func (s *searcher) rouse(now int64) {
	for _, f := range s.out {
		f.part.l.rouse(now, now)
	}
}

// doubted tells whether others hold s silent, and it has not answered this mixer since.
func (s *searcher) doubted(now int64) bool { return s.said(now).Silent && s.heard < s.word.At }

// due tells whether a suspect may be tested. Mixers that suspect it together test it as often as one alone.
func (s *searcher) due(now int64) bool { return now >= s.testAt+s.wait*int64(s.said(now).Suspecting) }

// shunned tells whether s is suspect or in a silent zone, and not to be tested now.
func (m *Mixer) shunned(now int64, s *searcher) bool {
	if !s.suspect && s.doubted(now) {
		return true // those who found out test it
	}
	return (s.suspect || s.zone.silent()) && (s.suspect && !s.due(now) || !m.mayTest(now))
}

// mayTest is the allowance for tests.
func (m *Mixer) mayTest(now int64) bool {
	return m.tests.Read(now, halfLife) < max(testFloor, testShare*m.sent.Read(now, halfLife))
}

// connect closes what lies idle to s where idle connections lose more than new ones. It guards against
// connections dropped unseen, which say nothing of the searcher. Where connecting fails, new ones lose more.
func (m *Mixer) connect(now int64, s *searcher) *DecayingRatio {
	line, share := &m.idle, m.anew.Read(now, lineHalf, 0, lean)
	if line.over.Read(now, lineHalf)-lineTimes*share*line.under.Read(now, lineHalf) >= lineLost {
		m.floor.CloseIdle(s.id)
		line = &m.anew
	}
	line.Add(now, 0, 1, lineHalf)
	return line
}

// miss counts a forward as lost on its connection and in its zone, the latter where others answer meanwhile.
// It guards against a zone lost, which a mixer with little traffic else meets searcher by searcher for long.
func (f *forward) miss(now int64) {
	if f.missed == 0 && f.line != nil {
		f.line.Add(now, 1, 0, lineHalf)
	}
	if z := f.s.zone; f.missed == 0 && z.heard <= f.sent && f.sent < f.part.l.m.heard {
		z.missed++
		f.part.l.m.stir()
	}
	f.missed = cmp.Or(f.missed, now)
}
