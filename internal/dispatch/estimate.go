package dispatch

import (
	"slices"
	"time"

	"nettlefold/internal/config"
	"nettlefold/internal/kvindex"
	"nettlefold/internal/rendezvous"
	"nettlefold/internal/trial"
)

// candidate is a backend's estimated cost of serving a request.
type candidate struct {
	costMS    float64 // expected ms to the first token, and all other costs as ms
	prefillMS float64 // expected ms of reading the prompt
	waitMS    float64 // expected ms of waiting before that
	version   int64
	prompt    *cachedPrompt
	source    prefixSource
}

// noiseMS is by how much costs are drawn apart: by what answers took beyond what was expected, as that was sent by mixers that had not told yet.
func (l *engineEstimates) costJitterMS() float64 {
	if trial.Disabled(trial.CostJitter) {
		return 0
	}
	return l.unexpectedDelayMS
}

// beginBy is when requests may begin on a version no more, 0 if they may at any time.
func (t *Table) firstByteDeadline(model string, version int64) time.Duration {
	since, superseded := t.versionTimes[model].Since(version)
	if !superseded {
		return 0
	}
	return since + time.Duration(versionFirstByteShare*float64(t.settings.VersionLimit))
}

// BeginBy is when the answer of a choice has to begin, as things are now; 0 if it may at any time. A version that is named while a request
// waits limits it too.
func (t *Table) FirstByteDeadline(c *Choice) time.Duration {
	if c.gotFirstByte || c.ended || c.Version == 0 {
		return 0
	}
	return t.firstByteDeadline(c.model, c.Version)
}

// rereadTokens weighs, in tokens, that shared parts would be read here although others are to have them: those that come first in the
// prompt's ranking, by which all mixers send what nobody keeps yet to the same backend, and those that are reading them now.
func (d *selection) duplicatePrefillTokens(now time.Duration, b *Backend, p *candidate, kept int) float64 {
	if d.sharedTokens <= kept || slices.Contains(d.owners[:min(1, len(d.owners))], b.ID) || b.isPrefilling(now, p.prompt.keys, d.request) {
		return 0
	}
	weight := duplicatePrefillWeight()
	if slices.Contains(d.owners, b.ID) && !trial.Disabled(trial.SecondOwner) {
		weight /= 2
	}
	return weight * float64(d.sharedTokens-kept)
}

// rereadWeight is how many times its time reading shared parts again counts.
func duplicatePrefillWeight() float64 {
	if trial.Disabled(trial.DuplicatePrefillWeight) {
		return 1
	}
	return duplicatePrefillFactor * trial.Scale(trial.DuplicatePrefillCost)
}

// shared is the tokens of the parts that other requests may share: all but the last.
func (r *Request) sharedTokens() (tokens int) {
	for i := range len(r.Parts) - 1 {
		tokens += r.Parts[i].Tokens
	}
	return tokens
}

// owners ranks the backends that may serve for what the request shares.
func (t *Table) rankOwners(r *Request, may []*Backend) []string {
	if len(r.Parts) < 2 {
		return nil
	}
	ids := make([]string, len(may))
	for i, b := range may {
		ids[i] = b.ID
	}
	return rendezvous.Top(r.IsolatedTenant+"/"+r.Parts[len(r.Parts)-2].ID, ids, ownersPerPrompt)
}

// expects tells whether the shared parts are being read at a backend for a request of ours.
func (b *Backend) isPrefilling(now time.Duration, keys []kvindex.Key, r *Request) bool {
	for i := range len(r.Parts) - 1 {
		if b.prefilling[keys[i]] <= now {
			return false
		}
	}
	return len(r.Parts) > 1
}

// expect notes that a request of ours has parts read here.
func (b *Backend) markPrefilling(now time.Duration, keys []kvindex.Key) {
	if b.prefilling == nil {
		b.prefilling = map[kvindex.Key]time.Duration{}
	}
	if len(b.prefilling) > maxPrefillingKeys {
		for k, until := range b.prefilling {
			if until <= now {
				delete(b.prefilling, k)
			}
		}
	}
	for _, k := range keys {
		b.prefilling[k] = now + prefillingTTL
	}
}

// crowded is what a request waits for memory that others hold.
func memoryWaitMS(s *config.Service, load Load, r *Request) float64 {
	over := float64(load.Tokens+r.PromptTokens) - memoryPressureShare*float64(s.Engine.KVCapacityTokens)
	if over <= 0 || s.Engine.KVCapacityTokens == 0 || trial.Disabled(trial.MemoryPressure) {
		return 0
	}
	return memoryPressureMS * trial.Scale(trial.MemoryPressureCost) * over / float64(s.Engine.KVCapacityTokens)
}

// behind tells whether a newer version of a model is wanted.
func (t *Table) outdated(model string, version int64) bool {
	return version < t.versionTimes[model].Newest()
}

// fitHolder tells whether a holder may be fetched from. Salts see to versions and walls.
func (t *Table) mayFetchFrom(now time.Duration, b *Backend) bool {
	return !b.Draining && t.evacuatedZones[b.Zone] == 0 && now >= b.avoidUntil && now >= b.coldUntil && b.phase != PhaseLoading
}
