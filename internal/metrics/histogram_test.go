package metrics

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestHistogramAddTo: a bound counts what took exactly so long, and +Inf counts everything.
func TestHistogramAddTo(t *testing.T) {
	var h Histogram
	for _, took := range []time.Duration{0, 100 * time.Millisecond, 101 * time.Millisecond, time.Second, time.Minute} {
		h.Observe(took)
	}
	set := NewSet()
	h.AddTo(set, "x_seconds")
	for name, want := range map[string]float64{
		`bucket{le="0.1"}`: 2, `bucket{le="0.25"}`: 3, `bucket{le="0.5"}`: 3, `bucket{le="1"}`: 4, `bucket{le="6"}`: 4, `bucket{le="+Inf"}`: 5,
		"count": 5, "sum": 61.201,
	} {
		value, there := set.Value("x_seconds_" + name)
		require.True(t, there, name)
		require.InDelta(t, want, value, 1e-9, name)
	}
}
