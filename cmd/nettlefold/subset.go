package main

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"nettlefold/internal/protocol"
	"nettlefold/internal/routing"
	"nettlefold/internal/settings"
	"nettlefold/internal/subset"
	"nettlefold/mixer"
)

// chosen has the module told of a subset of the searchers. Nil, it does nothing: where no subset is set.
type chosen struct {
	router *routing.Router
	mu     sync.Mutex // taken after that of the router's lists, and never while another is
	c      *subset.Chooser
}

const (
	subsetHold  = 30 * time.Second // one that is needed no more is kept so long: longer than most suspicions and drains last
	subsetEvery = time.Second      // between two steps
	subsetAfter = time.Second      // after the longest deadline, until nothing can be out: outcomes are told by then
)

// newSubset makes what chooses, and the charter of a module that hears of the chosen alone.
func newSubset(c protocol.Config, s *settings.Subset) (*chosen, mixer.Config) {
	if s == nil {
		return nil, c.Mixer
	}
	o := subset.Options{Name: c.Name, Zone: c.Mixer.Zone, OwnFirst: c.Mixer.CrossPrice > 0, Cells: c.Mixer.Cells, Least: s.Least, Most: s.Most,
		Mixers: c.Mixer.Mixers, Users: s.Users, Meetings: float64(s.Meetings), Memory: mixer.PaceHalfLife,
		Linger: int64(c.Limits.MaxDeadline + subsetAfter), Hold: int64(subsetHold), ColdFor: c.Mixer.ColdFor}
	holders := make([]int, max(1, c.Mixer.Cells))
	for _, m := range c.KnownMembers.Members {
		if m.Status != mixer.Dead && m.Cell >= 0 && m.Cell < len(holders) {
			holders[m.Cell]++
		}
	}
	smallest, largest := holders[0], 0
	for _, n := range holders {
		smallest, largest = min(smallest, n), max(largest, n)
	}
	b, charter := subset.Bound(o, smallest, largest), c.Mixer
	o.ColdShare, charter.Users, charter.UsersMean = b.ColdShare, b.Users, b.UsersMean
	return &chosen{c: subset.New(o)}, charter
}

// choose has the router's news pass here.
func (s *chosen) choose(router *routing.Router, terms mixer.Config, log *slog.Logger) {
	if s != nil {
		s.router, router.Filter = router, s
		log.Info("a subset of the searchers is used", "mixers", terms.Mixers, "users_most", terms.Users, "users_mean_least", terms.UsersMean)
	}
}

// Changed is of routing.Filter.
func (s *chosen) Changed(now int64, rows []mixer.Entry) []mixer.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.c.Changed(now, rows)
}

// step has what the module knows of the searchers change the choice.
func (s *chosen) step(now int64) []mixer.Entry {
	s.mu.Lock()
	var names []string
	settled := s.c.Settled()
	if !settled {
		names = s.c.Used()
	}
	s.mu.Unlock()
	if settled {
		return nil
	}
	all := s.router.Use(names)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.c.Step(now, all)
}

// state is how the choice stands, for the admin listener.
func (s *chosen) state() subset.State {
	now := s.router.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.c.State(now)
}

// run steps until the context ends.
func (s *chosen) run(ctx context.Context, wg *sync.WaitGroup) {
	if s == nil {
		return
	}
	wg.Go(func() {
		t := time.NewTicker(subsetEvery)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				s.router.Refilter(s.step)
			}
		}
	})
}
