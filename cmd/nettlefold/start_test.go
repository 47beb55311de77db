package main

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"nettlefold/example/toy"
)

// TestStartAsksFirst starts on a list that is old, though of the same version as the agent's, which counts otherwise. Nothing
// is served before the agent, which takes a while, has told what it has; one that is silent is not waited for for long, and
// the known list is served on.
func TestStartAsksFirst(t *testing.T) {
	for name, silent := range map[string]bool{"an agent that answers": false, "an agent that is silent": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
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
			if told.Load() == silent {
				t.Errorf("healthy, the agent has told: %v", told.Load())
			}
			if n := w.satisfied("a", 12); n != 12 || silent != (calls(w.searchers[0]) > 0) {
				t.Errorf("%d of 12 lookups were answered whole, the searcher that drains had %d calls", n, calls(w.searchers[0]))
			}
			if strings.Contains(w.log.String(), "does not answer") != silent {
				t.Error("the log does not say it:\n" + w.log.String())
			}
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
