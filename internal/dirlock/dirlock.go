// Package dirlock gives a directory to one process at a time. The lock is the kernel's (flock(2)) on the directory itself, so that it
// needs no file and ends with the process, however that ends.
package dirlock

import (
	"context"
	"errors"
	"os"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	retryInterval  = 50 * time.Millisecond // between two attempts to lock
	reportInterval = 10 * time.Second      // between two reports of a lock that is held
)

// Lock is the lock of one directory.
type Lock struct{ directory *os.File }

// Await locks a directory once no other process has locked it. report is called when the directory is found locked, and every ten seconds
// while it is. When ctx is done first, Await returns its error.
func Await(ctx context.Context, path string, report func()) (*Lock, error) {
	directory, err := os.Open(path)
	if err != nil {
		return nil, merry.Prepend(err, "dirlock: open")
	}
	var reportedAt time.Time
	for {
		err := syscall.Flock(int(directory.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return &Lock{directory}, nil
		}
		if !errors.Is(err, syscall.EWOULDBLOCK) && !errors.Is(err, syscall.EINTR) {
			directory.Close()
			return nil, merry.Prepend(err, "dirlock: lock "+path)
		}
		if time.Since(reportedAt) >= reportInterval {
			reportedAt = time.Now()
			report()
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			directory.Close()
			return nil, ctx.Err()
		}
	}
}

// Release unlocks the directory.
func (l *Lock) Release() { l.directory.Close() }
