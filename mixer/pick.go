package mixer

import "slices"

// pick water-fills one forward: of all parts not yet served and all their holders it takes the least
// count, and the count rises with the pick. Unasked parts come before repeats, equals are ordered by what
// is known beyond the count, and then by chance.
func (l *Lookup) pick(now int64, copy bool) (best *part, to *searcher) {
	m, left := l.m, float64(l.end-now)
	if copy && !m.mayCopy(now, l) {
		return nil, nil
	}
	mean, _ := m.typical(now, l)
	var want *searcher // want is cold and would be picked if it had credit
	var least, wanted [5]float64
	for _, p := range l.parts[l.step:] {
		if p.in || !l.maySend(now, p) {
			continue
		}
		if out := p.lastOut(now); out > 0 && (!copy || l.lateAt(now, out) > now) {
			continue
		}
		bound := p.bound()
		if bound != nil && !bound.cut() && left > lastChance*mean {
			continue // its answer may be near, and what is withdrawn may be worked on all the same
		}
		m.holders(now, p, func(s *searcher) {
			if slices.ContainsFunc(p.forwards, func(f *forward) bool { return f.s == s }) {
				return
			}
			key := [5]float64{1: float64(min(1, len(p.forwards))), 2: float64(s.calls), 4: float64(p.Effort)}
			unit := m.unit(now, s)
			if len(s.out) > 0 { // at least what the oldest out there has waited
				unit = max(unit, float64(now-s.out[0].sent)/float64(s.out[0].count))
			}
			key[3] = unit * float64(s.parts+1)
			if bound != nil && (m.shunned(now, s) || key[3] > backTimes*left) {
				return // no better than where it is
			}
			if s.zone != m.zones[m.c.Zone] { // weighed against time by what crossing costs
				key[3] *= 1 + crossing*m.c.CrossPrice
			}
			if m.shunned(now, s) {
				key[0] = 1 // nobody better holds it
			} else if s.suspect {
				key[0] = -1 // the one test, backed by a copy as soon as the lookup is looked at again
			}
			if m.coldWait(now, s) > 0 {
				if want == nil || slices.Compare(key[:], wanted[:]) < 0 {
					want, wanted = s, key
				}
			} else if c := slices.Compare(key[:], least[:]); best == nil || c < 0 || c == 0 && m.rng.Intn(2) == 0 {
				best, to, least = p, s, key
			}
		})
	}
	if want != nil && (best == nil || slices.Compare(wanted[:], least[:]) < 0) {
		want.want.Add(now, 1, halfLife)
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

// lateAt gives when a forward sent at a time is late against what the tariff's forwards lately took.
func (l *Lookup) lateAt(now, sent int64) int64 {
	mean, dev := l.m.typical(now, l)
	return sent + int64(mean+lateSpread*max(dev, mean/4))
}

// mayCopy is the allowance for copies. It fades as forwards take more of the expected time, or jams are fed.
func (m *Mixer) mayCopy(now int64, l *Lookup) bool {
	mean, _ := m.typical(now, l)
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
		return f.mayRun() && (l.t.Effect == OnceOnly || l.t.Effect == Tagged && late)
	}
	return p.over || len(p.forwards) >= l.m.c.MaxForwards || slices.ContainsFunc(p.forwards, once)
}

func (m *Mixer) slide(now int64) {
	from := now - m.c.BudgetFor
	m.taken = slices.DeleteFunc(m.taken, func(t int64) bool { return t <= from })
	m.spent = slices.DeleteFunc(m.spent, func(t int64) bool { return t < from })
}

// send books one forward; review puts it out.
func (l *Lookup) send(now int64, p *part, s *searcher) *forward {
	m := l.m
	if s.call == nil || s.call.at != now || s.call.size >= int64(m.c.PerCall) {
		s.call = &call{at: now}
	}
	var line *Ratio
	if s.suspect { // on a connection that fell silent a test would tell nothing of its searcher
		m.floor.CloseIdle(s.id)
	} else if s.calls == 0 {
		line = m.connect(now, s)
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
	f := &forward{part: p, s: s, call: s.call, count: s.calls, process: s.started, sent: now, line: line}
	p.forwards = append(p.forwards, f)
	s.out = append(s.out, f)
	return f
}
