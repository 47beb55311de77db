package transport

import (
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"nettlefold/internal/protocol"
)

type connKey struct{}

// client is one connection of a client. It follows its bytes, and keeps when the request at hand was first seen.
type client struct {
	net.Conn
	drain time.Duration // for what still comes once we have ended it

	mu       sync.Mutex
	stream   protocol.RequestStream
	seen     time.Time // the first bytes of the request at hand
	asked    int       // sound requests that have come
	gone     bool      // the client has closed, behind a request that is in whole
	spare    int       // bytes that came behind such a request, not handed on
	answered bool      // the newest request that has come in whole, in part at least
	over     bool      // we have ended it: what still comes is not served
	until    time.Time // then, for how long

	// The server's lock holds for these.
	state http.ConnState
	since time.Time // of the state
}

// spareMost are the bytes behind a whole request that are read past in search of the client's going.
const spareMost = 64 << 10

// Read notes what comes. What crosses the connection's end is read past: its client sends it again, and it would run twice.
// So is what comes behind a whole request that is not answered yet. It guards against two ways of not seeing that a client
// has gone: net/http stops looking at the first such byte, and it only begins to look when the request is being served.
func (c *client) Read(b []byte) (int, error) {
	for {
		if c.spoilt() {
			return 0, io.EOF
		}
		n, err := c.Conn.Read(b)
		c.mu.Lock()
		behind := c.note(b[:n])
		over, whole := c.over, c.stream.Complete
		if behind {
			c.spare += n
		}
		past := behind && c.spare <= spareMost
		c.mu.Unlock()
		switch {
		case over && err == nil:
			continue // until the client closes or the drain is over
		case over:
			return 0, net.ErrClosed
		case past && err == nil:
			continue
		case past:
			return 0, err
		case whole && n > 0 && !behind:
			c.look()
		}
		return n, err
	}
}

// spoilt tells whether what has come behind an answered request makes the rest of the connection useless.
func (c *client) spoilt() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answered && c.stream.Fault != "" && !c.over
}

// note takes account of bytes that have come, and tells whether they lie behind a whole request. The lock is held.
func (c *client) note(b []byte) (behind bool) {
	if len(b) == 0 || c.over {
		return false
	}
	if !c.stream.Started() {
		c.seen = time.Now()
	}
	behind = c.stream.Complete
	c.stream.Feed(b)
	return behind
}

// look tells without waiting what lies behind a request that has just come in whole. It guards against serving a client whose
// request and close both lay unread. A byte of a next request is a fault, and is taken as such.
func (c *client) look() {
	raw := rawConn(c.Conn)
	if raw == nil {
		return
	}
	var b [1]byte
	var n int
	var err error
	if raw.Read(func(fd uintptr) bool {
		n, err = syscall.Read(int(fd), b[:])
		return true
	}) != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case n > 0:
		c.note(b[:n])
	case err != syscall.EAGAIN && err != syscall.EINTR:
		c.gone = true
	}
}

// rawConn gives access to a connection's socket, nil if it has none.
func rawConn(nc net.Conn) syscall.RawConn {
	if c, ok := nc.(syscall.Conn); ok {
		if raw, err := c.SyscallConn(); err == nil {
			return raw
		}
	}
	return nil
}

// left tells whether the client has closed behind the request at hand.
func (c *client) left() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gone
}

// end closes the connection if it is still in no more use than told, and says whether it is. It guards against closing one
// whose request has just been read: that would get no answer. Its reader closes it, once the client has closed too.
func (c *client) end(s *Server, most use) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u, _ := c.taken(s); u > most {
		return false
	}
	c.shut()
	return true
}

// shut ends our side. A plain close over unread bytes would reset the connection, and take with it an answer that is still on
// its way. The lock is held.
func (c *client) shut() {
	if c.over {
		return
	}
	c.over, c.until = true, time.Now().Add(c.drain)
	c.Conn.SetReadDeadline(c.until)
	if h, ok := c.Conn.(interface{ CloseWrite() error }); !ok || h.CloseWrite() != nil {
		c.Conn.Close()
	}
}

// Close is net/http's, of a connection that it reads no more. What still comes is read past for a while.
func (c *client) Close() error {
	c.mu.Lock()
	c.shut()
	c.mu.Unlock()
	for b := make([]byte, 1<<10); ; {
		if _, err := c.Conn.Read(b); err != nil {
			return c.Conn.Close()
		}
	}
}

// SetReadDeadline is net/http's too, which knows nothing of the drain's.
func (c *client) SetReadDeadline(at time.Time) error {
	err := c.Conn.SetReadDeadline(at)
	c.mu.Lock()
	over, until := c.over, c.until
	c.mu.Unlock()
	if over {
		return c.Conn.SetReadDeadline(until)
	}
	return err
}

// Write notes that a request which is in whole is being answered: what comes from now on is the next.
func (c *client) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.answered = c.stream.Complete
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
