package record

import (
	"fmt"
	"math/rand"
	"slices"

	"nettlefold/internal/lab/agenda"
	"nettlefold/mixer"
)

// world plays searchers, clients, the list and other mixers around one module. One seed, one history for one module.
type world struct {
	rng     *rand.Rand
	now     int64
	tick    int64 // all comes at multiples of it, so that much comes at one time
	late    int64 // the most that a timer is late
	stalled int64 // until then the mixer stands still and nothing reaches it
	end     int64 // of arrivals
	agenda  agenda.Agenda

	c       mixer.Config
	m       *Mixer
	cores   int
	work    int64 // mean work of a part
	boxes   []*box
	byName  map[string]*box
	parts   map[string]*piece
	queries []*query
	slices  int
	slow    float64 // of all work; over 1 is a jam
	long    float64 // share of queries with hundreds of parts
	longest int     // such queries still to come
	longer  int     // and of those with tens
	refuses bool    // the list's service refuses
	shares  bool    // other mixers have something to say
}

// box is one searcher as it really is.
type box struct {
	mixer.Entry
	how    fault
	free   []int64 // when each core is done
	net    int64   // there and back
	slower float64
}

// fault is how a searcher fails.
type fault int

const (
	sound fault = iota
	hangs
	errs    // fast
	refuses // turns away unseen
	unreached
	resets
	flaky // errs half of the time
	crawls
	mutes // answers one in three
	faults
)

// query is one query as its client sees it.
type query struct {
	mixer.LookupRequest
	t        mixer.Tariff
	h        *Lookup
	parts    []*piece
	step     int // 0 or 1
	ended    bool
	deadline int64 // of all its tries
	tries    int
}

// piece is one part with its attempts.
type piece struct {
	q     *query
	index int
	slice int
	in    bool
	done  []bool
	sent  []int64
}

// after books what happens later; what is due at one time keeps its order.
func (w *world) after(d int64, do func()) {
	at := w.now + max(d, 1)
	w.agenda.Book((at+w.tick-1)/w.tick*w.tick, do)
}

// run plays all that happens up to a time.
func (w *world) run(until int64) {
	for at, do, due := w.agenda.Next(until); due; at, do, due = w.agenda.Next(until) {
		w.now = max(w.now, at, w.stalled)
		do()
	}
}

// Hard plays the hard world of a seed: settings, searchers, troubles and queries are drawn from all that may come. What the module
// is called with and what it does is written to t.
func Hard(seed int64, t *Transcript) {
	rng := rand.New(rand.NewSource(seed))
	w := &world{rng: rng, now: oneOf(rng, ms, 1_000_000_000_000*ms), byName: map[string]*box{}, parts: map[string]*piece{},
		tick: oneOf(rng, 1, 1, ms, 5*ms), late: oneOf(rng, 0, 0, 20*ms, 400*ms), cores: 1 + rng.Intn(3), c: drawCharter(rng),
		work: span(rng, 10, 120), slow: 1, long: 0.02, longer: 8, shares: rng.Intn(2) == 0}
	if seed%6 == 0 { // there is room for queries of hundreds of parts
		w.longest, w.long, w.work = 2, 0.05, span(rng, 2, 20)
		for i := range w.c.Tariffs {
			w.c.Tariffs[i].Expected += 1500 * ms
			w.c.Tariffs[i].Patience += 1500 * ms
		}
	}
	if seed%5 == 1 { // and here for copies: forwards take little of the expected time
		w.c.MayCopy, w.c.MaxForwards, w.work = true, 2+w.rng.Intn(4), span(rng, 5, 30)
	}
	w.slices = max(1, w.c.Cells*oneOf(rng, 1, 1, 2, 3)-rng.Intn(2))
	w.drawBoxes()
	w.m = New(w.now, w.c, rng.Int63(), w, t)
	for _, b := range w.boxes {
		if rng.Intn(6) == 0 {
			b.Started = w.now - span(rng, 0, 20_000)
		}
	}
	w.whole(0)
	if rng.Intn(4) == 0 {
		w.m.Hold(w.now + span(rng, 0, 4000))
	}
	length := span(rng, 5000, 12_000)
	w.end = w.now + length
	// At this pace some queries of ten parts or so come in a jam, or leave the searchers idle.
	bears := float64(w.cores*len(w.boxes)) / float64(w.work)
	rate := min(oneOf(rng, 0.1, 0.4, 0.7, 1.3)*bears/9, 250/float64(length))
	w.each(func() int64 { return int64(rng.ExpFloat64() / rate) }, w.arrive)
	w.each(func() int64 { return span(rng, 50, 900) }, w.trouble)
	w.each(func() int64 { return span(rng, 100, 700) }, w.speak)
	w.run(w.end + 8000*ms)
	w.close()
}

// each does something again and again until the end of arrivals.
func (w *world) each(pause func() int64, do func()) {
	var next func()
	next = func() {
		if w.now < w.end {
			do()
			w.after(pause(), next)
		}
	}
	w.after(pause(), next)
}

// close asks the module for all that it knows. A refused list draws from its source of chance: the wait shows whether that
// stands where it stood.
func (w *world) close() {
	for _, b := range w.boxes {
		w.m.Standing(w.now, b.Searcher)
	}
	w.m.Tell(w.now, 500*ms, func(mixer.Observation) {})
	w.m.Keep(w.now)
	w.m.ListRefused(w.now)
	w.m.ListRefused(w.now)
}

// arrive has one query come, or several at one time.
func (w *world) arrive() {
	for range oneOf(w.rng, 1, 1, 1, 1, 2, 5) {
		tariff := w.rng.Intn(len(w.c.Tariffs))
		q := &query{t: w.c.Tariffs[tariff], deadline: w.now + w.c.Tariffs[tariff].Patience}
		q.LookupRequest = mixer.LookupRequest{Tariff: tariff, Parts: w.drawParts(), Customer: w.rng.Intn(1 + len(w.c.Allowances))}
		w.take(q)
	}
}

// take hands a query to the module.
func (w *world) take(q *query) {
	q.ID, q.NotAfter = fmt.Sprintf("q%d", len(w.queries)), q.deadline
	if w.rng.Intn(4) == 0 { // a client that gives a try less time
		q.NotAfter = w.now + (q.deadline-w.now)*2/3
	}
	w.queries = append(w.queries, q)
	q.h = w.m.Take(w.now, q.LookupRequest)
	n := q.Parts
	if w.rng.Intn(60) == 0 {
		n = w.rng.Intn(n) // the rest never comes
	}
	w.hand(q, n, drawSlices(w.rng, w.slices, q.Parts))
	if !q.ended && w.rng.Intn(25) == 0 {
		w.after(w.rng.Int63n(q.t.Expected), func() { w.leave(q) })
	}
	w.after(q.NotAfter+20*ms-w.now, func() { w.leave(q) })
}

func (w *world) leave(q *query) {
	if !q.ended {
		q.ended = true
		q.h.Gone(w.now)
	}
}

// hand hands over n parts of a step.
func (w *world) hand(q *query, n int, on []int) {
	weights, efforts := drawWeights(w.rng, len(on)), drawEfforts(w.rng, len(on))
	for i := range n {
		if q.ended {
			return
		}
		p := &piece{q: q, index: len(q.parts), slice: on[i]}
		id := fmt.Sprintf("%s.%d", q.ID, p.index)
		q.parts, w.parts[id] = append(q.parts, p), p
		q.h.AddPart(w.now, mixer.PartRequest{ID: id, Slice: on[i], Weight: weights[i], Effort: efforts[i]})
	}
}

// again has a client that was turned away try again, as a query of its own.
func (w *world) again(q *query, wait int64) {
	q.ended = true
	if q.tries < 3 && q.t.Effect != mixer.AtMostOnce && w.rng.Intn(2) == 0 {
		w.after(wait+w.rng.Int63n(200*ms), func() {
			if next := (&query{LookupRequest: q.LookupRequest, t: w.c.Tariffs[q.Tariff], deadline: q.deadline, tries: q.tries + 1}); w.now < q.deadline {
				next.Again = true
				w.take(next)
			}
		})
	}
}

// What follows is the module's floor.

func (w *world) Forward(part, searcher string, within int64) {
	p, i := w.parts[part], len(w.parts[part].sent)
	p.sent, p.done = append(p.sent, w.now), append(p.done, false)
	took, o := w.serve(w.byName[searcher], within)
	w.after(took, func() { w.tell(p, i, o, took) })
}

// tell tells the module how an attempt ended, unless it was told before.
func (w *world) tell(p *piece, i int, o mixer.Outcome, took int64) {
	if p.done[i] {
		return
	}
	p.done[i] = true
	p.in = p.in || o == mixer.Succeeded && !p.q.ended
	p.q.h.Outcome(w.now, p.index, i, o, took, p.in || p.q.ended)
}

func (w *world) Cancel(part string, i int) {
	p, sent := w.parts[part], w.now
	sent = p.sent[i]
	if w.rng.Intn(4) > 0 { // else what it ended with is on its way
		w.after(oneOf(w.rng, 0, w.rng.Int63n(5*ms)), func() { w.tell(p, i, mixer.Cancelled, w.now-sent) })
	}
}

func (w *world) Answer(id string, whole bool) {
	q := w.query(id)
	if q.step > 0 || q.t.SecondStep == 0 {
		q.ended = true
		return
	}
	q.step = 1
	var on []int
	for _, p := range q.parts {
		if p.in && len(on) < q.t.SecondStep {
			on = append(on, p.slice)
		}
	}
	w.after(w.rng.Int63n(8*ms), func() { w.hand(q, len(on), on) })
}

func (w *world) Reject(id string, wait int64) { w.again(w.query(id), wait) }
func (w *world) Fail(id string)               { w.again(w.query(id), 0) }

func (w *world) query(id string) *query {
	i := slices.IndexFunc(w.queries, func(q *query) bool { return q.ID == id })
	if w.queries[i].ended {
		panic("record: a query that is not open was ended: " + id)
	}
	return w.queries[i]
}

func (w *world) CloseIdle(string) {}
func (w *world) Note(string)      {}

func (w *world) SetTimer(after int64, whose mixer.TimerHandler) {
	if w.late > 0 && w.rng.Intn(3) == 0 {
		after += w.rng.Int63n(w.late)
	}
	w.after(after, func() { whose.HandleTimer(w.now) })
}

func (w *world) Subscribe() {
	w.after(span(w.rng, 1, 300), func() {
		if w.refuses || w.rng.Intn(4) == 0 {
			w.m.ListRefused(w.now)
		} else {
			w.whole(0)
		}
	})
}
