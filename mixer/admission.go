package mixer

import (
	"math"
	"slices"
)

// Take takes a lookup. It is planned once its parts have come.
func (m *Mixer) StartLookup(now int64, a LookupRequest) *Lookup {
	t := &m.config.Tariffs[a.Tariff]
	m.expireBudget(now)
	m.budgetEarned = append(m.budgetEarned, now)
	m.customerLookups[a.Customer].Add(now, 1, loadHalfLife)
	asked := now
	if a.Again { // it has waited since its first try; NotAfter is what its patience leaves
		asked = min(now, a.NotAfter-t.Patience)
	}
	end := min(a.NotAfter, asked+t.Expected) - deadlineMargin
	l := &Lookup{mixer: m, request: a, tariff: t, expectedParts: a.Parts, neededWeight: t.CompleteFrom, deadline: end, epoch: -1}
	l.parts = make([]*part, 0, min(a.Parts, maxSlabParts))
	l.scheduleReview(now, end) // whatever else is lost, parts that never come or a late timer, this look ends it
	return l
}

// AddPart hands over one part of the step at hand.
func (l *Lookup) AddPart(now int64, p PartRequest) {
	l.mixer.budgetEarned = append(l.mixer.budgetEarned, now)
	if l.ended {
		return
	}
	l.parts = append(l.parts, l.partSlab.add(l, p))
	l.mixer.calls++
	if l.stepComplete = len(l.parts) >= l.expectedParts; !l.stepComplete {
		return
	}
	if l.stepStart == 0 && l.infeasible(now) {
		l.giveUp(now, 0)
	} else {
		l.review(now)
	}
}

// hopeless decides at taking if the lookup can still be satisfied. It guards against overload, of the fleet
// or of a few slices, whatever the cause: work that comes too late keeps other work from being in time.
func (l *Lookup) infeasible(now int64) bool {
	m := l.mixer
	times, fleet, fade := m.partTimes[:0], m.fleetUnitTime(now), m.fleetPace.DecaySinceUpdate(now, loadHalfLife)
	worth := 1.0
	if c := l.request.Customer; c > 0 { // who goes beyond its share is turned away first
		fair := m.config.Allowances[c-1] / float64(m.config.Mixers) / 1e9 * float64(loadHalfLife) / math.Ln2
		over := (m.customerLookups[c].Read(now, loadHalfLife) + customerPriorLookups) / (fair + customerPriorLookups)
		worth = m.config.OverWorth + (1-m.config.OverWorth)/max(1, over)
	}
	for _, p := range l.parts {
		least := math.Inf(1)
		m.eachHolder(now, p, func(s *searcher) {
			if !m.avoided(now, s) {
				// What was learnt long ago, of s or of all, must not keep away the lookups that would show it is over.
				on := fleet / s.size
				unit := on*fade + (m.unitTime(now, s)-on)*s.pace.DecaySinceUpdate(now, loadHalfLife)
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
