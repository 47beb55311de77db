package scale

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// wires are a hollow mixer's connections. They count payload: what is read from and written to the connection, without headers
// of TCP and IP.
type wires struct {
	in, out atomic.Int64 // bytes
	dials   atomic.Int64

	mu   sync.Mutex
	cut  bool
	open map[*counted]bool
}

type counted struct {
	net.Conn
	w *wires
}

var errCut = errors.New("this mixer has crashed")

func (w *wires) dial(ctx context.Context, network, address string) (net.Conn, error) {
	w.dials.Add(1)
	d := net.Dialer{Timeout: 5 * time.Second}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut {
		c.Close()
		return nil, errCut
	}
	if w.open == nil {
		w.open = map[*counted]bool{}
	}
	k := &counted{c, w}
	w.open[k] = true
	return k, nil
}

// crash ends all connections at once, so that no goodbye is said, and has no new ones come up.
func (w *wires) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = true
	for c := range w.open {
		c.Conn.Close()
	}
}

// SetReadBuffer is for whoever bounds what the system holds.
func (c *counted) SetReadBuffer(bytes int) error { return c.Conn.(*net.TCPConn).SetReadBuffer(bytes) }

func (c *counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.w.in.Add(int64(n))
	return n, err
}

func (c *counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.w.out.Add(int64(n))
	return n, err
}

func (c *counted) Close() error {
	c.w.mu.Lock()
	delete(c.w.open, c)
	c.w.mu.Unlock()
	return c.Conn.Close()
}
