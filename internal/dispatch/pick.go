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
	Service string
	Model   string
	Parts   []kvindex.Part
	Prompt  int     // tokens
	Bytes   int     // of the body
	Target  float64 // ms within which it earns its full worth, 0 if none is stated
	Left    float64 // ms until its client gives it up
	Again   bool    // it was refused before, as far as can be told
	Rank    int     // of its route and tenant, 0 is the most urgent
	Wall    string  // the tenant's name if its prompts are shared with nobody
	Tried   []string
}

// Choice is where a request goes. It must be ended once.
type Choice struct {
	Backend *Backend
	ID      string
	Addr    string
	Fetch   string // address of the holder to fetch from, "" for none
	Save    string // address of the store to save to, "" for none
	Salt    string
	Version int64   // of the weights that are expected, 0 if the request names no model
	Wait    float64 // ms that it is expected to wait there
	Read    float64 // ms that it is expected to be read for
	// Priority is how urgent it is at an engine, 0 the most.
	Priority int

	// Later is set alone: the request is not taken now, and should come again in so many ms.
	Later float64

	Trace

	model  string
	holder *Backend
	load   Load    // that is booked for it at the backend
	prompt int     // tokens
	kept   int     // of them, with what is fetched
	move   float64 // ms that the fetch was expected to take
	quiet  bool    // next to nothing else was known to be at the backend
	sent   time.Duration
	begun  bool
	ended  bool
}

// Trace is what was known of a prompt's shared parts when a backend was chosen, in tokens.
type Trace struct {
	Subject string // the last shared part, "" if nothing is shared
	Shared  int
	Kept    int // by the backend, with what it fetches
	Held    int // by the backend itself
	Fit     int // by the holders of the longest prefix
	Unfit   int // by a holder that may not be fetched from
}

// Pick chooses the backend that should begin to answer first, by what it would have to read, what waits there and where it is, and the
// holder that it fetches from. It gives nil if there is none that may get the request.
func (t *Table) Pick(now time.Duration, r *Request) *Choice {
	b, p, later := t.best(now, r)
	switch {
	case b == nil:
		return nil
	case later > 0:
		return &Choice{Later: later}
	}
	return t.take(now, r, b, p)
}

// Fits tells whether a request would be taken now. Nothing is booked for it.
func (t *Table) Fits(now time.Duration, r *Request) bool {
	b, _, later := t.best(now, r)
	return b != nil && later == 0
}

// best selects the backend with the least cost, nil if none may get the request. later is the delay in ms after which a request that is not
// admitted now should be sent again, 0 if it is admitted.
func (t *Table) best(now time.Duration, r *Request) (best *Backend, p candidate, later float64) {
	for _, fallback := range []bool{false, true} {
		may := t.mayServeAll(now, r, fallback)
		if len(may) == 0 {
			continue
		}
		d := t.newSelection(r, may)
		best, p = may[0], t.estimate(now, d, may[0])
		for _, b := range may[1:] {
			if other := t.estimate(now, d, b); other.cost < p.cost {
				best, p = b, other
			}
		}
		return best, p, r.refuse(&p)
	}
	return nil, p, 0
}

// refuse returns the delay in ms after which a request should be sent again, because it would wait too long to meet its target; 0 if it is
// admitted. A request that was refused before is refused again only if its client would give it up.
func (r *Request) refuse(p *candidate) float64 {
	expected := p.wait + p.read
	if r.Target <= 0 || r.Left <= 0 || trial.Off(trial.Admission) {
		return 0
	}
	if r.Again {
		if expected > againLimit*r.Left && p.wait > waitLeast*r.Target {
			return againLaterMS
		}
		return 0
	}
	if expected <= admitShare*r.Target || p.wait <= waitLeast*r.Target {
		return 0
	}
	return min(max(expected-r.Target, laterLeastMS), laterMostMS, r.Left*laterShare)
}

func (t *Table) estimate(now time.Duration, d *selection, b *Backend) candidate {
	r := d.request
	p := candidate{cost: t.random.Float64()}
	if b.Zone != t.settings.Zone {
		p.cost += crossZoneMS + crossZoneKB*float64(r.Bytes)/1024
	}
	load := b.own.Plus(b.others)
	if !engine(d.service) || r.Model == "" {
		work := b.latency
		if work == 0 {
			work = defaultWorkMS
		}
		p.cost += work * (1 + float64(load.Running)/float64(max(1, b.Slots)))
		return p
	}
	p.cost += t.random.Float64() * d.learned.noiseMS() // or all mixers would choose the same one until they hear of each other
	p.version = b.Versions[r.Model]
	p.prompt = t.promptUnder(now, d, p.version)
	p.source = t.sourceFor(d, &p, b)
	kept := p.source.kept
	p.cost += p.source.cost
	p.read = readMS(kept, r.Prompt, d.speed)
	p.wait = float64(load.Waiting) + runningMS*trial.Scale(trial.Running)*float64(load.Running) + crowded(d.service, load, r)
	p.cost += p.read + p.wait + d.rereadTokens(now, b, &p, kept)/d.speed
	if t.behind(r.Model, p.version) && !trial.Off(trial.OldWeights) {
		p.cost += oldVersionShare * p.read // what is read there is dropped soon
	}
	return p
}

// take makes the choice for a candidate and adds the request to the backend's own load.
func (t *Table) take(now time.Duration, r *Request, b *Backend, p candidate) *Choice {
	c := &Choice{
		Backend: b, ID: b.ID, Addr: b.Addr, model: r.Model,
		Version: p.version, Wait: p.wait, Read: p.read,
		load: Load{Running: 1, Waiting: int(p.read), Tokens: r.Prompt},
		sent: now, prompt: r.Prompt, kept: p.source.kept, move: p.source.move, quiet: b.quiet(p.wait),
	}
	if p.prompt != nil {
		c.Priority = priority(p.read, t.learnedOf(r.Service).meanRead(p.read), r.Rank)
		c.Salt = p.prompt.salt
		c.Trace = r.trace(b, t.index, &p)
		t.learnedOf(r.Service).lookedFor(c.Shared, t.displaced(r, p.prompt))
		t.fetchFrom(c, r, p)
	}
	b.own = b.own.Plus(c.load)
	if b.pending == 0 {
		b.progress = now
	}
	b.pending++
	if p.prompt != nil && len(p.prompt.keys) > 1 {
		b.expect(now, p.prompt.keys[:len(p.prompt.keys)-1])
	}
	if now < b.coldUntil {
		b.coldNext = now + t.coldShareOf(b)
	}
	b.trial = b.failures >= dead
	return c
}

// trace records what the index knew of a prompt when its backend was chosen.
func (r *Request) trace(b *Backend, index *kvindex.Index, p *candidate) Trace {
	shared := r.shared()
	trace := Trace{
		Shared: shared, Kept: min(shared, p.source.kept), Held: min(shared, index.Held(b.ID, p.prompt.keys, r.Parts)),
		Fit: min(shared, p.prompt.longest), Unfit: min(shared, p.prompt.unfit),
	}
	if len(r.Parts) > 1 {
		trace.Subject = r.Parts[len(r.Parts)-2].ID
	}
	return trace
}

// fetchFrom names the holder to fetch from, picked by water-filling: the least own count among those of the longest prefix that are nearest to
// the backend, raised before the next pick. What is read anew is saved to a store.
func (t *Table) fetchFrom(c *Choice, r *Request, p candidate) {
	if !p.source.fetch {
		c.Save = t.saveTo(r, p)
		return
	}
	holders := p.prompt.nearestHolders(c.Backend.Zone)
	if i := waterfill.Pick(len(holders), func(i int) int { return holders[i].fetching }, t.random.IntN); i >= 0 {
		c.holder = holders[i]
		c.holder.fetching++
		c.Fetch = c.holder.Addr
	}
}

// saveTo returns the address of a store that lacks the shared parts of a prompt, "" if there is none or saving is not worth its transfer.
func (t *Table) saveTo(r *Request, p candidate) string {
	if len(r.Parts) < 2 || trial.Off(trial.StoreSave) {
		return ""
	}
	shared := r.Parts[:len(r.Parts)-1]
	keys := p.prompt.keys[:len(shared)]
	tokens := 0
	for _, part := range shared {
		tokens += part.Tokens
	}
	if !t.movesFaster(r.Service, tokens) {
		return ""
	}
	for _, s := range t.stores {
		if tokens-t.index.Held(s.ID, keys, shared) >= storeWorthTokens {
			return s.Addr
		}
	}
	return ""
}

// saltOf returns the cache salt that separates versions of the weights and isolated tenants.
func saltOf(version int64, wall string) string {
	salt := "v" + strconv.FormatInt(version, 10)
	if wall != "" {
		salt += "/" + wall
	}
	return salt
}
