package transport

import (
	"context"
	"net"
	"net/http"
	"time"
)

// use is what a connection of a client is taken up with, that which is given up first for another's place foremost.
// Sound clients send as soon as they are connected and come back on connections that have served them, so those go
// last: a crowd that only connects takes the places of its own kind.
type use int

const (
	closing  use = iota // ended by us, until its client closes too
	stuck               // longer without a sound request, or the rest of one, than a sound client leaves it
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
	begun, since := c.stream.Started(), c.since
	if begun && c.asked > 0 {
		since = c.seen
	}
	long := time.Since(since)
	switch {
	case c.over:
		return closing, since
	case begun && c.stream.Complete || !begun && c.state == http.StateActive:
		return busy, since
	case begun && long <= s.Limits.SlowRequestAfter:
		return incoming, since
	case begun || c.asked == 0 && (c.state == http.StateIdle || long > s.Limits.SlowRequestAfter):
		return stuck, since
	case c.asked == 0:
		return silent, since
	case c.asked == 1 && long > s.Limits.SingleRequestIdle || long > s.Limits.ReusedIdle:
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
	s := d.s
	nc, err := d.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &client{Conn: nc, drain: s.Limits.CloseTimeout, since: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.conns) >= s.Limits.ClientEvictionThreshold() {
		full := len(s.conns) >= s.Limits.MaxClientConns()
		if !full && s.staying() < s.Limits.ClientEvictionThreshold() {
			break
		}
		if o, u := s.spare(full); o != nil {
			if o.end(s, u) && full { // its descriptor is needed at once
				o.Conn.Close()
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

// staying counts the connections that we have not ended. The lock is held.
func (s *Server) staying() (n int) {
	for c := range s.conns {
		if u, _ := c.use(s); u != closing {
			n++
		}
	}
	return n
}

// spare gives the connection to be given up first, the longest in its use of those in the same, nil if all are
// being answered. Only where all places are taken it is one whose first request may be on its way, or that is closing.
// The lock is held.
func (s *Server) spare(full bool) (best *client, least use) {
	least, from := busy, time.Time{}
	for o := range s.conns {
		u, since := o.use(s)
		if !full && (u == closing || u == silent || u == incoming) {
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
		if u == closing {
			continue
		}
		if u == unneeded || u == stuck && time.Since(since) > s.Limits.SingleRequestIdle || all && u < incoming {
			o.end(s, u)
		}
	}
}

// sweep closes unneeded connections until the context ends.
func (s *Server) sweep(ctx context.Context) {
	every := time.NewTicker(s.Limits.SlowRequestAfter)
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
