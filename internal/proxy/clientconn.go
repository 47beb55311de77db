package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
)

const (
	// maxReadAheadBytes bounds what is read ahead of a client's next requests while one runs.
	maxReadAheadBytes = 64 << 10
	// readAheadChunkBytes is the size of one read of readAhead.
	readAheadChunkBytes = 4 << 10
)

// clientConn is a client connection that notices a disconnect while a request runs, even if bytes of
// a pipelined request precede it. net/http watches for the disconnect with a read of a single byte
// and stops watching once it has got one; from then on readAhead continues the watch.
type clientConn struct {
	*net.TCPConn

	mu            sync.Mutex
	changed       sync.Cond          // signals changes of the fields below
	buffered      []byte             // read ahead and not returned by Read yet
	err           error              // final read error, returned once buffered is empty
	reading       bool               // readAhead is running
	cancelRequest context.CancelFunc // cancels the running request; nil between requests
}

func newClientConn(conn *net.TCPConn) *clientConn {
	c := &clientConn{TCPConn: conn}
	c.changed.L = &c.mu
	return c
}

// Read returns the bytes that were read ahead first, then reads from the connection.
func (c *clientConn) Read(buffer []byte) (int, error) {
	c.mu.Lock()
	for c.reading && len(c.buffered) == 0 && c.err == nil {
		c.changed.Wait()
	}
	if len(c.buffered) > 0 {
		defer c.mu.Unlock()
		n := copy(buffer, c.buffered)
		c.buffered = c.buffered[n:]
		return n, nil
	}
	if c.err != nil {
		defer c.mu.Unlock()
		return 0, c.err
	}
	c.mu.Unlock()
	n, err := c.TCPConn.Read(buffer)
	if n == 1 && len(buffer) == 1 { // the read by which net/http watches for a disconnect
		c.mu.Lock()
		c.reading = true
		c.mu.Unlock()
		go c.readAhead()
	}
	return n, err
}

// readAhead reads until the connection ends, a read deadline interrupts it, or maxReadAheadBytes
// are buffered.
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
		finished := !c.reading
		c.changed.Broadcast()
		c.mu.Unlock()
		if finished {
			return
		}
	}
}

// cancelOnDisconnect has cancel called when the client disconnects, until stop is called.
func (c *clientConn) cancelOnDisconnect(cancel context.CancelFunc) (stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelRequest = cancel
	if c.err != nil {
		cancel()
	}
	return func() {
		c.mu.Lock()
		c.cancelRequest = nil
		c.mu.Unlock()
	}
}

// clientListener wraps the accepted TCP connections in a clientConn.
type clientListener struct{ net.Listener }

// Accept waits for the next connection and returns it.
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

// clientConnKey is the context key of a request's clientConn.
type clientConnKey struct{}

// withClientConn stores a connection in the context of its requests.
func withClientConn(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*clientConn); ok {
		return context.WithValue(ctx, clientConnKey{}, c)
	}
	return ctx
}

// contextUntilDisconnect returns a context that is cancelled when the client of a request
// disconnects; end releases its resources.
func contextUntilDisconnect(parent context.Context) (ctx context.Context, end func()) {
	ctx, cancel := context.WithCancel(parent)
	c, ok := parent.Value(clientConnKey{}).(*clientConn)
	if !ok {
		return ctx, cancel
	}
	stop := c.cancelOnDisconnect(cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// resetUntilComplete has the connection of a client of HTTP/1.0 end with a reset until complete is
// called, also if the process ends: the end of the connection is what tells such a client that an
// answer without a length is whole. Clients of HTTP/1.1 get other framing.
func resetUntilComplete(request *http.Request) (complete func()) {
	c, ok := request.Context().Value(clientConnKey{}).(*clientConn)
	if !ok || request.ProtoAtLeast(1, 1) {
		return func() {}
	}
	const discardUnsent, sendAll = 0, -1
	c.SetLinger(discardUnsent)
	return func() { c.SetLinger(sendAll) }
}
