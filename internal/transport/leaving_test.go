package transport

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"nettlefold/example/toy"
	"nettlefold/mixer"
)

// holding lets connections in which, once told to, hold their reader up when it has read a request but not looked at it.
type holding struct {
	net.Listener
	hold    atomic.Bool
	held    chan struct{}
	release chan struct{}
}

type held struct {
	net.Conn
	l    *holding
	read atomic.Bool
}

func (l *holding) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	return &held{Conn: nc, l: l}, err
}

func (c *held) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Store(n > 0 && c.l.hold.Load())
	return n, err
}

// SetReadDeadline is called by net/http between the first bytes of a request and the rest.
func (c *held) SetReadDeadline(at time.Time) error {
	if c.read.Load() && c.l.hold.CompareAndSwap(true, false) {
		close(c.l.held)
		<-c.l.release
	}
	return c.Conn.SetReadDeadline(at)
}

// TestRequestReadWhileLeaving has a request read, but not looked at, when unused connections are closed: it is answered.
// One that does not cross finds its connection closed, and none comes to a searcher without an answer to its client.
func TestRequestReadWhileLeaving(t *testing.T) {
	far := &toy.Searcher{}
	l := &holding{held: make(chan struct{}), release: make(chan struct{})}
	s := open(t, mixer.Idempotent, func(tcp net.Listener) net.Listener { l.Listener = tcp; return l }, far)
	served := s.start(t)
	type conn struct {
		net.Conn
		r *bufio.Reader
	}
	ask := func(c conn, id string) { c.Write(request(id)) }
	answer := func(c conn) (status int, closing bool, err error) {
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		resp, err := http.ReadResponse(c.r, nil)
		if err != nil {
			return 0, false, err
		}
		_, err = io.ReadAll(resp.Body)
		return resp.StatusCode, resp.Close, err
	}
	var cs []conn
	for i := range 2 {
		nc, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		c := conn{nc, bufio.NewReader(nc)}
		cs = append(cs, c)
		ask(c, fmt.Sprint("first", i))
		if status, closing, err := answer(c); status != http.StatusOK || closing || err != nil {
			t.Fatalf("first lookup: %d, closing %v, %v", status, closing, err)
		}
	}
	until(t, "both connections are idle", func() bool { return s.idle() == len(cs) })
	l.hold.Store(true)
	ask(cs[0], "crossing")
	<-l.held
	left := make(chan error, 1)
	go func() { left <- s.Leave() }()
	if _, _, err := answer(cs[1]); err != io.ErrUnexpectedEOF {
		t.Errorf("an unused connection ends with %v, want its end", err)
	}
	time.Sleep(50 * time.Millisecond) // no bound: long enough for the connection to be closed, if it were
	close(l.release)
	if status, closing, err := answer(cs[0]); status != http.StatusOK || !closing || err != nil {
		ran := false
		for _, f := range far.Frames() {
			ran = ran || strings.Contains(f, "crossing")
		}
		t.Errorf("a request that had been read: status %d, last on its connection %v, %v; sent to a searcher %v", status, closing, err, ran)
	}
	if err := <-left; err != nil {
		t.Error(err)
	}
	if err := <-served; err != nil {
		t.Error(err)
	}
}
