package fanout

import (
	"time"

	"nettlefold/internal/lab/capacity"
)

// Fleet is what the model plays: mixers that each send a query's parts to one holder of each cell. The module isn't in it: a mixer
// picks the holder with the fewest parts of its own out, of equals the one with the least pace that it has learnt, of equals any.
// Left out: copies, refusals, suspects, zones and their prices, the time that bytes take.
type Fleet struct {
	Mixers, Cells, Holders int     // holders of each cell
	Queries                float64 // a second, of one mixer
	Slots                  int     // parts that a searcher works on at once; others wait in their order
	Service                time.Duration
	Sigma                  float64 // of the logarithm of service times
	SlowEach               int     // of so many searchers one takes SlowTimes as long, 0: none
	SlowTimes              float64
	Subset                 int // holders of a cell that a mixer uses, 0: all
	Choose                 Chooser
	Seed                   uint64
	Warm, Length           time.Duration // what is played before and while it's measured

	Idle      time.Duration // after which an unused connection is closed, 0: connections aren't looked at
	Handshake time.Duration // what a new connection adds to its first part

	Zones    int           // with LostAt, one of so many is lost
	LostAt   time.Duration // a zone's searchers end at once, 0: none does
	Notice   time.Duration // longest time until a mixer knows; each has a time of its own, from a sixth of it on
	Restarts time.Duration // in which each searcher restarts once, evenly, 0: none does
	Down     time.Duration // that a restart takes
	ColdFor  time.Duration // until it's warm again

	OwnOrder bool // with the module, whole: each mixer is told the list in an order of its own, not all in the same one

	forgetful bool // a planted fault: counts aren't raised after a pick
	lavish    bool // another: each mixer sends a cold searcher what all may together
}

// Outcome is what a play gave, in the time that was measured where nothing else is said.
type Outcome struct {
	Sent, Answered, Out int // of the whole play
	Counted             int // own counts of all mixers, when time is up; they are what is out
	Stuck               int // own counts that aren't 0 when all is answered
	Part, Query         Delays
	Load                Load    // parts by searcher
	Worst               float64 // of a searcher in its worst whole second, over the mean of all
	Busy                float64 // share of pairs of mixer and searcher with a part out, when time is up
	OwnBusy             float64 // share of picks that found a part of their own out there
	Met                 float64 // share of pairs that were used
	ConnsMixer          float64 // open connections of a mixer, when time is up
	ConnsSearcher       Load
	New                 float64 // connections a second and mixer
	ColdWorst           float64 // parts to a cold searcher in a second, over what it bears then, at worst
	ColdSeconds         int     // of cold searchers, each from the first part after the one before
	ColdBeyond          int     // those in which all mixers sent more than N + 2√N + 2, N being the fleet's allowance a second
}

// Planned is the plan's fleet, its cells cut down to so many: what a mixer and a searcher have of one cell isn't changed by that.
// The service's spread and the slow searchers are assumed; each searcher works on as many parts as makes the plan's traffic six tenths
// of what it bears.
func Planned(cells int) Fleet {
	return Fleet{Mixers: int(capacity.Mixers), Cells: cells, Holders: int(capacity.Searchers) / int(capacity.Parts),
		Queries: capacity.QueriesEach(), Slots: 32, Service: 10 * time.Millisecond, Sigma: 0.5, SlowEach: 50, SlowTimes: 2,
		Choose: Rendezvous, Seed: 1, Warm: 4 * time.Second, Length: 2 * time.Second}
}

// Scaled is a fleet with so many times fewer mixers, holders, queries of a mixer and slots of a searcher: a mixer meets a searcher as
// often as in the whole one, and searchers are as busy.
func (f Fleet) Scaled(times int) Fleet {
	f.Mixers, f.Holders, f.Queries, f.Slots = f.Mixers/times, f.Holders/times, f.Queries/float64(times), max(1, f.Slots/times)
	return f
}

// Meets is how often a second a mixer meets a searcher of its subset in the mean.
func (f Fleet) Meets() float64 { return f.Queries / float64(f.used()) }

func (f Fleet) used() int {
	if f.Subset == 0 {
		return f.Holders
	}
	return min(f.Subset, f.Holders)
}
