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
)

// Watch follows the list and hands on its news in order.
type Watch struct {
	Discovery string // address
	Version   int64  // of the list that is known
	Limits    charter.Limits
	Log       *slog.Logger
	Listed    func(protocol.List)
}

// Run holds a watch until the context ends, and makes it anew after growing, jittered waits.
func (w *Watch) Run(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, Proxy: nil,
		DialContext: (&net.Dialer{Timeout: w.Limits.Read, KeepAlive: -1}).DialContext}}
	fails := 0
	for ctx.Err() == nil {
		news, err := w.follow(ctx, client)
		if ctx.Err() != nil {
			return
		}
		if news {
			fails = 0
		}
		wait := min(w.Limits.Beat/16<<min(fails, 10), w.Limits.WatchLast)
		wait = wait/2 + rand.N(wait)
		fails++
		w.Log.Warn("watch on the list ended", "version", w.Version, "error", err, "again in", wait)
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// follow holds one watch for as long as it lasts. It tells whether it brought anything.
func (w *Watch) follow(ctx context.Context, client *http.Client) (news bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// An empty line comes each beat; a watch that is silent for several is dead.
	silent := time.AfterFunc(w.silence(), cancel)
	defer silent.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.Discovery+protocol.PathWatch(w.Version), nil)
	if err != nil {
		return false, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false, fmt.Errorf("status %s", resp.Status)
	}
	in := bufio.NewScanner(resp.Body)
	in.Buffer(nil, w.Limits.Line)
	for in.Scan() {
		silent.Reset(w.silence())
		if len(in.Bytes()) == 0 {
			news = true
			continue
		}
		list, err := protocol.ReadList(in.Bytes())
		if err != nil {
			return news, err
		}
		if err := w.take(list); err != nil {
			return news, err
		}
		news = true
	}
	if err := in.Err(); err != nil {
		return news, err
	}
	return news, io.EOF
}

func (w *Watch) silence() time.Duration { return 3 * w.Limits.Beat }

// take hands on one message. Changes that go back mean that discovery has lost its count: all is asked for anew.
func (w *Watch) take(list protocol.List) error {
	for _, fault := range list.Skipped {
		w.Log.Warn("list: left out", "version", list.Version, "fault", fault)
	}
	if !list.Whole && list.Version < w.Version {
		last := w.Version
		w.Version = 0
		return fmt.Errorf("changes of version %d after %d", list.Version, last)
	}
	w.Version = list.Version
	w.Listed(list)
	return nil
}
