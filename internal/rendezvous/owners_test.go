package rendezvous

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOwnerCache compares the cache with Owner while random candidates, sometimes all of them, join and
// leave and keys are dropped.
func TestOwnerCache(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 3))
		all, cache := candidates(40), NewOwnerCache()
		for range 60 {
			var present []string
			share := random.Float64()
			for _, c := range all {
				if random.Float64() < share {
					present = append(present, c)
				}
			}
			if random.IntN(10) == 0 {
				present = nil
			}
			random.Shuffle(len(present), func(i, j int) { present[i], present[j] = present[j], present[i] })
			cache.SetCandidates(present)
			for range 100 {
				key := fmt.Sprint(random.IntN(200))
				require.Equal(t, Owner(key, present), cache.Owner(key), "seed %d key %s", seed, key)
			}
			if random.IntN(5) == 0 {
				cache.Retain(func(key string) bool { return len(key) < 3 })
				require.LessOrEqual(t, cache.Len(), 100)
			}
		}
	}
}
