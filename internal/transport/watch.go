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
	Discovery string              // address to begin with
	Known     protocol.MemberList // the list to begin with
	Fresh     bool                // the known list may be of another discovery, whose versions say nothing: all is asked for first
	Limits    charter.Limits
	Log       *slog.Logger
	Listed    func(protocol.MemberList) // called under the watch's lock: it never calls Move
	Alive     func()                    // nil, or called with each sign of life

	dial    func(ctx context.Context, network, address string) (net.Conn, error) // for tests
	fails   int                                                                  // watches in a row that brought nothing
	alive   time.Time                                                            // when discovery last gave a sign of life
	version int64
	members map[string]protocol.Member // as they last were
	lost    bool                       // what the version counts is not known: the whole list comes first

	mu  sync.Mutex         // also on fails, alive, version, members and lost while a watch is followed
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
		w.Discovery, w.to, w.lost, w.fails, w.alive = w.to, "", true, 0, time.Now()
	}
	ctx, w.cut = context.WithCancel(ctx)
	return ctx, w.cut
}

// Why we end a watch.
var (
	errSilent    = errors.New("silent")
	errSlow      = errors.New("a message does not come whole")
	errOvertaken = errors.New("a message has been overtaken by a whole list")
)

// Run holds a watch until the context ends, never more than one. One that has fallen silent is broken and stays so, even when
// discovery is back: the next one takes its place at once. So does one after a watch that discovery has ended, since what
// the agent has counts as told; only those that bring nothing wait for longer and longer, with jitter.
func (w *Watch) Run(ctx context.Context) {
	if w.dial == nil {
		w.dial = (&net.Dialer{Timeout: w.Limits.ReadTimeout, KeepAlive: -1}).DialContext
	}
	w.version, w.members, w.lost, w.alive = w.Known.Version, map[string]protocol.Member{}, w.Fresh, time.Now()
	w.keep(w.Known)
	for ctx.Err() == nil {
		began := time.Now()
		turn, cut := w.turn(ctx)
		err := w.follow(turn)
		if turn.Err() != nil {
			cut()
			continue
		}
		wait := w.pause(w.fails)
		switch {
		case err == errSilent, err == errSlow:
			w.lost = true // a watch may wait for a change with its first word, the whole list does not
			wait = 0      // it has taken its time
		case err == errOvertaken:
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
	w.mu.Lock()
	if w.fails > 0 {
		w.Log.Info("watch on the list is back", "version", w.version)
	}
	w.fails, w.alive = 0, time.Now()
	w.mu.Unlock()
	if w.Alive != nil {
		w.Alive()
	}
}

// follow holds one watch for as long as it lasts, after the whole list where what the version counts is not known.
func (w *Watch) follow(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c := &call{w: w, late: func(message context.Context, cut context.CancelCauseFunc) { w.beside(message, cut) }}
	lost, first := w.state()
	if lost {
		if err := c.read(ctx, protocol.PathList, first); err != nil {
			return err
		}
		first = w.Limits.MaxWatchSilence() // the list has told all, and a watch may have nothing to say before its first beat
	}
	c.watch = true
	return c.read(ctx, protocol.PathWatch(w.version), first)
}

// beside asks for whole lists while a message drips, until one has come, which overtakes it, or the message has.
func (w *Watch) beside(message context.Context, cut context.CancelCauseFunc) {
	ctx, done := context.WithTimeout(message, 8*w.Limits.ReadTimeout)
	defer done()
	c := &call{w: w, overtakes: func() { cut(errOvertaken) },
		late: func(_ context.Context, cut context.CancelCauseFunc) { cut(errSlow) }}
	for fails := 0; ctx.Err() == nil; fails++ {
		_, first := w.state()
		err := c.read(ctx, protocol.PathList, first)
		if err == nil {
			return
		}
		if err != errSilent && err != errSlow {
			select {
			case <-ctx.Done():
			case <-time.After(w.pause(fails)):
			}
		}
	}
	if message.Err() == nil {
		cut(errSlow)
	}
}

// state tells whether the whole list comes first, and how long a call's first word may take.
func (w *Watch) state() (lost bool, first time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lost, w.Limits.FirstReplyTimeout(time.Since(w.alive))
}

// pause is how long to wait after so many calls in a row that brought nothing.
func (w *Watch) pause(fails int) time.Duration {
	wait := min(w.Limits.HeartbeatInterval/16<<min(fails, 10), w.Limits.MaxWatchBackoff)
	return wait/2 + rand.N(wait)
}

// call is how one request to discovery is read: the whole list, or a watch.
type call struct {
	w         *Watch
	watch     bool
	overtakes func()                                                     // nil, or called under the lock once the list is taken
	late      func(message context.Context, cut context.CancelCauseFunc) // a message does not come whole; it ends with the message
}

// read reads one call. A list has its time for its first byte, whatever empty lines come before; a watch for its header, and
// then some more for its first sign of life. Bytes of a message are no sign of life, only a whole one is.
func (c *call) read(ctx context.Context, path string, first time.Duration) (err error) {
	w, began := c.w, time.Now()
	ctx, cut := context.WithCancelCause(ctx)
	var late sync.WaitGroup
	defer func() {
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		cut(nil)
		late.Wait()
	}()
	silent := time.AfterFunc(first, func() { cut(errSilent) })
	defer silent.Stop()
	body, err := w.get(ctx, path)
	if err != nil {
		return err
	}
	defer body.Close()
	if c.watch {
		silent.Reset(min(w.Limits.MaxWatchSilence(), w.Limits.MaxWatchSilence()+w.Limits.HeartbeatInterval/4-time.Since(began)))
	}
	whole := func() {}
	news := protocol.NewMemberListReader(body, w.Limits.MaxListMessageBytes)
	news.OnActivity = func(begun bool) {
		if whole(); begun {
			silent.Stop()
			message, done := context.WithCancel(ctx)
			whole = done
			late.Go(func() {
				select {
				case <-message.Done():
				case <-time.After(w.Limits.ListMessageTimeout()):
					c.late(message, cut)
				}
			})
		} else if c.watch {
			silent.Reset(w.Limits.MaxWatchSilence())
			w.heard()
		}
	}
	for {
		list, err := news.Next()
		if err != nil {
			w.mu.Lock()
			w.lost = w.lost || ctx.Err() == nil && err != io.EOF // what it had to tell is not known
			w.mu.Unlock()
			return err
		}
		if !c.watch {
			list.Snapshot = true
			w.heard()
		}
		if err := w.take(ctx, list, c.overtakes); err != nil || !c.watch {
			return err
		}
	}
}

// maxListHeaderBytes bounds the head of discovery's response.
const maxListHeaderBytes = 64 << 10

// get asks discovery for something. Its connection is dialled in its own context: the transport's outlives a call that is
// given up, and dials that hang would pile up.
func (w *Watch) get(ctx context.Context, path string) (io.ReadCloser, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, Proxy: nil, MaxResponseHeaderBytes: maxListHeaderBytes,
		DialContext: func(_ context.Context, network, address string) (net.Conn, error) {
			return w.dial(ctx, network, address)
		}}}
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

// take hands on one message, unless its call has ended: nothing more is heard of an address that has been left, nor of a
// message that another has overtaken. Changes that go back mean that discovery has lost its count: all is asked for anew.
func (w *Watch) take(ctx context.Context, list protocol.MemberList, overtakes func()) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if !list.Snapshot && list.Version < w.version {
		w.lost = true
		return fmt.Errorf("changes of version %d after %d", list.Version, w.version)
	}
	for _, s := range list.Skipped {
		w.Log.Warn("list: a searcher is kept as it was", "version", list.Version, "searcher", s.Searcher, "fault", s.Reason)
		if m, ok := w.members[s.Searcher]; ok {
			list.Members = append(list.Members, m)
		}
	}
	w.version, w.lost = list.Version, w.lost && !list.Snapshot
	w.keep(list)
	w.Listed(list)
	if overtakes != nil {
		overtakes()
	}
	return nil
}

// keep remembers the list for members that cannot be read later.
func (w *Watch) keep(list protocol.MemberList) {
	if list.Snapshot {
		clear(w.members)
	}
	for _, m := range list.Members {
		w.members[m.Searcher] = m
		if m.Status == mixer.Dead {
			delete(w.members, m.Searcher)
		}
	}
}
