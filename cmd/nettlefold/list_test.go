package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"nettlefold/example/toy"
	"nettlefold/mixer"
)

func TestDrainingSearcherGetsNothing(t *testing.T) {
	w := prepare(t).start()
	w.satisfied("a", 4)
	for index, status := range []string{"DRAINING", "DELETED"} {
		s := w.searchers[index]
		w.list.SayOnce("not a list") // the watch is made anew, and hears what it has missed
		w.list.Say(changed(int64(2+index), s.Entry(status)))
		w.unused(status+" is heard", s)
		before := calls(s)
		if n := w.satisfied(status, 10); index == 0 && n != 10 {
			t.Errorf("%d of 10 lookups were answered whole", n)
		}
		if calls(s) > before {
			t.Errorf("a searcher that is %s got something new", status)
		}
	}
	w.until("connections to a searcher that is gone are closed", func() bool { return w.searchers[1].Conns() == 0 })
}

// TestListThatMisbehaves has the list lie, go back, break off and die; the last one that was sound is kept.
func TestListThatMisbehaves(t *testing.T) {
	w := prepare(t).start()
	w.list.Say(w.whole(7, func(i int, m *toy.Member) {
		if i == 0 {
			m.Status = "DANCING"
		}
	}))
	w.until("the unknown state is logged", func() bool { return strings.Contains(w.log.String(), "DANCING") })
	w.list.SayOnce(`{"index":5,"endpoints":[{"name":"s1","group":0,"address":"x","status":"DRAINING"}]}`)
	w.until("the version that goes back is logged", func() bool { return strings.Contains(w.log.String(), "version 5 after 7") })
	before := calls(w.searchers[0])
	if n := w.satisfied("a", 12); n != 12 || calls(w.searchers[0]) == before {
		t.Errorf("%d of 12 lookups were answered whole, the searcher of unknown state had %d calls", n, calls(w.searchers[0])-before)
	}
	at := w.listAt.Listener.Addr().String()
	w.listAt.CloseClientConnections()
	w.listAt.Close()
	if n := w.satisfied("b", 5); n != 5 {
		t.Errorf("%d of 5 lookups were answered whole without a list", n)
	}
	l, err := net.Listen("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	list := &toy.List{}
	list.Say(w.whole(9, func(i int, m *toy.Member) {
		if i == 1 {
			m.Status = "DRAINING"
		}
	}))
	back := httptest.NewUnstartedServer(list)
	back.Listener.Close()
	back.Listener = l
	back.Start()
	defer back.Close()
	defer back.CloseClientConnections()
	w.unused("the list that is back is heard", w.searchers[1])
}

// TestReload has SIGHUP name other discoveries while lookups go on: the list follows each, whose versions start
// anew, also from one that is silent; a file that is no use changes nothing; none of it costs a lookup. Searchers take so long
// that the machine's own pauses do not make an only holder look silent, which would cost lookups too.
func TestReload(t *testing.T) {
	w := unhurried(t, 50*time.Millisecond)
	admin := loopback(207, 1, 19090)
	w.own(admin, "")
	w.start()
	load, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	var done [3]atomic.Int64
	for i := range done {
		wg.Go(func() {
			for n := 0; load.Err() == nil; n++ {
				if r := w.ask(fmt.Sprintf("load%d.%d", i, n), "all", 0, 2); r.status != http.StatusOK || !r.Complete {
					t.Errorf("lookup %d of %d: status %d %q", n, i, r.status, r.text)
				}
				done[i].Add(1)
			}
		})
	}
	turn := func() { // by now each client has begun and ended a lookup
		for i := range done {
			before := done[i].Load()
			w.until("lookups go on", func() bool { return done[i].Load() > before+1 })
		}
	}
	in := func(i int) bool { // whether the mixer sends to the searcher
		why := struct{ Standing *mixer.SearcherState }{}
		json.Unmarshal([]byte(fetch("http://"+admin+"/why?searcher="+w.searchers[i].Name)), &why)
		return why.Standing != nil && why.Standing.Status == mixer.Live
	}
	follows := func(what string, out int, do func()) { // one searcher of all is out, from when it is heard on to the end of what is done
		w.until(what, func() bool {
			for i := range w.searchers {
				if in(i) == (i == out) {
					return false
				}
			}
			return true
		})
		turn()
		before := calls(w.searchers[out])
		do()
		for i := range w.searchers {
			if in(i) == (i == out) {
				t.Errorf("%s: is not kept, of searcher %d", what, i)
			}
		}
		if turn(); calls(w.searchers[out]) != before {
			t.Errorf("%s: %d calls to a searcher that is not in it", what, calls(w.searchers[out])-before)
		}
	}
	without := func(index int64, gone int) *httptest.Server {
		m := w.whole(index, nil)
		m.Endpoints = append(m.Endpoints[:gone:gone], m.Endpoints[gone+1:]...)
		list := &toy.List{Beat: 100 * time.Millisecond}
		list.Say(m)
		return w.serveList(list)
	}
	w.list.Say(changed(41, w.searchers[0].Entry("DRAINING")))
	follows("the first list", 0, func() {})

	w.write(without(3, 2)) // its versions are lower, it has the first searcher back and lacks the third
	w.signal(syscall.SIGHUP)
	follows("the second list, also while discovery is silent", 2, func() {
		hung := make(chan struct{}, 10)
		w.write(w.serveList(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			hung <- struct{}{}
			<-r.Context().Done()
		})))
		w.signal(syscall.SIGHUP)
		<-hung
		turn()
	})
	w.limits["memory_mb"] = 100
	w.write(without(3, 1))
	w.signal(syscall.SIGHUP)
	follows("the fourth list, also with files that are no use", 1, func() {
		if !strings.Contains(w.log.String(), `"fields":["limits"]`) {
			t.Error("the field that needs a restart is not named")
		}
		for _, c := range []struct{ text, want string }{
			{`{"name":"n0","listen":"127.0.0.1:1"`, "unexpected end"},
			{`{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:99999"}`, `discovery: port: \"99999\"`},
		} {
			if err := os.WriteFile(w.path, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			w.signal(syscall.SIGHUP)
			w.until("a file that is no use is named: "+c.want, func() bool { return strings.Contains(w.log.String(), c.want) })
		}
	})
	stop()
	wg.Wait()
	w.signal(syscall.SIGTERM)
	for range 20 {
		w.signal(syscall.SIGHUP)
		time.Sleep(5 * time.Millisecond)
	}
	if code := w.exit(5 * time.Second); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// TestReloadAtOddMoments has SIGHUP come before discovery's first answer, twice in a row, behind a file that is no use, and
// while the old address refuses or a message of it is half read: the new address is followed within 4 s.
func TestReloadAtOddMoments(t *testing.T) {
	for name, c := range map[string]struct {
		old   func(rw http.ResponseWriter, r *http.Request) // nil: it refuses
		early bool
	}{
		"before the first answer": {func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, true},
		"while it refuses":        {nil, false},
		"a message is half read": {func(rw http.ResponseWriter, r *http.Request) {
			fmt.Fprint(rw, `{"index":7,`)
			rw.(http.Flusher).Flush()
			<-r.Context().Done()
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := prepare(t)
			asked := make(chan struct{}, 999)
			w.listAt = w.serveList(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				asked <- struct{}{}
				c.old(rw, r)
			}))
			w.configure()
			if c.old == nil {
				w.listAt.Close()
			}
			w.execute()
			defer func() { w.cmd.Process.Kill(); <-w.ended }() // before its discoveries close, which it would come back to
			if c.old != nil {
				<-asked
			}
			if !c.early {
				w.healthy()
			}
			if err := os.WriteFile(w.path, []byte("{"), 0o600); err != nil {
				t.Fatal(err)
			}
			w.signal(syscall.SIGHUP)
			heard := make(chan struct{}, 99)
			w.write(w.serveList(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				heard <- struct{}{}
				w.list.ServeHTTP(rw, r)
			})))
			w.signal(syscall.SIGHUP)
			w.signal(syscall.SIGHUP)
			select {
			case <-heard:
			case <-time.After(4 * time.Second):
				t.Error("the new address is not followed\n" + w.log.String())
			}
		})
	}
}
