package sites

import (
	"math/rand"
	"slices"

	"nettlefold/internal/fleet/siteloss"
)

// Need draws what cells bear and what is asked of them, from hardly too much to far too much.
func Need(seed int64) (rules siteloss.Rules, bears []float64, flows []siteloss.Flow) {
	rng := rand.New(rand.NewSource(seed))
	rules = siteloss.Rules{Cells: 2 + rng.Intn(7), OverWorth: rng.Float64(), MaxAdvice: 1e10}
	rules.Reach = 1 + rng.Intn(min(3, rules.Cells))
	for range 1 + rng.Intn(4) {
		t := siteloss.Tariff{Revenue: 0.2 + 3*rng.Float64(), CompleteFrom: 1, LeastShare: 1, Floor: 0.1 * rng.Float64()}
		if rng.Intn(2) == 0 {
			t.CompleteFrom = 0.6 + 0.4*rng.Float64()
			t.LeastShare, t.Partial = t.CompleteFrom*(0.4+0.6*rng.Float64()), rng.Float64()
		}
		rules.Tariffs = append(rules.Tariffs, t)
	}
	customers, total := rng.Intn(4), 0.0
	for range customers {
		rules.Floors = append(rules.Floors, 0.1*rng.Float64())
	}
	for range 4 + rng.Intn(30) {
		f := siteloss.Flow{Tariff: rng.Intn(len(rules.Tariffs)), Customer: rng.Intn(customers + 1), Rate: 10 * rng.ExpFloat64(),
			Work: 0.01 + 0.03*rng.Float64()}
		f.Over = f.Customer > 0 && rng.Intn(4) == 0
		first := rng.Intn(2 * rules.Cells)
		for i := range 1 + rng.Intn(4) {
			f.Slices = append(f.Slices, first+i)
		}
		flows, total = append(flows, f), total+f.Rate*f.Work*float64(len(f.Slices))
	}
	bears, load := make([]float64, rules.Cells), 0.5+rng.Float64()
	for c := range bears {
		bears[c] = total / float64(rules.Cells) * (0.3 + 1.2*rng.Float64()) / load
	}
	return rules, bears, flows
}

// Solvers is how the greedy form stands beside the linear programme over random needs.
type Solvers struct {
	Short           int       // needs that are not met whole
	Failed          int       // that the programme did not solve
	Greedy, Ordered []float64 // sorted: greedy over programme in the stated order, and that order over no order at all
}

// Compare draws so many needs.
func Compare(n int) (s Solvers) {
	for seed := range int64(n) {
		rules, bears, flows := Need(seed)
		g := siteloss.Make(rules, bears, flows)
		if g == nil {
			continue
		}
		s.Short++
		failed := false
		by := func(r siteloss.Ring, base []float64, items []siteloss.Item, room []float64) []float64 {
			x := Programme(r, base, items, room)
			if x == nil {
				failed = true
				return siteloss.Greedy(r, base, items, room)
			}
			return x
		}
		p, ceiling := siteloss.MakeBy(rules, bears, flows, by), siteloss.Ceiling(rules, bears, flows, by)
		if failed {
			s.Failed++
			continue
		}
		s.Greedy, s.Ordered = append(s.Greedy, g.Worth/p.Worth), append(s.Ordered, p.Worth/ceiling)
	}
	slices.Sort(s.Greedy)
	slices.Sort(s.Ordered)
	return s
}
