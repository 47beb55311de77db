package transport

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"nettlefold/example/toy"
	"nettlefold/internal/protocol"
	"nettlefold/internal/routing"
	"nettlefold/mixer"
)

// meanwhile is a log that does something once, when the first of several connections has been ended.
type meanwhile struct {
	slog.Handler
	do atomic.Pointer[func()]
}

func (m *meanwhile) Enabled(context.Context, slog.Level) bool { return true }
func (m *meanwhile) Handle(_ context.Context, r slog.Record) error {
	if do := m.do.Load(); strings.Contains(r.Message, "ended") && do != nil && m.do.CompareAndSwap(do, nil) {
		(*do)()
	}
	return nil
}

// TestCallCrossesClosing has two idle connections chosen to be closed, and a call come when the first is closed and the
// second is not yet: it must not go out there, only to be ended by ourselves.
func TestCallCrossesClosing(t *testing.T) {
	for name, end := range map[string]func(w *played){
		"fresh": func(w *played) { w.send("fresh", true) },
		"old": func(w *played) {
			w.s.Listed(protocol.MemberList{Members: []protocol.Member{{Entry: routing.Entry{Searcher: "s"}, StartTime: time.Now()}}})()
		},
		"moved": func(w *played) {
			w.s.Listed(protocol.MemberList{Members: []protocol.Member{{Entry: routing.Entry{Searcher: "s"}, Address: w.far.Address + "0"}}})()
		},
		"sweep": func(w *played) {
			w.s.mu.Lock()
			for _, l := range w.s.all["s"].conns {
				l.used = time.Now().Add(-time.Hour)
			}
			w.s.mu.Unlock()
		},
		"close": func(w *played) { w.s.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			held := make(chan toy.Part, 9)
			far := &toy.Searcher{Handle: func(p toy.Part) {
				if held <- p; p.ID == "cross.0" {
					p.Answer("ok", p.Value())
				}
			}}
			log := &meanwhile{}
			w := playOn(t, far, slog.New(log), router(t, mixer.AtMostOnce, "s"))
			a, _ := w.send("a", false)
			first := <-held
			w.until("the first is out", func() bool { return w.is(a, written) })
			b, _ := w.send("b", true) // while the first is silent: on another connection
			second := <-held
			w.until("the second is out", func() bool { return w.is(b, written) })
			first.Answer("ok", "")
			second.Answer("ok", "")
			w.until("both are idle", func() bool { return a.Forward.Over() && b.Forward.Over() })
			var cross *Parcel
			var ticket *routing.Ticket
			crossed := make(chan bool)
			do := func() {
				if name == "moved" { // to where nobody is: back again for the call
					w.s.Listed(protocol.MemberList{Members: []protocol.Member{{Entry: routing.Entry{Searcher: "s"}, Address: w.far.Address}}})
				}
				cross, ticket = w.send("cross", false)
				w.until("the call has gone somewhere", func() bool { return cross.Forward.Over() || len(held) > 0 })
				close(crossed)
			}
			log.do.Store(&do)
			end(w)
			<-crossed
			if name == "close" { // nothing goes out any more
				if slices.ContainsFunc(far.Frames(), func(f string) bool { return strings.HasPrefix(f, "Qcross.0") }) {
					t.Error("a call went out after the end")
				}
				return
			}
			if a.conn == b.conn || cross.conn == a.conn || cross.conn == b.conn {
				t.Error("the call was put on a connection that was to be closed, or there was but one")
			}
			if step := pick(t, ticket); step.Final == nil || step.Final.Verdict != routing.Answered {
				t.Errorf("the call ended with %+v", step)
			}
		})
	}
}

// TestListWhilePartsAreOut has the list name a searcher anew while one part of it is out and another waits for its
// connection. One that has only moved answers what it has; of one that is no more the parts are told lost, though not
// before those who choose can have the list too, and until then nothing goes out there.
func TestListWhilePartsAreOut(t *testing.T) {
	for name, c := range map[string]struct {
		since time.Time
		port  string
		lost  bool
	}{"moved": {time.Time{}, "0", false}, "restarted": {time.Now().Add(time.Hour), "", true}, "both": {time.Now().Add(time.Hour), "0", true}} {
		t.Run(name, func(t *testing.T) {
			held := make(chan toy.Part, 9)
			w := play(t, &toy.Searcher{Handle: func(p toy.Part) { held <- p }}, "other")
			out, _ := w.send("out", false)
			part := <-held
			w.until("one part is out", func() bool { return w.is(out, written) })
			late, _ := parcel(t, w.r, "late")
			tell := w.s.Listed(protocol.MemberList{Members: []protocol.Member{
				{Entry: routing.Entry{Searcher: "s"}, StartTime: c.since, Address: w.far.Address + c.port}}})
			w.s.mu.Lock() // as if it had been put there before the list came, and its turn came now
			late.conn, out.conn.out[late.Part.ID] = out.conn, late
			w.s.mu.Unlock()
			if err := w.s.write(out.conn, out.conn.nc, []*Parcel{late}); err != nil || w.is(late, written) == c.lost {
				t.Errorf("the part that waits is written %v, %v", c.lost, err)
			}
			if next, _ := w.send("next", false); next.conn == out.conn || out.Forward.Over() || late.Forward.Over() {
				t.Errorf("new parts go out on the same connection %v, outcomes told before their time %v %v",
					next.conn == out.conn, out.Forward.Over(), late.Forward.Over())
			}
			tell()
			if out.Forward.Over() != c.lost || late.Forward.Over() != c.lost {
				t.Errorf("lost %v %v, want %v", out.Forward.Over(), late.Forward.Over(), c.lost)
			}
			if c.lost || t.Failed() {
				return
			}
			for _, id := range []string{"out.0", "late.0"} {
				part.ID = id
				part.Answer("ok", "")
			}
			w.until("both are answered and the connection is closed", func() bool {
				return out.Forward.Over() && late.Forward.Over() && w.far.Conns() == 0
			})
		})
	}
}

// TestMoveWhileConnecting has a searcher move before its connection is up: where that leads another may be now.
func TestMoveWhileConnecting(t *testing.T) {
	w := play(t, &toy.Searcher{}, "other")
	w.s.mu.Lock()
	p, _ := parcel(t, w.r, "a")
	to := w.s.all["s"]
	l := &conn{to: to, began: time.Now(), out: map[string]*Parcel{"a.0": p}, cancel: func() {}}
	to.conns, w.s.conns = append(to.conns, l), w.s.conns+1
	w.s.mu.Unlock()
	tell := w.s.Listed(protocol.MemberList{Members: []protocol.Member{{Entry: routing.Entry{Searcher: "s"}, Address: "127.0.0.1:1"}}})
	if !l.closed || p.Forward.Over() {
		t.Errorf("closed %v, its part over %v before the list is with all", l.closed, p.Forward.Over())
	}
	if tell(); !p.Forward.Over() || len(to.conns) > 0 {
		t.Errorf("its part is over %v, %d connections are kept", p.Forward.Over(), len(to.conns))
	}
}
