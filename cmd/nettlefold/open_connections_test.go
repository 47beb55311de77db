package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// sender is a client's connection on which requests are sent for as long as it stays open.
type sender struct {
	id       string
	pieces   int           // in which a request is written
	pause    time.Duration // between an answer and the next request
	answered int           // requests
	last     time.Time     // when the connection had ended
	crossed  string        // the request that crossed its end, if one did
	fault    error
}

// talk sends requests until the connection is closed or an answer says that it is the last on it.
func (s *sender) talk(addr string) {
	defer func() { s.last = time.Now() }()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		s.fault = err
		return
	}
	defer nc.Close()
	r := bufio.NewReader(nc)
	body := shards("x", 0, 1)
	for n := 0; ; n++ {
		id := fmt.Sprintf("%s-%d", s.id, n)
		request := fmt.Sprintf("POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: %s\r\nX-Lane: all\r\nX-Remaining-Ms: 9000\r\nContent-Length: %d\r\n\r\n%s",
			id, len(body), body)
		for len(request) > 0 && err == nil {
			cut := min(len(request), 200/s.pieces)
			_, err = nc.Write([]byte(request[:cut]))
			request = request[cut:]
		}
		nc.SetReadDeadline(time.Now().Add(20 * time.Second)) // more than any answer may take
		if _, none := r.Peek(1); err != nil || none != nil { // closed before the answer's first byte
			if err = errors.Join(err, none); errors.Is(err, os.ErrDeadlineExceeded) {
				s.fault = fmt.Errorf("%s has no answer and its connection stays open: %w", id, err)
			}
			s.crossed = id
			return
		}
		resp, err := http.ReadResponse(r, nil)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		if err != nil {
			s.fault = fmt.Errorf("the answer to %s breaks off: %w", id, err)
			return
		}
		if resp.StatusCode != http.StatusOK {
			s.fault = fmt.Errorf("%s is answered %d", id, resp.StatusCode)
		}
		s.answered++
		if resp.Close {
			if more, _ := io.ReadAll(r); len(more) > 0 {
				s.fault = fmt.Errorf("after the last answer, to %s, comes %q", id, more)
			}
			return
		}
		if r.Buffered() > 0 {
			s.fault = fmt.Errorf("%s has more than one answer", id)
			return
		}
		time.Sleep(s.pause)
	}
}

// TestRequestsAfterTheSignal sends on each connection that stays open from before SIGTERM up to the program's end. Each request
// has its one answer, or its connection was closed before one came; then nothing of it was done, since the client sends it again.
// For as long as the platform still sends new connections, none is closed.
func TestRequestsAfterTheSignal(t *testing.T) {
	w := unhurried(t, 150*time.Millisecond)
	w.start()
	var wg sync.WaitGroup
	var senders []*sender
	for i := range 24 {
		s := &sender{id: fmt.Sprintf("c%d", i), pieces: 1 + i%3, pause: time.Duration(i%6) * 17 * time.Millisecond}
		senders = append(senders, s)
		wg.Go(func() { s.talk(w.addr) })
	}
	time.Sleep(300 * time.Millisecond)
	signalled := time.Now()
	w.signal(syscall.SIGTERM)
	for i := range 8 { // new ones, while they still come
		s := &sender{id: fmt.Sprintf("n%d", i), pieces: 1 + i%3}
		if time.Since(signalled) < 300*time.Millisecond {
			senders = append(senders, s)
			wg.Go(func() { s.talk(w.addr) })
		}
		time.Sleep(30 * time.Millisecond)
	}
	wg.Wait()
	if code := w.exit(10 * time.Second); code != 0 {
		t.Errorf("exit code %d, want 0", code)
	}
	var frames strings.Builder
	for _, s := range w.searchers {
		frames.WriteString(strings.Join(s.Frames(), "\n"))
	}
	answered, crossed := 0, 0
	for _, s := range senders {
		if answered += s.answered; s.fault != nil {
			t.Errorf("connection %s: %v", s.id, s.fault)
		}
		if s.crossed != "" {
			if crossed++; strings.Contains(frames.String(), s.crossed+".") {
				t.Errorf("%s was sent on to a searcher, and has no answer", s.crossed)
			}
		}
		if after := s.last.Sub(signalled); after < 400*time.Millisecond {
			t.Errorf("connection %s ended %v after SIGTERM, where there may be no other mixer", s.id, after)
		}
	}
	if answered < 3*len(senders) {
		t.Errorf("%d requests answered on %d connections", answered, len(senders))
	}
	t.Logf("%d requests answered on %d connections, %d crossed the end of theirs", answered, len(senders), crossed)
}
