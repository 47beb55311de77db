package distribute

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func someAgents(random *rand.Rand) []Agent {
	var agents []Agent
	for i := range 40 {
		if random.IntN(2) == 0 {
			agents = append(agents, Agent{ID: fmt.Sprint("f", i, "/", random.IntN(2)), Addr: fmt.Sprint("10.0.0.", i), Zone: "z"})
		}
	}
	random.Shuffle(len(agents), func(i, j int) { agents[i], agents[j] = agents[j], agents[i] })
	return agents
}

// TestDeltasOfMembers: a delta makes of the one set just the other, and of no third.
func TestDeltasOfMembers(t *testing.T) {
	for seed := uint64(1); seed <= 500; seed++ {
		random := rand.New(rand.NewPCG(seed, seed))
		old, next, third := NewMemberSet(someAgents(random)), NewMemberSet(someAgents(random)), NewMemberSet(someAgents(random))
		require.Equal(t, next, old.Apply(old.DeltaTo(next)))
		if third.Digest != old.Digest {
			require.Nil(t, third.Apply(old.DeltaTo(next)))
		}
		damaged := old.DeltaTo(next)
		damaged.Added = append(damaged.Added, Agent{ID: "g/1"})
		require.Nil(t, old.Apply(damaged))
	}
}
