package rpc

import "context"

// contextMutex is a mutual exclusion lock whose acquisition can be canceled by a context.
type contextMutex chan struct{}

func newContextMutex() contextMutex { return make(contextMutex, 1) }

// lock acquires the mutex. It returns the error of ctx if ctx is done first.
func (m contextMutex) lock(ctx context.Context) error {
	select {
	case m <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// unlock releases the mutex.
func (m contextMutex) unlock() { <-m }
