package mixer

import "slices"

// review is the one place where a lookup moves on: it answers, ends, forwards, and sets the next look.
func (l *Lookup) review(now int64) {
	m, step, in := l.m, l.parts[l.step:], 0.0
	if l.ended || !l.planned && now < l.end {
		return
	}
	mean, late := m.typical(now, l)
	if l.calm(now, mean) {
		l.rouse(now, min(l.end, l.sent+late))
		return
	}
	for _, p := range step {
		if p.in {
			in += p.Weight
		}
	}
	if l.planned && in >= l.need-tiny {
		l.answer(now)
		return
	}
	live, onTime, next, hope := in, in, l.end, in
	for _, p := range step {
		if p.in {
			continue
		}
		m.hearken(now, p, mean)
		if slices.ContainsFunc(p.forwards, func(f *forward) bool { return !f.done }) || !l.barred(now, p) {
			hope += p.Weight
		}
		if sent := p.lastOut(now); sent > 0 {
			if live += p.Weight; sent+late > now {
				onTime += p.Weight
				next = min(next, sent+late)
			}
		}
	}
	if now >= l.end || hope < l.need-tiny { // where enough parts have failed for good, others may still serve it
		l.giveUp(now, in)
		return
	}
	picks := m.picks[:0]
	m.bounds.end()
	for onTime < l.need-tiny {
		copy := live >= l.need-tiny // all that is needed is out, but some of it is late
		p, to := l.pick(now, copy, mean, late)
		if p == nil {
			next = min(next, now+lookAgain)
			break
		}
		if onTime += p.Weight; copy {
			m.copies.Add(now, 1, halfLife)
		} else {
			live += p.Weight
		}
		if f := p.bound(); f != nil { // sent again when its withdrawal is in
			f.recalled = true
			m.floor.Cancel(p.ID, len(p.forwards)-1)
		} else {
			picks = append(picks, l.send(now, p, to))
		}
	}
	for _, f := range picks {
		m.floor.Forward(f.part.ID, f.s.id, l.end-now)
		next = min(next, now+late)
		test := f.s.suspect && !m.shunned(now, f.s) // no last resort: those would use up the tests
		if test || f.s.zone.silent() {
			m.tests.Add(now, 1, halfLife)
		}
		if f.s.suspect {
			next = now
			if test {
				m.distrust(now, f.s)
			}
		}
	}
	m.picks = picks
	l.rouse(now, next)
	l.rest(now, onTime >= l.need-tiny)
}

func (l *Lookup) rouse(now, at int64) {
	if at = max(at, now+1); l.wake == 0 || at < l.wake {
		l.wake = at
		l.m.floor.SetTimer(at-now, l)
	}
}

// Due looks at the lookup again.
func (l *Lookup) HandleTimer(now int64) {
	l.wake = 0
	l.m.call++
	l.review(now)
}

// Gone is told that the client left.
func (l *Lookup) Abandon(now int64) { l.ended = true }

// Outcome is told how a forward of part i ended.
func (l *Lookup) HandleOutcome(now int64, i, copy int, o Outcome, took int64, over bool) {
	p := l.parts[i]
	f := p.forwards[copy]
	f.done, f.ran = true, !o.NeverRan()
	l.m.call++
	l.m.settle(now, f, o, took)
	if o == Succeeded && !p.in {
		l.in += p.Weight
	} else {
		l.m.stir()
	}
	p.in, p.over = p.in || o == Succeeded, p.over || over
	l.review(now)
}

// withdraw gives up what is still out of a lookup that ends: it would hold searchers' time that others need.
func (l *Lookup) withdraw() {
	for _, p := range l.parts {
		for i, f := range p.forwards {
			if l.m.c.MayCancel && !f.done {
				l.m.floor.Cancel(p.ID, i)
			}
		}
	}
}

// answer gives a whole answer. A second step's parts then come to the same handle.
func (l *Lookup) answer(now int64) {
	l.withdraw()
	l.m.floor.Answer(l.ask.ID, true)
	if l.step > 0 || l.t.SecondStep == 0 {
		l.ended = true
		return
	}
	l.step, l.expect, l.need, l.planned, l.epoch = len(l.parts), len(l.parts), 1, false, -1
	for _, p := range l.parts {
		if p.in && l.expect < l.step+l.t.SecondStep {
			l.expect++
		}
	}
}

// giveUp ends a lookup at once with what honesty allows: an answer from the least share, a bounce where
// nothing may have run that must not run twice, else a failure.
func (l *Lookup) giveUp(now int64, in float64) {
	l.ended = true
	l.withdraw()
	final := l.step > 0 || l.t.SecondStep == 0 // any other answer would only start the second step
	if final && l.t.LeastShare < l.t.CompleteFrom && in >= l.t.LeastShare && l.t.Partial > 0 {
		l.m.floor.Answer(l.ask.ID, false)
		return
	}
	for _, p := range l.parts {
		if l.t.Effect != Idempotent && slices.ContainsFunc(p.forwards, (*forward).mayRun) {
			l.m.floor.Fail(l.ask.ID)
			return
		}
	}
	wait := int64(0)
	if l.m.c.MayAdvise && now < l.end { // back while there is time, and not all at once
		wait = min(l.m.c.MaxAdvice, int64(adviceShare*float64(l.end-now)*(0.5+l.m.rng.Float64())))
	}
	l.m.floor.Reject(l.ask.ID, wait)
}
