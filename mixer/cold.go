package mixer

import "math"

// capacityShare returns the least share of its capacity that a searcher has now; it is cold while below 1.
func (m *Mixer) capacityShare(now int64, s *searcher) float64 {
	if s.started == 0 || now-s.started >= m.config.ColdFor {
		return 1
	}
	return m.config.ColdFrom + (1-m.config.ColdFrom)*max(0, float64(now-s.started)/float64(m.config.ColdFor))
}

// coldWait returns how long cold s gets no part. Credit, up to 1, starts at random or all would send at once.
func (m *Mixer) coldWait(now int64, s *searcher) int64 {
	if m.capacityShare(now, s) == 1 {
		return 0
	}
	own, r := m.coldRate((s.coldCreditAt+now)/2, s), s.report
	elapsed := func(until int64) float64 { return float64(max(0, min(now, until)-s.coldCreditAt)) }
	lentOutUntil := max(s.coldCreditAt, min(now, max(m.coldHeldUntil, r.AwayUntil))) // no own credit until then
	s.coldCredit = min(1, s.coldCredit+own*float64(now-lentOutUntil)+r.Lent*elapsed(r.LentUntil))
	if s.coldCreditAt = now; s.coldCredit >= 1 {
		return 0
	}
	rate := m.coldRate(now, s)
	if now < r.LentUntil {
		rate += r.Lent
	}
	return int64(min(float64(s.started+m.config.ColdFor-now),
		(1-s.coldCredit)/rate+float64(max(0, r.AwayUntil-now))))
}

// coldRate returns how many parts per ns this mixer may send to s while cold. All mixers together may send
// most = coldMargin * FallMultiple * capacity share * warm rate * window. The sum varies by chance: the mean
// solves mean + coldDeviations*sqrt(mean) = most. Few mixers, off by at most a part each, may aim at most.
func (m *Mixer) coldRate(now int64, s *searcher) float64 {
	rate, _ := m.coldRates(m.warmRate.Read(now, warmRateHalfLife), now, s)
	return rate
}

// coldRates returns the cold rate and the rate that a borrower may send instead. That is higher: the lender
// sends nothing, so its credit of one part per window is unused, and a steady rate needs less margin.
func (m *Mixer) coldRates(warmRate float64, now int64, s *searcher) (rate, loan float64) {
	mixers, window := m.config.coldUsers(), float64(max(m.config.FallFor, ms))
	most := warmRate * mixers * m.capacityShare(now, s) * m.config.FallMultiple * coldMargin * window
	rootMean := math.Sqrt(most+coldDeviations*coldDeviations/4) - coldDeviations/2
	rate = max(rootMean*rootMean, min(most, mixers*math.Floor((most+1)/mixers))) / mixers / window
	return rate, max(rate, min(rootMean*(rootMean+loanDeviations)/mixers/window, rate+1/window))
}

// updateWarmRate estimates this mixer's share of a warm searcher's throughput: the larger of the rate at
// which warm ones answer it and of one part per mean latency, divided among the mixers. That latency includes
// a prior so that a few light parts do not inflate the rate; the mixers' errors are independent.
func (m *Mixer) updateWarmRate(now int64) {
	n, sum, searchers := 0.0, 0.0, float64(max(1, len(m.searchers))) // the list may be empty by now
	each := m.warmAnswers.Read(now, loadHalfLife) * math.Ln2 / float64(loadHalfLife) / searchers
	for i := range m.latencies { // all tariffs together: light parts alone would show too high a rate
		k, mean, _ := m.latencies[i].Read(now, loadHalfLife)
		n, sum = n+k, sum+k*max(mean, float64(ms))
	}
	rate := max(each*m.config.answerShare(),
		n/(sum+coldDeviations*initialLatencyShare*m.longestExpected/math.Sqrt(m.config.coldUsers()))/
			m.config.coldUsers())
	// The estimate falls only by decay: after overload the searchers are as fast as before.
	m.warmRate = DecayingSum{max(rate, m.warmRate.Read(now, warmRateHalfLife)), now}
}
