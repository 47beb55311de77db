package dispatch

import (
	"nettlefold/internal/config"

	"nettlefold/internal/trial"
)

// prefixSource says how a backend would obtain the part of a prompt that it need not read.
type prefixSource struct {
	kept  int     // tokens that are not read, including those fetched
	fetch bool    // from one of the prompt's holders
	move  float64 // ms that the fetch takes, 0 if there is none
	cost  float64 // delay of the first token by the fetch, and its other costs as ms
}

// sourceFor decides whether a backend would fetch or read what it lacks of a prompt. Transfers over one link run one after another; how long a
// fetch waits for others is learned from answers.
func (t *Table) sourceFor(d *selection, p *candidate, b *Backend) prefixSource {
	held := t.index.Held(b.ID, p.prompt.keys, d.request.Parts)
	read := prefixSource{kept: held}
	lacks := p.prompt.longest - held
	if lacks < fetchLeast {
		return read
	}
	move := fetchMS(d.service, lacks, p.prompt.holderZones[b.Zone])
	fetch := prefixSource{
		kept: p.prompt.longest, fetch: true, move: move,
		cost: move + d.learned.linkWait() + d.learned.copyPrice(lacks),
	}
	readsAnew := rereadWeight() * float64(min(lacks, max(0, d.shared-held)))
	longer := readMS(held, d.request.Prompt, d.speed) - readMS(p.prompt.longest, d.request.Prompt, d.speed)
	if longer+readsAnew/d.speed <= fetch.cost && !trial.Off(trial.ReadInstead) {
		return read
	}
	return fetch
}

// nearestHolders returns the holders in a zone, or all holders if the zone has none: transfers between zones take twice as long.
func (p *heldPrompt) nearestHolders(zone string) []*Backend {
	if !p.holderZones[zone] || trial.Off(trial.NearestHolders) {
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
func (t *Table) movesFaster(service string, tokens int) bool {
	if trial.Off(trial.SaveByLinks) {
		return true
	}
	return fetchMS(t.service(service), tokens, false) < readMS(0, tokens, t.readSpeed(service))
}

// fetchMS estimates the ms that a transfer of tokens takes.
func fetchMS(s *config.Service, tokens int, near bool) float64 {
	if s.Engine == nil || s.Engine.LinkMbps <= 0 {
		return fetchBaseMS * trial.Scale(trial.FetchBase)
	}
	move := float64(tokens) * s.Engine.KVTokenBytes * 8 / (s.Engine.LinkMbps * 1000)
	if !near {
		move *= farFactor
	}
	return fetchBaseMS*trial.Scale(trial.FetchBase) + move
}

// readMS estimates the ms to read a prompt of which kept tokens are in memory: linear in the tokens read, plus attention.
func readMS(kept, prompt int, tokensPerMS float64) float64 {
	return float64(prompt-min(kept, prompt))/tokensPerMS + attention(kept, prompt)
}

// attention is the part of the reading time, in ms, that grows with the pairs of tokens.
func attention(kept, prompt int) float64 {
	k, n := float64(min(kept, prompt)), float64(prompt)
	return attentionMS * trial.Scale(trial.Attention) * (n*n - k*k) / 1e6
}
