package mixer

import "slices"

// pick water-fills one forward: of all parts not yet served and all their holders it takes the least
// count, and the count rises with the pick. Unasked parts come before repeats, equals are ordered by what
// is known beyond the count, and then by chance.
func (l *Lookup) pickForward(now int64, copy bool, mean float64, late int64) (best *part, to *searcher) {
	m, left, step, home, at := l.mixer, float64(l.deadline-now), l.parts[l.stepStart:], l.mixer.zones[l.mixer.config.Zone], 0
	if copy && !m.mayHedge(now, l, mean) {
		return nil, nil
	}
	var want *searcher // want is cold and would be picked if it had credit
	least, wanted := maxKey, pickKey{}
	m.keyBounds.begin(len(step), copy, m.mayProbe(now)) // else keys only rise from here on
	for i := m.keyBounds.first(&least); i >= 0; i = m.keyBounds.first(&least) {
		p, low := step[i], excludedKey
		bound, out := p.exclusiveForward(), p.newestPending(now)
		// What is bound is left: its answer may be near, and what is withdrawn may be worked on all the same.
		if p.answered || !l.maySend(now, p) || out > 0 && (!copy || out+late > now) ||
			bound != nil && !bound.cutOff() && left > lastChanceMeans*mean {
			m.keyBounds.set(i, excludedKey)
			continue
		}
		m.eachHolder(now, p, func(s *searcher) {
			if len(p.forwards) > 0 && slices.ContainsFunc(p.forwards, func(f *forward) bool { return f.searcher == s }) {
				return
			}
			class, unit := 0, m.unitTime(now, s)
			if len(s.inFlight) > 0 { // at least what the oldest out there has waited
				unit = max(unit, float64(now-s.inFlight[0].sentAt)/float64(s.inFlight[0].callsAtSend))
			}
			time, shunned := unit*float64(s.partsOut+1), m.avoided(now, s)
			if bound != nil && (shunned || time > recallShare*left) {
				return // no better than where it is
			}
			if s.zone != home { // weighed against time by what crossing costs
				time *= 1 + crossZoneFactor*m.config.CrossPrice
			}
			if shunned {
				class = 1 // nobody better holds it
			} else if s.suspect {
				class = -1 // the one test, backed by a copy as soon as the lookup is looked at again
			}
			asked, tie := min(1, len(p.forwards)), s.tieBreak.draw(now, m.calls, m.rng)
			key := pickKey{rankOf(class, asked, s.callsOut), time, float64(p.Effort), tie}
			if key.less(&low) {
				low = key
			}
			if m.coldWait(now, s) > 0 {
				if want == nil || key.less(&wanted) {
					want, wanted = s, key
				}
			} else if key.less(&least) {
				best, to, least, at = p, s, key, i
			}
		})
		m.keyBounds.hide(i, low)
	}
	m.keyBounds.show()
	if want != nil && wanted.less(&least) {
		want.coldDemand.Add(now, 1, loadHalfLife)
	}
	if best != nil {
		m.keyBounds.set(at, unknownKey)
	}
	return best, to
}

// holders goes through the searchers that may serve a part, now or when their cold allowance next does.
func (m *Mixer) eachHolder(now int64, p *part, each func(*searcher)) {
	for j := range m.config.Reach {
		for _, s := range m.cells[(p.Slice+j)%m.config.Cells] {
			if s.status == Live && (!s.suspect || s.probeDue(now) || len(s.inFlight) == 0) {
				each(s)
			}
		}
	}
}

// lastOut gives when the newest forward that may still bring an answer was sent, 0 if there is none.
func (p *part) newestPending(now int64) (sent int64) {
	for _, f := range p.forwards {
		if !f.done && (f.recalled || f.sentAt == now) {
			return now // it goes out again at once, or just went
		}
		if !f.done && !f.lost() {
			sent = max(sent, f.sentAt)
		}
	}
	return sent
}

// bound gives what is out of a part where that keeps it from going elsewhere, as two may not be out at once.
func (p *part) exclusiveForward() *forward {
	n := len(p.forwards) - 1
	if p.lookup.mixer.config.MayCopy || n < 0 || p.forwards[n].done {
		return nil
	}
	return p.forwards[n]
}

// mayCopy is the allowance for copies. It fades as forwards take more of the expected time, or jams are fed.
func (m *Mixer) mayHedge(now int64, l *Lookup, mean float64) bool {
	ease := 1 - hedgeLoadFactor*mean/float64(l.tariff.Expected)
	return ease > 0 && m.sentHedges.Read(now, loadHalfLife) <= maxHedgeShare*ease*m.sentForwards.Read(now, loadHalfLife)
}

func (l *Lookup) maySend(now int64, p *part) bool {
	m, barred := l.mixer, l.exhausted(now, p)
	if len(p.forwards) == 0 || barred {
		return !barred
	}
	m.expireBudget(now)
	most := m.config.BudgetFree + m.config.BudgetShare*float64(len(m.budgetEarned))
	return (m.config.BudgetFor == 0 || float64(len(m.budgetSpent)+1) <= most) && (m.config.MayCancel || p.exclusiveForward() == nil)
}

// barred tells whether no forward of a part is left, or none that the rules on effects allow.
func (l *Lookup) exhausted(now int64, p *part) bool {
	once := func(f *forward) bool {
		late := now-f.sentAt > l.tariff.RepeatFor-deadlineMargin
		return f.mayHaveRun() && (l.tariff.Effect == AtMostOnce || l.tariff.Effect == Deduplicated && late)
	}
	return p.closed || len(p.forwards) >= l.mixer.config.MaxForwards || slices.ContainsFunc(p.forwards, once)
}

func (m *Mixer) expireBudget(now int64) {
	start := now - m.config.BudgetFor
	m.budgetEarned, m.budgetSpent = timesFrom(m.budgetEarned, start+1), timesFrom(m.budgetSpent, start)
}

// send books one forward; review puts it out.
func (l *Lookup) send(now int64, p *part, s *searcher) *forward {
	m := l.mixer
	f := p.newForward()
	*f = forward{part: p, searcher: s, processStart: s.started, sentAt: now}
	if s.newestCall == nil || s.newestCall.at != now || s.newestCall.size >= int64(m.config.PerCall) {
		s.newestCall = &call{at: now}
	}
	if s.suspect { // on a connection that fell silent a test would tell nothing of its searcher
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
	if len(s.inFlight) > maxQuietForwards {
		m.invalidateReviews()
	}
	return f
}
