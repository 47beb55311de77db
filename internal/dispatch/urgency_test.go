package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEnginePriorityOrder(t *testing.T) {
	last := 0
	for _, ms := range []float64{1, 10, 40, 80, 160, 320, 640, 5000} {
		p := enginePriority(ms, 100, 0)
		require.GreaterOrEqual(t, p, last)
		last = p
	}
	require.Less(t, enginePriority(10, 100, 0), enginePriority(100, 100, 0))
	require.Less(t, enginePriority(100, 100, 0), enginePriority(100, 100, 2), "of two alike the rank decides")
	require.Less(t, enginePriority(10, 100, 2), enginePriority(1000, 100, 0), "a rank does not put what takes a hundred times as long first")
}

func TestEnginePriorityBounds(t *testing.T) {
	require.Equal(t, 0, enginePriority(0.001, 1000, 0))
	require.Equal(t, lowestPriority, enginePriority(1e9, 1, 8))
	require.Equal(t, 3, enginePriority(50, 0, 3), "nothing was learned yet: the rank alone")
	require.Equal(t, 0, enginePriority(0, 100, -1))
}
