package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

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
		nc := w.dial()
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
		nc := w.dial()
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
