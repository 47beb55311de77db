package feed

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/dispatch"
)

// randomSuccessor returns a list with random additions, removals and changes of entries.
func randomSuccessor(random *rand.Rand, list []dispatch.BackendInfo) (next []dispatch.BackendInfo) {
	for _, entry := range list {
		switch random.IntN(8) {
		case 0:
			continue
		case 1:
			entry.Draining = !entry.Draining
		case 2:
			entry.Versions = map[string]int64{"m": random.Int64N(9)}
		}
		next = append(next, entry)
	}
	for range random.IntN(3) {
		next = append(next, dispatch.BackendInfo{ID: fmt.Sprint("i-", random.IntN(1000)+1000), Slots: random.IntN(9)})
	}
	random.Shuffle(len(next), func(i, j int) { next[i], next[j] = next[j], next[i] })
	seen := map[string]bool{}
	return slices.DeleteFunc(next, func(b dispatch.BackendInfo) bool {
		duplicate := seen[b.ID]
		seen[b.ID] = true
		return duplicate
	})
}

// TestListDelta applies the deltas between random lists one by one, and merged over several reads.
func TestListDelta(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		first := randomSuccessor(random, nil)
		from, fromDigest := first, ListDigest(first)
		var merged *ListUpdate
		for range 1 + random.IntN(6) {
			to := randomSuccessor(random, from)
			update := NewListDelta(from, fromDigest, to)
			require.Equal(t, ListDigest(to), update.Digest, "seed %d", seed)
			next, ok := update.Apply(from, fromDigest)
			require.True(t, ok, "seed %d: delta not applied to its base list", seed)
			require.ElementsMatch(t, to, next, "seed %d", seed)
			merged = merged.Merge(update)
			from, fromDigest = to, update.Digest
		}
		next, ok := merged.Apply(first, ListDigest(first))
		require.True(t, ok, "seed %d: merged delta not applied to the first list", seed)
		require.ElementsMatch(t, from, next, "seed %d", seed)
		require.Equal(t, fromDigest, ListDigest(next), "seed %d", seed)
		full := NewFullListUpdate(first).Merge(merged)
		next, ok = full.Apply(nil, 0)
		require.True(t, ok, "seed %d: full update not applied", seed)
		require.ElementsMatch(t, from, next, "seed %d", seed)
	}
}

// TestApplyToOtherList checks that the changes of one list don't apply to another.
func TestApplyToOtherList(t *testing.T) {
	one, two := []dispatch.BackendInfo{{ID: "a"}}, []dispatch.BackendInfo{{ID: "a"}, {ID: "b"}}
	update := NewListDelta(one, ListDigest(one), two)
	_, ok := update.Apply(two[1:], ListDigest(two[1:]))
	require.False(t, ok, "applied to another list")
	_, ok = update.Apply(nil, 0)
	require.False(t, ok, "applied to no list")
	_, ok = (&ListUpdate{Digest: ListDigest(two)}).Apply(nil, 0)
	require.False(t, ok, "applied a digest without changes to no list")
	next, ok := update.Apply(two, ListDigest(two))
	require.True(t, ok, "not applied to the resulting list itself")
	require.Equal(t, two, next)
}
