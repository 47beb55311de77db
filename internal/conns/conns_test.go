package conns

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// pool is what is tested: the real one, or one with a fault planted.
type pool interface {
	Open(now int64, e *Entry, c Conn, of *Peer)
	Use(now int64, of *Peer)
	Busy(e *Entry)
	Idle(e *Entry, class Class)
	Close(e *Entry, why Reason)
	TooFast(now int64) bool
	TooMany() bool
	Crowded() bool
	Spare(now int64) (*Entry, Reason)
	Due(now int64) (*Entry, Reason)
	Stats() Stats
}

// plain is a connection as the reference has it, who looks through all for each question.
type plain struct {
	Entry
	of    *searcher
	used  int64
	idle  bool
	fell  int // when it fell idle, counted
	class Class
}

func (c *plain) Used() int64 { return c.used }

type searcher struct {
	Peer
	met         bool
	last, every int64
}

// world plays a history and holds each answer of a pool to what a look through all connections gives.
type world struct {
	p        pool
	b        Budget
	age, now int64
	fell     int
	all      []*plain
	peers    []*searcher
	opened   []int64 // when
	closed   [Reasons]uint64
}

func (w *world) idle() (some []*plain) {
	for _, c := range w.all {
		if c.idle {
			some = append(some, c)
		}
	}
	return some
}

// rank is the order of closing by its definition.
func (w *world) rank(c *plain) Class {
	if !w.b.Set() || c.class != Sound {
		return c.class
	}
	for _, o := range w.all {
		if o != c && o.of == c.of && (!o.idle || o.fell > c.fell) {
			return double
		}
	}
	return Sound
}

// wait is how long until the connection is expected to be used again.
func (w *world) wait(c *plain) int64 { return max(c.of.every, w.now-c.used) }

// spare says whether a connection is one that may be closed first.
func (w *world) spare(got *plain, why Reason) error {
	some := w.idle()
	if len(some) == 0 {
		if got != nil {
			return fmt.Errorf("a connection is spared where none is idle")
		}
		return nil
	}
	if got == nil || !got.idle {
		return fmt.Errorf("%+v is spared with %d idle", got, len(some))
	}
	better := func(a, b *plain) bool { return a.used < b.used }
	reason := ForPlace
	if w.b.Set() {
		reasons := map[Class]Reason{Spent: ForSpent, Gone: ForGone, Silent: ForSilent, Draining: ForGone, double: ForDuplicate, Sound: ForPlace}
		reason = reasons[w.rank(got)]
		better = func(a, b *plain) bool {
			if x, y := w.rank(a), w.rank(b); x != y {
				return x < y
			} else if x < Sound {
				return a.used < b.used
			}
			return w.wait(a) > w.wait(b)
		}
	}
	if why != reason {
		return fmt.Errorf("spared for %v, want %v", why, reason)
	}
	for _, c := range some {
		if better(c, got) {
			return fmt.Errorf("%+v is spared, rank %d, before %+v, rank %d", *got, w.rank(got), *c, w.rank(c))
		}
	}
	return nil
}

// close has both sides close a connection.
func (w *world) close(c *plain, why Reason) {
	w.p.Close(&c.Entry, why)
	w.all = slices.DeleteFunc(w.all, func(o *plain) bool { return o == c })
	w.closed[why]++
	c.idle = false
}

// spared closes the pool's choice, if it is right.
func (w *world) spared() error {
	e, why := w.p.Spare(w.now)
	if e == nil {
		return w.spare(nil, 0)
	}
	c := e.Conn().(*plain)
	if err := w.spare(c, why); err != nil {
		return err
	}
	w.close(c, why)
	return nil
}

// open opens a connection if the budget allows.
func (w *world) open(to *searcher) error {
	recent := 0
	for _, at := range w.opened {
		if w.now-at < int64(time.Second) {
			recent++
		}
	}
	fast := w.p.TooFast(w.now)
	if most := w.b.Handshakes; most > 0 && !fast && recent >= 2*most {
		return fmt.Errorf("%d handshakes within a second and one more allowed, with %d a second", recent, most)
	} else if fast && (most == 0 || recent == 0) {
		return fmt.Errorf("too fast, with %d handshakes within a second and %d allowed", recent, most)
	}
	if fast {
		return nil
	}
	if many := w.b.Open > 0 && len(w.all) >= w.b.Open; many != w.p.TooMany() {
		return fmt.Errorf("too many is %v with %d open of %d", !many, len(w.all), w.b.Open)
	} else if many {
		if len(w.idle()) == 0 {
			return w.spare(nil, 0)
		}
		if err := w.spared(); err != nil {
			return err
		}
	}
	c := &plain{of: to, used: w.now}
	w.all = append(w.all, c)
	w.opened = append(w.opened, w.now)
	w.p.Open(w.now, &c.Entry, c, &to.Peer)
	return nil
}

// sound holds counts and bounds.
func (w *world) sound() error {
	st := w.p.Stats()
	out := uint64(0)
	for _, n := range st.Closed {
		out += n
	}
	switch {
	case st.Open != len(w.all) || st.Idle != len(w.idle()):
		return fmt.Errorf("%d open and %d idle, want %d and %d", st.Open, st.Idle, len(w.all), len(w.idle()))
	case st.Closed != w.closed:
		return fmt.Errorf("closed by reason %v, want %v", st.Closed, w.closed)
	case st.Opened != uint64(st.Open)+out || st.Opened != uint64(len(w.opened)):
		return fmt.Errorf("%d opened, but %d open and %d closed", st.Opened, st.Open, out)
	case w.b.Open > 0 && st.Open > w.b.Open:
		return fmt.Errorf("%d open of %d", st.Open, w.b.Open)
	case w.b.Idle > 0 && st.Idle > w.b.Idle:
		return fmt.Errorf("%d idle of %d", st.Idle, w.b.Idle)
	}
	return nil
}

// swept closes all that is due and nothing else.
func (w *world) swept() error {
	due := func(c *plain) bool { return c.class < Silent || w.now-c.used >= w.age }
	for e, why := w.p.Due(w.now); e != nil; e, why = w.p.Due(w.now) {
		c := e.Conn().(*plain)
		want := ForAge
		if c.class < Silent {
			want = []Reason{ForSpent, ForGone}[c.class]
		}
		if !c.idle || !due(c) || why != want {
			return fmt.Errorf("%+v is closed for %v, want %v", *c, why, want)
		}
		w.close(c, why)
	}
	for _, c := range w.idle() {
		if due(c) {
			return fmt.Errorf("%+v is due and kept", *c)
		}
	}
	return nil
}

// fall has a connection be idle, and closes what is idle beyond the budget.
func (w *world) fall(c *plain, class Class) error {
	if !c.idle {
		w.fell++
		c.fell, c.idle = w.fell, true
	}
	c.class = class
	w.p.Idle(&c.Entry, class)
	if beyond := w.b.Idle > 0 && len(w.idle()) > w.b.Idle; beyond != w.p.Crowded() {
		return fmt.Errorf("crowded is %v with %d idle of %d", !beyond, len(w.idle()), w.b.Idle)
	} else if beyond {
		return w.spared()
	}
	return nil
}

// step makes one move that draw chooses.
func (w *world) step(draw func(n int) int) error {
	w.now += int64(1+draw(400)) * int64(time.Millisecond)
	if draw(4) == 0 {
		w.now++
	}
	to := w.peers[draw(len(w.peers))]
	if draw(5) == 0 || len(w.all) == 0 {
		return w.open(to)
	}
	c := w.all[draw(len(w.all))]
	switch draw(8) {
	case 0, 1, 2: // something is sent
		w.p.Use(w.now, &c.of.Peer)
		switch since := w.now - c.of.last; {
		case !c.of.met:
			c.of.met = true
		case c.of.every == 0:
			c.of.every = max(1, since)
		default:
			c.of.every = max(1, c.of.every+(since-c.of.every)/8)
		}
		c.of.last = w.now
		if draw(3) == 0 { // it is refused a new one, and this one has no room
			return nil
		}
		c.idle = false
		w.p.Busy(&c.Entry)
		c.used = w.now
	case 3, 4, 5: // its answer comes
		if !c.idle {
			c.used = w.now
		}
		return w.fall(c, max(c.class, Class(draw(2))*Sound))
	case 6:
		return w.fall(c, []Class{Spent, Gone, Silent, Draining, Sound}[draw(5)])
	default:
		if draw(3) > 0 {
			return w.swept()
		}
		w.close(c, []Reason{ForEnd, ForFresh, ForFailure, ForFault}[draw(4)])
	}
	return nil
}

// history plays some hundred moves with a pool.
func history(draw func(n int) int, make func(Budget, int64) pool) error {
	w := &world{age: int64(20 * time.Second)}
	if draw(4) > 0 {
		w.b = Budget{Open: draw(8), Idle: draw(5), Handshakes: draw(4)}
	}
	w.p = make(w.b, w.age)
	for range 1 + draw(6) {
		w.peers = append(w.peers, &searcher{})
	}
	for i := range 20 + draw(100) {
		if err := w.step(draw); err != nil {
			return fmt.Errorf("move %d, budget %+v: %w", i, w.b, err)
		}
		if err := w.sound(); err != nil {
			return fmt.Errorf("after move %d: %w", i, err)
		}
	}
	for len(w.idle()) > 0 { // the whole order, to the last
		if err := w.spared(); err != nil {
			return fmt.Errorf("at the end, budget %+v: %w", w.b, err)
		}
	}
	return w.sound()
}

func TestPoolIsThePlainOne(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(r, "n") }
		if err := history(draw, func(b Budget, age int64) pool { return New(b, age) }); err != nil {
			r.Fatal(err)
		}
	})
	for seed := range int64(2000) {
		if err := history(rand.New(rand.NewSource(seed)).Intn, func(b Budget, age int64) pool { return New(b, age) }); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}
