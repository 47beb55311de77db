package metrics

import (
	"strconv"
	"time"
)

// histogramBounds are the upper bounds of a histogram's buckets; what took longer is in one more.
var bucketUpperBounds = [...]time.Duration{
	100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second, 1500 * time.Millisecond,
	2 * time.Second, 3 * time.Second, 4 * time.Second, 6 * time.Second,
}

// Histogram counts durations by bucket. The zero value is empty.
type Histogram struct {
	counts [len(bucketUpperBounds) + 1]uint64
	sum    time.Duration
}

// Observe counts a duration.
func (h *Histogram) Observe(d time.Duration) {
	at := 0
	for at < len(bucketUpperBounds) && d > bucketUpperBounds[at] {
		at++
	}
	h.counts[at]++
	h.sum += d
}

// AddTo adds the histogram to a set, as cumulative buckets in seconds.
func (h *Histogram) AddTo(set *Set, name string) {
	total := uint64(0)
	for at, n := range h.counts {
		total += n
		bound := "+Inf"
		if at < len(bucketUpperBounds) {
			bound = strconv.FormatFloat(bucketUpperBounds[at].Seconds(), 'g', -1, 64)
		}
		set.Add(name+`_bucket{le="`+bound+`"}`, float64(total))
	}
	set.Add(name+"_sum", h.sum.Seconds())
	set.Add(name+"_count", float64(total))
}
