package fleet

import (
	"math"
	"slices"

	"nettlefold/internal/subset"
	"nettlefold/mixer"
)

// Thin is many mixers of little traffic each over one cell of holders: what a subset does to delay and to the load's spread.
type Thin struct {
	Seed            int64
	Mixers, Holders int
	Size            int     // of a subset, 0: all are used
	Met             float64 // parts a second that a mixer has for each holder
	Work            int64   // ns, mean of a part
	Lost            bool    // a zone of four falls silent when it begins to be looked at
	Settle, For     int64   // ns, before it is looked at and then
}

// Thinned is what came of it, where a zone is lost of the others' searchers. Times are ns.
type Thinned struct {
	Load                 float64 // of a searcher, of what it bears
	P50, P99             int64   // of queries of eight parts, in time or not
	InTime               float64
	Most, Least, Spread  float64 // parts of the most and the least loaded searcher over the mean, and the deviation over it
	Pairs                int     // of a mixer and a searcher that spoke
	Busy                 float64 // of parts, those sent where this mixer had some out
	parts, busy, queries int
}

// Play plays it.
func (s Thin) Play() (r Thinned) {
	const parts = 8
	u := Usual(s.Seed, s.Mixers, 0, 0, false)
	u.Charter.Cells, u.Charter.BudgetFor = 1, 0
	u.Charter.Tariffs[0] = mixer.Tariff{Expected: 30 * s.Work, Patience: 80 * s.Work, CompleteFrom: 1, LeastShare: 1}
	u.Zones, u.Searchers, u.Parts, u.Work, u.Cores, u.Net = 4, s.Holders, parts, s.Work, 1, ms/4
	u.Rates = slices.Repeat([]float64{s.Met * float64(s.Holders) / parts}, s.Mixers)
	if s.Size > 0 {
		u.Subset = func(name, zone string) subset.Options {
			return subset.Options{Name: name, Zone: zone, Cells: 1, Least: s.Size, Most: s.Size, Meetings: 64, Memory: mixer.PaceHalfLife,
				Linger: u.Charter.Tariffs[0].Patience, Hold: 30_000 * ms, ColdFor: u.Charter.ColdFor, ColdShare: 1}
		}
	}
	w := New(u)
	w.Run(w.Now + s.Settle)
	from, sent, pairs := w.Now, make([]int, s.Holders), map[[2]int]bool{}
	w.Sent = func(n *Node, to *Searcher) {
		sent[to.Index]++
		pairs[[2]int{n.Index, to.Index}] = true
		r.parts++
		if st, ok := n.M.Standing(w.Now, to.Name); ok && st.Parts > 1 { // the part itself is counted
			r.busy++
		}
	}
	for _, o := range w.Searchers {
		o.Silent = s.Lost && o.Zone == "a"
	}
	w.Run(from + s.For)
	for i, o := range w.Searchers {
		if o.Silent {
			sent[i] = -1
		}
	}
	var took []int64
	for _, l := range w.Lookups {
		if l.At < from || l.At >= w.Now-u.Charter.Tariffs[0].Patience {
			continue
		}
		took = append(took, math.MaxInt64)
		if l.Answered && l.Whole {
			took[len(took)-1] = l.End - l.At
		}
	}
	slices.Sort(took)
	r.queries, r.P50, r.P99 = len(took), took[len(took)/2], took[len(took)*99/100]
	sent = slices.DeleteFunc(sent, func(n int) bool { return n < 0 })
	mean := 0.0
	for _, n := range sent {
		mean += float64(n) / float64(len(sent))
	}
	for _, n := range sent {
		r.Spread += (float64(n)/mean - 1) * (float64(n)/mean - 1) / float64(len(sent))
	}
	r.Load, r.Spread = mean/float64(s.For)*float64(s.Work), math.Sqrt(r.Spread)
	r.InTime, r.Pairs, r.Busy = w.InTime(from, w.Now-u.Charter.Tariffs[0].Patience), len(pairs), float64(r.busy)/float64(r.parts)
	r.Most, r.Least = float64(slices.Max(sent))/mean, float64(slices.Min(sent))/mean
	return r
}
