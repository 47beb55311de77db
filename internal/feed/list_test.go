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
		from, fromSum := first, ListSum(first)
		var joined *ReadList
		for range 1 + random.IntN(6) {
			to := nextList(random, from)
			news := ListChanges(from, fromSum, to)
			require.Equal(t, ListSum(to), news.Sum)
			next, ok := news.Apply(from, fromSum)
			require.True(t, ok)
			require.ElementsMatch(t, to, next)
			joined = joined.Then(news)
			from, fromSum = to, news.Sum
		}
		next, ok := joined.Apply(first, ListSum(first))
		require.True(t, ok)
		require.ElementsMatch(t, from, next)
		require.Equal(t, fromSum, ListSum(next))
		whole := WholeList(first).Then(joined)
		next, ok = whole.Apply(nil, 0)
		require.True(t, ok)
		require.ElementsMatch(t, from, next)
	}
}

// TestChangesToAnotherListAreNotTaken: they are asked for instead.
func TestChangesToAnotherListAreNotTaken(t *testing.T) {
	one, two := []dispatch.BackendInfo{{ID: "a"}}, []dispatch.BackendInfo{{ID: "a"}, {ID: "b"}}
	news := ListChanges(one, ListSum(one), two)
	_, ok := news.Apply(two[1:], ListSum(two[1:]))
	require.False(t, ok)
	_, ok = news.Apply(nil, 0)
	require.False(t, ok)
	_, ok = (&ReadList{Sum: ListSum(two)}).Apply(nil, 0)
	require.False(t, ok, "a digest alone brings nothing")
	next, ok := news.Apply(two, ListSum(two))
	require.True(t, ok, "it is there already")
	require.Equal(t, two, next)
}
