// Package listen waits for addresses that a former process or an outgoing connection still has.
package listen

import (
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

const (
	retryInterval = 50 * time.Millisecond // between two attempts to listen
	// reportInterval is the time between two reports of the same hindrance.
	reportInterval = 10 * time.Second
)

// passingErrors are the errors of bind and listen whose cause may pass while the program waits.
var passingErrors = []error{syscall.EADDRINUSE, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR}

// Await calls open until it returns a listener or an error whose cause won't pass, such as that of an address of another machine. report is called with the error of the first attempt, and every ten seconds after that.
// When ctx is done first, Await returns its error.
func Await(ctx context.Context, open func() (net.Listener, error), report func(err error)) (net.Listener, error) {
	var reportedAt time.Time
	for {
		listener, err := open()
		if err == nil {
			return listener, nil
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

// LogTo returns a report for Await that logs what hinders a program at an address.
func LogTo(log zerolog.Logger, addr string) func(err error) {
	return func(err error) {
		log.Warn().Err(err).Str("step", "listen").Str("addr", addr).Msg("no connections are accepted; will retry")
	}
}

// TCP returns a function for Await that listens at a TCP address.
func TCP(addr string) func() (net.Listener, error) {
	return func() (net.Listener, error) { return net.Listen("tcp", addr) }
}
