package controller

import (
	"context"
	"io/fs"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// TestDiskTroubleAtStartIsAwaited guards against FAULT: a controller ended where its disk refused as it started.
func TestDiskTroubleAtStartIsAwaited(t *testing.T) {
	for name, c := range map[string]struct {
		err    error
		passes bool // once the trouble is over, the controller opens its state
	}{
		"full":             {syscall.ENOSPC, true},
		"input and output": {syscall.EIO, true},
		"read-only":        {syscall.EROFS, true},
		"size limit":       {syscall.EFBIG, true},
		"no descriptors":   {syscall.EMFILE, true},
		"no permission":    {syscall.EACCES, false},
		"not a directory":  {syscall.ENOTDIR, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				failures := 3
				opened, err := retryOnDiskTrouble(t.Context(), zerolog.Nop(), func() (*Controller, error) {
					if failures == 0 {
						return &Controller{}, nil
					}
					failures--
					return nil, merry.Prepend(&fs.PathError{Op: "write", Path: "state", Err: c.err}, "durable: write")
				})
				if c.passes {
					require.NoError(t, err)
					require.NotNil(t, opened)
					return
				}
				require.ErrorIs(t, err, c.err)
				require.Equal(t, 2, failures, "failures left: one attempt")
			})
		})
	}
}

// TestDiskTroubleEndsWithSIGTERM ends a controller that waits for its disk.
func TestDiskTroubleEndsWithSIGTERM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, err := retryOnDiskTrouble(ctx, zerolog.Nop(), func() (*Controller, error) { return nil, &os.PathError{Err: syscall.EIO} })
		require.ErrorIs(t, err, context.DeadlineExceeded)
	})
}
