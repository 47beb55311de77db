package transport

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

type connKey struct{}

// client is one connection of a client. It keeps when the request at hand was first seen.
type client struct {
	net.Conn
	seen  atomic.Int64 // Unix ns of the first bytes of the request at hand, 0 between requests
	state http.ConnState
	since time.Time // of the state
}

// free tells whether no request has begun on it. The server's lock is held.
func (c *client) free() bool { return c.state != http.StateActive && c.seen.Load() == 0 }

// Read notes when a request's first bytes are seen.
func (c *client) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.seen.CompareAndSwap(0, time.Now().UnixNano())
	}
	return n, err
}

// arrived gives the earliest moment at which the request at hand is known to have been on its way.
func arrived(ctx context.Context) time.Time {
	now := time.Now()
	if c, ok := ctx.Value(connKey{}).(*client); ok {
		if at := c.seen.Load(); at > 0 {
			return now.Add(-time.Duration(max(0, now.UnixNano()-at)))
		}
	}
	return now
}

// between tells that the request at hand is done with.
func between(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*client); ok {
		c.seen.Store(0)
	}
}

// door lets clients in. Where all places are taken it closes the connection that has been unused longest, so that
// one which has been accepted never waits unread.
type door struct {
	net.Listener
	s *Server
}

func (d *door) Accept() (net.Conn, error) {
	nc, err := d.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &client{Conn: nc, since: time.Now()}
	s := d.s
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.conns) >= s.Limits.Clients() {
		if o := s.unused(); o != nil {
			delete(s.conns, o)
			o.Close()
		} else {
			s.room.Wait() // all are being answered
		}
	}
	s.conns[c] = true
	return c, nil
}

// unused gives the connection that has been without a request for longest, those that had one before first. The
// lock is held.
func (s *Server) unused() (best *client) {
	for o := range s.conns {
		if o.free() && (best == nil || o.state > best.state ||
			o.state == best.state && o.since.Before(best.since)) {
			best = o
		}
	}
	return best
}

// closeUnused closes the connections without a request.
func (s *Server) closeUnused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for o := range s.conns {
		if o.free() {
			o.Close()
		}
	}
}

// state follows the connections.
func (s *Server) state(nc net.Conn, state http.ConnState) {
	c := nc.(*client)
	s.mu.Lock()
	defer s.mu.Unlock()
	c.state, c.since = state, time.Now()
	if state == http.StateClosed {
		delete(s.conns, c)
	}
	s.room.Broadcast()
}
