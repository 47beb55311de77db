package dirlock

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOneHolder locks a directory twice: the second lock comes with the release of the first one.
func TestOneHolder(t *testing.T) {
	dir := t.TempDir()
	first, err := Await(t.Context(), dir, func() { t.Error("the directory was free") })
	require.NoError(t, err)
	found := make(chan struct{})
	second := make(chan error)
	go func() {
		lock, err := Await(t.Context(), dir, func() { close(found) })
		if err == nil {
			lock.Release()
		}
		second <- err
	}()
	<-found
	select {
	case <-second:
		t.Fatal("two processes have the directory")
	default:
	}
	first.Release()
	require.NoError(t, <-second)
}

// TestAwaitEnds ends the wait for a directory that stays locked.
func TestAwaitEnds(t *testing.T) {
	dir := t.TempDir()
	first, err := Await(t.Context(), dir, func() {})
	require.NoError(t, err)
	defer first.Release()
	ctx, cancel := context.WithCancel(t.Context())
	_, err = Await(ctx, dir, cancel)
	require.ErrorIs(t, err, context.Canceled)
}

// TestMissingDirectory locks a directory that isn't there.
func TestMissingDirectory(t *testing.T) {
	_, err := Await(t.Context(), filepath.Join(t.TempDir(), "none"), func() {})
	require.ErrorIs(t, err, os.ErrNotExist)
}
