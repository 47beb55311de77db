package siteloss

import (
	"math"
	"slices"
)

// Tariff is what the settings say of one sort of lookup.
type Tariff struct {
	Revenue      float64 // of one that is answered whole in time
	CompleteFrom float64 // share of its parts that makes it whole: 1 is all
	LeastShare   float64 // least share of any answer
	Partial      float64 // revenue of an answer that is not whole, times share over CompleteFrom
	Floor        float64 // share of its lookups that is let in whatever else is short
}

// Rules are what the settings say of letting in.
type Rules struct {
	Cells, Reach int
	Tariffs      []Tariff
	Floors       []float64 // by customer from 1 on, as Tariff.Floor
	OverWorth    float64   // of a lookup beyond its customer's share, as a share of its revenue
	MaxAdvice    int64     // the longest time that a client heeds
}

// Bounds of a plan.
const (
	MaxCells = 128
	MaxFlows = 4096
	maxItems = 256 // classes that are solved by place
	saves    = 2.0 // lookups that a class may save up
)

// Flow is demand of one sort: lookups a second that ask these slices for a part each.
type Flow struct {
	Tariff, Customer int  // Customer 0: not told
	Over             bool // beyond the customer's share
	Slices           []int
	Rate             float64
	Work             float64 // of a part, seconds
}

// class is what is let in alike: a tariff of a customer, within or beyond its share, of lookups that begin at one place. One
// share for all places would go by the shortest of them.
type class struct {
	tariff, customer int
	over             bool
	place            int // kind of its first slice that is short
}

// class gives that of a lookup that touches a short slice.
func (p *Plan) class(tariff, customer int, over bool, of []int) class {
	for _, s := range of {
		if k := p.ring.kind(s); p.short[k] && !p.coarse {
			return class{tariff, customer, over, k}
		}
	}
	return class{tariff, customer, over, 0}
}

// share is how one class is let in where it touches a short slice.
type share struct {
	let   float64 // of its lookups
	whole float64 // of those: asked for as many parts as make it whole, the others for the least share

	rate           float64 // lookups a second
	credit, wholes float64 // what Admit has saved up
}

// Plan is what is let in.
type Plan struct {
	rules  Rules
	ring   Ring
	short  []bool // by kind of slice
	shares map[class]*share
	coarse bool    // there are too many classes: one share for all places
	Worth  float64 // revenue a second that is planned, of what touches a short slice
	Spread int64   // return times go up to this and as much again
	turned uint64
}

// asks is how many of so many parts a share asks for.
func asks(parts int, of float64) int { return max(1, int(math.Ceil(of*float64(parts)-tiny))) }

// load adds a flow's work by kind for one lookup of a share of its parts: parts on short slices are left out first.
func (p *Plan) load(to []float64, f Flow, of, rate float64) {
	out := len(f.Slices) - asks(len(f.Slices), of)
	touches := 0
	for _, s := range f.Slices {
		if p.short == nil || p.short[p.ring.kind(s)] {
			touches++
		}
	}
	for _, s := range f.Slices {
		k, keep := p.ring.kind(s), 1.0
		if p.short == nil || p.short[k] {
			keep = max(0, float64(touches-out)) / float64(touches)
		}
		to[k] += rate * f.Work * keep
	}
}

func (p *Plan) touches(of []int) bool {
	return p.short != nil && slices.ContainsFunc(of, func(s int) bool { return p.short[p.ring.kind(s)] })
}

// form is a class with its flows at each share of parts.
type form struct {
	class
	rate        float64
	whole, less []float64 // load of all of it, asked whole and at the least share
	revenue     float64   // of all of it, asked whole
	part        float64   // and at the least share
	floor       float64
}

func (p *Plan) forms(flows []Flow) (all []form) {
	at := map[class]int{}
	for _, f := range flows {
		if !p.touches(f.Slices) {
			continue
		}
		c, t := p.class(f.Tariff, f.Customer, f.Over, f.Slices), p.rules.Tariffs[f.Tariff]
		i, ok := at[c]
		if !ok {
			i = len(all)
			at[c] = i
			all = append(all, form{class: c, whole: make([]float64, p.ring.Cells), less: make([]float64, p.ring.Cells)})
		}
		o := &all[i]
		o.rate += f.Rate
		p.load(o.whole, f, t.CompleteFrom, f.Rate)
		p.load(o.less, f, t.LeastShare, f.Rate)
		worth := f.Rate * t.Revenue
		if f.Over {
			worth *= p.rules.OverWorth
		}
		o.revenue += worth
		if t.LeastShare < t.CompleteFrom {
			o.part += worth * t.Partial * t.LeastShare / t.CompleteFrom
		} else {
			o.part += worth
		}
		if o.floor = t.Floor; f.Customer > 0 && f.Customer <= len(p.rules.Floors) {
			o.floor = max(o.floor, p.rules.Floors[f.Customer-1])
		}
	}
	return all
}

// Make plans for what cells bear and for what is asked. It gives nil where all is borne: then nothing is turned away. Order
// of refusal, from the settings alone: first any-n lookups that touch a short slice are asked for what makes them whole, then
// for their least share; then customers beyond their share are turned away down to their floor; then what is left is filled
// for the most revenue, which turns away the least revenue by work.
func Make(rules Rules, bears []float64, flows []Flow) *Plan {
	return MakeBy(rules, bears, flows, Greedy)
}

// MakeBy plans by another solver, as a yardstick.
func MakeBy(rules Rules, bears []float64, flows []Flow, solve Solver) *Plan {
	if len(flows) > MaxFlows || rules.Cells < 1 || rules.Cells > MaxCells || rules.Reach < 1 || len(bears) < rules.Cells {
		return nil // told to the caller by nothing being turned away: the module's own ways remain
	}
	p := &Plan{rules: rules, ring: Ring{rules.Cells, min(rules.Reach, rules.Cells), bears}, shares: map[class]*share{}}
	load := make([]float64, rules.Cells)
	for _, f := range flows {
		p.load(load, f, 1, f.Rate)
	}
	all, short := p.ring.borne(load)
	if all {
		return nil
	}
	p.short = short
	forms := p.forms(flows)
	if len(forms) > maxItems {
		p.coarse = true
		forms = p.forms(flows)
	}
	sum := func(of func(f form) []float64, by func(f form) float64) []float64 {
		to := make([]float64, rules.Cells)
		for _, f := range forms {
			for k, x := range of(f) {
				to[k] += x * by(f)
			}
		}
		for k := range to {
			if !short[k] {
				to[k] = 0 // no cell of theirs is full
			}
		}
		return to
	}
	whole, less := func(f form) []float64 { return f.whole }, func(f form) []float64 { return f.less }
	one := func(form) float64 { return 1 }
	room := make([]float64, len(forms))
	out := make([]share, len(forms))
	fill := func(base []float64, items []Item) []float64 { return solve(p.ring, base, items, room) }
	p.trim(forms)
	if fits, _ := p.ring.borne(sum(whole, one)); fits {
		for i := range out {
			out[i].let, out[i].whole = 1, 1
		}
	} else if fits, _ := p.ring.borne(sum(less, one)); fits {
		// All are let in; what the least shares leave goes to those that gain most by being whole.
		var items []Item
		for i, f := range forms {
			more := make([]float64, rules.Cells)
			for k := range more {
				more[k] = f.whole[k] - f.less[k]
			}
			room[i], out[i].let = 1, 1
			items = append(items, Item{more, f.revenue - f.part, 1, i})
		}
		for i, x := range fill(sum(less, one), items) {
			out[i].whole = x
		}
	} else {
		p.refuse(forms, out, fill, room, sum)
	}
	for i, f := range forms {
		s := out[i]
		if p.rules.Tariffs[f.tariff].LeastShare >= p.rules.Tariffs[f.tariff].CompleteFrom {
			s.whole = 1
		}
		s.let, s.whole = min(max(s.let, 0), 1), min(max(s.whole, 0), 1)
		s.rate, s.credit, s.wholes = f.rate, 0.5, 0.5
		p.Worth += s.let * (s.whole*f.revenue + (1-s.whole)*f.part)
		p.shares[f.class] = &s
	}
	return p
}

// trim takes the work on sound slices out of the forms: it is borne whatever is decided.
func (p *Plan) trim(all []form) {
	for _, f := range all {
		for k, is := range p.short {
			if !is {
				f.whole[k], f.less[k] = 0, 0
			}
		}
	}
}

// refuse turns away: any-n at their least share, customers beyond their share first.
func (p *Plan) refuse(all []form, out []share, fill func([]float64, []Item) []float64, room []float64,
	sum func(func(form) []float64, func(form) float64) []float64) {
	less := func(f form) []float64 { return f.less }
	base := sum(less, func(f form) float64 { return f.floor })
	scale := p.ring.most(make([]float64, len(base)), base, 1) // not even the floors may be borne: all alike then
	for k := range base {
		base[k] *= scale
	}
	for i, f := range all {
		out[i].let = scale * f.floor
	}
	for _, over := range []bool{false, true} {
		var items []Item
		var of []int
		fits := slices.Clone(base)
		for i, f := range all {
			room[i] = 0
			if f.over != over {
				continue
			}
			room[i] = 1 - out[i].let
			items, of = append(items, Item{f.less, f.part, room[i], i}), append(of, i)
			for k := range fits {
				fits[k] += room[i] * f.less[k]
			}
		}
		if all, _ := p.ring.borne(fits); all {
			base = fits
			for _, i := range of {
				out[i].let = 1
			}
			continue
		}
		for j, x := range fill(base, items) {
			out[of[j]].let += x
			for k := range base {
				base[k] += x * items[j].Load[k]
			}
		}
	}
}

// Lookup is one that asks to be let in.
type Lookup struct {
	Tariff, Customer int
	Over             bool
	Again            bool // its client was turned away before
	Slices           []int
}

// Admit tells whether a lookup is let in, the share of its parts that is asked for (on short slices they are left out
// first), and when one that is turned away may come again: 0 is not said. Each class saves up its share for every lookup that
// comes and one is let in for a whole one saved, so shares hold over any stretch to within one lookup. Who comes again was
// counted the first time: it may use what is saved and adds nothing. Where none of a class is turned away, all may come again.
func (p *Plan) Admit(l Lookup) (ok bool, ask float64, wait int64) {
	if p == nil || !p.touches(l.Slices) {
		return true, 1, 0
	}
	t := p.rules.Tariffs[l.Tariff]
	s := p.shares[p.class(l.Tariff, l.Customer, l.Over, l.Slices)]
	if s == nil { // a class that was not seen when the plan was made: as others of its tariff, at the least share
		return true, t.LeastShare, 0
	}
	if !l.Again {
		s.credit = min(s.credit+s.let, saves)
	}
	if s.credit < 1-tiny && s.let < 1-tiny {
		p.turned++
		// The golden ratio spreads any run of them evenly over the time in which the end may come.
		_, at := math.Modf(float64(p.turned%(1<<32)) * golden)
		return false, 0, min(p.Spread+int64(at*float64(p.Spread)), p.rules.MaxAdvice)
	}
	s.credit = max(0, s.credit-1)
	if s.wholes += s.whole; s.wholes < 1-tiny {
		return true, t.LeastShare, 0
	}
	s.wholes--
	return true, t.CompleteFrom, 0
}

// Follow has a plan go on where the one before it stood, so that shares hold across plans too. Where there is none, each
// mixer begins at a place of its own: else all would let in their first lookups, or none.
func (p *Plan) Follow(before *Plan, rank int) {
	if p == nil {
		return
	}
	for c, s := range p.shares {
		if before != nil && before.shares[c] != nil {
			s.credit, s.wholes = before.shares[c].credit, before.shares[c].wholes
			continue
		}
		n := float64(rank) + float64(c.place+c.customer*7+c.tariff*31)*0.1
		_, s.credit = math.Modf((n + 1) * golden)
		_, s.wholes = math.Modf((n + 1) * golden * golden * 3)
	}
	if before != nil {
		p.turned = before.turned
	}
}

// golden spreads whole numbers evenly between 0 and 1 by what is left of their products with it.
const golden = math.Phi - 1

// Return takes back that a lookup was let in, where the module turned it away all the same.
func (p *Plan) Return(l Lookup) {
	if p == nil || !p.touches(l.Slices) {
		return
	}
	if s := p.shares[p.class(l.Tariff, l.Customer, l.Over, l.Slices)]; s != nil {
		s.credit = min(s.credit+1, saves)
	}
}

// Let gives the share of a class that is let in, over all places, for the log and for tests.
func (p *Plan) Let(tariff, customer int, over bool) float64 {
	let, n := 0.0, 0.0
	for k := range p.kinds() {
		if s := p.shares[class{tariff, customer, over, k}]; s != nil {
			let, n = let+s.let*s.rate, n+s.rate
		}
	}
	if n == 0 {
		return 1
	}
	return let / n
}

func (p *Plan) kinds() int {
	if p == nil {
		return 0
	}
	return p.ring.Cells
}

// Short tells whether a slice is short: parts on it are the first to be left out.
func (p *Plan) Short(slice int) bool { return p != nil && p.short[p.ring.kind(slice)] }
