package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEnginePriorityOrder(t *testing.T) {
	previous := 0
	for _, ms := range []float64{1, 10, 40, 80, 160, 320, 640, 5000} {
		p := enginePriority(ms, 100, 0)
		require.GreaterOrEqual(t, p, previous, "priority of a prefill of %v ms", ms)
		previous = p
	}
	require.Less(t, enginePriority(10, 100, 0), enginePriority(100, 100, 0))
	require.Less(t, enginePriority(100, 100, 0), enginePriority(100, 100, 2), "the rank decides between equal prompts")
	require.Less(t, enginePriority(10, 100, 2), enginePriority(1000, 100, 0), "the rank does not outweigh a prefill that takes a hundred times as long")
}

func TestEnginePriorityBounds(t *testing.T) {
	require.Equal(t, 0, enginePriority(0.001, 1000, 0))
	require.Equal(t, lowestPriority, enginePriority(1e9, 1, 8))
	require.Equal(t, 3, enginePriority(50, 0, 3), "without a mean prefill time only the rank counts")
	require.Equal(t, 0, enginePriority(0, 100, -1))
}
