package fanout

import "math"

// outage is a zone that ends at once. A mixer keeps sending there until it knows, and then sends again what was out there.
type outage struct {
	at, zones uint32   // µs; 0: none
	holders   uint32   // of a cell
	notice    []uint32 // µs, when each mixer knows
	known     []bool
}

// prepare lays out what happens.
func (m *model) prepare() {
	if m.LostAt > 0 {
		m.zone = outage{at: uint32(m.LostAt.Microseconds()), zones: uint32(m.Zones), holders: uint32(m.Holders),
			notice: make([]uint32, m.Mixers), known: make([]bool, m.Mixers)}
		for i := range m.zone.notice {
			m.zone.notice[i] = m.zone.at + uint32(float64(m.Notice.Microseconds())*(1+5*m.rng.Float64())/6)
		}
	}
	if m.Restarts > 0 {
		m.roll = newRestarts(m)
	}
}

func (o *outage) in(s uint32) bool { return s%o.holders%o.zones == 0 }

// dead tells whether a searcher has ended.
func (o *outage) dead(now, s uint32) bool { return o.at > 0 && now >= o.at && o.in(s) }

// lost tells whether a part gets no answer.
func (o *outage) lost(f flight) bool { return o.at > 0 && f.at > o.at && o.in(f.searcher) }

// again sends a part anew once its mixer knows.
func (m *model) again(f flight) {
	mixer := int(f.pair) / m.d / m.Cells
	if !m.zone.known[mixer] {
		f.at = max(m.now+tick, m.zone.notice[mixer])
		m.fly(f)
		return
	}
	m.send(mixer, int(f.pair)/m.d%m.Cells, f.query)
}

// happen has mixers learn of the outage, and each searcher restart.
func (m *model) happen() {
	if o := &m.zone; o.at > 0 && m.now >= o.at {
		for i, at := range o.notice {
			if !o.known[i] && m.now >= at {
				o.known[i] = true
				m.learnLoss(i)
			}
		}
	}
	m.roll.happen(m)
}

// learnLoss takes the lost out of a mixer's pairs. Where it uses a subset, the next in its order take their places.
func (m *model) learnLoss(mixer int) {
	for c := range m.Cells {
		base := (mixer*m.Cells + c) * m.d
		var order []uint16
		next := m.d
		for i := base; i < base+m.d; i++ {
			if !m.zone.in(m.searcher(c, uint32(i))) {
				continue
			}
			if m.pairs[i]>>24 > 0 {
				m.busy--
			}
			if m.pairs[i] = gone; m.holder == nil {
				continue
			}
			if order == nil {
				order = m.Choose(mixer, c, m.Holders, m.Holders)
			}
			for next < len(order) && m.zone.in(uint32(order[next])) {
				next++
			}
			if next < len(order) {
				m.holder[i], m.pairs[i] = order[next], m.fresh()
				if m.used != nil {
					m.used[i] = 0
				}
				next++
			}
		}
	}
}

// restarts has each searcher restart once. While it's down nobody picks it; what is out there still comes, and what was learnt of it
// is kept. While cold it works on a share of its slots, and each mixer sends it what saves up of its own part of the fleet's allowance,
// as in the module (mixer.coldShare).
type restarts struct {
	back    []uint32 // µs, when each searcher is back
	down    uint32
	coldFor uint32
	few     float64 // parts a µs that a mixer may send to a cold one
	bound   int     // parts of a second that all mixers may send to one, by chance too
	cells   []int   // searchers of each that are down or cold
	credit  map[uint32]saved
	window  map[uint32]*coldSecond
	last    uint32
}

type saved struct {
	credit float64
	at     uint32
}

type coldSecond struct {
	from  uint32
	parts int
}

func newRestarts(m *model) restarts {
	r := restarts{down: uint32(m.Down.Microseconds()), coldFor: uint32(m.ColdFor.Microseconds()), cells: make([]int, m.Cells),
		credit: map[uint32]saved{}, window: map[uint32]*coldSecond{}, back: make([]uint32, m.Cells*m.Holders)}
	whole := float64(m.Restarts.Microseconds())
	for i := range r.back {
		r.back[i] = uint32(math.Min(4e9, whole*m.rng.Float64())) + r.down
	}
	bears := float64(m.Slots) / m.Service.Seconds()
	most := bears * coldFrom * coldTimes * coldMargin
	spread := math.Sqrt(most+1) - 1
	n := float64(m.Mixers)
	all := math.Max(spread*spread, math.Min(most, n*math.Floor((most+1)/n)))
	r.few, r.bound = all/n/1e6, int(all+2*math.Sqrt(all)+2)
	if m.lavish {
		r.few *= n
	}
	return r
}

// What the settings of the plan say of cold searchers (internal/lab/capacity), and the module's margin.
const (
	coldFrom   = 0.2 // of its capacity, with which one starts
	coldTimes  = 2.0 // of what a cold one bears in a second, that it falls over by
	coldMargin = 0.8 // mixer.coldMargin
)

func (r *restarts) cold(now, s uint32) bool {
	return r.back != nil && now+r.down >= r.back[s] && now < r.back[s]+r.coldFor
}

// on tells whether any searcher of a cell is down or cold.
func (r *restarts) on(cell int) bool { return r.back != nil && r.cells[cell] > 0 }

// may tells whether a mixer may send to the searcher of a pair.
func (r *restarts) may(m *model, pair uint32, cell int) bool {
	s := m.searcher(cell, pair)
	if !r.cold(m.now, s) {
		return true
	}
	if m.now < r.back[s] {
		return false
	}
	c, met := r.credit[pair]
	if !met {
		c = saved{m.rng.Float64(), r.back[s]}
	}
	c.credit, c.at = min(1, c.credit+r.few*float64(m.now-c.at)), m.now
	r.credit[pair] = c
	return c.credit >= 1
}

// frac is the share of its capacity that a searcher has.
func (r *restarts) frac(now, s uint32) float64 {
	if !r.cold(now, s) {
		return 1
	}
	return coldFrom + (1-coldFrom)*float64(now-min(now, r.back[s]))/float64(r.coldFor)
}

func (r *restarts) slots(m *model, s uint32, all int) int {
	if r.back == nil {
		return all
	}
	return max(1, int(float64(all)*r.frac(m.now, s)))
}

// sent books a part to a cold searcher, over what it bears in the second from the first on.
func (r *restarts) sent(m *model, pair, s uint32) {
	if !r.cold(m.now, s) {
		return
	}
	r.credit[pair] = saved{0, m.now}
	w := r.window[s]
	if w == nil || m.now-w.from >= 1e6 {
		w = &coldSecond{from: m.now}
		r.window[s] = w
		m.ColdSeconds++
	}
	if w.parts++; w.parts == r.bound+1 {
		m.ColdBeyond++
	}
	bears := float64(m.Slots) / m.Service.Seconds() * r.frac(w.from, s)
	m.ColdWorst = max(m.ColdWorst, float64(w.parts)/bears)
}

// happen counts who is down or cold, every 10 ms.
func (r *restarts) happen(m *model) {
	if r.back == nil || m.now-r.last < 10_000 {
		return
	}
	r.last = m.now
	clear(r.cells)
	for s := range r.back {
		if r.cold(m.now, uint32(s)) {
			r.cells[s/m.Holders]++
		}
	}
}
