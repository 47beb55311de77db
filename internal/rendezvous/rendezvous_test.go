package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func candidates(n int) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprint("c", i))
	}
	return all
}

func TestTopIsRankedByWeight(t *testing.T) {
	all := candidates(50)
	want := slices.Clone(all)
	slices.SortFunc(want, func(a, b string) int {
		if Weight("k", a) > Weight("k", b) {
			return -1
		}
		return 1
	})
	for n := range 52 {
		require.Equal(t, want[:min(n, 50)], append([]string{}, Top("k", all, n)...))
	}
	require.Equal(t, want[0], Owner("k", all))
	require.Equal(t, "", Owner("k", nil))
}

func TestAllPickTheSameWhateverTheOrder(t *testing.T) {
	all := candidates(20)
	back := slices.Clone(all)
	slices.Reverse(back)
	require.Equal(t, Top("k", all, 5), Top("k", back, 5))
}

// TestOneThatGoesMovesOnlyItsKeys holds the hash to what it is used for.
func TestOneThatGoesMovesOnlyItsKeys(t *testing.T) {
	all := candidates(12)
	without := slices.Delete(slices.Clone(all), 3, 4)
	for k := range 500 {
		key := fmt.Sprint(k)
		if owner := Owner(key, all); owner != "c3" {
			require.Equal(t, owner, Owner(key, without))
		}
	}
}
