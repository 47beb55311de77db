package mixer

import (
	"math/rand"
	"slices"
)

// call is what travels together to one searcher.
type call struct{ at, size, left int64 }

// forward is one try of a part.
type forward struct {
	part         *part
	searcher     *searcher
	call         *call
	callsAtSend  int   // calls out there, with its own
	processStart int64 // start of the process it went to
	sentAt       int64
	done, ran    bool           // has its outcome; may have run
	presumedLost bool           // waited for no more
	recalled     bool           // withdrawn, to be sent again elsewhere when that has its outcome
	connLoss     *DecayingRatio // nil where the connection was in use
	lostAt       int64          // when it was counted as lost by line and zone, 0 if it was not
}

type part struct {
	PartRequest
	lookup           *Lookup
	answered, closed bool
	forwards         []*forward
	firstForward     forward // where the first is, and its place in forwards
	forwardsArray    [1]*forward
}

// Lookup is the handle of one lookup.
type Lookup struct {
	mixer         *Mixer
	request       LookupRequest
	tariff        *Tariff
	parts         []*part
	stepStart     int // first part of the step at hand
	expectedParts int // parts there are once the step is complete
	neededWeight  float64
	deadline      int64 // when its full revenue ends; it is given up then
	nextReview    int64 // when it is looked at next
	partSlab      partSlab

	epoch, stepSentAt, oldestInFlight int64 // as of the last review, for calm
	answeredWeight                    float64
	stepComplete, ended               bool // the step's parts have come; it has its final answer
}

// memo keeps a figure while it holds: within one call to the mixer that lets figures change.
type memo struct {
	now, call int64
	value     float64
}

func (c *memo) valid(now, call int64) bool { return c.now == now && c.call == call }

// keep notes a figure and gives it.
func (c *memo) set(now, call int64, is float64) float64 {
	*c = memo{now, call, is}
	return is
}

// draw gives a figure of chance that stays the same while it holds.
func (c *memo) draw(now, call int64, rng *rand.Rand) float64 {
	if c.valid(now, call) {
		return c.value
	}
	return c.set(now, call, float64(rng.Int63()))
}

// kept is what a searcher has of its own to spare work: what it takes for a call, its tie-break, and room for the first forwards
// that are out there.
type searcherCache struct {
	unitMemo, tieBreak memo
	inFlightArray      [2]*forward
}

// room gives the row of forwards that are out there, for one more.
func (s *searcher) inFlightBuffer() []*forward {
	if s.inFlight == nil {
		return s.inFlightArray[:0]
	}
	return s.inFlight
}

// scratch is what reviews use anew each time.
type reviewScratch struct {
	keyBounds keyBounds
	picked    []*forward
	partTimes []float64
	fleetMemo memo // of the whole fleet
}

// fleet gives how long forwards took over the calls that were out with them, of the whole fleet.
func (m *Mixer) fleetUnitTime(now int64) float64 {
	if m.fleetMemo.valid(now, m.calls) {
		return m.fleetMemo.value
	}
	return m.fleetMemo.set(now, m.calls, m.fleetPace.Read(now, loadHalfLife, 0, 0))
}

// slab makes parts, many at a time.
type partSlab []part

// slabMost bounds how many parts are made at a time.
const maxSlabParts = 512

// add makes one more part of a lookup.
func (r *partSlab) add(l *Lookup, piece PartRequest) *part {
	if len(*r) == cap(*r) {
		*r = make(partSlab, 0, min(max(1, l.expectedParts-len(l.parts)), maxSlabParts))
	}
	*r = append(*r, part{PartRequest: piece, lookup: l})
	p := &(*r)[len(*r)-1]
	p.forwards = p.forwardsArray[:0]
	return p
}

// next gives where a part's next forward is.
func (p *part) newForward() *forward {
	if len(p.forwards) == 0 {
		return &p.firstForward
	}
	return &forward{}
}

// from gives the part of a row of times, in their order, that lies at a time or after it.
func timesFrom(times []int64, at int64) []int64 {
	i, _ := slices.BinarySearch(times, at)
	if i == len(times) {
		return times[:0] // with the room that it has
	}
	return times[i:]
}

// oldest gives when the first of the forwards that are out there was sent, the time told if none was before it.
func (s *searcher) oldestSentAt(at int64) int64 {
	if len(s.inFlight) > 0 {
		return min(at, s.inFlight[0].sentAt)
	}
	return at
}
