package rpc

import (
	"bufio"
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

// ErrClosed is returned for a call whose connection ended before its reply.
var ErrClosed = errors.New("connection closed")

// RemoteError is a failure that the peer itself reported.
type RemoteError struct{ Message string }

func (e *RemoteError) Error() string { return e.Message }

// Client keeps one connection to a peer, dialled when it is first needed and again after a failure.
type Client struct {
	network Network
	addr    string

	dialMutex contextMutex // one dial at a time
	mu        sync.Mutex
	current   *connection // nil while there is none
	closed    bool
}

// connection is one to the peer, and the calls that wait for replies on it.
type connection struct {
	conn       net.Conn
	writeMutex contextMutex

	mu           sync.Mutex
	lastID       uint64
	pending      map[uint64]chan *envelope
	closed       bool
	lastReceived time.Time
}

// NewClient makes a client of the peer at addr (IP:port). It dials nothing yet.
func NewClient(addr string) *Client { return newClient(TCP{}, addr) }

func newClient(network Network, addr string) *Client {
	return &Client{network: network, addr: addr, dialMutex: newContextMutex()}
}

// Addr is the peer's address.
func (c *Client) Addr() string { return c.addr }

// Call sends a request and waits for its reply until ctx ends. A call that ends without any sign of life from the peer closes
// the connection, so that the next one dials anew instead of waiting behind what a lost link holds up.
func (c *Client) Call(ctx context.Context, kind string, request, reply any) error {
	started := time.Now()
	connection, err := c.connect(ctx)
	if err != nil {
		return merry.Prepend(err, "rpc "+kind+" to "+c.addr+": dial")
	}
	body, err := cbor.Marshal(request)
	if err != nil {
		return err
	}
	answer := make(chan *envelope, 1)
	id, err := connection.register(answer)
	if err != nil {
		return merry.Prepend(err, "rpc "+kind+" to "+c.addr)
	}
	defer connection.unregister(id)
	if err := connection.write(ctx, &envelope{ID: id, Kind: kind, Body: body}); err != nil {
		c.discard(connection)
		return merry.Prepend(err, "rpc "+kind+" to "+c.addr+": send")
	}
	select {
	case e := <-answer:
		if e == nil {
			return merry.Prepend(ErrClosed, "rpc "+kind+" to "+c.addr)
		}
		if e.Error != "" {
			return &RemoteError{e.Error}
		}
		if reply == nil {
			return nil
		}
		return cbor.Unmarshal(e.Body, reply)
	case <-ctx.Done():
		if connection.receivedNothingSince(started) {
			c.discard(connection)
		}
		return merry.Prepend(ctx.Err(), "rpc "+kind+" to "+c.addr)
	}
}

// Send writes a one-way message. No error says only that it was handed to the kernel.
func (c *Client) Send(ctx context.Context, kind string, message any) error {
	encoded, err := EncodeOneWay(kind, message)
	if err != nil {
		return merry.Prepend(err, "rpc "+kind+" to "+c.addr+": encode")
	}
	return c.SendEncoded(ctx, encoded)
}

// SendEncoded writes a one-way message that was encoded before, as Send does.
func (c *Client) SendEncoded(ctx context.Context, message EncodedMessage) error {
	connection, err := c.connect(ctx)
	if err != nil {
		return merry.Prepend(err, "rpc to "+c.addr+": dial")
	}
	if err := connection.writeBytes(ctx, message); err != nil {
		c.discard(connection)
		return merry.Prepend(err, "rpc to "+c.addr+": send")
	}
	return nil
}

// Close ends the connection; calls under way fail.
func (c *Client) Close() {
	c.mu.Lock()
	connection := c.current
	c.current, c.closed = nil, true
	c.mu.Unlock()
	if connection != nil {
		connection.close()
	}
}

func (c *Client) state() (*connection, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current, c.closed
}

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
	made := &connection{conn: conn, writeMutex: newContextMutex(), pending: map[uint64]chan *envelope{}, lastReceived: time.Now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		conn.Close()
		return nil, ErrClosed
	}
	c.current = made
	go c.readReplies(made)
	return made, nil
}

func (c *Client) readReplies(connection *connection) {
	reader := bufio.NewReader(connection.conn)
	for {
		e, err := readFrame(reader)
		if err != nil {
			c.discard(connection)
			return
		}
		connection.deliver(e)
	}
}

func (c *Client) discard(connection *connection) {
	c.mu.Lock()
	if c.current == connection {
		c.current = nil
	}
	c.mu.Unlock()
	connection.close()
}

func (c *connection) register(answer chan *envelope) (uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, ErrClosed
	}
	c.lastID++
	c.pending[c.lastID] = answer
	return c.lastID, nil
}

func (c *connection) unregister(id uint64) {
	c.mu.Lock()
	delete(c.pending, id)
	c.mu.Unlock()
}

func (c *connection) deliver(e *envelope) {
	c.mu.Lock()
	c.lastReceived = time.Now()
	answer := c.pending[e.ID]
	delete(c.pending, e.ID)
	c.mu.Unlock()
	if answer != nil {
		answer <- e
	}
}

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

func (c *connection) close() {
	c.conn.Close()
	c.mu.Lock()
	waiting := c.pending
	c.pending, c.closed = map[uint64]chan *envelope{}, true
	c.mu.Unlock()
	for _, answer := range waiting {
		answer <- nil
	}
}
