package mixer

import (
	"math/rand"
	"slices"
)

// call is a batch of parts sent together to one searcher: when, how many, and how many of them are
// in flight.
type call struct{ at, size, left int64 }

// forward is one attempt to serve a part.
type forward struct {
	part         *part
	searcher     *searcher
	call         *call
	callsAtSend  int   // calls in flight there, including its own
	processStart int64 // start of the process it was sent to
	sentAt       int64
	done, ran    bool           // its outcome is known; it does not rule out that the forward ran
	presumedLost bool           // no longer waited for
	recalled     bool           // cancelled, and resent elsewhere once its outcome is known
	connLoss     *DecayingRatio // loss statistics of its kind of connection, nil if that was in use
	lostAt       int64          // when it was counted as lost, 0 if it was not
}

// part is one part of a lookup.
type part struct {
	PartRequest
	lookup           *Lookup
	answered, closed bool // a closed part is not retried
	forwards         []*forward
	firstForward     forward // storage of the first forward; forwardsArray is that of forwards
	forwardsArray    [1]*forward
}

// Lookup is the handle of one lookup.
type Lookup struct {
	mixer         *Mixer
	request       LookupRequest
	tariff        *Tariff
	parts         []*part
	stepStart     int // index of the current step's first part
	expectedParts int // number of parts once the current step is complete
	neededWeight  float64
	deadline      int64 // latest time for an answer at full revenue; the lookup is given up then
	nextReview    int64 // time of the next review, 0 if none is scheduled
	partSlab      partSlab

	reviewEpoch, stepSentAt, oldestInFlight int64 // as of the last review, for canSkipReview
	answeredWeight                          float64
	stepComplete                            bool // all parts of the step are added
	ended                                   bool // answered, given up or abandoned: no further action
}

// memo caches a value for one time and one value of Mixer.eventCount, which counts the method calls
// that may change it.
type memo struct {
	now, event int64
	value      float64
}

func (c *memo) valid(now, event int64) bool { return c.now == now && c.event == event }

// set stores a value and returns it.
func (c *memo) set(now, event int64, value float64) float64 {
	*c = memo{now, event, value}
	return value
}

// draw returns a random value that stays the same while it is valid.
func (c *memo) draw(now, event int64, rng *rand.Rand) float64 {
	if c.valid(now, event) {
		return c.value
	}
	return c.set(now, event, float64(rng.Int63()))
}

// searcherCache saves work for a searcher: its unit time, its tie-break, and storage for the first
// forwards in flight.
type searcherCache struct {
	unitMemo, tieBreak memo
	inFlightArray      [2]*forward
}

// inFlightBuffer returns the slice of forwards in flight, to append to.
func (s *searcher) inFlightBuffer() []*forward {
	if s.inFlight == nil {
		return s.inFlightArray[:0]
	}
	return s.inFlight
}

// reviewScratch holds buffers that reviews reuse.
type reviewScratch struct {
	keyBounds keyBounds
	picked    []*forward
	partTimes []float64
	fleetMemo memo
}

// fleetUnitTime returns the fleet's latency of forwards per call in flight, for a searcher of size 1.
func (m *Mixer) fleetUnitTime(now int64) float64 {
	if m.fleetMemo.valid(now, m.eventCount) {
		return m.fleetMemo.value
	}
	return m.fleetMemo.set(now, m.eventCount, m.fleetPace.Read(now, loadHalfLife, 0, 0))
}

// partSlab allocates the parts of a lookup many at a time.
type partSlab []part

// maxSlabParts is the largest number of parts allocated at a time.
const maxSlabParts = 512

// add returns a new part of a lookup.
func (s *partSlab) add(l *Lookup, request PartRequest) *part {
	if len(*s) == cap(*s) {
		*s = make(partSlab, 0, min(max(1, l.expectedParts-len(l.parts)), maxSlabParts))
	}
	*s = append(*s, part{PartRequest: request, lookup: l})
	p := &(*s)[len(*s)-1]
	p.forwards = p.forwardsArray[:0]
	return p
}

// newForward returns storage for the part's next forward.
func (p *part) newForward() *forward {
	if len(p.forwards) == 0 {
		return &p.firstForward
	}
	return &forward{}
}

// timesFrom returns the suffix of sorted times that begins at a given time.
func timesFrom(times []int64, at int64) []int64 {
	i, _ := slices.BinarySearch(times, at)
	if i == len(times) {
		return times[:0] // keeps the capacity
	}
	return times[i:]
}

// oldestSentAt returns the earlier of a given time and the time when the oldest forward in flight
// was sent.
func (s *searcher) oldestSentAt(at int64) int64 {
	if len(s.inFlight) > 0 {
		return min(at, s.inFlight[0].sentAt)
	}
	return at
}
