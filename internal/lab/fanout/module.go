package fanout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"nettlefold/internal/lab/capacity"
	"nettlefold/mixer"
)

// PlayModule plays a fleet with the module itself, each mixer with a list of its subset. The searchers are as in the model; each
// part has one attempt and ample time, so that what differs is how the module picks and learns.
func (f Fleet) PlayModule() (*Outcome, error) {
	if f.LostAt > 0 || f.Restarts > 0 || f.Idle > 0 {
		return nil, fmt.Errorf("fanout: the module is played on plain days only")
	}
	p := newFleetPlayer(f)
	from, end := p.start+int64(f.Warm), p.start+int64(f.Warm+f.Length)
	next := p.start
	began := false
	for p.now < end {
		next += int64(p.rng.ExpFloat64() / f.Queries / float64(f.Mixers) * 1e9)
		for len(p.due) > 0 && p.due[0].at <= next {
			p.land(p.due.pop())
		}
		if p.now = max(next, p.now+1); !began && p.now >= from {
			began, p.from = true, p.now
			clear(p.arrived)
		}
		if began { // queries that come by chance see the mean of the time
			p.busySum, p.asked = p.busySum+p.busy, p.asked+1
		}
		p.ask(p.rng.IntN(f.Mixers))
	}
	o := &p.Outcome
	o.Out, o.Load = o.Sent-o.Answered, loadOf(p.arrived)
	o.OwnBusy = float64(p.ownBusy) / float64(max(1, p.picks))
	o.Busy = float64(p.busySum) / float64(max(1, p.asked)) / float64(len(p.own))
	for i := range p.own {
		if p.met[i] {
			o.Met += 1 / float64(len(p.own))
		}
		o.Counted += p.own[i]
	}
	if p.refused > 0 {
		return o, fmt.Errorf("fanout: %d queries of %d were refused or failed", p.refused, o.Sent/f.Cells)
	}
	return o, nil
}

// inOrder gives holders as a list that is the same for all mixers has them.
func inOrder(holders int) (order []uint16) {
	for h := range holders {
		order = append(order, uint16(h))
	}
	return order
}

// fleetPlayer plays mixers with the module and the searchers that they share.
type fleetPlayer struct {
	Fleet
	d          int
	start, now int64
	from       int64 // when measuring began, 0: not yet
	rng        *rand.Rand
	mixers     []*mixer.Mixer
	floors     []*fleetFloor
	names      map[string]int
	free       [][]int64 // by searcher, when each slot is
	due        dueHeap
	open       map[string]*openQuery
	number     int

	arrived        []uint32
	own            []int // by mixer and searcher, parts out; holders that aren't of a mixer's subset aren't counted
	met            []bool
	place          []map[int]int // by mixer, of a searcher in own
	picks, ownBusy int
	busy           int // pairs with a part out
	busySum, asked int
	refused        int
	Outcome
}

type openQuery struct {
	lookup *mixer.Lookup
	mixer  int
	began  int64
	left   int
	ended  bool
}

// fleetFloor is one mixer's.
type fleetFloor struct {
	p     *fleetPlayer
	mixer int
}

func (f fleetFloor) Forward(part, searcher string, _ int64) {
	f.p.send(f.mixer, part, f.p.names[searcher])
}
func (f fleetFloor) Cancel(string, int)        {}
func (f fleetFloor) Answer(id string, _ bool)  { f.p.open[id].ended = true }
func (f fleetFloor) Reject(id string, _ int64) { f.p.refused, f.p.open[id].ended = f.p.refused+1, true }
func (f fleetFloor) Fail(id string)            { f.p.refused, f.p.open[id].ended = f.p.refused+1, true }
func (f fleetFloor) CloseIdle(string)          {}
func (f fleetFloor) SetTimer(after int64, whose mixer.TimerHandler) {
	f.p.due.push(dueEvent{at: f.p.now + after, whose: whose})
}
func (f fleetFloor) Subscribe()  {}
func (f fleetFloor) Note(string) {}

func newFleetPlayer(f Fleet) *fleetPlayer {
	p := &fleetPlayer{Fleet: f, d: f.used(), start: 1790000000e9, rng: rand.New(rand.NewPCG(f.Seed, 11)),
		names: map[string]int{}, open: map[string]*openQuery{}, arrived: make([]uint32, f.Cells*f.Holders)}
	p.now = p.start
	c := capacity.Terms(f.Cells)
	c.Mixers, c.MaxForwards, c.MayCopy, c.MayCancel, c.PerCall = f.Mixers, 1, false, false, 1
	c.Tariffs[0].Expected, c.Tariffs[0].Patience = 10e9, 10e9
	rows := make([]mixer.Entry, f.Cells*f.Holders)
	for i := range rows {
		rows[i] = mixer.Entry{Searcher: strconv.Itoa(i), Cell: i / f.Holders, Zone: c.Zone, Size: 1, Status: mixer.Live}
		p.names[rows[i].Searcher] = i
		p.free = append(p.free, make([]int64, f.Slots))
	}
	for i := range f.Mixers {
		floor := &fleetFloor{p, i}
		m := mixer.New(p.now, c, int64(f.Seed)<<20|int64(i), floor)
		var mine []mixer.Entry
		for cell := range f.Cells {
			choose := f.Choose
			if p.d == f.Holders && !f.OwnOrder {
				choose = func(_, _, holders, _ int) []uint16 { return inOrder(holders) }
			}
			for _, h := range choose(i, cell, f.Holders, p.d) {
				mine = append(mine, rows[cell*f.Holders+int(h)])
			}
		}
		place := map[int]int{}
		for _, e := range mine {
			place[p.names[e.Searcher]] = len(p.own)
			p.own, p.met = append(p.own, 0), append(p.met, false)
		}
		m.UpdateList(p.now, mine, true)
		m.Restore(p.now, mixer.Snapshot{Fleet: mixer.Pace{Took: float64(f.Service) * 1e4, Calls: 1e4}})
		p.mixers, p.floors, p.place = append(p.mixers, m), append(p.floors, floor), append(p.place, place)
	}
	return p
}

// ask begins a query of a mixer.
func (p *fleetPlayer) ask(of int) {
	p.number++
	id := strconv.Itoa(p.number)
	q := &openQuery{mixer: of, began: p.now, left: p.Cells}
	p.open[id] = q
	q.lookup = p.mixers[of].StartLookup(p.now, mixer.LookupRequest{ID: id, NotAfter: p.now + 10e9, Parts: p.Cells})
	p.Sent += p.Cells
	for c := range p.Cells {
		q.lookup.AddPart(p.now, mixer.PartRequest{ID: id + "." + strconv.Itoa(c), Slice: c, Weight: 1 / float64(p.Cells)})
	}
}

// send has a searcher take a part.
func (p *fleetPlayer) send(of int, part string, s int) {
	dot := slices.Index([]byte(part), '.')
	cell, _ := strconv.Atoi(part[dot+1:])
	place := p.place[of][s]
	if p.from > 0 {
		p.picks++
		if p.own[place] > 0 {
			p.ownBusy++
		}
	}
	if p.own[place]++; p.own[place] == 1 {
		p.busy++
	}
	p.met[place] = true
	p.arrived[s]++
	slot := 0
	for i, t := range p.free[s] {
		if t < p.free[s][slot] {
			slot = i
		}
	}
	took := float64(p.Service) * math.Exp(p.Sigma*p.rng.NormFloat64()-p.Sigma*p.Sigma/2)
	if p.SlowEach > 0 && s%p.SlowEach == p.SlowEach/2 {
		took *= p.SlowTimes
	}
	p.free[s][slot] = max(p.now, p.free[s][slot]) + int64(took)
	p.due.push(dueEvent{at: p.free[s][slot], id: part[:dot], part: cell, place: place, sent: p.now})
}

// land takes up an answer or a timer.
func (p *fleetPlayer) land(e dueEvent) {
	p.now = max(p.now+1, e.at)
	if e.whose != nil {
		e.whose.HandleTimer(p.now)
		return
	}
	q := p.open[e.id]
	if p.own[e.place]--; p.own[e.place] == 0 {
		p.busy--
	}
	p.Answered++
	q.left--
	if p.from > 0 && q.began >= p.from {
		p.Part.Add(time.Duration(p.now - q.began))
		if q.left == 0 {
			p.Query.Add(time.Duration(p.now - q.began))
		}
	}
	q.lookup.HandleOutcome(p.now, e.part, 0, mixer.Succeeded, p.now-e.sent, true)
	if q.left == 0 {
		delete(p.open, e.id)
	}
}

// dueEvent is an answer, or a timer where whose is set.
type dueEvent struct {
	at, sent    int64
	whose       mixer.TimerHandler
	id          string
	part, place int
}

// dueHeap is a binary heap, earliest first.
type dueHeap []dueEvent

func (h *dueHeap) push(e dueEvent) {
	*h = append(*h, e)
	q := *h
	for i := len(q) - 1; i > 0 && q[i].at < q[(i-1)/2].at; i = (i - 1) / 2 {
		q[i], q[(i-1)/2] = q[(i-1)/2], q[i]
	}
}

func (h *dueHeap) pop() dueEvent {
	q := *h
	first, last := q[0], len(q)-1
	q[0], q[last] = q[last], dueEvent{}
	q = q[:last]
	for i := 0; ; {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(q); c++ {
			if q[c].at < q[least].at {
				least = c
			}
		}
		if least == i {
			break
		}
		q[i], q[least] = q[least], q[i]
		i = least
	}
	*h = q
	return first
}
