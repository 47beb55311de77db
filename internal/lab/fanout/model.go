package fanout

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	tick     = 100     // µs: what comes within one is taken up together
	horizon  = 1 << 14 // ticks that the wheel holds
	grain    = 4       // µs of a pace as it is kept
	lean     = 1.5     // parts, which the fleet's pace weighs in what is learnt of a searcher, as in the module
	paceHalf = 16.0    // s, as there
	gone     = math.MaxUint32
)

// flight is a part that is out.
type flight struct {
	next     int32 // of those of one tick
	query    int32
	pair     uint32
	searcher uint32
	sent, at uint32 // µs
	count    uint32 // out there with it
}

type query struct {
	began uint32
	left  int32
}

// model is a play. Pairs of a mixer and a holder of its subset are packed: own parts out in the top 8 bits, the pace learnt in the
// next 16, what stands behind it in the last 8; so the least by count and then pace is the least number.
type model struct {
	Fleet
	d       int // holders that a mixer uses
	rng     *rand.Rand
	now     uint32 // µs
	pairs   []uint32
	holder  []uint16 // of a pair, nil where all are used
	used    []uint32 // ms+1, of a pair: until when its connection was in use
	slots   []uint32 // when each slot of a searcher is free
	slow    []bool
	service []float32
	wheel   [horizon]int32
	flights []flight
	spare   []int32
	queries []query
	idleQ   []int32
	most    uint32 // weight that stands behind a pace
	from    uint32 // µs, when measuring begins

	arrived, second []uint32
	made            int
	picks, ownBusy  int
	busy            int // pairs with a part out
	busySum, ticks  int
	zone            outage
	roll            restarts
	Outcome
}

// Play plays a fleet.
func (f Fleet) Play() *Outcome {
	m := newModel(f)
	end := uint32((f.Warm + f.Length).Microseconds())
	m.from = uint32(f.Warm.Microseconds())
	seconds := m.from
	for m.now = tick; m.now < end; m.now += tick {
		m.land()
		m.happen()
		if m.now >= m.from && m.now-tick < m.from {
			clear(m.arrived)
			clear(m.second)
			m.made = 0
		}
		if m.now >= m.from {
			m.busySum, m.ticks = m.busySum+m.busy, m.ticks+1
		}
		if m.now >= seconds+1e6 {
			m.close()
			seconds += 1e6
		}
		for range m.poisson(f.Queries * float64(f.Mixers) * tick / 1e6) {
			m.ask(m.rng.IntN(f.Mixers))
		}
	}
	m.sum(end)
	for m.Sent > m.Answered && m.now < end+60e6 { // what is out comes in
		m.land()
		m.happen()
		m.now += tick
	}
	for _, p := range m.pairs {
		if p>>24 != 0 && p != gone {
			m.Stuck++
		}
	}
	return &m.Outcome
}

func newModel(f Fleet) *model {
	m := &model{Fleet: f, d: f.used(), rng: rand.New(rand.NewPCG(f.Seed, 7))}
	searchers := f.Cells * f.Holders
	if m.d < f.Holders {
		m.holder = make([]uint16, 0, f.Mixers*f.Cells*m.d)
		for i := range f.Mixers * f.Cells {
			m.holder = append(m.holder, f.Choose(i/f.Cells, i%f.Cells, f.Holders, m.d)...)
		}
	}
	m.pairs = make([]uint32, f.Mixers*f.Cells*m.d)
	for i := range m.pairs {
		m.pairs[i] = m.fresh()
	}
	m.most = uint32(min(250, max(1, f.Queries/float64(m.d)*paceHalf/math.Ln2)))
	m.slots, m.slow = make([]uint32, searchers*f.Slots), make([]bool, searchers)
	m.arrived, m.second = make([]uint32, searchers), make([]uint32, searchers)
	for i := range m.slow {
		m.slow[i] = f.SlowEach > 0 && i%f.SlowEach == f.SlowEach/2
	}
	m.service = make([]float32, 1<<16)
	for i := range m.service { // of mean Service
		m.service[i] = float32(float64(f.Service.Microseconds()) * math.Exp(f.Sigma*m.rng.NormFloat64()-f.Sigma*f.Sigma/2))
	}
	for i := range m.wheel {
		m.wheel[i] = -1
	}
	if f.Idle > 0 {
		m.used = make([]uint32, len(m.pairs))
	}
	m.prepare()
	return m
}

// fresh is a pair of which nothing is known: it's held to be as the fleet is.
func (m *model) fresh() uint32 { return uint32(m.Service.Microseconds()/grain) << 8 }

func (m *model) poisson(mean float64) (n int) {
	for at := m.rng.ExpFloat64(); at < mean; at += m.rng.ExpFloat64() {
		n++
	}
	return n
}

// ask begins a query of a mixer.
func (m *model) ask(mixer int) {
	q := int32(len(m.queries))
	if n := len(m.idleQ); n > 0 {
		q, m.idleQ = m.idleQ[n-1], m.idleQ[:n-1]
	} else {
		m.queries = append(m.queries, query{})
	}
	m.queries[q] = query{m.now, int32(m.Cells)}
	for c := range m.Cells {
		m.Sent++
		m.send(mixer, c, q)
	}
}

// searcher gives that of a pair.
func (m *model) searcher(cell int, pair uint32) uint32 {
	h := pair % uint32(m.d)
	if m.holder != nil {
		h = uint32(m.holder[pair])
	}
	return uint32(cell*m.Holders) + h
}

// pick gives the least of a mixer's pairs of a cell, equals by chance.
func (m *model) pick(mixer, cell int) uint32 {
	base := (mixer*m.Cells + cell) * m.d
	pairs := m.pairs[base : base+m.d]
	from := m.rng.IntN(m.d)
	best, least := from, uint32(gone)
	cold := m.roll.on(cell)
	for i, p := range pairs[from:] {
		if p>>8 < least>>8 && (!cold || m.roll.may(m, uint32(base+from+i), cell)) {
			best, least = from+i, p
		}
	}
	for i, p := range pairs[:from] {
		if p>>8 < least>>8 && (!cold || m.roll.may(m, uint32(base+i), cell)) {
			best, least = i, p
		}
	}
	return uint32(base + best)
}

// send sends a part.
func (m *model) send(mixer, cell int, q int32) {
	pair := m.pick(mixer, cell)
	s := m.searcher(cell, pair)
	if m.now >= m.from {
		m.picks++
		if m.pairs[pair]>>24 > 0 {
			m.ownBusy++
		}
	}
	if !m.forgetful {
		if m.pairs[pair] += 1 << 24; m.pairs[pair]>>24 == 1 {
			m.busy++
		}
	}
	f := flight{query: q, pair: pair, searcher: s, sent: m.now, count: max(1, m.pairs[pair]>>24)}
	m.arrived[s]++
	m.second[s]++
	m.roll.sent(m, pair, s)
	if m.zone.dead(m.now, s) {
		f.at = max(m.now+tick, m.zone.notice[mixer])
	} else {
		start := m.now
		if m.used != nil {
			start += m.connect(pair)
		}
		f.at = m.serve(s, start)
		if m.used != nil {
			m.used[pair] = f.at/1000 + 1
		}
	}
	m.fly(f)
}

// connect gives what a pair's connection costs now.
func (m *model) connect(pair uint32) uint32 {
	if u := m.used[pair]; u > 0 && (u-1)*1000+uint32(m.Idle.Microseconds()) > m.now {
		return 0
	}
	m.made++
	return uint32(m.Handshake.Microseconds())
}

// serve gives when a searcher is done with a part that comes at a time.
func (m *model) serve(s, at uint32) uint32 {
	slots := m.slots[int(s)*m.Slots : (int(s)+1)*m.Slots]
	slots = slots[:m.roll.slots(m, s, len(slots))]
	first := 0
	for i, t := range slots {
		if t < slots[first] {
			first = i
		}
	}
	took := m.service[m.rng.IntN(len(m.service))]
	if m.slow[s] {
		took *= float32(m.SlowTimes)
	}
	slots[first] = max(at, slots[first]) + max(1, uint32(took))
	return slots[first]
}

// fly has a part's outcome come in its time.
func (m *model) fly(f flight) {
	i := int32(len(m.flights))
	if n := len(m.spare); n > 0 {
		i, m.spare = m.spare[n-1], m.spare[:n-1]
	} else {
		m.flights = append(m.flights, flight{})
	}
	to := &m.wheel[(f.at+tick-1)/tick%horizon]
	f.next, *to = *to, i
	m.flights[i] = f
}

// land takes up what has come.
func (m *model) land() {
	slot := &m.wheel[m.now/tick%horizon]
	next := *slot
	*slot = -1
	for next >= 0 {
		i, f := next, m.flights[next]
		next = f.next
		if f.at > m.now { // a later turn of the wheel
			m.flights[i].next, *slot = *slot, i
			continue
		}
		m.spare = append(m.spare, i)
		if m.zone.lost(f) {
			m.again(f)
			continue
		}
		m.answer(f)
	}
}

func (m *model) answer(f flight) {
	p := m.pairs[f.pair]
	if !m.forgetful {
		if p -= 1 << 24; p>>24 == 0 {
			m.busy--
		}
	}
	weight := p & 255
	pace, took := float64(p>>8&0xffff)*grain, float64(f.at-f.sent)/float64(f.count)
	pace += (took - pace) / (lean + float64(weight) + 1)
	kept := min(0xffff, uint32(pace/grain+m.rng.Float64()))
	m.pairs[f.pair] = p&^0xffffff | kept<<8 | min(m.most, weight+1)
	m.Answered++
	q := &m.queries[f.query]
	if q.began >= m.from {
		m.Part.Add(time.Duration(f.at-q.began) * time.Microsecond)
	}
	if q.left--; q.left == 0 {
		if q.began >= m.from {
			m.Query.Add(time.Duration(f.at-q.began) * time.Microsecond)
		}
		m.idleQ = append(m.idleQ, f.query)
	}
}

// close ends a second that was measured.
func (m *model) close() {
	l := loadOf(m.second)
	m.Worst = max(m.Worst, l.Worst/l.Mean)
	clear(m.second)
}

// sum tells what was measured up to an end.
func (m *model) sum(end uint32) {
	m.Out, m.Load = m.Sent-m.Answered, loadOf(m.arrived)
	met := 0
	conns := make([]uint32, m.Cells*m.Holders)
	total := 0
	for i, p := range m.pairs {
		if p == gone {
			continue
		}
		m.Counted += int(p >> 24)
		if p&255 > 0 {
			met++
		}
		if m.used != nil && m.used[i] > 0 && (m.used[i]-1)*1000+uint32(m.Idle.Microseconds()) > end {
			conns[m.searcher(i/m.d%m.Cells, uint32(i))]++
			total++
		}
	}
	n := float64(len(m.pairs))
	m.Busy, m.Met, m.OwnBusy = float64(m.busySum)/float64(max(1, m.ticks))/n, float64(met)/n, float64(m.ownBusy)/float64(max(1, m.picks))
	m.ConnsMixer, m.ConnsSearcher = float64(total)/float64(m.Mixers), loadOf(conns)
	m.New = float64(m.made) / m.Length.Seconds() / float64(m.Mixers)
}
