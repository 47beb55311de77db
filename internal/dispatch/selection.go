package dispatch

import (
	"slices"
	"time"

	"nettlefold/internal/config"
	"nettlefold/internal/kvindex"
)

// selection holds what is computed once for a request and used for each candidate backend.
type selection struct {
	request      *Request
	service      *config.Service  // nil if it is not known
	estimates    *engineEstimates // of the service's engines
	tokensPerMS  float64          // tokens that they read in a ms
	sharedTokens int              // tokens of the request's shared parts
	owners       []string
	prompts      map[int64]*cachedPrompt // by the version of the weights
}

func (t *Table) newSelection(r *Request, may []*Backend) *selection {
	return &selection{
		request: r, service: t.service(r.Service), estimates: t.estimatesOf(r.Service), tokensPerMS: t.prefillTokensPerMS(r.Service), sharedTokens: r.sharedTokens(),
		owners: t.rankOwners(r, may), prompts: map[int64]*cachedPrompt{},
	}
}

// heldPrompt is a request's prompt under one cache salt, with the backends that hold its longest prefix.
type cachedPrompt struct {
	salt              string
	keys              []kvindex.Key
	longestTokens     int // tokens that a fit holder keeps
	unfetchableTokens int // tokens that a holder keeps which is not fit, the most
	holders           []*Backend
	// holderZones is the zones that the holders are in.
	holderZones map[string]bool
}

func (t *Table) promptFor(now time.Duration, d *selection, version int64) *cachedPrompt {
	p := d.prompts[version]
	if p != nil {
		return p
	}
	r := d.request
	p = &cachedPrompt{salt: cacheSalt(version, r.IsolatedTenant)}
	p.keys = kvindex.Keys(p.salt, r.Model, r.Parts)
	d.prompts[version] = p
	for _, b := range t.byService[r.Service] {
		t.addHolder(now, r, p, b)
	}
	for _, s := range t.stores {
		t.addHolder(now, r, p, s)
	}
	p.holderZones = make(map[string]bool, len(p.holders))
	for _, h := range p.holders {
		p.holderZones[h.Zone] = true
	}
	return p
}

// displaced is how many tokens of a prompt's shared parts no fit holder has although a backend dropped them lately.
func (t *Table) evictedTokens(r *Request, p *cachedPrompt) (tokens int) {
	held := p.longestTokens
	for i, part := range r.Parts[:max(0, len(r.Parts)-1)] {
		if held >= part.Tokens {
			held -= part.Tokens
			continue
		}
		if t.index.RecentlyEvicted(p.keys[i]) {
			tokens += part.Tokens - held
		}
		held = 0
	}
	return tokens
}

// considerHolder adds a backend to the holders if it may be fetched from and holds the longest prefix so far.
func (t *Table) addHolder(now time.Duration, r *Request, p *cachedPrompt, b *Backend) {
	kept := t.index.PrefixTokens(b.ID, p.keys, r.Parts)
	if kept == 0 || kept < p.longestTokens {
		return
	}
	if !t.mayFetchFrom(now, b) {
		p.unfetchableTokens = max(p.unfetchableTokens, kept)
		return
	}
	if kept > p.longestTokens {
		p.longestTokens, p.holders = kept, p.holders[:0]
	}
	p.holders = append(p.holders, b)
}

func (t *Table) eligibleBackends(now time.Duration, r *Request, fallback bool) []*Backend {
	may := make([]*Backend, 0, len(t.byService[r.Service]))
	for _, b := range t.byService[r.Service] {
		if !slices.Contains(r.TriedBackends, b.ID) && t.isEligible(now, r, b, fallback) {
			may = append(may, b)
		}
	}
	return may
}

// mayServe reports whether a backend is eligible for a request. With fallback, when no other backend is eligible, one that is avoided or being
// emptied is too, but never one that a rule excludes.
func (t *Table) isEligible(now time.Duration, r *Request, b *Backend, fallback bool) bool {
	if b.Draining || t.evacuatedZones[b.Zone] != 0 || b.phase == PhaseLoading || !t.coldAdmits(now, b) {
		return false
	}
	if r.Model != "" {
		version, serves := b.Versions[r.Model]
		if !serves || t.versionExpired(now, r.Model, version) {
			return false
		}
	}
	if fallback {
		return true
	}
	return b.phase == PhaseNone && now >= b.avoidUntil && !b.probing && !b.stalled(now)
}

// silent reports whether requests have waited at a backend for longer than the known work before them should take.
func (b *Backend) stalled(now time.Duration) bool {
	expected := time.Duration(b.ownLoad.QueuedPrefillMS+b.otherLoad.QueuedPrefillMS) * time.Millisecond
	return b.awaitingFirstByte > 0 && now-b.lastProgress > stallTimeout+stallWaitFactor*expected
}

// Silent reports whether the backend of a choice has made no progress for too long: on what waits there, or on a stream that has begun.
func (t *Table) Stalled(now time.Duration, c *Choice) bool {
	b := c.Backend
	if c.gotFirstByte {
		return now-b.lastProgress > stallTimeout
	}
	return b.stalled(now)
}

// Heard records that bytes of a running answer arrived.
func (t *Table) RecordProgress(now time.Duration, c *Choice) { c.Backend.lastProgress = now }

// tooOld reports whether a version of the weights was superseded so long ago that a new request might begin after its limit.
func (t *Table) versionExpired(now time.Duration, model string, version int64) bool {
	since, superseded := t.versionTimes[model].Since(version)
	return superseded && now-since > time.Duration(versionSendShare*float64(t.settings.VersionLimit))
}
