package fanout

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"nettlefold/internal/lab/capacity"
	"nettlefold/mixer"
)

// World is how the searchers of a case behave and what the module knows of them.
type World struct {
	Parts, Holders, Searchers int
	Met                       bool          // searchers have answered before, each at a pace of its own; else none has, and all are equal
	OneCell                   int           // parts that are all of one cell
	Lossy                     bool          // one attempt in 64 is lost, one in 64 takes five times as long
	NoCopy                    bool          // the settings forbid two attempts of a part at once
	Budget                    time.Duration // window of the forward budget, which is full of what a mixer of the plan sends; 0: none
	From                      float64       // weight of the parts that make an answer whole, 0: all
}

// cells gives how many there are.
func (w World) cells() int { return max(1, w.Searchers/w.Holders) }

func (w World) charter() mixer.Config {
	c := capacity.Terms(w.cells())
	c.MayCopy = !w.NoCopy
	if w.Lossy { // time to send again what is lost
		c.Tariffs[0].Expected, c.Tariffs[0].Patience = int64(ample), int64(ample)
	}
	if w.From > 0 {
		c.Tariffs[0].CompleteFrom, c.Tariffs[0].LeastShare = w.From, w.From
	}
	if w.Budget > 0 {
		c.BudgetFor, c.BudgetFree, c.BudgetShare = int64(w.Budget), 10, 0.1
	}
	return c
}

// player serves queries by a module in model time, and times each call to it. Its own work between calls isn't timed, nor does it
// allocate once its slices have grown.
type player struct {
	world   World
	c       mixer.Config
	now     int64
	m       *mixer.Mixer
	floor   *floor
	rng     *rand.Rand
	agenda  agenda
	index   map[string]int   // of a part, by its id
	pace    map[string]int64 // ns that a searcher takes
	pieces  []mixer.PartRequest
	queries int

	attempts [][]attempt // by part
	in       []bool
	open     int // attempts without outcome
	done     bool

	// What was measured since begin.
	parts, calls, sent, refused int
	taking, outcomes            time.Duration
	longestTake, longestAfter   time.Duration
}

// attempt is one of a part: when it was sent, and when it had its outcome, 0 while it hasn't.
type attempt struct{ sent, ended int64 }

const (
	middle   = int64(8e6) // ns that a searcher takes for a part, in the mean
	lostOnce = 64         // of so many attempts one is lost, and one late
	ample    = 200 * time.Millisecond
)

// numbered names a searcher.
func numbered(i int) string { return "searcher-" + strconv.Itoa(i) }

func newPlayer(w World) *player {
	p := &player{world: w, c: w.charter(), now: 1790000000e9, floor: &floor{}, rng: rand.New(rand.NewPCG(1, 2)),
		index: map[string]int{}, pace: make(map[string]int64, w.Searchers), in: make([]bool, w.Parts), attempts: make([][]attempt, w.Parts)}
	p.m = mixer.New(p.now, p.c, 1, p.floor)
	rows := make([]mixer.Entry, w.Searchers)
	kept := mixer.Snapshot{Fleet: mixer.Pace{Took: float64(middle) * 1e4, Calls: 1e4}}
	for i := range rows {
		id := numbered(i)
		rows[i] = mixer.Entry{Searcher: id, Cell: i % w.cells(), Zone: "zone-" + strconv.Itoa(i%int(capacity.ZonesAll)), Status: mixer.Live}
		p.pace[id] = middle
		if w.Met {
			_, share := math.Modf(float64(i) * math.Phi)
			p.pace[id] = middle/2 + int64(share*float64(middle))
			kept.Process = append(kept.Process, mixer.Pace{Searcher: id, Took: 4 * float64(p.pace[id]), Calls: 4})
		}
	}
	p.m.UpdateList(p.now, rows, true)
	for i := range w.Parts {
		id := "query." + strconv.Itoa(i)
		p.index[id] = i
		p.pieces = append(p.pieces, mixer.PartRequest{ID: id, Weight: 1 / float64(w.Parts)})
	}
	if w.Met {
		p.m.Restore(p.now, kept)
		for range min(100, w.cells()/w.Parts) + 2 { // the module's own slices grow, all cells are met
			p.query()
		}
	}
	p.begin()
	return p
}

// begin forgets what was measured.
func (p *player) begin() {
	p.parts, p.calls, p.sent, p.refused, p.taking, p.outcomes, p.longestTake, p.longestAfter = 0, 0, 0, 0, 0, 0, 0, 0
}

// fill has the budget's window full, without serving what fills it: of a query whose client has gone at once.
func (p *player) fill() {
	parts := int(p.world.Budget.Seconds() * (capacity.Queries / capacity.Mixers) * (capacity.Parts + 1))
	l := p.m.StartLookup(p.now, mixer.LookupRequest{ID: "gone", NotAfter: p.now + int64(capacity.Answer*1e9), Parts: parts + 1})
	l.Abandon(p.now)
	for range parts {
		p.now += int64(p.world.Budget) / int64(parts)
		l.AddPart(p.now, p.pieces[0])
	}
	p.floor.timers = p.floor.timers[:0]
}

// query serves one to its end, and on until each of its attempts has its outcome.
func (p *player) query() {
	p.now += 1e9 * int64(capacity.Mixers) / int64(capacity.Queries)
	start := p.rng.IntN(p.c.Cells)
	if !p.world.Met {
		start = p.queries * p.world.Parts // cells that nothing was sent to yet, as long as there are any
	}
	p.queries++
	for i := range p.pieces {
		p.in[i], p.attempts[i] = false, p.attempts[i][:0]
		if p.pieces[i].Slice = (start + i) % p.c.Cells; i < p.world.OneCell {
			p.pieces[i].Slice = start % p.c.Cells
		}
	}
	p.done, p.open = false, 0

	began := time.Now()
	l := p.m.StartLookup(p.now, mixer.LookupRequest{ID: "query", NotAfter: p.now + p.c.Tariffs[0].Patience, Parts: len(p.pieces)})
	for i := range p.pieces {
		l.AddPart(p.now, p.pieces[i])
	}
	took := time.Since(began)
	p.parts, p.calls, p.taking, p.longestTake = p.parts+len(p.pieces), p.calls+1, p.taking+took, max(p.longestTake, took)
	p.gather()
	for !p.done || p.open > 0 {
		e := p.agenda.next()
		if e.whose == nil && p.attempts[e.part][e.attempt].ended > 0 {
			continue // it was cancelled
		}
		p.now = max(p.now+1, e.at)
		if e.whose == nil {
			a := &p.attempts[e.part][e.attempt]
			a.ended, e.took = p.now, p.now-a.sent
			p.open--
			p.in[e.part] = p.in[e.part] || e.outcome == mixer.Succeeded
		}
		began := time.Now()
		if e.whose != nil {
			e.whose.HandleTimer(p.now)
		} else {
			l.HandleOutcome(p.now, e.part, e.attempt, e.outcome, e.took, p.in[e.part] || p.done)
		}
		took := time.Since(began)
		p.calls, p.outcomes, p.longestAfter = p.calls+1, p.outcomes+took, max(p.longestAfter, took)
		p.gather()
	}
	p.agenda.dropQueries()
}

// gather makes events of what the module has done.
func (p *player) gather() {
	f := p.floor
	if f.ended > 0 {
		if p.done = true; !f.whole {
			p.refused++
		}
		f.ended = 0
	}
	for _, s := range f.sent {
		i := p.index[s.part]
		e, took := event{part: i, attempt: len(p.attempts[i])}, p.pace[s.searcher]
		if p.world.Lossy {
			switch p.rng.IntN(lostOnce) {
			case 0:
				took = s.within + 1
			case 1:
				took *= 5
			}
		}
		if took > s.within {
			took, e.outcome = s.within, mixer.TimedOut
		}
		e.at = p.now + took
		p.attempts[i] = append(p.attempts[i], attempt{sent: p.now})
		p.open++
		p.sent++
		p.agenda.add(e)
	}
	for _, c := range f.cancelled {
		if i := p.index[c.part]; p.attempts[i][c.attempt].ended == 0 {
			p.agenda.add(event{at: p.now, part: i, attempt: c.attempt, outcome: mixer.Cancelled})
		}
	}
	for _, t := range f.timers {
		p.agenda.add(event{at: p.now + t.after, whose: t.whose})
	}
	f.sent, f.cancelled, f.timers = f.sent[:0], f.cancelled[:0], f.timers[:0]
}
