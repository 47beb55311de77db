package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"runtime/pprof"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"nettlefold/example/toy"
	"nettlefold/internal/settings"
)

func TestLookupsAreServed(t *testing.T) {
	w := prepare(t).start()
	if r := w.ask("a1", "all", 0, 1, 2, 3); r.status != 200 || !r.Complete || len(r.Hits) != 4 {
		t.Errorf("all parts: %+v", r)
	}
	if r := w.ask("a2", "half", 0, 1, 2, 3); r.status != 200 || !r.Complete || len(r.Hits) != 2 {
		t.Errorf("any half of the parts: %+v", r)
	}
	parts := 0
	for _, s := range w.searchers {
		for _, f := range s.Frames() {
			var id, slice, list string
			var length int
			head, text, _ := strings.Cut(f[1:], "\n")
			if n, err := fmt.Sscan(head, &id, &slice, &list, &length); n != 4 || err != nil {
				t.Fatalf("frame %q: %v", f, err)
			}
			if text = text[:length]; f[0] != 'Q' || text != "text of "+id[:2] || id[2:] != "."+slice {
				t.Errorf("frame %q", f)
			}
			var within int
			if _, err := fmt.Sscanf(list, "d=%d", &within); err != nil || within < 900 || within > 1000 {
				t.Errorf("frame %q: waits %d ms, of 1000 expected", f, within)
			}
			parts += strings.Count(f, " d=")
		}
	}
	if parts != 6 {
		t.Errorf("%d parts were sent, want exactly 4 and 2", parts)
	}
}

// TestLongAnswer has values that no buffer on the way holds at once.
// Weights are written with a few digits, so all of them may fall short of the whole.
func TestRoundedWeights(t *testing.T) {
	w := prepare(t).start()
	body := `{"shards":[{"shard":0,"weight":0.3333},{"shard":1,"weight":0.3333},{"shard":2,"weight":0.3333}],"q":"x"}`
	if r, err := w.do(w.request("a1", "all", "1000", body)); err != nil || r.status != 200 || !r.Complete || len(r.Hits) != 3 {
		t.Errorf("three thirds: %+v, %v", r, err)
	}
}

// A lookup that ends takes with it what searchers still hold of it.
func TestEndedLookupIsWithdrawn(t *testing.T) {
	w := prepare(t)
	w.of("PolicyLimits")["MaxAttempts"] = 1
	for _, s := range w.searchers[:2] {
		s.Handle = func(toy.Part) {} // cell 0 never answers
	}
	w.start()
	w.searchers[2].Stop()
	w.searchers[3].Stop()
	if r := w.ask("a1", "all", 0, 1); r.status != 503 {
		t.Fatalf("with one of two cells gone: %+v", r)
	}
	w.until("the searcher is told that the part is given up", func() bool {
		return slices.Contains(slices.Concat(w.searchers[0].Frames(), w.searchers[1].Frames()), "Xa1.0")
	})
}

func TestLongAnswer(t *testing.T) {
	w := prepare(t)
	long := strings.Repeat("0123456789abcdef", 2000)
	for _, s := range w.searchers {
		s.Handle = func(p toy.Part) { p.Answer("ok", long) }
	}
	w.start()
	r, err := w.do(w.request("a", "all", "2000", shards("x", 0, 1, 2, 3)))
	if err != nil || len(r.Hits) != 4 || r.Hits[0].Doc != long || r.Hits[3].Doc != long {
		t.Errorf("status %d, %d hits, %v", r.status, len(r.Hits), err)
	}
	if n := r.head.Get("Content-Length"); n != fmt.Sprint(len(r.text)) {
		t.Errorf("an answer of %d bytes says that it has %q", len(r.text), n)
	}
}

// TestTimeIsCountedFromTheClient sends a request slowly, and one that says it is a repeat.
func TestTimeIsCountedFromTheClient(t *testing.T) {
	w := prepare(t).start()
	waits := func() (ms int) {
		for _, s := range w.searchers {
			for _, f := range s.Frames() {
				_, list, _ := strings.Cut(f, " d=")
				fmt.Sscan(list, &ms)
			}
		}
		return ms
	}
	body := shards("x", 0)
	nc, err := net.Dial("tcp", w.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	for _, piece := range []string{"POST /api HTTP/1.1\r\nHost: x\r\nX-Txn: a\r\n",
		fmt.Sprintf("X-Lane: all\r\nX-Remaining-Ms: 800\r\nContent-Length: %d\r\n\r\n", len(body)), body} {
		io.WriteString(nc, piece)
		time.Sleep(150 * time.Millisecond)
	}
	w.until("the part is sent", func() bool { return waits() > 0 })
	if ms := waits(); ms > 500 {
		t.Errorf("a part of a request that took 300 of its 800 ms to come waits %d ms", ms)
	}
	kept := bufio.NewReader(nc)
	if r, err := http.ReadResponse(kept, nil); err != nil {
		t.Fatal(err)
	} else if _, err := io.ReadAll(r.Body); err != nil {
		t.Fatal(err)
	}
	w.request("c", "all", "400", shards("x", 0)).Write(nc)
	if r, err := http.ReadResponse(kept, nil); err != nil || r.StatusCode != 200 {
		t.Errorf("the next request on a connection that is 450 ms old: %v, %v", r, err)
	}
	again := w.request("b", "all", "1200", shards("x", 1)) // 800 of 2000 ms are over, so 200 of 1000 are left
	again.Header.Set("X-Resent", "1")
	before := len(w.searchers[2].Frames()) + len(w.searchers[3].Frames())
	if r, err := w.do(again); err != nil || r.status != 200 || before != 0 {
		t.Fatalf("%+v, %v, %d frames before", r, err, before)
	}
	if ms := waits(); ms > 200 {
		t.Errorf("a part of a repeat waits %d ms, of 200 left", ms)
	}
}

// TestAdviceIsGivenWhereAllowed has nobody left to serve, so that lookups are turned away at once.
func TestAdviceIsGivenWhereAllowed(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		w := prepare(t)
		w.of("PolicyLimits")["RetryAfter"] = allowed
		w.start()
		w.list.Say(w.whole(2, func(_ int, m *toy.Member) { m.Status = "DRAINING" }))
		var r reply
		w.until("lookups are turned away", func() bool {
			r = w.ask(fmt.Sprint("a", time.Now().UnixNano()), "all", 0, 1)
			return r.status == http.StatusServiceUnavailable
		})
		var wait float64
		fmt.Sscan(r.head.Get("Retry-After"), &wait)
		if allowed != (wait > 0 && wait <= 0.5) {
			t.Errorf("allowed %v, Retry-After %q", allowed, r.head.Get("Retry-After"))
		}
	}
}

// TestSlowClientsAreLetGo has a client begin a request and never end it.
func TestSlowClientsAreLetGo(t *testing.T) {
	t.Parallel()
	w := prepare(t).start()
	open := map[string]net.Conn{}
	for _, begun := range []string{"POST /api HTT", "POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{"} {
		nc, err := net.Dial("tcp", w.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		io.WriteString(nc, begun)
		nc.SetDeadline(time.Now().Add(8 * time.Second))
		open[begun] = nc
	}
	for begun, nc := range open {
		if _, err := io.ReadAll(nc); err != nil {
			t.Errorf("after %q the connection is still open: %v", begun, err)
		}
	}
}

func TestPartsShareAFrame(t *testing.T) {
	w := prepare(t)
	w.searchers = []*toy.Searcher{w.searchers[0], w.searchers[2]}
	w.start()
	w.ask("a", "all", 0, 1, 2, 3, 4, 5, 6, 7)
	for _, s := range w.searchers {
		if n := calls(s); n != 1 {
			t.Errorf("%s got its four parts in %d calls, want 1", s.Name, n)
		}
	}
}

func TestBadRequestsAreNamed(t *testing.T) {
	w := prepare(t).start()
	good := shards("x", 0, 1)
	for _, c := range []struct {
		id, lane, left, body string
		status               int
		want                 string
	}{
		{"", "all", "500", good, 400, "X-Txn: missing"},
		{"a b", "all", "500", good, 400, "X-Txn: byte 0x20"},
		{strings.Repeat("a", 65), "all", "500", good, 400, "X-Txn: 65 bytes"},
		{"b1", "none", "500", good, 400, `X-Lane: unknown "none"`},
		{"b1", "all", "", good, 400, "X-Remaining-Ms"},
		{"b1", "all", "soon", good, 400, `X-Remaining-Ms: not whole milliseconds: "soon"`},
		{"b1", "all", "1e2", good, 400, "X-Remaining-Ms"},
		{"b1", "all", "-5", good, 400, "X-Remaining-Ms"},
		{"b1", "all", "500", strings.Replace(good, "0.5", "0.75", 1), 400, "shards: weights add up to 1.25"},
		{"b1", "all", "500", strings.Replace(good, "shards", "Shards", 1), 400, "body: shards: none"},
		{"b1", "all", "500", strings.Replace(good, `"q"`, `"q":"y","q"`, 1), 400, "body: q: told twice"},
		{"b1", "all", "500", strings.Replace(good, `"x"`, "\"\xff\"", 1), 400, "body: not UTF-8"},
		{"b1", "all", "500", strings.Replace(good, `"x"`, `"\ud800"`, 1), 400, "body: q: half a character"},
		{"b1", "all", "500", "{", 400, "body: "},
		{"b1", "all", "500", good + good, 400, "body: more than one"},
		{"b1", "all", "500", `{"shards":[{"shard":0,"weight":1}]}`, 400, "body: q: missing"},
		{"b1", "all", "500", `{"q":"x"}`, 400, "body: shards: none"},
		{"b1", "all", "500", shards("x", 0, 8), 400, "shards[1]: shard: 8"},
		{"b1", "all", "500", shards("x", -1), 400, "shards[0]: shard: -1"},
		{"b1", "all", "500", shards("x", 2, 2), 400, "shards[1]: shard: 2 is named twice"},
		{"b1", "all", "500", `{"q":"x","shards":[{"shard":0}]}`, 400, "shards[0]: weight: missing"},
		{"b1", "all", "500", `{"q":"x","shards":[{"shard":0,"weight":-1}]}`, 400, "shards[0]: weight: -1"},
		{"b1", "all", "500", `{"q":"x","shards":[{"weight":1}]}`, 400, "shards[0]: shard: missing"},
		{"b1", "all", "500", `{"q":"` + strings.Repeat("x", 64<<10) + `"}`, 413, "body: over"},
	} {
		r, err := w.do(w.request(c.id, c.lane, c.left, c.body))
		if err != nil || r.status != c.status || !strings.Contains(r.text, c.want) {
			t.Errorf("%s, %s, %s, %.80q is answered %d %q, %v, want %d %q", c.id, c.lane, c.left, c.body, r.status, r.text, err, c.status, c.want)
		}
	}
	for _, raw := range []string{
		"POST /api HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"POST /api HTTP/1.1\r\nHost: x\r\nX-Filler: " + strings.Repeat("x", 64<<10) + "\r\n\r\n",
		"GET /api HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
		"nonsense\r\n\r\n",
		"POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 60000000\r\n\r\n",
		"POST /api HTTP/1.0\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		nc, err := net.Dial("tcp", w.addr)
		if err != nil {
			t.Fatal(err)
		}
		nc.SetDeadline(time.Now().Add(5 * time.Second))
		io.WriteString(nc, raw)
		status := ""
		if line, err := bufio.NewReader(nc).ReadString('\n'); err == nil {
			status = strings.Fields(line)[1]
		}
		if !strings.HasPrefix(status, "4") {
			t.Errorf("%.60q is answered %q, want a 4xx", raw, status)
		}
		nc.Close()
	}
	if n := w.satisfied("after", 1); n != 1 {
		t.Error("no lookup is served after bad requests")
	}
}

// TestHiddenRequests has one request hold another, by two lengths or behind it: the first is refused or answered, the
// connection ends, and nothing of the second reaches a searcher.
func TestHiddenRequests(t *testing.T) {
	w := prepare(t).start()
	lookup := func(id, extra, body string) string {
		return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nX-Lane: all\r\nX-Remaining-Ms: 900\r\n%s\r\n\r\n%s", id, extra, body)
	}
	body := shards("text of a", 0)
	length := fmt.Sprint("Content-Length: ", len(body))
	hidden := lookup("hidden", length, body)
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	for _, c := range []struct{ raw, later, want string }{
		{lookup("a1", length+"\r\nTransfer-Encoding: chunked", chunked+hidden), "", "400"},
		{lookup("a2", "Transfer-Encoding: chunked\r\n"+length, chunked+hidden), "", "400"},
		{lookup("a3", length, body+hidden), "", "400"},
		{lookup("a4", "Transfer-Encoding: chunked", chunked+hidden), "", "400"},
		{lookup("a5", length, body), hidden, "200"},
		{lookup("a6", "Transfer-Encoding: chunked", chunked), "", "200"},
	} {
		for _, s := range w.searchers {
			s.Took = 50 * time.Millisecond
		}
		nc, err := net.Dial("tcp", w.addr)
		if err != nil {
			t.Fatal(err)
		}
		nc.SetDeadline(time.Now().Add(3 * time.Second))
		io.WriteString(nc, c.raw)
		if c.later != "" {
			w.until("the first is served", func() bool { return calls(w.searchers[0])+calls(w.searchers[1]) > 0 })
			io.WriteString(nc, c.later)
		}
		in := bufio.NewReader(nc)
		resp, err := http.ReadResponse(in, nil)
		if err != nil || !strings.HasPrefix(resp.Status, c.want) {
			t.Fatalf("%.300q is answered %+v, %v, want %s", c.raw, resp, err, c.want)
		}
		io.Copy(io.Discard, resp.Body)
		if c.raw == lookup("a6", "Transfer-Encoding: chunked", chunked) {
			continue // nothing is hidden there
		}
		if more, err := io.ReadAll(in); len(more) > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%.300q: after the first answer came %q, %v", c.raw, more, err)
		}
	}
	for _, s := range w.searchers {
		for _, f := range s.Frames() {
			if strings.Contains(f, "hidden") {
				t.Errorf("a hidden request has reached %s: %q", s.Name, f)
			}
		}
	}
}

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
	w.searchers = all
	w.play()
	w.list.Say(w.whole(2, func(i int, m *toy.Member) {
		if i == 0 {
			m.Address = full
		}
	}))
	w.until("health", func() bool { return w.health() == http.StatusOK })
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

// TestHealthWaitsForASearcher starts with an empty list: the mixer is healthy once it has heard of one to ask.
func TestHealthWaitsForASearcher(t *testing.T) {
	w := prepare(t)
	later := w.searchers[0]
	w.searchers = nil
	w.launch()
	w.until("health is told", func() bool { return w.health() != 0 })
	if code := w.health(); code != http.StatusServiceUnavailable {
		t.Errorf("health is %d without a searcher, want 503", code)
	}
	if err := later.Start(); err != nil {
		t.Fatal(err)
	}
	defer later.Stop()
	w.list.Say(changed(2, later.Entry("SERVING")))
	w.until("health", func() bool { return w.health() == http.StatusOK })
	if r := w.ask("a", "all", 0); r.status != http.StatusOK {
		t.Errorf("answered %d", r.status)
	}
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
	w.until("the searcher is used again", func() bool {
		w.satisfied(fmt.Sprint("c", time.Now().UnixNano()), 1)
		return calls(w.searchers[0]) > before
	})
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
	w.until("the new process is used", func() bool {
		w.satisfied(fmt.Sprint("r", time.Now().UnixNano()), 1)
		return old.Conns() > 0
	})
	next := &toy.Searcher{Name: old.Name, Zone: "z"}
	if err := next.Start(); err != nil {
		t.Fatal(err)
	}
	defer next.Stop()
	w.list.Say(changed(3, next.Entry("SERVING")))
	w.until("the new address is used", func() bool {
		w.satisfied(fmt.Sprint("b", time.Now().UnixNano()), 1)
		return calls(next) > 0
	})
	before := calls(old)
	if n := w.satisfied("c", 8); n != 8 || calls(old) > before {
		t.Error("the old address was used after the list had named the new one")
	}
}

func TestDrainingSearcherGetsNothing(t *testing.T) {
	w := prepare(t).start()
	w.satisfied("a", 4)
	for index, status := range []string{"DRAINING", "DELETED"} {
		s := w.searchers[index]
		w.list.SayOnce("not a list") // the watch is made anew, and hears what it has missed
		w.list.Say(changed(int64(2+index), s.Entry(status)))
		w.until(status+" is heard", func() bool {
			before := calls(s)
			w.satisfied(fmt.Sprint("b", time.Now().UnixNano()), 6)
			return calls(s) == before
		})
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
	w.until("the list that is back is heard", func() bool {
		before := calls(w.searchers[1])
		w.satisfied(fmt.Sprint("c", time.Now().UnixNano()), 6)
		return calls(w.searchers[1]) == before
	})
}

func TestClientThatLeavesFreesItsPlace(t *testing.T) {
	w := prepare(t)
	w.of("PolicyLimits")["MaxOpen"] = 5
	hold := make(chan toy.Part, 100)
	for _, s := range w.searchers {
		s.Handle = func(p toy.Part) { hold <- p }
	}
	w.start()
	nc, err := net.Dial("tcp", w.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
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

func TestIdleConnectionsAreClosedFirst(t *testing.T) {
	w := prepare(t)
	w.of("PolicyLimits")["KeepaliveMs"] = 800.0
	w.start()
	w.satisfied("a", 4)
	used := time.Now()
	for _, s := range w.searchers {
		if s.Conns() == 0 {
			t.Error("no connection to begin with")
		}
	}
	w.until("idle connections are closed", func() bool { return w.conns() == 0 })
	if after := time.Since(used); after < 500*time.Millisecond || after > 800*time.Millisecond {
		t.Errorf("closed after %v, want well before 800 ms but not at once", after)
	}
	if n := w.satisfied("b", 4); n != 4 {
		t.Errorf("%d of 4 lookups were answered whole afterwards", n)
	}
}

func TestConnectionsCarryOnlySoMany(t *testing.T) {
	w := prepare(t)
	w.of("PolicyLimits")["MaxStreams"] = 2
	w.of("FamilyInfo")["PerCall"] = 1
	for _, s := range w.searchers {
		s.Took = 300 * time.Millisecond
	}
	w.searchers = []*toy.Searcher{w.searchers[0], w.searchers[2]}
	w.start()
	if r := w.ask("a", "all", 0, 1, 2, 3, 4, 5, 6, 7); !r.Complete {
		t.Errorf("%+v", r)
	}
	for _, s := range w.searchers {
		if n := s.Conns(); n != 2 {
			t.Errorf("four parts at once went to %s on %d connections, want 2", s.Name, n)
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
	began := time.Now()
	var rude []net.Conn
	for i := range 100 {
		nc, err := net.Dial("tcp", w.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		io.WriteString(nc, []string{"", "POST /api HT", "POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{"}[i%3])
		rude = append(rude, nc)
		time.Sleep(20 * time.Millisecond)
	}
	if n := w.satisfied("a", 5); n != 5 || usual != 0 {
		t.Errorf("%d of 5 lookups were answered whole, on %d new connections", n, usual)
	}
	if n := w.files(); n > 64 {
		t.Errorf("%d descriptors are open, want 64 at most", n)
	}
	for _, nc := range rude {
		nc.SetDeadline(began.Add(5 * time.Second))
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
	before := w.files()
	for i := range 100 {
		w.client = &http.Client{Transport: &http.Transport{}}
		defer w.client.CloseIdleConnections()
		if r := w.ask(fmt.Sprint("a", i), "all", 0, 1); !r.Complete {
			t.Fatalf("lookup %d: %+v", i, r)
		}
	}
	if n := w.files() - before - w.conns(); n > 62 {
		t.Errorf("%d connections of clients are open, want 60 of 240 descriptors", n)
	}
}

// TestFewConnections has fewer connections allowed than there are searchers: one that lies idle gives way. Two
// lookups of one slice at a time, held until both are out, need both of its holders.
func TestFewConnections(t *testing.T) {
	w := prepare(t)
	w.limits["sockets"] = 38
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

// TestNothingIsLeftOpen has clients and searchers come and go, and counts descriptors.
func TestNothingIsLeftOpen(t *testing.T) {
	w := prepare(t)
	w.searchers[0].Handle = func(p toy.Part) { p.Conn.Close() }
	w.start()
	w.satisfied("a", 20)
	before := w.files()
	w.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range 30 {
		nc, err := net.Dial("tcp", w.addr)
		if err != nil {
			t.Fatal(err)
		}
		w.request(fmt.Sprint("left", i), "all", "2000", shards("x", 0, 1)).Write(nc)
		nc.Close()
		w.satisfied(fmt.Sprint("b", i), 3)
	}
	w.until("all that was opened is closed", func() bool { return w.files() <= before+2 })
}

// TestEveryGoroutineEnds runs the program in this process, with clients that leave, a searcher that breaks off and
// one that is silent: no goroutines pile up, and none is left when it has ended.
func TestEveryGoroutineEnds(t *testing.T) {
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
		ended <- run(ctx, nil, paths{config: path}, settings.Settings{}, slog.New(slog.NewTextHandler(&w.log, nil)))
	}()
	w.until("health", func() bool { return w.health() == http.StatusOK })
	if procs, memory := runtime.GOMAXPROCS(0), debug.SetMemoryLimit(-1); procs != 1 || memory <= 0 || memory >= 192<<20 {
		t.Errorf("the runtime knows of %d cores and %d bytes, of 1 and 192 MB", procs, memory)
	}
	for round := range 3 {
		for i := range 20 {
			hurried, cancel := context.WithTimeout(ctx, 3*time.Millisecond)
			w.do(w.request(fmt.Sprintf("left%d.%d", round, i), "all", "2000", shards("x", 0, 1, 2, 3)).WithContext(hurried))
			cancel()
			w.ask(fmt.Sprintf("a%d.%d", round, i), "half", 0, 1, 2, 3)
		}
		w.client.CloseIdleConnections()
		w.until("goroutines are as few as connections ask for", func() bool {
			return running() <= 2*w.conns()+5 // a reader and a writer each, the list's watch, ticks, the sweeps, the server
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

// TestReload has SIGHUP name other discoveries while lookups go on: the list follows each, whose versions start
// anew, also from one that is silent; a file that is no use changes nothing; none of it costs a lookup.
func TestReload(t *testing.T) {
	w := prepare(t).start()
	load, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for i := range 3 {
		wg.Go(func() {
			for n := 0; load.Err() == nil; n++ {
				if r := w.ask(fmt.Sprintf("load%d.%d", i, n), "all", 0, 1, 2, 3); r.status != http.StatusOK || !r.Complete {
					t.Errorf("lookup %d of %d: status %d", n, i, r.status)
				}
			}
		})
	}
	idle := func(i int) bool { // whether the searcher is asked nothing any more
		before := calls(w.searchers[i])
		time.Sleep(100 * time.Millisecond)
		return calls(w.searchers[i]) == before
	}
	without := func(index int64, gone int) *httptest.Server {
		m := w.whole(index, nil)
		m.Endpoints = append(m.Endpoints[:gone:gone], m.Endpoints[gone+1:]...)
		list := &toy.List{Beat: 100 * time.Millisecond}
		list.Say(m)
		return w.serveList(list)
	}
	w.list.Say(changed(41, w.searchers[0].Entry("DRAINING")))
	w.until("the first list is heard", func() bool { return idle(0) })

	w.write(without(3, 2)) // its versions are lower, it has the first searcher back and lacks the third
	w.signal(syscall.SIGHUP)
	w.until("the second list is heard", func() bool { return !idle(0) && idle(2) })

	hung := make(chan struct{}, 10)
	w.write(w.serveList(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		hung <- struct{}{}
		<-r.Context().Done()
	})))
	w.signal(syscall.SIGHUP)
	<-hung
	if idle(0) || !idle(2) {
		t.Error("the list was not kept while discovery is silent")
	}
	w.limits["memory_mb"] = 100
	w.write(without(3, 1))
	w.signal(syscall.SIGHUP)
	w.until("the fourth list is heard", func() bool { return idle(1) && !idle(2) })
	if !strings.Contains(w.log.String(), "fields=[limits]") {
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
	if !idle(1) || idle(2) {
		t.Error("the list was not kept with a file that is no use")
	}
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

// TestLeavingUnderLoad has SIGTERM come while clients go on: none may be lost.
func TestLeavingUnderLoad(t *testing.T) {
	w := prepare(t)
	for _, s := range w.searchers {
		s.Took = 200 * time.Millisecond
	}
	all := w.settings["Profiles"].([]object)[0]
	all["AimMs"], all["DeadlineMs"] = 10000.0, 10000.0 // so that none is turned away for its time
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
	time.Sleep(300 * time.Millisecond)
	w.signal(syscall.SIGTERM)
	time.Sleep(50 * time.Millisecond)
	heard := time.Now()
	if code := w.health(); code != http.StatusServiceUnavailable {
		t.Errorf("health is %d while leaving, want 503", code)
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
			if late++; r.closing {
				t.Error("an answer given soon after SIGTERM ends its connection, where there may be no other mixer")
			}
		}
	}
	if n < 16 || late < 8 {
		t.Errorf("%d lookups answered, %d while leaving", n, late)
	}
}

// TestLeavingWithUnusedConnections sees to it that a client which never says anything does not hold the mixer up.
func TestLeavingWithUnusedConnections(t *testing.T) {
	for _, sig := range []os.Signal{syscall.SIGTERM, syscall.SIGINT} {
		w := prepare(t).start()
		nc, err := net.Dial("tcp", w.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		w.satisfied("a", 1)
		w.signal(sig)
		if code := w.exit(1500 * time.Millisecond); code != 0 {
			t.Errorf("%v: exit code %d, want 0", sig, code)
		}
	}
}

// TestLeavingBeforeTheKill has a lookup open for longer than there is time to leave: it fails, but is answered.
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
	w.signal(syscall.SIGTERM)
	code := w.exit(5 * time.Second)
	if took := time.Since(began); code != 0 || took > 3700*time.Millisecond {
		t.Errorf("exit code %d after %v, want 0 before SIGKILL may come", code, took)
	}
	if r := <-got; r.status != http.StatusBadGateway {
		t.Errorf("the lookup is answered %d, want 502", r.status)
	}
}

func TestBadConfigurationIsNamed(t *testing.T) {
	for want, change := range map[string]func(w *world){
		"Guarantees.ColdFrom":      func(w *world) { w.of("Guarantees")["ColdFrom"] = 2 },
		"PolicyLimits.MaxStreams":  func(w *world) { delete(w.of("PolicyLimits"), "MaxStreams") },
		"limits.memory_mb":         func(w *world) { w.limits["memory_mb"] = 0 },
		"limits.sockets":           func(w *world) { w.limits["sockets"] = -4 },
		"FamilyInfo.FetchParts is": func(w *world) { w.of("FamilyInfo")["FetchParts"] = []int{0, 3} },
	} {
		w := prepare(t)
		change(w)
		w.launch()
		if code := w.exit(5 * time.Second); code != 1 || !strings.Contains(w.log.String(), want) {
			t.Errorf("exit code %d, log %q, want 1 and %q named", code, w.log.String(), want)
		}
	}
}

// TestExample does what the example's page says.
func TestExample(t *testing.T) {
	dir := t.TempDir()
	player := filepath.Join(dir, "example")
	if out, err := exec.Command("go", "build", "-o", player, "../../example").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	path := "../../example/config.json"
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var config struct{ Listen string }
	if err := json.Unmarshal(raw, &config); err != nil {
		t.Fatal(err)
	}
	w := &world{t: t, client: http.DefaultClient, addr: config.Listen}
	for _, cmd := range []*exec.Cmd{exec.Command(player, "-config", path), exec.Command(binary)} {
		cmd.Env = append(os.Environ(), "LB_CONFIG="+path)
		cmd.Stderr = &w.log
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		defer func() {
			cmd.Process.Kill()
			cmd.Wait()
		}()
	}
	w.until("health", func() bool { return w.health() == 200 })
	w.until("a lookup is served", func() bool { return w.ask(fmt.Sprint("a", time.Now().UnixNano()), "any-half", 0, 1, 2, 3).Complete })
}
