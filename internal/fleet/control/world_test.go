package control

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// The search plays three relays of two regions and three mixers on lines that can be cut. Relays start anew, with nothing or with
// what they held a while ago; processes pause; readers are slow; versions are given on either side of a cut, bad ones among them.
// Each world follows from its number. What holds is checked by what the world itself saw, not by what the decider keeps.

const (
	tick   = second / 4
	nodes  = 6 // relays 0 to 2, mixers 3 to 5
	relays = 3
	window = 4 * second
)

// wire is a session between a follower and a relay, as the lines see it.
type wire struct {
	from    int
	to      int // relay
	session *Session
	life    string // of the relay
	dead    int    // ticks for which nothing has come through
	away    *Piece // on its way to a slow reader
	lives   [2]int // of who follows and who is followed
}

type node struct {
	name      string
	relay     *Relay
	follower  *Follower   // of a mixer
	follows   []*Follower // all that this process has
	wires     []*wire
	lives     int
	old       [][]Row // what a relay held, the oldest first
	paused    bool
	slow      bool
	force     Stamp // a mixer's, as it was applied
	held      Stamp // the greatest in a mixer's table in this life
	tried     map[Stamp]bool
	told      Stamp          // the greatest that a mixer told this relay in this life
	good      Stamp          // the greatest that a mixer told this relay to have in force, of those that were the newest here
	newest    map[Stamp]bool // that were the newest at this relay in this life
	has       Stamp          // the greatest that this relay was told or gave in this life
	exchanged map[int]bool   // relays that told this one all in this life
	heard     [relays]int    // ticks since a relay was reached by good lines
	joins     []int          // ticks of new sessions
	report    *report        // that is on its way, of a mixer; nil: none
}

type world struct {
	random *rand.Rand
	flaw   faults
	at     int // ticks
	cut    [nodes][nodes]bool
	nodes  [nodes]*node
	docs   map[Stamp]string
	bad    map[Stamp]bool
	given  int
	asks   []*request // versions that wait for answers
	log    []string
	wrong  string
	lives  uint64
	ended  []*wire // whose relay has not noticed yet
	lost   Stamp   // the greatest that all relays had lost with the one that held it
	lag    int     // ticks for which a mixer's report is on its way, at most
}

var seats = []Seat{{"r-0", "east", ""}, {"r-1", "east", ""}, {"r-2", "west", ""}}

func (w *world) now() int64 { return int64(w.at) * tick }

func (w *world) fail(format string, args ...any) {
	if w.wrong == "" {
		w.wrong = fmt.Sprintf(format, args...)
	}
}

func (w *world) note(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%.2f ", float64(w.at)/4)+fmt.Sprintf(format, args...))
}

func newWorld(seed uint64, flaw faults) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), flaw: flaw, docs: map[Stamp]string{}, bad: map[Stamp]bool{}}
	for i := range nodes {
		w.nodes[i] = &node{}
		w.start(i, nil)
	}
	return w
}

// start begins a new life of a process; a relay may know some rows.
func (w *world) start(i int, rows []Row) {
	w.lives++
	old, top := w.nodes[i], w.top()
	for k := range old.wires {
		w.end(old, k)
	}
	n := &node{name: fmt.Sprintf("r-%d", i), lives: old.lives + 1, old: old.old, tried: map[Stamp]bool{}, exchanged: map[int]bool{},
		newest: map[Stamp]bool{}, joins: old.joins}
	var err error
	if i < relays {
		n.relay, err = NewRelay(w.now(), RelayOptions{Name: n.name, Seats: seats, Life: fmt.Sprintf("%x", 100-w.lives), Sessions: 3,
			NewPerS: 1, Seed: w.lives, Limits: Limits{Gone: 1 + 2*(i%2)}})
		n.relay.flaw, n.relay.table.flaw = w.flaw, w.flaw
		n.relay.take(rows)
		n.has = n.relay.table.Settings()
		n.newest[n.has] = true
		n.follows = n.relay.Followers()
	} else {
		n.name = fmt.Sprintf("m-%d", i)
		n.follower, err = NewFollower(w.now(), FollowerOptions{Self: Self{Name: n.name, Region: []string{"east", "west"}[i%2],
			Zone: fmt.Sprint(w.random.IntN(3)), Life: w.lives}, Seats: seats, Window: window, Seed: w.lives})
		n.follows = []*Follower{n.follower}
	}
	if err != nil {
		panic(err)
	}
	for _, f := range n.follows {
		f.flaw, f.table.flaw = w.flaw, w.flaw
	}
	n.wires = make([]*wire, len(n.follows))
	w.nodes[i] = n
	if w.top().Compare(top) < 0 && top.Compare(w.lost) > 0 {
		w.lost = top
	}
}

// top is the greatest version that a relay holds.
func (w *world) top() (top Stamp) {
	for _, n := range w.nodes {
		if n != nil && n.relay != nil && n.relay.table.Settings().Compare(top) > 0 {
			top = n.relay.table.Settings()
		}
	}
	return top
}

func (w *world) reach(i, j int) bool {
	return !w.cut[i][j] && !w.nodes[i].paused && !w.nodes[j].paused
}

// step is a quarter of a second of all processes.
func (w *world) step() {
	w.at++
	w.notice()
	for i := range relays {
		n := w.nodes[i]
		for j := range relays {
			if n.heard[j]++; i != j && w.reach(i, j) {
				n.heard[j] = 0
			}
		}
		if !n.paused {
			n.relay.Step(w.now())
			if w.at%20 == 0 {
				rows, _ := n.relay.table.Since(0, allKinds, 1000, 1<<20)
				n.old = append(n.old, rows)[max(0, len(n.old)-3):]
			}
		}
	}
	for i, n := range w.nodes {
		for k, f := range n.follows {
			w.carry(i, n, k)
			if !n.paused {
				w.follow(i, n, k, f)
			}
		}
		if n.follower != nil {
			w.watch(n)
		}
	}
	for _, q := range w.asks {
		w.answer(q)
	}
	w.asks = slices.DeleteFunc(w.asks, func(q *request) bool { return q.done })
}

// carry moves the pieces of one session.
func (w *world) carry(i int, n *node, k int) {
	c := n.wires[k]
	if c == nil {
		return
	}
	r := w.nodes[c.to]
	if !w.reach(i, c.to) || r.lives != c.lives[1] {
		if c.dead++; c.dead > 12 && !r.paused && r.lives == c.lives[1] {
			r.relay.Leave(w.now(), c.session, false)
		}
		if r.lives != c.lives[1] && w.reach(i, c.to) { // the new life's machine says that there is no such session
			n.wires[k] = nil
			n.follows[k].Lost(w.now())
		}
		return
	}
	if r.relay.sessions[c.session.number] != c.session { // the relay has ended it
		n.wires[k] = nil
		n.follows[k].Lost(w.now())
		return
	}
	c.dead = 0
	for range 8 {
		if c.away != nil {
			if n.slow && w.random.IntN(4) > 0 {
				return
			}
			p := *c.away
			c.away = nil
			w.take(n, k, p, c)
			if n.wires[k] != c {
				return
			}
		}
		p, ok, _ := c.session.Next(w.now(), r.relay.table)
		if !ok {
			break
		}
		c.away = &p
	}
	if c.away == nil {
		n.follows[k].Beat(w.now())
	}
}

func (w *world) take(n *node, k int, p Piece, c *wire) {
	f := n.follows[k]
	for _, r := range p.Rows {
		if r.Kind == KindSettings && n.relay != nil && r.Stamp.Compare(n.has) > 0 {
			n.has = r.Stamp
		}
	}
	apply, _, _ := f.Take(w.now(), p)
	if n.relay != nil {
		n.newest[n.relay.table.Settings()] = true
	}
	if n.relay != nil && !p.More {
		n.exchanged[c.to] = true
	}
	for apply != nil {
		apply = w.apply(n, f, apply.Stamp)
	}
}

// apply has a mixer try a version, and gives what it is to try instead.
func (w *world) apply(n *node, f *Follower, s Stamp) *Row {
	if n.tried[s] {
		w.fail("%s is handed %v again", n.name, s)
		return nil
	}
	if n.tried[s] = true; w.bad[s] {
		return f.Refused(w.now(), s, "x", "y")
	}
	if s.Compare(n.force) <= 0 {
		w.fail("%s goes from %v back to %v", n.name, n.force, s)
	}
	n.force = s
	f.Applied(w.now(), s)
	return nil
}

// follow does what a follower asks for.
func (w *world) follow(i int, n *node, k int, f *Follower) {
	now := w.now()
	act, wait := f.Next(now)
	if act.Drop {
		w.end(n, k)
		act, wait = f.Next(now)
	}
	if wait <= 0 {
		w.fail("%s is to ask again at once", n.name)
	}
	w.report(i, n, f, act.Tell)
	if act.Dial == nil {
		return
	}
	to := slices.IndexFunc(seats, func(s Seat) bool { return s.Name == act.Dial.Name })
	if !w.reach(i, to) {
		f.Failed(now, 0)
		return
	}
	r := w.nodes[to]
	s, err := r.relay.Join(now, n.name, n.relay == nil, act.Since, act.Life)
	if err != nil {
		f.Failed(now, second)
		return
	}
	if n.relay == nil {
		r.joins = append(r.joins, w.at)
		if at := len(r.joins) - 3; at >= 0 && w.at-r.joins[at] < 2 {
			w.fail("%s takes three new sessions of mixers in half a second", r.name)
		}
	}
	s.room, s.pace.rate, s.pace.burst = 1, 1200, 300 // a row a piece
	if n.relay != nil {
		s.pace.rate = 4800
	}
	w.end(n, k)
	n.wires[k] = &wire{from: i, to: to, session: s, life: r.relay.Life(), lives: [2]int{n.lives, r.lives}}
	f.Opened(now, r.relay.Life())
}

// end closes the session that is in hand, if there is one. Its relay notices when it can.
func (w *world) end(n *node, k int) {
	if c := n.wires[k]; c != nil {
		n.wires[k] = nil
		w.ended = append(w.ended, c)
	}
}

// notice has relays see which sessions have ended.
func (w *world) notice() {
	w.ended = slices.DeleteFunc(w.ended, func(c *wire) bool {
		r := w.nodes[c.to]
		if r.lives != c.lives[1] {
			return true
		}
		if c.dead++; r.paused || !w.reach(c.from, c.to) && c.dead < 12 {
			return false
		}
		r.relay.Leave(w.now(), c.session, false)
		return true
	})
}

// watch checks a mixer.
func (w *world) watch(n *node) {
	if in, _ := n.follower.InForce(); in != n.force || w.bad[in] {
		w.fail("%s has %v in force and says %v", n.name, n.force, in)
	}
	s := n.follower.table.Settings()
	if s.Compare(n.held) < 0 {
		w.fail("%s held %v and holds %v", n.name, n.held, s)
	}
	n.held = s
}
