package transport

import (
	"fmt"
	"math/rand"
	"net"
	"slices"
	"testing"
	"time"

	"nettlefold/example/toy"
	"nettlefold/internal/charter"
	"nettlefold/internal/conns"
	"nettlefold/internal/protocol"
	"nettlefold/internal/routing"
	"nettlefold/mixer"
)

// crowd is a table of searchers that are all one process, each listed under a name of its own.
type crowd struct {
	*played
	names  []string
	counts *tally
	held   chan toy.Part
	sent   int
}

// gather makes one with room for so many connections, none of which is closed for its age.
func gather(t *testing.T, b conns.Budget, searchers, room int) *crowd {
	t.Helper()
	c := &crowd{counts: &tally{}, held: make(chan toy.Part, 9999)}
	far := &toy.Searcher{Handle: func(p toy.Part) { c.held <- p }}
	if err := far.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(far.Stop)
	s := NewSearchersWithin(b, charter.Limits{KeepAliveTimeout: time.Hour, ConnectTimeout: 5 * time.Second, FrameReadTimeout: time.Second,
		WriteTimeout: 5 * time.Second, MaxStreamsPerConn: 9, FileDescriptors: 2*room + 32, MaxFrameBytes: 999}, quiet)
	t.Cleanup(s.Close)
	var list protocol.MemberList
	for i := range searchers {
		c.names = append(c.names, fmt.Sprint("s", i))
		list.Members = append(list.Members, protocol.Member{Entry: routing.Entry{Searcher: c.names[i]}, Address: far.Address})
	}
	s.Listed(list)()
	c.played = &played{t, nil, s, far}
	return c
}

// send has a part go to a searcher, by a module of its own, which holds nothing back; it gives where its outcome is counted.
func (c *crowd) send(to string, fresh bool) (*Parcel, int) {
	c.t.Helper()
	c.r = routerOf(c.t, mixer.AtMostOnce, 1, "any")
	c.r.Eyes = c.counts
	c.sent++
	p, _ := parcel(c.t, c.r, fmt.Sprint("q", c.sent))
	c.s.Send(to, fresh, []*Parcel{p})
	return p, c.sent - 1
}

// outcome gives the one that a part has had, -1 for none yet.
func (c *crowd) outcome(spot int) mixer.Outcome {
	c.counts.mu.Lock()
	defer c.counts.mu.Unlock()
	if len(c.counts.all[spot]) == 0 {
		return -1
	}
	return c.counts.all[spot][0]
}

// answered sends a part and has it answered, so that its connection is idle.
func (c *crowd) answered(to string) *Parcel {
	c.t.Helper()
	p, _ := c.send(to, false)
	c.reply()
	c.until("it is answered", p.Forward.Over)
	return p
}

func (c *crowd) reply() {
	c.t.Helper()
	select {
	case part := <-c.held:
		part.Answer("ok", "")
	case <-time.After(5 * time.Second):
		c.t.Fatal("no part has come")
	}
}

// longestIdle looks through all connections for the one idle longest, as the table once did for each call. The lock is held.
func (s *Searchers) longestIdle() (best *conn) {
	for _, to := range s.all {
		for _, l := range to.conns {
			if l.nc != nil && l.live() == 0 && (best == nil || l.used.Before(best.used)) {
				best = l
			}
		}
	}
	return best
}

// TestLongestIdleGoesFirst has far more searchers than descriptors, parts that are answered, wait, or are given up with nobody
// telling the table: what is closed for a new connection is what a look through all of them gives.
func TestLongestIdleGoesFirst(t *testing.T) {
	const room = 12
	for seed := range int64(4) {
		rng := rand.New(rand.NewSource(seed))
		c := gather(t, conns.Budget{}, 40, room)
		var out []*Parcel
		closed, refused := 0, 0
		for range 150 {
			if len(out) > room-3 || len(out) > 0 && rng.Intn(3) == 0 {
				i := rng.Intn(len(out))
				p := out[i]
				out = slices.Delete(out, i, i+1)
				if rng.Intn(2) == 0 {
					p.Forward.Report(mixer.TimedOut, nil)
					continue
				}
				id := p.Part.ID
				for part := range c.held { // its answer; the others wait on
					if part.ID == id {
						part.Answer("ok", "")
						break
					}
					c.held <- part
				}
				c.until("it is answered", p.Forward.Over)
				continue
			}
			name := c.names[rng.Intn(len(c.names))]
			c.s.mu.Lock()
			needed := c.s.conns >= room && len(c.s.all[name].conns) == 0
			victim := c.s.longestIdle()
			c.s.mu.Unlock()
			p, spot := c.send(name, false)
			if p.conn == nil {
				if victim != nil || c.outcome(spot) != mixer.Unreachable {
					t.Fatalf("refused with %v, idle longest %+v", c.outcome(spot), victim)
				}
				refused++
				continue
			}
			c.s.mu.Lock()
			gone := victim != nil && victim.closed
			c.s.mu.Unlock()
			if gone {
				closed++
			} else if needed {
				t.Fatal("another was closed than the one idle longest")
			}
			c.until("it is out", func() bool { return c.is(p, written) })
			out = append(out, p)
		}
		if st := c.s.Connections(); closed < 20 || st.Closed[conns.ForPlace] != uint64(closed) || st.Open > room {
			t.Errorf("seed %d: %d closed for another's place, %d refused; counted %+v", seed, closed, refused, st)
		}
	}
}

// TestGoneSearchersAreForgotten has a whole list leave searchers out: the sweep closes what is idle to them, and forgets them, those with
// parts out when these are over.
func TestGoneSearchersAreForgotten(t *testing.T) {
	for _, b := range []conns.Budget{{}, {Open: 50}} {
		far := &toy.Searcher{}
		c := gather(t, b, 6, 100)
		c.s.Close()
		c.far.Stop()
		s := NewSearchersWithin(b, charter.Limits{KeepAliveTimeout: time.Second, ConnectTimeout: time.Second, FrameReadTimeout: time.Second, WriteTimeout: time.Second,
			MaxStreamsPerConn: 9, FileDescriptors: 99, MaxFrameBytes: 999}, quiet)
		t.Cleanup(s.Close)
		held := make(chan toy.Part, 9)
		far.Handle = func(p toy.Part) { held <- p }
		if err := far.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(far.Stop)
		c.s, c.far, c.held = s, far, held
		list := protocol.MemberList{Snapshot: true}
		for _, name := range c.names {
			list.Members = append(list.Members, protocol.Member{Entry: routing.Entry{Searcher: name}, Address: far.Address})
		}
		s.Listed(list)()
		c.answered("s0")
		busy, _ := c.send("s1", false)
		part := <-held
		list.Members = list.Members[5:]
		s.Listed(list)()
		known := func(n int) func() bool {
			return func() bool {
				s.mu.Lock()
				defer s.mu.Unlock()
				return len(s.all) == n && len(s.changed) == 0
			}
		}
		c.until("all but the busy one are forgotten", known(2))
		part.Answer("ok", "")
		c.until("the busy one is answered", busy.Forward.Over)
		c.until("it is forgotten too", known(1))
		if st := s.Connections(); st.Open != 0 || st.Closed[conns.ForGone] != 2 {
			t.Errorf("budget %+v: %+v", b, st)
		}
	}
}

// TestNeverWritten has a part come to its outcome before it is sent: the connection that was opened for it is idle, and no part out.
func TestNeverWritten(t *testing.T) {
	c := gather(t, conns.Budget{}, 1, 9)
	c.r = routerOf(t, mixer.AtMostOnce, 1, "any")
	p, _ := parcel(t, c.r, "q")
	p.Forward.Report(mixer.TimedOut, nil)
	c.s.Send(c.names[0], false, []*Parcel{p})
	c.until("its connection is idle", func() bool { return c.s.Connections().Idle == 1 })
	if frames := c.far.Frames(); len(frames) > 0 {
		t.Errorf("%q has come", frames)
	}
}

// TestIdleWhileItIsWritten has a part given up while its frame is on its way: the connection is idle at once, and then used last, when the
// frame is out.
func TestIdleWhileItIsWritten(t *testing.T) {
	s := NewSearchers(charter.Limits{KeepAliveTimeout: time.Hour, WriteTimeout: time.Minute, MaxStreamsPerConn: 1}, quiet)
	defer s.Close()
	p, _ := parcel(t, router(t, mixer.AtMostOnce, "s"), "a")
	near, _ := net.Pipe()
	enter := func(out map[string]*Parcel) *conn {
		l := &conn{to: &searcher{}, nc: near, used: time.Now(), cancel: func() {}, out: out}
		s.pool.Open(0, &l.kept, l, nil)
		return l
	}
	l, other := enter(map[string]*Parcel{"a.0": p}), enter(nil)
	s.write(l, &breaking{near, 1000, func() {
		if !p.Forward.Over() {
			p.Forward.Report(mixer.TimedOut, nil)
			s.mu.Lock()
			other.used = time.Now()
			s.judge(l)
			s.judge(other)
			s.mu.Unlock()
		}
	}}, []*Parcel{p})
	if e, _ := s.pool.Spare(since(time.Now())); e != &other.kept || s.Connections().Idle != 2 {
		t.Errorf("the one written to last goes first; %+v", s.Connections())
	}
}
