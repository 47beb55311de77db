package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"nettlefold/example/toy"
)

func TestClientThatLeavesFreesItsPlace(t *testing.T) {
	w := prepare(t)
	w.of("PolicyLimits")["MaxOpen"] = 5
	hold := make(chan toy.Part, 100)
	for _, s := range w.searchers {
		s.Handle = func(p toy.Part) { hold <- p }
	}
	w.start()
	nc := w.dial()
	w.request("a", "all", "2000", shards("text of a", 0, 1, 2, 3)).Write(nc)
	var held []toy.Part
	for range 4 {
		held = append(held, <-hold)
	}
	if r := w.ask("a", "all", 0); r.status != http.StatusConflict {
		t.Errorf("an id that is open is answered %d, want 409", r.status)
	}
	if r := w.ask("b", "all", 0, 1); r.status != http.StatusServiceUnavailable {
		t.Errorf("a lookup beyond the limit is answered %d, want 503", r.status)
	}
	nc.Close()
	got := make(chan reply, 1)
	w.until("the place of the client that left is free", func() bool {
		go func() { got <- w.ask("a", "all", 0, 1, 2, 3) }()
		select {
		case p := <-hold:
			held = append(held, p)
			return true
		case r := <-got:
			return r.status == http.StatusOK
		}
	})
	for _, p := range held[:4] { // answers to the lookup that was left do not serve the one with its id
		p.Answer("ok", "late")
	}
	for range 3 {
		held = append(held, <-hold)
	}
	for _, p := range held[4:] {
		p.Answer("ok", p.Value())
	}
	if r := <-got; r.status != http.StatusOK || len(r.Hits) != 4 {
		t.Errorf("the lookup after it: %+v", r)
	}
}

// TestFullHouse has more clients connect than there are descriptors for, some with half a request. The newest must be
// served, and the connection of one that has been served is kept before theirs. All of theirs are closed in time.
func TestFullHouse(t *testing.T) {
	w := prepare(t)
	w.limits["sockets"] = 64
	w.start()
	w.client = &http.Client{Transport: &http.Transport{}, Timeout: 2 * time.Second}
	w.satisfied("first", 2)
	usual := 0
	w.client.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		usual++
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	}
	var rude []net.Conn
	for i := range 100 {
		nc := w.dial()
		io.WriteString(nc, []string{"", "POST /api HT", "POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{"}[i%3])
		rude = append(rude, nc)
		time.Sleep(20 * time.Millisecond)
	}
	last := time.Now() // that one of them came
	if n := w.satisfied("a", 5); n != 5 || usual != 0 {
		t.Errorf("%d of 5 lookups were answered whole, on %d new connections", n, usual)
	}
	if n := files(w.cmd.Process.Pid); n > 64 {
		t.Errorf("%d descriptors are open, want 64 at most", n)
	}
	for _, nc := range rude {
		nc.SetDeadline(last.Add(3 * time.Second))
		if _, err := io.ReadAll(nc); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal("a client that never asks is still connected")
		}
	}
}

// TestStayingClientsMakeRoom has clients ask once each and keep their connections: they are closed before they hold the third
// of the descriptors that the platform allows to clients, the longest idle first, and none unanswered.
func TestStayingClientsMakeRoom(t *testing.T) {
	w := prepare(t)
	w.limits["sockets"] = 240
	w.start()
	before := files(w.cmd.Process.Pid)
	for i := range 100 {
		w.client = &http.Client{Transport: &http.Transport{}}
		defer w.client.CloseIdleConnections()
		if r := w.ask(fmt.Sprint("a", i), "all", 0, 1); !r.Complete {
			t.Fatalf("lookup %d: %+v", i, r)
		}
	}
	if n := files(w.cmd.Process.Pid) - before - w.conns(); n > 62 {
		t.Errorf("%d connections of clients are open, want 60 of 240 descriptors", n)
	}
}

// TestIdleClientsWhileDiscoveryIsDown has idle clients fill the descriptors while discovery is silent, its watch reset: health
// answers, who asks is served, and when discovery is back its news are heard. So it is where the system lets the process have
// fewer descriptors than the platform says.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	for _, files := range []int{64, 48} {
		t.Run(fmt.Sprint(files, " of 64"), func(t *testing.T) {
			w := prepare(t)
			w.limits["sockets"], w.files = 64, files
			var down atomic.Bool
			w.listAt = w.serveList(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				if down.Load() {
					<-r.Context().Done()
					return
				}
				w.list.ServeHTTP(rw, r)
			}))
			w.start()
			w.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}
			down.Store(true)
			w.listAt.CloseClientConnections()
			for i := range 200 {
				nc := w.dial()
				if i%2 == 0 {
					fmt.Fprintf(nc, "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
				}
			}
			if code := w.health(); code != http.StatusOK {
				t.Errorf("health is %d", code)
			}
			if n := w.satisfied("a", 5); n != 5 {
				t.Errorf("%d of 5 lookups were answered whole", n)
			}
			down.Store(false)
			w.list.Say(changed(2, w.searchers[0].Entry("DRAINING")))
			w.unused("the draining searcher", w.searchers[0])
		})
	}
}
