package agent

import (
	"fmt"
	"time"

	"nettlefold/internal/metrics"
)

// arrivalBounds are the upper bounds of the histograms of how long news takes, in seconds.
var arrivalBounds = [...]float64{0.1, 0.25, 0.5, 1, 1.5, 2, 3, 4, 6}

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
