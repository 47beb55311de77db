package mixer

import "math"

// frac is the least share of its capacity a searcher has now.
func (m *Mixer) frac(now int64, s *searcher) float64 {
	if s.started == 0 || now-s.started >= m.c.ColdFor {
		return 1
	}
	return m.c.ColdFrom + (1-m.c.ColdFrom)*max(0, float64(now-s.started)/float64(m.c.ColdFor))
}

// coldWait is how long s must still be spared while cold. This mixer saves up for one part at a time, from a
// chance point of the way on: else every mixer has a first part for a newcomer at once.
func (m *Mixer) coldWait(now int64, s *searcher) int64 {
	if m.frac(now, s) == 1 {
		return 0
	}
	own, w := m.coldRate((s.creditAt+now)/2, s), s.word
	over := func(until int64) float64 { return float64(max(0, min(now, until)-s.creditAt)) }
	back := max(s.creditAt, min(now, max(m.held, w.AwayUntil))) // from when on its own share is not lent
	s.credit = min(1, s.credit+own*float64(now-back)+w.Lent*over(w.LentUntil))
	if s.creditAt = now; s.credit >= 1 {
		return 0
	}
	rate := m.coldRate(now, s)
	if now < w.LentUntil {
		rate += w.Lent
	}
	return int64(min(float64(s.started+m.c.ColdFor-now), (1-s.credit)/rate+float64(max(0, w.AwayUntil-now))))
}

// coldRate is how many parts per ns this mixer may send to s while cold. All mixers together may send what
// fills coldMargin of a window, which is frac of what a warm searcher bears, times the multiple. What many
// send is spread by chance, so they aim lower by coldSpread deviations; a few cannot exceed one part each.
func (m *Mixer) coldRate(now int64, s *searcher) float64 {
	rate, _ := m.coldShare(m.bears.Read(now, bearHalf), now, s)
	return rate
}

// coldShare gives that rate, and what of it and of its room for chance it is worth to a borrower: who lends
// sends nothing itself, so its one part saved up is free in each window, and a borrower's steady rate needs
// less room for chance.
func (m *Mixer) coldShare(bears float64, now int64, s *searcher) (rate, loan float64) {
	mixers, window := m.c.users(), float64(max(m.c.FallFor, ms))
	most := bears * mixers * m.frac(now, s) * m.c.FallMultiple * coldMargin * window
	spread := math.Sqrt(most+coldSpread*coldSpread/4) - coldSpread/2
	rate = max(spread*spread, min(most, mixers*math.Floor((most+1)/mixers))) / mixers / window
	return rate, max(rate, min(spread*(spread+lentSpread)/mixers/window, rate+1/window))
}

// measure learns this mixer's share of what a warm searcher bears: at least what warm ones answer it, and one
// part in the time that it takes, shared. Time is added against few answers of light parts; mixers err apart.
func (m *Mixer) measure(now int64) {
	n, sum, searchers := 0.0, 0.0, float64(max(1, len(m.searchers))) // none where the last answer is late
	each := m.borne.Read(now, halfLife) * math.Ln2 / float64(halfLife) / searchers
	for i := range m.rows { // all tariffs together: light parts alone would tell of a machine that bears more
		k, mean, _ := m.rows[i].Read(now, halfLife)
		n, sum = n+k, sum+k*max(mean, float64(ms))
	}
	rate := max(each*m.c.usage(), n/(sum+coldSpread*tookGuess*m.long/math.Sqrt(m.c.users()))/m.c.users())
	m.bears = DecayingSum{max(rate, m.bears.Read(now, bearHalf)), now} // as before a jam, they can bear it again
}
