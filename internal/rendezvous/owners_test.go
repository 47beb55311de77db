package rendezvous

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOwnersAreThoseOfOwner: through comings and goings of candidates and keys, one, many, all at once, and of none at all.
func TestOwnersAreThoseOfOwner(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 3))
		all, owners := candidates(40), NewOwnerCache()
		for range 60 {
			var now []string
			share := random.Float64()
			for _, c := range all {
				if random.Float64() < share {
					now = append(now, c)
				}
			}
			if random.IntN(10) == 0 {
				now = nil
			}
			random.Shuffle(len(now), func(i, j int) { now[i], now[j] = now[j], now[i] })
			owners.SetCandidates(now)
			for range 100 {
				key := fmt.Sprint(random.IntN(200))
				require.Equal(t, Owner(key, now), owners.Owner(key))
			}
			if random.IntN(5) == 0 {
				owners.Retain(func(key string) bool { return len(key) < 3 })
				require.LessOrEqual(t, owners.Len(), 100)
			}
		}
	}
}
