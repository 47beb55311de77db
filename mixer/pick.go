package mixer

import "slices"

// pick water-fills one forward: of all parts not yet served and all their holders it takes the least
// count, and the count rises with the pick. Unasked parts come before repeats, equals are ordered by what
// is known beyond the count, and then by chance.
func (l *Lookup) pick(now int64, copy bool, mean float64, late int64) (best *part, to *searcher) {
	m, left, step, home, at := l.m, float64(l.end-now), l.parts[l.step:], l.m.zones[l.m.c.Zone], 0
	if copy && !m.mayCopy(now, l, mean) {
		return nil, nil
	}
	var want *searcher // want is cold and would be picked if it had credit
	least, wanted := bottom, key{}
	m.bounds.begin(len(step), copy, m.mayTest(now)) // else keys only rise from here on
	for i := m.bounds.first(&least); i >= 0; i = m.bounds.first(&least) {
		p, low := step[i], never
		bound, out := p.bound(), p.lastOut(now)
		// What is bound is left: its answer may be near, and what is withdrawn may be worked on all the same.
		if p.in || !l.maySend(now, p) || out > 0 && (!copy || out+late > now) ||
			bound != nil && !bound.cut() && left > lastChance*mean {
			m.bounds.set(i, never)
			continue
		}
		m.holders(now, p, func(s *searcher) {
			if len(p.forwards) > 0 && slices.ContainsFunc(p.forwards, func(f *forward) bool { return f.s == s }) {
				return
			}
			class, unit := 0, m.unit(now, s)
			if len(s.out) > 0 { // at least what the oldest out there has waited
				unit = max(unit, float64(now-s.out[0].sent)/float64(s.out[0].count))
			}
			time, shunned := unit*float64(s.parts+1), m.shunned(now, s)
			if bound != nil && (shunned || time > backTimes*left) {
				return // no better than where it is
			}
			if s.zone != home { // weighed against time by what crossing costs
				time *= 1 + crossing*m.c.CrossPrice
			}
			if shunned {
				class = 1 // nobody better holds it
			} else if s.suspect {
				class = -1 // the one test, backed by a copy as soon as the lookup is looked at again
			}
			asked, tie := min(1, len(p.forwards)), s.tie.draw(now, m.call, m.rng)
			key := key{rank(class, asked, s.calls), time, float64(p.Effort), tie}
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
		m.bounds.hide(i, low)
	}
	m.bounds.show()
	if want != nil && wanted.less(&least) {
		want.want.Add(now, 1, halfLife)
	}
	if best != nil {
		m.bounds.set(at, unseen)
	}
	return best, to
}

// holders goes through the searchers that may serve a part, now or when their cold allowance next does.
func (m *Mixer) holders(now int64, p *part, each func(*searcher)) {
	for j := range m.c.Reach {
		for _, s := range m.cells[(p.Slice+j)%m.c.Cells] {
			if s.status == Live && (!s.suspect || s.due(now) || len(s.out) == 0) {
				each(s)
			}
		}
	}
}

// lastOut gives when the newest forward that may still bring an answer was sent, 0 if there is none.
func (p *part) lastOut(now int64) (sent int64) {
	for _, f := range p.forwards {
		if !f.done && (f.recalled || f.sent == now) {
			return now // it goes out again at once, or just went
		}
		if !f.done && !f.lost() {
			sent = max(sent, f.sent)
		}
	}
	return sent
}

// bound gives what is out of a part where that keeps it from going elsewhere, as two may not be out at once.
func (p *part) bound() *forward {
	n := len(p.forwards) - 1
	if p.l.m.c.MayCopy || n < 0 || p.forwards[n].done {
		return nil
	}
	return p.forwards[n]
}

// mayCopy is the allowance for copies. It fades as forwards take more of the expected time, or jams are fed.
func (m *Mixer) mayCopy(now int64, l *Lookup, mean float64) bool {
	ease := 1 - copyEase*mean/float64(l.t.Expected)
	return ease > 0 && m.copies.Read(now, halfLife) <= copyShare*ease*m.sent.Read(now, halfLife)
}

func (l *Lookup) maySend(now int64, p *part) bool {
	m, barred := l.m, l.barred(now, p)
	if len(p.forwards) == 0 || barred {
		return !barred
	}
	m.slide(now)
	most := m.c.BudgetFree + m.c.BudgetShare*float64(len(m.taken))
	return (m.c.BudgetFor == 0 || float64(len(m.spent)+1) <= most) && (m.c.MayCancel || p.bound() == nil)
}

// barred tells whether no forward of a part is left, or none that the rules on effects allow.
func (l *Lookup) barred(now int64, p *part) bool {
	once := func(f *forward) bool {
		late := now-f.sent > l.t.RepeatFor-endMargin
		return f.mayRun() && (l.t.Effect == AtMostOnce || l.t.Effect == Deduplicated && late)
	}
	return p.over || len(p.forwards) >= l.m.c.MaxForwards || slices.ContainsFunc(p.forwards, once)
}

func (m *Mixer) slide(now int64) {
	start := now - m.c.BudgetFor
	m.taken, m.spent = from(m.taken, start+1), from(m.spent, start)
}

// send books one forward; review puts it out.
func (l *Lookup) send(now int64, p *part, s *searcher) *forward {
	m := l.m
	f := p.next()
	*f = forward{part: p, s: s, process: s.started, sent: now}
	if s.call == nil || s.call.at != now || s.call.size >= int64(m.c.PerCall) {
		s.call = &call{at: now}
	}
	if s.suspect { // on a connection that fell silent a test would tell nothing of its searcher
		m.floor.CloseIdle(s.id)
	} else if s.calls == 0 {
		f.line = m.connect(now, s)
	}
	if s.call.left == 0 {
		s.calls++
	}
	s.call.size++
	s.call.left++
	s.parts++
	if len(p.forwards) > 0 {
		m.spent = append(m.spent, now)
	}
	s.credit, s.sentAt = 0, now
	s.want.Add(now, 1, halfLife)
	s.sent.Add(now, 1, paceHalf)
	m.sent.Add(now, 1, halfLife)
	f.call, f.count = s.call, s.calls
	p.forwards, s.out = append(p.forwards, f), append(s.room(), f)
	if len(s.out) > calmMost {
		m.stir()
	}
	return f
}
