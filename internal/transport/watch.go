package transport

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"nettlefold/internal/charter"
	"nettlefold/internal/protocol"
	"nettlefold/mixer"
)

// Watch follows the list and hands on its news in order.
type Watch struct {
	Discovery string        // address
	Known     protocol.List // the list to begin with
	Limits    charter.Limits
	Log       *slog.Logger
	Listed    func(protocol.List)

	fails   int // watches in a row that brought nothing
	version int64
	members map[string]protocol.Member // as they last were
}

// Run holds a watch until the context ends, and makes it anew after growing, jittered waits.
func (w *Watch) Run(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, Proxy: nil,
		DialContext: (&net.Dialer{Timeout: w.Limits.Read, KeepAlive: -1}).DialContext}}
	w.version, w.members = w.Known.Version, map[string]protocol.Member{}
	w.keep(w.Known)
	for ctx.Err() == nil {
		began := time.Now()
		err := w.follow(ctx, client)
		if ctx.Err() != nil {
			return
		}
		if time.Since(began) >= w.Limits.Silence() {
			w.fails = 0 // the wait was long enough
		}
		wait := min(w.Limits.Beat/16<<min(w.fails, 10), w.Limits.WatchLast)
		wait = wait/2 + rand.N(wait)
		level := slog.LevelDebug
		if w.fails == 0 {
			level = slog.LevelWarn
		}
		w.fails++
		w.Log.Log(ctx, level, "watch on the list ended", "version", w.version, "error", err, "again in", wait)
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// follow holds one watch for as long as it lasts.
func (w *Watch) follow(ctx context.Context, client *http.Client) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silent := time.AfterFunc(w.Limits.Silence(), cancel) // a dead agent says nothing
	defer silent.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.Discovery+protocol.PathWatch(w.version), nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", resp.Status)
	}
	in := bufio.NewScanner(resp.Body)
	in.Buffer(nil, w.Limits.Line)
	for in.Scan() {
		silent.Reset(w.Limits.Silence())
		if len(in.Bytes()) > 0 {
			list, err := protocol.ReadList(in.Bytes())
			if err != nil {
				return err
			}
			if err := w.take(list); err != nil {
				return err
			}
		}
		if w.fails > 0 {
			w.Log.Info("watch on the list is back", "version", w.version)
		}
		w.fails = 0
	}
	if err := in.Err(); err != nil {
		return err
	}
	return io.EOF
}

// take hands on one message. Changes that go back mean that discovery has lost its count: all is asked for anew.
func (w *Watch) take(list protocol.List) error {
	if !list.Whole && list.Version < w.version {
		last := w.version
		w.version = 0
		return fmt.Errorf("changes of version %d after %d", list.Version, last)
	}
	for _, s := range list.Skipped {
		w.Log.Warn("list: a searcher is kept as it was", "version", list.Version, "searcher", s.Searcher, "fault", s.Fault)
		if m, ok := w.members[s.Searcher]; ok {
			list.Members = append(list.Members, m)
		}
	}
	w.version = list.Version
	w.keep(list)
	w.Listed(list)
	return nil
}

// keep remembers the list for members that cannot be read later.
func (w *Watch) keep(list protocol.List) {
	if list.Whole {
		clear(w.members)
	}
	for _, m := range list.Members {
		w.members[m.Searcher] = m
		if m.Status == mixer.Dead {
			delete(w.members, m.Searcher)
		}
	}
}
