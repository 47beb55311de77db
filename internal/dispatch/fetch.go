package dispatch

import (
	"nettlefold/internal/config"
	"nettlefold/internal/trial"
)

// prefixSource is how a backend would obtain the prefix of a prompt that it need not prefill.
type prefixSource struct {
	prefixTokens int     // tokens that need no prefill, including fetched ones
	fetch        bool    // the prefix is fetched from one of the prompt's holders
	transferMS   float64 // duration of the fetch, 0 if there is none
	costMS       float64 // delay of the first token by the fetch, plus its other costs, converted to ms of delay
}

// choosePrefixSource decides whether a backend would fetch or prefill the part of a prompt that it has not
// cached. Transfers over one link run one after another; how long a fetch queues is learned from latencies.
func (t *Table) choosePrefixSource(s *selection, p *candidate, b *Backend) prefixSource {
	local := t.index.PrefixTokens(b.ID, p.prompt.keys, s.request.Parts)
	prefill := prefixSource{prefixTokens: local}
	missing := p.prompt.longestTokens - local
	if missing < minFetchTokens {
		return prefill
	}
	transferMS := transferTimeMS(s.service, missing, p.prompt.holderZones[b.Zone])
	fetch := prefixSource{
		prefixTokens: p.prompt.longestTokens, fetch: true, transferMS: transferMS,
		costMS: transferMS + s.estimates.linkQueueMS() + s.estimates.copyCostMS(missing),
	}
	weightedDuplicateTokens := duplicatePrefillWeight() * float64(min(missing, max(0, s.sharedTokens-local)))
	savedPrefillMS := prefillTimeMS(local, s.request.PromptTokens, s.tokensPerMS) -
		prefillTimeMS(p.prompt.longestTokens, s.request.PromptTokens, s.tokensPerMS)
	if savedPrefillMS+weightedDuplicateTokens/s.tokensPerMS <= fetch.costMS && !trial.Disabled(trial.PrefillInsteadOfFetch) {
		return prefill
	}
	return fetch
}

// nearestHolders returns the holders in a zone, or all holders if the zone has none: transfers between zones
// take twice as long.
func (p *cachedPrompt) nearestHolders(zone string) []*Backend {
	if !p.holderZones[zone] || trial.Disabled(trial.NearestHolders) {
		return p.holders
	}
	nearest := make([]*Backend, 0, len(p.holders))
	for _, h := range p.holders {
		if h.Zone == zone {
			nearest = append(nearest, h)
		}
	}
	return nearest
}

// transferIsFaster reports whether transferring tokens between zones takes less time than prefilling them.
// Otherwise a copy in a store is of little use, and saving it delays the fetches on the same link.
func (t *Table) transferIsFaster(service string, tokens int) bool {
	if trial.Disabled(trial.SaveOnlyIfFaster) {
		return true
	}
	return transferTimeMS(t.service(service), tokens, false) < prefillTimeMS(0, tokens, t.prefillTokensPerMS(service))
}

// transferTimeMS estimates the time in ms to transfer the KV cache of tokens, within a zone or between two.
// A service without a configured bandwidth counts as having an unlimited one.
func transferTimeMS(s *config.Service, tokens int, sameZone bool) float64 {
	if s.Engine == nil || s.Engine.LinkMbps <= 0 {
		return fetchBaseMS * trial.Scale(trial.FetchBase)
	}
	transferMS := float64(tokens) * s.Engine.KVTokenBytes * 8 / (s.Engine.LinkMbps * 1000)
	if !sameZone {
		transferMS *= crossZoneTransferFactor
	}
	return fetchBaseMS*trial.Scale(trial.FetchBase) + transferMS
}

// prefillTimeMS estimates the time in ms to prefill a prompt of which a prefix is cached: linear in the
// remaining tokens, plus attention.
func prefillTimeMS(prefixTokens, promptTokens int, tokensPerMS float64) float64 {
	return float64(promptTokens-min(prefixTokens, promptTokens))/tokensPerMS + attentionTimeMS(prefixTokens, promptTokens)
}

// attentionTimeMS estimates the part of the prefill time, in ms, that is proportional to the pairs of tokens.
func attentionTimeMS(prefixTokens, promptTokens int) float64 {
	k, n := float64(min(prefixTokens, promptTokens)), float64(promptTokens)
	return attentionMSPerMillionPairs * trial.Scale(trial.Attention) * (n*n - k*k) / 1e6
}
