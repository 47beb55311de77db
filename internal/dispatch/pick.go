package dispatch

import (
	"time"

	"nettlefold/internal/kvindex"
	"nettlefold/internal/trial"
	"nettlefold/internal/waterfill"
)

// Request is what the choice of a backend depends on.
type Request struct {
	Service       string
	Model         string
	Parts         []kvindex.Part // of the prompt; other requests may share all but the last
	PromptTokens  int
	BodyBytes     int
	TargetMS      float64  // target for the time to the first token, 0 if none is set
	RemainingMS   float64  // time until the client gives up
	Retried       bool     // an earlier attempt is known: the request was refused, or sent to a backend
	PolicyRank    int      // rank by the configured priorities of its route and tenant, 0 is the most urgent
	Tenant        string   // name of the tenant, "" for none
	TriedBackends []string // IDs of backends that must not be chosen again
}

// Choice is the chosen backend for a request. The caller must pass it to Table.End once, unless RetryAfterMS
// is set.
type Choice struct {
	Backend   *Backend
	ID        string
	Addr      string
	FetchAddr string  // address of the holder to fetch from, "" for none
	SaveAddr  string  // address of the store to save to, "" for none
	Salt      string  // cache salt, "" if the request has no prompt
	Version   int64   // expected version of the weights, 0 if the request names no model
	WaitMS    float64 // expected time in the backend's queue
	PrefillMS float64 // expected time to prefill the prompt
	// EnginePriority is the priority of the request at an engine, 0 is the most urgent.
	EnginePriority int

	// RetryAfterMS is positive if the request is refused and should be retried after this delay. All other
	// fields are zero in that case.
	RetryAfterMS float64

	CacheTrace

	model        string
	holder       *Backend
	load         Load // added to the backend's own load for this request
	promptTokens int
	prefixTokens int     // tokens that need no prefill, including fetched ones
	transferMS   float64 // expected duration of the fetch
	nearlyIdle   bool    // Backend.nearlyIdle at the time of the choice
	sentAt       time.Duration
	gotFirstByte bool
	ended        bool
}

// CacheTrace is what the index knew of a prompt's shared parts when a backend was chosen, in tokens. It is only
// logged and has no influence on decisions, except that SharedTokens also feeds the eviction estimate.
type CacheTrace struct {
	LastSharedPart    string // ID of the last shared part, "" if nothing is shared
	SharedTokens      int
	CachedTokens      int // at the backend, including what it fetches
	LocalTokens       int // at the backend before the fetch
	FetchableTokens   int // at the holders of the longest prefix
	UnfetchableTokens int // at holders that may not be fetched from, see cachedPrompt.unfetchableTokens
}

// Pick chooses the backend with the earliest expected first token, by its prefill, its queue and its zone, and
// the holder from which it fetches. It adds the request to the backend's own load. It returns nil if no backend
// is eligible.
func (t *Table) Pick(now time.Duration, r *Request) *Choice {
	b, p, retryAfterMS := t.selectBackend(now, r)
	switch {
	case b == nil:
		return nil
	case retryAfterMS > 0:
		return &Choice{RetryAfterMS: retryAfterMS}
	}
	return t.assign(now, r, b, p)
}

// WouldAdmit reports whether a request would be admitted now. It changes no load.
func (t *Table) WouldAdmit(now time.Duration, r *Request) bool {
	b, _, retryAfterMS := t.selectBackend(now, r)
	return b != nil && retryAfterMS == 0
}

// selectBackend selects the backend with the lowest cost, nil if none is eligible. retryAfterMS is the delay
// after which a refused request should be retried, 0 if the request is admitted.
func (t *Table) selectBackend(now time.Duration, r *Request) (best *Backend, p candidate, retryAfterMS float64) {
	// The second pass also considers the backends that are avoided otherwise.
	for _, fallback := range []bool{false, true} {
		eligible := t.eligibleBackends(now, r, fallback)
		if len(eligible) == 0 {
			continue
		}
		s := t.newSelection(r, eligible)
		best, p = eligible[0], t.estimateCost(now, s, eligible[0])
		for _, b := range eligible[1:] {
			if other := t.estimateCost(now, s, b); other.costMS < p.costMS {
				best, p = b, other
			}
		}
		return best, p, r.retryAfterMS(&p)
	}
	return nil, p, 0
}

// retryAfterMS implements admission control: it returns the delay after which a request that would wait too
// long to meet its target should be retried, 0 if the request is admitted. A retried request is
// refused only if its client would probably give up first.
func (r *Request) retryAfterMS(p *candidate) float64 {
	expectedMS := p.waitMS + p.prefillMS
	if r.TargetMS <= 0 || r.RemainingMS <= 0 || trial.Disabled(trial.AdmissionControl) {
		return 0
	}
	if r.Retried {
		if expectedMS > retriedAdmitShare*r.RemainingMS && p.waitMS > minRefusalWaitShare*r.TargetMS {
			return retriedRetryAfterMS
		}
		return 0
	}
	if expectedMS <= admitTargetFactor*r.TargetMS || p.waitMS <= minRefusalWaitShare*r.TargetMS {
		return 0
	}
	return min(max(expectedMS-r.TargetMS, minRetryAfterMS), maxRetryAfterMS, r.RemainingMS*maxRetryAfterShare)
}

// estimateCost estimates the cost of serving a request at a backend. A random cost below 1 ms breaks ties.
func (t *Table) estimateCost(now time.Duration, s *selection, b *Backend) candidate {
	r := s.request
	p := candidate{costMS: t.random.Float64()}
	if b.Zone != t.settings.Zone {
		p.costMS += crossZoneMS + crossZoneMSPerKB*float64(r.BodyBytes)/1024
	}
	load := b.ownLoad.Add(b.otherLoad)
	p.version = b.Versions[r.Model]
	if !hasEngine(s.service) || r.Model == "" {
		latencyMS := b.latencyMS
		if latencyMS == 0 {
			latencyMS = defaultLatencyMS
		}
		p.costMS += latencyMS * (1 + float64(load.Running)/float64(max(1, b.Slots)))
		return p
	}
	// Jitter keeps all mixers from choosing the same backend before they learn of each other's requests.
	p.costMS += t.random.Float64() * s.estimates.costJitterMS()
	p.prompt = t.promptFor(now, s, p.version)
	p.source = t.choosePrefixSource(s, &p, b)
	prefixTokens := p.source.prefixTokens
	p.costMS += p.source.costMS
	p.prefillMS = prefillTimeMS(prefixTokens, r.PromptTokens, s.tokensPerMS)
	p.waitMS = float64(load.QueuedPrefillMS) + msPerRunningRequest*trial.Scale(trial.RunningCost)*float64(load.Running) +
		memoryWaitMS(s.service, load, r)
	p.costMS += p.prefillMS + p.waitMS + s.duplicatePrefillTokens(now, b, &p, prefixTokens)/s.tokensPerMS
	if t.outdated(r.Model, p.version) && !trial.Disabled(trial.OldVersionPenalty) {
		p.costMS += oldVersionPenalty * p.prefillMS // the prefill is discarded with the old weights
	}
	return p
}

// assign makes the choice of a candidate and adds the request to the backend's own load.
func (t *Table) assign(now time.Duration, r *Request, b *Backend, p candidate) *Choice {
	c := &Choice{
		Backend: b, ID: b.ID, Addr: b.Addr, model: r.Model,
		Version: p.version, WaitMS: p.waitMS, PrefillMS: p.prefillMS,
		load:   Load{Running: 1, QueuedPrefillMS: int(p.prefillMS), Tokens: r.PromptTokens},
		sentAt: now, promptTokens: r.PromptTokens, prefixTokens: p.source.prefixTokens,
		transferMS: p.source.transferMS, nearlyIdle: b.nearlyIdle(p.waitMS), EnginePriority: unratedPriority,
	}
	if r.Model != "" || len(r.Parts) > 0 {
		// Also where the configuration names no engine: without a salt, engines share prompts with everyone.
		c.Salt = t.cacheSalt(p.version, t.promptOwner(r.Tenant))
	}
	if p.prompt != nil {
		c.EnginePriority = enginePriority(p.prefillMS, t.estimatesOf(r.Service).observePrefill(p.prefillMS), r.PolicyRank)
		c.CacheTrace = r.cacheTrace(b, t.index, &p)
		t.estimatesOf(r.Service).observeEvictions(c.SharedTokens, t.evictedTokens(r, p.prompt))
		t.setTransfer(c, r, p)
	}
	b.ownLoad = b.ownLoad.Add(c.load)
	if b.awaitingFirstByte == 0 {
		b.lastProgress = now
	}
	b.awaitingFirstByte++
	if p.prompt != nil && len(p.prompt.keys) > 1 {
		b.markPrefilling(now, p.prompt.keys[:len(p.prompt.keys)-1])
	}
	if now < b.coldUntil {
		b.nextColdSend = now + t.coldInterval(b)
	}
	b.probing = b.consecutiveFailures >= failureThreshold
	return c
}

// cacheTrace returns what the index knows of a prompt when its backend is chosen.
func (r *Request) cacheTrace(b *Backend, index *kvindex.Index, p *candidate) CacheTrace {
	shared := r.sharedTokens()
	trace := CacheTrace{
		SharedTokens: shared, CachedTokens: min(shared, p.source.prefixTokens),
		LocalTokens:     min(shared, index.PrefixTokens(b.ID, p.prompt.keys, r.Parts)),
		FetchableTokens: min(shared, p.prompt.longestTokens), UnfetchableTokens: min(shared, p.prompt.unfetchableTokens),
	}
	if len(r.Parts) > 1 {
		trace.LastSharedPart = r.Parts[len(r.Parts)-2].ID
	}
	return trace
}

// setTransfer sets the holder to fetch from, or the store to save to if the prompt is prefilled. The holder is
// chosen by water-filling: among the nearest holders of the longest prefix, it has the fewest pending fetches of
// this mixer.
func (t *Table) setTransfer(c *Choice, r *Request, p candidate) {
	if !p.source.fetch {
		c.SaveAddr = t.saveAddr(r, p)
		return
	}
	holders := p.prompt.nearestHolders(c.Backend.Zone)
	if i := waterfill.Pick(len(holders), func(i int) int { return holders[i].pendingFetches }, t.random.IntN); i >= 0 {
		c.holder = holders[i]
		c.holder.pendingFetches++
		c.FetchAddr = c.holder.Addr
	}
}

// saveAddr returns the address of a store that lacks the shared parts of a prompt, "" if there is none or if
// saving is not worth the transfer.
func (t *Table) saveAddr(r *Request, p candidate) string {
	if len(r.Parts) < 2 || trial.Disabled(trial.StoreSave) {
		return ""
	}
	shared := r.Parts[:len(r.Parts)-1]
	keys := p.prompt.keys[:len(shared)]
	tokens := 0
	for _, part := range shared {
		tokens += part.Tokens
	}
	if !t.transferIsFaster(r.Service, tokens) {
		return ""
	}
	for _, store := range t.stores {
		if tokens-t.index.PrefixTokens(store.ID, keys, shared) >= minSaveTokens {
			return store.Addr
		}
	}
	return ""
}
