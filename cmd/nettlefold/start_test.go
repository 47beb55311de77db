package main

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"nettlefold/example/toy"
)

// TestStartAsksFirst starts on a list that is old, though of the same version as the agent's, which counts otherwise. Nothing
// is served before the agent, which takes a while, has told what it has; one that is silent is not waited for for long, and
// the known list is served on. How long is TestFirstAnswerIsWaitedFor's: an agent that a busy machine lets answer only after that
// is one that is silent, and is asked by another start.
func TestStartAsksFirst(t *testing.T) {
	for name, silent := range map[string]bool{"an agent that answers": false, "an agent that is silent": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for range 5 {
				if asksFirst(t, silent) == silent {
					return
				}
			}
			t.Error("no start of five has waited for an agent that answers")
		})
	}
}

// asksFirst is one start. It tells whether the agent was taken for silent, with which all else has to agree.
func asksFirst(t *testing.T, silent bool) bool {
	w := prepare(t)
	w.client.Timeout = 5 * time.Second
	var told atomic.Bool
	list := &toy.List{Beat: 100 * time.Millisecond}
	w.listAt = w.serveList(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if silent {
			<-r.Context().Done()
			return
		}
		time.Sleep(100 * time.Millisecond)
		told.Store(true)
		list.ServeHTTP(rw, r)
	}))
	w.configure()
	m := w.whole(1, func(i int, m *toy.Member) {
		if i == 0 {
			m.Status = "DRAINING"
		}
	})
	list.Say(m)
	w.execute()
	t.Cleanup(func() { w.cmd.Process.Kill() })
	w.healthy()
	known, late := told.Load(), strings.Contains(w.log.String(), "does not answer")
	if !late && !known || silent && known {
		t.Errorf("healthy, the agent has told: %v\n%s", known, w.log.String())
	}
	if late && !silent {
		return true
	}
	if n := w.satisfied("a", 12); n != 12 || silent != (calls(w.searchers[0]) > 0) {
		t.Errorf("%d of 12 lookups were answered whole, the searcher that drains had %d calls", n, calls(w.searchers[0]))
	}
	return late
}

// TestFirstAnswerIsWaitedFor has what a start asks for come in time, just in time, too late and never, and the start be ended: on
// the bubble's clock it is waited for just as long as is allowed, and no longer than it takes.
func TestFirstAnswerIsWaitedFor(t *testing.T) {
	const most, never = 500 * time.Millisecond, time.Hour
	for name, c := range map[string]struct {
		answer, end time.Duration
		want        bool
		took        time.Duration
	}{
		"at once": {0, never, true, 0}, "just in time": {most - 1, never, true, most - 1}, "too late": {most + 1, never, false, most},
		"never": {never, never, false, most}, "ended": {never, most - 1, true, most - 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), c.end)
				defer cancel()
				asked, began := make(chan struct{}), time.Now()
				time.AfterFunc(c.answer, func() { close(asked) })
				if got, took := answers(ctx, asked, most), time.Since(began); got != c.want || took != c.took {
					t.Errorf("%v after %v, want %v after %v", got, took, c.want, c.took)
				}
			})
		})
	}
}

// TestStartWithoutAList starts on an empty list: an agent that is silent or away does not keep the process from being ready,
// and a live list makes it ready at once.
func TestStartWithoutAList(t *testing.T) {
	for name, c := range map[string]struct{ from, by time.Duration }{
		"silent": {5 * time.Second, 10 * time.Second}, "refused": {5 * time.Second, 10 * time.Second}, "live": {0, 3 * time.Second}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := prepare(t)
			if name == "silent" {
				w.listAt = w.serveList(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
			}
			w.empty = true
			w.configure()
			if name == "refused" {
				w.listAt.Close()
			}
			began := time.Now()
			w.execute()
			t.Cleanup(func() { w.cmd.Process.Kill() })
			for w.health() != http.StatusOK && time.Since(began) < c.by {
				time.Sleep(5 * time.Millisecond)
			}
			if took := time.Since(began); took < c.from || took > c.by {
				t.Errorf("ready after %v, want %v to %v\n%s", took, c.from, c.by, w.log.String())
			}
			if r, err := w.do(w.request("a", "all", "2000", shards("a", 0))); err != nil || (r.status == http.StatusOK) != (name == "live") {
				t.Errorf("a lookup is answered %d, %v", r.status, err)
			}
		})
	}
}
