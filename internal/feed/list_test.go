package feed

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/dispatch"
)

// nextList is a list some entries of which came, went or changed.
func nextList(random *rand.Rand, list []dispatch.BackendInfo) (next []dispatch.BackendInfo) {
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
	return slices.DeleteFunc(next, func(l dispatch.BackendInfo) bool {
		twice := seen[l.ID]
		seen[l.ID] = true
		return twice
	})
}

// TestChangesLeadToTheSameList: applied one by one, and joined over several readings, whatever came and went between.
func TestChangesLeadToTheSameList(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		first := nextList(random, nil)
		from, fromSum := first, ListDigest(first)
		var joined *ListUpdate
		for range 1 + random.IntN(6) {
			to := nextList(random, from)
			news := NewListDelta(from, fromSum, to)
			require.Equal(t, ListDigest(to), news.Digest)
			next, ok := news.Apply(from, fromSum)
			require.True(t, ok)
			require.ElementsMatch(t, to, next)
			joined = joined.Merge(news)
			from, fromSum = to, news.Digest
		}
		next, ok := joined.Apply(first, ListDigest(first))
		require.True(t, ok)
		require.ElementsMatch(t, from, next)
		require.Equal(t, fromSum, ListDigest(next))
		whole := NewFullListUpdate(first).Merge(joined)
		next, ok = whole.Apply(nil, 0)
		require.True(t, ok)
		require.ElementsMatch(t, from, next)
	}
}

// TestChangesToAnotherListAreNotTaken: they are asked for instead.
func TestChangesToAnotherListAreNotTaken(t *testing.T) {
	one, two := []dispatch.BackendInfo{{ID: "a"}}, []dispatch.BackendInfo{{ID: "a"}, {ID: "b"}}
	news := NewListDelta(one, ListDigest(one), two)
	_, ok := news.Apply(two[1:], ListDigest(two[1:]))
	require.False(t, ok)
	_, ok = news.Apply(nil, 0)
	require.False(t, ok)
	_, ok = (&ListUpdate{Digest: ListDigest(two)}).Apply(nil, 0)
	require.False(t, ok, "a digest alone brings nothing")
	next, ok := news.Apply(two, ListDigest(two))
	require.True(t, ok, "it is there already")
	require.Equal(t, two, next)
}
