package dispatch

import (
	"slices"
	"time"

	"nettlefold/internal/config"
	"nettlefold/internal/kvindex"
)

// selection holds what is computed once for a request and used for each candidate backend.
type selection struct {
	request *Request
	service *config.Service // nil if it is not known
	learned *learned        // of the service's engines
	speed   float64         // tokens that they read in a ms
	shared  int             // tokens of the request's shared parts
	owners  []string
	prompts map[int64]*heldPrompt // by the version of the weights
}

func (t *Table) newSelection(r *Request, may []*Backend) *selection {
	return &selection{
		request: r, service: t.service(r.Service), learned: t.learnedOf(r.Service), speed: t.readSpeed(r.Service), shared: r.shared(),
		owners: t.owners(r, may), prompts: map[int64]*heldPrompt{},
	}
}

// heldPrompt is a request's prompt under one cache salt, with the backends that hold its longest prefix.
type heldPrompt struct {
	salt    string
	keys    []kvindex.Key
	longest int // tokens that a fit holder keeps
	unfit   int // tokens that a holder keeps which is not fit, the most
	holders []*Backend
	// holderZones is the zones that the holders are in.
	holderZones map[string]bool
}

func (t *Table) promptUnder(now time.Duration, d *selection, version int64) *heldPrompt {
	p := d.prompts[version]
	if p != nil {
		return p
	}
	r := d.request
	p = &heldPrompt{salt: saltOf(version, r.Wall)}
	p.keys = kvindex.Keys(p.salt, r.Model, r.Parts)
	d.prompts[version] = p
	for _, b := range t.byService[r.Service] {
		t.considerHolder(now, r, p, b)
	}
	for _, s := range t.stores {
		t.considerHolder(now, r, p, s)
	}
	p.holderZones = make(map[string]bool, len(p.holders))
	for _, h := range p.holders {
		p.holderZones[h.Zone] = true
	}
	return p
}

// displaced is how many tokens of a prompt's shared parts no fit holder has although a backend dropped them lately.
func (t *Table) displaced(r *Request, p *heldPrompt) (tokens int) {
	held := p.longest
	for i, part := range r.Parts[:max(0, len(r.Parts)-1)] {
		if held >= part.Tokens {
			held -= part.Tokens
			continue
		}
		if t.index.Dropped(p.keys[i]) {
			tokens += part.Tokens - held
		}
		held = 0
	}
	return tokens
}

// considerHolder adds a backend to the holders if it may be fetched from and holds the longest prefix so far.
func (t *Table) considerHolder(now time.Duration, r *Request, p *heldPrompt, b *Backend) {
	kept := t.index.Held(b.ID, p.keys, r.Parts)
	if kept == 0 || kept < p.longest {
		return
	}
	if !t.fitHolder(now, b) {
		p.unfit = max(p.unfit, kept)
		return
	}
	if kept > p.longest {
		p.longest, p.holders = kept, p.holders[:0]
	}
	p.holders = append(p.holders, b)
}

func (t *Table) mayServeAll(now time.Duration, r *Request, fallback bool) []*Backend {
	may := make([]*Backend, 0, len(t.byService[r.Service]))
	for _, b := range t.byService[r.Service] {
		if !slices.Contains(r.Tried, b.ID) && t.mayServe(now, r, b, fallback) {
			may = append(may, b)
		}
	}
	return may
}

// mayServe reports whether a backend is eligible for a request. With fallback, when no other backend is eligible, one that is avoided or being
// emptied is too, but never one that a rule excludes.
func (t *Table) mayServe(now time.Duration, r *Request, b *Backend, fallback bool) bool {
	if b.Draining || t.evacuated[b.Zone] != 0 || b.phase == PhaseLoading || !t.coldAllows(now, b) {
		return false
	}
	if r.Model != "" {
		version, serves := b.Versions[r.Model]
		if !serves || t.tooOld(now, r.Model, version) {
			return false
		}
	}
	if fallback {
		return true
	}
	return b.phase == PhaseNone && now >= b.avoid && !b.trial && !b.silent(now)
}

// silent reports whether requests have waited at a backend for longer than the known work before them should take.
func (b *Backend) silent(now time.Duration) bool {
	expected := time.Duration(b.own.Waiting+b.others.Waiting) * time.Millisecond
	return b.pending > 0 && now-b.progress > silenceLimit+silenceShare*expected
}

// Silent reports whether the backend of a choice has made no progress for too long: on what waits there, or on a stream that has begun.
func (t *Table) Silent(now time.Duration, c *Choice) bool {
	b := c.Backend
	if c.begun {
		return now-b.progress > silenceLimit
	}
	return b.silent(now)
}

// Heard records that bytes of a running answer arrived.
func (t *Table) Heard(now time.Duration, c *Choice) { c.Backend.progress = now }

// tooOld reports whether a version of the weights was superseded so long ago that a new request might begin after its limit.
func (t *Table) tooOld(now time.Duration, model string, version int64) bool {
	since, superseded := t.models[model].Since(version)
	return superseded && now-since > time.Duration(versionMargin*float64(t.settings.VersionLimit))
}
