package pairs

import (
	"cmp"
	"fmt"
	"io"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Difference is what a variant's days are worth less than the same days of the baseline: what was switched off is worth that much.
type Difference struct {
	Variant string
	Site    string
	Day     string // "" over all days
	Mean    float64
	Spread  float64 // standard deviation of the paired differences
	Least   float64
	Most    float64
	Pairs   int
}

// dayKey names a day that is played by all variants.
type dayKey struct {
	site, day string
	seed      int
}

// Differences pairs each play with the baseline's of the same site, day and seed, by variant, site and day, and over all days of a site.
func Differences(plays []Play) []Difference {
	base := map[dayKey]float64{}
	for _, p := range plays {
		if p.Variant == Baseline {
			base[dayKey{p.Site, p.Day, p.Seed}] = p.Result.Worth
		}
	}
	type group struct{ variant, site, day string }
	values := map[group][]float64{}
	var order []group
	add := func(g group, v float64) {
		if _, known := values[g]; !known {
			order = append(order, g)
		}
		values[g] = append(values[g], v)
	}
	for _, p := range plays {
		with, played := base[dayKey{p.Site, p.Day, p.Seed}]
		if p.Variant == Baseline || !played {
			continue
		}
		add(group{p.Variant.Name, p.Site, ""}, with-p.Result.Worth)
		add(group{p.Variant.Name, p.Site, p.Day}, with-p.Result.Worth)
	}
	differences := make([]Difference, 0, len(order))
	for _, g := range order {
		differences = append(differences, difference(g.variant, g.site, g.day, values[g]))
	}
	return differences
}

func difference(variant, site, day string, values []float64) Difference {
	d := Difference{Variant: variant, Site: site, Day: day, Pairs: len(values), Least: slices.Min(values), Most: slices.Max(values)}
	d.Mean = stat.Mean(values, nil)
	if len(values) > 1 {
		d.Spread = stat.StdDev(values, nil)
	}
	return d
}

// WriteTable writes one row a variant and one column a site, as Markdown: mean of the differences, their spread and how many pairs.
func WriteTable(w io.Writer, plays []Play, day string) {
	cells := map[[2]string]Difference{}
	var variants, sites []string
	for _, d := range Differences(plays) {
		if d.Day != day {
			continue
		}
		cells[[2]string{d.Variant, d.Site}] = d
		if !slices.Contains(variants, d.Variant) {
			variants = append(variants, d.Variant)
		}
		if !slices.Contains(sites, d.Site) {
			sites = append(sites, d.Site)
		}
	}
	fmt.Fprintf(w, "\n%s: mean (spread) of what the baseline is worth beyond it\n\n| variant |", cmp.Or(day, "all days"))
	for _, s := range sites {
		fmt.Fprintf(w, " %s |", s)
	}
	fmt.Fprint(w, "\n| --- |")
	for range sites {
		fmt.Fprint(w, " --- |")
	}
	for _, v := range variants {
		fmt.Fprintf(w, "\n| %s |", v)
		for _, s := range sites {
			d := cells[[2]string{v, s}]
			fmt.Fprintf(w, " %+.3f (%.3f) n=%d |", d.Mean, d.Spread, d.Pairs)
		}
	}
	fmt.Fprintln(w)
}

// WriteBroken names the plays with a fault or a broken rule, and tells how many there are.
func WriteBroken(w io.Writer, plays []Play) (broken int) {
	for _, p := range plays {
		rules := p.Result.Broken()
		if p.Result.Fault != nil {
			rules += " fault " + *p.Result.Fault
		}
		if rules == "" {
			continue
		}
		broken++
		fmt.Fprintf(w, "%s, %s %s %d: %s\n", p.Variant.Name, p.Site, p.Day, p.Seed, rules)
	}
	return broken
}
