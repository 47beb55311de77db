package store

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"nettlefold/internal/routing"
	"nettlefold/internal/sharing"
	"nettlefold/mixer"
)

// stuck is a store that is silent until it is let go.
type stuck struct{ asked, leave chan struct{} }

func (s stuck) Exchange(context.Context, []byte) ([][]byte, error) {
	s.asked <- struct{}{}
	<-s.leave
	return nil, errors.New("silent")
}

// TestNoLookupWaitsForTheStore has lookups be taken, chosen for and answered while an exchange with a silent store
// is under way, which is let go only behind them: nothing of them waits for it, however long it lasts.
func TestNoLookupWaitsForTheStore(t *testing.T) {
	c := mixer.Config{Tariffs: []mixer.Tariff{{Expected: 60e9, Patience: 60e9, CompleteFrom: 1, LeastShare: 1, Effect: mixer.Idempotent}},
		Mixers: 2, Cells: 1, Reach: 1, PerCall: 1, MaxForwards: 3, ColdFrom: 1, FallMultiple: 1, FallFor: 1e9}
	router, err := routing.New(c, map[string]int{"t": 0}, 100, 1, quietLog())
	if err != nil {
		t.Fatal(err)
	}
	router.Listed([]routing.Entry{{Searcher: "s"}, {Searcher: "other"}}, true)
	store := stuck{make(chan struct{}), make(chan struct{})}
	k := NewKeeper(router, store, "me", "z", 1, quietLog())
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute) // that something waits shows here: nothing else ends it
	defer cancel()
	for round := range 2 { // the circuit is closed still
		ended := make(chan struct{})
		go func() { k.Round(t.Context()); close(ended) }()
		<-store.asked
		served := make(chan error, 1)
		go func() { served <- serveAll(ctx, router, round) }()
		select {
		case err := <-served:
			if err != nil {
				t.Error(err)
			}
		case <-ctx.Done():
			t.Error("a lookup waits for the store")
		}
		select {
		case <-ended:
			t.Error("the round has ended before its exchange")
		default:
		}
		store.leave <- struct{}{}
		<-ended
	}
	if s := k.State(); s.Failed != 2 {
		t.Errorf("%+v, want two failed rounds", s)
	}
}

// serveAll takes lookups to their ends, and tells and hears what a keeper of another way would.
func serveAll(ctx context.Context, router *routing.Router, round int) error {
	for i := range 20 {
		l, err := router.Take(routing.Lookup{ID: fmt.Sprintf("%d.%d", round, i), Tariff: "t", Expires: time.Now().Add(time.Minute),
			Parts: []routing.Part{{Weight: 1}}})
		if err != nil {
			return err
		}
		step, err := l.Pick(ctx)
		if err != nil || len(step.Calls) != 1 {
			return fmt.Errorf("lookup %d: %+v, %w", i, step, err)
		}
		f := step.Calls[0].Forwards[0]
		if !f.Leave() {
			return fmt.Errorf("lookup %d: its part may not leave", i)
		}
		f.Report(mixer.Succeeded, nil)
		if step, err = l.Pick(ctx); err != nil || step.Final == nil || step.Final.Verdict != routing.Answered {
			return fmt.Errorf("lookup %d: %+v, %w", i, step, err)
		}
	}
	_, own := router.Tell(sharing.GivenUp)
	if router.Told(nil); len(own) != 2 {
		return fmt.Errorf("tells of %d searchers", len(own))
	}
	return nil
}
