package controller

import (
	"context"
	"errors"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"nettlefold/internal/dirlock"
	"nettlefold/internal/rpc"
	"nettlefold/internal/settings/local"
)

// diskTroubles are the errors of a disk that may take reads and writes again without anybody's help to
// this program.
var diskTroubles = []error{
	syscall.EIO, syscall.ENOSPC, syscall.EDQUOT, syscall.EROFS, syscall.EFBIG, syscall.EBUSY, syscall.ESTALE, syscall.ETIMEDOUT,
	syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR,
}

// Open takes the data directory and opens the state in it. It waits while another process has the
// directory, and while the disk refuses. When ctx is done first, it returns its error.
func Open(ctx context.Context, settings *local.Settings, log zerolog.Logger) (*Controller, error) {
	var lock *dirlock.Lock
	return retryOnDiskTrouble(ctx, log, func() (c *Controller, err error) {
		if lock == nil {
			if lock, err = lockDirectory(ctx, settings.DataDirectory, log); err != nil {
				return nil, err
			}
		}
		if c, err = newWithNetwork(rpc.TCP{}, settings, log); err == nil {
			c.directoryLock = lock
		}
		return c, err
	})
}

// lockDirectory creates the data directory if there is none, and locks it.
func lockDirectory(ctx context.Context, path string, log zerolog.Logger) (*dirlock.Lock, error) {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return nil, merry.Prepend(err, "controller: make the data directory")
	}
	return dirlock.Await(ctx, path, func() {
		log.Warn().Str("step", "open").Str("directory", path).Msg("another process has the data directory; waiting for its end")
	})
}

// retryOnDiskTrouble calls open until it succeeds or fails with an error that no wait helps with.
func retryOnDiskTrouble(ctx context.Context, log zerolog.Logger, open func() (*Controller, error)) (*Controller, error) {
	for {
		c, err := open()
		if err == nil || !slices.ContainsFunc(diskTroubles, func(trouble error) bool { return errors.Is(err, trouble) }) {
			return c, err
		}
		log.Error().Err(err).Str("step", "open").Msg("the disk refuses; will retry")
		select {
		case <-time.After(reopenDelay):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
