package kvindex

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRecentlyEvicted(t *testing.T) {
	x := New()
	x.TrackEvictions(2)
	cursor := Cursor{Epoch: 1}
	apply := func(changes ...Change) {
		next := Cursor{Epoch: 1, Next: cursor.Next + 1}
		require.True(t, x.Apply(&Batch{Backend: "b", From: cursor, To: next, Changes: changes}))
		cursor = next
	}
	apply(Change{Key: 1, Tokens: 10}, Change{Key: 2, Tokens: 10}, Change{Key: 3, Tokens: 10}, Change{Key: 4, Tokens: 10})
	apply(Change{Key: 9})
	require.False(t, x.RecentlyEvicted(9), "key 9 was never cached")
	apply(Change{Key: 1, Tokens: 4})
	require.False(t, x.RecentlyEvicted(1), "4 tokens of key 1 are still cached")
	apply(Change{Key: 1})
	require.True(t, x.RecentlyEvicted(1))
	apply(Change{Key: 2}, Change{Key: 3})
	require.False(t, x.RecentlyEvicted(1), "the oldest entry is replaced")
	require.True(t, x.RecentlyEvicted(2))
	require.True(t, x.RecentlyEvicted(3))
	apply(Change{Key: 2, Tokens: 10})
	apply(Change{Key: 2})
	apply(Change{Key: 4})
	require.True(t, x.RecentlyEvicted(2), "key 2 was evicted twice and its second entry is still in the log")
	require.False(t, x.RecentlyEvicted(3))
	require.Len(t, x.evictions.counts, 2)
}

func TestRecentlyEvictedIsOffByDefault(t *testing.T) {
	x := New()
	require.True(t, x.Apply(&Batch{Backend: "b", To: Cursor{Epoch: 1, Next: 1}, Changes: []Change{{Key: 1, Tokens: 10}, {Key: 1}}}))
	require.False(t, x.RecentlyEvicted(1))
}
