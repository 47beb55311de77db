package transport

import (
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"testing"
	"time"

	"nettlefold/example/toy"
	"nettlefold/internal/conns"
	"nettlefold/internal/protocol"
	"nettlefold/internal/routing"
	"nettlefold/mixer"
)

// TestRefusedForTheRate asks for more connections at once than the budget has handshakes: those beyond come to an outcome at once that
// says they never left, and where the searcher has a connection with room that is used, though a fresh one was asked for.
func TestRefusedForTheRate(t *testing.T) {
	const rate = 3
	c := gather(t, conns.Budget{Handshakes: rate}, 40, 100)
	began := time.Now()
	first := c.answered(c.names[0])
	refused := 0
	for _, name := range c.names[1:] {
		p, spot := c.send(name, false)
		if p.conn == nil {
			refused++
			if o := c.outcome(spot); o != mixer.NeverSent {
				t.Errorf("refused with %v", o)
			}
		}
	}
	opened, most := c.s.Connections().Opened, rate+rate*time.Since(began).Seconds()
	if float64(opened) > most+1e-6 || int(opened)+refused != len(c.names) || refused == 0 {
		t.Errorf("%d connections were opened in %v, %d refused, of %d", opened, time.Since(began), refused, len(c.names))
	}
	if st := c.s.Connections(); st.TooFast != uint64(refused) || st.TooMany != 0 {
		t.Errorf("%d were refused, counted %+v", refused, st)
	}
	for tries := 0; ; tries++ {
		for c.s.mayOpenNow() { // use up what has come in meanwhile
			c.send(c.names[1+c.sent%39], true)
		}
		before := c.s.Connections().Opened
		again, _ := c.send(c.names[0], true)
		if c.s.Connections().Opened == before || tries > 50 { // else another came in just now
			if again.conn != first.conn {
				t.Error("a part was not sent on the connection that there is")
			}
			break
		}
	}
	c.until("there is a handshake again", c.s.mayOpenNow)
	if next, _ := c.send(c.names[0], true); next.conn == first.conn {
		t.Error("a fresh connection was asked for and could be made, and was not")
	}
}

func (s *Searchers) mayOpenNow() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.pool.TooFast(since(time.Now()))
}

// TestSearchersThatNeverAnswer fills the budget with connections on which parts wait in vain. Whoever comes then is refused at once,
// until the waits are over: then these connections go before one that has answered.
func TestSearchersThatNeverAnswer(t *testing.T) {
	const most = 6
	c := gather(t, conns.Budget{Open: most}, 20, 100)
	sound := c.answered(c.names[0])
	var out []*Parcel
	for _, name := range c.names[1:most] {
		p, _ := c.send(name, false)
		c.until("it is out", func() bool { return c.is(p, written) })
		out = append(out, p)
	}
	waits, _ := c.send(c.names[0], false)
	c.until("it is out", func() bool { return c.is(waits, written) })
	if p, spot := c.send(c.names[10], false); p.conn != nil || c.outcome(spot) != mixer.NeverSent {
		t.Errorf("%v where nothing is idle", c.outcome(spot))
	}
	if st := c.s.Connections(); st.Open != most || st.TooMany != 1 {
		t.Errorf("%+v", st)
	}
	waits.Forward.Report(mixer.TimedOut, nil)
	for late := false; !late; { // the answer to the last, which is late: its connection is sound
		select {
		case part := <-c.held:
			if late = part.ID == waits.Part.ID; late {
				part.Answer("ok", "")
			}
		case <-time.After(5 * time.Second):
			t.Fatal("the last part has not come")
		}
	}
	c.until("the late answer is in", func() bool {
		c.s.mu.Lock()
		defer c.s.mu.Unlock()
		return len(sound.conn.out) == 0
	})
	for _, p := range out {
		p.Forward.Report(mixer.TimedOut, nil)
	}
	for i := range out {
		if p, _ := c.send(c.names[10+i], false); p.conn == nil {
			t.Errorf("refused though %d connections lie idle", len(out)-i)
		}
	}
	st := c.s.Connections()
	if sound.conn.closed || st.Closed[conns.ForSilent] != uint64(len(out)) || st.Open != most {
		t.Errorf("the one that answered is closed %v; %+v", sound.conn.closed, st)
	}
}

// TestStormAfterReset has all connections of a zone reset at once, and all its searchers asked for again at once: handshakes stay
// within the rate, the rest is told at once, and with time all are reached again.
func TestStormAfterReset(t *testing.T) {
	const searchers, rate = 60, 40
	c := gather(t, conns.Budget{Handshakes: rate}, searchers, 200)
	began, refused := time.Now(), 0
	reach := func() { // all, however often that takes
		left := slices.Clone(c.names)
		c.until("all are reached", func() bool {
			left = slices.DeleteFunc(left, func(name string) bool {
				p, spot := c.send(name, false)
				if p.conn == nil {
					if refused++; c.outcome(spot) != mixer.NeverSent {
						t.Errorf("refused with %v", c.outcome(spot))
					}
				}
				return p.conn != nil
			})
			return len(left) == 0
		})
	}
	reach()
	c.until("all parts have come", func() bool { return len(c.held) == searchers })
	for range searchers {
		c.reply()
	}
	c.until("all are idle", func() bool { return c.s.Connections().Idle == searchers })
	c.far.Stop()
	c.until("all are reset", func() bool { return c.s.Connections().Open == 0 })
	far := &toy.Searcher{Address: c.far.Address, Handle: c.far.Handle}
	if err := far.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(far.Stop)
	reach()
	st, most := c.s.Connections(), rate+rate*time.Since(began).Seconds()
	if st.Opened != 2*searchers || float64(st.Opened) > most+1e-6 || st.TooFast != uint64(refused) || st.Closed[conns.ForEnd] != searchers {
		t.Errorf("%d opened in %v, at most %.0f; %d refused; %+v", st.Opened, time.Since(began), most, refused, st)
	}
}

// TestIdleBound has more connections fall idle than may be: the oldest go as others come.
func TestIdleBound(t *testing.T) {
	c := gather(t, conns.Budget{Idle: 3}, 10, 100)
	for _, name := range c.names {
		c.answered(name)
	}
	c.until("no more are idle than may be", func() bool { return c.s.Connections().Idle == 3 && c.far.Conns() == 3 })
	if st := c.s.Connections(); st.Closed[conns.ForPlace] != 7 || st.Open != 3 {
		t.Errorf("%+v", st)
	}
}

// TestBudgetUnderLoad has several send at once to searchers that answer, are late or never answer: no bound is exceeded at any time,
// each part has one outcome, and what was opened is closed in the end, each once and for one reason.
func TestBudgetUnderLoad(t *testing.T) {
	b := conns.Budget{Open: 8, Idle: 3, Handshakes: 5000}
	c := gather(t, b, 20, 100)
	c.far.Stop()
	far := &toy.Searcher{Address: c.far.Address, Handle: func(p toy.Part) {
		switch p.ID[len(p.ID)-3] {
		case '7': // never
		case '3':
			time.AfterFunc(2*time.Millisecond, func() { p.Answer("ok", "") })
		case '5':
			p.Conn.Close()
		default:
			p.Answer("ok", "")
		}
	}}
	if err := far.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(far.Stop)
	var wg sync.WaitGroup
	var counts [4]*tally
	for g := range counts {
		counts[g] = &tally{}
		wg.Go(func() {
			rng := rand.New(rand.NewSource(int64(g)))
			for i := range 150 {
				r := routerOf(t, mixer.AtMostOnce, 1, "any")
				r.Eyes = counts[g]
				p, _ := parcel(t, r, fmt.Sprintf("q%d-%03d", g, i))
				c.s.Send(c.names[rng.Intn(len(c.names))], rng.Intn(9) == 0, []*Parcel{p})
				if st := c.s.Connections(); st.Open > b.Open || st.Idle > b.Idle {
					t.Errorf("%d open and %d idle of %+v", st.Open, st.Idle, b)
				}
				if rng.Intn(3) == 0 {
					time.Sleep(time.Millisecond)
				}
				p.Forward.Report(mixer.TimedOut, nil)
			}
		})
	}
	wg.Wait()
	c.s.Close()
	st, closed := c.s.Connections(), uint64(0)
	for _, n := range st.Closed {
		closed += n
	}
	if st.Open != 0 || st.Idle != 0 || st.Opened != closed || st.Opened < 20 || c.s.conns != 0 {
		t.Errorf("at the end %+v", st)
	}
	for _, of := range counts {
		for i, o := range of.all {
			if len(o) != 1 {
				t.Errorf("part %d has outcomes %v", i, o)
			}
		}
	}
	t.Logf("%+v", st)
}

// TestWhatARefusalTeaches compares the outcomes that a part may come to which is refused a new connection. Told as unreached, three
// make its searcher suspect, though nobody has asked it; told as never sent they leave no mark, and the part goes on elsewhere.
func TestWhatARefusalTeaches(t *testing.T) {
	for outcome, want := range map[mixer.Outcome]bool{mixer.Unreachable: true, mixer.NeverSent: false} {
		r := router(t, mixer.Idempotent, "a", "b", "c")
		for i := range 6 {
			ticket := take(t, r, fmt.Sprint("q", i))
			for range 3 { // each goes to one after the other, as many as one part may
				step := pick(t, ticket)
				if len(step.Calls) == 0 {
					break
				}
				step.Calls[0].Forwards[0].Report(outcome, nil)
			}
		}
		suspects := 0
		for _, name := range []string{"a", "b", "c"} {
			if st, _ := r.Standing(name); st.Suspect {
				suspects++
			}
		}
		if t.Logf("%v: %d of 3 suspect", outcome, suspects); suspects > 0 != want {
			t.Errorf("outcome %v makes %d of 3 searchers suspect", outcome, suspects)
		}
	}
}

// TestFreshWithoutRoom asks for a fresh connection where one may be open and a part is out there, unanswered: that one is used, where
// the part would else be refused.
func TestFreshWithoutRoom(t *testing.T) {
	c := gather(t, conns.Budget{Open: 1}, 2, 9)
	first, _ := c.send(c.names[0], false)
	c.until("it is out", func() bool { return c.is(first, written) })
	if second, _ := c.send(c.names[0], true); second.conn != first.conn {
		t.Error("a part was not sent on the one connection that there is")
	}
	if p, spot := c.send(c.names[1], true); p.conn != nil || c.outcome(spot) != mixer.NeverSent {
		t.Errorf("to another searcher: %v", c.outcome(spot))
	}
}

// TestOrderOfClosing has connections of a draining searcher and the second of another go before one that has been idle for longer.
func TestOrderOfClosing(t *testing.T) {
	c := gather(t, conns.Budget{Open: 4}, 9, 99)
	old := c.answered(c.names[0])
	double, _ := c.send(c.names[1], false)
	c.until("it is out", func() bool { return c.is(double, written) })
	beside, _ := c.send(c.names[1], true) // another connection, since the first is silent
	for range 2 {
		c.reply()
	}
	c.until("both are idle", func() bool { return double.Forward.Over() && beside.Forward.Over() })
	drains := c.answered(c.names[2])
	c.s.Listed(protocol.MemberList{Members: []protocol.Member{{Entry: routing.Entry{Searcher: c.names[2], Status: mixer.Draining}}}})()
	c.s.mu.Lock()
	c.s.follow(sweepBatch) // as a sweep does
	c.s.mu.Unlock()
	if beside.conn == double.conn {
		t.Fatal("there is one connection where two were to be")
	}
	closed := func() (n int) {
		c.s.mu.Lock()
		defer c.s.mu.Unlock()
		for i, p := range []*Parcel{drains, double, beside, old} {
			if p.conn.closed {
				n |= 1 << i
			}
		}
		return n
	}
	for i, want := range [][]int{{1}, {1 | 2, 1 | 4}, {1 | 2 | 8, 1 | 4 | 8}} {
		c.answered(c.names[3+i])
		if got := closed(); !slices.Contains(want, got) {
			t.Errorf("after %d new ones closed are %04b, want one of %04b", i+1, got, want)
		}
	}
	if st := c.s.Connections(); st.Closed[conns.ForGone] != 1 || st.Closed[conns.ForDuplicate] != 1 || st.Closed[conns.ForPlace] != 1 {
		t.Errorf("%+v", st)
	}
}

// TestRefusedEverywhere has a query that must not run twice refused a connection to each holder in turn: after the tries that it may have it is
// turned away, which tells its client that asking again is harmless.
func TestRefusedEverywhere(t *testing.T) {
	ticket := take(t, router(t, mixer.AtMostOnce, "a", "b", "c", "d"), "q")
	asked := map[string]bool{}
	for {
		step := pick(t, ticket)
		if step.Final != nil {
			if step.Final.Verdict != routing.Bounced || len(asked) != 3 {
				t.Errorf("it ends with %+v after %d holders", step.Final, len(asked))
			}
			return
		}
		for _, call := range step.Calls {
			asked[call.Searcher] = true
			call.Forwards[0].Report(mixer.NeverSent, nil)
		}
	}
}
