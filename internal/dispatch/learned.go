package dispatch

import (
	"math"

	"nettlefold/internal/trial"
)

// learned is what is learned of the engines of a service. Its figures come from the answers of those that had nothing else to do, as far as
// could be told. Work that nobody here knew of only ever makes an answer later: so the time before the reading is a low quantile, and the
// tokens a ms are a high one.
type learned struct {
	tokensPerMS   float64
	baseMS        float64 // until the first token of a prompt of which nothing is read, 0 if not known yet
	unseenMS      float64 // that answers come later than expected, moving mean: what others sent that had not been told
	fetchOverMS   float64 // the same of answers that had a fetch before them
	sharedMean    float64 // tokens that prompts share with others, moving mean
	displacedMean float64 // of them those that nobody keeps any more
	speeds        int     // answers that told the speed
	bases         int     // answers that told what comes before the reading
	meanReadMS    float64 // that prompts are read for, moving mean
}

// take takes how long a prompt took of which so many tokens were kept.
func (l *learned) take(kept, prompt int, ms float64) {
	read := float64(prompt - kept)
	if read < learnBaseBelow {
		l.bases++
		l.baseMS = towards(l.baseMS, math.Max(ms-readMS(kept, prompt, l.tokensPerMS), learnLeastMS), 1-learnQuantile, stepOf(l.bases))
		return
	}
	if l.baseMS == 0 || read < learnSpeedAbove {
		return
	}
	left := ms - l.baseMS - attention(kept, prompt)
	l.speeds++
	// What was kept there unknown to anybody seems to be read at any speed.
	seen := math.Min(read/math.Max(left, learnLeastMS), learnMostFactor*l.tokensPerMS)
	l.tokensPerMS = towards(l.tokensPerMS, seen, learnQuantile, stepOf(l.speeds))
}

// meanRead takes the reading time of another prompt, and gives the mean with it.
func (l *learned) meanRead(readMS float64) float64 {
	l.meanReadMS = mean(l.meanReadMS, readMS)
	return l.meanReadMS
}

// compare takes how much an answer took beyond what was expected of it.
func (l *learned) compare(expected, ms float64) {
	l.unseenMS += meanWeight * (min(max(0, ms-expected-l.baseMS), unseenMost) - l.unseenMS)
}

// compareFetch takes how much an answer took beyond what was expected of it and its fetch.
func (l *learned) compareFetch(expected, ms float64) {
	l.fetchOverMS += meanWeight * (min(max(0, ms-expected-l.baseMS), fetchOverMost) - l.fetchOverMS)
}

// linkWait is what a fetch waits for moves that nobody told of: those of other mixers in the last moments, those from the same holder, and saves.
// It is what answers with a fetch take beyond what is expected of them, less what others do.
func (l *learned) linkWait() float64 {
	if trial.Off(trial.LinkWait) {
		return 0
	}
	return max(0, l.fetchOverMS-l.unseenMS)
}

// lookedFor takes how many tokens of a prompt others may share, and how many of them nobody keeps any more, as they were displaced.
func (l *learned) lookedFor(shared, displaced int) {
	l.sharedMean += missWeight * (float64(shared) - l.sharedMean)
	l.displacedMean += missWeight * (float64(displaced) - l.displacedMean)
}

// displacedShare is the share of shared tokens that are asked for after they were displaced: how short the engines' memory is.
func (l *learned) displacedShare() float64 {
	if l.sharedMean <= 0 {
		return 0
	}
	return l.displacedMean / l.sharedMean
}

// copyPrice is what a second copy of so many tokens costs, in ms: it displaces others, which are read again as far as they are asked for.
func (l *learned) copyPrice(tokens int) float64 {
	if trial.Off(trial.CopyPrice) {
		return 0
	}
	read := rereadWeight() * float64(tokens) / l.tokensPerMS
	return trial.Scale(trial.CopyCost) * min(1, displacedFactor*l.displacedShare()) * read
}

// stepOf is how far the n-th answer moves an estimate: the first ones further.
func stepOf(n int) float64 { return max(learnStep, 1/float64(n)) }

// towards moves an estimate of a quantile by a step towards a value that was seen.
func towards(estimate, seen, quantile, step float64) float64 {
	switch {
	case estimate == 0:
		return seen
	case seen > estimate:
		return math.Min(seen, estimate+step*quantile*seen)
	}
	return math.Max(seen, estimate*(1-step*(1-quantile)))
}
