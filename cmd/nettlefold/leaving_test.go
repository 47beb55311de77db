package main

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"runtime/pprof"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"nettlefold/example/toy"
	"nettlefold/internal/settings"
)

// TestNothingIsLeftOver runs the program in this process, with clients that leave, a searcher that breaks off and
// one that is silent: no goroutines or descriptors pile up, and no goroutine is left when it has ended.
func TestNothingIsLeftOver(t *testing.T) {
	w := prepare(t)
	w.searchers[0].Handle = func(p toy.Part) { p.Conn.Close() }
	w.searchers[2].Handle = func(toy.Part) {}
	path := w.configure()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(0))
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	running := func() (n int) {
		var all bytes.Buffer
		pprof.Lookup("goroutine").WriteTo(&all, 2)
		for _, stack := range strings.Split(all.String(), "\n\n") {
			if strings.Contains(stack, "internal/transport.") || strings.Contains(stack, "internal/routing.") {
				n++
			}
		}
		return n
	}
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	ended := make(chan error, 1)
	go func() {
		ended <- run(ctx, nil, paths{config: path}, settings.Settings{}, slog.New(slog.NewTextHandler(w.log, nil)))
	}()
	w.healthy()
	w.client.CloseIdleConnections()
	before := files(os.Getpid())
	if procs, memory := runtime.GOMAXPROCS(0), debug.SetMemoryLimit(-1); procs != 1 || memory <= 0 || memory >= 192<<20 {
		t.Errorf("the runtime knows of %d cores and %d bytes, of 1 and 192 MB", procs, memory)
	}
	for round := range 3 {
		for i := range 20 {
			hurried, cancel := context.WithTimeout(ctx, 3*time.Millisecond)
			w.do(w.request(fmt.Sprintf("left%d.%d", round, i), "all", "2000", shards("x", 0, 1, 2, 3)).WithContext(hurried))
			cancel()
			nc := w.dial()
			w.request(fmt.Sprintf("gone%d.%d", round, i), "all", "2000", shards("x", 0, 1)).Write(nc)
			nc.Close()
			w.ask(fmt.Sprintf("a%d.%d", round, i), "half", 0, 1, 2, 3)
		}
		w.client.CloseIdleConnections()
		w.until("goroutines and descriptors are as few as connections ask for", func() bool {
			conns := w.conns()                                                      // each has a reader, a writer and two ends here
			return running() <= 2*conns+5 && files(os.Getpid()) <= before+2*conns+2 // and the list's watch, ticks, sweeps, the server
		})
	}
	leave()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("still running")
	}
	w.until("every goroutine has ended", func() bool { return running() == 0 })
}

// TestLeavingUnderLoad has SIGTERM come while clients go on: none may be lost.
func TestLeavingUnderLoad(t *testing.T) {
	w := unhurried(t, 200*time.Millisecond)
	w.start()
	var wg sync.WaitGroup
	stop := make(chan struct{})
	answers := make(chan reply, 10000)
	for k := range 8 {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: k%2 == 0}}
			mine := &world{t: t, addr: w.addr, client: client}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
					r, err := mine.do(mine.request(fmt.Sprintf("c%d.%d", k, n), "all", "10000", shards("x", 0, 1)))
					if err != nil {
						t.Errorf("client %d, lookup %d: %v", k, n, err)
						return
					}
					r.at, r.closing = time.Now(), r.closing && k%2 == 1 // the others asked for it
					answers <- r
				}
			}
		})
	}
	w.dial() // one that never says anything does not hold the mixer up
	time.Sleep(300 * time.Millisecond)
	signalled := time.Now()
	w.signal(syscall.SIGTERM)
	w.until("it says that it leaves", func() bool { return strings.Contains(w.log.String(), "msg=leaving") })
	heard, asks := time.Now(), 0
	for code := 0; code != http.StatusServiceUnavailable; asks++ { // at once, that is: but for requests which overtake its next step
		if code = w.health(); asks > 9 {
			t.Fatalf("health is %d while leaving, want 503", code)
		}
	}
	time.Sleep(250 * time.Millisecond) // new connections still come
	close(stop)
	wg.Wait()
	if code := w.exit(2 * time.Second); code != 0 {
		t.Errorf("exit code %d, want 0", code)
	}
	close(answers)
	n, late := 0, 0
	for r := range answers {
		if n++; r.status != 200 {
			t.Errorf("lookup answered %d %q", r.status, r.text)
		}
		if r.at.After(heard) {
			late++
		}
		if after := r.at.Sub(signalled); r.closing && after < 650*time.Millisecond { // until then new connections may come here
			t.Errorf("an answer read %v after SIGTERM ends its connection, where there may be no other mixer", after)
		}
	}
	if n < 16 || late < 8 {
		t.Errorf("%d lookups answered, %d while leaving", n, late)
	}
}

// TestLeavingBeforeTheKill has a lookup open for longer than there is time to leave, by SIGINT here: it fails, but is answered.
func TestLeavingBeforeTheKill(t *testing.T) {
	w := prepare(t)
	w.settings["Profiles"] = []object{{"Name": "all", "AimMs": 60000.0, "DeadlineMs": 60000.0, "Effect": "retryable"},
		{"Name": "half", "AimMs": 1000.0, "DeadlineMs": 1000.0, "Effect": "retryable"}}
	for _, s := range w.searchers {
		s.Handle = func(toy.Part) {}
	}
	w.start()
	got := make(chan reply, 1)
	go func() {
		r, _ := w.do(w.request("a", "all", "60000", shards("x", 0)))
		got <- r
	}()
	w.until("the part is sent", func() bool { return calls(w.searchers[0])+calls(w.searchers[1]) > 0 })
	began := time.Now()
	w.signal(syscall.SIGINT)
	code := w.exit(5 * time.Second)
	if took := time.Since(began); code != 0 || took > 3700*time.Millisecond {
		t.Errorf("exit code %d after %v, want 0 before SIGKILL may come", code, took)
	}
	if r := <-got; r.status != http.StatusBadGateway {
		t.Errorf("the lookup is answered %d, want 502", r.status)
	}
}
