package mixer

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
)

// world plays the searchers and clients around one mixer in simulated time. It is the mixer's floor, and
// checks the rules and the legality of every action as it comes.
type simulation struct {
	t                    testing.TB
	rng                  *rand.Rand
	now, secondStepDelay int64 // lag passes before a second step's parts come
	queue                []event
	config               Config
	mixer                *Mixer
	listed               map[string]Entry // the list as the mixer was last told
	searchers            map[string]*simSearcher
	lookups              map[string]*simLookup
	parts                map[string]*simPart
	retries, taken       []int64           // when further ones were made, when lookups and parts came
	coldSent             map[Entry][]int64 // when parts were sent to a process told to be cold
	answers, closed      int
	refusing             bool
}

// box is one searcher as it really is.
type simSearcher struct {
	coreFreeAt [2]int64 // when each core is done
	fault      int      // 0 sound, 1 silent, 2 fails at once, 3 unreachable, 4 drops connections that lie idle,
	// 5 errs half of the time
	lastUsed  int64 // when its connection was last in use, 0 where none is open
	roundTrip int64 // what the way there and back takes
}

type simLookup struct {
	handle               *Lookup
	tariff               Tariff
	notAfter             int64
	steps                [][]string
	ended, answeredWhole bool
	wait                 int64 // advised by its bounce
}

type simPart struct {
	lookup       *simLookup
	index, slice int
	weight       float64
	sent         []int64
	done, ran    []bool
	answered     bool
}

type event struct {
	at int64
	do func()
}

// after books what happens later; what is due at one time keeps its order.
func (w *simulation) after(d int64, do func()) {
	at := w.now + max(d, 1)
	i, _ := slices.BinarySearchFunc(w.queue, at+1, func(e event, at int64) int { return int(e.at - at) })
	w.queue = slices.Insert(w.queue, i, event{at, do})
}

// run plays all events until a time.
func (w *simulation) run(until int64) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := w.queue[0]
		w.queue = w.queue[1:]
		w.now = e.at
		e.do()
	}
	w.now = until
}

func newSimulation(t testing.TB, seed int64, c Config) *simulation {
	w := &simulation{t: t, rng: rand.New(rand.NewSource(seed)), now: 1e15, config: c, listed: map[string]Entry{},
		searchers: map[string]*simSearcher{}, lookups: map[string]*simLookup{}, parts: map[string]*simPart{}, coldSent: map[Entry][]int64{}, secondStepDelay: 5 * ms}
	w.mixer = New(w.now, c, seed, w)
	return w
}

func (w *simulation) updateList(full bool, rows ...Entry) {
	if full {
		clear(w.listed)
	}
	for _, e := range rows {
		w.listed[e.Searcher] = e
		if w.searchers[e.Searcher] == nil {
			w.searchers[e.Searcher] = &simSearcher{}
		}
	}
	w.mixer.UpdateList(w.now, rows, full)
}

// take hands over a lookup with parts of equal weight on slices in a row.
func (w *simulation) startLookup(tariff, parts, slice int, patience int64, again bool) *simLookup {
	who := len(w.lookups) % (1 + len(w.config.Allowances)) // by turns, the first time one who is not told
	return w.startLookupOf(who, tariff, parts, slice, patience, again)
}

// takeFrom is take with the customer told, by its row.
func (w *simulation) startLookupOf(who, tariff, parts, slice int, patience int64, again bool) *simLookup {
	id := fmt.Sprint("l", len(w.lookups))
	l := &simLookup{tariff: w.config.Tariffs[tariff], notAfter: w.now + patience}
	w.lookups[id] = l
	w.taken = append(w.taken, w.now)
	l.handle = w.mixer.StartLookup(w.now, LookupRequest{ID: id, Tariff: tariff, NotAfter: l.notAfter, Parts: parts, Again: again, Customer: who})
	w.addParts(l, id, parts, slice)
	return l
}

func (w *simulation) addParts(l *simLookup, id string, parts, slice int) {
	step := len(l.steps)
	l.steps = append(l.steps, nil)
	for i := range parts {
		p := PartRequest{ID: fmt.Sprint(id, "s", step, "p", i), Slice: (slice + i) % w.config.Cells, Weight: 1 / float64(parts)}
		w.parts[p.ID] = &simPart{lookup: l, index: step*len(l.steps[0]) + i, slice: p.Slice, weight: p.Weight}
		l.steps[step] = append(l.steps[step], p.ID)
		w.taken = append(w.taken, w.now)
		l.handle.AddPart(w.now, p)
	}
}

func (w *simulation) Forward(part, searcher string, within int64) {
	p, e := w.parts[part], w.listed[searcher]
	if p == nil || p.lookup.ended || p.answered {
		w.t.Fatalf("forward of part %s, which is not open", part)
	}
	if _, ok := w.listed[searcher]; !ok || e.Status != Live {
		w.t.Fatalf("forward of %s to %s, which is not listed live", part, searcher)
	}
	if d := (e.Cell - p.slice + w.config.Cells) % w.config.Cells; d >= w.config.Reach {
		w.t.Fatalf("forward of %s to %s, which does not hold slice %d", part, searcher, p.slice)
	}
	if len(p.sent) >= w.config.MaxForwards {
		w.t.Fatalf("forward %d of %s, most are %d", len(p.sent)+1, part, w.config.MaxForwards)
	}
	for i := range p.sent {
		if !p.done[i] && !w.config.MayCopy {
			w.t.Fatalf("copy of %s, none are allowed", part)
		}
		late := p.lookup.tariff.Effect == AtMostOnce || p.lookup.tariff.Effect == Deduplicated && w.now > p.sent[i]+p.lookup.tariff.RepeatFor
		if late && (!p.done[i] || p.ran[i]) {
			w.t.Fatalf("part %s of effect %d sent again", part, p.lookup.tariff.Effect)
		}
	}
	if len(p.sent) > 0 {
		w.retries = append(w.retries, w.now)
		spent, taken := countAfter(w.retries, w.now-w.config.BudgetFor-1), countAfter(w.taken, w.now-w.config.BudgetFor)
		if most := w.config.BudgetFree + w.config.BudgetShare*taken; w.config.BudgetFor > 0 && spent > most {
			w.t.Fatalf("%g further forwards in the budget's window, most are %g", spent, most)
		}
	}
	w.checkColdLimit(searcher, e)
	i := len(p.sent)
	p.sent, p.done, p.ran = append(p.sent, w.now), append(p.done, false), append(p.ran, true)
	o, took := w.serve(w.searchers[searcher], within)
	w.after(took, func() {
		if p.done[i] {
			return // withdrawn
		}
		p.done[i], p.ran[i] = true, !o.NeverRan()
		p.answered = p.answered || o == Succeeded && !p.lookup.ended
		p.lookup.handle.HandleOutcome(w.now, p.index, i, o, took, p.answered || p.lookup.ended)
	})
}

func (w *simulation) serve(b *simSearcher, within int64) (Outcome, int64) {
	switch b.fault {
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
	used := b.lastUsed
	if b.lastUsed = w.now; b.fault == 4 && used > 0 && w.now-used > 1000*ms {
		return TimedOut, within
	}
	slices.Sort(b.coreFreeAt[:])
	b.coreFreeAt[0] = max(b.coreFreeAt[0], w.now) + 50*ms + w.rng.Int63n(100*ms)
	if took := b.coreFreeAt[0] - w.now + b.roundTrip; took <= within {
		return Succeeded, took
	}
	return TimedOut, within
}

// since counts the times after one; they come in order.
func countAfter(times []int64, after int64) float64 {
	i, _ := slices.BinarySearch(times, after+1)
	return float64(len(times) - i)
}

// coldCheck checks rule 4: the boxes bear 20 parts a second when warm, and no other mixer takes any of it.
func (w *simulation) checkColdLimit(searcher string, e Entry) {
	age := w.now - e.Started
	if e.Started == 0 || age >= w.config.ColdFor {
		return
	}
	w.coldSent[e] = append(w.coldSent[e], w.now)
	in := countAfter(w.coldSent[e], w.now-w.config.FallFor)
	frac := w.config.ColdFrom + (1-w.config.ColdFrom)*float64(age)/float64(w.config.ColdFor)
	bears := w.config.FallMultiple * frac * 20 * float64(w.config.FallFor) / 1e9
	if in > 1+bears {
		w.t.Fatalf("cold searcher %s sent %g parts within %d ns, it bears %g", searcher, in, w.config.FallFor, bears)
	}
}

func (w *simulation) endLookup(id, how string) *simLookup {
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

func (w *simulation) Answer(id string, whole bool) {
	l := w.endLookup(id, "answer")
	in, n := 0.0, 0
	for _, part := range l.steps[len(l.steps)-1] {
		if w.parts[part].answered {
			in, n = in+w.parts[part].weight, n+1
		}
	}
	all := n == len(l.steps[len(l.steps)-1])
	first, partly := len(l.steps) == 1, l.tariff.LeastShare < l.tariff.CompleteFrom
	if in < l.tariff.LeastShare-1e-4 && (first || partly) || !first && !all && !partly {
		w.t.Fatalf("answer of %s from %g of its parts", id, in)
	}
	if whole && (first && in < l.tariff.CompleteFrom-1e-4 || !first && !(all && l.answeredWhole)) {
		w.t.Fatalf("answer of %s marked whole with %g of its parts", id, in)
	}
	l.answeredWhole = whole
	w.answers++
	if first && l.tariff.SecondStep > 0 {
		l.ended = false
		w.after(w.secondStepDelay, func() {
			if !l.ended {
				w.addParts(l, id, min(n, l.tariff.SecondStep), w.rng.Intn(w.config.Cells))
			}
		})
	}
}

func (w *simulation) Reject(id string, wait int64) {
	l := w.endLookup(id, "bounce")
	for _, part := range slices.Concat(l.steps...) {
		p := w.parts[part]
		for i := range p.sent {
			if l.tariff.Effect == AtMostOnce && (!p.done[i] || p.ran[i]) {
				w.t.Fatalf("bounce of once-only lookup %s, part %s may have run", id, part)
			}
		}
	}
	if l.wait = wait; wait < 0 || wait > w.config.MaxAdvice {
		w.t.Fatalf("bounce of %s advises %d ns", id, wait)
	}
}

func (w *simulation) Fail(id string) { w.endLookup(id, "failure") }

func (w *simulation) Cancel(part string, forward int) {
	p := w.parts[part]
	if !w.config.MayCancel || p.done[forward] {
		w.t.Fatalf("forward %d of %s withdrawn, allowed %v, out %v", forward, part, w.config.MayCancel, !p.done[forward])
	}
	p.done[forward] = true // it may have run
	took := w.now - p.sent[forward]
	w.after(0, func() {
		p.lookup.handle.HandleOutcome(w.now, p.index, forward, Cancelled, took, p.answered || p.lookup.ended)
	})
}

func (w *simulation) CloseIdle(searcher string) {
	w.searchers[searcher].lastUsed = 0
	w.closed++
}

func (w *simulation) SetTimer(after int64, whose TimerHandler) {
	if after <= 0 {
		w.t.Fatalf("timer after %d ns", after)
	}
	w.after(after, func() { whose.HandleTimer(w.now) })
}

func (w *simulation) Subscribe() {
	if w.refusing {
		w.after(20*ms, func() { w.mixer.ListFailed(w.now) })
	}
}

func (w *simulation) Note(string) {}

// plain gives settings without surprises: two cells, three searchers each, one tariff.
func plainConfig(change func(*Config)) Config {
	c := Config{Mixers: 1, Cells: 2, Reach: 1, PerCall: 1, MaxForwards: 3, MayCopy: true, ColdFrom: 0.2,
		ColdFor: 10000 * ms, FallMultiple: 2, FallFor: 1000 * ms, Tariffs: []Tariff{{Expected: 2000 * ms,
			Patience: 4000 * ms, CompleteFrom: 1, LeastShare: 1}}}
	if change != nil {
		change(&c)
	}
	return c
}

// breakAll makes all boxes fail one way.
func (w *simulation) setFaults(how int) {
	for _, b := range w.searchers {
		b.fault = how
	}
}

func entries(n, cells int) (rows []Entry) {
	for i := range n {
		rows = append(rows, Entry{Searcher: fmt.Sprint("box", i), Cell: i % cells})
	}
	return rows
}

// start gives a world of n sound boxes with plain settings.
func startSimulation(t testing.TB, seed int64, n int, change func(*Config)) *simulation {
	w := newSimulation(t, seed, plainConfig(change))
	w.updateList(true, entries(n, w.config.Cells)...)
	return w
}

func (w *simulation) callCounts() (c []int, sum int) {
	for i := range len(w.searchers) {
		c = append(c, w.mixer.searchers[fmt.Sprint("box", i)].callsOut)
		sum += c[i]
	}
	return c, sum
}

// warmed gives a world of one cell whose mixer knows what forwards to its boxes take.
func warmSimulation(t *testing.T, seed int64, n int) *simulation {
	w := startSimulation(t, seed, n, func(c *Config) { c.Cells = 1 })
	w.warmUp(10)
	return w
}

// warmUp serves lookups one by one, so that the mixer knows what forwards take.
func (w *simulation) warmUp(n int) {
	for range n {
		w.startLookup(0, 2, 0, 4000*ms, false)
		w.run(w.now + 300*ms)
	}
}

// late takes 20 lookups one by one and counts those without an end after 400 ms.
func (w *simulation) countLate(parts int, pause int64) (n int) {
	for range 20 {
		l := w.startLookup(0, parts, 0, 4000*ms, false)
		if w.run(w.now + 400*ms); !l.ended {
			n++
		}
		w.run(w.now + pause)
	}
	return n
}
