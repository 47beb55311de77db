package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"nettlefold/internal/admin"
	"nettlefold/internal/learnt"
	"nettlefold/internal/listen"
	"nettlefold/internal/protocol"
	"nettlefold/internal/routing"
	"nettlefold/internal/settings"
	"nettlefold/internal/store"
	"nettlefold/internal/transport"
	"nettlefold/mixer"
)

// configured reads the configuration.
func configured(path string) (protocol.Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return protocol.Config{}, fmt.Errorf("LB_CONFIG: %w", err)
	}
	c, err := protocol.ReadConfig(raw)
	if err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// reload reads the configuration anew. Discovery is followed to where it is now, also where that is the same
// address; all else is fixed at start, and what of it has changed is named.
func reload(c protocol.Config, path string, watch *transport.Watch, log *slog.Logger) {
	anew, err := configured(path)
	if err != nil {
		log.Error("configuration is kept as it was", "error", err)
		return
	}
	if names := c.ChangedKeys(anew); len(names) > 0 {
		log.Warn("configuration has changes that need a restart", "fields", names)
	}
	watch.Move(anew.Discovery)
	log.Info("configuration is read anew", "discovery", anew.Discovery)
}

// paths are where the platform's configuration and our own settings are, the latter "" where there are none.
type paths struct{ config, settings string }

// keeper makes what shares with other mixers, nil where no store is set.
func keeper(c protocol.Config, s *settings.Store, router store.Router, log *slog.Logger) (*store.Keeper, *store.Client, error) {
	if s == nil {
		return nil, nil, nil
	}
	o := store.Options{Address: s.Address, Site: s.Site, Mixer: c.Name, Timeout: s.Timeout, User: s.User, Protocol: s.Protocol}
	if s.PasswordFile != "" {
		o.Password = func() (string, error) { return store.Secret(s.PasswordFile) }
		if _, err := o.Password(); err != nil {
			return nil, nil, fmt.Errorf("store/login: password-file: %w", err)
		}
	}
	if t := s.TLS; t != nil {
		server := t.Server
		if server == "" {
			server, _, _ = net.SplitHostPort(s.Address)
		}
		var err error
		if o.TLS, err = store.Secured(t.Authorities, t.Certificate, t.Key, server); err != nil {
			return nil, nil, fmt.Errorf("store/tls: %w", err)
		}
	}
	client := store.New(o)
	k := store.NewKeeper(router, client, c.Name, c.Mixer.Zone, c.Seed, log)
	k.Switch(s.Enabled)
	return k, client, nil
}

// resettle reads our own settings anew. Whether the store is used is followed at once; all else takes a restart.
func resettle(own settings.Settings, path string, k *store.Keeper, log *slog.Logger) {
	if path == "" {
		return
	}
	anew, err := settings.Load(path)
	if err != nil {
		log.Error("settings are kept as they were", "error", err)
		return
	}
	if names := own.Differs(anew); len(names) > 0 {
		log.Warn("settings have changes that need a restart", "elements", names)
	}
	if k != nil {
		k.Switch(anew.Store != nil && anew.Store.Enabled)
	}
}

// resume takes over what the process before has learnt. A record that is not sound, or not of now and here, is refused whole,
// and the mixer starts as without one.
func resume(path string, c protocol.Config, router *routing.Router, log *slog.Logger) {
	if path == "" {
		return
	}
	at, kept, err := learnt.Read(path, time.Now(), learnt.LayoutOf(c.Mixer))
	if err != nil {
		log.Warn("learnt figures are refused, the start is cold", "file", path, "reason", err)
		return
	}
	met := router.Resume(at, kept)
	log.Info("learnt figures are taken over", "processes", len(kept.Process), "met", met, "age", time.Since(at).Round(time.Millisecond))
}

// keep writes what this process has learnt for the one after it.
func keep(path string, c protocol.Config, router *routing.Router, log *slog.Logger) {
	if path == "" {
		return
	}
	at, kept := router.Keep()
	if err := learnt.Write(path, at, learnt.LayoutOf(c.Mixer), kept); err != nil {
		log.Error("learnt figures are not kept", "error", err)
		return
	}
	log.Info("learnt figures are kept", "file", path, "processes", len(kept.Process))
}

// follow runs a watch and gives what is closed once its first news have been handed on.
func follow(ctx context.Context, wg *sync.WaitGroup, watch *transport.Watch) <-chan struct{} {
	heard, first, listed := make(chan struct{}), sync.Once{}, watch.Listed
	watch.Listed = func(l protocol.MemberList) {
		listed(l)
		first.Do(func() { close(heard) })
	}
	wg.Go(func() { watch.Run(ctx) })
	return heard
}

// answers waits for what is asked, for so long or until the context ends, and tells whether it was not in vain.
func answers(ctx context.Context, asked <-chan struct{}, most time.Duration) bool {
	select {
	case <-asked:
	case <-time.After(most):
		return false
	case <-ctx.Done():
	}
	return true
}

// awaitListener listens at an address once that is free.
func awaitListener(ctx context.Context, addr string, log *slog.Logger) (net.Listener, error) {
	return listen.Await(ctx, listen.TCP(addr), func(err error) {
		log.Warn("no connections are accepted, will retry", "address", addr, "error", err)
	})
}

// run serves until the context ends and what was taken has been answered.
func run(ctx context.Context, hup <-chan os.Signal, at paths, own settings.Settings, log *slog.Logger) error {
	start, path := time.Now(), at.config
	c, err := configured(path)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Limits.CPUCores))))
	debug.SetMemoryLimit(c.Limits.MemoryBytes / 4 * 3)
	part, terms := newSubset(c, own.Subset)
	router, err := routing.New(terms, c.TariffRows, c.Limits.MaxOpenRequests, c.Seed, log)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	listener, err := awaitListener(ctx, c.Listen, log)
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return err
	}
	if most := own.Connections.Open; most > c.Limits.MaxBackendConns() {
		log.Warn("connections: there are descriptors for fewer", "open", most, "descriptors", c.Limits.MaxBackendConns())
	}
	searchers := transport.NewSearchersWithin(own.Connections, c.Limits, log)
	defer searchers.Close()
	server := &transport.Server{Router: router, Searchers: searchers, Tariffs: c.TariffRows, Customers: c.TenantRows, Limits: c.Limits, Log: log}
	sites, err := newSites(c, own.Fleet, log)
	if err != nil {
		listener.Close()
		return fmt.Errorf("%s: %w", at.settings, err)
	}
	sites.see(router)
	part.choose(router, terms, log)
	listed := func(l protocol.MemberList) {
		end := searchers.Listed(l)
		sites.listed(l)
		router.Listed(l.Entries(), l.Snapshot)
		end()
		for _, m := range l.Members {
			if m.Status == mixer.Live {
				server.Ready()
			}
		}
	}
	for _, s := range c.KnownMembers.Skipped {
		log.Warn("known list: a searcher is left out", "searcher", s.Searcher, "fault", s.Reason)
	}
	c.KnownMembers.Snapshot = true
	listed(c.KnownMembers)
	taken := newVersions(c, router, sites)
	session := controlled(c, own.Control, taken, log)
	byStore, byRelays := ways(own, router)
	words := hearing(own.Control, byRelays, session)
	shares, client, err := keeper(c, own.Store, byStore, log)
	if err != nil {
		listener.Close()
		return fmt.Errorf("%s: %w", at.settings, err)
	}
	fleet, err := gather(c, own.Fleet, sites.exchange(), log)
	if err == nil {
		err = sites.join(fleet)
	}
	if err != nil {
		listener.Close()
		return fmt.Errorf("%s: %w", at.settings, err)
	}
	work, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	watch := &transport.Watch{Discovery: c.Discovery, Known: c.KnownMembers, Fresh: true, Limits: c.Limits, Log: log, Listed: listed,
		Alive: sites.alive()}
	asked := follow(work, &wg, watch)
	wg.Go(func() { router.Run(work) })
	part.run(work, &wg)
	if shares != nil {
		wg.Go(func() {
			shares.Run(work)
			client.Close() // not before: a round under way would take it for a store that is away
		})
	}
	if fleet != nil {
		wg.Go(func() { fleet.Run(work) }) // its goodbye comes when all that was taken is answered
		sites.run(work, &wg)
	}
	if own.Admin != "" {
		l, err := awaitListener(ctx, own.Admin, log)
		if ctx.Err() != nil {
			listener.Close()
			return nil
		}
		if err != nil {
			listener.Close()
			return fmt.Errorf("%s: listeners/admin: %w", at.settings, err)
		}
		answers := &admin.Server{Router: router, Settings: func() any { return explained(taken.config(), own) },
			Connections: searchers.Connections}
		if shares != nil {
			answers.Sharing = shares
		}
		if fleet != nil {
			answers.Fleet = &admin.Fleet{Roster: fleet, Tables: sites.tables()}
		}
		if part != nil {
			answers.Subset = part.state
		}
		if session != nil {
			answers.Control = func() any { return standing(session, words) }
		}
		wg.Go(func() {
			if err := answers.Serve(work, l); err != nil {
				log.Error("admin listener", "error", err)
			}
		})
	}
	// What the agent has counts as told from this process's first moment, and the known list may be old. Who comes meanwhile
	// waits in the listener's queue. A silent agent is not waited for for long: the known list is better than none.
	if !answers(ctx, asked, c.Limits.FirstListTimeout) {
		log.Warn("discovery does not answer, the known list is served on", "version", c.KnownMembers.Version)
	}
	resume(own.Learnt, c, router, log)
	server.Open(listener)
	served := make(chan error, 1)
	wg.Go(func() { served <- server.Serve() })
	if words != nil {
		wg.Go(func() { words.Run(work) })
	}
	if session != nil {
		wg.Go(func() {
			if err := session.Run(work); err != nil {
				log.Error("control", "error", err)
			}
		})
	}
	log.Info("serving", "name", c.Name, "listen", c.Listen, "known", len(c.KnownMembers.Members), "version", c.KnownMembers.Version)
	late := time.After(time.Until(start.Add(c.Limits.ReadyTimeout)))
	for ctx.Err() == nil {
		select {
		case err := <-served:
			return err
		case <-late: // discovery may be away for long: what comes is answered as it can be
			if server.Ready() {
				log.Warn("ready without a live searcher")
			}
		case <-hup:
			reload(c, path, watch, log)
			resettle(own, at.settings, shares, log)
		case <-ctx.Done():
		}
	}
	began := time.Now()
	log.Info("leaving")
	if err := server.Leave(); err != nil {
		log.Warn("left with lookups unanswered", "error", err)
	}
	keep(own.Learnt, c, router, log)
	log.Info("left", "after", time.Since(began).Round(time.Millisecond))
	return nil
}
