package sites

import (
	"nettlefold/internal/fleet/siteloss"
)

// Played is what one history showed.
type Played struct {
	Lost, Settled float64 // revenue while lost, and from when a loss is settled on, over what the solver says can be
	Declared      float64 // seconds until the last mixer held the site lost, -1: not all did
	False         int
	Falls         int
	Full          float64 // seconds after the return until revenue is what it was, -1: not while it was watched
	After         float64 // revenue in the 30 s after the return, over what came before the loss
	Can           float64 // what the solver says, over what comes while all is sound
	Ordered       float64 // what the solver says can be in the stated order of refusal, over that in no order
}

const settle = 3000 * ms // a loss is settled in this time

// Play plays a history to its end.
func Play(s Setup) Played {
	w := New(s)
	w.clock.Run(w.start + s.Ends)
	const bucket = 500 * ms
	earned := make([]float64, s.Ends/bucket+1)
	for _, l := range w.lookups {
		earned[(l.at-w.start)/bucket] += l.earned
	}
	sum := func(from, to int64) (x float64) {
		for i := from / bucket; i < to/bucket; i++ {
			x += earned[i]
		}
		return x / (float64(to-from) / 1e9)
	}
	can, ordered, all := w.can()
	usual := sum(5000*ms, s.LostAt)
	p := Played{Lost: sum(s.LostAt, s.BackAt) / can, Settled: sum(s.LostAt+settle, s.BackAt) / can, False: w.False, Full: -1,
		Can: can / all, Ordered: ordered / can,
		After: sum(s.BackAt, min(s.BackAt+22_000*ms, s.Ends-2000*ms)) / usual}
	for i, at := range w.Declared {
		if i%nSites == 0 {
			continue
		}
		if at == 0 {
			p.Declared = -1
			break
		}
		p.Declared = max(p.Declared, float64(at-s.LostAt)/1e9)
	}
	for _, o := range w.searchers {
		p.Falls += o.falls
	}
	for at := s.BackAt; at+2000*ms <= s.Ends-2000*ms; at += bucket {
		if sum(at, at+2000*ms) >= 0.97*usual {
			p.Full = float64(at-s.BackAt) / 1e9
			break
		}
	}
	return p
}

// can is the revenue a second that the solver says can be while the site is lost, by what the others really bear and what is
// really asked, in no order at all; and what would come if all were sound.
func (w *World) can() (worth, ordered, all float64) {
	bears := make([]float64, w.Cells)
	for _, o := range w.searchers {
		if o.site != 0 {
			bears[o.cell] += cores
		}
	}
	var flows []siteloss.Flow
	for sort, t := range w.Sorts {
		for first := range w.Cells {
			f := siteloss.Flow{Tariff: sort, Rate: w.nodes[0].rate * float64(w.Mixers) * t.share / float64(w.Cells),
				Work: float64(work) / 1e9}
			for i := range t.parts {
				f.Slices = append(f.Slices, (first+i)%w.Cells)
			}
			flows, all = append(flows, f), all+f.Rate*t.Revenue
		}
	}
	worth = siteloss.Ceiling(w.rules, bears, flows, Programme)
	p := siteloss.MakeBy(w.rules, bears, flows, Programme)
	ordered = p.Worth
	for _, f := range flows { // and what touches no short slice
		short := false
		for _, s := range f.Slices {
			short = short || p.Short(s)
		}
		if !short {
			worth += f.Rate * w.Sorts[f.Tariff].Revenue
			ordered += f.Rate * w.Sorts[f.Tariff].Revenue
		}
	}
	return worth, ordered, all
}
