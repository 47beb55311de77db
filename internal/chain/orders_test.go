package chain

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/simtest"
)

// mostStates bounds a search in CI. Searches that stop at it can be had whole: go test ./internal/chain -run Orders -timeout 0 -states 5000000.
const mostStates = 25000

var statesFlag = flag.Int("states", mostStates, "states that a search through orders may see")

func TestEveryOrderOfTwoWrites(t *testing.T) {
	w := newCore(3, sound)
	w.script = []string{"x", "y"}
	w.losses = 1
	w.crashes = 1
	result := simtest.Search(w, *statesFlag)
	require.NoError(t, result.Broken, result.String())
	require.True(t, result.Whole, result.String())
}

func TestEveryOrderOfAWriteBesideAView(t *testing.T) {
	w := newCore(3, sound)
	w.script = []string{"x"}
	w.proposes = []NodeID{"b"}
	result := simtest.Search(w, *statesFlag)
	require.NoError(t, result.Broken, result.String())
	t.Log(result.String())
}

func TestOrdersOfTwoProposers(t *testing.T) {
	w := newCore(3, sound)
	w.proposes = []NodeID{"a", "c"}
	result := simtest.Search(w, *statesFlag)
	require.NoError(t, result.Broken, result.String())
	t.Log(result.String())
}

func TestOrdersWithPowerLost(t *testing.T) {
	w := newCore(3, sound)
	w.script = []string{"x", "y"}
	w.proposes = []NodeID{"c"}
	w.crashes = 1
	result := simtest.Search(w, *statesFlag)
	require.NoError(t, result.Broken, result.String())
	t.Log(result.String())
}

// TestOrdersOfAReplacement: a newcomer is brought the log and votes in the place of a machine that leaves, beside a write.
func TestOrdersOfAReplacement(t *testing.T) {
	for _, leaving := range []NodeID{"a", "b", "c"} {
		w := replacement(sound, leaving)
		w.script = []string{"x"}
		w.proposes = []NodeID{w.want[0]}
		result := simtest.Search(w, *statesFlag)
		require.NoError(t, result.Broken, result.String())
		t.Log(result.String())
	}
}

// TestOrdersOfAReplacementWithALoss: the same, and a disk is lost, or power, at any step.
func TestOrdersOfAReplacementWithALoss(t *testing.T) {
	for _, leaving := range []NodeID{"a", "b", "c"} {
		for _, wipes := range []int{0, 1} {
			w := replacement(sound, leaving)
			w.script = []string{"x", "y"}
			w.proposes = []NodeID{w.want[0], w.want[1]}
			w.wipes, w.crashes = wipes, 1-wipes
			result := simtest.Search(w, *statesFlag)
			require.NoError(t, result.Broken, result.String())
			result = simtest.Walk(w, 300, 80, 1)
			require.NoError(t, result.Broken, result.String())
		}
	}
}

// large is a world with everything at once, too large to be searched whole.
func large(f fault) *core {
	w := newCore(3, f)
	w.script = []string{"x", "y", "z"}
	w.proposes = []NodeID{"a", "b", "c", "b", "c", "a"}
	w.crashes, w.losses = 3, 3
	return w
}

func TestRandomWaysThroughALargeWorld(t *testing.T) {
	result := simtest.Walk(large(sound), 1500, 120, 1)
	require.NoError(t, result.Broken, result.String())
}

// TestSearchFindsPlantedFaults shows that the search would see each fault that the design guards against.
func TestSearchFindsPlantedFaults(t *testing.T) {
	for name, world := range map[string]func() *core{
		"entries that are not durable": func() *core {
			w := newCore(3, forgetsEntries)
			w.script, w.crashes = []string{"x"}, 1
			return w
		},
		"promises that are not durable": func() *core {
			w := newCore(2, forgetsPromise)
			w.script, w.proposes, w.crashes = []string{"x"}, []NodeID{"b", "a"}, 2
			return w
		},
		"acknowledged at the head": func() *core {
			w := newCore(3, ackAtHead)
			w.script = []string{"x"}
			return w
		},
		"acknowledged at the head beside a lost disk": func() *core {
			w := replacement(ackAtHead, "a")
			w.script, w.proposes, w.wipes = []string{"x"}, []NodeID{"b"}, 1
			return w
		},
		"writes while sealed": func() *core {
			w := newCore(3, writesSealed)
			w.script, w.proposes = []string{"x"}, []NodeID{"b"}
			return w
		},
	} {
		t.Run(name, func(t *testing.T) {
			result := simtest.Search(world(), 4*mostStates)
			require.Error(t, result.Broken, result.String())
		})
	}
}
