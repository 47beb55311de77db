package dispatch

import (
	"strconv"
	"time"

	"nettlefold/internal/kvindex"
	"nettlefold/internal/trial"
	"nettlefold/internal/waterfill"
)

// Request is what a decision needs of one.
type Request struct {
	Service           string
	Model             string
	Parts             []kvindex.Part
	PromptTokens      int     // tokens
	BodyBytes         int     // of the body
	TargetMS          float64 // ms within which it earns its full worth, 0 if none is stated
	RemainingMS       float64 // ms until its client gives it up
	PreviouslyRefused bool    // it was refused before, as far as can be told
	Rank              int     // of its route and tenant, 0 is the most urgent
	IsolatedTenant    string  // the tenant's name if its prompts are shared with nobody
	TriedBackends     []string
}

// Choice is where a request goes. It must be ended once.
type Choice struct {
	Backend   *Backend
	ID        string
	Addr      string
	FetchAddr string // address of the holder to fetch from, "" for none
	SaveAddr  string // address of the store to save to, "" for none
	Salt      string
	Version   int64   // of the weights that are expected, 0 if the request names no model
	WaitMS    float64 // ms that it is expected to wait there
	PrefillMS float64 // ms that it is expected to be read for
	// Priority is how urgent it is at an engine, 0 the most.
	Priority int

	// Later is set alone: the request is not taken now, and should come again in so many ms.
	RetryAfterMS float64

	CacheTrace

	model        string
	holder       *Backend
	load         Load    // that is booked for it at the backend
	promptTokens int     // tokens
	prefixTokens int     // of them, with what is fetched
	transferMS   float64 // ms that the fetch was expected to take
	nearlyIdle   bool    // next to nothing else was known to be at the backend
	sentAt       time.Duration
	gotFirstByte bool
	ended        bool
}

// Trace is what was known of a prompt's shared parts when a backend was chosen, in tokens.
type CacheTrace struct {
	LastSharedPart    string // the last shared part, "" if nothing is shared
	SharedTokens      int
	CachedTokens      int // by the backend, with what it fetches
	LocalTokens       int // by the backend itself
	FetchableTokens   int // by the holders of the longest prefix
	UnfetchableTokens int // by a holder that may not be fetched from
}

// Pick chooses the backend that should begin to answer first, by what it would have to read, what waits there and where it is, and the
// holder that it fetches from. It gives nil if there is none that may get the request.
func (t *Table) Pick(now time.Duration, r *Request) *Choice {
	b, p, later := t.selectBackend(now, r)
	switch {
	case b == nil:
		return nil
	case later > 0:
		return &Choice{RetryAfterMS: later}
	}
	return t.assign(now, r, b, p)
}

// Fits tells whether a request would be taken now. Nothing is booked for it.
func (t *Table) WouldAdmit(now time.Duration, r *Request) bool {
	b, _, later := t.selectBackend(now, r)
	return b != nil && later == 0
}

// best selects the backend with the least cost, nil if none may get the request. later is the delay in ms after which a request that is not
// admitted now should be sent again, 0 if it is admitted.
func (t *Table) selectBackend(now time.Duration, r *Request) (best *Backend, p candidate, later float64) {
	for _, fallback := range []bool{false, true} {
		may := t.eligibleBackends(now, r, fallback)
		if len(may) == 0 {
			continue
		}
		d := t.newSelection(r, may)
		best, p = may[0], t.estimateCost(now, d, may[0])
		for _, b := range may[1:] {
			if other := t.estimateCost(now, d, b); other.costMS < p.costMS {
				best, p = b, other
			}
		}
		return best, p, r.retryAfterMS(&p)
	}
	return nil, p, 0
}

// refuse returns the delay in ms after which a request should be sent again, because it would wait too long to meet its target; 0 if it is
// admitted. A request that was refused before is refused again only if its client would give it up.
func (r *Request) retryAfterMS(p *candidate) float64 {
	expected := p.waitMS + p.prefillMS
	if r.TargetMS <= 0 || r.RemainingMS <= 0 || trial.Disabled(trial.AdmissionControl) {
		return 0
	}
	if r.PreviouslyRefused {
		if expected > repeatedAdmitShare*r.RemainingMS && p.waitMS > minRefusalWaitShare*r.TargetMS {
			return repeatedRetryAfterMS
		}
		return 0
	}
	if expected <= admitTargetFactor*r.TargetMS || p.waitMS <= minRefusalWaitShare*r.TargetMS {
		return 0
	}
	return min(max(expected-r.TargetMS, minRetryAfterMS), maxRetryAfterMS, r.RemainingMS*maxRetryAfterShare)
}

func (t *Table) estimateCost(now time.Duration, d *selection, b *Backend) candidate {
	r := d.request
	p := candidate{costMS: t.random.Float64()}
	if b.Zone != t.settings.Zone {
		p.costMS += crossZoneMS + crossZoneMSPerKB*float64(r.BodyBytes)/1024
	}
	load := b.ownLoad.Add(b.otherLoad)
	if !hasEngine(d.service) || r.Model == "" {
		work := b.latencyMS
		if work == 0 {
			work = defaultLatencyMS
		}
		p.costMS += work * (1 + float64(load.Running)/float64(max(1, b.Slots)))
		return p
	}
	p.costMS += t.random.Float64() * d.estimates.costJitterMS() // or all mixers would choose the same one until they hear of each other
	p.version = b.Versions[r.Model]
	p.prompt = t.promptFor(now, d, p.version)
	p.source = t.choosePrefixSource(d, &p, b)
	kept := p.source.prefixTokens
	p.costMS += p.source.costMS
	p.prefillMS = prefillTimeMS(kept, r.PromptTokens, d.tokensPerMS)
	p.waitMS = float64(load.QueuedPrefillMS) + msPerRunningRequest*trial.Scale(trial.RunningCost)*float64(load.Running) + memoryWaitMS(d.service, load, r)
	p.costMS += p.prefillMS + p.waitMS + d.duplicatePrefillTokens(now, b, &p, kept)/d.tokensPerMS
	if t.outdated(r.Model, p.version) && !trial.Disabled(trial.OldVersionPenalty) {
		p.costMS += oldVersionPenalty * p.prefillMS // what is read there is dropped soon
	}
	return p
}

// take makes the choice for a candidate and adds the request to the backend's own load.
func (t *Table) assign(now time.Duration, r *Request, b *Backend, p candidate) *Choice {
	c := &Choice{
		Backend: b, ID: b.ID, Addr: b.Addr, model: r.Model,
		Version: p.version, WaitMS: p.waitMS, PrefillMS: p.prefillMS,
		load:   Load{Running: 1, QueuedPrefillMS: int(p.prefillMS), Tokens: r.PromptTokens},
		sentAt: now, promptTokens: r.PromptTokens, prefixTokens: p.source.prefixTokens, transferMS: p.source.transferMS, nearlyIdle: b.nearlyIdle(p.waitMS),
	}
	if p.prompt != nil {
		c.Priority = enginePriority(p.prefillMS, t.estimatesOf(r.Service).observePrefill(p.prefillMS), r.Rank)
		c.Salt = p.prompt.salt
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

// trace records what the index knew of a prompt when its backend was chosen.
func (r *Request) cacheTrace(b *Backend, index *kvindex.Index, p *candidate) CacheTrace {
	shared := r.sharedTokens()
	trace := CacheTrace{
		SharedTokens: shared, CachedTokens: min(shared, p.source.prefixTokens), LocalTokens: min(shared, index.PrefixTokens(b.ID, p.prompt.keys, r.Parts)),
		FetchableTokens: min(shared, p.prompt.longestTokens), UnfetchableTokens: min(shared, p.prompt.unfetchableTokens),
	}
	if len(r.Parts) > 1 {
		trace.LastSharedPart = r.Parts[len(r.Parts)-2].ID
	}
	return trace
}

// fetchFrom names the holder to fetch from, picked by water-filling: the least own count among those of the longest prefix that are nearest to
// the backend, raised before the next pick. What is read anew is saved to a store.
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

// saveTo returns the address of a store that lacks the shared parts of a prompt, "" if there is none or saving is not worth its transfer.
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
	for _, s := range t.stores {
		if tokens-t.index.PrefixTokens(s.ID, keys, shared) >= minSaveTokens {
			return s.Addr
		}
	}
	return ""
}

// saltOf returns the cache salt that separates versions of the weights and isolated tenants.
func cacheSalt(version int64, wall string) string {
	salt := "v" + strconv.FormatInt(version, 10)
	if wall != "" {
		salt += "/" + wall
	}
	return salt
}
