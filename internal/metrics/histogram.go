package metrics

import (
	"strconv"
	"time"
)

// bucketUpperBounds are the inclusive upper bounds of a histogram's buckets. Longer durations are
// counted in one more bucket, which has no bound.
var bucketUpperBounds = [...]time.Duration{
	100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second, 1500 * time.Millisecond,
	2 * time.Second, 3 * time.Second, 4 * time.Second, 6 * time.Second,
}

// Histogram counts durations in buckets. The zero value is empty. It isn't safe for concurrent use.
type Histogram struct {
	counts [len(bucketUpperBounds) + 1]uint64
	sum    time.Duration
}

// Observe counts a duration.
func (h *Histogram) Observe(d time.Duration) {
	bucket := 0
	for bucket < len(bucketUpperBounds) && d > bucketUpperBounds[bucket] {
		bucket++
	}
	h.counts[bucket]++
	h.sum += d
}

// AddTo adds the histogram to a set as a Prometheus histogram: cumulative buckets, sum and count. The
// unit is seconds.
func (h *Histogram) AddTo(set *Set, name string) {
	total := uint64(0)
	for bucket, count := range h.counts {
		total += count
		bound := "+Inf"
		if bucket < len(bucketUpperBounds) {
			bound = strconv.FormatFloat(bucketUpperBounds[bucket].Seconds(), 'g', -1, 64)
		}
		set.Add(name+`_bucket{le="`+bound+`"}`, float64(total))
	}
	set.Add(name+"_sum", h.sum.Seconds())
	set.Add(name+"_count", float64(total))
}
