package record

import (
	"fmt"
	"math"
	"math/rand"

	"nettlefold/mixer"
)

const ms = int64(1_000_000)

// oneOf gives one of some values by chance.
func oneOf[T any](rng *rand.Rand, values ...T) T { return values[rng.Intn(len(values))] }

// within gives a value from lo to hi by chance.
func within(rng *rand.Rand, lo, hi float64) float64 { return lo + (hi-lo)*rng.Float64() }

// span gives a time from lo to hi ms by chance, in ns.
func span(rng *rand.Rand, lo, hi float64) int64 { return int64(within(rng, lo, hi) * float64(ms)) }

// steps is span in whole 5 ms, the longest tick: in worlds with ticks, what holds up to a time ends at one.
func steps(rng *rand.Rand, lo, hi float64) int64 { return 5 * ms * int64(within(rng, lo/5, hi/5)) }

// drawCharter draws settings from all that a deployment may state, and beyond: a reach over the number of cells too.
func drawCharter(rng *rand.Rand) mixer.Config {
	c := mixer.Config{
		Zone: oneOf(rng, "a", "a", "b", ""), Mixers: oneOf(rng, 1, 2, 3, 20, 300),
		Cells: oneOf(rng, 1, 2, 3, 4, 6, 8, 12, 1+rng.Intn(30)), Reach: 1 + rng.Intn(3), PerCall: oneOf(rng, 1, 1+rng.Intn(8)),
		MaxForwards: 1 + rng.Intn(6), MayCopy: rng.Intn(2) == 0, MayCancel: rng.Intn(2) == 0,
		MayAdvise: rng.Intn(2) == 0, MaxAdvice: steps(rng, 50, 1000),
		ColdFrom: within(rng, 0.1, 0.5), ColdFor: steps(rng, 2000, 18_000), FallMultiple: within(rng, 1.2, 4), FallFor: steps(rng, 500, 3000),
		CrossPrice: oneOf(rng, 0, within(rng, 0, 0.1), 1), Sized: rng.Intn(2) == 0, OverWorth: oneOf(rng, 1, 0.1),
	}
	if rng.Intn(3) > 0 { // small ones are used up
		c.BudgetFor, c.BudgetFree, c.BudgetShare = steps(rng, 300, 6000), float64(rng.Intn(8)), within(rng, 0, 0.25)
	}
	if rng.Intn(3) == 0 {
		c.ListAsked, c.AskWithin = true, oneOf(rng, 0, 2000*ms, 10_000*ms)
	}
	for range rng.Intn(4) {
		c.Allowances = append(c.Allowances, within(rng, 0, 40))
	}
	for range 1 + rng.Intn(4) {
		c.Tariffs = append(c.Tariffs, drawTariff(rng))
	}
	return c
}

func drawTariff(rng *rand.Rand) mixer.Tariff {
	t := mixer.Tariff{Expected: steps(rng, 250, 2500), Effect: mixer.Effect(rng.Intn(3)), CompleteFrom: oneOf(rng, 1, within(rng, 0.3, 1))}
	t.Patience = t.Expected + steps(rng, 0, 2500)
	t.LeastShare = t.CompleteFrom
	if rng.Intn(2) == 0 {
		t.LeastShare, t.Partial = t.CompleteFrom*within(rng, 0.2, 1), oneOf(rng, 0, 0.9, 0.9)
	}
	if t.Effect == mixer.Deduplicated {
		t.RepeatFor = steps(rng, 50, 1.2*float64(t.Expected/ms))
	}
	if rng.Intn(4) == 0 {
		t.SecondStep = 1 + rng.Intn(6)
	}
	return t
}

// drawBoxes draws the searchers, some cells with a single one.
func (w *world) drawBoxes() {
	most := oneOf(w.rng, 1, 3, 3, 6, 12)
	zones := []string{"a", "b", "c", "d"}[:1+w.rng.Intn(4)]
	for cell := range w.c.Cells {
		for range 1 + w.rng.Intn(most) {
			w.addBox(cell, oneOf(w.rng, zones...))
		}
	}
}

// addBox adds a searcher; it is not told of yet.
func (w *world) addBox(cell int, zone string) *box {
	b := &box{Entry: mixer.Entry{Searcher: fmt.Sprintf("s%d", len(w.boxes)), Cell: cell, Zone: zone, Size: float64(1+w.rng.Intn(4)) / 2},
		free: make([]int64, w.cores), net: span(w.rng, 0.1, 2), slower: within(w.rng, 0.6, 1.6)}
	w.boxes = append(w.boxes, b)
	w.byName[b.Searcher] = b
	return b
}

// drawSlices draws on which slices the parts of one query are.
func drawSlices(rng *rand.Rand, slices, parts int) []int {
	all, from := make([]int, parts), rng.Intn(slices)
	kind, few := rng.Intn(4), 1+rng.Intn(3)
	if parts == 88 && rng.Intn(2) == 0 {
		kind = 4
	}
	for i := range all {
		switch kind {
		case 0, 1: // neighbours
			all[i] = (from + i) % slices
		case 2: // scattered
			all[i] = rng.Intn(slices)
		case 3: // on a few, or one
			all[i] = (from + rng.Intn(few)) % slices
		case 4: // 80 of 88 on one
			all[i] = from
			if i%11 == 10 {
				all[i] = rng.Intn(slices)
			}
		}
	}
	return all
}

// drawWeights draws weights that add up to 1, save for rounding.
func drawWeights(rng *rand.Rand, parts int) []float64 {
	all, sum, kind := make([]float64, parts), 0.0, rng.Intn(4)
	skew := within(rng, 0.2, 1.5)
	for i := range all {
		switch all[i] = 1; kind {
		case 0:
			all[i] = 1 / math.Pow(float64(i+1), skew)
		case 1:
			all[i] = 0.01 + rng.Float64()
		}
		sum += all[i]
	}
	short := oneOf(rng, 1, 1, 1-5e-7, 1+5e-7)
	for i := range all {
		all[i] *= short / sum
	}
	return all
}

// drawEfforts draws what is told of the parts' work: nothing, few values or many.
func drawEfforts(rng *rand.Rand, parts int) []int64 {
	all, most := make([]int64, parts), oneOf(rng, 0, 0, 3, 1_000_000)
	for i := range all {
		if most > 0 {
			all[i] = ms * int64(rng.Intn(most))
		}
	}
	return all
}

// drawParts draws how many parts a query has: most have few, and of the longest there are only some.
func (w *world) drawParts() int {
	switch x := w.rng.Float64(); {
	case x < w.long && w.longest > 0:
		w.longest--
		return oneOf(w.rng, 400, 201+w.rng.Intn(200))
	case x < 0.08 && w.longer > 0:
		w.longer--
		return oneOf(w.rng, 88, 88, 20+w.rng.Intn(80))
	case x < 0.3:
		return 6 + w.rng.Intn(15)
	}
	return 1 + w.rng.Intn(6)
}
