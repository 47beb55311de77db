// Package upstream carries requests to backends over HTTP/1.1: which connection, whether a request may have reached the backend, and
// whether an answer is the request's own. It never sends anything twice; whoever calls it decides on that.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// RequestIDHeader names a request, and is repeated on its answer.
	RequestIDHeader = "X-Request-Id"
	// DeadlineHeader tells a backend how long an answer is waited for, in ms.
	DeadlineHeader = "X-Request-Deadline-Ms"

	dialTimeout = 700 * time.Millisecond
	// idleUnstated is how long a connection is kept whose backend names no time, idleMargin what a stated time is cut by.
	defaultIdleTimeout = 700 * time.Millisecond
	idleTimeoutMargin  = 600 * time.Millisecond
	maxIdleTimeout     = 20 * time.Second
	readBufferBytes    = 8 << 10
	// writtenAtOnce is the size up to which a request is written before its answer is looked for: it fits into the buffers on the way. A
	// longer one may be answered before it was read.
	maxSynchronousWriteBytes = 16 << 10
	// mostSkipped is how many answers to earlier requests may come late on a connection, and skippedBytes how long one may be.
	maxSkippedResponses = 2
	maxSkippedBytes     = 1 << 20
)

// Stage is how far a request came before it failed.
type Stage int

// The stages.
const (
	NotSent Stage = iota // no byte left: it cannot have run
	Sent                 // it may have run
)

// Error is a failure and how far the request had come.
type Error struct {
	Stage Stage
	Op    string
	Addr  string
	Err   error
}

func (e *Error) Error() string { return fmt.Sprintf("upstream %s at %s: %v", e.Op, e.Addr, e.Err) }
func (e *Error) Unwrap() error { return e.Err }

// ErrOtherAnswer is an answer that names another request, or none.
var ErrResponseMismatch = merry.New("the answer is not this request's")

// ErrFull is returned when all connections that a backend may have from here are in use.
var ErrPoolExhausted = merry.New("no connection is free")

// Pool keeps the connections to one backend.
type Pool struct {
	addr        string
	dialContext func(ctx context.Context, network, address string) (net.Conn, error)

	mu        sync.Mutex
	idle      []*conn // newest last
	openCount int
	limit     int
	closed    bool
}

type conn struct {
	net.Conn
	reader    *bufio.Reader
	used      bool
	expiresAt time.Time // while idle: when it is too old to be used
	// upload is the newest request's, while it may not be written yet.
	upload *upload
	// doubtful is a connection that brought an answer to an earlier request: it is not used again.
	gotStaleResponse bool
}

// NewPool makes the pool of a backend's address; limit bounds its connections.
func NewPool(addr string, limit int) *Pool {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &Pool{addr: addr, limit: max(1, limit), dialContext: dialer.DialContext}
}

// SetLimit changes the bound on connections.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	p.limit = max(1, limit)
	p.mu.Unlock()
}

// Close closes idle connections, and others as they end.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.openCount -= len(idle)
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// take gives an idle connection that is alive.
func (p *Pool) takeIdle() *conn {
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			return nil
		}
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if time.Now().Before(c.expiresAt) && c.alive() {
			return c
		}
		p.closeConn(c)
	}
}

// quiet tells whether nothing has come on an idle connection: neither its end nor bytes that belong to no request.
func (c *conn) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

func (p *Pool) closeConn(c *conn) {
	c.Close()
	p.mu.Lock()
	p.openCount--
	p.mu.Unlock()
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	p.mu.Lock()
	if p.openCount >= p.limit {
		p.mu.Unlock()
		return nil, ErrPoolExhausted
	}
	p.openCount++
	p.mu.Unlock()
	nc, err := p.dialContext(ctx, "tcp", p.addr)
	if err != nil {
		p.mu.Lock()
		p.openCount--
		p.mu.Unlock()
		return nil, err
	}
	return &conn{Conn: nc, reader: bufio.NewReaderSize(nc, readBufferBytes)}, nil
}

// keep puts a connection back whose answer was read whole.
func (p *Pool) putIdle(c *conn, header http.Header) {
	idle := defaultIdleTimeout
	if stated, ok := keepAliveTimeout(header); ok {
		idle = min(stated-idleTimeoutMargin, maxIdleTimeout)
	}
	if idle <= 0 || c.reader.Buffered() > 0 {
		p.closeConn(c)
		return
	}
	c.expiresAt, c.used = time.Now().Add(idle), true
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		p.closeConn(c)
		return
	}
	p.idle = append(p.idle, c)
	var old *conn
	if p.idle[0].expiresAt.Before(time.Now()) {
		old = p.idle[0]
		p.idle = append(p.idle[:0], p.idle[1:]...)
	}
	p.mu.Unlock()
	if old != nil {
		p.closeConn(old)
	}
}

// statedIdle reads the time that a backend keeps an idle connection for.
func keepAliveTimeout(header http.Header) (time.Duration, bool) {
	for _, item := range strings.Split(header.Get("Keep-Alive"), ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(item), "timeout="); ok {
			if s, err := strconv.ParseFloat(value, 64); err == nil && s >= 0 {
				return time.Duration(s * float64(time.Second)), true
			}
		}
	}
	return 0, false
}

// Request is what is sent: the head's fields already as they are to go out.
type Request struct {
	Method string
	Target string // path and query, as the client sent them
	Host   string
	ID     string
	Header http.Header
	Body   []byte
	// Deadline is until when an answer is waited for; the backend is told what is left of it when the request is written.
	Deadline time.Time
}

// Response is an answer. Its body must be read to the end or closed.
type Response struct {
	*http.Response
	pool     *Pool
	conn     *conn
	complete bool
}

// Do sends a request and reads the head of its answer. A failure is an *Error. The request ends when ctx does.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &Error{NotSent, "begin", p.addr, err}
	}
	c := p.takeIdle()
	if c == nil {
		var err error
		if c, err = p.dial(ctx); err != nil {
			return nil, &Error{NotSent, "dial", p.addr, err}
		}
	}
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	response, err := p.exchange(c, r)
	if err != nil {
		stop()
		p.closeConn(c)
		if ctx.Err() != nil {
			err.Err = ctx.Err()
		}
		return nil, err
	}
	response.Body = &body{ReadCloser: response.Body, response: response, stopCancel: stop}
	return response, nil
}

// exchange writes a request and reads the head of its answer, past answers to earlier requests that come late.
func (p *Pool) exchange(c *conn, r *Request) (*Response, *Error) {
	c.startUpload(r.encode())
	if n, err, over := c.upload.result(); over && err != nil {
		return nil, &Error{stageAfter(n), "write", p.addr, err}
	}
	for skipped := 0; ; {
		answer, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			c.Close()
			n, _ := c.upload.wait()
			if skipped > 0 {
				err = errors.Join(ErrResponseMismatch, err)
			}
			return nil, &Error{stageAfter(n), "read", p.addr, err}
		}
		if answer.StatusCode < 200 {
			continue
		}
		ids := answer.Header.Values(RequestIDHeader)
		if len(ids) == 1 && ids[0] == r.ID {
			return &Response{Response: answer, pool: p, conn: c}, nil
		}
		if len(ids) != 1 || ids[0] == "" || skipped == maxSkippedResponses || !discardResponse(answer) {
			return nil, &Error{Sent, "read", p.addr, ErrResponseMismatch}
		}
		skipped++
		c.gotStaleResponse = true
	}
}

func stageAfter(written int) Stage {
	if written == 0 {
		return NotSent
	}
	return Sent
}

// skip reads an answer to its end, if it has one that does not end the connection too.
func discardResponse(answer *http.Response) bool {
	if answer.Close || answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 || answer.ContentLength > maxSkippedBytes {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxSkippedBytes))
	return err == nil && n < maxSkippedBytes
}

// reusable tells whether another request may follow on the connection.
func (c *conn) reusable() bool {
	_, err, over := c.upload.result()
	return over && err == nil && !c.gotStaleResponse
}

// ownHeaders are written here, whatever the request's header has.
var excludedHeaders = map[string]bool{DeadlineHeader: true}

// encode writes the head and the body as one piece.
func (r *Request) encode() []byte {
	var b strings.Builder
	b.Grow(1024 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if r.Deadline.IsZero() {
		r.Header.Write(&b)
	} else {
		r.Header.WriteSubset(&b, excludedHeaders)
		left := max(1, time.Until(r.Deadline).Milliseconds())
		b.WriteString(DeadlineHeader + ": " + strconv.FormatInt(left, 10) + "\r\n")
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return []byte(b.String())
}

// body notes whether it was read whole, and gives the connection back or ends it.
type body struct {
	io.ReadCloser
	response   *Response
	stopCancel func() bool
	finished   bool
}

func (b *body) Read(into []byte) (int, error) {
	n, err := b.ReadCloser.Read(into)
	if err != nil {
		b.finish(err == io.EOF)
	}
	return n, err
}

func (b *body) Close() error {
	b.finish(false)
	return nil
}

func (b *body) finish(whole bool) {
	if b.finished {
		return
	}
	b.finished = true
	r := b.response
	r.complete = whole
	if stopped := b.stopCancel(); stopped && whole && !r.Close && r.conn.reusable() {
		r.pool.putIdle(r.conn, r.Header)
		return
	}
	r.pool.closeConn(r.conn)
}
