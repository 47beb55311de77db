package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"nettlefold/internal/charter"
	"nettlefold/internal/conns"
	"nettlefold/internal/protocol"
)

// conn is one connection, from before it is up until its last goroutine has ended.
type conn struct {
	to     *searcher
	nc     net.Conn
	began  time.Time // when it began to be made; its process is not younger
	used   time.Time // last written to or read from
	heard  time.Time // last read from
	queue  [][]*Parcel
	raw    [][]byte  // frames that are no calls
	busy   []*Parcel // whose frame is being written
	out    map[string]*Parcel
	last   string // id of the newest answer
	halted bool   // carries no more new parts, for good or until a frame that has begun is whole
	spent  bool   // halted for good
	old    bool   // its process is no more: nothing that waits is written
	wake   chan struct{}
	closed bool
	cancel context.CancelFunc
	kept   conns.Entry // the pool's account of it
	over   func()      // for its forwards' outcomes
	told   bool        // it stands in Searchers.resting
}

var (
	errClosing = errors.New("closing")
	errOld     = errors.New("the searcher has restarted or moved")
	errSpent   = errors.New("more than the answers has come")
)

// live counts the parts that are waited for.
func (l *conn) live() (n int) {
	for _, p := range l.out {
		if !p.Forward.Over() {
			n++
		}
	}
	return n
}

// silent tells whether nothing has come since a part went out that is not answered, and whether the whole wait for it has
// passed so: the connection may be lost though its searcher is well, which shows on another.
func (l *conn) silent() (silent, whole bool) {
	for _, p := range l.out {
		if p.state == written && l.heard.Before(p.sent) {
			silent = true
			whole = whole || time.Now().After(p.Forward.Until)
		}
	}
	return silent, whole
}

// worn tells whether so many parts on the connection were given up and never answered that it may be stuck.
func (l *conn) worn(lim charter.Limits) bool { return len(l.out) >= 2*lim.MaxStreamsPerConn }

// takes tells whether answers to the call could be told apart from those still to come.
func (l *conn) takes(call []*Parcel) bool {
	for _, p := range call {
		if l.out[p.Part.ID] != nil {
			return false
		}
	}
	return true
}

func (l *conn) rouse() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// open begins a connection. The lock is held.
func (s *Searchers) open(to *searcher) *conn {
	now := time.Now()
	l := &conn{to: to, began: now, used: now, out: map[string]*Parcel{}, wake: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancel(s.ctx)
	l.cancel = cancel
	l.over = func() { s.rest(l) }
	to.conns = append(to.conns, l)
	s.conns++
	s.pool.Open(since(now), &l.kept, l, s.peer(to))
	s.wg.Add(1)
	go s.serve(ctx, l, to.address)
	return l
}

// serve makes the connection and writes to it until it ends. It is the connection's one writer.
func (s *Searchers) serve(ctx context.Context, l *conn, address string) {
	defer s.wg.Done()
	defer l.cancel()
	d := net.Dialer{Timeout: s.lim.ConnectTimeout, KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		s.drop(l, err)
		return
	}
	s.mu.Lock()
	if l.closed {
		s.mu.Unlock()
		nc.Close()
		return
	}
	l.nc = nc
	s.mu.Unlock()
	s.wg.Add(1)
	go s.listen(l, nc)
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		s.mu.Lock()
		queue, raw := l.queue, l.raw
		l.queue, l.raw = nil, nil
		s.mu.Unlock()
		for _, call := range queue {
			if err = s.write(l, nc, call); err != nil {
				break
			}
		}
		for _, frame := range raw {
			if err == nil {
				err = s.put(nc, frame)
			}
		}
		if err != nil {
			s.drop(l, fmt.Errorf("write: %w", err))
			return
		}
	}
}

// listen reads from the connection until it ends.
func (s *Searchers) listen(l *conn, nc net.Conn) {
	defer s.wg.Done()
	in := bufio.NewReader(nc)
	for {
		f, err := s.frame(l, nc, in)
		if err == nil {
			err = s.got(l, f)
		}
		if err != nil {
			s.drop(l, err)
			return
		}
	}
}

// frame waits for the next frame. One that has begun has to go on: meanwhile nothing new is sent on the connection, since
// what has begun may be no frame at all, and where nothing is waited for it is none.
func (s *Searchers) frame(l *conn, nc net.Conn, in *bufio.Reader) (protocol.Frame, error) {
	if _, err := in.Peek(1); err != nil {
		return protocol.Frame{}, err
	}
	if protocol.FrameBuffered(in, s.lim.MaxFrameBytes) {
		return protocol.ReadFrame(in, s.lim.MaxFrameBytes)
	}
	s.mu.Lock()
	l.halted = true
	idle := l.live() == 0
	s.mu.Unlock()
	if idle {
		return protocol.Frame{}, errSpent
	}
	nc.SetReadDeadline(time.Now().Add(s.lim.FrameReadTimeout))
	f, err := protocol.ReadFrame(in, s.lim.MaxFrameBytes)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = &spoilt{protocol.FrameErrorf("frame: stopped for %v", s.lim.FrameReadTimeout), ""}
	}
	nc.SetReadDeadline(time.Time{})
	s.mu.Lock()
	l.halted = l.spent
	s.mu.Unlock()
	return f, err
}

// got takes one frame of a searcher.
func (s *Searchers) got(l *conn, f protocol.Frame) error {
	switch f.Type {
	case protocol.AnswerFrame:
		r, err := protocol.ReadReply(f.Payload)
		if err != nil {
			return &spoilt{err, r.ID}
		}
		s.mu.Lock()
		p := l.out[r.ID]
		if p != nil && p.state == queued {
			p = nil
		}
		again := p == nil && r.ID == l.last
		if p != nil {
			delete(l.out, r.ID)
			l.last = r.ID
			p.Forward.Watch(nil) // it is no more on this connection
		} else {
			l.halted, l.spent = true, true
		}
		l.used = time.Now()
		l.heard = l.used
		idle, spent := l.live() == 0, l.spent
		l.prompt()
		s.judge(l)
		s.unlock()
		switch {
		case p != nil:
			p.Forward.Report(r.Outcome, r.Value)
			if spent && idle {
				return errSpent
			}
		case idle:
			return errSpent
		case !again: // in place of the answer to one of those that are out
			return &spoilt{protocol.FrameErrorf("answer: %q is not out on this connection", r.ID), ""}
		}
	case protocol.ProbeFrame, protocol.LoadFrame:
		if len(f.Payload) > 0 {
			return protocol.FrameErrorf("frame %c: an answer to a probe, but none was sent", f.Type)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if len(l.raw) >= s.lim.MaxStreamsPerConn {
			return protocol.FrameErrorf("frame %c: %d probes unanswered", f.Type, len(l.raw))
		}
		l.raw = append(l.raw, protocol.AppendFrame(nil, f.Type, protocol.ProbeResponse(f.Type)))
		l.rouse()
	case protocol.ErrorFrame:
		return protocol.FrameErrorf("the searcher could not use a frame: %q", f.Payload[:min(len(f.Payload), 80)])
	default:
		return protocol.FrameErrorf("frame: letter %q is not a searcher's", f.Type)
	}
	return nil
}
