package listen

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeListener accepts nothing.
type fakeListener struct{ net.Listener }

func (*fakeListener) Close() error { return nil }

// TestAwaitListener opens an address that is held for a while, one that is held for good, and one that no wait helps with.
func TestAwaitListener(t *testing.T) {
	bindError := func(errno syscall.Errno) error {
		return &net.OpError{Op: "listen", Err: os.NewSyscallError("bind", errno)}
	}
	heldFor := func(held time.Duration, err error) func() (net.Listener, error) {
		started := time.Now()
		return func() (net.Listener, error) {
			if time.Since(started) < held {
				return nil, err
			}
			return &fakeListener{}, nil
		}
	}
	for name, c := range map[string]struct {
		held    time.Duration
		err     error
		want    error // nil: a listener
		reports int
	}{
		"held for a while":           {700 * time.Millisecond, bindError(syscall.EADDRINUSE), nil, 1},
		"held for half a minute":     {30 * time.Second, bindError(syscall.EADDRINUSE), nil, 3},
		"held for good":              {time.Hour, bindError(syscall.EADDRINUSE), context.DeadlineExceeded, 6},
		"no descriptors for a while": {time.Second, bindError(syscall.EMFILE), nil, 1},
		"another machine's address":  {time.Hour, bindError(syscall.EADDRNOTAVAIL), syscall.EADDRNOTAVAIL, 0},
		"no permission":              {time.Hour, bindError(syscall.EACCES), syscall.EACCES, 0},
		"no address":                 {time.Hour, errors.ErrUnsupported, errors.ErrUnsupported, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 59*time.Second)
				defer cancel()
				reports := 0
				listener, err := Await(ctx, heldFor(c.held, c.err), func(error) { reports++ })
				require.Equal(t, c.reports, reports, "reports")
				if c.want != nil {
					require.ErrorIs(t, err, c.want)
					return
				}
				require.NoError(t, err)
				require.NoError(t, listener.Close())
			})
		})
	}
}
