package mixer

import "cmp"

// Skipping reviews only saves work: a full review of all parts would find the same.

// maxSkippableForwards is the number of forwards in flight at a searcher that cannot make it suspect as
// long as none of them has waited for more than twice the mean latency.
const maxSkippableForwards = int(suspectMeans / 2)

// invalidateReviews makes the next review of every lookup a full one.
func (m *Mixer) invalidateReviews() { m.reviewEpoch++ }

// recordSkippable records, after a review, whether later ones can be skipped until reviews are
// invalidated or time has passed: all pending parts were sent at one time, each once, to healthy
// searchers.
func (l *Lookup) recordSkippable(now int64, onTime bool) {
	l.reviewEpoch, l.stepSentAt, l.oldestInFlight, l.answeredWeight = -1, 0, now, 0
	for _, p := range l.parts[l.stepStart:] {
		if p.answered {
			l.answeredWeight += p.Weight
		} else if len(p.forwards) > 0 {
			f := p.forwards[len(p.forwards)-1]
			l.stepSentAt, l.oldestInFlight = cmp.Or(l.stepSentAt, f.sentAt),
				min(l.oldestInFlight, f.searcher.oldestSentAt(f.sentAt))
			onTime = onTime && len(p.forwards) == 1 && !f.done && !f.recalled && !f.lost() &&
				f.sentAt == l.stepSentAt && f.searcher.unansweredWait == 0 && len(f.searcher.inFlight) <= maxSkippableForwards
		}
	}
	if onTime && l.stepSentAt > 0 {
		l.reviewEpoch = l.mixer.reviewEpoch
	}
}

// canSkipReview reports whether a review has nothing to do: no part is late, and no searcher can be
// suspect, as at most maxSkippableForwards are in flight there, none for more than twice the mean
// latency.
func (l *Lookup) canSkipReview(now int64, mean float64) bool {
	return l.reviewEpoch == l.mixer.reviewEpoch && now < l.deadline && l.answeredWeight < l.neededWeight-2*epsilon &&
		float64(now-l.oldestInFlight) <= 2*mean-1
}
