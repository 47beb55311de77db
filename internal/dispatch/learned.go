package dispatch

import (
	"math"

	"nettlefold/internal/trial"
)

// learned is what is learned of the engines of a service. Its figures come from the answers of those that had nothing else to do, as far as
// could be told. Work that nobody here knew of only ever makes an answer later: so the time before the reading is a low quantile, and the
// tokens a ms are a high one.
type engineEstimates struct {
	tokensPerMS            float64
	baseMS                 float64 // until the first token of a prompt of which nothing is read, 0 if not known yet
	unexpectedDelayMS      float64 // that answers come later than expected, moving mean: what others sent that had not been told
	unexpectedFetchDelayMS float64 // the same of answers that had a fetch before them
	meanSharedTokens       float64 // tokens that prompts share with others, moving mean
	meanEvictedTokens      float64 // of them those that nobody keeps any more
	speedSamples           int     // answers that told the speed
	baseSamples            int     // answers that told what comes before the reading
	meanPrefillMS          float64 // that prompts are read for, moving mean
}

// take takes how long a prompt took of which so many tokens were kept.
func (l *engineEstimates) observeLatency(kept, prompt int, ms float64) {
	read := float64(prompt - kept)
	if read < maxBaseSampleTokens {
		l.baseSamples++
		l.baseMS = stepQuantile(l.baseMS, math.Max(ms-prefillTimeMS(kept, prompt, l.tokensPerMS), minSampleMS), 1-speedQuantile, quantileStep(l.baseSamples))
		return
	}
	if l.baseMS == 0 || read < minSpeedSampleTokens {
		return
	}
	left := ms - l.baseMS - attentionTimeMS(kept, prompt)
	l.speedSamples++
	// What was kept there unknown to anybody seems to be read at any speed.
	seen := math.Min(read/math.Max(left, minSampleMS), maxSpeedSampleFactor*l.tokensPerMS)
	l.tokensPerMS = stepQuantile(l.tokensPerMS, seen, speedQuantile, quantileStep(l.speedSamples))
}

// meanRead takes the reading time of another prompt, and gives the mean with it.
func (l *engineEstimates) observePrefill(readMS float64) float64 {
	l.meanPrefillMS = movingMean(l.meanPrefillMS, readMS)
	return l.meanPrefillMS
}

// compare takes how much an answer took beyond what was expected of it.
func (l *engineEstimates) observeDelay(expected, ms float64) {
	l.unexpectedDelayMS += movingMeanWeight * (min(max(0, ms-expected-l.baseMS), maxUnexpectedDelayMS) - l.unexpectedDelayMS)
}

// compareFetch takes how much an answer took beyond what was expected of it and its fetch.
func (l *engineEstimates) observeFetchDelay(expected, ms float64) {
	l.unexpectedFetchDelayMS += movingMeanWeight * (min(max(0, ms-expected-l.baseMS), maxUnexpectedFetchDelayMS) - l.unexpectedFetchDelayMS)
}

// linkWait is what a fetch waits for moves that nobody told of: those of other mixers in the last moments, those from the same holder, and saves.
// It is what answers with a fetch take beyond what is expected of them, less what others do.
func (l *engineEstimates) linkQueueMS() float64 {
	if trial.Disabled(trial.LinkQueue) {
		return 0
	}
	return max(0, l.unexpectedFetchDelayMS-l.unexpectedDelayMS)
}

// lookedFor takes how many tokens of a prompt others may share, and how many of them nobody keeps any more, as they were displaced.
func (l *engineEstimates) observeEvictions(shared, displaced int) {
	l.meanSharedTokens += evictionMeanWeight * (float64(shared) - l.meanSharedTokens)
	l.meanEvictedTokens += evictionMeanWeight * (float64(displaced) - l.meanEvictedTokens)
}

// displacedShare is the share of shared tokens that are asked for after they were displaced: how short the engines' memory is.
func (l *engineEstimates) evictedShare() float64 {
	if l.meanSharedTokens <= 0 {
		return 0
	}
	return l.meanEvictedTokens / l.meanSharedTokens
}

// copyPrice is what a second copy of so many tokens costs, in ms: it displaces others, which are read again as far as they are asked for.
func (l *engineEstimates) copyCostMS(tokens int) float64 {
	if trial.Disabled(trial.CopyPenalty) {
		return 0
	}
	read := duplicatePrefillWeight() * float64(tokens) / l.tokensPerMS
	return trial.Scale(trial.CopyCost) * min(1, evictionCostFactor*l.evictedShare()) * read
}

// stepOf is how far the n-th answer moves an estimate: the first ones further.
func quantileStep(n int) float64 { return max(minQuantileStep, 1/float64(n)) }

// towards moves an estimate of a quantile by a step towards a value that was seen.
func stepQuantile(estimate, seen, quantile, step float64) float64 {
	switch {
	case estimate == 0:
		return seen
	case seen > estimate:
		return math.Min(seen, estimate+step*quantile*seen)
	}
	return math.Max(seen, estimate*(1-step*(1-quantile)))
}
