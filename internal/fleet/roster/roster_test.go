package roster

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// box is an exchange that keeps what it is given.
type box struct {
	mu  sync.Mutex
	own string
	has map[string]bool
}

func (b *box) Offer(most int) []byte { return []byte(b.own) }
func (b *box) Take(from string, state []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.has == nil {
		b.has = map[string]bool{}
	}
	b.has[from+":"+string(state)] = true
	return nil
}
func (b *box) got(what string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.has[what]
}

// one is a roster of a test, with its run.
type one struct {
	*Roster
	box  *box
	stop func() // with a goodbye
}

func start(t *testing.T, name string, change func(*Options)) *one {
	t.Helper()
	b := &box{own: "of " + name}
	o := Options{Self: Life{Name: name, Site: "a", Build: "v1"}, Listen: "127.0.0.1:0", Exchange: b, Beat: 50 * time.Millisecond}
	if change != nil {
		change(&o)
	}
	r, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { r.Run(ctx); close(done) }()
	stop := func() { cancel(); <-done }
	t.Cleanup(stop)
	return &one{r, b, stop}
}

func joining(others ...*one) func(*Options) {
	return func(o *Options) {
		for _, r := range others {
			o.Join = append(o.Join, r.Address())
		}
	}
}

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 30 s: %s", what)
		}
	}
}

// as gives how somebody sees a life.
func (r *one) as(life Life) string {
	for _, m := range r.Members() {
		if m.Name == life.Name && m.Life.Life == life.Life {
			return strings.TrimSpace(m.State.String() + " " + m.Why.String())
		}
	}
	return "unknown"
}

func TestComesExchangesAndSaysGoodbye(t *testing.T) {
	a := start(t, "a", nil)
	changes := a.Watch()
	b := start(t, "b", func(o *Options) { joining(a)(o); o.Self.Site = "x" })
	c := start(t, "c", joining(b))
	for _, r := range []*one{a, b, c} {
		until(t, "all see all", func() bool {
			return r.as(a.self) == "here" && r.as(b.self) == "here" && r.as(c.self) == "here"
		})
	}
	<-changes
	if m := a.Members()[1]; m.Site != "x" || m.Build != "v1" || m.Life != b.self {
		t.Errorf("b is told as %+v, and is %+v", m.Life, b.self)
	}
	until(t, "states are exchanged", func() bool { return a.box.got("c:of c") && c.box.got("a:of a") })
	if err := c.Say([]byte("news")); err != nil || c.Say(make([]byte, MostNews+1)) == nil {
		t.Errorf("said: %v; too much is not refused", err)
	}
	until(t, "news comes", func() bool { return a.box.got("c:news") && b.box.got("c:news") })
	until(t, "a heard c itself", func() bool { return a.Members()[2].Heard > 0 && a.Members()[2].Term == 1 })
	c.stop()
	until(t, "c is gone by its goodbye", func() bool { return a.as(c.self) == "gone goodbye" && b.as(c.self) == "gone goodbye" })
	d := start(t, "d", joining(b)) // it hears of c's goodbye by the exchange alone
	until(t, "d knows", func() bool { return d.as(c.self) == "gone goodbye" })
}

func TestAKillIsNoGoodbyeAndANewLifeEndsTheOld(t *testing.T) {
	a, b := start(t, "a", nil), (*one)(nil)
	b = start(t, "b", joining(a))
	until(t, "b is here", func() bool { return a.as(b.self) == "here" && b.as(a.self) == "here" })
	until(t, "b has its term", func() bool { return a.Members()[1].Term == 1 })
	b.Close()
	until(t, "b is cut off", func() bool { return a.as(b.self) == "cut off" })
	c := start(t, "c", joining(a))
	until(t, "c knows of b by hearsay", func() bool { return c.as(b.self) == "cut off" })
	time.Sleep(time.Second)
	if got := a.as(b.self); got != "cut off" {
		t.Errorf("killed and %s", got)
	}
	again := start(t, "b", func(o *Options) {
		joining(c)(o)
		o.Self.Since = 1 // its clock is decades behind: the term decides
	})
	for _, r := range []*one{a, c, again} {
		until(t, "the new life is here, the old is gone", func() bool {
			return r.as(again.self) == "here" && r.as(b.self) == "gone succeeded"
		})
	}
}

func TestTwoProcessesOfOneName(t *testing.T) {
	var log lines
	a := start(t, "a", func(o *Options) { o.Log = slog.New(slog.NewTextHandler(&log, nil)) })
	first := start(t, "b", joining(a))
	until(t, "the first has its term", func() bool { return a.as(first.self) == "here" && a.Members()[1].Term == 1 })
	second := start(t, "b", joining(a))
	for _, r := range []*one{a, first, second} {
		until(t, "the second counts", func() bool {
			return r.as(first.self) == "gone succeeded" && r.as(second.self) == "here"
		})
	}
	if got := log.String(); !strings.Contains(got, "two processes run by one name") {
		t.Errorf("log: %s", got)
	}
}

func TestAnotherKeyOrGroupIsNotTalkedTo(t *testing.T) {
	key := func(b byte, group string, to ...*one) func(*Options) {
		return func(o *Options) { joining(to...)(o); o.Key, o.Group = bytes.Repeat([]byte{b}, 32), group }
	}
	a := start(t, "a", key(1, "g"))
	other := start(t, "other", key(2, "g", a))
	group := start(t, "group", key(1, "h", a))
	plain := start(t, "plain", joining(a))
	b := start(t, "b", key(1, "g", a))
	until(t, "the right key is taken", func() bool { return a.as(b.self) == "here" && b.as(a.self) == "here" })
	time.Sleep(time.Second)
	for _, r := range []*one{other, group, plain} {
		if len(r.Members()) != 1 || a.as(r.self) != "unknown" {
			t.Errorf("%s: %+v", r.self.Name, r.Members())
		}
	}
	for what, o := range map[string]Options{
		"a key of 31 bytes":   {Self: Life{Name: "x"}, Listen: "127.0.0.1:0", Key: make([]byte, 31)},
		"a name of 65 bytes":  {Self: Life{Name: strings.Repeat("x", 65)}, Listen: "127.0.0.1:0"},
		"an address in use":   {Self: Life{Name: "x"}, Listen: a.Address()},
		"a foreign address":   {Self: Life{Name: "x"}, Listen: "192.0.2.1:7946"},
		"all there are":       {Self: Life{Name: "x"}, Listen: ":7946"},
		"a bad advertisement": {Self: Life{Name: "x"}, Listen: "127.0.0.1:0", Advertise: "nowhere"},
	} {
		if r, err := Start(o); err == nil {
			r.Close()
			t.Errorf("%s is taken", what)
		}
	}
}

func TestNoMoreMembersThanSet(t *testing.T) {
	a := start(t, "a", func(o *Options) { o.MostMembers = 3 })
	var others []*one
	for i := range 4 {
		others = append(others, start(t, fmt.Sprint("b", i), joining(a)))
	}
	until(t, "it is full", func() bool { return len(a.Members()) == 3 })
	until(t, "others know all", func() bool { return len(others[0].Members()) == 5 && len(others[3].Members()) == 5 })
	if n, m := len(a.Members()), a.ml.NumMembers(); n != 3 || m != 3 {
		t.Errorf("%d members, %d of memberlist's", n, m)
	}
}

// TestRoutesLeadThroughAWireThatCanBeCut: b is reached through a relay of a's alone, and b reaches a straight. With the relay's
// packets and streams cut, a does not hear b and c does: doubted, not cut off. Whole again, it is here.
func TestRoutesLeadThroughAWireThatCanBeCut(t *testing.T) {
	b := start(t, "b", nil)
	w := relay(t, b.Address())
	a := start(t, "a", func(o *Options) { o.Join, o.Routes = []string{w.address}, map[string]string{"b": w.address} })
	c := start(t, "c", joining(b))
	until(t, "all are here", func() bool {
		return a.as(c.self) == "here" && a.as(b.self) == "here" && b.as(a.self) == "here"
	})
	w.cut(true)
	// Both at one moment: that a pause of the machine has c doubt b too, for as long as it lasts, is no fault.
	until(t, "a does not hear b, and c does", func() bool { return a.as(b.self) == "doubted" && c.as(b.self) == "here" })
	w.cut(false)
	until(t, "a hears b again", func() bool { return a.as(b.self) == "here" })
	if w.packets() == 0 {
		t.Error("nothing went by the route")
	}
}

// wire relays packets and streams to one address, unless it is cut.
type wire struct {
	address string
	mu      sync.Mutex
	off     bool
	n       int
}

func (w *wire) cut(off bool) { w.mu.Lock(); defer w.mu.Unlock(); w.off = off }
func (w *wire) packets() int { w.mu.Lock(); defer w.mu.Unlock(); return w.n }
func (w *wire) through() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.n++
	return !w.off
}

func relay(t *testing.T, to string) *wire {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p, err := net.ListenPacket("udp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close(); p.Close() })
	w := &wire{address: l.Addr().String()}
	there, _ := net.ResolveUDPAddr("udp", to)
	go func() {
		for buf := make([]byte, 1<<16); ; {
			n, _, err := p.ReadFrom(buf)
			if err != nil {
				return
			}
			if w.through() {
				p.WriteTo(buf[:n], there)
			}
		}
	}()
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			if !w.through() {
				in.Close()
				continue
			}
			go func() {
				defer in.Close()
				out, err := net.Dial("tcp", to)
				if err != nil {
					return
				}
				defer out.Close()
				go func() { io.Copy(out, in); out.Close() }()
				io.Copy(in, out)
			}()
		}
	}()
	return w
}

// lines is a log that may be read while it is written.
type lines struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) { l.mu.Lock(); defer l.mu.Unlock(); return l.b.Write(p) }
func (l *lines) String() string              { l.mu.Lock(); defer l.mu.Unlock(); return l.b.String() }
