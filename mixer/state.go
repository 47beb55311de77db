package mixer

import (
	"math/rand"
	"slices"
)

// call is what travels together to one searcher.
type call struct{ at, size, left int64 }

// forward is one try of a part.
type forward struct {
	part      *part
	s         *searcher
	call      *call
	count     int   // calls out there, with its own
	process   int64 // start of the process it went to
	sent      int64
	done, ran bool           // has its outcome; may have run
	gone      bool           // waited for no more
	recalled  bool           // withdrawn, to be sent again elsewhere when that has its outcome
	line      *DecayingRatio // nil where the connection was in use
	missed    int64          // when it was counted as lost by line and zone, 0 if it was not
}

type part struct {
	PartRequest
	l        *Lookup
	in, over bool
	forwards []*forward
	first    forward // where the first is, and its place in forwards
	place    [1]*forward
}

// Lookup is the handle of one lookup.
type Lookup struct {
	m      *Mixer
	ask    LookupRequest
	t      *Tariff
	parts  []*part
	step   int // first part of the step at hand
	expect int // parts there are once the step is complete
	need   float64
	end    int64 // when its full revenue ends; it is given up then
	wake   int64 // when it is looked at next
	slab   slab

	epoch, sent, oldest int64 // as of the last review, for calm
	in                  float64
	planned, ended      bool // the step's parts have come; it has its final answer
}

// memo keeps a figure while it holds: within one call to the mixer that lets figures change.
type memo struct {
	now, call int64
	is        float64
}

func (c *memo) holds(now, call int64) bool { return c.now == now && c.call == call }

// keep notes a figure and gives it.
func (c *memo) keep(now, call int64, is float64) float64 {
	*c = memo{now, call, is}
	return is
}

// draw gives a figure of chance that stays the same while it holds.
func (c *memo) draw(now, call int64, rng *rand.Rand) float64 {
	if c.holds(now, call) {
		return c.is
	}
	return c.keep(now, call, float64(rng.Int63()))
}

// kept is what a searcher has of its own to spare work: what it takes for a call, its tie-break, and room for the first forwards
// that are out there.
type kept struct {
	unit, tie memo
	place     [2]*forward
}

// room gives the row of forwards that are out there, for one more.
func (s *searcher) room() []*forward {
	if s.out == nil {
		return s.place[:0]
	}
	return s.out
}

// scratch is what reviews use anew each time.
type scratch struct {
	bounds bounds
	picks  []*forward
	times  []float64
	pacer  memo // of the whole fleet
}

// fleet gives how long forwards took over the calls that were out with them, of the whole fleet.
func (m *Mixer) fleet(now int64) float64 {
	if m.pacer.holds(now, m.call) {
		return m.pacer.is
	}
	return m.pacer.keep(now, m.call, m.pace.Read(now, halfLife, 0, 0))
}

// slab makes parts, many at a time.
type slab []part

// slabMost bounds how many parts are made at a time.
const slabMost = 512

// add makes one more part of a lookup.
func (r *slab) add(l *Lookup, piece PartRequest) *part {
	if len(*r) == cap(*r) {
		*r = make(slab, 0, min(max(1, l.expect-len(l.parts)), slabMost))
	}
	*r = append(*r, part{PartRequest: piece, l: l})
	p := &(*r)[len(*r)-1]
	p.forwards = p.place[:0]
	return p
}

// next gives where a part's next forward is.
func (p *part) next() *forward {
	if len(p.forwards) == 0 {
		return &p.first
	}
	return &forward{}
}

// from gives the part of a row of times, in their order, that lies at a time or after it.
func from(times []int64, at int64) []int64 {
	i, _ := slices.BinarySearch(times, at)
	if i == len(times) {
		return times[:0] // with the room that it has
	}
	return times[i:]
}

// oldest gives when the first of the forwards that are out there was sent, the time told if none was before it.
func (s *searcher) oldest(at int64) int64 {
	if len(s.out) > 0 {
		return min(at, s.out[0].sent)
	}
	return at
}
