package agent

import (
	"fmt"
	"time"

	"nettlefold/internal/feed"
	"nettlefold/internal/metrics"
)

// arrivalBounds are the upper bounds of the histograms of how long news takes, in seconds.
var arrivalBounds = [...]float64{0.1, 0.25, 0.5, 1, 1.5, 2, 3, 4, 6}

// lateAfter is how long a stage may take until the log tells that it was late.
const lateAfter = 1500 * time.Millisecond

// arrivals counts how long pieces of news took.
type arrivals struct {
	counts [len(arrivalBounds)]uint64 // at most so long as each bound
	total  uint64
	sum    time.Duration
}

func (a *arrivals) add(took time.Duration) {
	a.total++
	a.sum += took
	for i, bound := range arrivalBounds {
		if took.Seconds() <= bound {
			a.counts[i]++
		}
	}
}

// addTo adds the histogram to figures.
func (a *arrivals) addTo(set *metrics.Set, name string) {
	for i, bound := range arrivalBounds {
		set.Add(fmt.Sprintf(`%s_bucket{le="%g"}`, name, bound), float64(a.counts[i]))
	}
	set.Add(name+`_bucket{le="+Inf"}`, float64(a.total))
	set.Add(name+"_sum", a.sum.Seconds())
	set.Add(name+"_count", float64(a.total))
}

// applied measures how long the proxy takes to have in force what its agent has. Pieces of news are numbered upwards.
type applied struct {
	waiting uint64 // the first number that the proxy is not known to have, 0 if there is none
	since   time.Time
	took    arrivals
}

// changed notes that there is news of a number.
func (p *applied) changed(number uint64, now time.Time) {
	if p.waiting == 0 {
		p.waiting, p.since = number, now
	}
}

// has notes that the proxy has the news up to a number, and gives how long it took, 0 if it had it before.
func (p *applied) has(number uint64, now time.Time) (took time.Duration) {
	if p.waiting != 0 && number >= p.waiting {
		p.waiting = 0
		took = now.Sub(p.since)
		p.took.add(took)
	}
	return took
}

// noteApplied notes what a proxy's call tells that it has in force; same tells whether its numbers are of this agent's life.
func (a *Agent) noteApplied(same bool, request *feed.Request) {
	now := time.Now()
	if a.snapshot != nil && a.snapshot.Seq > request.Applied {
		a.snapshotApplied.changed(a.snapshot.Seq, now)
	}
	a.tellLate("snapshot applied", a.snapshotApplied.has(request.Applied, now))
	if same {
		a.tellLate("list applied", a.listApplied.has(request.List, now))
	}
}

// tellLate tells in the log that a stage of the news took long.
func (a *Agent) tellLate(stage string, took time.Duration) {
	if took > lateAfter {
		a.log.Info().Str("step", "late").Str("stage", stage).Dur("took", took).Msg("news came late")
	}
}
