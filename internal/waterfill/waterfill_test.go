package waterfill

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPickLeastCount(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1)).IntN
	counts := []int{3, 1, 2}
	require.Equal(t, 1, Pick(len(counts), func(i int) int { return counts[i] }, random))
	require.Equal(t, -1, Pick(0, nil, random))
}

// TestPickFillsEvenly increments each picked count before the next pick: the counts must level out.
func TestPickFillsEvenly(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2)).IntN
	counts := []int{0, 4, 0, 1}
	for range 11 {
		counts[Pick(len(counts), func(i int) int { return counts[i] }, random)]++
	}
	require.Equal(t, []int{4, 4, 4, 4}, counts)
}

func TestPickBreaksTiesEvenly(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3)).IntN
	picks := [5]int{}
	for range 5000 {
		picks[Pick(5, func(int) int { return 0 }, random)]++
	}
	for i, n := range picks {
		require.InDelta(t, 1000, n, 120, "picks of index %d", i)
	}
}
