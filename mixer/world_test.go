package mixer

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
)

// world plays the searchers and clients around one mixer in simulated time. It is the mixer's floor, and
// checks the rules and the legality of every action as it comes.
type world struct {
	t               testing.TB
	rng             *rand.Rand
	now, lag        int64 // lag passes before a second step's parts come
	queue           []event
	c               Config
	m               *Mixer
	told            map[string]Entry // the list as the mixer was last told
	box             map[string]*box
	lookups         map[string]*seen
	parts           map[string]*seenPart
	forwards, taken []int64           // when further ones were made, when lookups and parts came
	cold            map[Entry][]int64 // when parts were sent to a process told to be cold
	answers, closed int
	refusing        bool
}

// box is one searcher as it really is.
type box struct {
	free   [2]int64 // when each core is done
	broken int      // 0 sound, 1 silent, 2 fails at once, 3 unreachable, 4 drops connections that lie idle,
	// 5 errs half of the time
	used int64 // when its connection was last in use, 0 where none is open
	far  int64 // what the way there and back takes
}

type seen struct {
	h                    *Lookup
	t                    Tariff
	notAfter             int64
	steps                [][]string
	ended, answeredWhole bool
	wait                 int64 // advised by its bounce
}

type seenPart struct {
	l            *seen
	index, slice int
	weight       float64
	sent         []int64
	done, ran    []bool
	in           bool
}

type event struct {
	at int64
	do func()
}

// after books what happens later; what is due at one time keeps its order.
func (w *world) after(d int64, do func()) {
	at := w.now + max(d, 1)
	i, _ := slices.BinarySearchFunc(w.queue, at+1, func(e event, at int64) int { return int(e.at - at) })
	w.queue = slices.Insert(w.queue, i, event{at, do})
}

// run plays all events until a time.
func (w *world) run(until int64) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := w.queue[0]
		w.queue = w.queue[1:]
		w.now = e.at
		e.do()
	}
	w.now = until
}

func newWorld(t testing.TB, seed int64, c Config) *world {
	w := &world{t: t, rng: rand.New(rand.NewSource(seed)), now: 1e15, c: c, told: map[string]Entry{},
		box: map[string]*box{}, lookups: map[string]*seen{}, parts: map[string]*seenPart{}, cold: map[Entry][]int64{}, lag: 5 * ms}
	w.m = New(w.now, c, seed, w)
	return w
}

func (w *world) list(full bool, rows ...Entry) {
	if full {
		clear(w.told)
	}
	for _, e := range rows {
		w.told[e.Searcher] = e
		if w.box[e.Searcher] == nil {
			w.box[e.Searcher] = &box{}
		}
	}
	w.m.UpdateList(w.now, rows, full)
}

// take hands over a lookup with parts of equal weight on slices in a row.
func (w *world) take(tariff, parts, slice int, patience int64, again bool) *seen {
	who := len(w.lookups) % (1 + len(w.c.Allowances)) // by turns, the first time one who is not told
	return w.takeFrom(who, tariff, parts, slice, patience, again)
}

// takeFrom is take with the customer told, by its row.
func (w *world) takeFrom(who, tariff, parts, slice int, patience int64, again bool) *seen {
	id := fmt.Sprint("l", len(w.lookups))
	l := &seen{t: w.c.Tariffs[tariff], notAfter: w.now + patience}
	w.lookups[id] = l
	w.taken = append(w.taken, w.now)
	l.h = w.m.StartLookup(w.now, LookupRequest{ID: id, Tariff: tariff, NotAfter: l.notAfter, Parts: parts, Again: again, Customer: who})
	w.hand(l, id, parts, slice)
	return l
}

func (w *world) hand(l *seen, id string, parts, slice int) {
	step := len(l.steps)
	l.steps = append(l.steps, nil)
	for i := range parts {
		p := PartRequest{ID: fmt.Sprint(id, "s", step, "p", i), Slice: (slice + i) % w.c.Cells, Weight: 1 / float64(parts)}
		w.parts[p.ID] = &seenPart{l: l, index: step*len(l.steps[0]) + i, slice: p.Slice, weight: p.Weight}
		l.steps[step] = append(l.steps[step], p.ID)
		w.taken = append(w.taken, w.now)
		l.h.AddPart(w.now, p)
	}
}

func (w *world) Forward(part, searcher string, within int64) {
	p, e := w.parts[part], w.told[searcher]
	if p == nil || p.l.ended || p.in {
		w.t.Fatalf("forward of part %s, which is not open", part)
	}
	if _, ok := w.told[searcher]; !ok || e.Status != Live {
		w.t.Fatalf("forward of %s to %s, which is not listed live", part, searcher)
	}
	if d := (e.Cell - p.slice + w.c.Cells) % w.c.Cells; d >= w.c.Reach {
		w.t.Fatalf("forward of %s to %s, which does not hold slice %d", part, searcher, p.slice)
	}
	if len(p.sent) >= w.c.MaxForwards {
		w.t.Fatalf("forward %d of %s, most are %d", len(p.sent)+1, part, w.c.MaxForwards)
	}
	for i := range p.sent {
		if !p.done[i] && !w.c.MayCopy {
			w.t.Fatalf("copy of %s, none are allowed", part)
		}
		late := p.l.t.Effect == AtMostOnce || p.l.t.Effect == Deduplicated && w.now > p.sent[i]+p.l.t.RepeatFor
		if late && (!p.done[i] || p.ran[i]) {
			w.t.Fatalf("part %s of effect %d sent again", part, p.l.t.Effect)
		}
	}
	if len(p.sent) > 0 {
		w.forwards = append(w.forwards, w.now)
		spent, taken := since(w.forwards, w.now-w.c.BudgetFor-1), since(w.taken, w.now-w.c.BudgetFor)
		if most := w.c.BudgetFree + w.c.BudgetShare*taken; w.c.BudgetFor > 0 && spent > most {
			w.t.Fatalf("%g further forwards in the budget's window, most are %g", spent, most)
		}
	}
	w.coldCheck(searcher, e)
	i := len(p.sent)
	p.sent, p.done, p.ran = append(p.sent, w.now), append(p.done, false), append(p.ran, true)
	o, took := w.serve(w.box[searcher], within)
	w.after(took, func() {
		if p.done[i] {
			return // withdrawn
		}
		p.done[i], p.ran[i] = true, !o.NeverRan()
		p.in = p.in || o == Succeeded && !p.l.ended
		p.l.h.HandleOutcome(w.now, p.index, i, o, took, p.in || p.l.ended)
	})
}

func (w *world) serve(b *box, within int64) (Outcome, int64) {
	switch b.broken {
	case 1:
		return TimedOut, within
	case 2:
		return []Outcome{Failed, Rejected, ConnectionReset}[w.rng.Intn(3)], 2 * ms
	case 3:
		return Unreachable, min(within, 250*ms)
	case 5:
		if w.rng.Intn(2) == 0 {
			return Failed, 2 * ms
		}
	}
	used := b.used
	if b.used = w.now; b.broken == 4 && used > 0 && w.now-used > 1000*ms {
		return TimedOut, within
	}
	slices.Sort(b.free[:])
	b.free[0] = max(b.free[0], w.now) + 50*ms + w.rng.Int63n(100*ms)
	if took := b.free[0] - w.now + b.far; took <= within {
		return Succeeded, took
	}
	return TimedOut, within
}

// since counts the times after one; they come in order.
func since(times []int64, after int64) float64 {
	i, _ := slices.BinarySearch(times, after+1)
	return float64(len(times) - i)
}

// coldCheck checks rule 4: the boxes bear 20 parts a second when warm, and no other mixer takes any of it.
func (w *world) coldCheck(searcher string, e Entry) {
	age := w.now - e.Started
	if e.Started == 0 || age >= w.c.ColdFor {
		return
	}
	w.cold[e] = append(w.cold[e], w.now)
	in := since(w.cold[e], w.now-w.c.FallFor)
	frac := w.c.ColdFrom + (1-w.c.ColdFrom)*float64(age)/float64(w.c.ColdFor)
	bears := w.c.FallMultiple * frac * 20 * float64(w.c.FallFor) / 1e9
	if in > 1+bears {
		w.t.Fatalf("cold searcher %s sent %g parts within %d ns, it bears %g", searcher, in, w.c.FallFor, bears)
	}
}

func (w *world) end(id, how string) *seen {
	l := w.lookups[id]
	if l == nil || l.ended {
		w.t.Fatalf("%s of lookup %s, which is not open", how, id)
	}
	if w.now > l.notAfter {
		w.t.Fatalf("%s of lookup %s after its time", how, id)
	}
	l.ended = true
	return l
}

func (w *world) Answer(id string, whole bool) {
	l := w.end(id, "answer")
	in, n := 0.0, 0
	for _, part := range l.steps[len(l.steps)-1] {
		if w.parts[part].in {
			in, n = in+w.parts[part].weight, n+1
		}
	}
	all := n == len(l.steps[len(l.steps)-1])
	first, partly := len(l.steps) == 1, l.t.LeastShare < l.t.CompleteFrom
	if in < l.t.LeastShare-1e-4 && (first || partly) || !first && !all && !partly {
		w.t.Fatalf("answer of %s from %g of its parts", id, in)
	}
	if whole && (first && in < l.t.CompleteFrom-1e-4 || !first && !(all && l.answeredWhole)) {
		w.t.Fatalf("answer of %s marked whole with %g of its parts", id, in)
	}
	l.answeredWhole = whole
	w.answers++
	if first && l.t.SecondStep > 0 {
		l.ended = false
		w.after(w.lag, func() {
			if !l.ended {
				w.hand(l, id, min(n, l.t.SecondStep), w.rng.Intn(w.c.Cells))
			}
		})
	}
}

func (w *world) Reject(id string, wait int64) {
	l := w.end(id, "bounce")
	for _, part := range slices.Concat(l.steps...) {
		p := w.parts[part]
		for i := range p.sent {
			if l.t.Effect == AtMostOnce && (!p.done[i] || p.ran[i]) {
				w.t.Fatalf("bounce of once-only lookup %s, part %s may have run", id, part)
			}
		}
	}
	if l.wait = wait; wait < 0 || wait > w.c.MaxAdvice {
		w.t.Fatalf("bounce of %s advises %d ns", id, wait)
	}
}

func (w *world) Fail(id string) { w.end(id, "failure") }

func (w *world) Cancel(part string, forward int) {
	p := w.parts[part]
	if !w.c.MayCancel || p.done[forward] {
		w.t.Fatalf("forward %d of %s withdrawn, allowed %v, out %v", forward, part, w.c.MayCancel, !p.done[forward])
	}
	p.done[forward] = true // it may have run
	took := w.now - p.sent[forward]
	w.after(0, func() { p.l.h.HandleOutcome(w.now, p.index, forward, Cancelled, took, p.in || p.l.ended) })
}

func (w *world) CloseIdle(searcher string) {
	w.box[searcher].used = 0
	w.closed++
}

func (w *world) SetTimer(after int64, whose TimerHandler) {
	if after <= 0 {
		w.t.Fatalf("timer after %d ns", after)
	}
	w.after(after, func() { whose.HandleTimer(w.now) })
}

func (w *world) Subscribe() {
	if w.refusing {
		w.after(20*ms, func() { w.m.ListFailed(w.now) })
	}
}

func (w *world) Note(string) {}

// plain gives settings without surprises: two cells, three searchers each, one tariff.
func plain(change func(*Config)) Config {
	c := Config{Mixers: 1, Cells: 2, Reach: 1, PerCall: 1, MaxForwards: 3, MayCopy: true, ColdFrom: 0.2,
		ColdFor: 10000 * ms, FallMultiple: 2, FallFor: 1000 * ms, Tariffs: []Tariff{{Expected: 2000 * ms,
			Patience: 4000 * ms, CompleteFrom: 1, LeastShare: 1}}}
	if change != nil {
		change(&c)
	}
	return c
}

// breakAll makes all boxes fail one way.
func (w *world) breakAll(how int) {
	for _, b := range w.box {
		b.broken = how
	}
}

func boxes(n, cells int) (rows []Entry) {
	for i := range n {
		rows = append(rows, Entry{Searcher: fmt.Sprint("box", i), Cell: i % cells})
	}
	return rows
}

// start gives a world of n sound boxes with plain settings.
func start(t testing.TB, seed int64, n int, change func(*Config)) *world {
	w := newWorld(t, seed, plain(change))
	w.list(true, boxes(n, w.c.Cells)...)
	return w
}

func (w *world) counts() (c []int, sum int) {
	for i := range len(w.box) {
		c = append(c, w.m.searchers[fmt.Sprint("box", i)].calls)
		sum += c[i]
	}
	return c, sum
}

// warmed gives a world of one cell whose mixer knows what forwards to its boxes take.
func warmed(t *testing.T, seed int64, n int) *world {
	w := start(t, seed, n, func(c *Config) { c.Cells = 1 })
	w.warmUp(10)
	return w
}

// warmUp serves lookups one by one, so that the mixer knows what forwards take.
func (w *world) warmUp(n int) {
	for range n {
		w.take(0, 2, 0, 4000*ms, false)
		w.run(w.now + 300*ms)
	}
}

// late takes 20 lookups one by one and counts those without an end after 400 ms.
func (w *world) late(parts int, pause int64) (n int) {
	for range 20 {
		l := w.take(0, parts, 0, 4000*ms, false)
		if w.run(w.now + 400*ms); !l.ended {
			n++
		}
		w.run(w.now + pause)
	}
	return n
}
