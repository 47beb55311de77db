package mixer

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
)

// simulation runs the searchers and clients around one mixer in simulated time. It is the mixer's
// Environment, and checks each action of the mixer against the rules.
type simulation struct {
	t                    testing.TB
	rng                  *rand.Rand
	now, secondStepDelay int64 // ns; delay from a first step's answer to the second step's parts
	queue                []event
	config               Config
	mixer                *Mixer
	listed               map[string]Entry // the list as last sent to the mixer
	searchers            map[string]*simSearcher
	lookups              map[string]*simLookup
	parts                map[string]*simPart
	retries, taken       []int64           // times of retries, and of new lookups and parts
	coldSent             map[Entry][]int64 // times of parts sent to a cold process
	answers, closed      int
	refusing             bool
}

// simSearcher is one simulated searcher.
type simSearcher struct {
	coreFreeAt [2]int64 // when each core finishes its work
	fault      int      // 0 healthy, 1 silent, 2 fails at once, 3 unreachable, 4 drops idle connections,
	// 5 returns an error half of the time
	lastUsed  int64 // last use of its connection, 0 if none is open
	roundTrip int64 // ns; network delay
}

// simLookup is one lookup as its client sees it.
type simLookup struct {
	handle               *Lookup
	tariff               Tariff
	notAfter             int64
	steps                [][]string
	ended, answeredWhole bool
	wait                 int64 // ns; advised by its rejection
}

// simPart is one part with its forwards: when each was sent, whether it is done and whether it may
// have run.
type simPart struct {
	lookup       *simLookup
	index, slice int
	weight       float64
	sent         []int64
	done, ran    []bool
	answered     bool
}

// event is a function to call at a time.
type event struct {
	at int64
	do func()
}

// after schedules a function; those of one time run in the order of scheduling.
func (sim *simulation) after(d int64, do func()) {
	at := sim.now + max(d, 1)
	i, _ := slices.BinarySearchFunc(sim.queue, at+1, func(e event, at int64) int { return int(e.at - at) })
	sim.queue = slices.Insert(sim.queue, i, event{at, do})
}

// run processes all events until a time.
func (sim *simulation) run(until int64) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		e := sim.queue[0]
		sim.queue = sim.queue[1:]
		sim.now = e.at
		e.do()
	}
	sim.now = until
}

func newSimulation(t testing.TB, seed int64, c Config) *simulation {
	sim := &simulation{t: t, rng: rand.New(rand.NewSource(seed)), now: 1e15, config: c, listed: map[string]Entry{},
		searchers: map[string]*simSearcher{}, lookups: map[string]*simLookup{}, parts: map[string]*simPart{},
		coldSent: map[Entry][]int64{}, secondStepDelay: 5 * ms}
	sim.mixer = New(sim.now, c, seed, sim)
	return sim
}

func (sim *simulation) updateList(full bool, list ...Entry) {
	if full {
		clear(sim.listed)
	}
	for _, e := range list {
		sim.listed[e.Searcher] = e
		if sim.searchers[e.Searcher] == nil {
			sim.searchers[e.Searcher] = &simSearcher{}
		}
	}
	sim.mixer.UpdateList(sim.now, list, full)
}

// startLookup starts a lookup with parts of equal weight on consecutive slices, for each customer
// in turn.
func (sim *simulation) startLookup(tariff, parts, slice int, patience int64, again bool) *simLookup {
	customer := len(sim.lookups) % (1 + len(sim.config.Allowances)) // the first is unknown
	return sim.startLookupOf(customer, tariff, parts, slice, patience, again)
}

// startLookupOf is startLookup for a given customer.
func (sim *simulation) startLookupOf(customer, tariff, parts, slice int, patience int64, again bool) *simLookup {
	id := fmt.Sprint("l", len(sim.lookups))
	l := &simLookup{tariff: sim.config.Tariffs[tariff], notAfter: sim.now + patience}
	sim.lookups[id] = l
	sim.taken = append(sim.taken, sim.now)
	l.handle = sim.mixer.StartLookup(sim.now, LookupRequest{ID: id, Tariff: tariff, NotAfter: l.notAfter, Parts: parts,
		Again: again, Customer: customer})
	sim.addParts(l, id, parts, slice)
	return l
}

// addParts adds the parts of the lookup's next step.
func (sim *simulation) addParts(l *simLookup, id string, parts, slice int) {
	step := len(l.steps)
	l.steps = append(l.steps, nil)
	for i := range parts {
		p := PartRequest{ID: fmt.Sprint(id, "s", step, "p", i), Slice: (slice + i) % sim.config.Cells, Weight: 1 / float64(parts)}
		sim.parts[p.ID] = &simPart{lookup: l, index: step*len(l.steps[0]) + i, slice: p.Slice, weight: p.Weight}
		l.steps[step] = append(l.steps[step], p.ID)
		sim.taken = append(sim.taken, sim.now)
		l.handle.AddPart(sim.now, p)
	}
}

func (sim *simulation) Forward(part, searcher string, within int64) {
	p, e := sim.parts[part], sim.listed[searcher]
	if p == nil || p.lookup.ended || p.answered {
		sim.t.Fatalf("forward of part %s, which is answered, ended or unknown", part)
	}
	if _, ok := sim.listed[searcher]; !ok || e.Status != Live {
		sim.t.Fatalf("forward of part %s to %s, which is not listed as live", part, searcher)
	}
	if d := (e.Cell - p.slice + sim.config.Cells) % sim.config.Cells; d >= sim.config.Reach {
		sim.t.Fatalf("forward of part %s to %s, which does not hold slice %d", part, searcher, p.slice)
	}
	if len(p.sent) >= sim.config.MaxForwards {
		sim.t.Fatalf("%d forwards of part %s, want at most %d", len(p.sent)+1, part, sim.config.MaxForwards)
	}
	for i := range p.sent {
		if !p.done[i] && !sim.config.MayCopy {
			sim.t.Fatalf("hedge of part %s, want none", part)
		}
		expired := p.lookup.tariff.Effect == AtMostOnce ||
			p.lookup.tariff.Effect == Deduplicated && sim.now > p.sent[i]+p.lookup.tariff.RepeatFor
		if expired && (!p.done[i] || p.ran[i]) {
			sim.t.Fatalf("part %s with effect %d resent, want no repeat", part, p.lookup.tariff.Effect)
		}
	}
	if len(p.sent) > 0 {
		sim.retries = append(sim.retries, sim.now)
		spent, taken := countAfter(sim.retries, sim.now-sim.config.BudgetFor-1), countAfter(sim.taken, sim.now-sim.config.BudgetFor)
		if most := sim.config.BudgetFree + sim.config.BudgetShare*taken; sim.config.BudgetFor > 0 && spent > most {
			sim.t.Fatalf("%g retries in the budget's window, want at most %g", spent, most)
		}
	}
	sim.checkColdLimit(searcher, e)
	i := len(p.sent)
	p.sent, p.done, p.ran = append(p.sent, sim.now), append(p.done, false), append(p.ran, true)
	o, took := sim.serve(sim.searchers[searcher], within)
	sim.after(took, func() {
		if p.done[i] {
			return // cancelled
		}
		p.done[i], p.ran[i] = true, !o.NeverRan()
		p.answered = p.answered || o == Succeeded && !p.lookup.ended
		p.lookup.handle.HandleOutcome(sim.now, p.index, i, o, took, p.answered || p.lookup.ended)
	})
}

// serve returns how a forward to a searcher will end, and after how long.
func (sim *simulation) serve(b *simSearcher, within int64) (Outcome, int64) {
	switch b.fault {
	case 1:
		return TimedOut, within
	case 2:
		return []Outcome{Failed, Rejected, ConnectionReset}[sim.rng.Intn(3)], 2 * ms
	case 3:
		return Unreachable, min(within, 250*ms)
	case 5:
		if sim.rng.Intn(2) == 0 {
			return Failed, 2 * ms
		}
	}
	used := b.lastUsed
	if b.lastUsed = sim.now; b.fault == 4 && used > 0 && sim.now-used > 1000*ms {
		return TimedOut, within
	}
	slices.Sort(b.coreFreeAt[:])
	b.coreFreeAt[0] = max(b.coreFreeAt[0], sim.now) + 50*ms + sim.rng.Int63n(100*ms)
	if took := b.coreFreeAt[0] - sim.now + b.roundTrip; took <= within {
		return Succeeded, took
	}
	return TimedOut, within
}

// countAfter returns how many of the sorted times are after a given one.
func countAfter(times []int64, after int64) float64 {
	i, _ := slices.BinarySearch(times, after+1)
	return float64(len(times) - i)
}

// checkColdLimit checks rule 4, the limit of parts to a cold searcher: warm ones can serve 20 parts
// a second, and no other mixer uses any of that.
func (sim *simulation) checkColdLimit(searcher string, e Entry) {
	age := sim.now - e.Started
	if e.Started == 0 || age >= sim.config.ColdFor {
		return
	}
	sim.coldSent[e] = append(sim.coldSent[e], sim.now)
	in := countAfter(sim.coldSent[e], sim.now-sim.config.FallFor)
	frac := sim.config.ColdFrom + (1-sim.config.ColdFrom)*float64(age)/float64(sim.config.ColdFor)
	most := sim.config.FallMultiple * frac * 20 * float64(sim.config.FallFor) / 1e9
	if in > 1+most {
		sim.t.Fatalf("cold searcher %s was sent %g parts within %d ns, want at most %g",
			searcher, in, sim.config.FallFor, 1+most)
	}
}

// endLookup marks a lookup as ended by an action, which must come within the client's deadline.
func (sim *simulation) endLookup(id, action string) *simLookup {
	l := sim.lookups[id]
	if l == nil || l.ended {
		sim.t.Fatalf("%s of lookup %s, which has ended or is unknown", action, id)
	}
	if sim.now > l.notAfter {
		sim.t.Fatalf("%s of lookup %s at %d ns, want at most %d ns", action, id, sim.now, l.notAfter)
	}
	l.ended = true
	return l
}

func (sim *simulation) Answer(id string, complete bool) {
	l := sim.endLookup(id, "answer")
	in, n := 0.0, 0
	for _, part := range l.steps[len(l.steps)-1] {
		if sim.parts[part].answered {
			in, n = in+sim.parts[part].weight, n+1
		}
	}
	all := n == len(l.steps[len(l.steps)-1])
	first, partly := len(l.steps) == 1, l.tariff.LeastShare < l.tariff.CompleteFrom
	if in < l.tariff.LeastShare-1e-4 && (first || partly) || !first && !all && !partly {
		sim.t.Fatalf("answer of lookup %s from a weight of %g, want at least %g", id, in, l.tariff.LeastShare)
	}
	if complete && (first && in < l.tariff.CompleteFrom-1e-4 || !first && !(all && l.answeredWhole)) {
		sim.t.Fatalf("answer of lookup %s marked complete with a weight of %g, want at least %g",
			id, in, l.tariff.CompleteFrom)
	}
	l.answeredWhole = complete
	sim.answers++
	if first && l.tariff.SecondStep > 0 {
		l.ended = false
		sim.after(sim.secondStepDelay, func() {
			if !l.ended {
				sim.addParts(l, id, min(n, l.tariff.SecondStep), sim.rng.Intn(sim.config.Cells))
			}
		})
	}
}

func (sim *simulation) Reject(id string, wait int64) {
	l := sim.endLookup(id, "rejection")
	for _, part := range slices.Concat(l.steps...) {
		p := sim.parts[part]
		for i := range p.sent {
			if l.tariff.Effect == AtMostOnce && (!p.done[i] || p.ran[i]) {
				sim.t.Fatalf("rejection of at-most-once lookup %s, but its part %s may have run", id, part)
			}
		}
	}
	if l.wait = wait; wait < 0 || wait > sim.config.MaxAdvice {
		sim.t.Fatalf("rejection of lookup %s advises a wait of %d ns, want 0 to %d ns", id, wait, sim.config.MaxAdvice)
	}
}

func (sim *simulation) Fail(id string) { sim.endLookup(id, "failure") }

func (sim *simulation) Cancel(part string, forward int) {
	p := sim.parts[part]
	if !sim.config.MayCancel || p.done[forward] {
		sim.t.Fatalf("forward %d of part %s cancelled: allowed %v, in flight %v, want both true",
			forward, part, sim.config.MayCancel, !p.done[forward])
	}
	p.done[forward] = true // it may have run
	took := sim.now - p.sent[forward]
	sim.after(0, func() {
		p.lookup.handle.HandleOutcome(sim.now, p.index, forward, Cancelled, took, p.answered || p.lookup.ended)
	})
}

func (sim *simulation) CloseIdle(searcher string) {
	sim.searchers[searcher].lastUsed = 0
	sim.closed++
}

func (sim *simulation) SetTimer(after int64, h TimerHandler) {
	if after <= 0 {
		sim.t.Fatalf("timer set for %d ns, want a positive time", after)
	}
	sim.after(after, func() { h.HandleTimer(sim.now) })
}

func (sim *simulation) Subscribe() {
	if sim.refusing {
		sim.after(20*ms, func() { sim.mixer.ListFailed(sim.now) })
	}
}

func (sim *simulation) Note(string) {}

// plainConfig returns a simple configuration, two cells and one tariff, after applying change.
func plainConfig(change func(*Config)) Config {
	c := Config{Mixers: 1, Cells: 2, Reach: 1, PerCall: 1, MaxForwards: 3, MayCopy: true, ColdFrom: 0.2,
		ColdFor: 10000 * ms, FallMultiple: 2, FallFor: 1000 * ms, Tariffs: []Tariff{{Expected: 2000 * ms,
			Patience: 4000 * ms, CompleteFrom: 1, LeastShare: 1}}}
	if change != nil {
		change(&c)
	}
	return c
}

// setFaults gives all searchers the same fault.
func (sim *simulation) setFaults(fault int) {
	for _, s := range sim.searchers {
		s.fault = fault
	}
}

// entries returns the list entries of n searchers, which belong to the cells in turn.
func entries(n, cells int) (list []Entry) {
	for i := range n {
		list = append(list, Entry{Searcher: fmt.Sprint("box", i), Cell: i % cells})
	}
	return list
}

// startSimulation returns a simulation of n healthy searchers with plainConfig.
func startSimulation(t testing.TB, seed int64, n int, change func(*Config)) *simulation {
	sim := newSimulation(t, seed, plainConfig(change))
	sim.updateList(true, entries(n, sim.config.Cells)...)
	return sim
}

// callCounts returns the calls in flight at each searcher, and their sum.
func (sim *simulation) callCounts() (counts []int, sum int) {
	for i := range len(sim.searchers) {
		counts = append(counts, sim.mixer.searchers[fmt.Sprint("box", i)].callsOut)
		sum += counts[i]
	}
	return counts, sum
}

// warmSimulation returns a simulation of one cell whose mixer has latency statistics.
func warmSimulation(t *testing.T, seed int64, n int) *simulation {
	sim := startSimulation(t, seed, n, func(c *Config) { c.Cells = 1 })
	sim.warmUp(10)
	return sim
}

// warmUp serves lookups one by one, which gives the mixer latency statistics.
func (sim *simulation) warmUp(n int) {
	for range n {
		sim.startLookup(0, 2, 0, 4000*ms, false)
		sim.run(sim.now + 300*ms)
	}
}

// countLate starts 20 lookups one by one and returns how many have not ended after 400 ms.
func (sim *simulation) countLate(parts int, pause int64) (n int) {
	for range 20 {
		l := sim.startLookup(0, parts, 0, 4000*ms, false)
		if sim.run(sim.now + 400*ms); !l.ended {
			n++
		}
		sim.run(sim.now + pause)
	}
	return n
}
