// Package twophase decides how a lookup is served in two phases: first cheap questions, which blocks hold what is sought,
// then fetches of those that do. It does no I/O, reads no clock and starts nothing: times come from the caller, in ns.
//
// Plan says how a lookup begins: which parts are asked about, which fetched at once, and how long questions are waited for.
// Run then takes what comes and says what to do next, and at the end what is known of each part. docs/two-phase.md weighs
// the ways.
package twophase

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	ms = int64(time.Millisecond)

	memory     = 30_000 * ms  // ns in one half of what durations remember; the older half goes when the newer is full of time
	longest    = 120_000 * ms // ns, the longest duration told apart
	hitHalf    = 60_000 * ms  // ns; a block's hits count half as much after it
	guessHits  = 0.5          // of blocks hold what is sought, until some have told
	guessVoice = 2.0          // answers that this guess, and later the tariff's own rate, weigh in a block's
	guessCheap = 0.1          // of a fetch's work a question costs, until some have told
	inTime     = 0.95         // probability aimed at that the second phase ends in time, if all it may need is fetched
	worthwhile = 0.5          // probability that a question is answered before waiting ends, under which none is asked
	guessTook  = 0.15         // of the expected time, what a fetch is held to take until some have come
)

// Terms are what a tariff says. Times are ns, weights shares of the whole.
type Terms struct {
	Expected     int64
	CompleteFrom float64
	LeastShare   float64
}

// Part is one part of a lookup.
type Part struct {
	Block  int
	Weight float64
	Absent bool // a summary that is believed says that its block does not hold what is sought
}

// Way is how a part begins.
type Way int

const (
	Ask   Way = iota // whether it holds what is sought
	Fetch            // at once: it almost surely does, or there is no time to ask
	Skip             // a summary says that it does not
)

// Plan is how a lookup begins.
type Plan struct {
	Ways     []Way
	AskUntil int64 // when questions are waited for no more, and what is unknown is fetched
}

// durations are how long things took, in two halves of time, of which the older fades as a whole.
type durations struct {
	halves [2]*hdrhistogram.Histogram
	turned int64
}

func newDurations() durations {
	return durations{halves: [2]*hdrhistogram.Histogram{hdrhistogram.New(1, longest/ms*10, 2), hdrhistogram.New(1, longest/ms*10, 2)}}
}

// add notes one, in tenths of ms.
func (d *durations) add(now, took int64) {
	if now-d.turned >= memory {
		d.halves[0], d.halves[1] = d.halves[1], d.halves[0]
		d.halves[0].Reset()
		if now-d.turned >= 2*memory {
			d.halves[1].Reset()
		}
		d.turned = now
	}
	d.halves[0].RecordValue(min(max(took/(ms/10), 1), longest/ms*10))
}

// quantile gives what a share of durations does not exceed, 0 where none is known.
func (d *durations) quantile(share float64) int64 {
	most := int64(0)
	for _, h := range d.halves {
		if h.TotalCount() > 0 {
			most = max(most, h.ValueAtQuantile(100*share)) // of the halves, the worse: times change for the worse at once
		}
	}
	return most * (ms / 10)
}

// within gives the probability that one takes no longer, 1 where none is known.
func (d *durations) within(time int64) float64 {
	in, all := int64(0), int64(0)
	for _, h := range d.halves {
		for _, bar := range h.Distribution() {
			all += bar.Count
			if bar.To*(ms/10) <= time {
				in += bar.Count
			}
		}
	}
	if all == 0 {
		return 1
	}
	return float64(in) / float64(all)
}

// rate is a share with fading memory.
type rate struct {
	yes, all float64
	at       int64
}

func (r *rate) fade(now int64) {
	f := math.Exp2(-float64(now-r.at) / float64(hitHalf))
	r.yes, r.all, r.at = r.yes*f, r.all*f, now
}

func (r *rate) add(now int64, yes bool) {
	r.fade(now)
	r.all++
	if yes {
		r.yes++
	}
}

// read gives the share, leaning on a guess.
func (r rate) read(now int64, guess float64) float64 {
	r.fade(now)
	return (r.yes + guess*guessVoice) / (r.all + guessVoice)
}

// Knowledge is what one mixer has learnt of one tariff. Its size is that of the blocks there are.
type Knowledge struct {
	terms          Terms
	asked, fetched durations
	blocks         []rate
	hits           rate
	askWork, work  rate // work of questions and of fetches: sums over how many
}

// NewKnowledge knows nothing of a tariff yet.
func NewKnowledge(t Terms, blocks int) *Knowledge {
	return &Knowledge{terms: t, asked: newDurations(), fetched: newDurations(), blocks: make([]rate, blocks)}
}

// Answered tells how a question on a block ended: how long it took, its work where the searcher told, 0 where not.
func (k *Knowledge) Answered(now int64, block int, holds bool, took, work int64) {
	k.asked.add(now, took)
	k.blocks[block].add(now, holds)
	k.hits.add(now, holds)
	k.askWork.note(now, work)
}

// Fetched tells how long a fetch took, and its work where the searcher told.
func (k *Knowledge) Fetched(now int64, took, work int64) {
	k.fetched.add(now, took)
	k.work.note(now, work)
}

func (r *rate) note(now, work int64) {
	if work > 0 {
		r.fade(now)
		r.yes += float64(work)
		r.all++
	}
}

// cheap gives the work of a question as a share of a fetch's.
func (k *Knowledge) cheap() float64 {
	if k.askWork.all < guessVoice || k.work.all < guessVoice {
		return guessCheap
	}
	return (k.askWork.yes / k.askWork.all) / (k.work.yes / k.work.all)
}

// Holds gives the probability that a block holds what is sought.
func (k *Knowledge) Holds(now int64, block int) float64 {
	return k.blocks[block].read(now, k.hits.read(now, guessHits))
}

// Second gives how long the second phase is held to take when so many parts are fetched in it: the slowest of them, with the
// probability aimed at.
func (k *Knowledge) Second(parts float64) int64 {
	if parts <= 0 {
		return 0
	}
	took := k.fetched.quantile(math.Pow(inTime, 1/max(parts, 1)))
	if took == 0 {
		took = int64(guessTook * float64(k.terms.Expected))
	}
	return took
}

// Plan plans a lookup that must end by a time. A part is asked about where that saves work on the average: a question and,
// if the block holds it, a fetch, against a fetch at once. Waiting for answers ends early enough that all unknown parts can
// still be fetched in time. If too few answers would be in by then, questions only add work, and the lookup has one phase.
func (k *Knowledge) Plan(now, end int64, parts []Part) Plan {
	p := Plan{Ways: make([]Way, len(parts)), AskUntil: now}
	ask, fetch := 0, 0.0
	for i, part := range parts {
		holds := k.Holds(now, part.Block)
		switch {
		case part.Absent:
			p.Ways[i] = Skip
		case k.cheap()+holds < 1:
			ask++
			fetch += holds
		default:
			p.Ways[i] = Fetch
			fetch++
		}
	}
	if ask == 0 {
		return p
	}
	p.AskUntil = end - k.Second(float64(ask)) // what is unknown then is at the most all that was asked about
	if left := p.AskUntil - now; left <= 0 || k.asked.within(left) < worthwhile {
		p.AskUntil = now
		for i, way := range p.Ways {
			if way == Ask {
				p.Ways[i] = Fetch
			}
		}
	}
	return p
}
