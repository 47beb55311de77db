package controller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/chain"
	"nettlefold/internal/metrics"
)

// TestPropagationTracker: each sequence number is counted once when the last agent has received it,
// and once when the last agent has applied it.
func TestPropagationTracker(t *testing.T) {
	var s propagationTracker
	s.recordCommit(time.Second, 1)
	s.recordCommit(time.Second, 1)
	s.recordCommit(2*time.Second, 2)
	s.recordProgress(2*time.Second, 0, 0)
	seq, took := s.oldestPending(3 * time.Second)
	require.Equal(t, uint64(1), seq)
	require.Equal(t, 2*time.Second, took)
	s.recordProgress(2200*time.Millisecond, 2, 1)
	requireMetrics(t, &s.received, map[string]float64{`bucket{le="1.5"}`: 2, `bucket{le="+Inf"}`: 2, "count": 2, "sum": 1.4})
	requireMetrics(t, &s.applied, map[string]float64{"count": 1, "sum": 1.2})
	s.recordProgress(12*time.Second, chain.NoSessions, chain.NoSessions)
	s.recordProgress(13*time.Second, chain.NoSessions, chain.NoSessions)
	_, took = s.oldestPending(13 * time.Second)
	require.Zero(t, took)

	requireMetrics(t, &s.applied, map[string]float64{
		`bucket{le="1"}`: 0, `bucket{le="2"}`: 1, `bucket{le="6"}`: 1, `bucket{le="+Inf"}`: 2, "count": 2, "sum": 11.2,
	})
}

// requireMetrics checks some of the values of a histogram.
func requireMetrics(t *testing.T, h *metrics.Histogram, want map[string]float64) {
	t.Helper()
	set := metrics.NewSet()
	h.AddTo(set, "x")
	for name, wantValue := range want {
		value, found := set.Value("x_" + name)
		require.True(t, found, "metric %s is missing", name)
		require.InDelta(t, wantValue, value, 1e-9, name)
	}
}
