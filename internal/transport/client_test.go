package transport

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"nettlefold/example/toy"
	"nettlefold/internal/charter"
	"nettlefold/internal/protocol"
	"nettlefold/internal/routing"
	"nettlefold/mixer"
)

// serving is a server with its listener and searchers, all of which hold the one slice.
type serving struct {
	*Server
	l   net.Listener
	far []*toy.Searcher
}

// open makes a server on a listener, as wrapped, which does not accept yet. All ends with the test.
func open(t *testing.T, effect mixer.Effect, wrap func(net.Listener) net.Listener, far ...*toy.Searcher) *serving {
	t.Helper()
	limits := charter.Limits{KeepAliveTimeout: time.Hour, ConnectTimeout: time.Second, WriteTimeout: time.Second, MaxStreamsPerConn: 9, FileDescriptors: 99, MaxFrameBytes: 999,
		Shards: 1, MaxBodyBytes: 999, MaxHeaderBytes: 999, ReadTimeout: time.Minute, SlowRequestAfter: time.Minute, SingleRequestIdle: time.Minute, ReusedIdle: time.Minute, MaxIDBytes: 64,
		MaxDeadline: 5 * time.Second, ConnectAfterTerm: 400 * time.Millisecond, KillAfterTerm: time.Minute, CloseTimeout: 5 * time.Second}
	searchers := NewSearchers(limits, quiet)
	t.Cleanup(searchers.Close)
	var names []string
	for i, f := range far {
		f.Name = fmt.Sprint("s", i)
		names = append(names, f.Name)
		if err := f.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(f.Stop)
		searchers.Listed(protocol.MemberList{Members: []protocol.Member{{Entry: routing.Entry{Searcher: f.Name}, Address: f.Address}}})
	}
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { tcp.Close() })
	s := &Server{Router: router(t, effect, names...), Searchers: searchers, Tariffs: map[string]int{"t": 0}, Limits: limits, Log: quiet}
	l := wrap(tcp)
	s.Open(l)
	return &serving{s, l, far}
}

// start has the server accept, and gives what comes of that.
func (s *serving) start(t *testing.T) <-chan error {
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	return served
}

func (s *serving) dial(t *testing.T) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", s.l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetReadDeadline(time.Now().Add(10 * time.Second))
	return nc
}

// idle counts the connections that net/http holds for idle.
func (s *serving) idle() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.state == http.StateIdle {
			n++
		}
	}
	return n
}

// sent tells whether a searcher has got a part of a request.
func (s *serving) sent(id string) bool {
	return slices.ContainsFunc(s.far, func(f *toy.Searcher) bool {
		return slices.ContainsFunc(f.Frames(), func(frame string) bool { return strings.HasPrefix(frame, "Q"+id+".") })
	})
}

// request is a request of one part.
func request(id string) []byte {
	body := `{"shards":[{"shard":0,"weight":1}],"q":"x"}`
	return fmt.Appendf(nil, "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: %s\r\nX-Lane: t\r\nX-Remaining-Ms: 5000\r\nContent-Length: %d\r\n\r\n%s",
		id, len(body), body)
}

// answered reads one answer and gives its status.
func answered(t *testing.T, r *bufio.Reader) int {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err == nil {
		_, err = io.ReadAll(resp.Body)
	}
	if err != nil {
		t.Fatalf("answer: %v", err)
	}
	return resp.StatusCode
}

func plain(l net.Listener) net.Listener { return l }

// TestClientThatHasGone has a client go at moments at which net/http does not look: before its connection is accepted, with its
// request, and behind a byte of a next request. Nothing is sent on for it, first or again.
func TestClientThatHasGone(t *testing.T) {
	t.Run("before it is accepted", func(t *testing.T) {
		s := open(t, mixer.Idempotent, behindGates, &toy.Searcher{}) // so net/http does not look in time
		nc := s.dial(t)
		nc.Write(request("gone"))
		nc.Close()
		s.start(t)
		nc = s.dial(t) // accepted after it
		nc.Write(request("here"))
		if status := answered(t, bufio.NewReader(nc)); status != http.StatusOK {
			t.Errorf("a client that stays is answered %d", status)
		}
		for on, n := <-s.l.(*gated).on, 0; n < 9; n++ {
			on <- struct{}{}
		}
		until(t, "the first connection has ended", func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return len(s.conns) <= 1
		})
		if s.sent("gone") {
			t.Error("a request is sent on whose client had gone before it was accepted")
		}
	})
	t.Run("behind a byte of a next request", func(t *testing.T) {
		parts := make(chan toy.Part, 9)
		take := func(p toy.Part) { parts <- p }
		s := open(t, mixer.Idempotent, plain, &toy.Searcher{Handle: take}, &toy.Searcher{Handle: take})
		s.start(t)
		nc := s.dial(t)
		nc.Write(request("gone"))
		p := <-parts
		nc.Write([]byte("P"))
		nc.Close()
		time.Sleep(100 * time.Millisecond) // the time after which no attempt may begin
		p.Answer("busy", "")
		select {
		case <-parts:
			t.Error("a part is sent again whose client has gone")
		case <-time.After(100 * time.Millisecond):
		}
	})
}

// gated lets connections in whose reader, after one read, stops before each until it is let on, as it is where net/http has it
// give up.
type gated struct {
	net.Listener
	on chan chan struct{} // of each connection
}

type gatedConn struct {
	*net.TCPConn
	on chan struct{}
}

func behindGates(tcp net.Listener) net.Listener { return &gated{tcp, make(chan chan struct{}, 9)} }

func (l *gated) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := gatedConn{nc.(*net.TCPConn), make(chan struct{}, 99)}
	c.on <- struct{}{}
	l.on <- c.on
	return c, nil
}

func (c gatedConn) Read(b []byte) (int, error) {
	<-c.on
	return c.TCPConn.Read(b)
}

func (c gatedConn) SetReadDeadline(at time.Time) error {
	err := c.TCPConn.SetReadDeadline(at)
	if !at.IsZero() && at.Before(time.Now()) {
		c.on <- struct{}{}
	}
	return err
}

// TestCloseOverUnreadBytes has a request lie unread in the system's buffer when its connection is ended, idle or with an answer: the
// client gets the answer before and then a plain end, no reset, and what crossed is not served.
func TestCloseOverUnreadBytes(t *testing.T) {
	for name, idle := range map[string]bool{"an idle connection": true, "one that ends with its answer": false} {
		t.Run(name, func(t *testing.T) {
			parts := make(chan toy.Part, 9)
			s := open(t, mixer.Idempotent, behindGates, &toy.Searcher{Handle: func(p toy.Part) { parts <- p }})
			s.start(t)
			nc := s.dial(t)
			r := bufio.NewReader(nc)
			nc.Write(request("a"))
			p := <-parts
			if idle {
				p.Answer("ok", "v")
				until(t, "the connection is idle", func() bool { return s.idle() == 1 })
			}
			nc.Write(request("crossing"))
			if idle {
				s.closeUnused(true)
			} else {
				s.ending.Store(true)
				p.Answer("ok", "v")
			}
			if status := answered(t, r); status != http.StatusOK {
				t.Errorf("the answer before is %d", status)
			}
			for on, n := <-s.l.(*gated).on, 0; n < 9; n++ {
				on <- struct{}{}
			}
			if rest, err := io.ReadAll(r); err != nil || len(rest) > 0 {
				t.Errorf("then comes %q, %v, want the end", rest, err)
			}
			if s.sent("crossing") {
				t.Error("a request that crossed the end is sent on")
			}
		})
	}
}
