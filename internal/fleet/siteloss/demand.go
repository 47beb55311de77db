package siteloss

import "math"

// Foresee gives the demand to plan for from the moment that sites are out. Before is what the fleet was asked when all was
// sound, now what it is asked at present by those that come for the first time, counted over a span in seconds. Clients of the
// lost mixers come to the others, so the fleet is asked as before: that is not waited for. More is believed once it is more
// than chance makes of it, two deviations; each tariff of a customer goes up as a whole.
func Foresee(before, now []Flow, span float64) []Flow {
	type sums struct{ before, now float64 }
	of := map[class]*sums{}
	sum := func(f Flow) *sums {
		c := class{f.Tariff, f.Customer, f.Over, 0}
		if of[c] == nil {
			of[c] = &sums{}
		}
		return of[c]
	}
	for _, f := range before {
		sum(f).before += f.Rate
	}
	for _, f := range now {
		sum(f).now += f.Rate
	}
	out := make([]Flow, 0, min(len(now)+len(before), MaxFlows))
	for _, f := range before {
		s := sum(f)
		f.Rate *= max(1, (s.now-2*math.Sqrt(s.now/max(span, tiny)))/max(s.before, tiny))
		out = append(out, f)
	}
	for _, f := range now { // of tariffs and customers that are new
		if sum(f).before <= 0 && len(out) < MaxFlows {
			out = append(out, f)
		}
	}
	return out
}

// Bearing learns what each cell bears, in work a second at the whole fleet. Nobody tells it: it is what was served, and while
// answers come in time it may be more, when they come late it is less.
type Bearing struct {
	cells []bearing
	half  int64
}

type bearing struct {
	bears float64
	at    int64
	known bool
	calm  float64 // bears when answers last were in time
	until int64   // holders went lately: what is late comes of that
}

// Served is what one cell did since the last call.
type Served struct {
	Work    float64 // work a second that was answered, of the whole fleet
	Late    float64 // share of answers after their expected time, lost ones among them
	Holders float64 // of those that were there at the last call, what is left: 1 where none was lost
}

// NewBearing learns over a time.
func NewBearing(cells int, half int64) *Bearing {
	return &Bearing{cells: make([]bearing, cells), half: max(half, 1)}
}

const (
	near    = 0.90 // of what it is thought to bear: only who serves as much shows that it may bear more
	grows   = 0.05 // a half-life, while all is in time and what was served is near what it is thought to bear
	shrink  = 0.02 // a half-life, while answers are late
	settles = 3    // half-lives after holders went in which nothing is learnt
	toomuch = 0.15 // late answers, and lookups turned away all the same, that show that a cell bears less
)

// Learn takes what cells served.
func (b *Bearing) Learn(now int64, served []Served) {
	for i := range b.cells {
		if i >= len(served) {
			return
		}
		c, s := &b.cells[i], served[i]
		if !c.known {
			c.bears, c.at, c.known = s.Work, now, s.Work > 0
			continue
		}
		steps := min(float64(now-c.at)/float64(b.half), 4)
		c.at = now
		if s.Late <= toomuch {
			c.calm = c.bears
		}
		if s.Holders < 1 { // what came late since they went says nothing of those that are left
			c.bears = max(c.calm, c.bears) * max(s.Holders, 0)
			c.calm = c.bears
			c.until = now + settles*b.half
		}
		switch {
		case now < c.until:
		case s.Late > toomuch:
			c.bears = max(s.Work, c.bears*(1-shrink*steps*min(1, s.Late))) // what it serves it bears
		case s.Work >= near*c.bears:
			c.bears = max(c.bears, s.Work) * (1 + grows*steps)
		}
	}
}

// Bears gives what each cell bears.
func (b *Bearing) Bears() []float64 {
	out := make([]float64, len(b.cells))
	for i, c := range b.cells {
		out[i] = c.bears
	}
	return out
}
