package dispatch

import (
	"nettlefold/internal/config"

	"nettlefold/internal/trial"
)

// prefixSource says how a backend would obtain the part of a prompt that it need not read.
type prefixSource struct {
	prefixTokens int     // tokens that are not read, including those fetched
	fetch        bool    // from one of the prompt's holders
	transferMS   float64 // ms that the fetch takes, 0 if there is none
	costMS       float64 // delay of the first token by the fetch, and its other costs as ms
}

// sourceFor decides whether a backend would fetch or read what it lacks of a prompt. Transfers over one link run one after another; how long a
// fetch waits for others is learned from answers.
func (t *Table) choosePrefixSource(d *selection, p *candidate, b *Backend) prefixSource {
	held := t.index.PrefixTokens(b.ID, p.prompt.keys, d.request.Parts)
	read := prefixSource{prefixTokens: held}
	lacks := p.prompt.longestTokens - held
	if lacks < minFetchTokens {
		return read
	}
	move := transferTimeMS(d.service, lacks, p.prompt.holderZones[b.Zone])
	fetch := prefixSource{
		prefixTokens: p.prompt.longestTokens, fetch: true, transferMS: move,
		costMS: move + d.estimates.linkQueueMS() + d.estimates.copyCostMS(lacks),
	}
	readsAnew := duplicatePrefillWeight() * float64(min(lacks, max(0, d.sharedTokens-held)))
	longer := prefillTimeMS(held, d.request.PromptTokens, d.tokensPerMS) - prefillTimeMS(p.prompt.longestTokens, d.request.PromptTokens, d.tokensPerMS)
	if longer+readsAnew/d.tokensPerMS <= fetch.costMS && !trial.Disabled(trial.PrefillInsteadOfFetch) {
		return read
	}
	return fetch
}

// nearestHolders returns the holders in a zone, or all holders if the zone has none: transfers between zones take twice as long.
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

// movesFaster reports whether transferring tokens between zones takes less time than reading them. Otherwise a copy in a store is worth little,
// and saving it delays the fetches on the same link.
func (t *Table) transferIsFaster(service string, tokens int) bool {
	if trial.Disabled(trial.SaveOnlyIfFaster) {
		return true
	}
	return transferTimeMS(t.service(service), tokens, false) < prefillTimeMS(0, tokens, t.prefillTokensPerMS(service))
}

// fetchMS estimates the ms that a transfer of tokens takes.
func transferTimeMS(s *config.Service, tokens int, near bool) float64 {
	if s.Engine == nil || s.Engine.LinkMbps <= 0 {
		return fetchBaseMS * trial.Scale(trial.FetchBase)
	}
	move := float64(tokens) * s.Engine.KVTokenBytes * 8 / (s.Engine.LinkMbps * 1000)
	if !near {
		move *= crossZoneTransferFactor
	}
	return fetchBaseMS*trial.Scale(trial.FetchBase) + move
}

// readMS estimates the ms to read a prompt of which kept tokens are in memory: linear in the tokens read, plus attention.
func prefillTimeMS(kept, prompt int, tokensPerMS float64) float64 {
	return float64(prompt-min(kept, prompt))/tokensPerMS + attentionTimeMS(kept, prompt)
}

// attention is the part of the reading time, in ms, that grows with the pairs of tokens.
func attentionTimeMS(kept, prompt int) float64 {
	k, n := float64(min(kept, prompt)), float64(prompt)
	return attentionMSPerMillionPairs * trial.Scale(trial.Attention) * (n*n - k*k) / 1e6
}
