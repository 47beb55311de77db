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

// fakeListener fails with the given errors, one a call, and succeeds after them until it is closed.
type fakeListener struct {
	errors []error
	closed bool
}

func (l *fakeListener) Accept() (net.Conn, error) {
	if l.closed {
		return nil, net.ErrClosed
	}
	if len(l.errors) > 0 {
		err := l.errors[0]
		l.errors = l.errors[1:]
		return nil, err
	}
	conn, other := net.Pipe()
	other.Close()
	return conn, nil
}

func (l *fakeListener) Close() error   { l.closed = true; return nil }
func (l *fakeListener) Addr() net.Addr { return nil }

// TestAcceptOutlivesErrors guards against deaf programs: a server ended its accept loop at the first error.
func TestAcceptOutlivesErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPERM, syscall.EPROTO, syscall.ENETDOWN,
	} {
		synctest.Test(t, func(t *testing.T) {
			reports := 0
			failure := &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", errno)}
			l := Retry(&fakeListener{errors: []error{failure, failure, failure}}, func(error) { reports++ })
			conn, err := l.Accept()
			require.NoError(t, err, errno)
			conn.Close()
			require.Equal(t, 1, reports, "reports of three failures in a row")
		})
	}
}

// TestAcceptEndsWhenClosed closes a listener while its Accept pauses after an error.
func TestAcceptEndsWhenClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failures := make([]error, 1000)
		for i := range failures {
			failures[i] = syscall.EMFILE
		}
		l := Retry(&fakeListener{errors: failures}, func(error) {})
		time.AfterFunc(5*time.Second, func() { l.Close() })
		started := time.Now()
		_, err := l.Accept()
		require.ErrorIs(t, err, net.ErrClosed)
		require.Equal(t, 5*time.Second, time.Since(started))
	})
}

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
