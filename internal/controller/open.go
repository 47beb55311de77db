package controller

import (
	"context"
	"os"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"nettlefold/internal/dirlock"
	"nettlefold/internal/rpc"
	"nettlefold/internal/settings/local"
)

// Open takes the data directory and opens the state in it. It waits while another process has the
// directory. When ctx is done first, it returns its error.
func Open(ctx context.Context, settings *local.Settings, log zerolog.Logger) (*Controller, error) {
	lock, err := lockDirectory(ctx, settings.DataDirectory, log)
	if err != nil {
		return nil, err
	}
	c, err := newWithNetwork(rpc.TCP{}, settings, log)
	if err == nil {
		c.directoryLock = lock
	}
	return c, err
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
