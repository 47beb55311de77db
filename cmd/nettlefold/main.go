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
	if err := run(ctx, os.Getenv("LB_CONFIG"), log); err != nil {
		fmt.Fprintln(os.Stderr, "nettlefold:", err)
		os.Exit(1)
	}
}

// run serves until the context ends and what was taken has been answered.
func run(ctx context.Context, path string, log *slog.Logger) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("LB_CONFIG: %w", err)
	}
	c, err := protocol.ReadConfig(raw)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
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
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	began := time.Now()
	log.Info("leaving")
	if err := server.Leave(); err != nil {
		log.Warn("left with lookups unanswered", "error", err)
	}
	log.Info("left", "after", time.Since(began).Round(time.Millisecond))
	return nil
}
