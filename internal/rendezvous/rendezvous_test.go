package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// candidates returns n candidates, named c0, c1 and so on.
func candidates(n int) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprint("c", i))
	}
	return all
}

func TestTop(t *testing.T) {
	all := candidates(50)
	want := slices.Clone(all)
	slices.SortFunc(want, func(a, b string) int {
		if Weight("k", a) > Weight("k", b) {
			return -1
		}
		return 1
	})
	for n := range 52 {
		require.Equal(t, want[:min(n, 50)], append([]string{}, Top("k", all, n)...), "top %d of 50 candidates", n)
	}
	require.Equal(t, want[0], Owner("k", all))
	require.Equal(t, "", Owner("k", nil))
}

func TestTopIgnoresOrderOfCandidates(t *testing.T) {
	all := candidates(20)
	reversed := slices.Clone(all)
	slices.Reverse(reversed)
	require.Equal(t, Top("k", all, 5), Top("k", reversed, 5))
}

// TestOwnerAfterRemoval checks that the removal of a candidate moves only the keys that it owned.
func TestOwnerAfterRemoval(t *testing.T) {
	all := candidates(12)
	remaining := slices.Delete(slices.Clone(all), 3, 4)
	for k := range 500 {
		key := fmt.Sprint(k)
		if owner := Owner(key, all); owner != "c3" {
			require.Equal(t, owner, Owner(key, remaining), "key %s", key)
		}
	}
}
