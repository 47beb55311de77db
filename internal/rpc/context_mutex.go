package rpc

import "context"

// turn is a lock that is waited for no longer than a context lasts.
type contextMutex chan struct{}

func newContextMutex() contextMutex { return make(contextMutex, 1) }

// take waits for the turn.
func (t contextMutex) lock(ctx context.Context) error {
	select {
	case t <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// pass gives the turn to the next.
func (t contextMutex) unlock() { <-t }
