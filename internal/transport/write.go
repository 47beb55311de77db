package transport

import (
	"errors"
	"net"
	"os"
	"slices"
	"syscall"
	"time"

	"nettlefold/internal/protocol"
	"nettlefold/internal/routing"
	"nettlefold/mixer"
)

var (
	errGiven = errors.New("all of the frame is given up")
	errEnded = errors.New("the searcher has ended the connection")
	longAgo  = time.Unix(1, 0)
)

// Abandon tells that a lookup has ended, by its answer or without: a frame of its parts that is still held up on its way is
// not to leave any more. It only marks them and never waits; what they come to is reported as ever.
func (s *Searchers) Abandon(out map[*routing.Forward]*Parcel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range out {
		p.ended = true
		if p.conn != nil {
			p.conn.prompt()
		}
	}
}

// prompt has the writer look again at a frame that is held up, where that may not be wanted any more. The lock is held.
func (l *conn) prompt() {
	if len(l.busy) > 0 && !wanted(l.busy) {
		l.nc.SetWriteDeadline(longAgo)
	}
}

// wanted tells whether any of the parts has not been given up. The lock is held.
func wanted(parts []*Parcel) bool {
	return slices.ContainsFunc(parts, func(p *Parcel) bool { return !p.given && !p.ended && !p.Forward.Over() })
}

// alone tells whether no part but those being written would be lost with the connection. The lock is held.
func (l *conn) alone() bool {
	for _, p := range l.out {
		if p.state == written && !p.Forward.Over() {
			return false
		}
	}
	return true
}

// write puts out what of a call may still leave, as one frame.
func (s *Searchers) write(l *conn, nc net.Conn, call []*Parcel) error {
	var parts []protocol.Part
	var left []*Parcel
	now := time.Now()
	for _, p := range call {
		if p.Forward.Leave() {
			p.Part.Timeout = p.Forward.Until.Sub(now)
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
	if l.closed || l.old || len(left) == 0 { // whoever drops the connection tells what comes of these
		s.judge(l)
		s.unlock()
		return nil
	}
	for _, p := range left {
		p.state = writing
	}
	l.busy = left
	rested := l.used.After(l.began) && l.alone()
	s.mu.Unlock()
	frame := protocol.AppendQuery(nil, parts)
	var n int
	var err error
	if rested && ended(nc) {
		err = errEnded
	} else {
		n, err = s.pass(l, nc, frame)
	}
	became, outcome := queued, mixer.Unreachable
	if n == len(frame) {
		became, outcome = written, mixer.ConnectionReset
	}
	cut := errors.Is(err, errGiven)
	s.mu.Lock()
	l.used, l.busy = time.Now(), nil
	for _, p := range left {
		p.state, p.sent = became, now // an answer may have come already
		if cut && l.out[p.Part.ID] == p {
			delete(l.out, p.Part.ID)
		}
		if p.given && became == written { // meanwhile: the searcher has it, and is told after it
			l.giveUp(p)
		}
	}
	closed := l.closed
	s.judge(l)
	s.unlock()
	switch {
	case cut:
		report(left, mixer.NeverSent)
	case closed: // the connection ended meanwhile, and left these to be told here
		report(left, outcome)
	}
	if cut && n == 0 {
		return nil
	}
	return err
}

// pass writes a frame of parts. Where all of them are given up while it is held up it goes no further: nothing of it has
// left, or the connection goes with what has, unless others would be lost so. Then it has to be finished.
func (s *Searchers) pass(l *conn, nc net.Conn, frame []byte) (n int, err error) {
	end := time.Now().Add(s.lim.WriteTimeout)
	for {
		s.mu.Lock()
		until := end
		if !wanted(l.busy) {
			if n == 0 || l.alone() {
				l.spent = l.spent || n > 0
				l.halted = l.halted || n > 0
				s.mu.Unlock()
				return n, errGiven
			}
		} else { // no one tells when the wait for them ends
			last := time.Now()
			for _, p := range l.busy {
				if p.Forward.Until.After(last) {
					last = p.Forward.Until
				}
			}
			if last = last.Add(5 * time.Millisecond); last.Before(end) {
				until = last
			}
		}
		nc.SetWriteDeadline(until)
		s.mu.Unlock()
		m, err := nc.Write(frame[n:])
		n += m
		if !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(end) {
			return n, err
		}
	}
}

// put writes a frame that is no call.
func (s *Searchers) put(nc net.Conn, frame []byte) error {
	nc.SetWriteDeadline(time.Now().Add(s.lim.WriteTimeout))
	_, err := nc.Write(frame)
	return err
}

// ended tells whether the other side is known to have ended the connection, though its reader has not seen it yet: what is
// written then is lost for certain, and nobody could say that it has not run. The reader holds the socket for reading.
func ended(nc net.Conn) (is bool) {
	raw := rawConn(nc)
	if raw == nil {
		return false
	}
	raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		is = n == 0 && err == nil || err == syscall.ECONNRESET // any other: not known
	})
	return is
}
