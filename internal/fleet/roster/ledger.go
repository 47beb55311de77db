package roster

import (
	"cmp"
	"slices"
)

// State is how a life stands, seen from here.
type State uint8

const (
	Here    State = iota
	Doubted       // it does not answer this process, and others have not lost it yet, or reach it still
	CutOff        // lost to the fleet as this process sees it, without a goodbye: dead or beyond a broken line, nobody here can tell
	Gone          // it said goodbye, a newer life of its name has come, or it was cut off for so long that it is forgotten
)

func (s State) String() string { return [...]string{"here", "doubted", "cut off", "gone"}[s&3] }

// Reason is why a life is gone.
type Reason uint8

const (
	NotGone   Reason = iota
	Forgotten        // cut off for the time of Options.Forget. No proof: it may live on elsewhere, and be here again
	Succeeded        // a newer life of its name has come. The older process may still run, where two are started by one name
	Goodbye          // it said so
)

func (r Reason) String() string { return [...]string{"", "forgotten", "succeeded", "goodbye"}[r&3] }

// Life is one start of a process.
type Life struct {
	Name  string
	Life  uint64 // drawn from the system's randomness
	Site  string
	Build string
	Since int64 // its start in Unix ns by its own clock, which may be hours off
}

// Member is a life as it stands.
type Member struct {
	Life
	State State
	Why   Reason // of Gone
	Term  uint32 // one more than the highest among the lives of its name that it met first; 0: it has met nobody yet
	Heard int64  // when it last gave this process evidence of its life, on this process's clock; 0: never
	At    int64  // when it came to its state
}

// what is told to the ledger.
type what uint8

const (
	met    what = iota // the fleet has it alive, with this life and term
	heard              // it answered this process, or sent to it
	silent             // it did not answer this process
	lost               // the fleet has it dead
	bye                // it says that it ends, or others tell so
	told               // others have it cut off since age
)

type event struct {
	what what
	life Life
	term uint32
	age  int64 // of bye and told: how long ago
}

// change is what an event made of a life.
type change struct {
	Member
	was      State
	fresh    bool // it was not held before
	conflict bool // it was in contact, and so is the newer life of its name: two processes run by one name
}

const misses = 2 // pings in a row without an answer until a life is doubted: one may be lost on its way

type row struct {
	Member
	silent int
}

// ledger decides how lives stand. It holds at most most lives that are not gone, and as many that are. It does no I/O and
// reads no clock.
//
// Of lives with one name the newest is that of the highest term; of equal terms that which started last by its own clock,
// then that of the greater number. It ends all the others, wherever they are heard of in whatever order. A life without a
// term has not met the fleet: it neither ends another nor is ended.
type ledger struct {
	self   uint64
	most   int
	forget int64
	rows   []row // by name, then life
	full   uint64
}

func newLedger(self Life, most int, forget int64) *ledger {
	l := &ledger{self: self.Life, most: most, forget: forget}
	l.rows = []row{{Member: Member{Life: self}}}
	return l
}

func order(a, b Life) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Life, b.Life)) }

func newer(a, b Member) bool {
	return cmp.Or(cmp.Compare(a.Term, b.Term), cmp.Compare(a.Since, b.Since), cmp.Compare(a.Life.Life, b.Life.Life)) > 0
}

func (l *ledger) find(who Life) (int, bool) {
	return slices.BinarySearchFunc(l.rows, who, func(r row, who Life) int { return order(r.Life, who) })
}

// living counts the lives that are not gone.
func (l *ledger) living() (n int) {
	for i := range l.rows {
		if l.rows[i].State != Gone {
			n++
		}
	}
	return n
}

// room says whether a life is held or can be.
func (l *ledger) room(who Life) bool {
	i, ok := l.find(who)
	return ok && l.rows[i].Why != Forgotten || l.living() < l.most
}

// members are all that are held, by name, then life.
func (l *ledger) members() []Member {
	all := make([]Member, len(l.rows))
	for i, r := range l.rows {
		all[i] = r.Member
	}
	return all
}

// step takes what happened. Time does not run back.
func (l *ledger) step(now int64, e event) []change {
	if e.life.Life == l.self && e.what != met {
		return nil // of ourselves we know better
	}
	if (e.what == bye || e.what == told) && e.age >= l.forget {
		return nil // it would be forgotten at once, and told on for ever
	}
	i, ok := l.find(e.life)
	if !ok {
		switch {
		case e.what == heard || e.what == silent || e.what == lost:
			return nil
		case e.what != bye && l.living() >= l.most:
			l.full++ // refused rather than put in the place of one that is cut off: that would claim that it is gone
			return nil
		}
		fresh := row{Member: Member{Life: e.life, Term: e.term, At: now}}
		switch e.what {
		case met:
			fresh.Heard = now
		case told:
			fresh.State, fresh.At = CutOff, now-e.age
		case bye:
			fresh.State, fresh.Why, fresh.At = Gone, Goodbye, now-e.age
			l.drop()
			i, _ = l.find(e.life)
		}
		l.rows = slices.Insert(l.rows, i, fresh)
		return l.succeed(now, e.life.Name, []change{{Member: fresh.Member, fresh: true}})
	}
	r := &l.rows[i]
	was := r.State
	move := func(to State, why Reason) { r.State, r.Why, r.At, r.silent = to, why, now, 0 }
	switch e.what {
	case met, told:
		if r.Since == 0 && r.Site == "" { // known by its goodbye alone
			r.Life = e.life
		}
		r.Term = max(r.Term, e.term)
		if e.what == met && (was == CutOff || was == Gone && r.Why == Forgotten) && (was == CutOff || l.living() < l.most) {
			move(Here, NotGone)
			r.Heard = now
		}
	case heard:
		r.Heard, r.silent = now, 0
		if was == Doubted {
			move(Here, NotGone)
		}
	case silent:
		if r.silent++; r.silent >= misses && was == Here {
			move(Doubted, NotGone)
		}
	case lost:
		if was == Here || was == Doubted {
			move(CutOff, NotGone)
		}
	case bye:
		if was != Gone {
			l.drop()
			i, _ = l.find(e.life)
			r = &l.rows[i]
			move(Gone, Goodbye)
		}
		r.Term, r.Why = max(r.Term, e.term), Goodbye
	}
	var out []change
	if r.State != was {
		out = []change{{Member: r.Member, was: was}}
	}
	return l.succeed(now, e.life.Name, out)
}

// succeed ends the older lives of a name.
func (l *ledger) succeed(now int64, name string, out []change) []change {
	from, _ := l.find(Life{Name: name})
	var first Member
	to := from
	for ; to < len(l.rows) && l.rows[to].Name == name; to++ {
		if m := l.rows[to].Member; m.Term > 0 && (first.Term == 0 || newer(m, first)) {
			first = m
		}
	}
	for i := from; i < to; i++ {
		r := &l.rows[i]
		if r.Term == 0 || r.State == Gone && r.Why != Forgotten || !newer(first, r.Member) {
			continue
		}
		was := r.State
		if was != Gone {
			r.At = now
		}
		r.State, r.Why = Gone, Succeeded
		out = append(out, change{Member: r.Member, was: was, conflict: was < CutOff && first.State < CutOff})
	}
	for l.dead() > l.most && l.drop() {
	}
	return out
}

func (l *ledger) dead() int { return len(l.rows) - l.living() }

// drop makes room for one more that is gone: the one that has been so for longest is dropped, where there are most. It says
// whether it has.
func (l *ledger) drop() bool {
	oldest := -1
	for i, r := range l.rows {
		if r.State == Gone && r.Life.Life != l.self && (oldest < 0 || r.At < l.rows[oldest].At) {
			oldest = i
		}
	}
	if oldest < 0 || l.dead() < l.most {
		return false
	}
	l.rows = slices.Delete(l.rows, oldest, oldest+1)
	return true
}

// tick forgets: who has been cut off for the set time counts as gone, who has been gone for as long is dropped.
func (l *ledger) tick(now int64) (out []change) {
	for i := 0; i < len(l.rows); i++ {
		r := &l.rows[i]
		switch {
		case r.Life.Life == l.self || now-r.At < l.forget:
		case r.State == CutOff:
			r.State, r.Why, r.At = Gone, Forgotten, now
			out = append(out, change{Member: r.Member, was: CutOff})
		case r.State == Gone:
			out = append(out, change{Member: r.Member, was: Gone})
			l.rows = slices.Delete(l.rows, i, i+1)
			i--
		}
	}
	for l.dead() > l.most && l.drop() {
	}
	return out
}

// rest are those which the fleet's own exchange does not carry, the latest first: who is cut off, and who said goodbye.
func (l *ledger) rest(most int) (out []Member) {
	for _, r := range l.rows {
		if r.Life.Life != l.self && (r.State == CutOff || r.State == Gone && r.Why >= Succeeded) {
			out = append(out, r.Member)
		}
	}
	slices.SortStableFunc(out, func(a, b Member) int { return cmp.Compare(b.At, a.At) })
	return out[:min(len(out), most)]
}
