package transport

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"nettlefold/example/toy"
	"nettlefold/internal/charter"
	"nettlefold/internal/protocol"
	"nettlefold/internal/routing"
	"nettlefold/mixer"
)

// played is a searcher with the connections to it.
type played struct {
	t   *testing.T
	r   *routing.Router
	s   *Searchers
	far *toy.Searcher
}

// play starts a searcher s, beside others that are listed only.
func play(t *testing.T, far *toy.Searcher, others ...string) *played {
	t.Helper()
	return playOn(t, far, quiet, router(t, mixer.Idempotent, append(others, "s")...))
}

func playOn(t *testing.T, far *toy.Searcher, log *slog.Logger, r *routing.Router) *played {
	t.Helper()
	if err := far.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(far.Stop)
	s := NewSearchers(charter.Limits{KeepAliveTimeout: 10 * time.Second, ConnectTimeout: time.Second, FrameReadTimeout: 100 * time.Millisecond,
		WriteTimeout: 5 * time.Second, MaxStreamsPerConn: 9, FileDescriptors: 99, MaxFrameBytes: 999}, log)
	t.Cleanup(s.Close)
	s.Listed(protocol.MemberList{Members: []protocol.Member{{Entry: routing.Entry{Searcher: "s"}, Address: far.Address}}})
	return &played{t, r, s, far}
}

// parcel has the first part of a new lookup picked.
func parcel(t *testing.T, r *routing.Router, id string) (*Parcel, *routing.Ticket) {
	t.Helper()
	ticket := take(t, r, id)
	return &Parcel{Forward: pick(t, ticket).Calls[0].Forwards[0], Part: protocol.Part{ID: id + ".0"}}, ticket
}

// send has such a part go to the searcher.
func (w *played) send(id string, fresh bool) (*Parcel, *routing.Ticket) {
	w.t.Helper()
	p, ticket := parcel(w.t, w.r, id)
	w.s.Send("s", fresh, []*Parcel{p})
	return p, ticket
}

// is tells whether a part's frame has come so far.
func (w *played) is(p *Parcel, want state) bool {
	w.s.mu.Lock()
	defer w.s.mu.Unlock()
	return p.state == want
}

func (w *played) until(what string, is func() bool) {
	w.t.Helper()
	until(w.t, what, is)
}

// TestWishesReachTheSearcher gives up a part that is out, and has idle connections closed before the next one.
func TestWishesReachTheSearcher(t *testing.T) {
	w := play(t, &toy.Searcher{})
	seen := func(frame string) bool { return slices.Contains(w.far.Frames(), frame) }
	first, _ := w.send("a", false)
	w.until("the first is answered", first.Forward.Over)
	second, _ := w.send("b", false)
	w.until("the second is answered", second.Forward.Over)
	if w.far.Conns() != 1 || first.conn != second.conn {
		t.Errorf("%d connections for two parts one after the other, want 1", w.far.Conns())
	}
	w.far.Handle = func(toy.Part) {}
	third, _ := w.send("c", true)
	if third.conn == first.conn {
		t.Error("an idle connection was used though it was to be closed")
	}
	w.until("the idle connection is closed", func() bool { return w.far.Conns() == 1 })
	w.until("the third is out", func() bool { return w.is(third, written) })
	w.s.Withdraw(second) // its connection is no more
	w.s.Withdraw(third)
	w.until("the third is given up at the searcher", func() bool { return seen("Xc.0") })
	if seen("Xb.0") {
		t.Error("a part on a connection that is closed was given up on another")
	}
}

// TestSpoiltAnswers has a searcher answer one of two parts on a connection in every unsound way, and once in good
// ways that bring too much. A spoilt one costs the other part a prompt new try, too much costs it nothing; in either
// case nothing new goes out on the connection, and no value of it is believed that does not belong there.
func TestSpoiltAnswers(t *testing.T) {
	raw := func(b ...byte) func(toy.Part) { return func(p toy.Part) { p.Conn.Write(b) } }
	frame := func(letter byte, rest string) func(toy.Part) {
		return func(p toy.Part) { p.Conn.Frame(letter, strings.ReplaceAll(rest, "ID", p.ID)) }
	}
	good := func(more func(toy.Part)) func(toy.Part) {
		return func(p toy.Part) {
			p.Answer("ok", p.Value())
			more(p)
		}
	}
	for name, c := range map[string]struct {
		handle func(toy.Part)
		sound  bool
	}{
		"noise":                 {raw([]byte("%&xyzxyz")...), false},
		"a few bytes":           {raw(7), false},
		"a line without end":    {raw(append([]byte{200, 0, 0, 0, 'A'}, bytes.Repeat([]byte("x"), 90)...)...), false},
		"3 GB":                  {raw(0, 0, 0, 192, 'A', 'a'), false},
		"too short":             {raw(0, 0, 0, 0), false},
		"a bad letter":          {frame('#', "ID ok 1 -\nvalue"), false},
		"a bad end":             {frame('A', "ID okay 1 -\nvalue"), false},
		"a bad score":           {frame('A', "ID ok one -\nvalue"), false},
		"a bad line":            {frame('A', "ID ok\nvalue"), false},
		"a bad value":           {frame('A', "ID ok 1 -\n\xff\xfe"), false},
		"another id":            {frame('A', "zz.0 ok 1 -\nvalue"), false},
		"a second copy":         {good(frame('A', "ID ok 1 -\nagain")), true},
		"a report without form": {frame('A', "ID ok 1 {load: \x00 9\nvalue"), true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			parts := make(chan toy.Part, 9)
			w := play(t, &toy.Searcher{Handle: func(p toy.Part) { parts <- p }}, "other")
			a, one := w.send("a", false)
			b, other := w.send("b", false)
			first, second := <-parts, <-parts
			began := time.Now()
			c.handle(first)
			step := pick(t, one)
			if answered := step.Final != nil && step.Final.Verdict == routing.Answered; answered != c.sound {
				t.Errorf("the part's lookup goes on with %+v, answered ought to be %v", step, c.sound)
			}
			if c.sound {
				time.Sleep(20 * time.Millisecond)
				second.Answer("ok", "other")
			}
			step = pick(t, other)
			if answered := step.Final != nil && string(step.Final.Hits[0].Value) == "other"; answered != c.sound || time.Since(began) > time.Second {
				t.Errorf("the other part's lookup goes on after %v with %+v", time.Since(began), step)
			}
			if next, _ := w.send("c", false); name != "a report without form" && next.conn == a.conn || a.conn != b.conn {
				t.Errorf("new parts go out on the same connection: %v, the first two: %v", next.conn == a.conn, a.conn == b.conn)
			}
		})
	}
}

// TestSilentConnection has a searcher's first connection fall silent and all others serve. A call that asks for a fresh one
// is sent past it at once; any other is from when a part has waited there in vain for all its time.
func TestSilentConnection(t *testing.T) {
	var first atomic.Pointer[toy.Conn]
	far := &toy.Searcher{Accepted: func(c *toy.Conn) { first.CompareAndSwap(nil, c) }}
	far.Handle = func(p toy.Part) {
		if p.Conn != first.Load() {
			p.Answer("ok", p.Value())
		}
	}
	w := play(t, far)
	a, _ := w.send("a", false)
	w.until("the first is out", func() bool { return len(far.Frames()) > 0 })
	time.Sleep(10 * time.Millisecond)
	if b, _ := w.send("b", false); b.conn != a.conn {
		t.Error("a connection is not used any more while its part has time left")
	}
	if c, ticket := w.send("c", true); c.conn == a.conn || pick(t, ticket).Final == nil {
		t.Error("a fresh connection was asked for, but the silent one is used")
	}
	w.s.mu.Lock()
	a.Forward.Until = time.Now().Add(-time.Millisecond)
	w.s.mu.Unlock()
	if d, ticket := w.send("d", false); d.conn == a.conn || pick(t, ticket).Final == nil {
		t.Error("the silent connection is used although a part has waited there in vain")
	}
}

// TestBlame has a spoilt answer without an id on a connection with a part that has been given up: one still out is blamed.
func TestBlame(t *testing.T) {
	r := router(t, mixer.Idempotent, "s")
	var out []*Parcel
	for _, id := range []string{"a", "b", "c"} {
		p, _ := parcel(t, r, id)
		out = append(out, p)
	}
	out[0].Forward.Report(mixer.TimedOut, nil)
	for id, want := range map[string]string{"": "b.0", "c.0": "c.0"} {
		failed, others := blame(&spoilt{protocol.FrameErrorf("noise"), id}, out)
		if len(failed) != 1 || len(others) != 2 || failed[0].Part.ID != want {
			t.Errorf("a spoilt answer to %q is blamed on %d parts, %+v first, want %s", id, len(failed), failed[0].Part, want)
		}
	}
}

// breaking is a connection that takes so many bytes and then breaks.
type breaking struct {
	net.Conn
	after int
	broke func() // before the writer knows
}

func (b *breaking) Write(raw []byte) (int, error) {
	b.broke()
	if b.after < len(raw) {
		return b.after, io.ErrClosedPipe
	}
	return len(raw), nil
}

// TestFrameCutOff breaks a connection after each byte of a frame. A once-only part may go to the other holder
// until the last byte is out, and never after.
func TestFrameCutOff(t *testing.T) {
	part := protocol.Part{ID: "a.0", Query: "some text"}
	frame := len(protocol.AppendQuery(nil, []protocol.Part{{ID: part.ID, Query: part.Query, Timeout: 4990 * time.Millisecond}}))
	for _, first := range []bool{false, true} { // whether the reader sees it before the writer does
		for cut := range frame + 1 {
			ticket := take(t, router(t, mixer.AtMostOnce, "s", "other"), "a")
			call := pick(t, ticket).Calls[0]
			s := NewSearchers(charter.Limits{KeepAliveTimeout: time.Hour, WriteTimeout: time.Minute, MaxStreamsPerConn: 1}, quiet)
			near, _ := net.Pipe()
			p := &Parcel{Forward: call.Forwards[0], Part: part}
			l := &conn{to: &searcher{}, nc: near, cancel: func() {}, out: map[string]*Parcel{part.ID: p}}
			p.conn = l
			s.write(l, &breaking{near, cut, func() {
				if first {
					s.drop(l, io.EOF)
				}
			}}, []*Parcel{p})
			s.drop(l, io.EOF)
			step := pick(t, ticket)
			again := len(step.Calls) == 1 && step.Calls[0].Searcher != call.Searcher
			if failed := step.Final != nil && step.Final.Verdict == routing.Failed; again != (cut < frame) || failed != (cut == frame) {
				t.Errorf("after %d of %d bytes, seen by the reader first %v: sent again %v, failed %v", cut, frame, first, again, failed)
			}
			s.Close()
		}
	}
}

// TestGivenUpWhileItIsWritten gives up a part that has leave to go. Before its frame is written nothing of it goes out.
// Within that the frame comes whole, and the searcher is to be told after it, else it works beside the copy that goes elsewhere.
func TestGivenUpWhileItIsWritten(t *testing.T) {
	part := protocol.Part{ID: "a.0", Query: "some text"}
	for _, within := range []bool{false, true} {
		call := pick(t, take(t, router(t, mixer.Idempotent, "s"), "a")).Calls[0]
		s := NewSearchers(charter.Limits{KeepAliveTimeout: time.Hour, WriteTimeout: time.Minute, MaxStreamsPerConn: 1}, quiet)
		near, _ := net.Pipe()
		parcel := &Parcel{Forward: call.Forwards[0], Part: part}
		l := &conn{to: &searcher{}, nc: near, cancel: func() {}, out: map[string]*Parcel{part.ID: parcel}}
		parcel.conn = l
		if !within {
			s.Withdraw(parcel)
		}
		wrote := false
		err := s.write(l, &breaking{near, 1000, func() {
			if wrote = true; within {
				s.Withdraw(parcel)
			}
		}}, []*Parcel{parcel})
		var want [][]byte
		if within {
			want = [][]byte{protocol.AppendFrame(nil, protocol.CancelFrame, []byte(part.ID))}
		}
		if wrote != within || err != nil || !slices.EqualFunc(l.raw, want, bytes.Equal) {
			t.Errorf("given up while it is written %v: written %v, %v, %q goes after it, want %q", within, wrote, err, l.raw, want)
		}
		s.Close()
	}
}
