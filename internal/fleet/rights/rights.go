// Package rights divides scarce things among the lives of mixers: how many connections each may hold at a process of a searcher,
// what each may send a cold one. A right is moved for a time and never copied: at any moment the rights that all may use add up
// to no more than the limit less a reserve, whoever hears whom. It does no I/O and reads no clock: times come from the caller,
// in ns of its own monotonic clock, and never from another mixer. docs/rights.md says why it is so.
package rights

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"slices"
)

const (
	use    = 0.98 // of a term, for which what was given is used, by the user's clock, from the statement that it answers
	giveUp = 1.02 // of it, for which its giver counts it as given, by its own: clocks may run 1% fast or slow

	remembered   = 64 // statements whose making is remembered; a term has fewer
	maxResources = 1024
	maxLives     = 1024
	maxWards     = 8
	maxName      = 64
	maxClaims    = 8       // amounts that run at a time from one giver to one user
	maxAmount    = 1 << 31 // units of one resource
	forget       = 8       // terms of silence after which a life is forgotten
	patience     = 4       // vote terms for which a candidate is voted for that does not come to the chair
	passOver     = 8       // vote terms for which it is then passed over
	swing        = 8       // a loan is left as it is where it is off by less than this part of it, and by one
)

// Life is one start of a mixer. ID is drawn from the system's randomness at each start and is never 0.
type Life struct {
	Name, Ward string
	ID         uint64
}

// Resource is one process of a searcher. Rights to one are never rights to its successor of the same name.
type Resource struct {
	Name    string
	Started int64
}

// Demand is what a mixer has use for, and what its settings and list say that the resource bears, in whole units. Held is what it
// uses now, of which nothing is given back early: all that it comes to use before the step must be in it.
type Demand struct {
	Resource          Resource
	Limit, Want, Held int64 // Want with the floor in it, and Held too
}

// Ward is a part of the fleet, a site as a rule, with one chair. Seats are how many of its mixers are alive at once at the most.
type Ward struct {
	Name  string
	Seats int
}

// Options must be the same in all mixers. What comes from one with others is refused.
type Options struct {
	Wards   []Ward
	Reserve int64 // units of each resource that nobody gets
	Floor   int64 // units that each life may use from its start on, always
	Lease   int64 // ns for which a loan runs
	Vote    int64 // ns for which a vote runs
	Linger  int64 // ns that a use may outlast its right: until a searcher closes what a stopped process holds open
}

// Kind says what a move is.
type Kind string

// Kinds of moves.
const (
	Lent    Kind = "lent"    // a life is lent another amount than before
	Took    Kind = "chair"   // this life has come to the chair of its ward
	Lost    Kind = "lost"    // it has lost it
	Passed  Kind = "passed"  // a candidate is passed over, as it does not come to the chair
	Refused Kind = "refused" // a demand is not taken: Why
)

// Move is what a step did, for log and metrics.
type Move struct {
	Kind     Kind
	Resource Resource
	Life     uint64
	Amount   int64
	Why      string
}

// Counts are sums since the start, and sizes.
type Counts struct {
	Taken, Old, Foreign, Bad, Full, Late, Unsent uint64 // sheets: new, known, other options, unsound, too many; loans too late
	Lives, Claims, Away                          int
}

type key uint64 // of a resource, in sheets

// lender is whose loan it is.
type lender struct {
	life uint64
	ward int
}

// flaws are what a broken design would do. Only the search sets them, and has to catch each.
type flaws struct {
	copied, told, anyLife, summed, freed, fewVotes, unkept bool
}

// terms are the times that keep what is used within what is given.
type terms struct {
	use, giveUp, voteUse, voteGiveUp int64
	start, chair                     int64 // for which one that starts gives no vote, and a new chair no loan
	flaws
}

// vote is this life's own.
type vote struct {
	life, number uint64
	until, since int64
}

// Ledger is one life's view of all rights. It is not safe for use by two at once.
type Ledger struct {
	self           Life
	ward, majority int
	o              Options
	print          uint64
	terms          terms
	started        int64
	number         uint64
	made           [remembered]int64
	sheets         map[uint64]*heard
	demand         []Demand // in the order of their keys
	keys           []key
	vote           vote
	passed         map[uint64]int64
	since, until   int64 // of its time in the chair
	chaired        bool  // as last told
	claims         map[key]map[lender]claims
	back           map[key]map[lender]handed
	away           map[key]map[uint64]claims
	given          map[key]map[uint64]loaned // as last told
	turn           uint64
	counts         Counts
}

// Fault says what cannot be of options, nil if nothing.
func (o Options) Fault() error {
	switch {
	case len(o.Wards) == 0 || len(o.Wards) > maxWards:
		return fmt.Errorf("%d wards, of 1 to %d", len(o.Wards), maxWards)
	case o.Reserve < 0 || o.Reserve > maxAmount:
		return fmt.Errorf("reserve %d", o.Reserve)
	case o.Floor < 0 || o.Floor > maxAmount:
		return fmt.Errorf("floor %d", o.Floor)
	case o.Lease <= 0 || o.Vote <= 0 || o.Linger < 0 || max(o.Lease, o.Vote, o.Linger) > math.MaxInt64/1000:
		return fmt.Errorf("lease %d, vote %d, linger %d ns", o.Lease, o.Vote, o.Linger)
	}
	seen := map[string]bool{}
	for _, w := range o.Wards {
		if w.Name == "" || len(w.Name) > maxName || w.Seats <= 0 || w.Seats > maxLives || seen[w.Name] {
			return fmt.Errorf("ward %q of %d seats", w.Name, w.Seats)
		}
		seen[w.Name] = true
	}
	return nil
}

func (o Options) seats() (n int64) {
	for _, w := range o.Wards {
		n += int64(w.Seats)
	}
	return n
}

// pool is what the chair of a ward may lend of a limit. The pools of all wards and the floors of all seats fit in it.
func (o Options) pool(ward int, limit int64) int64 {
	return max(0, limit-o.Reserve-o.Floor*o.seats()) * int64(o.Wards[ward].Seats) / o.seats()
}

// New makes the ledger of a life that starts now.
func New(now int64, self Life, o Options) (*Ledger, error) {
	if err := o.Fault(); err != nil {
		return nil, err
	}
	ward := slices.IndexFunc(o.Wards, func(w Ward) bool { return w.Name == self.Ward })
	if ward < 0 {
		return nil, fmt.Errorf("ward %q is not among those set", self.Ward)
	}
	if self.ID == 0 || self.Name == "" || len(self.Name) > maxName {
		return nil, fmt.Errorf("life %d of %q", self.ID, self.Name)
	}
	o.Wards = slices.Clone(o.Wards)
	h := fnv.New64a()
	fmt.Fprintf(h, "%+v", o)
	part := func(x int64, f float64) int64 { return int64(f * float64(x)) }
	return &Ledger{self: self, ward: ward, majority: o.Wards[ward].Seats/2 + 1, o: o, print: h.Sum64(), started: now,
		terms: terms{use: part(o.Lease, use), giveUp: part(o.Lease+o.Linger, giveUp),
			voteUse: part(o.Vote, use), voteGiveUp: part(o.Vote, giveUp),
			start: part(o.Vote, giveUp), chair: part(o.Lease+o.Linger, giveUp)},
		sheets: map[uint64]*heard{}, passed: map[uint64]int64{}, claims: map[key]map[lender]claims{}, back: map[key]map[lender]handed{},
		away: map[key]map[uint64]claims{}, given: map[key]map[uint64]loaned{}}, nil
}

// Usable gives how many units this life may use of a resource at this moment: none of one that is not in its last demand.
func (l *Ledger) Usable(now int64, r Resource) float64 {
	i, ok := slices.BinarySearch(l.keys, keyOf(r))
	if !ok || l.demand[i].Resource != r {
		return 0
	}
	n := l.o.Floor
	for _, c := range l.claims[l.keys[i]] {
		n += l.terms.running(c, now)
	}
	return float64(n)
}

// Step is one round: it takes what the mixer has use for, votes, lends where it is in the chair, and makes the statement that
// Offer carries. It is called several times a term, and at most 60 times.
func (l *Ledger) Step(now int64, demand []Demand) (moves []Move) {
	l.number++
	l.made[l.number%remembered] = now
	moves = l.listen(demand)
	l.tidy(now)
	moves = append(moves, l.elect(now)...)
	s := l.statement(now)
	l.takeBack(s)
	if now < l.until && now >= l.since+l.terms.chair {
		moves = append(moves, l.lend(now, s)...)
	}
	l.tell(now, s)
	return moves
}

// listen takes the demand, less what cannot be.
func (l *Ledger) listen(demand []Demand) (moves []Move) {
	type row struct {
		d Demand
		k key
	}
	rows := make([]row, 0, len(demand))
	for _, d := range demand {
		if err := l.fault(d); err != nil {
			moves = append(moves, Move{Kind: Refused, Resource: d.Resource, Amount: d.Limit, Why: err.Error()})
			continue
		}
		d.Want = min(max(d.Want, 0), d.Limit)
		rows = append(rows, row{d, keyOf(d.Resource)})
	}
	slices.SortFunc(rows, func(a, b row) int {
		return cmp.Or(cmp.Compare(a.k, b.k), cmp.Compare(a.d.Resource.Name, b.d.Resource.Name))
	})
	l.demand, l.keys = l.demand[:0], l.keys[:0]
	for _, r := range rows {
		n := len(l.keys)
		switch {
		case n > 0 && l.keys[n-1] == r.k: // twice, or of the same key as another: one of them only, else a right is two
			moves = append(moves, Move{Kind: Refused, Resource: r.d.Resource, Why: "its key is taken"})
		case n == maxResources:
			moves = append(moves, Move{Kind: Refused, Resource: r.d.Resource, Why: "too many resources"})
		default:
			l.demand, l.keys = append(l.demand, r.d), append(l.keys, r.k)
		}
	}
	return moves
}

func (l *Ledger) fault(d Demand) error {
	switch {
	case d.Resource.Name == "" || len(d.Resource.Name) > maxName:
		return errors.New("no sound name")
	case d.Limit <= 0 || d.Limit > maxAmount:
		return fmt.Errorf("limit %d", d.Limit)
	case d.Limit < l.o.Reserve+l.o.Floor*l.o.seats():
		return fmt.Errorf("limit %d is below the reserve of %d and the floor of %d for each of %d mixers",
			d.Limit, l.o.Reserve, l.o.Floor, l.o.seats())
	}
	return nil
}

// statement makes this life's sheet but for its loans. Of its own ward's chair it asks for all that it has use for beyond its
// floor, of the others, one after the other, for what those before do not lend: so no two are moved by the same want.
func (l *Ledger) statement(now int64) *Sheet {
	wards := len(l.o.Wards)
	s := &Sheet{Version: version, Print: l.print, Name: l.self.Name, Ward: l.ward, Life: l.self.ID, Number: l.number,
		Voted: l.vote.life, VotedNumber: l.vote.number, Chair: now < l.until}
	got := make([]int64, wards)
	for i, d := range l.demand {
		more := d.Want - l.o.Floor
		if more <= 0 {
			continue
		}
		clear(got)
		for from, c := range l.claims[l.keys[i]] {
			got[from.ward] += l.terms.running(c, now)
		}
		s.Keys = append(s.Keys, l.keys[i])
		for w := range wards {
			s.Asks = append(s.Asks, 0)
			for before := range (w - l.ward + wards) % wards {
				more -= got[(l.ward+before)%wards]
			}
			s.Asks[len(s.Asks)-1] = max(0, more)
			more = d.Want - l.o.Floor
		}
	}
	l.giveBack(now, s)
	return s
}

// tidy forgets what has ended and who has long been silent.
func (l *Ledger) tidy(now int64) {
	for id, h := range l.sheets {
		if now-h.seen >= l.forgotten() {
			delete(l.sheets, id)
		}
	}
	for id, until := range l.passed {
		if until <= now {
			delete(l.passed, id)
		}
	}
	prune(l.claims, now)
	for k, of := range l.back {
		maps.DeleteFunc(of, func(_ lender, b handed) bool {
			at, ok := l.when(b.before)
			return !ok || now >= at+l.terms.use // all that it is about has ended
		})
		if len(of) == 0 {
			delete(l.back, k)
		}
	}
	prune(l.away, now)
	for k, of := range l.given {
		for id := range of {
			if len(l.away[k][id]) == 0 {
				delete(of, id)
			}
		}
		if len(of) == 0 {
			delete(l.given, k)
		}
	}
}

// forgotten is how long after its last sheet a life is, in ns.
func (l *Ledger) forgotten() int64 { return forget * max(l.o.Lease, l.o.Vote) }

// Counts gives what was taken and what is held.
func (l *Ledger) Counts() Counts {
	c := l.counts
	c.Lives = len(l.sheets)
	for _, of := range l.claims {
		c.Claims += len(of)
	}
	for _, of := range l.away {
		c.Away += len(of)
	}
	return c
}

func keyOf(r Resource) key {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %s", r.Started, r.Name)
	return key(h.Sum64())
}
