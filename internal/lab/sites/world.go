// Package sites plays the loss and the return of a whole site in model time: the real module and the real decider of each
// mixer, searchers as queues, clients that go elsewhere and come again, a list that tells late. One seed, one history.
package sites

import (
	"fmt"
	"math/rand"

	"nettlefold/internal/fleet/siteloss"
	"nettlefold/internal/lab/fleet"
	"nettlefold/mixer"
)

const ms = int64(1_000_000)

// Setup says what is played.
type Setup struct {
	Seed                      int64
	Mixers, Searchers, Cells  int
	Load                      float64 // of what all searchers bear, while all is sound
	Plan                      bool    // the decider is on
	LostAt, BackAt, Ends      int64   // of model time
	Every, Expected, Patience int64
	ColdFor                   int64
	Sorts                     []sort
}

// Usual is three sites; the first one is lost for 15 s and returns cold.
func Usual(seed int64, mixers, searchers int, plan bool) Setup {
	return Setup{Seed: seed, Mixers: mixers, Searchers: searchers, Cells: 10, Load: 0.75, Plan: plan,
		LostAt: 12_000 * ms, BackAt: 27_000 * ms,
		Ends: 53_000 * ms, Every: 250 * ms, Expected: 800 * ms, Patience: 2500 * ms, ColdFor: 15_000 * ms, Sorts: Example}
}

const (
	nSites    = 3
	work      = 20 * ms
	cores     = 2
	net       = ms
	lateList  = 4000 * ms // until the list says that a lost searcher is dead
	coldFrom  = 0.15
	coldTimes = 2.0
	coldCount = 1000 * ms
	tries     = 3
)

// sort is a sort of lookup: how many parts each has, and how often it comes.
type sort struct {
	parts int
	share float64
	siteloss.Tariff
}

// Sorts of lookups. The second is any-n: as in the operators' example, where what is least is complete, or going down further.
// The last row of the charter is the any-n tariff at its least share.
var (
	Example = []sort{
		{2, 0.4, siteloss.Tariff{Revenue: 1, CompleteFrom: 1, LeastShare: 1, Floor: 0.05}},
		{3, 0.3, siteloss.Tariff{Revenue: 0.9, CompleteFrom: 2.0 / 3, LeastShare: 2.0 / 3, Partial: 0.9, Floor: 0.05}},
		{3, 0.3, siteloss.Tariff{Revenue: 0.4, CompleteFrom: 1, LeastShare: 1, Floor: 0.05}},
	}
	Further = []sort{
		Example[0],
		{4, 0.3, siteloss.Tariff{Revenue: 0.9, CompleteFrom: 0.75, LeastShare: 0.5, Partial: 0.9, Floor: 0.05}},
		Example[2],
	}
)

// World is one history.
type World struct {
	Setup
	clock     *fleet.World // of which only the clock is used
	nodes     []*node
	searchers []*searcher
	byName    map[string]*searcher
	start     int64
	rng       *rand.Rand
	charter   mixer.Config
	rules     siteloss.Rules
	lookups   []*lookup
	out       bool // the site is lost
	board     []posted
	Declared  []int64 // when each mixer held the site lost
	False     int     // verdicts on sites that are sound
}

type searcher struct {
	name        string
	index, cell int
	site        int
	started     int64
	status      mixer.Status
	dead        bool
	falls       int
	free        []int64
	cold        []int64
	sent        int
}

type lookup struct {
	sort, slice int
	at, end     int64
	tried       int
	earned      float64
	done        bool
}

// try is one lookup as a mixer has it.
type try struct {
	l     *lookup
	n     *node
	h     *mixer.Lookup
	least bool // asked for the least share
	over  bool
}

type piece struct {
	t           *try
	index, cell int
	sent        int
	in          bool
}

// New makes a world.
func New(s Setup) *World {
	c := mixer.Config{Mixers: s.Mixers, Cells: s.Cells, Reach: 1, PerCall: 4, MaxForwards: 4, MayCopy: true, MayAdvise: true,
		MaxAdvice: 1000 * ms, ColdFrom: coldFrom, ColdFor: s.ColdFor, FallMultiple: coldTimes, FallFor: coldCount,
		BudgetFor: 10_000 * ms, BudgetFree: 10, BudgetShare: 0.2}
	w := &World{Setup: s, rng: rand.New(rand.NewSource(s.Seed)), byName: map[string]*searcher{}, board: make([]posted, s.Mixers),
		Declared: make([]int64, s.Mixers), rules: siteloss.Rules{Cells: s.Cells, Reach: 1, MaxAdvice: 1000 * ms}}
	for _, t := range w.Sorts {
		c.Tariffs = append(c.Tariffs, mixer.Tariff{Expected: s.Expected, Patience: s.Patience, CompleteFrom: t.CompleteFrom,
			LeastShare: t.LeastShare, Partial: t.Partial})
		w.rules.Tariffs = append(w.rules.Tariffs, t.Tariff)
	}
	c.Tariffs = append(c.Tariffs, c.Tariffs[1])
	c.Tariffs[3].CompleteFrom = c.Tariffs[3].LeastShare
	w.charter = c
	w.clock = fleet.New(fleet.Setup{Seed: s.Seed, Charter: c})
	w.start = w.clock.Now
	for i := range s.Searchers {
		o := &searcher{name: fmt.Sprintf("s%d", i), index: i, cell: i % s.Cells, site: i / s.Cells % nSites, free: make([]int64, cores)}
		w.searchers, w.byName[o.name] = append(w.searchers, o), o
	}
	perPart := 0.0
	for _, t := range w.Sorts {
		perPart += t.share * t.CompleteFrom * float64(t.parts)
	}
	rate := s.Load * float64(s.Searchers*cores) / (float64(work) / 1e9) / perPart / float64(s.Mixers)
	for i := range s.Mixers {
		n := &node{w: w, index: i, site: i % nSites, rate: rate}
		w.nodes = append(w.nodes, n)
		n.start()
		arrive := rand.New(rand.NewSource(s.Seed*1000 + int64(i)))
		w.arrivals(n, arrive)
		w.decides(n)
	}
	w.clock.After(s.LostAt, w.lose)
	w.clock.After(s.BackAt, w.back)
	return w
}

// lose has the first site go: mixers, searchers and its clients' front.
func (w *World) lose() {
	w.out = true
	for _, o := range w.searchers {
		if o.site == 0 {
			o.dead = true
			w.clock.After(lateList, func() {
				if o.dead {
					o.status = mixer.Dead
					w.tell(o)
				}
			})
		}
	}
	for _, n := range w.nodes {
		if n.site == 0 {
			n.alive = false
		}
	}
}

// back has it return, all cold.
func (w *World) back() {
	w.out = false
	for _, o := range w.searchers {
		if o.site == 0 {
			o.dead, o.started, o.status, o.cold = false, w.clock.Now, mixer.Live, nil
			clear(o.free)
			w.tell(o)
		}
	}
	for _, n := range w.nodes {
		if n.site == 0 {
			n.start()
		}
	}
}

func (o *searcher) entry() mixer.Entry {
	return mixer.Entry{Searcher: o.name, Started: o.started, Cell: o.cell, Zone: fmt.Sprint(o.site), Status: o.status}
}

// tell has every mixer told how a searcher stands, each late by its own chance.
func (w *World) tell(o *searcher) {
	e := o.entry()
	for _, n := range w.nodes {
		w.clock.After(1+w.rng.Int63n(500*ms), func() {
			if n.alive {
				n.m.UpdateList(w.clock.Now, []mixer.Entry{e}, false)
			}
		})
	}
}

func (w *World) frac(o *searcher) float64 {
	if o.started == 0 || w.clock.Now-o.started >= w.ColdFor {
		return 1
	}
	return coldFrom + (1-coldFrom)*float64(w.clock.Now-o.started)/float64(w.ColdFor)
}

// arrivals has clients come to a mixer at random; those of one that is lost go to another.
func (w *World) arrivals(n *node, rng *rand.Rand) {
	var next func()
	next = func() {
		x, sort := rng.Float64(), 0
		for x -= w.Sorts[0].share; x > 0 && sort < len(w.Sorts)-1; x -= w.Sorts[sort].share {
			sort++
		}
		l := &lookup{sort: sort, slice: rng.Intn(w.Cells), at: w.clock.Now}
		w.lookups = append(w.lookups, l)
		w.ask(n, l)
		w.clock.After(int64(rng.ExpFloat64()/n.rate*1e9), next)
	}
	w.clock.After(int64(rng.ExpFloat64()/n.rate*1e9), next)
}

// ask has a client ask a mixer, or another one where that is away.
func (w *World) ask(n *node, l *lookup) {
	if l.done || w.clock.Now >= l.at+w.Patience {
		return
	}
	if !n.alive {
		other := w.nodes[w.rng.Intn(len(w.nodes))]
		w.clock.After(100*ms, func() { w.ask(other, l) })
		return
	}
	l.tried++
	n.take(l)
}

// again has a client that was turned away come again, to any mixer.
func (w *World) again(l *lookup, wait int64) {
	if l.tried < tries {
		other := w.nodes[w.rng.Intn(len(w.nodes))]
		w.clock.After(max(wait, 200*ms)+w.rng.Int63n(100*ms), func() { w.ask(other, l) })
	}
}

// serve has a searcher take a part, and gives when its answer is there, false where none comes.
func (w *World) serve(o *searcher, from int) (after int64, ok bool) {
	if o.dead {
		return 0, false
	}
	path := net
	if o.site != from {
		path *= 2
	}
	frac := w.frac(o)
	if frac < 1 {
		o.cold = append(o.cold, w.clock.Now)
		for o.cold[0] <= w.clock.Now-coldCount {
			o.cold = o.cold[1:]
		}
		if n := coldTimes * frac * cores / float64(work) * float64(coldCount); float64(len(o.cold)) > siteloss.Budget(n) {
			o.dead = true
			o.falls++
			return 0, false
		}
	}
	o.sent++
	took := (w.rng.ExpFloat64() + w.rng.ExpFloat64()) / 2 * float64(work) / frac
	first := 0
	for i := range o.free {
		if o.free[i] < o.free[first] {
			first = i
		}
	}
	done := max(o.free[first], w.clock.Now+path) + int64(took)
	o.free[first] = done
	return done + path - w.clock.Now, true
}
