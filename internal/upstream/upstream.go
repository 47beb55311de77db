// Package upstream sends requests to backends over pooled HTTP/1.1 connections. It reports whether a
// failed request may have reached the backend, and rejects responses that belong to another request.
// It never sends a request twice; callers decide about retries.
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

	"nettlefold/internal/memlimit"
)

const (
	// RequestIDHeader identifies a request. The backend repeats it in the response.
	RequestIDHeader = "X-Request-Id"
	// DeadlineHeader tells a backend how long the caller still waits for the response, in milliseconds.
	DeadlineHeader = "X-Request-Deadline-Ms"

	dialTimeout = 700 * time.Millisecond
	// defaultIdleTimeout applies if the backend doesn't send a keep-alive timeout. It is short, because the
	// backend may close an idle connection at any time.
	defaultIdleTimeout = 700 * time.Millisecond
	// idleTimeoutMargin is subtracted from the keep-alive timeout that the backend sends, so that a
	// connection isn't reused while the backend closes it.
	idleTimeoutMargin = 600 * time.Millisecond
	maxIdleTimeout    = 20 * time.Second
	readBufferBytes   = 8 << 10
	// maxSynchronousWriteBytes is the size up to which a request is written before its response is
	// read: it fits into the socket buffers. A backend may respond to a longer request before it has
	// read all of it.
	maxSynchronousWriteBytes = 16 << 10
	// maxSkippedResponses bounds how many late responses to earlier requests are skipped before the
	// response to a request, and maxSkippedBytes the body of each.
	maxSkippedResponses = 2
	maxSkippedBytes     = 1 << 20
)

// Stage is how far a request got before it failed.
type Stage int

// The stages.
const (
	NotSent Stage = iota // no byte was written: the backend can't have run the request
	Sent                 // the backend may have run the request
)

// Error is a failed request.
type Error struct {
	Stage Stage
	Op    string // begin, dial, write or read
	Addr  string // of the backend
	Err   error
}

func (e *Error) Error() string { return fmt.Sprintf("upstream: %s %s: %v", e.Op, e.Addr, e.Err) }
func (e *Error) Unwrap() error { return e.Err }

// IsProtocolViolation reports whether a request or the reading of its response failed because the backend sent bytes
// that are no response, rather than too few of them.
func IsProtocolViolation(err error) bool {
	var network net.Error
	switch {
	case err == nil, errors.Is(err, memlimit.ErrExhausted), errors.Is(err, ErrPoolExhausted):
		return false
	case errors.Is(err, ErrHeadTooLong):
		return true
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed), errors.As(err, &network),
		errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return false
	}
	return true
}

// ErrResponseMismatch is returned for a response whose request ID is missing or another request's.
var ErrResponseMismatch = merry.New("response belongs to another request")

// ErrPoolExhausted is returned when all connections that the pool may open are in use.
var ErrPoolExhausted = merry.New("connection limit reached")

// Pool keeps the connections to one backend. It is safe for concurrent use.
type Pool struct {
	addr        string
	memory      *memlimit.Budget // for heads of responses; nil: no bound on their sum
	dialContext func(ctx context.Context, network, address string) (net.Conn, error)

	mu        sync.Mutex
	idle      []*conn // newest last
	openCount int     // idle connections and those in use
	limit     int     // of openCount
	closed    bool
}

// conn is one connection to the backend.
type conn struct {
	net.Conn
	source    *source // reads from Conn
	reader    *bufio.Reader
	expiresAt time.Time // when an idle connection is too old to be reused
	// upload is the write of the newest request, which may not have finished yet.
	upload *upload
	// gotStaleResponse is set after a response to an earlier request. The connection isn't reused.
	gotStaleResponse bool
}

// NewPool returns a pool for the backend at addr with at most limit connections. Heads of responses take their memory
// from a budget; nil is one without a bound.
func NewPool(addr string, limit int, memory *memlimit.Budget) *Pool {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &Pool{addr: addr, memory: memory, limit: max(1, limit), dialContext: dialer.DialContext}
}

// SetLimit changes the maximum number of connections.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	p.limit = max(1, limit)
	p.mu.Unlock()
}

// Close closes the idle connections. Connections in use are closed when their response ends.
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

// takeIdle removes the newest usable idle connection from the pool, closing those that aren't usable.
// It returns nil if there is none.
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

// CloseUnusable closes the idle connections that have expired, that the backend has closed, or on which it has sent
// bytes that belong to no request and would fill the kernel's buffers.
func (p *Pool) CloseUnusable() {
	p.mu.Lock()
	now, usable := time.Now(), p.idle[:0]
	var unusable []*conn
	for _, c := range p.idle {
		if now.Before(c.expiresAt) && c.alive() {
			usable = append(usable, c)
		} else {
			unusable = append(unusable, c)
		}
	}
	clear(p.idle[len(usable):])
	p.idle = usable
	p.mu.Unlock()
	for _, c := range unusable {
		p.closeConn(c)
	}
}

// alive reports whether an idle connection can be reused: the backend has neither closed it nor sent
// bytes that belong to no request.
func (c *conn) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	nothingToRead := false
	var buffer [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		nothingToRead = err == syscall.EAGAIN
		return true
	})
	return err == nil && nothingToRead
}

func (p *Pool) closeConn(c *conn) {
	c.Close()
	c.source.memory.Close()
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
	dialed, err := p.dialContext(ctx, "tcp", p.addr)
	if err != nil {
		p.mu.Lock()
		p.openCount--
		p.mu.Unlock()
		return nil, err
	}
	return newConn(dialed, p.memory), nil
}

// newConn returns a connection whose heads of responses take their memory from a budget.
func newConn(dialed net.Conn, memory *memlimit.Budget) *conn {
	source := &source{conn: dialed, memory: memory.NewAccount()}
	return &conn{Conn: dialed, source: source, reader: bufio.NewReaderSize(source, readBufferBytes)}
}

// putIdle returns a connection to the pool after its response, with the given header, was read to the
// end. It also closes the oldest idle connection if that has expired.
func (p *Pool) putIdle(c *conn, header http.Header) {
	idleTimeout := defaultIdleTimeout
	if timeout, ok := keepAliveTimeout(header); ok {
		idleTimeout = min(timeout-idleTimeoutMargin, maxIdleTimeout)
	}
	if idleTimeout <= 0 || c.reader.Buffered() > 0 {
		p.closeConn(c)
		return
	}
	c.source.memory.Close()
	c.expiresAt = time.Now().Add(idleTimeout)
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		p.closeConn(c)
		return
	}
	p.idle = append(p.idle, c)
	var expired *conn
	if p.idle[0].expiresAt.Before(time.Now()) {
		expired = p.idle[0]
		p.idle = append(p.idle[:0], p.idle[1:]...)
	}
	p.mu.Unlock()
	if expired != nil {
		p.closeConn(expired)
	}
}

// keepAliveTimeout returns the timeout parameter of the Keep-Alive header: how long the backend keeps
// an idle connection open.
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

// Request is a request to a backend. Header holds the fields as they are sent, including the ID in
// RequestIDHeader.
type Request struct {
	Method string
	Target string // path and query, as the client sent them
	Host   string
	ID     string
	Header http.Header
	Body   []byte
	// Deadline is when the caller stops waiting for the response; zero means no deadline. The remaining
	// time is computed and sent in DeadlineHeader when the request is written.
	Deadline time.Time
}

// Response is a backend's response. Its body must be read to the end or closed.
type Response struct {
	*http.Response
	pool *Pool
	conn *conn
}

// ReadTotals are sums over all reads of a connection.
type ReadTotals struct {
	Waited time.Duration // in the reads
	Reads  int
}

// ReadTotals returns the sums of the response's connection so far. It must not be called while the body is read.
func (r *Response) ReadTotals() ReadTotals {
	return ReadTotals{Waited: r.conn.source.waited, Reads: r.conn.source.reads}
}

// Do sends a request and reads the header of its response. A failure is an *Error. The request is
// canceled when ctx is done, also while the body is read.
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
	// A deadline in the past aborts reads and writes on the connection.
	unwatchContext := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	response, err := p.exchange(c, r)
	if err != nil {
		unwatchContext()
		p.closeConn(c)
		if ctx.Err() != nil {
			err.Err = ctx.Err()
		}
		return nil, err
	}
	response.Body = &body{ReadCloser: response.Body, response: response, unwatchContext: unwatchContext}
	return response, nil
}

// exchange writes a request and reads the header of its response. It skips informational responses
// and a few late responses to earlier requests. All heads together are bounded.
func (p *Pool) exchange(c *conn, r *Request) (*Response, *Error) {
	c.startUpload(r.encode())
	if n, err, finished := c.upload.result(); finished && err != nil {
		return nil, &Error{stageAfter(n), "write", p.addr, err}
	}
	c.source.beginHead()
	for skipped := 0; ; {
		c.source.readsHead = true
		response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			c.Close()
			n, _ := c.upload.wait()
			if skipped > 0 {
				err = errors.Join(ErrResponseMismatch, err) // responses to other requests came first
			}
			return nil, &Error{stageAfter(n), "read", p.addr, err}
		}
		if response.StatusCode < 200 {
			continue
		}
		c.source.readsHead = false
		ids := response.Header.Values(RequestIDHeader)
		if len(ids) == 1 && ids[0] == r.ID {
			return &Response{Response: response, pool: p, conn: c}, nil
		}
		if len(ids) != 1 || ids[0] == "" || skipped == maxSkippedResponses || !discardResponse(response) {
			return nil, &Error{Sent, "read", p.addr, ErrResponseMismatch}
		}
		skipped++
		c.gotStaleResponse = true
	}
}

// stageAfter returns the stage of a request that failed after the given number of bytes was written.
func stageAfter(written int) Stage {
	if written == 0 {
		return NotSent
	}
	return Sent
}

// discardResponse reads the body of a response and reports whether another response may follow. It
// fails for a body that only the end of the connection delimits, and for one that is too long.
func discardResponse(response *http.Response) bool {
	if response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 || response.ContentLength > maxSkippedBytes {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBytes))
	return err == nil && n < maxSkippedBytes
}

// reusable reports whether another request may be sent on the connection.
func (c *conn) reusable() bool {
	_, err, finished := c.upload.result()
	return finished && err == nil && !c.gotStaleResponse
}

// excludedHeaders are the fields of Request.Header that encode writes itself if the request has a
// deadline.
var excludedHeaders = map[string]bool{DeadlineHeader: true}

// encode returns the header and body of the request as they are written to the connection.
func (r *Request) encode() []byte {
	var b strings.Builder
	b.Grow(1024 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if r.Deadline.IsZero() {
		r.Header.Write(&b)
	} else {
		r.Header.WriteSubset(&b, excludedHeaders)
		remainingMS := max(1, time.Until(r.Deadline).Milliseconds())
		b.WriteString(DeadlineHeader + ": " + strconv.FormatInt(remainingMS, 10) + "\r\n")
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return []byte(b.String())
}

// body is a response body that returns the connection to the pool at its end, and closes the
// connection if it isn't read to the end.
type body struct {
	io.ReadCloser
	response       *Response
	unwatchContext func() bool // stops the abort of the connection when the request's context is done
	finished       bool
}

func (b *body) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if err != nil {
		b.finish(err == io.EOF)
	}
	return n, err
}

func (b *body) Close() error {
	b.finish(false)
	return nil
}

func (b *body) finish(complete bool) {
	if b.finished {
		return
	}
	b.finished = true
	r := b.response
	if stopped := b.unwatchContext(); stopped && complete && !r.Close && r.conn.reusable() {
		r.pool.putIdle(r.conn, r.Header)
		return
	}
	r.pool.closeConn(r.conn)
}
