package mixer

import "cmp"

// What stands here spares reviews and decides nothing: without it each would go through all parts and find the same.

// calmMost is how many forwards out at a searcher, none of which has waited for over twice the usual time, cannot together have
// waited for so long that it is suspect.
const maxQuietForwards = int(suspectMeans / 2)

// stir has the next review of every lookup go through its parts.
func (m *Mixer) invalidateReviews() { m.epoch++ }

// rest notes, after a review, whether the next ones can find nothing to do until something has stirred or time has
// passed: all that is awaited went out at one time, each part once, to searchers with nothing against them.
func (l *Lookup) recordQuiet(now int64, onTime bool) {
	l.epoch, l.stepSentAt, l.oldestInFlight, l.answeredWeight = -1, 0, now, 0
	for _, p := range l.parts[l.stepStart:] {
		if p.answered {
			l.answeredWeight += p.Weight
		} else if len(p.forwards) > 0 {
			f := p.forwards[len(p.forwards)-1]
			l.stepSentAt, l.oldestInFlight = cmp.Or(l.stepSentAt, f.sentAt), min(l.oldestInFlight, f.searcher.oldestSentAt(f.sentAt))
			onTime = onTime && len(p.forwards) == 1 && !f.done && !f.recalled && !f.lost() && f.sentAt == l.stepSentAt &&
				f.searcher.unansweredWait == 0 && len(f.searcher.inFlight) <= maxQuietForwards
		}
	}
	if onTime && l.stepSentAt > 0 {
		l.epoch = l.mixer.epoch
	}
}

// calm tells whether a review can find nothing to do: nothing is late, and none of the searchers silent for too long, as
// calmMost forwards that have waited twice the usual time are not.
func (l *Lookup) canSkipReview(now int64, mean float64) bool {
	return l.epoch == l.mixer.epoch && now < l.deadline && l.answeredWeight < l.neededWeight-2*epsilon && float64(now-l.oldestInFlight) <= 2*mean-1
}
