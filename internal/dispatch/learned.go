package dispatch

import (
	"math"

	"nettlefold/internal/trial"
)

// engineEstimates are performance estimates of a service's engines, learned from the time to the first token.
// The base latency and the prefill speed are learned from engines that seemed nearly idle. Work that this mixer
// does not know of can only make a response later, so the base latency is estimated as a low quantile and the
// speed as a high quantile of the samples.
type engineEstimates struct {
	tokensPerMS            float64 // prefill speed
	baseMS                 float64 // time to the first token without any prefill, 0 if not known yet
	unexpectedDelayMS      float64 // moving mean of the delay beyond the estimate, from unreported requests of other mixers
	unexpectedFetchDelayMS float64 // the same for responses that needed a fetch
	meanSharedTokens       float64 // moving mean of the shared tokens of a prompt
	meanEvictedTokens      float64 // moving mean of those that were evicted and are cached nowhere
	speedSamples           int     // number of samples of tokensPerMS
	baseSamples            int     // number of samples of baseMS
	meanPrefillMS          float64 // moving mean of the prefill time of a prompt
}

// observeLatency updates the base latency or the prefill speed with the time to the first token of a prompt of
// which a prefix was cached.
func (l *engineEstimates) observeLatency(prefixTokens, promptTokens int, ms float64) {
	prefilled := float64(promptTokens - prefixTokens)
	if prefilled < maxBaseSampleTokens {
		l.baseSamples++
		l.baseMS = stepQuantile(l.baseMS, math.Max(ms-prefillTimeMS(prefixTokens, promptTokens, l.tokensPerMS), minSampleMS),
			1-speedQuantile, quantileStep(l.baseSamples))
		return
	}
	if l.baseMS == 0 || prefilled < minSpeedSampleTokens {
		return
	}
	linearMS := ms - l.baseMS - attentionTimeMS(prefixTokens, promptTokens)
	l.speedSamples++
	// Cap the sample: a prompt that was cached without being in the index seems to be prefilled at any speed.
	sample := math.Min(prefilled/math.Max(linearMS, minSampleMS), maxSpeedSampleFactor*l.tokensPerMS)
	l.tokensPerMS = stepQuantile(l.tokensPerMS, sample, speedQuantile, quantileStep(l.speedSamples))
}

// observePrefill adds the estimated prefill time of a prompt to the moving mean and returns the new mean.
func (l *engineEstimates) observePrefill(prefillMS float64) float64 {
	l.meanPrefillMS = movingMean(l.meanPrefillMS, prefillMS)
	return l.meanPrefillMS
}

// observeDelay updates the unexpected delay with the expected and the actual time to a first token.
func (l *engineEstimates) observeDelay(expectedMS, ms float64) {
	l.unexpectedDelayMS += movingMeanWeight *
		(min(max(0, ms-expectedMS-l.baseMS), maxUnexpectedDelayMS) - l.unexpectedDelayMS)
}

// observeFetchDelay is observeDelay for a response that needed a fetch.
func (l *engineEstimates) observeFetchDelay(expectedMS, ms float64) {
	l.unexpectedFetchDelayMS += movingMeanWeight *
		(min(max(0, ms-expectedMS-l.baseMS), maxUnexpectedFetchDelayMS) - l.unexpectedFetchDelayMS)
}

// linkQueueMS returns the time that a fetch queues behind unreported transfers: the latest fetches of other
// mixers, other fetches from the same holder, and saves. It is the unexpected delay of responses with a fetch
// minus that of responses without.
func (l *engineEstimates) linkQueueMS() float64 {
	if trial.Disabled(trial.LinkQueue) {
		return 0
	}
	return max(0, l.unexpectedFetchDelayMS-l.unexpectedDelayMS)
}

// observeEvictions updates the eviction estimate with the shared tokens of a prompt and the number of them that
// were evicted and are cached nowhere.
func (l *engineEstimates) observeEvictions(sharedTokens, evictedTokens int) {
	l.meanSharedTokens += evictionMeanWeight * (float64(sharedTokens) - l.meanSharedTokens)
	l.meanEvictedTokens += evictionMeanWeight * (float64(evictedTokens) - l.meanEvictedTokens)
}

// evictedShare returns the share of shared tokens that are requested again after their eviction. It measures
// how short the engines are of KV cache memory.
func (l *engineEstimates) evictedShare() float64 {
	if l.meanSharedTokens <= 0 {
		return 0
	}
	return l.meanEvictedTokens / l.meanSharedTokens
}

// copyCostMS returns the cost in ms of caching a second copy of tokens: it evicts other tokens, which must be
// prefilled again when they are requested.
func (l *engineEstimates) copyCostMS(tokens int) float64 {
	if trial.Disabled(trial.CopyPenalty) {
		return 0
	}
	prefillMS := duplicatePrefillWeight() * float64(tokens) / l.tokensPerMS
	return trial.Scale(trial.CopyCost) * min(1, evictionCostFactor*l.evictedShare()) * prefillMS
}

// quantileStep returns the relative step of a quantile estimate at its n-th sample. The first steps are larger.
func quantileStep(n int) float64 { return max(minQuantileStep, 1/float64(n)) }

// stepQuantile moves an estimate of a quantile by a relative step toward a sample and returns the new estimate.
func stepQuantile(estimate, sample, quantile, step float64) float64 {
	switch {
	case estimate == 0:
		return sample
	case sample > estimate:
		return math.Min(sample, estimate+step*quantile*sample)
	}
	return math.Max(sample, estimate*(1-step*(1-quantile)))
}
