package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"nettlefold/internal/routing"
	"nettlefold/mixer"
)

func init() { sources = append(sources, queryCurves) }

// took is how long a searcher takes for a part in these plays: what a mixer of the plan may wait for one (room) halved.
const took = int64(8e6) // ns

// hollow is the module's floor: it keeps what is sent and counts what is set.
type hollow struct {
	index            map[string]int // of a part, by its id
	sent             []int
	timers, notes    int
	answered, others int
}

func (h *hollow) Forward(part, _ string, _ int64) { h.sent = append(h.sent, h.index[part]) }
func (h *hollow) Cancel(string, int)              { h.others++ }
func (h *hollow) Answer(_ string, whole bool) {
	if whole {
		h.answered++
	}
}
func (h *hollow) Reject(string, int64)               { h.others++ }
func (h *hollow) Fail(string)                        { h.others++ }
func (h *hollow) CloseIdle(string)                   { h.others++ }
func (h *hollow) SetTimer(int64, mixer.TimerHandler) { h.timers++ }
func (h *hollow) Subscribe()                         {}
func (h *hollow) Note(string)                        { h.notes++ }

// world is a module that serves queries in model time.
type world struct {
	now    int64
	m      *mixer.Mixer
	floor  *hollow
	rng    *rand.Rand
	cells  int
	pieces []mixer.PartRequest
}

// newWorld makes a module that knows so many searchers in so many cells, and queries of so many parts.
func newWorld(searchers, cells, parts int, c mixer.Config) *world {
	w := &world{now: 1790000000e9, rng: rand.New(rand.NewPCG(1, 2)), cells: cells, floor: &hollow{index: map[string]int{}}}
	w.m = mixer.New(w.now, c, 1, w.floor)
	rows := make([]mixer.Entry, searchers)
	for i := range rows {
		rows[i] = mixer.Entry{Searcher: "searcher-" + strconv.Itoa(i), Cell: i % cells,
			Zone: "zone-" + strconv.Itoa(i%int(ZonesAll)), Status: mixer.Live}
	}
	w.m.UpdateList(w.now, rows, true)
	for i := range parts {
		id := "query." + strconv.Itoa(i)
		w.floor.index[id] = i
		w.pieces = append(w.pieces, mixer.PartRequest{ID: id, Weight: 1 / float64(parts)})
	}
	return w
}

// query serves one: parts of as many cells as there are, each answered after a while.
func (w *world) query() {
	w.now += 1e9 * int64(Mixers) / int64(Queries)
	start := w.rng.IntN(w.cells)
	l := w.m.StartLookup(w.now, mixer.LookupRequest{ID: "query", NotAfter: w.now + int64(Answer*1e9), Parts: len(w.pieces)})
	for i, p := range w.pieces {
		p.Slice = start + i
		l.AddPart(w.now, p)
	}
	w.now += took
	for _, i := range w.floor.sent {
		w.now++
		l.HandleOutcome(w.now, i, 0, mixer.Succeeded, took, false)
	}
	w.floor.sent = w.floor.sent[:0]
}

// fill has the budget's window full of parts, spread over it, without serving them: of a query whose client has gone at once.
func (w *world) fill(window int64, parts int) {
	l := w.m.StartLookup(w.now, mixer.LookupRequest{ID: "gone", NotAfter: w.now + int64(Answer*1e9), Parts: parts + 1})
	l.Abandon(w.now)
	for range parts {
		w.now += window / int64(parts)
		l.AddPart(w.now, w.pieces[0])
	}
}

// served is what a query costs the module alone, in the mean of several.
func served(searchers, cells, parts int, c mixer.Config) (allocations, bytes, forwards, timers, seconds float64, err error) {
	w := newWorld(searchers, cells, parts, c)
	times := max(4, 600/parts/max(1, searchers/cells/holders))
	for range times {
		w.query()
	}
	w.floor.answered, w.floor.timers, w.floor.others = 0, 0, 0
	rounds := 3
	a, b, t := best(rounds, func() {
		for range times {
			w.query()
		}
	})
	if n := rounds * times; w.floor.answered != n || w.floor.others > 0 {
		return 0, 0, 0, 0, 0, fmt.Errorf("query of %d parts at %d searchers: %d of %d answered whole, %d refused, cancelled or closed",
			parts, searchers, w.floor.answered, n, w.floor.others)
	}
	n := float64(times)
	return a / n, b / n, float64(parts), float64(w.floor.timers) / n / float64(rounds), t.Seconds() / n, nil
}

// routed is what a query costs in the router, with its lock, slots and timers, each answer told by itself. It runs in real time:
// a part is held to be late by how long others took, so each query waits a moment for its answers.
func routed(searchers, cells, parts int) (allocations, seconds float64, err error) {
	list, err := read(whole(searchers, cells))
	if err != nil {
		return 0, 0, err
	}
	c := Terms(cells)
	c.Tariffs[0].Expected, c.Tariffs[0].Patience = int64(late), int64(late)
	r, err := router(c, list.Entries())
	if err != nil {
		return 0, 0, err
	}
	q := routing.Lookup{Tariff: "all", Parts: make([]routing.Part, parts)}
	rng, times := rand.New(rand.NewPCG(1, 2)), 8
	var held time.Duration
	timed := func(do func()) {
		began := time.Now()
		do()
		held += time.Since(began)
	}
	a, _, _ := Allocated(func() {
		for k := range times {
			q.ID, q.Expires = "query-"+strconv.Itoa(k), time.Now().Add(late)
			start := rng.IntN(cells)
			for i := range q.Parts {
				q.Parts[i] = routing.Part{Slice: start + i, Weight: 1 / float64(parts)}
			}
			var t *routing.Ticket
			if timed(func() { t, err = r.Take(q) }); err != nil {
				return
			}
			for final := false; !final; {
				var step routing.Step
				if timed(func() { step, err = t.Pick(context.Background()) }); err != nil {
					return
				}
				final = step.Final != nil
				if len(step.Calls) > 0 {
					time.Sleep(2 * time.Millisecond)
				}
				timed(func() {
					for _, call := range step.Calls {
						for _, f := range call.Forwards {
							f.Leave()
							f.Report(mixer.Succeeded, nil)
						}
					}
				})
			}
		}
		time.Sleep(late)
		timed(func() { r.Tick() })
	})
	return a / float64(times), held.Seconds() / float64(times), err
}

// late is the expected time of queries that are played in real time, in which their timers run out.
const late = 250 * time.Millisecond

func queryCurves() []Curve {
	return []Curve{{
		Role: "mixer", Of: "parts", Plan: Parts, Sizes: []int{5, 10, 20, 44, 88, 176, 400}, Quick: []int{4, 8, 16, 32, 64},
		Quantities: []Quantity{
			{Name: "query: allocations in the module", Unit: "1", Form: Affine, Deterministic: true, Known: queryAllocations},
			{Name: "query: bytes allocated in the module", Unit: "B", Form: Affine, Deterministic: true, Known: queryBytes},
			{Name: "query: attempts sent", Unit: "1", Form: Affine, Deterministic: true, Known: queryAttempts},
			{Name: "query: timers set by the module", Unit: "1", Form: Flat, Deterministic: true},
			{Name: "query: in the module", Unit: "s", Form: Affine, Known: queryTime},
			{Name: "query: allocations in the router", Unit: "1", Form: Affine, Known: routerAllocations},
			{Name: "query: in the router, all of its calls", Unit: "s", Form: Affine, Known: routerTime},
		},
		Play: func(parts int) ([]float64, error) {
			a, b, f, timers, t, err := served(4000, 4000/holders, parts, Terms(4000/holders))
			if err != nil {
				return nil, err
			}
			ra, rt, err := routed(4000, 4000/holders, parts)
			return []float64{a, b, f, timers, t, ra, rt}, err
		},
	}, {
		Role: "mixer", Of: "searchers", Plan: Searchers, Sizes: fleetSizes, Quick: quickSizes,
		Quantities: []Quantity{
			{Name: "query of 88 parts, 4 holders a part: allocations in the module", Unit: "1", Form: Flat, Deterministic: true},
			{Name: "query of 88 parts, 4 holders a part: in the module", Unit: "s", Form: Power, Known: queryBySearchers},
		},
		Play: func(searchers int) ([]float64, error) {
			a, _, _, _, t, err := served(searchers, cellsOf(searchers), Parts, Terms(cellsOf(searchers)))
			return []float64{a, t}, err
		},
	}, {
		Role: "mixer", Of: "holders of a part", Plan: Searchers / Parts, Sizes: []int{4, 13, 42, 133, 420}, Quick: []int{2,
			4, 8, 16, 32},
		Quantities: []Quantity{
			{Name: "query of 88 parts: allocations in the module", Unit: "1", Form: Flat, Deterministic: true},
			{Name: "query of 88 parts: in the module", Unit: "s", Form: Affine, Known: queryByHolders},
		},
		Play: func(holders int) ([]float64, error) {
			a, _, _, _, t, err := served(holders*Parts, Parts, Parts, Terms(Parts))
			return []float64{a, t}, err
		},
	}, {
		Role: "mixer", Of: "parts in the budget's window", Plan: Queries / Mixers * (Parts + 1) * budgetFor,
		Sizes: []int{3700, 11000, 37000, 64000, 116000}, Quick: []int{200, 400, 800, 1600, 3200},
		Quantities: []Quantity{
			{Name: "query of 88 parts, with a forward budget: in the module", Unit: "s", Form: Affine, Known: queryByBudget},
		},
		Play: func(window int) ([]float64, error) {
			c := Terms(1000)
			c.BudgetFree, c.BudgetShare = 10, 0.1
			c.BudgetFor = int64(float64(window) / (Queries / Mixers * (Parts + 1)) * 1e9)
			w := newWorld(4000, 1000, Parts, c)
			for range 10 {
				w.query()
			}
			w.fill(c.BudgetFor, window)
			_, _, t := best(3, func() {
				for range 4 {
					w.query()
				}
			})
			return []float64{t.Seconds() / 4}, nil
		},
	}}
}
