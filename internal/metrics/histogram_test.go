package metrics

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestHistogramAddTo checks that buckets are cumulative, that their upper bounds are inclusive, and that
// the +Inf bucket counts every duration.
func TestHistogramAddTo(t *testing.T) {
	var h Histogram
	for _, duration := range []time.Duration{0, 100 * time.Millisecond, 101 * time.Millisecond, time.Second, time.Minute} {
		h.Observe(duration)
	}
	set := NewSet()
	h.AddTo(set, "x_seconds")
	for name, want := range map[string]float64{
		`bucket{le="0.1"}`: 2, `bucket{le="0.25"}`: 3, `bucket{le="0.5"}`: 3, `bucket{le="1"}`: 4, `bucket{le="6"}`: 4, `bucket{le="+Inf"}`: 5,
		"count": 5, "sum": 61.201,
	} {
		got, exists := set.Value("x_seconds_" + name)
		require.True(t, exists, "x_seconds_%s is missing", name)
		require.InDelta(t, want, got, 1e-9, "x_seconds_%s", name)
	}
}
