package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"slices"
	"time"

	"nettlefold/internal/charter"
	"nettlefold/internal/protocol"
	"nettlefold/mixer"
)

// line is one connection, from before it is up until its last goroutine has ended.
type line struct {
	to     *searcher
	nc     net.Conn
	began  time.Time // when it began to be made; its process is not younger
	used   time.Time // last written to or read from
	heard  time.Time // last read from
	queue  [][]*Parcel
	raw    [][]byte // frames that are no calls
	out    map[string]*Parcel
	last   string // id of the newest answer
	halted bool   // carries no more new parts, for good or until a frame that has begun is whole
	spent  bool   // halted for good
	wake   chan struct{}
	closed bool
	cancel context.CancelFunc
}

var (
	errClosing = errors.New("closing")
	errIdle    = errors.New("idle")
	errOld     = errors.New("the searcher has restarted or moved")
	errSpent   = errors.New("more than the answers has come")
)

// spoilt is the error of an answer that cannot be used. The searcher is there, its work may have been done.
type spoilt struct {
	error
	id string // of the part, "" if that cannot be told
}

func (e *spoilt) Unwrap() error { return e.error }

// live counts the parts that are waited for.
func (l *line) live() (n int) {
	for _, p := range l.out {
		if !p.Forward.Over() {
			n++
		}
	}
	return n
}

// silent tells whether nothing has come since a part went out that is not answered, and whether the whole wait for it has
// passed so: the connection may be lost though its searcher is well, which shows on another.
func (l *line) silent() (silent, whole bool) {
	for _, p := range l.out {
		if p.state == written && l.heard.Before(p.sent) {
			silent = true
			whole = whole || time.Now().After(p.Forward.Until)
		}
	}
	return silent, whole
}

// worn tells whether so many parts on the connection were given up and never answered that it may be stuck.
func (l *line) worn(lim charter.Limits) bool { return len(l.out) >= 2*lim.Streams }

// takes tells whether answers to the call could be told apart from those still to come.
func (l *line) takes(call []*Parcel) bool {
	for _, p := range call {
		if l.out[p.Part.ID] != nil {
			return false
		}
	}
	return true
}

func (l *line) rouse() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// open begins a connection. The lock is held.
func (s *Searchers) open(to *searcher) *line {
	now := time.Now()
	l := &line{to: to, began: now, used: now, out: map[string]*Parcel{}, wake: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancel(s.ctx)
	l.cancel = cancel
	to.lines = append(to.lines, l)
	s.lines++
	s.wg.Add(1)
	go s.serve(ctx, l, to.address)
	return l
}

// serve makes the connection and writes to it until it ends. It is the connection's one writer.
func (s *Searchers) serve(ctx context.Context, l *line, address string) {
	defer s.wg.Done()
	defer l.cancel()
	d := net.Dialer{Timeout: s.lim.Connect, KeepAlive: -1}
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
				_, err = s.put(nc, frame)
			}
		}
		if err != nil {
			s.drop(l, fmt.Errorf("write: %w", err))
			return
		}
	}
}

// write puts out what of a call may still leave, as one frame.
func (s *Searchers) write(l *line, nc net.Conn, call []*Parcel) error {
	var parts []protocol.Part
	var left []*Parcel
	now := time.Now()
	for _, p := range call {
		if p.Forward.Leave() {
			p.Part.Within = p.Forward.Until.Sub(now)
			parts = append(parts, p.Part)
			left = append(left, p)
		}
	}
	s.mu.Lock()
	for _, p := range call {
		if l.out[p.Part.ID] == p && !slices.Contains(left, p) {
			delete(l.out, p.Part.ID)
		}
	}
	for _, p := range left {
		if p.state = writing; p.given { // after it had leave to go: the frame goes out with it
			l.giveUp(p)
		}
	}
	closed := l.closed
	s.mu.Unlock()
	if closed || len(left) == 0 {
		return nil
	}
	frame := protocol.AppendCall(nil, parts)
	n, err := s.put(nc, frame)
	became, outcome := queued, mixer.Unreached
	if n == len(frame) {
		became, outcome = written, mixer.Reset
	}
	s.mu.Lock()
	l.used = time.Now()
	for _, p := range left {
		p.state, p.sent = became, now // an answer may have come already
	}
	closed = l.closed
	s.mu.Unlock()
	if closed { // the connection ended meanwhile, and left these to be told here
		report(left, outcome)
	}
	return err
}

func (s *Searchers) put(nc net.Conn, frame []byte) (int, error) {
	nc.SetWriteDeadline(time.Now().Add(s.lim.Write))
	return nc.Write(frame)
}

// listen reads from the connection until it ends.
func (s *Searchers) listen(l *line, nc net.Conn) {
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
func (s *Searchers) frame(l *line, nc net.Conn, in *bufio.Reader) (protocol.Frame, error) {
	if _, err := in.Peek(1); err != nil {
		return protocol.Frame{}, err
	}
	if protocol.Waits(in, s.lim.Frame) {
		return protocol.ReadFrame(in, s.lim.Frame)
	}
	s.mu.Lock()
	l.halted = true
	idle := l.live() == 0
	s.mu.Unlock()
	if idle {
		return protocol.Frame{}, errSpent
	}
	nc.SetReadDeadline(time.Now().Add(s.lim.Rest))
	f, err := protocol.ReadFrame(in, s.lim.Frame)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = &spoilt{protocol.Bad("frame: stopped for %v", s.lim.Rest), ""}
	}
	nc.SetReadDeadline(time.Time{})
	s.mu.Lock()
	l.halted = l.spent
	s.mu.Unlock()
	return f, err
}

// got takes one frame of a searcher.
func (s *Searchers) got(l *line, f protocol.Frame) error {
	switch f.Letter {
	case protocol.Answer:
		r, err := protocol.ReadReply(f.Rest)
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
		} else {
			l.halted, l.spent = true, true
		}
		l.used = time.Now()
		l.heard = l.used
		idle := l.live() == 0
		s.mu.Unlock()
		switch {
		case p != nil:
			p.Forward.Report(r.Outcome, r.Value)
			if l.spent && idle {
				return errSpent
			}
		case idle:
			return errSpent
		case !again: // in place of the answer to one of those that are out
			return &spoilt{protocol.Bad("answer: %q is not out on this connection", r.ID), ""}
		}
	case protocol.Probe, protocol.Load:
		if len(f.Rest) > 0 {
			return protocol.Bad("frame %c: an answer to a probe, but none was sent", f.Letter)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if len(l.raw) >= s.lim.Streams {
			return protocol.Bad("frame %c: %d probes unanswered", f.Letter, len(l.raw))
		}
		l.raw = append(l.raw, protocol.AppendFrame(nil, f.Letter, protocol.ProbeAnswer(f.Letter)))
		l.rouse()
	case protocol.Fault:
		return protocol.Bad("the searcher could not use a frame: %q", f.Rest[:min(len(f.Rest), 80)])
	default:
		return protocol.Bad("frame: letter %q is not a searcher's", f.Letter)
	}
	return nil
}

// drop ends a connection, once, and tells the outcome of all that was out on it but for what is being written: a
// searcher may have it whole before the writer knows. Of a spoilt answer one part has failed, as far as can be told the
// one that was out longest; the others are withdrawn for it.
func (s *Searchers) drop(l *line, why error) {
	s.mu.Lock()
	if l.closed {
		s.mu.Unlock()
		return
	}
	l.closed = true
	l.cancel()
	s.lines--
	l.to.lines = slices.DeleteFunc(l.to.lines, func(o *line) bool { return o == l })
	if l.nc != nil {
		l.nc.Close()
	}
	var reset, unreached []*Parcel
	for _, p := range l.out {
		switch p.state {
		case queued:
			unreached = append(unreached, p)
		case written:
			reset = append(reset, p)
		}
	}
	outcome, withdrawn := mixer.Reset, []*Parcel(nil)
	if bad := (*protocol.BadFrame)(nil); errors.As(why, &bad) && len(reset) > 0 {
		outcome = mixer.Errored
		reset, withdrawn = blame(why, reset)
	}
	l.out, l.queue, l.raw = nil, nil, nil
	s.mu.Unlock()
	level := slog.LevelDebug
	if bad := (*protocol.BadFrame)(nil); errors.As(why, &bad) {
		level = slog.LevelWarn
	}
	s.log.Log(s.ctx, level, "connection to a searcher ended", "searcher", l.to.name, "why", why,
		"failed", len(reset), "withdrawn", len(withdrawn), "unreached", len(unreached))
	report(reset, outcome)
	report(withdrawn, mixer.Cancelled)
	report(unreached, mixer.Unreached)
}

// blame parts the forward that a spoilt answer is for from the others.
func blame(why error, out []*Parcel) (failed, others []*Parcel) {
	worst, id := 0, ""
	if e := (*spoilt)(nil); errors.As(why, &e) {
		id = e.id
	}
	for i, p := range out {
		if p.Part.ID == id {
			worst = i
			break
		}
		over, worse := p.Forward.Over(), out[worst].Forward.Over() // nothing can be told of those any more
		if worse && !over || worse == over && p.Forward.Until.Before(out[worst].Forward.Until) {
			worst = i
		}
	}
	return out[worst : worst+1 : worst+1], append(out[:worst:worst], out[worst+1:]...)
}
