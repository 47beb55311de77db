package controller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/chain"
	"nettlefold/internal/metrics"
)

// TestSpreadOfCommittedNumbers: each number counts once when the last agent has it, and once when it is in force everywhere.
func TestSpreadOfCommittedNumbers(t *testing.T) {
	var s spread
	s.committed(time.Second, 1)
	s.committed(time.Second, 1)
	s.committed(2*time.Second, 2)
	s.reported(2*time.Second, 0, 0)
	seq, took := s.oldest(3 * time.Second)
	require.Equal(t, uint64(1), seq)
	require.Equal(t, 2*time.Second, took)
	s.reported(2200*time.Millisecond, 2, 1)
	requireFigures(t, &s.had, map[string]float64{`bucket{le="1.5"}`: 2, `bucket{le="+Inf"}`: 2, "count": 2, "sum": 1.4})
	requireFigures(t, &s.applied, map[string]float64{"count": 1, "sum": 1.2})
	s.reported(12*time.Second, chain.NoSessions, chain.NoSessions)
	s.reported(13*time.Second, chain.NoSessions, chain.NoSessions)
	_, took = s.oldest(13 * time.Second)
	require.Zero(t, took)

	requireFigures(t, &s.applied, map[string]float64{`bucket{le="1"}`: 0, `bucket{le="2"}`: 1, `bucket{le="6"}`: 1, `bucket{le="+Inf"}`: 2, "count": 2, "sum": 11.2})
}

// requireFigures holds a histogram to some of its figures.
func requireFigures(t *testing.T, h *metrics.Histogram, want map[string]float64) {
	t.Helper()
	set := metrics.NewSet()
	h.AddTo(set, "x")
	for name, figure := range want {
		value, there := set.Value("x_" + name)
		require.True(t, there, name)
		require.InDelta(t, figure, value, 1e-9, name)
	}
}
