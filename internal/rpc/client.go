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

	dialing turn // one dial at a time
	mu      sync.Mutex
	line    *line
	closed  bool
}

// line is one connection and the calls that wait for replies on it.
type line struct {
	conn    net.Conn
	writing turn

	mu      sync.Mutex
	lastID  uint64
	waiting map[uint64]chan *envelope
	ended   bool
	heard   time.Time
}

// NewClient makes a client of the peer at addr (IP:port). It dials nothing yet.
func NewClient(addr string) *Client { return newClient(TCP{}, addr) }

func newClient(network Network, addr string) *Client {
	return &Client{network: network, addr: addr, dialing: newTurn()}
}

// Addr is the peer's address.
func (c *Client) Addr() string { return c.addr }

// Call sends a request and waits for its reply until ctx ends. A call that ends without any sign of life from the peer closes
// the connection, so that the next one dials anew instead of waiting behind what a lost link holds up.
func (c *Client) Call(ctx context.Context, kind string, request, reply any) error {
	started := time.Now()
	l, err := c.connect(ctx)
	if err != nil {
		return merry.Prepend(err, "rpc "+kind+" to "+c.addr+": dial")
	}
	body, err := cbor.Marshal(request)
	if err != nil {
		return err
	}
	answer := make(chan *envelope, 1)
	id, err := l.expect(answer)
	if err != nil {
		return merry.Prepend(err, "rpc "+kind+" to "+c.addr)
	}
	defer l.forget(id)
	if err := l.write(ctx, &envelope{ID: id, Kind: kind, Body: body}); err != nil {
		c.drop(l)
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
		if l.silentSince(started) {
			c.drop(l)
		}
		return merry.Prepend(ctx.Err(), "rpc "+kind+" to "+c.addr)
	}
}

// Send writes a one-way message. No error says only that it was handed to the kernel.
func (c *Client) Send(ctx context.Context, kind string, message any) error {
	l, err := c.connect(ctx)
	if err != nil {
		return merry.Prepend(err, "rpc "+kind+" to "+c.addr+": dial")
	}
	body, err := cbor.Marshal(message)
	if err != nil {
		return err
	}
	if err := l.write(ctx, &envelope{Kind: kind, Body: body}); err != nil {
		c.drop(l)
		return merry.Prepend(err, "rpc "+kind+" to "+c.addr+": send")
	}
	return nil
}

// Close ends the connection; calls under way fail.
func (c *Client) Close() {
	c.mu.Lock()
	l := c.line
	c.line, c.closed = nil, true
	c.mu.Unlock()
	if l != nil {
		l.end()
	}
}

func (c *Client) current() (*line, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.line, c.closed
}

func (c *Client) connect(ctx context.Context) (*line, error) {
	if l, closed := c.current(); l != nil || closed {
		if closed {
			return nil, ErrClosed
		}
		return l, nil
	}
	if err := c.dialing.take(ctx); err != nil {
		return nil, err
	}
	defer c.dialing.pass()
	if l, closed := c.current(); l != nil || closed {
		if closed {
			return nil, ErrClosed
		}
		return l, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.network.Dial(ctx, c.addr)
	if err != nil {
		return nil, err
	}
	l := &line{conn: conn, writing: newTurn(), waiting: map[uint64]chan *envelope{}, heard: time.Now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		conn.Close()
		return nil, ErrClosed
	}
	c.line = l
	go c.receive(l)
	return l, nil
}

func (c *Client) receive(l *line) {
	reader := bufio.NewReader(l.conn)
	for {
		e, err := readFrame(reader)
		if err != nil {
			c.drop(l)
			return
		}
		l.deliver(e)
	}
}

func (c *Client) drop(l *line) {
	c.mu.Lock()
	if c.line == l {
		c.line = nil
	}
	c.mu.Unlock()
	l.end()
}

func (l *line) expect(answer chan *envelope) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return 0, ErrClosed
	}
	l.lastID++
	l.waiting[l.lastID] = answer
	return l.lastID, nil
}

func (l *line) forget(id uint64) {
	l.mu.Lock()
	delete(l.waiting, id)
	l.mu.Unlock()
}

func (l *line) deliver(e *envelope) {
	l.mu.Lock()
	l.heard = time.Now()
	answer := l.waiting[e.ID]
	delete(l.waiting, e.ID)
	l.mu.Unlock()
	if answer != nil {
		answer <- e
	}
}

func (l *line) silentSince(t time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heard.Before(t)
}

func (l *line) write(ctx context.Context, e *envelope) error {
	if err := l.writing.take(ctx); err != nil {
		return err
	}
	defer l.writing.pass()
	l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return writeFrame(l.conn, e)
}

func (l *line) end() {
	l.conn.Close()
	l.mu.Lock()
	waiting := l.waiting
	l.waiting, l.ended = map[uint64]chan *envelope{}, true
	l.mu.Unlock()
	for _, answer := range waiting {
		answer <- nil
	}
}
