package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"nettlefold/example/toy"
)

// TestTroubledSearcher has one of two holders misbehave: every lookup must be served all the same.
func TestTroubledSearcher(t *testing.T) {
	frame := func(letter byte, rest string) func(toy.Part) {
		return func(p toy.Part) { p.Conn.Frame(letter, strings.ReplaceAll(rest, "ID", p.ID)) }
	}
	for name, c := range map[string]struct {
		handle func(toy.Part)
		log    string
	}{
		"error":           {frame('A', "ID err 0 -\n"), ""},
		"busy":            {frame('A', "ID busy 0 -\n"), ""},
		"silent":          {func(toy.Part) {}, ""},
		"reset":           {func(p toy.Part) { p.Conn.Close() }, ""},
		"cut off":         {func(p toy.Part) { p.Conn.Write([]byte{40, 0, 0, 0, 'A', 'x'}); p.Conn.Close() }, ""},
		"overlong":        {func(p toy.Part) { p.Conn.Write([]byte{0, 0, 0, 127, 'A'}) }, "length 2130706432"},
		"empty frame":     {func(p toy.Part) { p.Conn.Write([]byte{0, 0, 0, 0}) }, "length 0"},
		"unknown letter":  {frame('Z', "hm"), "unknown letter"},
		"bad line":        {frame('A', "ID ok\n"), `is not ID END SCORE REPORT`},
		"unknown end":     {frame('A', "ID fine 0 -\n"), "unknown end"},
		"unused frame":    {frame('E', "what is this"), "what is this"},
		"stranger's part": {frame('A', "nobody.0 ok 1 -\nno value"), ""},
		"twice": {func(p toy.Part) {
			p.Answer("ok", p.Value())
			p.Answer("ok", "again")
		}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := prepare(t)
			w.searchers[0].Handle = c.handle
			w.start()
			if n := w.satisfied("a", 20); n != 20 {
				t.Errorf("%d of 20 lookups were answered whole", n)
			}
			if calls(w.searchers[0]) == 0 {
				t.Error("the troubled searcher was never tried")
			}
			if !strings.Contains(w.log.String(), c.log) {
				t.Errorf("the log does not say %q", c.log)
			}
		})
	}
}

// TestOnceOnlyIsNotSentTwice has one of two holders break each connection when it has read a part, or refuse all.
func TestOnceOnlyIsNotSentTwice(t *testing.T) {
	for _, refuses := range []bool{false, true} {
		w := prepare(t)
		w.settings["Profiles"].([]object)[0]["Effect"] = "fragile"
		w.limits["cores"] = 4 // the break may be seen before the write has returned
		w.searchers[0].Handle = func(p toy.Part) { p.Conn.Close() }
		w.start()
		if refuses {
			w.searchers[0].Stop()
		}
		failed := 0
		const lookups = 200
		for i := range lookups {
			switch r := w.ask(fmt.Sprint("a", i), "all", 0); r.status {
			case http.StatusOK:
			case http.StatusBadGateway:
				failed++
			default:
				t.Errorf("lookup %d is answered %d", i, r.status)
			}
		}
		if sent := calls(w.searchers[0]) + calls(w.searchers[1]); sent != lookups {
			t.Errorf("refused %v: %d parts were sent %d times", refuses, lookups, sent)
		}
		if broken := calls(w.searchers[0]); failed != broken || refuses == (broken > 0) {
			t.Errorf("refused %v: %d lookups failed, %d parts broke off", refuses, failed, broken)
		}
	}
}

// TestConnectionNeverComesUp has one of two holders let nobody in, as a machine does that is cut off. A part that
// waits for it in vain has never run, so a once-only one goes to the other holder as soon as that is known.
// The mixer has an empty list at first: it is healthy once it has heard of somebody to ask.
func TestConnectionNeverComesUp(t *testing.T) {
	w := prepare(t)
	w.settings["Profiles"].([]object)[0]["Effect"] = "fragile"
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	at, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	full := fmt.Sprint("127.0.0.1:", at.(*syscall.SockaddrInet4).Port)
	for { // fill its queue, then nothing more comes up
		nc, err := net.DialTimeout("tcp", full, 100*time.Millisecond)
		if err != nil {
			break
		}
		defer nc.Close()
	}
	all := w.searchers
	w.searchers = nil
	w.launch() // without a searcher, so that health tells when the list below has been heard
	w.until("health is told", func() bool { return w.health() != 0 })
	if code := w.health(); code != http.StatusServiceUnavailable {
		t.Errorf("health is %d without a searcher, want 503", code)
	}
	w.searchers = all
	w.play()
	w.list.Say(w.whole(2, func(i int, m *toy.Member) {
		if i == 0 {
			m.Address = full
		}
	}))
	w.healthy()
	w.until("the searcher that is cut off is tried", func() bool {
		began := time.Now()
		r := w.ask(fmt.Sprint("a", began.UnixNano()), "all", 0, 2)
		took := time.Since(began)
		if r.status != http.StatusOK || took > 700*time.Millisecond {
			t.Errorf("answered %d after %v", r.status, took)
		}
		return took > 200*time.Millisecond // 250 are allowed for connecting
	})
}

func TestKilledSearcherComesBack(t *testing.T) {
	w := prepare(t).start()
	w.satisfied("a", 4)
	w.searchers[0].Stop()
	if n := w.satisfied("b", 20); n != 20 {
		t.Errorf("%d of 20 lookups were answered whole beside a killed searcher", n)
	}
	if err := w.searchers[0].Start(); err != nil {
		t.Fatal(err)
	}
	e := w.searchers[0].Entry("SERVING")
	e.Since = float64(time.Now().Add(-2 * time.Second).UnixMilli())
	w.list.Say(changed(2, e))
	before := calls(w.searchers[0])
	w.asking("the searcher is used again", func() bool { return calls(w.searchers[0]) > before })
}

// TestOldConnectionsAreLeft restarts and moves a searcher that keeps its old connections open and silent.
func TestOldConnectionsAreLeft(t *testing.T) {
	w := prepare(t).start()
	w.satisfied("a", 8)
	old := w.searchers[0]
	if old.Conns() == 0 {
		t.Fatal("no connection to begin with")
	}
	e := old.Entry("SERVING")
	e.Since = float64(time.Now().UnixMilli() + 1)
	w.list.Say(changed(2, e))
	w.until("connections to the old process are closed", func() bool { return old.Conns() == 0 })
	w.asking("the new process is used", func() bool { return old.Conns() > 0 })
	next := &toy.Searcher{Name: old.Name, Zone: "z"}
	if err := next.Start(); err != nil {
		t.Fatal(err)
	}
	defer next.Stop()
	w.list.Say(changed(3, next.Entry("SERVING")))
	w.asking("the new address is used", func() bool { return calls(next) > 0 })
	before := calls(old)
	if n := w.satisfied("c", 8); n != 8 || calls(old) > before {
		t.Error("the old address was used after the list had named the new one")
	}
}

// TestIdleConnectionsAreClosedFirst has a searcher's keep-alive in the configuration: connections are closed when they have been
// idle for most of it, and not before. That they are closed before it is over is a test's of transport, on a clock of its own.
func TestIdleConnectionsAreClosedFirst(t *testing.T) {
	w := prepare(t)
	w.of("PolicyLimits")["KeepaliveMs"] = 800.0
	w.start()
	w.satisfied("a", 3)
	used := time.Now() // or later, by the one that is closed last
	w.satisfied("b", 1)
	for _, s := range w.searchers {
		if calls(s) == 0 {
			t.Error("no connection to begin with")
		}
	}
	w.until("idle connections are closed", func() bool { return w.conns() == 0 })
	if after := time.Since(used); after < 700*time.Millisecond {
		t.Errorf("closed after %v, want 700 ms of 800 at the least", after)
	}
	if n := w.satisfied("c", 4); n != 4 {
		t.Errorf("%d of 4 lookups were answered whole afterwards", n)
	}
}

// TestPartsShareFramesAndConnections has four parts at once go to each of two searchers.
func TestPartsShareFramesAndConnections(t *testing.T) {
	for _, c := range []struct{ perCall, streams, calls, conns int }{{4, 100, 1, 1}, {1, 2, 4, 2}} {
		w := prepare(t)
		w.of("FamilyInfo")["PerCall"], w.of("PolicyLimits")["MaxStreams"] = c.perCall, c.streams
		w.searchers = []*toy.Searcher{w.searchers[0], w.searchers[2]}
		for _, s := range w.searchers {
			s.Took = 300 * time.Millisecond
		}
		w.start()
		if r := w.ask("a", "all", 0, 1, 2, 3, 4, 5, 6, 7); !r.Complete {
			t.Errorf("%+v", r)
		}
		for _, s := range w.searchers {
			if calls, conns := calls(s), s.Conns(); calls != c.calls || conns != c.conns {
				t.Errorf("%s got its four parts in %d calls on %d connections, want %+v", s.Name, calls, conns, c)
			}
		}
	}
}

func TestProbesAreAnswered(t *testing.T) {
	w := prepare(t)
	w.searchers[0].Accepted = func(c *toy.Conn) {
		c.Frame('P', "")
		c.Frame('L', "")
	}
	w.start()
	w.satisfied("a", 6)
	w.until("both probes are answered", func() bool {
		all := strings.Join(w.searchers[0].Frames(), "|")
		return strings.Contains(all, "Pok") && strings.Contains(all, "L-")
	})
}

// TestFewConnections has fewer connections allowed than there are searchers: one that lies idle gives way. Two
// lookups of one slice at a time, held until both are out, need both of its holders.
func TestFewConnections(t *testing.T) {
	w := prepare(t)
	w.limits["sockets"] = 38
	w.settings["PolicyLimits"].(object)["MayDuplicate"] = false // else a part that is held for long on a busy machine has a copy
	held := make(chan toy.Part, 8)
	for _, s := range w.searchers {
		s.Handle = func(p toy.Part) { held <- p }
	}
	w.start()
	for slice := range 2 {
		got := make(chan reply, 2)
		for i := range 2 {
			go func() { got <- w.ask(fmt.Sprintf("a%d.%d", slice, i), "all", slice) }()
		}
		w.until("both parts are out", func() bool { return len(held) == 2 })
		for range 2 {
			p := <-held
			p.Answer("ok", p.Value())
		}
		for range 2 {
			if r := <-got; !r.Complete {
				t.Errorf("a lookup of slice %d: %+v", slice, r)
			}
		}
	}
	for _, s := range w.searchers {
		if n := calls(s); n != 1 {
			t.Errorf("%s got %d calls, want 1", s.Name, n)
		}
	}
	w.until("three connections are left", func() bool { return w.conns() == 3 })
}
