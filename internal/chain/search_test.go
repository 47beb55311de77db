package chain

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/simtest"
)

// maxSearchStates bounds a search in CI. To run the bounded searches to their end: go test
// ./internal/chain -run TestSearch -timeout 0 -states 5000000.
const maxSearchStates = 25000

var statesFlag = flag.Int("states", maxSearchStates, "maximum number of states per search")

// TestSearchTwoWrites tries every order of two writes, with one lost message and one power loss.
func TestSearchTwoWrites(t *testing.T) {
	w := newSearchWorld(3, noFault)
	w.pendingWrites = []string{"x", "y"}
	w.remainingLosses = 1
	w.remainingCrashes = 1
	result := simtest.Search(w, *statesFlag)
	require.NoError(t, result.Broken, result.String())
	require.True(t, result.Whole, result.String())
}

// TestSearchWriteDuringViewChange tries orders of a write and a view change.
func TestSearchWriteDuringViewChange(t *testing.T) {
	w := newSearchWorld(3, noFault)
	w.pendingWrites = []string{"x"}
	w.proposers = []NodeID{"b"}
	result := simtest.Search(w, *statesFlag)
	require.NoError(t, result.Broken, result.String())
	t.Log(result.String())
}

// TestSearchTwoProposers tries orders of two concurrent proposals.
func TestSearchTwoProposers(t *testing.T) {
	w := newSearchWorld(3, noFault)
	w.proposers = []NodeID{"a", "c"}
	result := simtest.Search(w, *statesFlag)
	require.NoError(t, result.Broken, result.String())
	t.Log(result.String())
}

// TestSearchPowerLoss tries orders of two writes, a view change and a power loss.
func TestSearchPowerLoss(t *testing.T) {
	w := newSearchWorld(3, noFault)
	w.pendingWrites = []string{"x", "y"}
	w.proposers = []NodeID{"c"}
	w.remainingCrashes = 1
	result := simtest.Search(w, *statesFlag)
	require.NoError(t, result.Broken, result.String())
	t.Log(result.String())
}

// TestSearchReplacement has a joining node catch up and replace a leaving acceptor, beside a write.
func TestSearchReplacement(t *testing.T) {
	for _, leaving := range []NodeID{"a", "b", "c"} {
		w := replacementWorld(noFault, leaving)
		w.pendingWrites = []string{"x"}
		w.proposers = []NodeID{w.nextChain[0]}
		result := simtest.Search(w, *statesFlag)
		require.NoError(t, result.Broken, result.String())
		t.Log(result.String())
	}
}

// TestSearchReplacementWithLoss is TestSearchReplacement with a disk loss or a power loss at any
// step.
func TestSearchReplacementWithLoss(t *testing.T) {
	for _, leaving := range []NodeID{"a", "b", "c"} {
		for _, wipes := range []int{0, 1} {
			w := replacementWorld(noFault, leaving)
			w.pendingWrites = []string{"x", "y"}
			w.proposers = []NodeID{w.nextChain[0], w.nextChain[1]}
			w.remainingWipes, w.remainingCrashes = wipes, 1-wipes
			result := simtest.Search(w, *statesFlag)
			require.NoError(t, result.Broken, result.String())
			result = simtest.Walk(w, 300, 80, 1)
			require.NoError(t, result.Broken, result.String())
		}
	}
}

// largeWorld returns a world with all kinds of events, too large for a complete search.
func largeWorld(f fault) *searchWorld {
	w := newSearchWorld(3, f)
	w.pendingWrites = []string{"x", "y", "z"}
	w.proposers = []NodeID{"a", "b", "c", "b", "c", "a"}
	w.remainingCrashes, w.remainingLosses = 3, 3
	return w
}

// TestRandomWalkLargeWorld takes random paths through a world too large for a search.
func TestRandomWalkLargeWorld(t *testing.T) {
	result := simtest.Walk(largeWorld(noFault), 1500, 120, 1)
	require.NoError(t, result.Broken, result.String())
}

// TestSearchFindsInjectedFaults checks that the search detects each fault that the protocol guards
// against.
func TestSearchFindsInjectedFaults(t *testing.T) {
	for name, world := range map[string]func() *searchWorld{
		"entries that are not durable": func() *searchWorld {
			w := newSearchWorld(3, faultVolatileEntries)
			w.pendingWrites, w.remainingCrashes = []string{"x"}, 1
			return w
		},
		"promises that are not durable": func() *searchWorld {
			w := newSearchWorld(2, faultVolatilePromises)
			w.pendingWrites, w.proposers, w.remainingCrashes = []string{"x"}, []NodeID{"b", "a"}, 2
			return w
		},
		"acknowledged at the head": func() *searchWorld {
			w := newSearchWorld(3, faultAckAtHead)
			w.pendingWrites = []string{"x"}
			return w
		},
		"acknowledged at the head beside a lost disk": func() *searchWorld {
			w := replacementWorld(faultAckAtHead, "a")
			w.pendingWrites, w.proposers, w.remainingWipes = []string{"x"}, []NodeID{"b"}, 1
			return w
		},
		"writes while sealed": func() *searchWorld {
			w := newSearchWorld(3, faultWritesWhileSealed)
			w.pendingWrites, w.proposers = []string{"x"}, []NodeID{"b"}
			return w
		},
	} {
		t.Run(name, func(t *testing.T) {
			result := simtest.Search(world(), 4*maxSearchStates)
			require.Error(t, result.Broken, result.String())
		})
	}
}
