package rpc

import "context"

// turn is a lock that is waited for no longer than a context lasts.
type turn chan struct{}

func newTurn() turn { return make(turn, 1) }

// take waits for the turn.
func (t turn) take(ctx context.Context) error {
	select {
	case t <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// pass gives the turn to the next.
func (t turn) pass() { <-t }
