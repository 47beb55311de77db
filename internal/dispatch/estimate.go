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
	cost    float64 // expected ms to the first token, and all other costs as ms
	read    float64 // expected ms of reading the prompt
	wait    float64 // expected ms of waiting before that
	version int64
	prompt  *heldPrompt
	source  prefixSource
}

// noiseMS is by how much costs are drawn apart: by what answers took beyond what was expected, as that was sent by mixers that had not told yet.
func (l *learned) noiseMS() float64 {
	if trial.Off(trial.UnseenNoise) {
		return 0
	}
	return l.unseenMS
}

// beginBy is when requests may begin on a version no more, 0 if they may at any time.
func (t *Table) beginBy(model string, version int64) time.Duration {
	since, superseded := t.models[model].Since(version)
	if !superseded {
		return 0
	}
	return since + time.Duration(beginShare*float64(t.settings.VersionLimit))
}

// BeginBy is when the answer of a choice has to begin, as things are now; 0 if it may at any time. A version that is named while a request
// waits limits it too.
func (t *Table) BeginBy(c *Choice) time.Duration {
	if c.begun || c.ended || c.Version == 0 {
		return 0
	}
	return t.beginBy(c.model, c.Version)
}

// rereadTokens weighs, in tokens, that shared parts would be read here although others are to have them: those that come first in the
// prompt's ranking, by which all mixers send what nobody keeps yet to the same backend, and those that are reading them now.
func (d *selection) rereadTokens(now time.Duration, b *Backend, p *candidate, kept int) float64 {
	if d.shared <= kept || slices.Contains(d.owners[:min(1, len(d.owners))], b.ID) || b.expects(now, p.prompt.keys, d.request) {
		return 0
	}
	weight := rereadWeight()
	if slices.Contains(d.owners, b.ID) && !trial.Off(trial.SecondOwner) {
		weight /= 2
	}
	return weight * float64(d.shared-kept)
}

// rereadWeight is how many times its time reading shared parts again counts.
func rereadWeight() float64 {
	if trial.Off(trial.RereadWeight) {
		return 1
	}
	return againWeight * trial.Scale(trial.Reread)
}

// shared is the tokens of the parts that other requests may share: all but the last.
func (r *Request) shared() (tokens int) {
	for i := range len(r.Parts) - 1 {
		tokens += r.Parts[i].Tokens
	}
	return tokens
}

// owners ranks the backends that may serve for what the request shares.
func (t *Table) owners(r *Request, may []*Backend) []string {
	if len(r.Parts) < 2 {
		return nil
	}
	ids := make([]string, len(may))
	for i, b := range may {
		ids[i] = b.ID
	}
	return rendezvous.Top(r.Wall+"/"+r.Parts[len(r.Parts)-2].ID, ids, ownersOfPrompt)
}

// expects tells whether the shared parts are being read at a backend for a request of ours.
func (b *Backend) expects(now time.Duration, keys []kvindex.Key, r *Request) bool {
	for i := range len(r.Parts) - 1 {
		if b.expected[keys[i]] <= now {
			return false
		}
	}
	return len(r.Parts) > 1
}

// expect notes that a request of ours has parts read here.
func (b *Backend) expect(now time.Duration, keys []kvindex.Key) {
	if b.expected == nil {
		b.expected = map[kvindex.Key]time.Duration{}
	}
	if len(b.expected) > expectedMost {
		for k, until := range b.expected {
			if until <= now {
				delete(b.expected, k)
			}
		}
	}
	for _, k := range keys {
		b.expected[k] = now + expectedFor
	}
}

// crowded is what a request waits for memory that others hold.
func crowded(s *config.Service, load Load, r *Request) float64 {
	over := float64(load.Tokens+r.Prompt) - memoryShare*float64(s.Engine.KVCapacityTokens)
	if over <= 0 || s.Engine.KVCapacityTokens == 0 || trial.Off(trial.MemoryHeld) {
		return 0
	}
	return crowdedMS * trial.Scale(trial.Crowded) * over / float64(s.Engine.KVCapacityTokens)
}

// behind tells whether a newer version of a model is wanted.
func (t *Table) behind(model string, version int64) bool { return version < t.models[model].Newest() }

// fitHolder tells whether a holder may be fetched from. Salts see to versions and walls.
func (t *Table) fitHolder(now time.Duration, b *Backend) bool {
	return !b.Draining && t.evacuated[b.Zone] == 0 && now >= b.avoid && now >= b.coldUntil && b.phase != PhaseLoading
}
