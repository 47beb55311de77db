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
	require.Equal(t, 2, s.had.counts[2]+s.had.counts[4]+s.had.counts[1])
	require.Equal(t, 1400*time.Millisecond, s.had.sum)
	require.Equal(t, 1200*time.Millisecond, s.applied.sum)
	s.reported(12*time.Second, chain.NoSessions, chain.NoSessions)
	s.reported(13*time.Second, chain.NoSessions, chain.NoSessions)
	require.Equal(t, 1, s.applied.counts[len(spreadBounds)], "longer than all bounds")
	_, took = s.oldest(13 * time.Second)
	require.Zero(t, took)

	set := metrics.NewSet()
	s.applied.add(set, "x_seconds")
	for name, want := range map[string]float64{`x_seconds_bucket{le="1"}`: 0, `x_seconds_bucket{le="2"}`: 1, `x_seconds_bucket{le="+Inf"}`: 2, "x_seconds_count": 2, "x_seconds_sum": 11.2} {
		value, there := set.Value(name)
		require.True(t, there, name)
		require.InDelta(t, want, value, 1e-9, name)
	}
}
