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
	"sync"
	"time"

	"nettlefold/internal/charter"
	"nettlefold/internal/protocol"
	"nettlefold/mixer"
)

// Watch follows the list and hands on its news in order.
type Watch struct {
	Discovery string        // address to begin with
	Known     protocol.List // the list to begin with
	Limits    charter.Limits
	Log       *slog.Logger
	Listed    func(protocol.List)

	fails   int // watches in a row that brought nothing
	version int64
	members map[string]protocol.Member // as they last were
	lost    bool                       // what the version counts is not known: the whole list comes first

	mu  sync.Mutex
	to  string             // address that was moved to last, "" if none was
	cut context.CancelFunc // ends the watch at hand and the wait after it
}

// Move has the watch go on at another address, at once, whatever state it is in. The list is kept until that
// address has told the whole of its own, whose versions need not be those heard so far.
func (w *Watch) Move(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.to = address
	if w.cut != nil {
		w.cut()
	}
}

// turn begins the next watch: its context ends with a move, one that has been made meanwhile is done first.
func (w *Watch) turn(ctx context.Context) (context.Context, context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.to != "" {
		w.Log.Info("watch on the list moves", "from", w.Discovery, "to", w.to)
		w.Discovery, w.to, w.lost, w.fails = w.to, "", true, 0
	}
	ctx, w.cut = context.WithCancel(ctx)
	return ctx, w.cut
}

// Run holds a watch until the context ends, and makes it anew after growing, jittered waits.
func (w *Watch) Run(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, Proxy: nil,
		DialContext: (&net.Dialer{Timeout: w.Limits.Read, KeepAlive: -1}).DialContext}}
	w.version, w.members = w.Known.Version, map[string]protocol.Member{}
	w.keep(w.Known)
	for ctx.Err() == nil {
		began := time.Now()
		turn, cut := w.turn(ctx)
		err := w.follow(turn, client)
		if turn.Err() != nil {
			continue
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
		case <-turn.Done():
		case <-time.After(wait):
		}
		cut()
	}
}

// follow holds one watch for as long as it lasts.
func (w *Watch) follow(ctx context.Context, client *http.Client) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silent := time.AfterFunc(w.Limits.Silence(), cancel) // a dead agent says nothing
	defer silent.Stop()
	if w.lost {
		body, err := w.get(ctx, client, protocol.PathList)
		if err != nil {
			return err
		}
		raw, err := io.ReadAll(io.LimitReader(body, int64(w.Limits.Line)))
		body.Close()
		if err != nil {
			return err
		}
		list, err := protocol.ReadList(raw)
		if err != nil {
			return err
		}
		list.Whole = true
		if err := w.take(list); err != nil {
			return err
		}
	}
	body, err := w.get(ctx, client, protocol.PathWatch(w.version))
	if err != nil {
		return err
	}
	defer body.Close()
	in := bufio.NewScanner(body)
	in.Buffer(nil, w.Limits.Line)
	for in.Scan() {
		silent.Reset(w.Limits.Silence())
		if len(in.Bytes()) > 0 {
			list, err := protocol.ReadList(in.Bytes())
			if err != nil {
				w.lost = true // what it had to tell is not known
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

// get asks discovery for something.
func (w *Watch) get(ctx context.Context, client *http.Client, path string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.Discovery+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("status %s", resp.Status)
	}
	return resp.Body, nil
}

// take hands on one message. Changes that go back mean that discovery has lost its count: all is asked for anew.
func (w *Watch) take(list protocol.List) error {
	if !list.Whole && list.Version < w.version {
		w.lost = true
		return fmt.Errorf("changes of version %d after %d", list.Version, w.version)
	}
	for _, s := range list.Skipped {
		w.Log.Warn("list: a searcher is kept as it was", "version", list.Version, "searcher", s.Searcher, "fault", s.Fault)
		if m, ok := w.members[s.Searcher]; ok {
			list.Members = append(list.Members, m)
		}
	}
	w.version, w.lost = list.Version, w.lost && !list.Whole
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
