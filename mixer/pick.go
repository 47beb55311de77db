package mixer

import "slices"

// pickForward selects the next forward by water-filling: the unanswered part and holder with the fewest
// calls in flight. Parts not yet sent precede retries; ties go by predicted latency, effort, then at random.
func (l *Lookup) pickForward(now int64, hedge bool, mean float64, late int64) (best *part, to *searcher) {
	m, left, step, home, at := l.mixer, float64(l.deadline-now), l.parts[l.stepStart:],
		l.mixer.zones[l.mixer.config.Zone], 0
	if hedge && !m.mayHedge(now, l, mean) {
		return nil, nil
	}
	var coldBest *searcher // a cold one that would be picked if it had credit
	least, coldBestKey := maxKey, pickKey{}
	m.keyBounds.begin(len(step), hedge, m.mayProbe(now)) // for the same arguments keys only rise within a review
	for i := m.keyBounds.first(&least); i >= 0; i = m.keyBounds.first(&least) {
		p, low := step[i], excludedKey
		exclusive, pendingSentAt := p.exclusiveForward(), p.newestPendingSentAt(now)
		// An exclusive forward is left to finish: its answer may be near, and cancelled work may still be done.
		if p.answered || !l.maySend(now, p) || pendingSentAt > 0 && (!hedge || pendingSentAt+late > now) ||
			exclusive != nil && !exclusive.cutOff() && left > lastChanceMeans*mean {
			m.keyBounds.set(i, excludedKey)
			continue
		}
		m.eachHolder(now, p, func(s *searcher) {
			if len(p.forwards) > 0 &&
				slices.ContainsFunc(p.forwards, func(f *forward) bool { return f.searcher == s }) {
				return
			}
			class, unit := 0, m.unitTime(now, s)
			if len(s.inFlight) > 0 { // at least what the oldest forward in flight has waited
				unit = max(unit, float64(now-s.inFlight[0].sentAt)/float64(s.inFlight[0].callsAtSend))
			}
			time, avoided := unit*float64(s.partsOut+1), m.avoided(now, s)
			if exclusive != nil && (avoided || time > recallLatencyShare*left) {
				return // no better than the searcher that has the part
			}
			if s.zone != home { // the price of crossing zones, weighed against time
				time *= 1 + crossZoneFactor*m.config.CrossPrice
			}
			if avoided {
				class = 1 // last resort
			} else if s.suspect {
				class = -1 // a probe, backed by a hedge at the next review
			}
			retry, tie := min(1, len(p.forwards)), s.tieBreak.draw(now, m.eventCount, m.rng)
			key := pickKey{rankOf(class, retry, s.callsOut), time, float64(p.Effort), tie}
			if key.less(&low) {
				low = key
			}
			if m.coldWait(now, s) > 0 {
				if coldBest == nil || key.less(&coldBestKey) {
					coldBest, coldBestKey = s, key
				}
			} else if key.less(&least) {
				best, to, least, at = p, s, key, i
			}
		})
		m.keyBounds.hide(i, low)
	}
	m.keyBounds.show()
	if coldBest != nil && coldBestKey.less(&least) {
		coldBest.coldDemand.Add(now, 1, loadHalfLife)
	}
	if best != nil {
		m.keyBounds.set(at, unknownKey)
	}
	return best, to
}

// eachHolder calls visit for every searcher that may serve a part, now or once its cold allowance permits.
func (m *Mixer) eachHolder(now int64, p *part, visit func(*searcher)) {
	for j := range m.config.Reach {
		for _, s := range m.cells[(p.Slice+j)%m.config.Cells] {
			if s.status == Live && (!s.suspect || s.probeDue(now) || len(s.inFlight) == 0) {
				visit(s)
			}
		}
	}
}

// newestPendingSentAt returns when the newest forward that may still be answered was sent, 0 if there is none.
func (p *part) newestPendingSentAt(now int64) (sent int64) {
	for _, f := range p.forwards {
		if !f.done && (f.recalled || f.sentAt == now) {
			return now // about to be resent, or just sent
		}
		if !f.done && !f.lost() {
			sent = max(sent, f.sentAt)
		}
	}
	return sent
}

// exclusiveForward returns the forward in flight that blocks others of the part where hedging is not allowed.
func (p *part) exclusiveForward() *forward {
	n := len(p.forwards) - 1
	if p.lookup.mixer.config.MayCopy || n < 0 || p.forwards[n].done {
		return nil
	}
	return p.forwards[n]
}

// mayHedge reports whether the hedge budget allows one more. It shrinks with latency: hedges feed overload.
func (m *Mixer) mayHedge(now int64, l *Lookup, mean float64) bool {
	ease := 1 - hedgeLoadFactor*mean/float64(l.tariff.Expected)
	return ease > 0 &&
		m.sentHedges.Read(now, loadHalfLife) <= maxHedgeShare*ease*m.sentForwards.Read(now, loadHalfLife)
}

// maySend reports whether a part may be forwarded, within the retry budget if it is a retry.
func (l *Lookup) maySend(now int64, p *part) bool {
	m, exhausted := l.mixer, l.exhausted(now, p)
	if len(p.forwards) == 0 || exhausted {
		return !exhausted
	}
	m.expireBudget(now)
	most := m.config.BudgetFree + m.config.BudgetShare*float64(len(m.budgetEarned))
	return (m.config.BudgetFor == 0 || float64(len(m.budgetSpent)+1) <= most) &&
		(m.config.MayCancel || p.exclusiveForward() == nil)
}

// exhausted reports whether a part may not be forwarded again: closed, out of attempts, or unsafe to repeat.
func (l *Lookup) exhausted(now int64, p *part) bool {
	unrepeatable := func(f *forward) bool {
		late := now-f.sentAt > l.tariff.RepeatFor-deadlineMargin
		return f.mayHaveRun() && (l.tariff.Effect == AtMostOnce || l.tariff.Effect == Deduplicated && late)
	}
	return p.closed || len(p.forwards) >= l.mixer.config.MaxForwards ||
		slices.ContainsFunc(p.forwards, unrepeatable)
}

// expireBudget drops what has left the window of the retry budget.
func (m *Mixer) expireBudget(now int64) {
	start := now - m.config.BudgetFor
	m.budgetEarned, m.budgetSpent = timesFrom(m.budgetEarned, start+1), timesFrom(m.budgetSpent, start)
}

// send records one forward, which review then hands to the environment.
func (l *Lookup) send(now int64, p *part, s *searcher) *forward {
	m := l.mixer
	f := p.newForward()
	*f = forward{part: p, searcher: s, processStart: s.started, sentAt: now}
	if s.newestCall == nil || s.newestCall.at != now || s.newestCall.size >= int64(m.config.PerCall) {
		s.newestCall = &call{at: now}
	}
	if s.suspect { // a probe on a connection that went silent would show nothing about the searcher
		m.env.CloseIdle(s.id)
	} else if s.callsOut == 0 {
		f.connLoss = m.chooseConnection(now, s)
	}
	if s.newestCall.left == 0 {
		s.callsOut++
	}
	s.newestCall.size++
	s.newestCall.left++
	s.partsOut++
	if len(p.forwards) > 0 {
		m.budgetSpent = append(m.budgetSpent, now)
	}
	s.coldCredit, s.lastForward = 0, now
	s.coldDemand.Add(now, 1, loadHalfLife)
	s.sentForwards.Add(now, 1, paceHalfLife)
	m.sentForwards.Add(now, 1, loadHalfLife)
	f.call, f.callsAtSend = s.newestCall, s.callsOut
	p.forwards, s.inFlight = append(p.forwards, f), append(s.inFlightBuffer(), f)
	if len(s.inFlight) > maxSkippableForwards {
		m.invalidateReviews()
	}
	return f
}
