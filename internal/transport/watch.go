package transport

import (
	"context"
	"errors"
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
	Fresh     bool          // the known list may be of another discovery, whose versions say nothing: all is asked for first
	Limits    charter.Limits
	Log       *slog.Logger
	Listed    func(protocol.List)
	Alive     func() // nil, or called with each sign of life

	dial    func(ctx context.Context, network, address string) (net.Conn, error) // for tests
	fails   int                                                                  // watches in a row that brought nothing
	slow    int                                                                  // watches in a row that ended in a message
	alive   time.Time                                                            // when discovery last gave a sign of life
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
		w.Discovery, w.to, w.lost, w.fails, w.slow, w.alive = w.to, "", true, 0, 0, time.Now()
	}
	ctx, w.cut = context.WithCancel(ctx)
	return ctx, w.cut
}

// Why we end a watch.
var (
	errSilent = errors.New("silent")
	errSlow   = errors.New("a message does not come whole")
)

// Run holds a watch until the context ends, never more than one. One that has fallen silent is broken and stays so, even when
// discovery is back: the next one takes its place at once. So does one after a watch that discovery has ended, since what
// the agent has counts as told; only those that bring nothing wait for longer and longer, with jitter.
func (w *Watch) Run(ctx context.Context) {
	if w.dial == nil {
		w.dial = (&net.Dialer{Timeout: w.Limits.Read, KeepAlive: -1}).DialContext
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, Proxy: nil, DialContext: w.dial}}
	w.version, w.members, w.lost, w.alive = w.Known.Version, map[string]protocol.Member{}, w.Fresh, time.Now()
	w.keep(w.Known)
	for ctx.Err() == nil {
		began := time.Now()
		turn, cut := w.turn(ctx)
		err := w.follow(turn, client)
		if turn.Err() != nil {
			cut()
			continue
		}
		wait := min(w.Limits.Beat/16<<min(w.fails, 10), w.Limits.WatchLast)
		wait = wait/2 + rand.N(wait)
		switch {
		case err == errSilent:
			w.lost = w.lost || w.fails > 0 // a watch may wait for a change with its first word, the whole list does not
			wait = 0                       // it has taken its time
		case err == errSlow:
			w.slow++
			wait = 0
		case w.fails == 0 && time.Since(began) > wait:
			wait = 0
		}
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

// heard notes a sign of life.
func (w *Watch) heard() {
	if w.fails > 0 {
		w.Log.Info("watch on the list is back", "version", w.version)
	}
	if w.fails, w.alive = 0, time.Now(); w.Alive != nil {
		w.Alive()
	}
}

// follow holds one watch for as long as it lasts. Bytes of a message are no sign of life, only a whole one is: it has a time
// to come in, which is longer after each that has not.
func (w *Watch) follow(ctx context.Context, client *http.Client) (err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silent := time.AfterFunc(w.Limits.Asked(time.Since(w.alive)), func() { cancel(errSilent) })
	defer silent.Stop()
	var late *time.Timer
	defer func() {
		if late != nil {
			late.Stop()
		}
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
	}()
	heard := func(begun bool) {
		if begun {
			silent.Stop()
			late = time.AfterFunc(w.Limits.Read<<min(w.slow, 3), func() { cancel(errSlow) })
			return
		}
		if late != nil {
			late.Stop()
			late = nil
		}
		silent.Reset(w.Limits.Silence())
		w.heard()
	}
	read := func(path string, one bool) error {
		body, err := w.get(ctx, client, path)
		if err != nil {
			return err
		}
		defer body.Close()
		silent.Reset(w.Limits.Silence())
		news := protocol.NewNews(body, w.Limits.Line)
		news.Heard = heard
		for {
			list, err := news.Next()
			if err != nil {
				w.lost = w.lost || ctx.Err() == nil && err != io.EOF // what it had to tell is not known
				return err
			}
			if ctx.Err() != nil {
				return ctx.Err() // moved: the address before has nothing more to say
			}
			list.Whole = list.Whole || one
			if err := w.take(list); err != nil || one {
				return err
			}
		}
	}
	if w.lost {
		if err := read(protocol.PathList, true); err != nil {
			return err
		}
	}
	return read(protocol.PathWatch(w.version), false)
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
