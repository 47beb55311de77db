package kvindex

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRecentlyEvicted(t *testing.T) {
	x := New()
	x.TrackEvictions(2)
	cursor := Cursor{Epoch: 1}
	change := func(changes ...Change) {
		next := Cursor{Epoch: 1, Next: cursor.Next + 1}
		require.True(t, x.Apply(&Batch{Backend: "b", From: cursor, To: next, Changes: changes}))
		cursor = next
	}
	change(Change{Key: 1, Tokens: 10}, Change{Key: 2, Tokens: 10}, Change{Key: 3, Tokens: 10}, Change{Key: 4, Tokens: 10})
	change(Change{Key: 9}) // it was not known to be kept
	require.False(t, x.RecentlyEvicted(9))
	change(Change{Key: 1, Tokens: 4}) // a part of it stays
	require.False(t, x.RecentlyEvicted(1))
	change(Change{Key: 1})
	require.True(t, x.RecentlyEvicted(1))
	change(Change{Key: 2}, Change{Key: 3})
	require.False(t, x.RecentlyEvicted(1), "the oldest gives way")
	require.True(t, x.RecentlyEvicted(2))
	require.True(t, x.RecentlyEvicted(3))
	change(Change{Key: 2, Tokens: 10})
	change(Change{Key: 2})
	change(Change{Key: 4})
	require.True(t, x.RecentlyEvicted(2), "dropped twice, it is there until its last drop is forgotten")
	require.False(t, x.RecentlyEvicted(3))
	require.Len(t, x.evictions.counts, 2)
}

func TestRecentlyEvictedIsOffByDefault(t *testing.T) {
	x := New()
	require.True(t, x.Apply(&Batch{Backend: "b", To: Cursor{Epoch: 1, Next: 1}, Changes: []Change{{Key: 1, Tokens: 10}, {Key: 1}}}))
	require.False(t, x.RecentlyEvicted(1))
}
