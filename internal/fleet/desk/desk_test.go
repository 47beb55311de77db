package desk

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

// heap is a table: the greatest number that it has heard of. Its fields have no lock, so the race detector sees two at once.
type heap struct {
	name         string
	most         byte
	size, rounds int
	hang         chan struct{} // a round waits for it
	hung         chan struct{} // told at a round
	spoilt       bool          // panics at the next state
}

func (h *heap) Name() string { return h.name }

func (h *heap) Offer(_ int64, most int) []byte {
	return bytes.Repeat([]byte{h.most}, min(max(h.size, 1), most))
}

func (h *heap) Take(_ int64, _ string, state []byte) error {
	if h.spoilt {
		panic("half changed")
	}
	if len(state) == 0 || state[0] == 0xff {
		return errors.New("spoilt")
	}
	h.most = max(h.most, state[0])
	return nil
}

func (h *heap) Round(int64) {
	h.rounds++
	if h.hang != nil {
		close(h.hung)
		<-h.hang
		h.hang = nil
	}
}

func (h *heap) Show(int64) any { return h.most }

func newDesk(t testing.TB, log *bytes.Buffer, tables ...Table) *Desk {
	d, err := New(func() int64 { return 7 }, slog.New(slog.NewTextHandler(log, nil)), tables...)
	if err != nil {
		t.Fatal(err)
	}
	d.round, d.grace = time.Millisecond, 50*time.Millisecond
	return d
}

// run has a desk work until the test's end, and fails where that does not come.
func run(t *testing.T, d *Desk) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		d.Run(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
}

// until waits for what must come; a test that hangs here has failed.
func until(t *testing.T, what string, done func() bool) {
	t.Helper()
	for range 10_000 {
		if done() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("never came: " + what)
}

func shows(d *Desk, name string, n byte) func() bool {
	return func() bool {
		got, _ := d.Snapshot(name)
		return got == n
	}
}

// TestOneBadTableHoldsNoOther: two desks exchange. One table hangs in its round, one panics, one is sent rubbish, one is not known
// to the other desk: the sound one goes on by all of that, and the end comes.
func TestOneBadTableHoldsNoOther(t *testing.T) {
	var logA, logB bytes.Buffer
	hangs := &heap{name: "hangs", hang: make(chan struct{}), hung: make(chan struct{})}
	defer close(hangs.hang)
	a := newDesk(t, &logA, &heap{name: "panics", most: 3}, &heap{name: "sound", most: 9}, &heap{name: "extra", most: 1},
		&heap{name: "rubbish", most: 0xff}, &heap{name: "hangs", most: 4})
	b := newDesk(t, &logB, hangs, &heap{name: "panics", spoilt: true}, &heap{name: "rubbish", most: 5}, &heap{name: "sound"})
	run(t, a)
	run(t, b)
	<-hangs.hung
	until(t, "all of a offer", func() bool {
		return !slices.ContainsFunc(a.Standings(), func(s Standing) bool { return s.Offered == 0 })
	})
	if err := b.Take("a", a.Offer(1<<16)); err != nil {
		t.Fatal(err)
	}
	until(t, "the sound table hears", shows(b, "sound", 9))
	until(t, "the rubbish is refused", func() bool { return b.Standings()[2].Bad == 1 })
	until(t, "the other is put aside", func() bool { _, err := b.Snapshot("panics"); return errors.Is(err, ErrAside) })
	rounds := b.Standings()[3].Rounds
	until(t, "rounds go on", func() bool { return b.Standings()[3].Rounds > rounds+3 })
	all := b.Standings()
	if !shows(b, "rubbish", 5)() || all[0].Rounds != 0 || !all[0].Busy || all[0].Waiting != 1 || !all[1].Aside || b.Unread() != 1 {
		t.Errorf("%+v, %d unread", all, b.Unread())
	}
	for range 100 { // what waits for a table that hangs has an end
		if err := b.Take("a", a.Offer(1<<16)); err != nil {
			t.Fatal(err)
		}
	}
	if n := b.Standings()[0]; n.Waiting != maxInbox || n.Dropped == 0 {
		t.Errorf("%+v", n)
	}
	if err := b.Do("panics", func(int64) { t.Error("it is worked on") }); !errors.Is(err, ErrAside) {
		t.Error(err)
	}
	if _, err := b.Snapshot("extra"); !errors.Is(err, ErrUnknown) {
		t.Error(err)
	}
}

func TestWhatIsNoStateChangesNothing(t *testing.T) {
	var log bytes.Buffer
	d := newDesk(t, &log, &heap{name: "a"})
	other, _ := cbor.Marshal(state{Version: 2, Parts: []part{{Table: "a", Bytes: []byte{1}}}})
	twice, _ := cbor.Marshal(state{Version: version, Parts: []part{{Table: "a", Bytes: []byte{1}}, {Table: "a", Bytes: []byte{2}}}})
	for _, raw := range [][]byte{other, []byte("rubbish"), other[:5], make([]byte, MaxState+1)} {
		if err := d.Take("peer", raw); !errors.Is(err, ErrState) || !strings.Contains(err.Error(), "peer") {
			t.Error(err)
		}
	}
	if d.Standings()[0].Waiting != 0 {
		t.Error("a part was taken")
	}
	if err := d.Take("peer", twice); err != nil || d.Standings()[0].Waiting != 1 || d.Unread() != 1 {
		t.Errorf("%v: %+v", err, d.Standings())
	}
	if _, err := New(d.clock, d.log, &heap{name: "a"}, &heap{name: "a"}); err == nil {
		t.Error("a name is there twice")
	}
}

// TestOffersFitAndAreDividedFairly: whatever tables want to offer and however the room changes, an offer fits in it; after a few
// rounds with the same room nobody who asks for no more than an equal part is left out, and none starves.
func TestOffersFitAndAreDividedFairly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log bytes.Buffer
		sizes := rapid.SliceOfN(rapid.IntRange(1, 5000), 1, maxTables).Draw(t, "sizes")
		var tables []Table
		for i, n := range sizes {
			tables = append(tables, &heap{name: fmt.Sprint("t", i), size: n, most: 1})
		}
		d, err := New(func() int64 { return 0 }, slog.New(slog.NewTextHandler(&log, nil)), tables...)
		if err != nil {
			t.Fatal(err)
		}
		round := func(most int) (got map[string]int) {
			d.tick()
			for range tables {
				d.serve(<-d.ready)
			}
			raw := d.Offer(most)
			if len(raw) > most {
				t.Fatalf("%d bytes, most are %d", len(raw), most)
			}
			got = map[string]int{}
			if st := (state{}); raw != nil {
				if err := decoder.Unmarshal(raw, &st); err != nil {
					t.Fatal(err)
				}
				for _, p := range st.Parts {
					got[p.Table] = len(p.Bytes)
				}
			}
			return got
		}
		for range 3 {
			round(rapid.IntRange(0, 40_000).Draw(t, "room"))
		}
		room := rapid.IntRange(2_000, 40_000).Draw(t, "last room")
		var got map[string]int
		for range 6 {
			got = round(room)
		}
		equal := (room-head)/len(sizes) - each - 3
		for i, n := range sizes {
			if name := fmt.Sprint("t", i); got[name] < min(n, equal) {
				t.Fatalf("%s offers %d of %d, an equal part is %d: %v", name, got[name], n, equal, got)
			}
		}
	})
}

// TestAllAtOnce is for the race detector and for lockorder: exchanges, rounds, questions and work by others, all at once.
func TestAllAtOnce(t *testing.T) {
	var log bytes.Buffer
	a := newDesk(t, &log, &heap{name: "x", most: 200}, &heap{name: "y", most: 100}, &heap{name: "z", most: 1})
	b := newDesk(t, &log, &heap{name: "z"}, &heap{name: "y"}, &heap{name: "x"})
	run(t, a)
	run(t, b)
	var all sync.WaitGroup
	for i := range 4 {
		all.Go(func() {
			for n := range 200 {
				from, to := a, b
				if i%2 == 1 {
					from, to = b, a
				}
				if err := to.Take("x", from.Offer(1000)); err != nil {
					t.Error(err)
				}
				_, _ = to.Snapshot("y")
				_ = to.Standings()
				if n%10 == 0 { // in a's order of tables; b's is another
					if err := a.Do("x", func(int64) { _ = a.Do("z", func(int64) {}) }); err != nil {
						t.Error(err)
					}
				}
			}
		})
	}
	all.Wait()
	until(t, "b knows what a knew", func() bool {
		_ = b.Take("a", a.Offer(1000))
		return shows(b, "x", 200)() && shows(b, "y", 100)() && shows(b, "z", 1)()
	})
}

// TestTheOrderIsChecked plants violations: in the checked lock in any build, in a desk where it is built with the check.
func TestTheOrderIsChecked(t *testing.T) {
	var first, second, same checked
	first.ranked(RankTable, "first")
	second.ranked(RankTable+1, "second")
	same.ranked(RankTable+1, "same")
	panics := func(f func()) (what any) {
		defer func() { what = recover() }()
		f()
		return nil
	}
	first.Lock()
	second.Lock()
	for name, bad := range map[string]func(){"same": same.Lock, "first": func() { first.TryLock() }} {
		if got := fmt.Sprint(panics(bad)); !strings.Contains(got, name+`" of rank`) || !strings.Contains(got, `while "`) {
			t.Errorf("%s: %s", name, got)
		}
	}
	other := make(chan any)
	go func() { other <- panics(second.Unlock) }()
	if got := <-other; got == nil {
		t.Error("another goroutine gave the lock back")
	}
	first.Unlock() // in another order than taken, which is allowed
	second.Unlock()
	go func() {
		other <- panics(func() {
			same.Lock()
			same.Unlock() //lint:ignore SA2001 the order in which locks are taken is what is tested
			first.Lock()
			first.Unlock() //lint:ignore SA2001 as above
		})
	}()
	if got := <-other; got != nil {
		t.Error(got)
	}
	if holders.Lock(); len(holders.of[goroutine()]) > 0 {
		t.Error("locks are held at the end")
	}
	holders.Unlock()
	var log bytes.Buffer
	d := newDesk(t, &log, &heap{name: "x"}, &heap{name: "y"})
	inner := error(nil)
	err := d.Do("y", func(int64) { inner = d.Do("x", func(int64) {}) })
	if lockOrder && (err == nil || !strings.Contains(err.Error(), "lock order")) || !lockOrder && (err != nil || inner != nil) {
		t.Errorf("checked: %v; the wrong order gives %v and %v", lockOrder, err, inner)
	}
}

// TestOldOffersAreNotTold has an offer lie for longer than rounds take, as it does where the process was stopped.
func TestOldOffersAreNotTold(t *testing.T) {
	now := int64(1)
	h := &heap{name: "h", most: 3}
	d, err := New(func() int64 { return now }, slog.New(slog.DiscardHandler), h)
	if err != nil {
		t.Fatal(err)
	}
	d.tick()
	d.serve(<-d.ready)
	now += stale * int64(Round)
	if d.Offer(999) == nil {
		t.Error("an offer of four rounds ago is left out")
	}
	if now++; d.Offer(999) != nil {
		t.Error("an offer is told that is old")
	}
	if err := d.Take("x", Said("h", []byte{9})); err != nil {
		t.Fatal(err)
	}
	if d.serve(<-d.ready); h.most != 9 {
		t.Errorf("of what was said alone: %d", h.most)
	}
}

func TestWhatIsSaidIsHeard(t *testing.T) {
	if got, err := Heard("h", Said("h", []byte("of it"))); err != nil || string(got) != "of it" {
		t.Errorf("%q, %v", got, err)
	}
	two, _ := cbor.Marshal(state{Version: version, Parts: []part{{Table: "h"}, {Table: "h"}}})
	other, _ := cbor.Marshal(state{Version: version + 1, Parts: []part{{Table: "h"}}})
	for what, raw := range map[string][]byte{"another table": Said("g", nil), "two parts": two, "another version": other,
		"nothing": nil, "garbage": []byte("garbage"), "too long": make([]byte, MaxState+1)} {
		if _, err := Heard("h", raw); !errors.Is(err, ErrState) {
			t.Errorf("%s: %v", what, err)
		}
	}
}
