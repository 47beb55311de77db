package mixer

import "cmp"

// What stands here spares reviews and decides nothing: without it each would go through all parts and find the same.

// calmMost is how many forwards out at a searcher, none of which has waited for over twice the usual time, cannot together have
// waited for so long that it is suspect.
const calmMost = int(silentTimes / 2)

// stir has the next review of every lookup go through its parts.
func (m *Mixer) stir() { m.epoch++ }

// rest notes, after a review, whether the next ones can find nothing to do until something has stirred or time has
// passed: all that is awaited went out at one time, each part once, to searchers with nothing against them.
func (l *Lookup) rest(now int64, onTime bool) {
	l.epoch, l.sent, l.oldest, l.in = -1, 0, now, 0
	for _, p := range l.parts[l.step:] {
		if p.in {
			l.in += p.Weight
		} else if len(p.forwards) > 0 {
			f := p.forwards[len(p.forwards)-1]
			l.sent, l.oldest = cmp.Or(l.sent, f.sent), min(l.oldest, f.s.oldest(f.sent))
			onTime = onTime && len(p.forwards) == 1 && !f.done && !f.recalled && !f.lost() && f.sent == l.sent &&
				f.s.unheard == 0 && len(f.s.out) <= calmMost
		}
	}
	if onTime && l.sent > 0 {
		l.epoch = l.m.epoch
	}
}

// calm tells whether a review can find nothing to do: nothing is late, and none of the searchers silent for too long, as
// calmMost forwards that have waited twice the usual time are not.
func (l *Lookup) calm(now int64, mean float64) bool {
	return l.epoch == l.m.epoch && now < l.end && l.in < l.need-2*tiny && float64(now-l.oldest) <= 2*mean-1
}
