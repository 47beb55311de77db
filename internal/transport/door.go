package transport

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"nettlefold/internal/protocol"
)

type connKey struct{}

// client is one connection of a client. It follows its bytes, and keeps when the request at hand was first seen.
type client struct {
	net.Conn

	mu     sync.Mutex
	stream protocol.Stream
	seen   time.Time // the first bytes of the request at hand
	asked  int       // sound requests that have come
	over   bool      // closed for being in no use

	// The server's lock holds for these.
	state http.ConnState
	since time.Time // of the state
}

// Read notes what comes. What crosses the connection's end is not read: its client sends it again, and it would run twice.
func (c *client) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over {
		return 0, net.ErrClosed
	}
	if n > 0 {
		if !c.stream.Begun() {
			c.seen = time.Now()
		}
		c.stream.Feed(b[:n])
	}
	return n, err
}

// end closes the connection if it is still in no more use than told, and says whether it is. It guards against closing
// one whose request has just been read: that would get no answer.
func (c *client) end(s *Server, most use) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u, _ := c.taken(s); u > most {
		return false
	}
	c.over = true
	c.Close()
	return true
}

// Write notes that a request which is in whole is being answered: what comes from now on is the next.
func (c *client) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.stream.Next()
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// sound notes that the request at hand is one that clients send.
func (c *client) sound() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked++
}

// arrived gives the earliest moment at which the request at hand is known to have been on its way.
func (c *client) arrived() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.seen
}

// fault gives what is wrong with the connection's bytes, "" if nothing is.
func (c *client) fault() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stream.Fault
}

// use is what a connection of a client is taken up with, that which is given up first for another's place foremost.
// Sound clients send as soon as they are connected and come back on connections that have served them, so those go
// last: a crowd that only connects takes the places of its own kind.
type use int

const (
	stuck    use = iota // longer without a sound request, or the rest of one, than a sound client leaves it
	unneeded            // asked once, long ago
	silent              // new, nothing has come yet
	once                // idle after one request
	idle                // idle after several
	incoming            // some of a request has come
	busy                // its request is being served
)

// use tells what the connection is taken up with, and since when. The server's lock is held.
func (c *client) use(s *Server) (use, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.taken(s)
}

// taken is use under both locks.
func (c *client) taken(s *Server) (use, time.Time) {
	begun, since := c.stream.Begun(), c.since
	if begun && c.asked > 0 {
		since = c.seen
	}
	long := time.Since(since)
	switch {
	case begun && c.stream.Whole || !begun && c.state == http.StateActive:
		return busy, since
	case begun && long <= s.Limits.Prompt:
		return incoming, since
	case begun || c.asked == 0 && (c.state == http.StateIdle || long > s.Limits.Prompt):
		return stuck, since
	case c.asked == 0:
		return silent, since
	case c.asked == 1 && long > s.Limits.Once || long > s.Limits.Kept:
		return unneeded, since
	case c.asked == 1:
		return once, since
	}
	return idle, since
}

// door lets clients in. Where all places are taken it closes a connection that is in no use, so that one which has
// been accepted never waits unread.
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
	for len(s.conns) >= s.Limits.Staying() {
		full := len(s.conns) >= s.Limits.Clients()
		if o, u := s.spare(full); o != nil {
			if o.end(s, u) {
				delete(s.conns, o)
			}
		} else if full {
			s.room.Wait() // all are being answered
		} else {
			break
		}
	}
	s.conns[c] = true
	return c, nil
}

// spare gives the connection to be given up first, the longest in its use of those in the same, nil if all are
// being answered. Only where all places are taken it is one whose first request may be on its way. The lock is held.
func (s *Server) spare(full bool) (best *client, least use) {
	least, from := busy, time.Time{}
	for o := range s.conns {
		u, since := o.use(s)
		if !full && (u == silent || u == incoming) {
			continue
		}
		if u < least || u == least && u < busy && since.Before(from) {
			best, least, from = o, u, since
		}
	}
	return best, least
}

// closeUnused closes the connections that are unneeded, with all set also those on which no request is coming.
func (s *Server) closeUnused(all bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for o := range s.conns {
		u, since := o.use(s)
		if u == unneeded || u == stuck && time.Since(since) > s.Limits.Once || all && u < incoming {
			o.end(s, u)
		}
	}
}

// sweep closes unneeded connections until the context ends.
func (s *Server) sweep(ctx context.Context) {
	every := time.NewTicker(s.Limits.Prompt)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
			s.closeUnused(false)
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
