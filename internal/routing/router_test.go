package routing

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"nettlefold/mixer"
)

// rig is a router with searchers that are played here, in the time of a synctest bubble.
type rig struct {
	t      testing.TB
	r      *Router
	rng    *rand.Rand
	mu     sync.Mutex
	all    []*Forward
	ok     map[string]bool // parts whose answer was reported while their lookup was open
	ends   map[*Ticket]time.Time
	times  map[int64]*Ticket // of reviews that sent something
	number int
}

const (
	cells   = 3
	perCall = 3
	most    = 60
)

func newRig(t testing.TB, seed int64) *rig {
	c := mixer.Config{
		Tariffs: []mixer.Tariff{
			{Expected: 1e9, Patience: 2e9, CompleteFrom: 1, LeastShare: 1},
			{Expected: 2e9, Patience: 2e9, CompleteFrom: 0.6, LeastShare: 0.3, Partial: 0.5, Effect: mixer.AtMostOnce},
		},
		Zone: "z", Mixers: 2, Cells: cells, Reach: 2, PerCall: perCall, MaxForwards: 3, MayCopy: true, MayCancel: true,
		ColdFrom: 0.3, ColdFor: 1e9, FallMultiple: 2, FallFor: 1e9,
	}
	r, err := New(c, map[string]int{"all": 0, "some": 1}, most, seed, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	g := &rig{t: t, r: r, rng: rand.New(rand.NewSource(seed)), ok: map[string]bool{}, ends: map[*Ticket]time.Time{}, times: map[int64]*Ticket{}}
	g.list(true)
	return g
}

// list tells of searchers, some of which have changed.
func (g *rig) list(whole bool) {
	var rows []Entry
	for i := range 2 * cells {
		e := Entry{Searcher: fmt.Sprint("s", i), Cell: i % cells, Zone: "z"}
		if !whole && g.roll(5) == 0 {
			e.Status = mixer.Draining
		}
		if !whole && g.roll(5) == 0 {
			e.Started = time.Now().UnixNano()
		}
		if whole || g.roll(2) == 0 {
			rows = append(rows, e)
		}
	}
	g.r.Listed(rows, whole)
}

func (g *rig) roll(n int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rng.Intn(n)
}

// serve plays one lookup with its client and searchers, and checks every step of it.
func (g *rig) serve(ctx context.Context, wg *sync.WaitGroup) {
	defer wg.Done()
	g.mu.Lock()
	g.number++
	l := Lookup{ID: fmt.Sprintf("l%d", g.number), Tariff: "all", Again: g.number%7 == 0}
	g.mu.Unlock()
	if g.roll(2) == 0 {
		l.Tariff = "some"
	}
	left := time.Duration(1+g.roll(2000)) * time.Millisecond
	l.Expires = time.Now().Add(left)
	n := 1 + g.roll(8)
	for i := range n {
		l.Parts = append(l.Parts, Part{Slice: i, Weight: 1 / float64(n), Effort: time.Duration(g.roll(3)) * time.Millisecond})
	}
	t, err := g.r.Take(l)
	if err != nil {
		if !errors.Is(err, ErrFull) {
			g.t.Errorf("take: %v", err)
		}
		return
	}
	if g.roll(8) == 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(g.roll(300))*time.Millisecond)
		defer cancel()
	}
	for {
		step, err := t.Pick(ctx)
		if time.Now().After(l.Expires.Add(20 * time.Millisecond)) {
			g.t.Errorf("a step %v after the client has left", time.Since(l.Expires))
		}
		if err != nil {
			return
		}
		for _, c := range step.Calls {
			if len(c.Forwards) == 0 || len(c.Forwards) > perCall {
				g.t.Errorf("a call of %d parts, at most %d", len(c.Forwards), perCall)
			}
			g.mu.Lock()
			if o := g.times[c.at]; o != nil && o != t {
				g.t.Error("reviews of two lookups at one time")
			}
			g.times[c.at] = t
			g.mu.Unlock()
			for _, f := range c.Forwards {
				if f.at != c.Forwards[0].at {
					g.t.Error("forwards of two reviews in one call")
				}
				wg.Go(func() { g.forward(l, t, f) })
			}
		}
		if f := step.Final; f != nil {
			g.final(l, t, *f, len(step.Calls))
			return
		}
	}
}

// final checks a final answer.
func (g *rig) final(l Lookup, t *Ticket, f Final, calls int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if calls > 0 {
		g.t.Error("parts to be sent beside the final answer")
	}
	g.ends[t] = time.Now()
	if f.Verdict != Answered {
		return
	}
	weight, seen := 0.0, map[int]bool{}
	for _, h := range f.Hits {
		id := partID(l.ID, l.Parts[h.Part].Slice)
		if !g.ok[id] || seen[h.Part] || string(h.Value) != "value of "+id {
			g.t.Errorf("part %s in the answer: %q, answered %v, once before %v", id, h.Value, g.ok[id], seen[h.Part])
		}
		seen[h.Part] = true
		weight += l.Parts[h.Part].Weight
	}
	tariff := g.r.charter.Tariffs[g.r.rows[l.Tariff]]
	if least := tariff.LeastShare; weight < least-1e-4 || f.Whole && weight < tariff.CompleteFrom-1e-4 {
		g.t.Errorf("an answer from %v of the weight, whole %v", weight, f.Whole)
	}
}

// forward plays what becomes of one forward, in every way there is.
func (g *rig) forward(l Lookup, t *Ticket, f *Forward) {
	g.mu.Lock()
	g.all = append(g.all, f)
	g.mu.Unlock()
	time.Sleep(time.Duration(g.roll(20)) * time.Millisecond)
	if g.roll(12) == 0 {
		f.Report(mixer.Unreachable, nil)
	}
	if !f.Leave() {
		if !f.Over() {
			g.t.Error("a forward that may not leave has no outcome")
		}
		return
	}
	g.mu.Lock()
	if end, ok := g.ends[t]; ok && time.Now().After(end) {
		g.t.Error("a part left after the final answer")
	}
	g.mu.Unlock()
	time.Sleep(time.Duration(g.roll(150)*g.roll(20)) * time.Millisecond)
	switch g.roll(8) {
	case 0:
		f.Report(mixer.Failed, nil)
	case 1:
		f.Report(mixer.Rejected, nil)
	case 2:
		f.Report(mixer.ConnectionReset, nil)
	case 3: // never
	default:
		id := partID(l.ID, l.Parts[f.Part].Slice)
		g.mu.Lock()
		g.ok[id] = true
		g.mu.Unlock()
		f.Report(mixer.Succeeded, []byte("value of "+id))
		f.Report(mixer.Succeeded, []byte("another value"))
		f.Report(mixer.ConnectionReset, nil)
	}
}

func FuzzFacade(f *testing.F) {
	for seed := range int64(20) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed int64) {
		synctest.Test(t, func(t *testing.T) {
			g := newRig(t, seed)
			ctx, cancel := context.WithCancel(t.Context())
			var run, work sync.WaitGroup
			run.Go(func() { g.r.Run(ctx) })
			for range 300 {
				work.Add(1)
				go g.serve(ctx, &work)
				if g.roll(20) == 0 {
					g.list(g.roll(3) == 0)
				}
				time.Sleep(time.Duration(g.roll(40)) * time.Millisecond)
				g.check()
			}
			work.Wait()
			time.Sleep(3 * time.Second)
			g.check()
			for _, f := range g.all {
				if !f.done.Load() {
					t.Error("a forward has no outcome")
				}
			}
			if g.r.open != 0 || len(g.r.tickets) != 0 || len(g.r.slots) != 0 || len(g.r.timers) != 0 {
				t.Errorf("left over: %d open, %d tickets, %d parts, %d timers",
					g.r.open, len(g.r.tickets), len(g.r.slots), len(g.r.timers))
			}
			cancel()
			run.Wait()
		})
	})
}

// check is made after every step of a random run.
func (g *rig) check() {
	g.r.mu.Lock()
	defer g.r.mu.Unlock()
	open, largest := 0, 0
	for _, t := range g.r.tickets {
		open++
		largest = max(largest, 1+len(t.slots))
		for _, s := range t.slots {
			if !s.in {
				open++
			}
		}
		if t.ended {
			g.t.Error("a lookup that has ended is kept")
		}
	}
	if open != g.r.open || open >= most+largest {
		g.t.Errorf("%d lookups and parts are open, %d counted, at most %d and one lookup", open, g.r.open, most)
	}
	if len(g.r.next) != 0 {
		g.t.Error("calls are left over")
	}
}

// take takes a lookup of so many parts.
func (g *rig) take(id string, parts int) *Ticket {
	g.t.Helper()
	l := Lookup{ID: id, Tariff: "all", Expires: time.Now().Add(time.Second)}
	for i := range parts {
		l.Parts = append(l.Parts, Part{Slice: i, Weight: 1 / float64(parts)})
	}
	t, err := g.r.Take(l)
	if err != nil {
		g.t.Fatal(err)
	}
	return t
}

// pick gives the next step.
func (g *rig) pick(t *Ticket) Step {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	step, err := t.Pick(ctx)
	if err != nil {
		g.t.Fatal(err)
	}
	return step
}

// TestOpenAsThePlatformCounts guards against turning away what the platform would let in: a lookup goes in while
// fewer than so many lookups and parts are open, and a part that is in is not.
func TestOpenAsThePlatformCounts(t *testing.T) {
	g := newRig(t, 1)
	full := func(id string) bool {
		_, err := g.r.Take(Lookup{ID: id, Tariff: "all", Expires: time.Now().Add(time.Second), Parts: []Part{{Weight: 1}}})
		if err != nil && !errors.Is(err, ErrFull) {
			t.Fatal(err)
		}
		return err != nil
	}
	var parts []*Forward
	for i := range 7 { // of nine each, so the last begins at 54 and goes beyond 60
		for _, c := range g.pick(g.take(fmt.Sprint(i), 8)).Calls {
			parts = append(parts, c.Forwards...)
		}
	}
	for open := 63; open >= most; open-- {
		if !full(fmt.Sprint("at", open)) {
			t.Errorf("%d are open, and one more lookup was let in", open)
		}
		parts[open-most].Leave()
		parts[open-most].Report(mixer.Succeeded, []byte("v"))
	}
	if full("last") {
		t.Error("59 are open, and a lookup was turned away")
	}
}

// TestPanicEndsOneLookup guards against a failure in the module for one lookup that would end them all.
func TestPanicEndsOneLookup(t *testing.T) {
	g := newRig(t, 1)
	a, b := g.take("a", 1), g.take("b", 1)
	if _, err := g.r.Take(Lookup{ID: "a"}); !errors.Is(err, ErrTaken) {
		t.Errorf("a second lookup of one id: %v", err)
	}
	g.r.call(a.l, func(int64) { panic("as a test") })
	if step := g.pick(a); step.Final == nil || step.Final.Verdict != Failed {
		t.Errorf("the lookup it came up in: %+v", step)
	}
	f := g.pick(b).Calls[0].Forwards[0]
	f.Leave()
	f.Report(mixer.Succeeded, []byte("v"))
	if step := g.pick(b); step.Final == nil || step.Final.Verdict != Answered {
		t.Errorf("the other lookup: %+v", step)
	}
}

// TestWithdrawal plays a module that withdraws: what has left is withdrawn at the searcher, what has not never leaves.
func TestWithdrawal(t *testing.T) {
	g := newRig(t, 1)
	ticket := g.take("a", 2)
	var fs []*Forward
	for _, c := range g.pick(ticket).Calls {
		fs = append(fs, c.Forwards...)
	}
	fs[0].Leave()
	g.r.call(ticket, func(int64) {
		for _, f := range fs {
			floor{g.r}.Cancel(f.slot.id, f.copy)
		}
	})
	if step := g.pick(ticket); len(step.Withdrawn) != 1 || step.Withdrawn[0] != fs[0] {
		t.Errorf("withdrawn: %+v", step)
	}
	if !fs[0].Over() || !fs[1].Over() || fs[1].Leave() {
		t.Error("a withdrawn forward has no outcome or may leave")
	}
}

// TestIdleConnectionsAreNamedOnce sees to it that the module's wish goes with the next call there, and no other.
func TestIdleConnectionsAreNamedOnce(t *testing.T) {
	g := newRig(t, 1)
	g.r.call(nil, func(int64) { floor{g.r}.CloseIdle("s0") })
	fresh := map[string]int{}
	for i := range 12 {
		for _, c := range g.pick(g.take(fmt.Sprint(i), 2)).Calls {
			if c.Fresh {
				fresh[c.Searcher]++
			}
		}
	}
	if len(fresh) != 1 || fresh["s0"] != 1 {
		t.Errorf("fresh connections are asked for %v, want once for s0", fresh)
	}
}

// TestNothingBeginsForWhoHasGone has work ready for lookups whose clients have gone: none of it is handed out.
func TestNothingBeginsForWhoHasGone(t *testing.T) {
	g := newRig(t, 1)
	gone, leave := context.WithCancel(t.Context())
	leave()
	for i := range 64 { // of two that are ready, a select takes either
		if step, err := g.take(fmt.Sprint(i), 1).Pick(gone); err == nil {
			t.Fatalf("handed out: %+v", step)
		}
	}
}
