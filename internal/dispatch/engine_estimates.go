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
func (e *engineEstimates) observeLatency(prefixTokens, promptTokens int, ms float64) {
	prefilled := float64(promptTokens - prefixTokens)
	if prefilled < maxBaseSampleTokens {
		e.baseSamples++
		e.baseMS = stepQuantile(e.baseMS, math.Max(ms-prefillTimeMS(prefixTokens, promptTokens, e.tokensPerMS), minSampleMS),
			1-speedQuantile, quantileStep(e.baseSamples))
		return
	}
	if e.baseMS == 0 || prefilled < minSpeedSampleTokens {
		return
	}
	linearMS := ms - e.baseMS - attentionTimeMS(prefixTokens, promptTokens)
	e.speedSamples++
	// Cap the sample: a prompt that was cached without being in the index seems to be prefilled at any speed.
	sample := math.Min(prefilled/math.Max(linearMS, minSampleMS), maxSpeedSampleFactor*e.tokensPerMS)
	e.tokensPerMS = stepQuantile(e.tokensPerMS, sample, speedQuantile, quantileStep(e.speedSamples))
}

// observePrefill adds the estimated prefill time of a prompt to the moving mean and returns the new mean.
func (e *engineEstimates) observePrefill(prefillMS float64) float64 {
	e.meanPrefillMS = movingMean(e.meanPrefillMS, prefillMS)
	return e.meanPrefillMS
}

// observeDelay updates the unexpected delay with the expected and the actual time to a first token.
func (e *engineEstimates) observeDelay(expectedMS, ms float64) {
	e.unexpectedDelayMS += movingMeanWeight *
		(min(max(0, ms-expectedMS-e.baseMS), maxUnexpectedDelayMS) - e.unexpectedDelayMS)
}

// observeFetchDelay is observeDelay for a response that needed a fetch.
func (e *engineEstimates) observeFetchDelay(expectedMS, ms float64) {
	e.unexpectedFetchDelayMS += movingMeanWeight *
		(min(max(0, ms-expectedMS-e.baseMS), maxUnexpectedFetchDelayMS) - e.unexpectedFetchDelayMS)
}

// linkQueueMS returns the time that a fetch queues behind transfers that this mixer does not account for: recent
// fetches of other mixers, its own fetches from the same holder, and saves to the store. It is the unexpected delay of responses with a fetch
// minus that of responses without.
func (e *engineEstimates) linkQueueMS() float64 {
	if trial.Disabled(trial.LinkQueue) {
		return 0
	}
	return max(0, e.unexpectedFetchDelayMS-e.unexpectedDelayMS)
}

// observeEvictions updates the eviction estimate with the shared tokens of a prompt and the number of them that
// were evicted and are cached nowhere.
func (e *engineEstimates) observeEvictions(sharedTokens, evictedTokens int) {
	e.meanSharedTokens += evictionMeanWeight * (float64(sharedTokens) - e.meanSharedTokens)
	e.meanEvictedTokens += evictionMeanWeight * (float64(evictedTokens) - e.meanEvictedTokens)
}

// evictedShare returns the share of shared tokens that are requested again after their eviction. It measures
// how short the engines are of KV cache memory.
func (e *engineEstimates) evictedShare() float64 {
	if e.meanSharedTokens <= 0 {
		return 0
	}
	return e.meanEvictedTokens / e.meanSharedTokens
}

// copyCostMS returns the cost in ms of caching a second copy of tokens: it evicts other tokens, which must be
// prefilled again when they are requested.
func (e *engineEstimates) copyCostMS(tokens int) float64 {
	if trial.Disabled(trial.CopyPenalty) {
		return 0
	}
	prefillMS := duplicatePrefillWeight() * float64(tokens) / e.tokensPerMS
	return trial.Scale(trial.CopyCost) * min(1, evictionCostFactor*e.evictedShare()) * prefillMS
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
