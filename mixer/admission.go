package mixer

import (
	"math"
	"slices"
)

// StartLookup returns the handle of a new lookup. Nothing is forwarded until all parts of its step are added.
func (m *Mixer) StartLookup(now int64, r LookupRequest) *Lookup {
	t := &m.config.Tariffs[r.Tariff]
	m.expireBudget(now)
	m.budgetEarned = append(m.budgetEarned, now)
	m.customerLookups[r.Customer].Add(now, 1, loadHalfLife)
	firstTry := now
	if r.Again { // the expected time counts from the first try, at NotAfter - Patience
		firstTry = min(now, r.NotAfter-t.Patience)
	}
	deadline := min(r.NotAfter, firstTry+t.Expected) - deadlineMargin
	l := &Lookup{mixer: m, request: r, tariff: t, expectedParts: r.Parts, neededWeight: t.CompleteFrom,
		deadline: deadline, reviewEpoch: -1}
	l.parts = make([]*part, 0, min(r.Parts, maxSlabParts))
	l.scheduleReview(now, deadline) // ends the lookup even if parts never come or another timer is late
	return l
}

// AddPart adds one part of the current step.
func (l *Lookup) AddPart(now int64, r PartRequest) {
	l.mixer.budgetEarned = append(l.mixer.budgetEarned, now)
	if l.ended {
		return
	}
	l.parts = append(l.parts, l.partSlab.add(l, r))
	l.mixer.eventCount++
	if l.stepComplete = len(l.parts) >= l.expectedParts; !l.stepComplete {
		return
	}
	if l.stepStart == 0 && l.infeasible(now) {
		l.giveUp(now, 0)
	} else {
		l.review(now)
	}
}

// infeasible predicts a missed deadline, taking the weights of the parts as equal, with a sum of 1. In
// overload, even of a few slices, late work makes other work late.
func (l *Lookup) infeasible(now int64) bool {
	m := l.mixer
	times, fleet, fade := m.partTimes[:0], m.fleetUnitTime(now), m.fleetPace.DecaySinceUpdate(now, loadHalfLife)
	worth := 1.0
	if c := l.request.Customer; c > 0 { // decayed lookups; customers beyond their allowance are rejected first
		allowed := m.config.Allowances[c-1] / float64(m.config.Mixers) / 1e9 * float64(loadHalfLife) / math.Ln2
		over := (m.customerLookups[c].Read(now, loadHalfLife) + customerPriorLookups) /
			(allowed + customerPriorLookups)
		worth = m.config.OverWorth + (1-m.config.OverWorth)/max(1, over)
	}
	for _, p := range l.parts {
		least := math.Inf(1)
		m.eachHolder(now, p, func(s *searcher) {
			if !m.avoided(now, s) {
				// Old statistics fade, or they would reject the lookups that could show that overload is over.
				prior := fleet / s.size
				unit := prior*fade + (m.unitTime(now, s)-prior)*s.pace.DecaySinceUpdate(now, loadHalfLife)
				least = min(least, float64(m.coldWait(now, s))+unit*float64(s.callsOut+1))
			}
		})
		times = append(times, least)
	}
	m.partTimes = times
	slices.Sort(times)
	time := times[max(int(math.Ceil(l.neededWeight*float64(len(times))-epsilon)), 1)-1]
	if l.tariff.SecondStep > 0 {
		time *= twoStepFactor
	}
	return time > admissionShare*worth*float64(l.deadline-now)
}
