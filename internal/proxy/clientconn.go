package proxy

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
)

const (
	// aheadMost bounds the bytes of a client's next requests that are read while one runs.
	maxReadAheadBytes = 64 << 10
	// aheadChunk is how many of them are read at a time.
	readAheadChunkBytes = 4 << 10
)

// clientConn is a client's connection whose end is seen while a request runs, also behind bytes of the next one. net/http watches for that end by
// reading a single byte; once it has one it sees no more. From then on this reads ahead.
type clientConn struct {
	*net.TCPConn

	mu            sync.Mutex
	changed       sync.Cond          // of what follows
	buffered      []byte             // was read and not asked for yet
	err           error              // ended the connection's reading; nothing follows ahead
	reading       bool               // a readAhead runs
	cancelRequest context.CancelFunc // ends the request that runs
}

func newClientConn(conn *net.TCPConn) *clientConn {
	c := &clientConn{TCPConn: conn}
	c.changed.L = &c.mu
	return c
}

// Read gives what was read ahead, and then what comes.
func (c *clientConn) Read(into []byte) (int, error) {
	c.mu.Lock()
	for c.reading && len(c.buffered) == 0 && c.err == nil {
		c.changed.Wait()
	}
	if len(c.buffered) > 0 {
		defer c.mu.Unlock()
		n := copy(into, c.buffered)
		c.buffered = c.buffered[n:]
		return n, nil
	}
	if c.err != nil {
		defer c.mu.Unlock()
		return 0, c.err
	}
	c.mu.Unlock()
	n, err := c.TCPConn.Read(into)
	if n == 1 && len(into) == 1 {
		c.mu.Lock()
		c.reading = true
		c.mu.Unlock()
		go c.readAhead()
	}
	return n, err
}

// readAhead reads until the connection ends, a read deadline interrupts it, or aheadMost is there.
func (c *clientConn) readAhead() {
	chunk := make([]byte, readAheadChunkBytes)
	for {
		n, err := c.TCPConn.Read(chunk)
		c.mu.Lock()
		c.buffered = append(c.buffered, chunk[:n]...)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.err = err
			if c.cancelRequest != nil {
				c.cancelRequest()
			}
		}
		c.reading = err == nil && len(c.buffered) < maxReadAheadBytes
		over := !c.reading
		c.changed.Broadcast()
		c.mu.Unlock()
		if over {
			return
		}
	}
}

// runs has a request ended when the client leaves, until the function it gives is called.
func (c *clientConn) cancelOnDisconnect(leave context.CancelFunc) (ended func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelRequest = leave
	if c.err != nil {
		leave()
	}
	return func() {
		c.mu.Lock()
		c.cancelRequest = nil
		c.mu.Unlock()
	}
}

// clientListener accepts clients' connections.
type clientListener struct{ net.Listener }

// Accept waits for the next connection.
func (l clientListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	return newClientConn(tcp), nil
}

// clientConnKey is the key of a request's connection in its context.
type clientConnKey struct{}

// withClientConn notes a connection in the context of its requests.
func withClientConn(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*clientConn); ok {
		return context.WithValue(ctx, clientConnKey{}, c)
	}
	return ctx
}

// untilClientLeaves gives a context that ends when the request's client leaves; end frees what it holds.
func contextUntilDisconnect(parent context.Context) (ctx context.Context, end func()) {
	ctx, cancel := context.WithCancel(parent)
	c, ok := parent.Value(clientConnKey{}).(*clientConn)
	if !ok {
		return ctx, cancel
	}
	ended := c.cancelOnDisconnect(cancel)
	return ctx, func() {
		ended()
		cancel()
	}
}
