package dispatch

import (
	"slices"
	"time"

	"nettlefold/internal/config"
	"nettlefold/internal/kvindex"
)

// selection holds what is computed once per request and used for each candidate backend.
type selection struct {
	request           *Request
	service           *config.Service         // nil if not configured
	estimates         *engineEstimates        // of the service's engines
	tokensPerMS       float64                 // prefill speed of the service's engines
	sharedTokens      int                     // tokens of the request's shared parts
	preferredBackends []string                // IDs of the first backends in the prompt's rendezvous ranking
	prompts           map[int64]*cachedPrompt // by version of the weights
}

func (t *Table) newSelection(r *Request, eligible []*Backend) *selection {
	return &selection{
		request: r, service: t.service(r.Service), estimates: t.estimatesOf(r.Service),
		tokensPerMS: t.prefillTokensPerMS(r.Service), sharedTokens: r.sharedTokens(),
		preferredBackends: t.rankPreferred(r, eligible), prompts: map[int64]*cachedPrompt{},
	}
}

// cachedPrompt is a request's prompt under one cache salt, with the backends that hold its longest prefix.
type cachedPrompt struct {
	salt              string
	keys              []kvindex.Key
	longestTokens     int        // tokens of the longest prefix at a holder that may be fetched from
	unfetchableTokens int        // of a prefix at a holder that may not be fetched from; shorter ones than longestTokens so far are skipped
	holders           []*Backend // holders of longestTokens that may be fetched from
	holderZones       map[string]bool
}

// promptFor returns the request's prompt under a version of the weights. It searches the holders once per
// version and selection.
func (t *Table) promptFor(now time.Duration, s *selection, version int64) *cachedPrompt {
	p := s.prompts[version]
	if p != nil {
		return p
	}
	r := s.request
	p = &cachedPrompt{salt: t.cacheSalt(version, t.promptOwner(r.Tenant))}
	p.keys = kvindex.Keys(p.salt, r.Model, r.Parts)
	s.prompts[version] = p
	for _, b := range t.byService[r.Service] {
		t.addHolder(now, r, p, b)
	}
	for _, store := range t.stores {
		t.addHolder(now, r, p, store)
	}
	p.holderZones = make(map[string]bool, len(p.holders))
	for _, h := range p.holders {
		p.holderZones[h.Zone] = true
	}
	return p
}

// evictedTokens returns the number of a prompt's shared tokens that are beyond the longest prefix at a holder and
// belong to a part that a backend evicted recently.
func (t *Table) evictedTokens(r *Request, p *cachedPrompt) (tokens int) {
	cached := p.longestTokens
	for i, part := range r.Parts[:max(0, len(r.Parts)-1)] {
		if cached >= part.Tokens {
			cached -= part.Tokens
			continue
		}
		if t.index.RecentlyEvicted(p.keys[i]) {
			tokens += part.Tokens - cached
		}
		cached = 0
	}
	return tokens
}

// addHolder adds a backend to the holders if it may be fetched from and holds the longest prefix so far.
func (t *Table) addHolder(now time.Duration, r *Request, p *cachedPrompt, b *Backend) {
	cached := t.index.PrefixTokens(b.ID, p.keys, r.Parts)
	if cached == 0 || cached < p.longestTokens {
		return
	}
	if !t.mayFetchFrom(now, b) {
		p.unfetchableTokens = max(p.unfetchableTokens, cached)
		return
	}
	if cached > p.longestTokens {
		p.longestTokens, p.holders = cached, p.holders[:0]
	}
	p.holders = append(p.holders, b)
}

// eligibleBackends returns the backends that a request may be sent to. See isEligible for fallback.
func (t *Table) eligibleBackends(now time.Duration, r *Request, fallback bool) []*Backend {
	eligible := make([]*Backend, 0, len(t.byService[r.Service]))
	for _, b := range t.byService[r.Service] {
		if !slices.Contains(r.TriedBackends, b.ID) && t.isEligible(now, r, b, fallback) {
			eligible = append(eligible, b)
		}
	}
	return eligible
}

// isEligible reports whether a request may be sent to a backend. With fallback, which is set if no backend is
// eligible without it, the backend may also be one that is avoided, awaiting the result of a probe, stalled or
// being emptied. Draining, evacuated and suspended backends, versions that get no new requests and the limit for cold backends hold in any case.
func (t *Table) isEligible(now time.Duration, r *Request, b *Backend, fallback bool) bool {
	if b.Draining || t.evacuatedZones[b.Zone] != 0 || b.phase == PhaseLoading || b.suspended(now) || !t.coldAdmits(now, b) {
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

// stalled reports whether requests have waited at a backend for much longer than its known work should take.
func (b *Backend) stalled(now time.Duration) bool {
	expectedWait := time.Duration(b.ownLoad.QueuedPrefillMS+b.otherLoad.QueuedPrefillMS) * time.Millisecond
	return b.awaitingFirstByte > 0 && now-b.lastProgress > stallTimeout+stallWaitFactor*expectedWait
}

// Stalled reports whether the backend of a choice has made no progress for too long, either on its waiting
// requests or, after the first byte, on the response stream.
func (t *Table) Stalled(now time.Duration, c *Choice) bool {
	b := c.Backend
	if c.gotFirstByte {
		return now-b.lastProgress > stallTimeout
	}
	return b.stalled(now)
}

// RecordProgress records that bytes of a response stream arrived.
func (t *Table) RecordProgress(now time.Duration, c *Choice) { c.Backend.lastProgress = now }

// versionExpired reports whether a version of the weights gets no new requests: it was superseded so long ago that
// the response to one might begin after the version's limit.
func (t *Table) versionExpired(now time.Duration, model string, version int64) bool {
	supersededAt, superseded := t.versionTimes[model].Since(version)
	return superseded && now-supersededAt > time.Duration(versionSendShare*float64(t.settings.VersionLimit))
}
