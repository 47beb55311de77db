package siteloss

// Foresee gives the demand to plan for at one mixer from the moment that sites are out. Before is what it was asked when all
// was sound, now what it is asked at present. Clients of the lost mixers come to the others, evenly, and try again when
// turned away, up to so many tries: what comes already is not waited for, and what comes beyond it is not doubted.
// The figures are those of the whole fleet: each mixer takes itself for an even share of those that are left.
func Foresee(before, now []Flow, mixers, left int, tries float64) []Flow {
	left = max(left, 1)
	out := make([]Flow, 0, min(len(now)+len(before), MaxFlows))
	for _, f := range before {
		f.Rate *= float64(mixers) * max(1, tries)
		out = append(out, f)
	}
	for _, f := range now {
		f.Rate *= float64(left)
		at := -1
		for i := range out {
			if out[i].same(f) {
				at = i
				break
			}
		}
		switch {
		case at >= 0:
			out[at].Rate = max(out[at].Rate, f.Rate)
		case len(out) < MaxFlows:
			out = append(out, f)
		}
	}
	return out
}

func (f Flow) same(o Flow) bool {
	if f.Tariff != o.Tariff || f.Customer != o.Customer || f.Over != o.Over || len(f.Slices) != len(o.Slices) {
		return false
	}
	for i := range f.Slices {
		if f.Slices[i] != o.Slices[i] {
			return false
		}
	}
	return true
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
}

// Served is what one cell did since the last call.
type Served struct {
	Work    float64 // work a second that was answered, of the whole fleet
	Late    float64 // share of answers after their expected time, lost ones among them
	Holders float64 // of those that were there at the last call, what is left: 1 where none was lost
}

// NewBearing learns over a time, as that of an expected time.
func NewBearing(cells int, half int64) *Bearing {
	return &Bearing{cells: make([]bearing, cells), half: max(half, 1)}
}

const (
	grows   = 0.10 // a half-life, while all is in time and what was served is near what it is thought to bear
	shrink  = 0.15 // a half-life, while answers are late
	toomuch = 0.10 // late answers that show that a cell bears less
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
		c.bears *= min(max(s.Holders, 0), 1)
		switch {
		case s.Late > toomuch:
			c.bears -= c.bears * shrink * steps * min(1, s.Late)
		case s.Work >= 0.8*c.bears:
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
