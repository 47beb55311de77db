package dispatch

import (
	"slices"
	"time"

	"nettlefold/internal/config"
	"nettlefold/internal/kvindex"
	"nettlefold/internal/rendezvous"
	"nettlefold/internal/trial"
)

// candidate is the estimated cost of serving a request at one backend.
type candidate struct {
	costMS    float64 // expected time to the first token, plus the other costs, converted to ms of delay
	prefillMS float64 // expected time to prefill the prompt
	waitMS    float64 // expected time in the queue before the prefill
	version   int64   // of the backend's weights
	prompt    *cachedPrompt
	source    prefixSource
}

// costJitterMS returns the range of the random cost that is added to each backend. It is the mean delay beyond
// the estimate, which comes from requests of other mixers that are not reported yet.
func (e *engineEstimates) costJitterMS() float64 {
	if trial.Disabled(trial.CostJitter) {
		return 0
	}
	return e.unexpectedDelayMS
}

// firstByteDeadline returns the time at which a request on a version of the weights is withdrawn if it has no
// first byte, 0 if there is no limit. The deadline lies a margin before Settings.VersionLimit.
func (t *Table) firstByteDeadline(model string, version int64) time.Duration {
	supersededAt, superseded := t.versionTimes[model].Since(version)
	if !superseded {
		return 0
	}
	return supersededAt + time.Duration(versionFirstByteShare*float64(t.settings.VersionLimit))
}

// FirstByteDeadline returns the time by which the response of a choice must begin, 0 if there is no limit. The
// deadline may appear while a request waits, because a newer version of the weights is ordered.
func (t *Table) FirstByteDeadline(c *Choice) time.Duration {
	if c.gotFirstByte || c.ended || c.Version == 0 {
		return 0
	}
	return t.firstByteDeadline(c.model, c.Version)
}

// duplicatePrefillTokens returns the weighted number of shared tokens that the backend would prefill although
// another backend ranks first for the prompt. It is 0 for the first backend in the prompt's rendezvous ranking, to which all
// mixers send parts that are cached nowhere, and for a backend that prefills the parts already.
func (s *selection) duplicatePrefillTokens(now time.Duration, b *Backend, p *candidate, prefixTokens int) float64 {
	if s.sharedTokens <= prefixTokens || slices.Contains(s.preferredBackends[:min(1, len(s.preferredBackends))], b.ID) ||
		b.isPrefilling(now, p.prompt.keys, s.request) {
		return 0
	}
	weight := duplicatePrefillWeight()
	// The second backend in the ranking may prefill the parts too, at half the weight.
	if slices.Contains(s.preferredBackends, b.ID) && !trial.Disabled(trial.SecondPreferredBackend) {
		weight /= 2
	}
	return weight * float64(s.sharedTokens-prefixTokens)
}

// duplicatePrefillWeight returns the factor by which a duplicate prefill of shared parts costs more than its
// time.
func duplicatePrefillWeight() float64 {
	if trial.Disabled(trial.DuplicatePrefillWeight) {
		return 1
	}
	return duplicatePrefillFactor * trial.Scale(trial.DuplicatePrefillCost)
}

// sharedTokens returns the number of tokens in the parts that other requests may share: all but the last part.
func (r *Request) sharedTokens() (tokens int) {
	for i := range len(r.Parts) - 1 {
		tokens += r.Parts[i].Tokens
	}
	return tokens
}

// rankPreferred returns the first backends in the rendezvous ranking of the request's shared prefix, nil if the
// request shares nothing.
func (t *Table) rankPreferred(r *Request, eligible []*Backend) []string {
	if len(r.Parts) < 2 {
		return nil
	}
	ids := make([]string, len(eligible))
	for i, b := range eligible {
		ids[i] = b.ID
	}
	return rendezvous.Top(t.promptOwner(r.Tenant)+"/"+r.Parts[len(r.Parts)-2].ID, ids, preferredPerPrompt)
}

// isPrefilling reports whether the backend is assumed to prefill all shared parts of a request for another
// request of this mixer.
func (b *Backend) isPrefilling(now time.Duration, keys []kvindex.Key, r *Request) bool {
	for i := range len(r.Parts) - 1 {
		if b.prefillingUntil[keys[i]] <= now {
			return false
		}
	}
	return len(r.Parts) > 1
}

// markPrefilling records that a request of this mixer makes the backend prefill parts.
func (b *Backend) markPrefilling(now time.Duration, keys []kvindex.Key) {
	if b.prefillingUntil == nil {
		b.prefillingUntil = map[kvindex.Key]time.Duration{}
	}
	if len(b.prefillingUntil) > maxPrefillingKeys {
		for k, until := range b.prefillingUntil {
			if until <= now {
				delete(b.prefillingUntil, k)
			}
		}
	}
	for _, k := range keys {
		b.prefillingUntil[k] = now + prefillingTTL
	}
}

// memoryWaitMS estimates how long a request waits for KV cache memory that other requests hold.
func memoryWaitMS(s *config.Service, load Load, r *Request) float64 {
	over := float64(load.Tokens+r.PromptTokens) - memoryPressureShare*float64(s.Engine.KVCapacityTokens)
	if over <= 0 || s.Engine.KVCapacityTokens == 0 || trial.Disabled(trial.MemoryPressure) {
		return 0
	}
	return memoryPressureMSPerCapacity * trial.Scale(trial.MemoryPressureCost) * over / float64(s.Engine.KVCapacityTokens)
}

// outdated reports whether a newer version of a model is ordered.
func (t *Table) outdated(model string, version int64) bool {
	return version < t.versionTimes[model].Newest()
}

// mayFetchFrom reports whether a holder may be fetched from. It need not check versions and tenants,
// because the cache salt separates what they may not share.
func (t *Table) mayFetchFrom(now time.Duration, b *Backend) bool {
	return !b.Draining && t.evacuatedZones[b.Zone] == 0 && now >= b.avoidUntil && now >= b.coldUntil &&
		b.phase != PhaseLoading
}
