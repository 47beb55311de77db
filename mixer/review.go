package mixer

import "slices"

// review is the one place where a lookup moves on: it answers, ends, forwards, and sets the next look.
func (l *Lookup) review(now int64) {
	m, step, in := l.mixer, l.parts[l.stepStart:], 0.0
	if l.ended || !l.stepComplete && now < l.deadline {
		return
	}
	mean, late := m.typicalLatency(now, l)
	if l.canSkipReview(now, mean) {
		l.scheduleReview(now, min(l.deadline, l.stepSentAt+late))
		return
	}
	for _, p := range step {
		if p.answered {
			in += p.Weight
		}
	}
	if l.stepComplete && in >= l.neededWeight-epsilon {
		l.answer(now)
		return
	}
	live, onTime, next, hope := in, in, l.deadline, in
	for _, p := range step {
		if p.answered {
			continue
		}
		m.checkSilence(now, p, mean)
		if slices.ContainsFunc(p.forwards, func(f *forward) bool { return !f.done }) || !l.exhausted(now, p) {
			hope += p.Weight
		}
		if sent := p.newestPending(now); sent > 0 {
			if live += p.Weight; sent+late > now {
				onTime += p.Weight
				next = min(next, sent+late)
			}
		}
	}
	if now >= l.deadline || hope < l.neededWeight-epsilon { // where enough parts have failed for good, others may still serve it
		l.giveUp(now, in)
		return
	}
	picks := m.picked[:0]
	m.keyBounds.reset()
	for onTime < l.neededWeight-epsilon {
		copy := live >= l.neededWeight-epsilon // all that is needed is out, but some of it is late
		p, to := l.pickForward(now, copy, mean, late)
		if p == nil {
			next = min(next, now+blockedPartDelay)
			break
		}
		if onTime += p.Weight; copy {
			m.sentHedges.Add(now, 1, loadHalfLife)
		} else {
			live += p.Weight
		}
		if f := p.exclusiveForward(); f != nil { // sent again when its withdrawal is in
			f.recalled = true
			m.env.Cancel(p.ID, len(p.forwards)-1)
		} else {
			picks = append(picks, l.send(now, p, to))
		}
	}
	for _, f := range picks {
		m.env.Forward(f.part.ID, f.searcher.id, l.deadline-now)
		next = min(next, now+late)
		test := f.searcher.suspect && !m.avoided(now, f.searcher) // no last resort: those would use up the tests
		if test || f.searcher.zone.silent() {
			m.sentProbes.Add(now, 1, loadHalfLife)
		}
		if f.searcher.suspect {
			next = now
			if test {
				m.markSuspect(now, f.searcher)
			}
		}
	}
	m.picked = picks
	l.scheduleReview(now, next)
	l.recordQuiet(now, onTime >= l.neededWeight-epsilon)
}

func (l *Lookup) scheduleReview(now, at int64) {
	if at = max(at, now+1); l.nextReview == 0 || at < l.nextReview {
		l.nextReview = at
		l.mixer.env.SetTimer(at-now, l)
	}
}

// Due looks at the lookup again.
func (l *Lookup) HandleTimer(now int64) {
	l.nextReview = 0
	l.mixer.calls++
	l.review(now)
}

// Gone is told that the client left.
func (l *Lookup) Abandon(now int64) { l.ended = true }

// Outcome is told how a forward of part i ended.
func (l *Lookup) HandleOutcome(now int64, i, copy int, o Outcome, took int64, over bool) {
	p := l.parts[i]
	f := p.forwards[copy]
	f.done, f.ran = true, !o.NeverRan()
	l.mixer.calls++
	l.mixer.recordOutcome(now, f, o, took)
	if o == Succeeded && !p.answered {
		l.answeredWeight += p.Weight
	} else {
		l.mixer.invalidateReviews()
	}
	p.answered, p.closed = p.answered || o == Succeeded, p.closed || over
	l.review(now)
}

// withdraw gives up what is still out of a lookup that ends: it would hold searchers' time that others need.
func (l *Lookup) cancelInFlight() {
	for _, p := range l.parts {
		for i, f := range p.forwards {
			if l.mixer.config.MayCancel && !f.done {
				l.mixer.env.Cancel(p.ID, i)
			}
		}
	}
}

// answer gives a whole answer. A second step's parts then come to the same handle.
func (l *Lookup) answer(now int64) {
	l.cancelInFlight()
	l.mixer.env.Answer(l.request.ID, true)
	if l.stepStart > 0 || l.tariff.SecondStep == 0 {
		l.ended = true
		return
	}
	l.stepStart, l.expectedParts, l.neededWeight, l.stepComplete, l.epoch = len(l.parts), len(l.parts), 1, false, -1
	for _, p := range l.parts {
		if p.answered && l.expectedParts < l.stepStart+l.tariff.SecondStep {
			l.expectedParts++
		}
	}
}

// giveUp ends a lookup at once with what honesty allows: an answer from the least share, a bounce where
// nothing may have run that must not run twice, else a failure.
func (l *Lookup) giveUp(now int64, in float64) {
	l.ended = true
	l.cancelInFlight()
	final := l.stepStart > 0 || l.tariff.SecondStep == 0 // any other answer would only start the second step
	if final && l.tariff.LeastShare < l.tariff.CompleteFrom && in >= l.tariff.LeastShare && l.tariff.Partial > 0 {
		l.mixer.env.Answer(l.request.ID, false)
		return
	}
	for _, p := range l.parts {
		if l.tariff.Effect != Idempotent && slices.ContainsFunc(p.forwards, (*forward).mayHaveRun) {
			l.mixer.env.Fail(l.request.ID)
			return
		}
	}
	wait := int64(0)
	if l.mixer.config.MayAdvise && now < l.deadline { // back while there is time, and not all at once
		wait = min(l.mixer.config.MaxAdvice, int64(retryAfterShare*float64(l.deadline-now)*(0.5+l.mixer.rng.Float64())))
	}
	l.mixer.env.Reject(l.request.ID, wait)
}
