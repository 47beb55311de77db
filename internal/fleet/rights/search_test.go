package rights

import (
	"fmt"
	"hash/maphash"
	"maps"
	"slices"
	"testing"
)

// The search plays three lives of one ward around one resource of four units, one of them kept in reserve. Offers land when they
// like, again and again, also old ones; lives crash, start anew, sleep, are cut off; what they want moves. Clocks stand hours
// apart and run 1% fast and slow. In every state that is reached, what all may use just then fits in the limit less the
// reserve, and at most one is in the chair.

const (
	half = int64(1_000_000_000) // of a vote and a quarter of a lease, a step of true time
	hour = 3600 * half
)

var small = Options{Wards: []Ward{{"w", 3}}, Reserve: 1, Lease: 4 * half, Vote: 2 * half}

var thing = Resource{Name: "s", Started: 7}

type peer struct {
	l         *Ledger
	out, kept []byte // its newest offer, and one that still wanders about
	lives     int
}

type world struct {
	at             int64
	peers          []peer
	wants          int // who wants it all; the others want one
	crashes, keeps int
	turns          int
	alone          bool
}

// plan is what a search is allowed, and the design that it plays.
type plan struct {
	first                       []string // steps that come before the search
	flaw                        func(*terms)
	crashes, keeps, turns, most int
	splits                      [][][]int // nil: all
	hears                       bool      // single offers land too
	alone                       bool      // offers carry their own maker's sheet only
	single                      bool      // single steps too, not rounds alone
}

func clock(i int, at int64) int64 { return int64(i+1)*hour + at*[]int64{101, 99, 100}[i]/100 }

func (p *plan) start(i, lives int, at int64) peer {
	l, err := New(clock(i, at), Life{Name: fmt.Sprint("m", i), Ward: "w", ID: uint64(100*lives + i + 1)}, small)
	if err != nil {
		panic(err)
	}
	if p.flaw != nil {
		p.flaw(&l.terms)
	}
	return peer{l: l, lives: lives}
}

func copyOf[K, L comparable](all map[K]map[L]claims) map[K]map[L]claims {
	c := map[K]map[L]claims{}
	for k, of := range all {
		c[k] = map[L]claims{}
		for id, x := range of {
			c[k][id] = slices.Clone(x)
		}
	}
	return c
}

// clone copies all of a ledger that a step may change.
func (l *Ledger) clone() *Ledger {
	c := *l
	c.sheets, c.passed, c.away, c.claims = maps.Clone(l.sheets), maps.Clone(l.passed), copyOf(l.away), copyOf(l.claims)
	c.back = map[key]map[lender]handed{}
	for k, of := range l.back {
		c.back[k] = maps.Clone(of)
	}
	c.demand, c.keys, c.given = slices.Clone(l.demand), slices.Clone(l.keys), map[key]map[uint64]loaned{}
	for k, of := range l.given {
		c.given[k] = maps.Clone(of)
	}
	return &c
}

func (w *world) clone(changed ...int) *world {
	c := *w
	c.peers = slices.Clone(w.peers)
	for _, i := range changed {
		c.peers[i].l = c.peers[i].l.clone()
	}
	return &c
}

func (w *world) step(i int) {
	want := int64(1)
	if i == w.wants {
		want = 4
	}
	p := &w.peers[i]
	p.l.Step(clock(i, w.at), []Demand{{thing, 4, want, 0}})
	if p.out = p.l.Offer(clock(i, w.at), MaxState); w.alone {
		p.out = envelopeOf(p.l)
	}
}

func (w *world) take(i int, state []byte) {
	if err := w.peers[i].l.Take(clock(i, w.at), "x", state); err != nil {
		panic(err)
	}
}

// round has some lives exchange all that they know, each step and exchange again: half a lease of good lines among them.
func (w *world) round(who []int) {
	for range 2 {
		for _, i := range who {
			w.step(i)
		}
		for _, i := range who {
			for _, j := range who {
				if i != j {
					w.take(j, w.peers[i].out)
				}
			}
		}
	}
}

var (
	everyone = []int{0, 1, 2}
	splits   = [][][]int{{everyone}, {{0, 1}, {2}}, {{0, 2}, {1}}, {{1, 2}, {0}}, {{0}, {1}, {2}}}
)

// steps gives all worlds that one step leads to, with the step's name.
func (p *plan) steps(w *world, each func(name string, next *world)) {
	for _, sides := range p.splits {
		n := w.clone(0, 1, 2)
		n.at += half
		for _, who := range sides {
			n.round(who)
		}
		each(fmt.Sprint("half a vote with lines among ", sides), n)
	}
	if w.turns < p.turns {
		n := w.clone()
		n.turns, n.wants = n.turns+1, (n.wants+1)%3
		each("the want moves on", n)
	}
	for i := range w.peers {
		if p.single {
			n := w.clone(i)
			n.step(i)
			each(fmt.Sprintf("m%d steps", i), n)
		}
		if w.keeps < p.keeps && w.peers[i].out != nil {
			n := w.clone()
			n.keeps++
			n.peers[i].kept = n.peers[i].out
			each(fmt.Sprintf("m%d's offer is held up", i), n)
		}
		if w.crashes < p.crashes {
			n := w.clone()
			n.crashes++
			kept, out := n.peers[i].kept, n.peers[i].out
			n.peers[i] = p.start(i, w.peers[i].lives+1, w.at)
			n.peers[i].kept, n.peers[i].out = kept, out
			each(fmt.Sprintf("m%d starts anew", i), n)
		}
		for j := range w.peers {
			for name, state := range map[string][]byte{"": w.peers[i].out, "old ": w.peers[i].kept} {
				if j != i && state != nil && (p.hears || name != "") {
					n := w.clone(j)
					n.take(j, state)
					each(fmt.Sprintf("m%d hears m%d's %soffer", j, i, name), n)
				}
			}
		}
	}
}

func (w *world) sum() (sum float64) {
	for i, p := range w.peers {
		sum += p.l.Usable(clock(i, w.at), thing)
	}
	return sum
}

// wrong tells whether more is usable than the limit less the reserve, or two lives are in the one chair.
func (w *world) wrong() bool {
	chairs := 0
	for i, p := range w.peers {
		if clock(i, w.at) < p.l.until {
			chairs++
		}
	}
	return chairs > 1 || w.sum() > 3
}

// key tells worlds apart by all that matters later.
func (w *world) key(seed maphash.Seed) uint64 {
	var h maphash.Hash
	h.SetSeed(seed)
	fmt.Fprint(&h, w.wants, w.crashes, w.keeps, w.turns)
	for i, p := range w.peers {
		l, now := p.l, clock(i, w.at)
		ago := func(t int64) int64 { return max(now-t, -1<<40) }
		fmt.Fprint(&h, "|", l.self.ID, l.number, ago(l.started), l.vote.life, l.vote.number, ago(l.vote.until),
			ago(l.since), ago(l.until), l.passed, l.given)
		h.Write(p.out)
		h.Write(p.kept)
		for n := l.number; n > 0 && l.number-n < 6; n-- {
			fmt.Fprint(&h, " ", ago(l.made[n%remembered]))
		}
		for _, id := range slices.Sorted(maps.Keys(l.sheets)) {
			fmt.Fprint(&h, " ", ago(l.sheets[id].seen))
			h.Write(l.sheets[id].raw)
		}
		fmt.Fprint(&h, l.claims, l.away, l.back)
	}
	fmt.Fprint(&h, w.at)
	return h.Sum64()
}

// search goes through the worlds that follow on a warm one, nearest first. It gives how many, how deep, and the way to one in
// which the sum is exceeded, if there is one.
func (p *plan) search() (worlds, depth int, trail []string) {
	type node struct {
		w     *world
		from  *node
		name  string
		depth int
	}
	if p.splits == nil {
		p.splits = splits
	}
	first := &world{wants: 1}
	for i := range 3 {
		first.peers = append(first.peers, p.start(i, 0, 0))
	}
	for first.sum() == 0 && first.at < 20*half { // until loans run
		first.round(everyone)
		first.at += half
	}
	if first.sum() == 0 {
		panic("no loans run")
	}
	first.round(everyone)
	first.alone = p.alone
	for _, step := range p.first {
		found := (*world)(nil)
		p.steps(first, func(name string, next *world) {
			if name == step {
				found = next
			}
		})
		first = found // nil, and a panic, where there is no such step
	}
	seed := maphash.MakeSeed()
	seen := map[uint64]bool{first.key(seed): true}
	queue, bad := []*node{{w: first}}, (*node)(nil)
	for len(queue) > 0 && bad == nil && len(seen) < p.most {
		n := queue[0]
		queue = queue[1:]
		p.steps(n.w, func(name string, next *world) {
			k := next.key(seed)
			if seen[k] || bad != nil {
				return
			}
			seen[k] = true
			m := &node{next, n, name, n.depth + 1}
			if depth = m.depth; next.wrong() {
				bad = m
			}
			queue = append(queue, m)
		})
	}
	for ; bad != nil && bad.from != nil; bad = bad.from {
		trail = append(trail, bad.name)
	}
	slices.Reverse(trail)
	return len(seen), depth, trail
}

func TestNoInterleavingExceedsTheLimit(t *testing.T) {
	for name, p := range map[string]*plan{
		"cuts":    {most: 20_000},
		"all":     {most: 20_000, crashes: 1, keeps: 1, turns: 1, hears: true, single: true},
		"crashes": {most: 20_000, crashes: 2},
	} {
		worlds, depth, trail := p.search()
		t.Logf("%s: %d worlds, %d steps deep", name, worlds, depth)
		if trail != nil {
			t.Errorf("%s: more than the limit after %q", name, trail)
		}
		if worlds < p.most || depth < 4 {
			t.Errorf("%s: %d worlds, %d deep: the search shows little", name, worlds, depth)
		}
	}
}

func TestSearchFindsBrokenDesigns(t *testing.T) {
	exact := func(t *terms) {
		t.use, t.giveUp, t.voteUse, t.voteGiveUp = small.Lease, small.Lease, small.Vote, small.Vote
		t.start, t.chair = small.Vote, small.Lease
	}
	for name, p := range map[string]*plan{
		"a right that is copied":                     {flaw: func(t *terms) { t.copied = true }, turns: 1},
		"a loan that is free once a lower one is":    {flaw: func(t *terms) { t.freed = true }, turns: 1},
		"a loan that runs from when it is told":      {flaw: func(t *terms) { t.told = true }, keeps: 1, splits: splits[2:3]},
		"a loan to another life that is believed":    {flaw: func(t *terms) { t.anyLife = true }},
		"loans that add up in place of the greatest": {flaw: func(t *terms) { t.summed = true }, turns: 1},
		"a loan that is believed though given back": {flaw: func(t *terms) { t.unkept = true }, turns: 1, keeps: 1, single: true,
			hears: true, splits: splits[2:3], first: []string{"m0 steps", "m0's offer is held up", "the want moves on", "m1 steps"}},
		"a chair without a majority":      {flaw: func(t *terms) { t.fewVotes = true }},
		"a chair that takes over at once": {flaw: func(t *terms) { t.chair = 0 }, alone: true},
		"a start that votes at once": {flaw: func(t *terms) { t.start = 0 }, crashes: 1, alone: true, hears: true,
			splits: [][][]int{splits[1], splits[3]}},
		"no room for clocks that run apart": {flaw: exact, single: true, splits: splits[2:3]},
	} {
		p.most = 30_000
		worlds, _, trail := p.search()
		t.Logf("%s: found among %d worlds: %q", name, worlds, trail)
		if trail == nil {
			t.Errorf("%s: not found in %d worlds", name, worlds)
		}
	}
}
