package siteloss

import (
	"cmp"
	"math"
	"slices"
)

// Item is something that may be let in, in part: its load by kind and its revenue at 1, and how much of it there is. Items of
// one class together are no more than the class has.
type Item struct {
	Load    []float64
	Revenue float64
	Limit   float64
	Class   int
}

// Solver fills what a base load leaves with items, for the most revenue, and gives how much of each. A class has its room.
type Solver func(r Ring, base []float64, items []Item, room []float64) []float64

// rounds of prices that Greedy tries.
const rounds = 48

// Greedy takes items by revenue for the price of their work, each as far as it goes. Prices begin equal; each round they
// rise on the kinds that the first item left out is short of. Where two items belong in together in part, no order has both:
// the mean of the rounds has, as a mean of what is borne is borne, and what it leaves is filled up once more. The best counts.
func Greedy(r Ring, base []float64, items []Item, room []float64) (best []float64) {
	prices, mean := make([]float64, r.Cells), make([]float64, len(items))
	for k := range prices {
		prices[k] = 1
	}
	most, step, weight := -1.0, 1.0, 0.0
	try := func(from []float64) (short []bool) {
		taken, sum, short := fillUp(r, base, items, room, prices, from, -1)
		if sum > most {
			most, best = sum, taken
		}
		for i, x := range taken {
			mean[i] += (x - mean[i]) / (weight + 1)
		}
		weight++
		return short
	}
	for round := range rounds {
		short := try(nil)
		if short == nil {
			return best // all is in
		}
		for k, is := range short {
			if is {
				prices[k] *= 1 + step
			}
		}
		step *= 0.93
		if round == rounds/4 {
			weight = 0 // the first rounds know nothing of prices
		}
		if round%8 == 7 && round > rounds/4 {
			kept, of := slices.Clone(mean), weight
			try(slices.Clone(mean))
			mean, weight = kept, of
		}
	}
	e := exchange{r: r, base: base, items: items, room: room, prices: prices, best: best, most: most}
	for share := 1.0; share > 0.02; share /= 2 {
		for pass := 0; pass < passes && e.singles(share); pass++ {
		}
		if e.pairs(share) {
			e.singles(share)
		}
	}
	return e.best
}

// passes of exchanges at one size, and how many may be tried in all.
const (
	passes = 4
	trials = 6_000 // over the number of items: each costs as many steps
)

// exchange betters a solution by small moves.
type exchange struct {
	r                  Ring
	base, room, prices []float64
	items              []Item
	best               []float64
	most               float64
	tried              int
}

func (e *exchange) better(from []float64, first int) bool {
	e.tried++
	taken, sum, _ := fillUp(e.r, e.base, e.items, e.room, e.prices, from, first)
	if sum <= e.most*(1+1e-4) {
		return false
	}
	e.most, e.best = sum, taken
	return true
}

func (e *exchange) gap(j int) float64 {
	return min(e.items[j].Limit, e.room[e.items[j].Class]) - e.best[j]
}

// singles puts one item first with the others after it, or takes one out in part and fills another up before it.
func (e *exchange) singles(share float64) (any bool) {
	for j := range e.items {
		if e.gap(j) < 1e-6 {
			continue
		}
		from := make([]float64, len(e.items))
		from[j] = e.r.most(e.base, e.items[j].Load, e.best[j]+share*e.gap(j))
		any = e.better(e.fillTo(from), -1) || any
		for i := range e.items {
			if i != j && e.best[i] > tiny && e.tried*len(e.items) < trials {
				from := slices.Clone(e.best)
				from[i] *= 1 - share
				any = e.better(from, j) || any
			}
		}
	}
	return any
}

// pairs puts two items first.
func (e *exchange) pairs(share float64) (any bool) {
	load := make([]float64, e.r.Cells)
	for j := range e.items {
		for i := range j {
			if e.gap(i) < 1e-6 || e.gap(j) < 1e-6 || e.items[i].Class == e.items[j].Class || e.tried*len(e.items) >= trials {
				continue
			}
			from := make([]float64, len(e.items))
			from[i] = e.r.most(e.base, e.items[i].Load, e.best[i]+share*e.gap(i))
			for k := range load {
				load[k] = e.base[k] + from[i]*e.items[i].Load[k]
			}
			from[j] = e.r.most(load, e.items[j].Load, e.best[j]+share*e.gap(j))
			any = e.better(e.fillTo(from), -1) || any
		}
	}
	return any
}

// fillTo adds items up to what the best solution has of them, the dearest work last.
func (e *exchange) fillTo(from []float64) []float64 {
	capped := slices.Clone(e.items)
	for i := range capped {
		capped[i].Limit = max(e.best[i], from[i])
	}
	taken, _, _ := fillUp(e.r, e.base, capped, e.room, e.prices, from, -1)
	return taken
}

// fillUp adds items to what is taken already, in the order of their worth at prices, and tells what the first that does not
// go whole is short of.
func fillUp(r Ring, base []float64, items []Item, room, prices, from []float64, first int) (
	taken []float64, sum float64, short []bool) {
	order, worths := make([]int, len(items)), make([]float64, len(items))
	load, left := slices.Clone(base), slices.Clone(room)
	if taken = from; taken == nil {
		taken = make([]float64, len(items))
	}
	add := func(i int, x float64) {
		for k, w := range items[i].Load {
			load[k] += x * w
		}
	}
	for i, x := range taken {
		taken[i] = x * (1 - tiny)
		order[i], worths[i] = i, items[i].Revenue/max(items[i].price(prices), tiny*tiny)
		left[items[i].Class] -= taken[i]
		add(i, taken[i])
	}
	if first >= 0 {
		worths[first] = math.Inf(1)
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(worths[b], worths[a]) })
	for _, i := range order {
		if want := min(items[i].Limit-taken[i], left[items[i].Class]); want > tiny {
			x := r.most(load, items[i].Load, want)
			if x < want*(1-1e-6) && short == nil {
				add(i, want)
				_, short = r.borne(load)
				add(i, -want)
			}
			taken[i] += x
			left[items[i].Class] -= x
			add(i, x)
		}
		sum += taken[i] * items[i].Revenue
	}
	return taken, sum, short
}

func (i Item) price(prices []float64) (sum float64) {
	for k, x := range i.Load {
		sum += prices[k] * x
	}
	return sum
}

// Ceiling is the most revenue a second that lookups which touch a short slice can bring by a solver, whatever the order: floors
// are kept, any-n lookups may be asked whole while others are turned away. It is a yardstick; 0 where nothing is short.
func Ceiling(rules Rules, bears []float64, flows []Flow, by Solver) (worth float64) {
	p := Make(rules, bears, flows)
	if p == nil {
		return 0
	}
	all := p.forms(flows)
	p.trim(all)
	base := make([]float64, rules.Cells)
	for _, f := range all {
		for k := range base {
			base[k] += f.floor * f.less[k]
		}
	}
	scale := p.ring.most(make([]float64, len(base)), base, 1)
	var items []Item
	room := make([]float64, 2*len(all))
	for k := range base {
		base[k] *= scale
	}
	for i, f := range all {
		more := make([]float64, rules.Cells)
		for k := range more {
			more[k] = f.whole[k] - f.less[k]
		}
		room[2*i], room[2*i+1] = 1-scale*f.floor, scale*f.floor
		items = append(items, Item{f.less, f.part, 1, 2 * i}, Item{f.whole, f.revenue, 1, 2 * i},
			Item{more, f.revenue - f.part, 1, 2*i + 1})
		worth += scale * f.floor * f.part
	}
	taken := by(p.ring, base, items, room)
	for i, x := range taken {
		worth += x * items[i].Revenue
	}
	return worth
}
