package kvindex

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func key(part string) Key { return KeyOf("s", "m", part) }

func TestPrefixTokensStopsAtGap(t *testing.T) {
	x := New()
	parts := []Part{{"a", 100}, {"b", 50}, {"c", 10}}
	keys := Keys("s", "m", parts)
	require.True(t, x.Apply(&Batch{Backend: "1", To: Cursor{1, 3}, Changes: []Change{{Key: key("a"), Tokens: 100}, {Key: key("c"), Tokens: 10}}}))
	require.Equal(t, 100, x.PrefixTokens("1", keys, parts))
	require.True(t, x.Apply(&Batch{Backend: "1", From: Cursor{1, 3}, To: Cursor{1, 4}, Changes: []Change{{Key: key("b"), Tokens: 32}}}))
	require.Equal(t, 132, x.PrefixTokens("1", keys, parts), "a partly cached part ends the prefix")
	require.Equal(t, 0, x.PrefixTokens("2", keys, parts))
	require.Equal(t, 0, x.PrefixTokens("1", Keys("other salt", "m", parts), parts))
}

func TestApplyDetectsGap(t *testing.T) {
	x := New()
	require.True(t, x.Apply(&Batch{Backend: "1", To: Cursor{1, 3}, Changes: []Change{{Key: key("a"), Tokens: 100}}}))
	require.False(t, x.Apply(&Batch{Backend: "1", From: Cursor{1, 5}, To: Cursor{1, 6}}))
	require.True(t, x.Apply(&Batch{Backend: "1", From: Cursor{1, 2}, To: Cursor{1, 3}}), "changes that are already applied are not a gap")
	require.False(t, x.Apply(&Batch{Backend: "2", From: Cursor{1, 5}, To: Cursor{1, 6}}))
	require.True(t, x.Apply(&Batch{Backend: "1", Snapshot: true, To: Cursor{2, 9}, Changes: []Change{{Key: key("b"), Tokens: 7}}}))
	require.Equal(t, 1, x.PartCount())
}

func TestApplyDetectsDigestMismatch(t *testing.T) {
	x, y := New(), New()
	x.Apply(&Batch{Backend: "1", To: Cursor{1, 3}, Changes: []Change{{Key: key("a"), Tokens: 100}, {Key: key("b"), Tokens: 5}}})
	y.Apply(&Batch{Backend: "1", To: Cursor{1, 2}, Changes: []Change{{Key: key("b"), Tokens: 5}}})
	require.NotEqual(t, x.Digest("1"), y.Digest("1"))
	batch := &Batch{Backend: "1", From: Cursor{1, 2}, To: Cursor{1, 3}, Changes: []Change{{Key: key("c"), Tokens: 1}}, Digest: x.Digest("1")}
	require.False(t, y.Apply(batch))
	require.True(t, y.Apply(x.Snapshot("1")))
	require.Equal(t, x.Digest("1"), y.Digest("1"))
	x.Apply(&Batch{Backend: "1", From: Cursor{1, 3}, To: Cursor{1, 4}, Changes: []Change{{Key: key("a"), Tokens: 0}, {Key: key("b"), Tokens: 0}}})
	require.Zero(t, x.Digest("1"))
}

// TestApplyAcceptsOldChanges guards against a second snapshot fetch: changes that were in flight while
// a snapshot was fetched arrive after it and are older than its cursor.
func TestApplyAcceptsOldChanges(t *testing.T) {
	x := New()
	require.True(t, x.Apply(&Batch{Backend: "b", From: Cursor{1, 9}, To: Cursor{1, 9}, Snapshot: true, Changes: []Change{{Key: 1, Tokens: 5}}}))
	require.True(t, x.Apply(&Batch{Backend: "b", From: Cursor{1, 4}, To: Cursor{1, 7}, Changes: []Change{{Key: 1, Tokens: 0}}}))
	require.True(t, x.Apply(&Batch{Backend: "b", From: Cursor{1, 7}, To: Cursor{1, 9}, Changes: []Change{{Key: 1, Tokens: 3}}}))
	require.Equal(t, 1, x.PartCount())
	require.False(t, x.Apply(&Batch{Backend: "b", From: Cursor{1, 10}, To: Cursor{1, 12}}), "changes 9 to 10 are missing")
	require.False(t, x.Apply(&Batch{Backend: "b", From: Cursor{2, 4}, To: Cursor{2, 5}}), "another epoch")
}
