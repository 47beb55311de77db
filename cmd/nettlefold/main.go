// Command nettlefold is one mixer on real sockets.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"nettlefold/internal/protocol"
	"nettlefold/internal/routing"
	"nettlefold/internal/transport"
	"nettlefold/mixer"
)

func main() {
	hup := make(chan os.Signal, 1) // before all else: unheard, it ends the program
	signal.Notify(hup, syscall.SIGHUP)
	level := new(slog.LevelVar)
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	if text := os.Getenv("NETTLEFOLD_LOG"); text != "" {
		if err := level.UnmarshalText([]byte(text)); err != nil {
			fmt.Fprintln(os.Stderr, "nettlefold: NETTLEFOLD_LOG:", err)
			os.Exit(2)
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, hup, os.Getenv("LB_CONFIG"), log); err != nil {
		fmt.Fprintln(os.Stderr, "nettlefold:", err)
		os.Exit(1)
	}
}

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
	if names := c.Differs(anew); len(names) > 0 {
		log.Warn("configuration has changes that need a restart", "fields", names)
	}
	watch.Move(anew.Discovery)
	log.Info("configuration is read anew", "discovery", anew.Discovery)
}

// run serves until the context ends and what was taken has been answered.
func run(ctx context.Context, hup <-chan os.Signal, path string, log *slog.Logger) error {
	c, err := configured(path)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Limits.Cores))))
	debug.SetMemoryLimit(c.Limits.Memory / 4 * 3)
	router, err := routing.New(c.Charter, c.Rows, c.Limits.Open, c.Seed, log)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	searchers := transport.NewSearchers(c.Limits, log)
	defer searchers.Close()
	server := &transport.Server{Router: router, Searchers: searchers, Tariffs: c.Rows, Limits: c.Limits, Log: log}
	listed := func(l protocol.List) {
		searchers.Listed(l)
		router.Listed(l.Entries(), l.Whole)
		for _, m := range l.Members {
			if m.Status == mixer.Live {
				server.Ready()
			}
		}
	}
	for _, s := range c.Known.Skipped {
		log.Warn("known list: a searcher is left out", "searcher", s.Searcher, "fault", s.Fault)
	}
	c.Known.Whole = true
	listed(c.Known)

	work, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	watch := &transport.Watch{Discovery: c.Discovery, Known: c.Known, Limits: c.Limits, Log: log, Listed: listed}
	wg.Go(func() { watch.Run(work) })
	wg.Go(func() { router.Run(work) })
	server.Open()
	served := make(chan error, 1)
	wg.Go(func() { served <- server.Serve(listener) })
	log.Info("serving", "name", c.Name, "listen", c.Listen, "searchers", len(c.Known.Members), "version", c.Known.Version)
	for ctx.Err() == nil {
		select {
		case err := <-served:
			return err
		case <-hup:
			reload(c, path, watch, log)
		case <-ctx.Done():
		}
	}
	began := time.Now()
	log.Info("leaving")
	if err := server.Leave(); err != nil {
		log.Warn("left with lookups unanswered", "error", err)
	}
	log.Info("left", "after", time.Since(began).Round(time.Millisecond))
	return nil
}
