package transport

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
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

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// router makes a router with searchers that all hold the one slice, and one tariff.
func router(t *testing.T, effect mixer.Effect, searchers ...string) *routing.Router {
	t.Helper()
	c := mixer.Charter{
		Tariffs: []mixer.Tariff{{Expected: 5e9, Patience: 5e9, CompleteFrom: 1, LeastShare: 1, Effect: effect}},
		Mixers:  1, Cells: 1, Reach: 1, PerCall: 1, MaxForwards: 3, ColdFrom: 1, FallMultiple: 1, FallFor: 1e9,
	}
	r, err := routing.New(c, map[string]int{"t": 0}, 100, 1, quiet)
	if err != nil {
		t.Fatal(err)
	}
	var rows []routing.Entry
	for _, s := range searchers {
		rows = append(rows, routing.Entry{Searcher: s})
	}
	r.Listed(rows, true)
	return r
}

// take takes a lookup of one part.
func take(t *testing.T, r *routing.Router, id string) *routing.Ticket {
	t.Helper()
	ticket, err := r.Take(routing.Lookup{ID: id, Tariff: "t", Expires: time.Now().Add(5 * time.Second), Parts: []routing.Part{{Weight: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	return ticket
}

// pick gives the lookup's next step.
func pick(t *testing.T, ticket *routing.Ticket) routing.Step {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	step, err := ticket.Pick(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return step
}

// TestWishesReachTheSearcher gives up a part that is out, and has idle connections closed before the next one.
func TestWishesReachTheSearcher(t *testing.T) {
	r := router(t, mixer.Repeatable, "s")
	far := &toy.Searcher{}
	if err := far.Start(); err != nil {
		t.Fatal(err)
	}
	defer far.Stop()
	s := NewSearchers(charter.Limits{KeepAlive: time.Hour, Connect: time.Second, Write: time.Second, Streams: 9, Sockets: 99, Frame: 999}, quiet)
	defer s.Close()
	s.Listed(protocol.List{Members: []protocol.Member{{Entry: routing.Entry{Searcher: "s"}, Address: far.Address}}})
	seen := func(frame string) bool {
		for _, f := range far.Frames() {
			if strings.HasPrefix(f, frame) {
				return true
			}
		}
		return false
	}
	until := func(what string, is func() bool) {
		t.Helper()
		for end := time.Now().Add(5 * time.Second); !is(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("never: %s", what)
			}
		}
	}
	send := func(id string, fresh bool) *Parcel {
		step := pick(t, take(t, r, id))
		if len(step.Calls) != 1 {
			t.Fatal(step)
		}
		p := &Parcel{Forward: step.Calls[0].Forwards[0], Part: protocol.Part{ID: id + ".0"}}
		s.Send("s", fresh, []*Parcel{p})
		return p
	}
	first := send("a", false)
	until("the first is answered", first.Forward.Over)
	second := send("b", false)
	until("the second is answered", second.Forward.Over)
	if far.Conns() != 1 || first.line != second.line {
		t.Errorf("%d connections for two parts one after the other, want 1", far.Conns())
	}
	far.Handle = func(toy.Part) {}
	third := send("c", true)
	if third.line == first.line {
		t.Error("an idle connection was used though it was to be closed")
	}
	until("the idle connection is closed", func() bool { return far.Conns() == 1 })
	until("the third is out", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return third.state == written
	})
	s.Withdraw(second) // its connection is no more
	s.Withdraw(third)
	until("the third is given up at the searcher", func() bool { return seen("Xc.0") })
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
			far := &toy.Searcher{Handle: func(p toy.Part) { parts <- p }}
			if err := far.Start(); err != nil {
				t.Fatal(err)
			}
			defer far.Stop()
			r := router(t, mixer.Repeatable, "s", "other")
			s := NewSearchers(charter.Limits{KeepAlive: time.Hour, Connect: time.Second, Rest: 100 * time.Millisecond,
				Write: time.Second, Streams: 9, Sockets: 99, Frame: 999}, quiet)
			defer s.Close()
			s.Listed(protocol.List{Members: []protocol.Member{{Entry: routing.Entry{Searcher: "s"}, Address: far.Address}}})
			var tickets []*routing.Ticket
			send := func(id string) *Parcel {
				ticket := take(t, r, id)
				tickets = append(tickets, ticket)
				p := &Parcel{Forward: pick(t, ticket).Calls[0].Forwards[0], Part: protocol.Part{ID: id + ".0"}}
				s.Send("s", false, []*Parcel{p})
				return p
			}
			a := send("a")
			b := send("b")
			first, second := <-parts, <-parts
			began := time.Now()
			c.handle(first)
			step := pick(t, tickets[0])
			if answered := step.Final != nil && step.Final.Verdict == routing.Answered; answered != c.sound {
				t.Errorf("the part's lookup goes on with %+v, answered ought to be %v", step, c.sound)
			}
			if c.sound {
				time.Sleep(20 * time.Millisecond)
				second.Answer("ok", "other")
			}
			step = pick(t, tickets[1])
			if answered := step.Final != nil && string(step.Final.Hits[0].Value) == "other"; answered != c.sound || time.Since(began) > time.Second {
				t.Errorf("the other part's lookup goes on after %v with %+v", time.Since(began), step)
			}
			if next := send("c"); name != "a report without form" && next.line == a.line || a.line != b.line {
				t.Errorf("new parts go out on the same connection: %v, the first two: %v", next.line == a.line, a.line == b.line)
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
	if err := far.Start(); err != nil {
		t.Fatal(err)
	}
	defer far.Stop()
	r := router(t, mixer.Repeatable, "s")
	s := NewSearchers(charter.Limits{KeepAlive: time.Second, Connect: time.Second, Write: time.Second, Streams: 9, Sockets: 99, Frame: 999}, quiet)
	defer s.Close()
	s.Listed(protocol.List{Members: []protocol.Member{{Entry: routing.Entry{Searcher: "s"}, Address: far.Address}}})
	send := func(id string, fresh bool) (*Parcel, *routing.Ticket) {
		ticket := take(t, r, id)
		p := &Parcel{Forward: pick(t, ticket).Calls[0].Forwards[0], Part: protocol.Part{ID: id + ".0"}}
		s.Send("s", fresh, []*Parcel{p})
		return p, ticket
	}
	a, _ := send("a", false)
	for end := time.Now().Add(5 * time.Second); len(far.Frames()) == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(10 * time.Millisecond)
	if b, _ := send("b", false); b.line != a.line {
		t.Error("a connection is not used any more while its part has time left")
	}
	if c, ticket := send("c", true); c.line == a.line || pick(t, ticket).Final == nil {
		t.Error("a fresh connection was asked for, but the silent one is used")
	}
	s.mu.Lock()
	a.Forward.Until = time.Now().Add(-time.Millisecond)
	s.mu.Unlock()
	if d, ticket := send("d", false); d.line == a.line || pick(t, ticket).Final == nil {
		t.Error("the silent connection is used although a part has waited there in vain")
	}
}

// TestBlame has a spoilt answer without an id on a connection with a part that has been given up: one still out is blamed.
func TestBlame(t *testing.T) {
	r := router(t, mixer.Repeatable, "s")
	var out []*Parcel
	for _, id := range []string{"a", "b", "c"} {
		out = append(out, &Parcel{Forward: pick(t, take(t, r, id)).Calls[0].Forwards[0], Part: protocol.Part{ID: id + ".0"}})
	}
	out[0].Forward.Report(mixer.TimedOut, nil)
	for id, want := range map[string]string{"": "b.0", "c.0": "c.0"} {
		failed, others := blame(&spoilt{protocol.Bad("noise"), id}, out)
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
	part := protocol.Part{ID: "a.0", Text: "some text"}
	frame := len(protocol.AppendCall(nil, []protocol.Part{{ID: part.ID, Text: part.Text, Within: 4990 * time.Millisecond}}))
	for _, first := range []bool{false, true} { // whether the reader sees it before the writer does
		for cut := range frame + 1 {
			ticket := take(t, router(t, mixer.OnceOnly, "s", "other"), "a")
			call := pick(t, ticket).Calls[0]
			s := NewSearchers(charter.Limits{KeepAlive: time.Hour, Write: time.Minute, Streams: 1}, quiet)
			near, _ := net.Pipe()
			parcel := &Parcel{Forward: call.Forwards[0], Part: part}
			l := &line{to: &searcher{}, nc: near, cancel: func() {}, out: map[string]*Parcel{part.ID: parcel}}
			parcel.line = l
			s.write(l, &breaking{near, cut, func() {
				if first {
					s.drop(l, io.EOF)
				}
			}}, []*Parcel{parcel})
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

// TestGivenUpWhileItIsWritten gives up a part that has leave to go, before its frame is written and within that: the frame
// comes whole, and the searcher is to be told after it, else it works beside the copy that goes elsewhere.
func TestGivenUpWhileItIsWritten(t *testing.T) {
	part := protocol.Part{ID: "a.0", Text: "some text"}
	for _, within := range []bool{false, true} {
		call := pick(t, take(t, router(t, mixer.Repeatable, "s"), "a")).Calls[0]
		s := NewSearchers(charter.Limits{KeepAlive: time.Hour, Write: time.Minute, Streams: 1}, quiet)
		near, _ := net.Pipe()
		parcel := &Parcel{Forward: call.Forwards[0], Part: part}
		l := &line{to: &searcher{}, nc: near, cancel: func() {}, out: map[string]*Parcel{part.ID: parcel}}
		parcel.line = l
		if !within {
			s.Withdraw(parcel)
		}
		s.write(l, &breaking{near, 1000, func() {
			if within {
				s.Withdraw(parcel)
			}
		}}, []*Parcel{parcel})
		if want := protocol.AppendFrame(nil, protocol.Withdraw, []byte(part.ID)); len(l.raw) != 1 || !bytes.Equal(l.raw[0], want) {
			t.Errorf("given up while it is written %v: %q goes after it, want %q", within, l.raw, want)
		}
		s.Close()
	}
}

// TestSilentWatchIsMadeAnew has an agent take the first watch and say nothing, as a cut-off one does, and end the second
// with a line that cannot be read: what that had to tell is in the whole list.
func TestSilentWatchIsMadeAnew(t *testing.T) {
	asked := make(chan string, 10)
	first := true
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.String()
		if first {
			first = false
			<-r.Context().Done()
			return
		}
		if r.URL.Path == protocol.PathList && r.FormValue("follow") == "" {
			io.WriteString(w, `{"index":12,"snapshot":true,"endpoints":[]}`)
			return
		}
		for _, piece := range []string{"\n" + `{"index":9,"snap`, `shot":true,"endpoints":[]}` + "\n\n{\n"} { // chunks cut a line
			io.WriteString(w, piece)
			w.(http.Flusher).Flush()
		}
	}))
	defer agent.Close()
	defer agent.CloseClientConnections() // else a watch that is never given up would keep it
	heard := make(chan protocol.List, 10)
	w := &Watch{
		Discovery: agent.Listener.Addr().String(), Known: protocol.List{Version: 4},
		Limits: charter.Limits{Beat: 20 * time.Millisecond, Read: time.Second, Line: 1 << 10, WatchLast: 20 * time.Millisecond},
		Log:    quiet, Listed: func(l protocol.List) { heard <- l },
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		w.Run(ctx)
		close(ended)
	}()
	for i, want := range []string{"since=4", "since=4", "/members", "since=12"} {
		select {
		case got := <-asked:
			if !strings.HasSuffix(got, want) {
				t.Errorf("watch %d asks %s, want %s", i, got, want)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("watch %d is not asked for", i)
		}
	}
	if l := <-heard; l.Version != 9 || !l.Whole {
		t.Errorf("heard %+v", l)
	}
	cancel()
	<-ended
}

// TestFailingWatchIsAskedForLessOften has an agent that fails each time: the waits grow, and one line at WARN says so.
func TestFailingWatchIsAskedForLessOften(t *testing.T) {
	var asked atomic.Int32
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		w.WriteHeader(http.StatusBadGateway)
	}))
	defer agent.Close()
	var log bytes.Buffer
	w := &Watch{
		Discovery: agent.Listener.Addr().String(),
		Limits:    charter.Limits{Beat: 80 * time.Millisecond, Read: time.Second, Line: 1 << 10, WatchLast: 200 * time.Millisecond},
		Log:       slog.New(slog.NewTextHandler(&log, nil)),
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	w.Run(ctx)
	// Waits of 5, 10, 20, 40, 80, 160 and 200 ms, each from half as long to half as long again.
	if n := asked.Load(); n < 4 || n > 20 {
		t.Errorf("asked %d times in a second", n)
	}
	if n := strings.Count(log.String(), "level=WARN"); n != 1 {
		t.Errorf("%d lines at WARN:\n%s", n, log.String())
	}
}

func TestPanicEndsOneRequest(t *testing.T) {
	s := &Server{Log: quiet}
	server := httptest.NewServer(s.guard(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/bad" {
			panic("as a test")
		}
	})))
	defer server.Close()
	for path, want := range map[string]int{"/bad": 500, "/good": 200} {
		r, err := http.Get(server.URL + path)
		if err != nil || r.StatusCode != want {
			t.Fatalf("%s: %v, %v, want %d", path, r, err, want)
		}
		r.Body.Close()
	}
}
