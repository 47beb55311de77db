package transport

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"nettlefold/internal/charter"
	"nettlefold/internal/protocol"
	"nettlefold/internal/routing"
	"nettlefold/mixer"
)

// ways are how parts are given up. Of the last nobody tells the writer.
var ways = map[string]func(s *Searchers, p *Parcel){
	"lookup ended": func(s *Searchers, p *Parcel) { s.Abandon(map[*routing.Forward]*Parcel{p.Forward: p}) },
	"withdrawn":    func(s *Searchers, p *Parcel) { s.Withdraw(p) },
	"timed out":    func(_ *Searchers, p *Parcel) { p.Forward.Report(mixer.TimedOut, nil) },
}

// TestFrameOfWhichNothingHasLeft has a frame held up before its first byte, by a pipe that holds none, and its part given
// up: it never leaves, and the connection goes on with the one behind it.
func TestFrameOfWhichNothingHasLeft(t *testing.T) {
	for how, give := range ways {
		t.Run(how, func(t *testing.T) {
			s := NewSearchers(charter.Limits{KeepAliveTimeout: time.Hour, WriteTimeout: time.Minute, MaxStreamsPerConn: 9}, quiet)
			defer s.Close()
			w := &played{t, router(t, mixer.AtMostOnce, "s", "other"), s, nil}
			near, far := net.Pipe()
			p, ticket := parcel(t, w.r, "a")
			behind, _ := parcel(t, w.r, "behind")
			l := &conn{to: &searcher{}, nc: near, cancel: func() {}, out: map[string]*Parcel{"a.0": p, "behind.0": behind}}
			p.conn, behind.conn = l, l
			if how == "timed out" {
				p.Forward.Until = time.Now().Add(50 * time.Millisecond)
			}
			wrote := make(chan error)
			go func() { wrote <- s.write(l, near, []*Parcel{p}) }()
			w.until("it is held up", func() bool { return w.is(p, writing) })
			give(s, p)
			select {
			case err := <-wrote:
				if err != nil || !p.Forward.Over() || l.out["a.0"] != nil {
					t.Errorf("error %v, over %v, still out %v", err, p.Forward.Over(), l.out["a.0"] != nil)
				}
			case <-time.After(5 * time.Second):
				far.Close()
				t.Fatal("still held up, ended with ", <-wrote)
			}
			go func() { wrote <- s.write(l, near, []*Parcel{behind}) }()
			if f, err := protocol.ReadFrame(far, 999); err != nil || !strings.HasPrefix(string(f.Payload), "behind.0 ") {
				t.Errorf("then %q comes, %v", f.Payload, err)
			}
			<-wrote
			if how == "lookup ended" { // a once-only part goes on only where it has not run
				if step := pick(t, ticket); len(step.Calls) != 1 {
					t.Errorf("it goes on as if it had run: %+v", step)
				}
			}
		})
	}
}

// TestFrameHeldUp has a searcher stop reading within a frame, and all of the frame's parts given up then: it ends with its
// connection, unless a part is out there.
func TestFrameHeldUp(t *testing.T) {
	for _, c := range []struct {
		name   string
		beside bool // whether another part is out on the connection, for which the frame has to be finished
	}{{"alone", false}, {"another is out", true}} {
		for how, give := range ways {
			t.Run(c.name+", "+how, func(t *testing.T) {
				t.Parallel()
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer l.Close()
				s := NewSearchers(charter.Limits{KeepAliveTimeout: time.Hour, ConnectTimeout: time.Second, FrameReadTimeout: time.Second,
					WriteTimeout: time.Minute, MaxStreamsPerConn: 9, FileDescriptors: 99, MaxFrameBytes: 999}, quiet)
				defer s.Close()
				s.Listed(protocol.MemberList{Members: []protocol.Member{{Entry: routing.Entry{Searcher: "s"}, Address: l.Addr().String()}}})
				w := &played{t, router(t, mixer.AtMostOnce, "s", "other"), s, nil}
				first, _ := w.send("first", false)
				far, err := l.Accept()
				if err != nil {
					t.Fatal(err)
				}
				defer far.Close()
				far.(*net.TCPConn).SetReadBuffer(1 << 17)
				far.SetReadDeadline(time.Now().Add(10 * time.Second))
				w.until("the first is out", func() bool { return w.is(first, written) })
				first.conn.nc.(*net.TCPConn).SetWriteBuffer(1 << 17)
				protocol.ReadFrame(far, 1<<20)
				if !c.beside {
					far.Write(protocol.AppendFrame(nil, protocol.AnswerFrame, []byte("first.0 ok 1 -\nvalue")))
					w.until("the first is answered", first.Forward.Over)
				}
				big, _ := parcel(t, w.r, "big")
				big.Part.Query = strings.Repeat("x", 4<<20) // more than any buffers take
				if how == "timed out" {
					big.Forward.Until = time.Now().Add(50 * time.Millisecond)
				}
				s.Send("s", false, []*Parcel{big})
				w.until("it is held up", func() bool { return w.is(big, writing) })
				io.ReadFull(far, make([]byte, 1))
				if big.conn != first.conn {
					t.Fatal("not on one connection")
				}
				behind, _ := w.send("behind", false)
				give(s, big)
				began := time.Now()
				if c.beside {
					n, err := io.Copy(io.Discard, io.LimitReader(far, 4<<20))
					w.until("it is out", func() bool { return w.is(big, written) })
					if err != nil || n < 4<<20 || first.Forward.Over() {
						t.Errorf("%d bytes have come, %v, the other part is over %v", n, err, first.Forward.Over())
					}
					return
				}
				w.until("it is given up", func() bool { return w.is(big, queued) })
				n, _ := io.Copy(io.Discard, far)
				w.until("the one behind has not run", behind.Forward.Over)
				if n > 4<<20 || time.Since(began) > 5*time.Second {
					t.Errorf("%d bytes have come after %v", n, time.Since(began))
				}
			})
		}
	}
}

// TestWrittenAfterTheEnd has a searcher end an idle connection, which has not been read from yet when a once-only part is
// written: it is known not to have run. Where nothing of that is known it is written.
func TestWrittenAfterTheEnd(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for name, c := range map[string]struct {
		end   func(far *net.TCPConn)
		known bool
	}{
		"end":           {func(far *net.TCPConn) { far.Close() }, true},
		"reset":         {func(far *net.TCPConn) { far.SetLinger(0); far.Close() }, true},
		"open":          {func(*net.TCPConn) {}, false},
		"bytes, no end": {func(far *net.TCPConn) { far.Write([]byte{1}) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			near, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer near.Close()
			far, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer far.Close()
			s := NewSearchers(charter.Limits{KeepAliveTimeout: time.Hour, WriteTimeout: time.Minute, MaxStreamsPerConn: 1}, quiet)
			defer s.Close()
			ticket := take(t, router(t, mixer.AtMostOnce, "s", "other"), "a")
			call := pick(t, ticket).Calls[0]
			p := &Parcel{Forward: call.Forwards[0], Part: protocol.Part{ID: "a.0"}}
			l := &conn{to: &searcher{}, nc: near, began: time.Now().Add(-time.Minute), used: time.Now(), cancel: func() {},
				out: map[string]*Parcel{"a.0": p}}
			c.end(far.(*net.TCPConn))
			if c.known { // it has come as far as our side's kernel. A reset is told once, then as an end
				until := time.Now().Add(5 * time.Second)
				for !ended(near) {
					if time.Now().After(until) {
						t.Fatal("the end does not come, or is not seen")
					}
					time.Sleep(time.Millisecond)
				}
			}
			s.drop(l, s.write(l, near, []*Parcel{p}))
			step := pick(t, ticket)
			if again := len(step.Calls) == 1 && step.Calls[0].Searcher != call.Searcher; again != c.known {
				t.Errorf("goes on with %+v, sent again ought to be %v", step, c.known)
			}
		})
	}
}
