package dispatch

import (
	"nettlefold/internal/config"

	"nettlefold/internal/trial"
)

// source is where a backend would have a prompt's kept parts from.
type source struct {
	kept  int     // tokens that are not read, once what is fetched is there
	fetch bool    // from one of the prompt's holders
	move  float64 // ms that the fetch takes, 0 if there is none
	cost  float64 // ms until the first token for the fetch, and what else it costs put into ms
}

// sourceFor weighs fetching what a backend lacks of a prompt against reading it there. A fetch waits for other moves on the same links, which run
// one after another: how long is learned.
func (t *Table) sourceFor(d *decision, p *plan, b *Backend) source {
	held := t.index.Held(b.ID, p.prompt.keys, d.request.Parts)
	read := source{kept: held}
	lacks := p.prompt.longest - held
	if lacks < fetchLeast {
		return read
	}
	move := fetchMS(d.service, lacks, p.prompt.holderZones[b.Zone])
	fetch := source{
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

// nearestHolders gives the holders in a zone, or all where there is none: moves between zones take twice as long.
func (p *prompt) nearestHolders(zone string) []*Backend {
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

// movesFaster tells whether so many tokens are moved between zones sooner than they are read. Where they are not, a copy in a store is worth
// little to whoever fetches it, and the save holds up the fetches on the same link.
func (t *Table) movesFaster(service string, tokens int) bool {
	if trial.Off(trial.SaveByLinks) {
		return true
	}
	return fetchMS(t.service(service), tokens, false) < readMS(0, tokens, t.readSpeed(service))
}

// fetchMS estimates what it takes to move tokens.
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

// readMS estimates what it takes to read a prompt of which so many tokens are kept: each token, and its attention to those before.
func readMS(kept, prompt int, tokensPerMS float64) float64 {
	return float64(prompt-min(kept, prompt))/tokensPerMS + attention(kept, prompt)
}

// attention is the part of the reading, in ms, that grows with the pairs of tokens.
func attention(kept, prompt int) float64 {
	k, n := float64(min(kept, prompt)), float64(prompt)
	return attentionMS * trial.Scale(trial.Attention) * (n*n - k*k) / 1e6
}
