package siteloss

import (
	"math"
	"math/rand"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// someNeed draws what cells bear and what is asked.
func someNeed(rng *rand.Rand) (Rules, []float64, []Flow) {
	rules := Rules{Cells: 2 + rng.Intn(7), OverWorth: rng.Float64(), MaxAdvice: 1e10}
	rules.Reach = 1 + rng.Intn(min(3, rules.Cells))
	for range 1 + rng.Intn(4) {
		t := Tariff{Revenue: 0.2 + 3*rng.Float64(), CompleteFrom: 1, LeastShare: 1, Floor: 0.1 * rng.Float64()}
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
	var flows []Flow
	for range 4 + rng.Intn(30) {
		f := Flow{Tariff: rng.Intn(len(rules.Tariffs)), Customer: rng.Intn(customers + 1), Rate: 10 * rng.ExpFloat64(),
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

// What a plan lets in is borne; nothing is turned away that touches sound slices alone; no any-n tariff is asked whole while
// any is turned away; floors are kept, or give way alike; and with customers beyond their share down at their floors nothing
// more of the others could be let in.
func TestPlanKeepsItsOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rules, bears, flows := someNeed(rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed"))))
		p := Make(rules, bears, flows)
		if p == nil {
			return
		}
		load, refused, partly := make([]float64, rules.Cells), false, false
		for _, f := range flows {
			if !p.touches(f.Slices) {
				p.load(load, f, 1, f.Rate)
				if ok, ask, _ := p.Admit(Lookup{f.Tariff, f.Customer, f.Over, false, f.Slices}); !ok || ask != 1 {
					t.Fatal("a lookup of sound slices is touched")
				}
				continue
			}
			s, r := p.shares[p.class(f.Tariff, f.Customer, f.Over, f.Slices)], rules.Tariffs[f.Tariff]
			p.load(load, f, r.CompleteFrom, f.Rate*s.let*s.whole)
			p.load(load, f, r.LeastShare, f.Rate*s.let*(1-s.whole))
			refused = refused || s.let < 1-1e-6
			partly = partly || s.whole > 1e-6 && r.LeastShare < r.CompleteFrom
		}
		if all, _ := (Ring{rules.Cells, rules.Reach, grown(bears, 1e-5)}).borne(load); !all {
			t.Fatalf("more is let in than is borne: %v of %v", load, bears)
		}
		if refused && partly {
			t.Fatal("some are turned away while an any-n tariff is asked whole")
		}
		all := p.forms(flows)
		p.trim(all)
		least, others := 1.0, make([]float64, rules.Cells) // what is let in, without what is over its floor of those beyond
		for _, f := range all {
			least = min(least, p.shares[f.class].let/max(f.floor, tiny))
		}
		for _, f := range all {
			let := p.shares[f.class].let
			if f.over {
				let = least * f.floor
			}
			for k := range others {
				others[k] += let * f.less[k]
			}
		}
		for _, f := range all {
			if let := p.shares[f.class].let; refused && !f.over && let < 0.999 && f.part > 0 {
				if more := p.ring.most(others, f.less, 1-let); more > 1e-3 {
					t.Fatalf("%+v has %.4f and could have %.4f more, beside customers at their floors", f.class, let, more)
				}
			}
		}
	})
}

func grown(bears []float64, by float64) []float64 {
	out := slices.Clone(bears)
	for c := range out {
		out[c] *= 1 + by
	}
	return out
}

// Admission holds its shares over every stretch, to within one lookup.
func TestAdmitHoldsShares(t *testing.T) {
	rules := Rules{Cells: 2, Reach: 1, MaxAdvice: 5e9, Tariffs: []Tariff{{Revenue: 1, CompleteFrom: 1, LeastShare: 1}}}
	p := Make(rules, []float64{1, 10}, []Flow{{Slices: []int{0}, Rate: 30, Work: 0.1}, {Slices: []int{1}, Rate: 30, Work: 0.1}})
	p.Spread = 1e9
	if let := p.Let(0, 0, false); math.Abs(let-1.0/3) > 1e-6 {
		t.Fatalf("let in: %v", let)
	}
	in, thirds := 0, [3]int{}
	for i := range 3000 {
		ok, _, wait := p.Admit(Lookup{Slices: []int{0}})
		if ok {
			in++
		} else {
			thirds[min(2, (wait-1e9)*3/1e9)]++
		}
		if d := float64(in) - float64(i+1)/3; d < -1 || d > 1 {
			t.Fatalf("%d of %d", in, i+1)
		}
	}
	if slices.Min(thirds[:]) < 600 {
		t.Errorf("return times: %v in thirds", thirds)
	}
}
