package distribute

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// randomAgents returns agents with random IDs, in random order.
func randomAgents(random *rand.Rand) []Agent {
	var agents []Agent
	for i := range 40 {
		if random.IntN(2) == 0 {
			agents = append(agents, Agent{ID: fmt.Sprint("f", i, "/", random.IntN(2)), Addr: fmt.Sprint("10.0.0.", i), Zone: "z"})
		}
	}
	random.Shuffle(len(agents), func(i, j int) { agents[i], agents[j] = agents[j], agents[i] })
	return agents
}

// TestMemberDelta checks that a delta leads from its base set to the next one, and applies neither to other
// sets nor when it is damaged.
func TestMemberDelta(t *testing.T) {
	for seed := uint64(1); seed <= 500; seed++ {
		random := rand.New(rand.NewPCG(seed, seed))
		old, next, other := NewMemberSet(randomAgents(random)), NewMemberSet(randomAgents(random)), NewMemberSet(randomAgents(random))
		require.Equal(t, next, old.Apply(old.DeltaTo(next)), "seed %d", seed)
		if other.Digest != old.Digest {
			require.Nil(t, other.Apply(old.DeltaTo(next)), "seed %d: applied to another set", seed)
		}
		damaged := old.DeltaTo(next)
		damaged.Added = append(damaged.Added, Agent{ID: "g/1"})
		require.Nil(t, old.Apply(damaged), "seed %d: damaged delta", seed)
	}
}
