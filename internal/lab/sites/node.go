package sites

import (
	"fmt"

	"nettlefold/internal/fleet/siteloss"
	"nettlefold/mixer"
)

// node is one mixer: the module, and beside it the decider, which it is told of and which tells it.
type node struct {
	w       *World
	index   int
	site    int
	rate    float64
	alive   bool
	lives   int
	number  int
	m       *mixer.Mixer
	tries   map[string]*try
	pieces  map[string]*piece
	state   *siteloss.State
	paces   []*siteloss.Pace
	bearing *siteloss.Bearing
	plan    *siteloss.Plan
	leaves  []siteloss.Leave
	seen    [][]siteloss.Evidence // by round, by site
	loads   [][]siteloss.Load     // by round, by cell
	asked   []map[[2]int]int      // by round: sort and first slice
	before  []float64             // what the fleet was asked while all was sound
	wasOut  bool
}

const rounds = 8 // of Every, that demand and loads are counted over

type posted struct {
	at int64
	r  siteloss.Report
}

// start starts a mixer anew: it knows nothing but the list.
func (n *node) start() {
	w := n.w
	n.lives++
	n.alive = true
	n.tries, n.pieces = map[string]*try{}, map[string]*piece{}
	c := w.charter
	c.Zone = fmt.Sprint(n.site)
	n.m = mixer.New(w.clock.Now, c, w.Seed+int64(n.index)*104729+int64(n.lives), floor{n, n.lives})
	var rows []mixer.Entry
	for _, o := range w.searchers {
		rows = append(rows, o.entry())
	}
	n.m.UpdateList(w.clock.Now, rows, true)
	terms := siteloss.Terms{Own: n.site, Sites: nSites, Every: w.Every, Expected: w.Expected, Warming: w.ColdFor, Beat: 2000 * ms}
	st, err := siteloss.New(w.clock.Now, terms, uint64(n.index)*1000+uint64(n.lives))
	if err != nil {
		panic(err)
	}
	n.state, n.paces = st, nil
	for range nSites {
		n.paces = append(n.paces, siteloss.NewPace(siteloss.PaceTerms{Terms: terms, ColdFrom: coldFrom, Cold: coldCount,
			Rank: n.index, Mixers: w.Mixers}))
	}
	n.bearing, n.plan, n.before, n.wasOut = siteloss.NewBearing(w.Cells, 1000*ms), nil, nil, false
	n.leaves = make([]siteloss.Leave, nSites)
	n.seen, n.loads, n.asked = nil, nil, nil
	n.turn()
}

// turn begins a round of counting.
func (n *node) turn() {
	n.seen = append(n.seen, make([]siteloss.Evidence, nSites))
	n.loads = append(n.loads, make([]siteloss.Load, n.w.Cells))
	n.asked = append(n.asked, map[[2]int]int{})
	if len(n.seen) > rounds {
		n.seen, n.loads, n.asked = n.seen[1:], n.loads[1:], n.asked[1:]
	}
}

func (n *node) take(l *lookup) {
	w := n.w
	if l.tried == 1 {
		n.asked[len(n.asked)-1][[2]int{l.sort, l.slice}]++
	}
	row, least, parts := l.sort, false, w.Sorts[l.sort].parts
	slices := make([]int, parts)
	for i := range slices {
		slices[i] = (l.slice + i) % w.Cells
	}
	asks := siteloss.Lookup{Tariff: l.sort, Slices: slices, Again: l.tried > 1}
	if n.plan != nil {
		ok, ask, wait := n.plan.Admit(asks)
		if !ok {
			w.again(l, wait)
			return
		}
		if least = ask < w.Sorts[l.sort].CompleteFrom; least {
			row = 3
		}
	}
	n.number++
	id := fmt.Sprintf("%d.%d", n.lives, n.number)
	t := &try{l: l, n: n, least: least}
	n.tries[id] = t
	t.h = n.m.StartLookup(w.clock.Now, mixer.LookupRequest{ID: id, Tariff: row, NotAfter: l.at + w.Patience, Parts: parts, Again: l.tried > 1})
	for i, s := range slices {
		p := mixer.PartRequest{ID: fmt.Sprintf("%s/%d", id, i), Slice: s, Weight: 1 / float64(parts)}
		n.pieces[p.ID] = &piece{t: t, index: i, cell: s}
		t.h.AddPart(w.clock.Now, p)
	}
	if t.over && !l.done && l.tried == 1 { // the module turned it away at once
		n.plan.Return(asks)
		for _, s := range slices {
			n.loads[len(n.loads)-1][s].Late++
		}
	}
}

// floor is how one life of a module acts.
type floor struct {
	*node
	life int
}

func (f floor) Forward(id, to string, within int64) {
	w, p, n, m := f.w, f.pieces[id], f.node, f.m
	copy, o, began := p.sent, w.byName[to], w.clock.Now
	p.sent++
	outcome := func(after int64, out mixer.Outcome) {
		w.clock.After(after, func() {
			if n.m != m || !n.alive {
				return
			}
			if took := w.clock.Now - began; out == mixer.Succeeded {
				e, c := &n.seen[len(n.seen)-1][o.site], &n.loads[len(n.loads)-1][o.cell]
				e.Answered++
				c.Work++ // parts, until it is told
				if took > w.Expected {
					e.Late++
				}
				if took > w.Expected/2 {
					c.Late++
				}
			}
			p.in = p.in || out == mixer.Succeeded && !p.t.over
			p.t.h.HandleOutcome(w.clock.Now, p.index, copy, out, w.clock.Now-began, p.in || p.t.over)
		})
	}
	after, ok := w.serve(o, n.site)
	if ok && after <= within {
		outcome(after, mixer.Succeeded)
		return
	}
	if !ok { // nothing comes: it counts as lost once it would have been expected
		w.clock.After(min(w.Expected/2, max(within, 100*ms)), func() {
			if n.m == m && n.alive {
				n.seen[len(n.seen)-1][o.site].Lost++
			}
		})
	}
	outcome(within, mixer.TimedOut)
}

func (f floor) end(id string) *try {
	t := f.tries[id]
	t.over = true
	delete(f.tries, id)
	for i := range f.w.Sorts[t.l.sort].parts {
		delete(f.pieces, fmt.Sprintf("%s/%d", id, i))
	}
	return t
}

func (f floor) Answer(id string, whole bool) {
	t := f.end(id)
	l, s := t.l, f.w.Sorts[t.l.sort]
	if l.done {
		return
	}
	l.done, l.end = true, f.w.clock.Now
	if l.end-l.at > f.w.Expected {
		return // it earns nothing here: whoever waited longer for it is not counted
	}
	switch {
	case t.least:
		l.earned = s.Revenue * s.Partial * s.LeastShare / s.CompleteFrom
	case whole:
		l.earned = s.Revenue
	default:
		l.earned = s.Revenue * s.Partial * s.LeastShare / s.CompleteFrom
	}
}

func (f floor) Reject(id string, wait int64) { f.w.again(f.end(id).l, wait) }
func (f floor) Fail(id string)               { f.w.again(f.end(id).l, 0) }
func (f floor) Cancel(string, int)           {}
func (f floor) CloseIdle(string)             {}
func (f floor) Subscribe()                   {}
func (f floor) Note(string)                  {}
func (f floor) SetTimer(after int64, whose mixer.TimerHandler) {
	f.w.clock.After(after, func() {
		if f.lives == f.life && f.alive {
			whose.HandleTimer(f.w.clock.Now)
		}
	})
}
