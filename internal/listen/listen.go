// Package listen makes listeners that outlast what passes: an address that a former process or an outgoing connection still has, and
// accepts that fail for lack of descriptors or memory.
package listen

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

const (
	retryInterval = 50 * time.Millisecond // between two attempts to listen
	// reportInterval is the time between two reports of the same hindrance.
	reportInterval = 10 * time.Second
	minAcceptPause = 5 * time.Millisecond // after an accept that failed; doubled while they fail
	maxAcceptPause = time.Second
)

// passingErrors are the errors of bind and listen whose cause may pass while the program waits.
var passingErrors = []error{syscall.EADDRINUSE, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR}

// Await calls open until it returns a listener or an error whose cause won't pass, such as that of an address of another machine. The
// listener's Accept is retried as Retry does. report is called with the error of the first attempt, and every ten seconds after that.
// When ctx is done first, Await returns its error.
func Await(ctx context.Context, open func() (net.Listener, error), report func(err error)) (net.Listener, error) {
	var reportedAt time.Time
	for {
		listener, err := open()
		if err == nil {
			return Retry(listener, report), nil
		}
		if !slices.ContainsFunc(passingErrors, func(passing error) bool { return errors.Is(err, passing) }) {
			return nil, err
		}
		if time.Since(reportedAt) >= reportInterval {
			reportedAt = time.Now()
			report(err)
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// LogTo returns a report for Await and Retry that logs what hinders a program at an address.
func LogTo(log zerolog.Logger, addr string) func(err error) {
	return func(err error) {
		log.Warn().Err(err).Str("step", "listen").Str("addr", addr).Msg("no connections are accepted; will retry")
	}
}

// TCP returns a function for Await that listens at a TCP address.
func TCP(addr string) func() (net.Listener, error) {
	return func() (net.Listener, error) { return net.Listen("tcp", addr) }
}

// Retry returns a listener whose Accept retries after any error until the listener is closed, with a growing pause. report is called
// with the error of the first failure, and every ten seconds while accepts fail.
func Retry(listener net.Listener, report func(err error)) net.Listener {
	return &retrying{Listener: listener, report: report, closed: make(chan struct{})}
}

// retrying is a listener that outlives failed accepts.
type retrying struct {
	net.Listener
	report func(err error)

	closeOnce sync.Once
	closed    chan struct{}
}

// Accept returns the next connection, or net.ErrClosed once the listener is closed.
func (l *retrying) Accept() (net.Conn, error) {
	var reportedAt time.Time
	for pause := minAcceptPause; ; pause = min(2*pause, maxAcceptPause) {
		conn, err := l.Listener.Accept()
		if err == nil {
			return conn, nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if time.Since(reportedAt) >= reportInterval {
			reportedAt = time.Now()
			l.report(err)
		}
		select {
		case <-time.After(pause):
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
}

// Close closes the listener and ends a waiting Accept.
func (l *retrying) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
