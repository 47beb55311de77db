package mixer

import "slices"

// review is the single place where a lookup advances: it answers, ends, forwards, and sets the next review.
func (l *Lookup) review(now int64) {
	m, step, answered := l.mixer, l.parts[l.stepStart:], 0.0
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
			answered += p.Weight
		}
	}
	if l.stepComplete && answered >= l.neededWeight-epsilon {
		l.answer(now)
		return
	}
	// Weights of parts answered or pending, of those not late among them, and of those that may yet succeed.
	live, onTime, next, possible := answered, answered, l.deadline, answered
	for _, p := range step {
		if p.answered {
			continue
		}
		m.checkSilence(now, p, mean)
		if slices.ContainsFunc(p.forwards, func(f *forward) bool { return !f.done }) || !l.exhausted(now, p) {
			possible += p.Weight
		}
		if sent := p.newestPendingSentAt(now); sent > 0 {
			if live += p.Weight; sent+late > now {
				onTime += p.Weight
				next = min(next, sent+late)
			}
		}
	}
	if now >= l.deadline || possible < l.neededWeight-epsilon { // end early: another mixer may serve the client
		l.giveUp(now, answered)
		return
	}
	picked := m.picked[:0]
	m.keyBounds.reset()
	for onTime < l.neededWeight-epsilon {
		hedge := live >= l.neededWeight-epsilon // enough parts are pending, but some of them are late
		p, to := l.pickForward(now, hedge, mean, late)
		if p == nil {
			next = min(next, now+blockedPartDelay)
			break
		}
		if onTime += p.Weight; hedge {
			m.sentHedges.Add(now, 1, loadHalfLife)
		} else {
			live += p.Weight
		}
		if f := p.exclusiveForward(); f != nil { // resent once its cancellation is confirmed
			f.recalled = true
			m.env.Cancel(p.ID, len(p.forwards)-1)
		} else {
			picked = append(picked, l.send(now, p, to))
		}
	}
	for _, f := range picked {
		m.env.Forward(f.part.ID, f.searcher.id, l.deadline-now)
		next = min(next, now+late)
		probe := f.searcher.suspect && !m.avoided(now, f.searcher) // a last resort must not use up probes
		if probe || f.searcher.zone.silent() {
			m.sentProbes.Add(now, 1, loadHalfLife)
		}
		if f.searcher.suspect {
			next = now
			if probe {
				m.markSuspect(now, f.searcher)
			}
		}
	}
	m.picked = picked
	l.scheduleReview(now, next)
	l.recordSkippable(now, onTime >= l.neededWeight-epsilon)
}

// scheduleReview sets a timer for a review at the given time unless one is set for an earlier time.
func (l *Lookup) scheduleReview(now, at int64) {
	if at = max(at, now+1); l.nextReview == 0 || at < l.nextReview {
		l.nextReview = at
		l.mixer.env.SetTimer(at-now, l)
	}
}

// HandleTimer reviews the lookup.
func (l *Lookup) HandleTimer(now int64) {
	l.nextReview = 0
	l.mixer.eventCount++
	l.review(now)
}

// Abandon ends a lookup whose client has left.
func (l *Lookup) Abandon(now int64) { l.ended = true }

// HandleOutcome records how forward n of part i ended, after took ns. With closed, part i is not retried.
func (l *Lookup) HandleOutcome(now int64, i, n int, o Outcome, took int64, closed bool) {
	p := l.parts[i]
	f := p.forwards[n]
	f.done, f.ran = true, !o.NeverRan()
	l.mixer.eventCount++
	l.mixer.recordOutcome(now, f, o, took)
	if o == Succeeded && !p.answered {
		l.answeredWeight += p.Weight
	} else {
		l.mixer.invalidateReviews()
	}
	p.answered, p.closed = p.answered || o == Succeeded, p.closed || closed
	l.review(now)
}

// cancelInFlight cancels the forwards in flight of a lookup that ends: they would take capacity from others.
func (l *Lookup) cancelInFlight() {
	for _, p := range l.parts {
		for i, f := range p.forwards {
			if l.mixer.config.MayCancel && !f.done {
				l.mixer.env.Cancel(p.ID, i)
			}
		}
	}
}

// answer sends a complete answer. The parts of a second step are then added to the same handle.
func (l *Lookup) answer(now int64) {
	l.cancelInFlight()
	l.mixer.env.Answer(l.request.ID, true)
	if l.stepStart > 0 || l.tariff.SecondStep == 0 {
		l.ended = true
		return
	}
	l.stepStart, l.expectedParts, l.neededWeight, l.stepComplete, l.reviewEpoch =
		len(l.parts), len(l.parts), 1, false, -1
	for _, p := range l.parts { // the client adds one part per answered part, at most SecondStep
		if p.answered && l.expectedParts < l.stepStart+l.tariff.SecondStep {
			l.expectedParts++
		}
	}
}

// giveUp ends a lookup with a partial answer, a failure if an unrepeatable part may have run, or a rejection.
func (l *Lookup) giveUp(now int64, answered float64) {
	l.ended = true
	l.cancelInFlight()
	final := l.stepStart > 0 || l.tariff.SecondStep == 0 // any other answer would only start the second step
	if final && l.tariff.LeastShare < l.tariff.CompleteFrom &&
		answered >= l.tariff.LeastShare && l.tariff.Partial > 0 {
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
	if l.mixer.config.MayAdvise && now < l.deadline { // retry within the deadline, with jitter
		wait = min(l.mixer.config.MaxAdvice,
			int64(retryAfterShare*float64(l.deadline-now)*(0.5+l.mixer.rng.Float64())))
	}
	l.mixer.env.Reject(l.request.ID, wait)
}
