package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// Why a session is ended from the follower's side.
var (
	errSilent = errors.New("silent")
	errSlow   = errors.New("a message does not come whole")
	errLong   = errors.New("a line is too long")
)

// refusal is an answer other than 200.
type refusal struct {
	status int
	after  time.Duration // of its Retry-After, 0: none
}

func (r *refusal) Error() string { return fmt.Sprintf("status %d, again after %v", r.status, r.after) }

// times bound what a follower waits for.
type times struct {
	dial    time.Duration // for a connection
	first   time.Duration // for the answer's header
	silence time.Duration // for the next sign of life: an empty line, or a whole message
	whole   time.Duration // for a message that has begun
	tell    time.Duration // for one telling, and its answer
	bye     time.Duration // for the goodbye at the end
	kept    time.Duration // how long a connection for tellings is kept unused
	room    int           // bytes that the system is to hold for one who is late to read; 0: as it will
}

// stream reads the lines of one session, each in bounded bytes and time. It has no goroutine: the time-outs are the connection's
// own, and the context closes it.
type stream struct {
	nc    net.Conn
	in    patient
	body  io.Reader
	times times
	life  string // the relay's, hex
	named string // the session, by the relay
	held  []byte // read, and not yet handed on: [from:]
	from  int
	stop  func() bool
}

// patient reads a connection. A time-out may mean that this process has not run for so long, or other work has held it up: what has
// come meanwhile still counts, and is looked for once before each time-out is told.
type patient struct {
	net.Conn
	looked bool
}

func (p *patient) Read(b []byte) (int, error) {
	n, err := p.Conn.Read(b)
	if n == 0 && !p.looked && errors.Is(err, os.ErrDeadlineExceeded) {
		p.looked = true
		p.SetReadDeadline(time.Now().Add(lookFor))
		n, err = p.Conn.Read(b)
	}
	return n, err
}

const (
	lookFor = 50 * time.Millisecond

	smallBuffer = 1 << 10   // of a connection's reads
	mostLine    = 128 << 10 // bytes: a document of 32 KiB, and as much again for what stands around it
	mostHeader  = 4 << 10   // bytes of an answer's header
)

type dialer func(ctx context.Context, network, address string) (net.Conn, error)

// connect opens a connection that the context closes; it is to be called back by stop.
func connect(ctx context.Context, dial dialer, address string, within time.Duration) (net.Conn, func() bool, error) {
	try, done := context.WithTimeout(ctx, within)
	nc, err := dial(try, "tcp", address)
	done()
	if err != nil {
		return nil, nil, err
	}
	return nc, context.AfterFunc(ctx, func() { nc.Close() }), nil
}

// open asks for a session.
func open(ctx context.Context, dial dialer, address, path string, t times) (*stream, error) {
	nc, stop, err := connect(ctx, dial, address, t.dial)
	if err != nil {
		return nil, err
	}
	if r, ok := nc.(interface{ SetReadBuffer(bytes int) error }); ok && t.room > 0 {
		r.SetReadBuffer(t.room)
	}
	s := &stream{nc: nc, in: patient{Conn: nc}, times: t, stop: stop}
	if err := s.ask(address, path); err != nil {
		s.close()
		return nil, s.why(err, errSilent)
	}
	return s, nil
}

func (s *stream) ask(address, path string) error {
	s.within(s.times.first)
	if _, err := fmt.Fprintf(s.nc, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, address); err != nil {
		return err
	}
	head := &io.LimitedReader{R: &s.in, N: mostHeader} // what is read of the body meanwhile counts too, which is less than its room
	resp, err := http.ReadResponse(bufio.NewReaderSize(head, smallBuffer), nil)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return refused(resp)
	}
	head.N = 1 << 62 // from here on lines have their bound
	s.body, s.life, s.named = resp.Body, resp.Header.Get(headerLife), resp.Header.Get(headerSession)
	return nil
}

// refused tells what an answer other than 200 says.
func refused(resp *http.Response) error {
	after, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s")
	if err != nil || after < 0 {
		after = 0
	}
	return &refusal{resp.StatusCode, min(after, mostAfter)}
}

// next gives the next whole message, nil for an empty line. It holds until the next call.
func (s *stream) next() ([]byte, error) {
	s.held = s.held[:copy(s.held, s.held[s.from:])]
	s.from = 0
	if len(s.held) == 0 && cap(s.held) > smallBuffer { // the room of a longer line is let go
		s.held = nil
	}
	s.within(s.times.silence)
	begun := false
	for seen := 0; ; {
		if i := bytes.IndexByte(s.held[seen:], '\n'); i >= 0 {
			s.from = seen + i + 1
			return bytes.TrimSuffix(s.held[:seen+i], []byte("\r")), nil
		}
		if seen = len(s.held); seen >= mostLine {
			return nil, errLong
		}
		if seen > 0 && !begun {
			begun = true
			s.within(s.times.whole)
		}
		if cap(s.held)-seen < smallBuffer/2 {
			s.held = append(make([]byte, 0, 2*cap(s.held)+smallBuffer), s.held...)
		}
		n, err := s.body.Read(s.held[seen:cap(s.held)])
		if s.held = s.held[:seen+n]; err != nil && n == 0 {
			if begun {
				return nil, s.why(err, errSlow)
			}
			return nil, s.why(err, errSilent)
		}
	}
}

// within bounds what is read from now on.
func (s *stream) within(d time.Duration) {
	s.in.looked = false
	s.nc.SetDeadline(time.Now().Add(d))
}

// why is the error where it is no time-out.
func (s *stream) why(err, late error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return late
	}
	return err
}

func (s *stream) close() {
	s.stop()
	s.nc.Close()
}
