package main

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"nettlefold/internal/admin"
	"nettlefold/internal/fleet/desk"
	"nettlefold/internal/fleet/roster"
	"nettlefold/internal/fleet/siteloss"
	"nettlefold/internal/fleet/sites"
	"nettlefold/internal/protocol"
	"nettlefold/internal/routing"
	"nettlefold/internal/settings"
	"nettlefold/internal/transport"
)

// siteWatch judges whether sites of the fleet are lost. Nil, it does nothing: where no fleet is set, or one of sites too few
// for a majority.
type siteWatch struct {
	table *sites.Table
	desk  *desk.Desk
}

// leastSites is how many sites there have to be for a majority of them to be left when one is lost.
const leastSites = 3

// newSites makes the judge of sites. A site of our own that is none of the fleet's is told of by gather.
func newSites(c protocol.Config, f *settings.Fleet, log *slog.Logger) (*siteWatch, error) {
	if f == nil || len(f.Sites) < leastSites {
		return nil, nil
	}
	own := ownSite(c, f)
	if f.Has(own) != nil {
		return nil, nil
	}
	began := time.Now()
	clock := func() int64 { return int64(time.Second + time.Since(began)) } // 0 is never
	terms := siteTerms(c)
	table, err := sites.New(clock, terms, own, f.Sites, log)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	table.Ask = func(ctx context.Context, address string) (up, answered bool) {
		return transport.Probe(ctx, address, time.Duration(terms.Expected), c.Limits)
	}
	d, err := desk.New(clock, log, table)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return &siteWatch{table, d}, nil
}

// siteTerms are what the settings say: a mixer pings another each second beat of the roster, and reports as often.
func siteTerms(c protocol.Config) siteloss.Terms {
	t := siteloss.Terms{Every: int64(2 * roster.Beat), Warming: max(c.Mixer.ColdFor, int64(time.Second)),
		Beat: int64(c.Limits.HeartbeatInterval)}
	for _, tariff := range c.Mixer.Tariffs {
		t.Expected = max(t.Expected, tariff.Expected)
	}
	return t
}

// see has the judge see what comes of the router's forwards.
func (s *siteWatch) see(r *routing.Router) {
	if s != nil {
		r.Eyes = s.table.Eyes
	}
}

func (s *siteWatch) listed(l protocol.MemberList) {
	if s != nil {
		s.table.Eyes.Listed(l)
	}
}

// alive is what the watch on the list calls, nil for nothing.
func (s *siteWatch) alive() func() {
	if s == nil {
		return nil
	}
	return s.table.Eyes.Alive
}

// exchange is what rides on the roster.
func (s *siteWatch) exchange() roster.Exchange {
	if s == nil {
		return nil
	}
	return s.desk
}

func (s *siteWatch) join(r *roster.Roster) error {
	if s == nil {
		return nil
	}
	return s.table.Join(r)
}

// run judges until the context ends.
func (s *siteWatch) run(ctx context.Context, wg *sync.WaitGroup) {
	if s != nil {
		wg.Go(func() { s.desk.Run(ctx) })
		wg.Go(func() { s.table.Run(ctx) })
	}
}

// tables are what the admin listener shows.
func (s *siteWatch) tables() []admin.Table {
	if s == nil {
		return nil
	}
	return []admin.Table{{Name: sites.Name, Read: func() any {
		shot, err := s.desk.Snapshot(sites.Name)
		if err != nil {
			return err.Error()
		}
		return shot
	}}}
}

// adopt has the judge follow a version of the settings. How long lately is, and how long a probe may take, are the start's.
func (s *siteWatch) adopt(c protocol.Config) {
	if s != nil {
		s.table.Eyes.Expect(siteTerms(c).Expected)
	}
}
