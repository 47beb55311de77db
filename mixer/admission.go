package mixer

import (
	"math"
	"slices"
)

// Take takes a lookup. It is planned once its parts have come.
func (m *Mixer) StartLookup(now int64, a LookupRequest) *Lookup {
	t := &m.c.Tariffs[a.Tariff]
	m.slide(now)
	m.taken = append(m.taken, now)
	m.customers[a.Customer].Add(now, 1, halfLife)
	asked := now
	if a.Again { // it has waited since its first try; NotAfter is what its patience leaves
		asked = min(now, a.NotAfter-t.Patience)
	}
	end := min(a.NotAfter, asked+t.Expected) - endMargin
	l := &Lookup{m: m, ask: a, t: t, expect: a.Parts, need: t.CompleteFrom, end: end, epoch: -1}
	l.parts = make([]*part, 0, min(a.Parts, slabMost))
	l.rouse(now, end) // whatever else is lost, parts that never come or a late timer, this look ends it
	return l
}

// AddPart hands over one part of the step at hand.
func (l *Lookup) AddPart(now int64, p PartRequest) {
	l.m.taken = append(l.m.taken, now)
	if l.ended {
		return
	}
	l.parts = append(l.parts, l.slab.add(l, p))
	l.m.call++
	if l.planned = len(l.parts) >= l.expect; !l.planned {
		return
	}
	if l.step == 0 && l.hopeless(now) {
		l.giveUp(now, 0)
	} else {
		l.review(now)
	}
}

// hopeless decides at taking if the lookup can still be satisfied. It guards against overload, of the fleet
// or of a few slices, whatever the cause: work that comes too late keeps other work from being in time.
func (l *Lookup) hopeless(now int64) bool {
	m := l.m
	times, fleet, fade := m.times[:0], m.fleet(now), m.pace.Fade(now, halfLife)
	worth := 1.0
	if c := l.ask.Customer; c > 0 { // who goes beyond its share is turned away first
		fair := m.c.Allowances[c-1] / float64(m.c.Mixers) / 1e9 * float64(halfLife) / math.Ln2
		over := (m.customers[c].Read(now, halfLife) + shareLean) / (fair + shareLean)
		worth = m.c.OverWorth + (1-m.c.OverWorth)/max(1, over)
	}
	for _, p := range l.parts {
		least := math.Inf(1)
		m.holders(now, p, func(s *searcher) {
			if !m.shunned(now, s) {
				// What was learnt long ago, of s or of all, must not keep away the lookups that would show it is over.
				on := fleet / s.size
				unit := on*fade + (m.unit(now, s)-on)*s.pace.Fade(now, halfLife)
				least = min(least, float64(m.coldWait(now, s))+unit*float64(s.calls+1))
			}
		})
		times = append(times, least)
	}
	m.times = times
	slices.Sort(times)
	time := times[max(int(math.Ceil(l.need*float64(len(times))-tiny)), 1)-1]
	if l.t.SecondStep > 0 {
		time *= secondStep
	}
	return time > room*worth*float64(l.end-now)
}
