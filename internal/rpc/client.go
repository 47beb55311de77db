package rpc

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
)

const (
	dialTimeout  = 600 * time.Millisecond
	writeTimeout = 600 * time.Millisecond
)

// ErrClosed is returned when the connection fails or the client is closed before a call's reply arrives.
var ErrClosed = errors.New("connection closed")

// RemoteError is an error that the peer's handler returned. Its text is the handler's, without the call
// and the peer.
type RemoteError struct{ Message string }

func (e *RemoteError) Error() string { return e.Message }

// Client keeps one connection to a peer. It dials when the connection is first needed and again after
// a failure. It is safe for concurrent use.
type Client struct {
	network Network
	addr    string

	dialMutex contextMutex // allows one dial at a time
	mu        sync.Mutex
	current   *connection // nil if not connected
	closed    bool
}

// connection is one connection to the peer and the calls that wait for a reply on it.
type connection struct {
	conn       net.Conn
	writeMutex contextMutex

	mu           sync.Mutex
	lastID       uint64
	pending      map[uint64]chan *envelope // reply channels by call ID
	closed       bool
	lastReceived time.Time // when the last frame arrived
}

// NewClient returns a client for the peer at addr (IP:port). It doesn't dial yet.
func NewClient(addr string) *Client { return newClient(TCP{}, addr) }

func newClient(network Network, addr string) *Client {
	return &Client{network: network, addr: addr, dialMutex: newContextMutex()}
}

// Addr returns the peer's address.
func (c *Client) Addr() string { return c.addr }

// Call sends a request and decodes its reply into reply, unless reply is nil. It fails with a
// *RemoteError if the peer's handler failed. If ctx is done and nothing was received from the peer
// since the call began, the connection is closed, so that the next call dials again instead of waiting
// behind data that a failed link holds up. An error of the encoding of request is returned as it is.
func (c *Client) Call(ctx context.Context, kind string, request, reply any) error {
	startedAt := time.Now()
	connection, err := c.connect(ctx)
	if err != nil {
		return merry.Prepend(err, "rpc: call "+kind+" at "+c.addr+": connect")
	}
	body, err := cbor.Marshal(request)
	if err != nil {
		return err
	}
	replies := make(chan *envelope, 1)
	id, err := connection.register(replies)
	if err != nil {
		return merry.Prepend(err, "rpc: call "+kind+" at "+c.addr)
	}
	defer connection.unregister(id)
	if err := connection.write(ctx, &envelope{ID: id, Kind: kind, Body: body}); err != nil {
		c.discard(connection)
		return merry.Prepend(err, "rpc: call "+kind+" at "+c.addr+": send")
	}
	select {
	case e := <-replies:
		if e == nil {
			return merry.Prepend(ErrClosed, "rpc: call "+kind+" at "+c.addr)
		}
		if e.Error != "" {
			return &RemoteError{e.Error}
		}
		if reply == nil {
			return nil
		}
		return cbor.Unmarshal(e.Body, reply)
	case <-ctx.Done():
		if connection.receivedNothingSince(startedAt) {
			c.discard(connection)
		}
		return merry.Prepend(ctx.Err(), "rpc: call "+kind+" at "+c.addr)
	}
}

// Send sends a one-way message. A nil error means only that the kernel accepted it.
func (c *Client) Send(ctx context.Context, kind string, message any) error {
	encoded, err := EncodeOneWay(kind, message)
	if err != nil {
		return merry.Prepend(err, "rpc: send "+kind+" to "+c.addr+": encode")
	}
	return c.SendEncoded(ctx, encoded)
}

// SendEncoded sends an already encoded one-way message, like Send.
func (c *Client) SendEncoded(ctx context.Context, message EncodedMessage) error {
	connection, err := c.connect(ctx)
	if err != nil {
		return merry.Prepend(err, "rpc: send to "+c.addr+": connect")
	}
	if err := connection.writeBytes(ctx, message); err != nil {
		c.discard(connection)
		return merry.Prepend(err, "rpc: send to "+c.addr+": write")
	}
	return nil
}

// Close closes the connection. Pending and later calls fail with ErrClosed.
func (c *Client) Close() {
	c.mu.Lock()
	connection := c.current
	c.current, c.closed = nil, true
	c.mu.Unlock()
	if connection != nil {
		connection.close()
	}
}

// state returns the current connection, or nil, and whether the client is closed.
func (c *Client) state() (*connection, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current, c.closed
}

// connect returns the current connection, dialing if there is none.
func (c *Client) connect(ctx context.Context) (*connection, error) {
	if connection, closed := c.state(); connection != nil || closed {
		if closed {
			return nil, ErrClosed
		}
		return connection, nil
	}
	if err := c.dialMutex.lock(ctx); err != nil {
		return nil, err
	}
	defer c.dialMutex.unlock()
	if connection, closed := c.state(); connection != nil || closed {
		if closed {
			return nil, ErrClosed
		}
		return connection, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.network.Dial(ctx, c.addr)
	if err != nil {
		return nil, err
	}
	dialed := &connection{conn: conn, writeMutex: newContextMutex(), pending: map[uint64]chan *envelope{}, lastReceived: time.Now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		conn.Close()
		return nil, ErrClosed
	}
	c.current = dialed
	go c.readReplies(dialed)
	return dialed, nil
}

// readReplies delivers replies to their calls until the connection fails.
func (c *Client) readReplies(connection *connection) {
	reader := newFrameReader(connection.conn)
	for {
		e, release, err := reader.next()
		if err != nil {
			c.discard(connection)
			return
		}
		connection.deliver(e)
		release() // the calls that wait bound what is held of their replies
	}
}

// discard closes a connection, and forgets it if it is the current one.
func (c *Client) discard(connection *connection) {
	c.mu.Lock()
	if c.current == connection {
		c.current = nil
	}
	c.mu.Unlock()
	connection.close()
}

// register allocates the ID of a new call, whose reply is sent to replies. A nil reply means that the
// connection was closed.
func (c *connection) register(replies chan *envelope) (uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, ErrClosed
	}
	c.lastID++
	c.pending[c.lastID] = replies
	return c.lastID, nil
}

// unregister removes a call, so that a late reply is ignored.
func (c *connection) unregister(id uint64) {
	c.mu.Lock()
	delete(c.pending, id)
	c.mu.Unlock()
}

// deliver passes a reply to the call with its ID. A reply without a pending call is ignored.
func (c *connection) deliver(e *envelope) {
	c.mu.Lock()
	c.lastReceived = time.Now()
	replies := c.pending[e.ID]
	delete(c.pending, e.ID)
	c.mu.Unlock()
	if replies != nil {
		replies <- e
	}
}

// receivedNothingSince reports whether no frame has arrived since t.
func (c *connection) receivedNothingSince(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastReceived.Before(t)
}

func (c *connection) write(ctx context.Context, e *envelope) error {
	frame, err := encodeFrame(e)
	if err != nil {
		return err
	}
	return c.writeBytes(ctx, frame)
}

func (c *connection) writeBytes(ctx context.Context, frame []byte) error {
	if err := c.writeMutex.lock(ctx); err != nil {
		return err
	}
	defer c.writeMutex.unlock()
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.conn.Write(frame)
	return err
}

// close closes the connection and fails its pending calls.
func (c *connection) close() {
	c.conn.Close()
	c.mu.Lock()
	pending := c.pending
	c.pending, c.closed = map[uint64]chan *envelope{}, true
	c.mu.Unlock()
	for _, replies := range pending {
		replies <- nil
	}
}
