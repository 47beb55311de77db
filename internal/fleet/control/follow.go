package control

import (
	"cmp"
	"fmt"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Times of a follower, in ns.
const (
	Beat   = 2 * second  // a relay says something at least so often
	Silent = 3 * Beat    // a session that says nothing for so long is lost
	wait0  = second      // before a seat that failed is tried again, twice as long each time
	waits  = 60 * second // at most, where the options say nothing
	pause0 = second / 5  // before the next seat is tried, at most
)

// FollowerOptions say who follows whom.
type FollowerOptions struct {
	Self   Self   // name, region, zone and life
	Seats  []Seat // of the settings
	Window int64  // ns over which a start or a reconnect after a relay's loss is spread
	Back   int64  // ns after which one who follows not its first seat tries those before; twice as long at most. 0: 6 windows
	Wait   int64  // ns, the longest wait before a seat that failed is tried again; 0: a minute
	Seed   uint64 // of its randomness
}

type seat struct {
	Seat
	fails int
	again int64 // not before
}

// Follower is who follows a relay: a mixer, or another relay. It says when to open a session with whom, takes what is told there,
// and says what to apply. It holds one session at a time; to get back to a seat that goes before, it opens that one first.
type Follower struct {
	table  *Table
	relay  *Relay // whose follower this is; nil: a mixer's
	rand   *rand.Rand
	o      FollowerOptions
	seats  []seat
	at     int64 // next try
	back   int64 // next try of a seat that goes before the one in hand
	trying int   // seat; -1: none
	open   int   // seat; -1: none
	drop   bool  // the session in hand is to be ended

	life    string       // of the relay that was followed last
	index   uint64       // up to which all was heard of it
	named   map[key]bool // by the snapshot that is being told; nil: none is
	settled bool         // all there was has been heard since the session opened
	heard   int64        // last, of any relay
	spoke   int64        // the session in hand, or when it opened
	ever    bool         // heard at all
	before  int64        // ns between the last word of the session before and the first of this one

	inForce, rejected Stamp
	element, value    string
	refused           []Stamp // the last ones rejected
	floor             Stamp   // the greatest rejected before them
	tell              bool    // what it says of itself has not been told
	tellAt            int64
	tells             int // that failed in a row
	version           uint64
	flaw              faults
}

// NewFollower makes a mixer's follower. It tries its first relay within the window.
func NewFollower(now int64, o FollowerOptions) (*Follower, error) {
	if len(o.Seats) == 0 || o.Window <= 0 || o.Self.Name == "" {
		return nil, fmt.Errorf("a follower needs a name, seats and a window: %q, %d, %d ns", o.Self.Name, len(o.Seats), o.Window)
	}
	o.Back, o.Wait = cmp.Or(o.Back, 6*o.Window), cmp.Or(o.Wait, waits)
	f := &Follower{table: NewTable(Limits{}), o: o, trying: -1, open: -1}
	f.rand = rand.New(rand.NewPCG(o.Seed, xxhash.Sum64String(o.Self.Name)))
	for _, s := range Order(o.Self.Name, o.Self.Region, o.Seats) {
		f.seats = append(f.seats, seat{Seat: s})
	}
	f.at = now + f.spread(o.Window)
	return f, nil
}

func (f *Follower) spread(ns int64) int64 { return f.rand.Int64N(max(ns, 1)) }

// Act is what a follower is to do now.
type Act struct {
	Dial  *Seat  // open a session there, asking for what came after Since in the relay's Life; then Opened or Failed
	Since uint64 // an index
	Life  string
	Drop  bool // end the session in hand, it was silent for too long or told nonsense; it counts as lost
	Tell  bool // tell the relay in hand Self(now); then Told
}

// Next says what to do now, and otherwise after how many ns to ask again at the latest. Whatever happens to the session in hand is
// a reason to ask at once.
func (f *Follower) Next(now int64) (act Act, wait int64) {
	if f.open >= 0 && (f.drop || now-f.spoke >= Silent) {
		f.Lost(now)
		act.Drop = true
		return act, 0
	}
	wait = Silent
	until := func(t int64) bool {
		if t > now {
			wait = min(wait, t-now)
		}
		return t <= now
	}
	if f.open >= 0 {
		until(f.spoke + Silent)
		if f.relay == nil && f.tell && f.settled && until(f.tellAt) {
			f.tellAt, act.Tell = now+Silent, true // Told says how it went
		}
	}
	if f.trying >= 0 || f.open == 0 {
		return act, wait
	}
	if f.open > 0 {
		if !until(f.back) {
			return act, wait
		}
		f.back = now + f.o.Back + f.spread(f.o.Back)
	} else if !until(f.at) {
		return act, wait
	}
	if i, again := f.pick(now); i >= 0 {
		f.trying = i
		act.Dial, act.Since, act.Life = &f.seats[i].Seat, f.index, f.life
	} else if f.open < 0 {
		f.at = again
		until(again)
	}
	return act, wait
}

// pick gives the first seat that may be tried, before the one in hand; -1 and when one may be, where none may.
func (f *Follower) pick(now int64) (i int, again int64) {
	for i := range f.seats {
		if i == f.open {
			break
		}
		if f.seats[i].again <= now {
			return i, 0
		}
		if again == 0 || f.seats[i].again < again {
			again = f.seats[i].again
		}
	}
	return -1, again
}

// Opened says that the session that was to be opened is, and the life of its relay. A session in hand until then is to be ended.
func (f *Follower) Opened(now int64, life string) {
	if f.trying < 0 {
		return
	}
	f.open, f.trying = f.trying, -1
	if f.before = 0; f.ever {
		f.before = max(now-f.heard, 1)
	}
	if f.life != life {
		if f.life = life; !f.flaw.anyLife {
			f.index = 0
		}
	}
	f.named, f.settled, f.drop, f.spoke = nil, false, false, now
	f.back = now + f.o.Back + f.spread(f.o.Back)
	f.changed(now)
}

// Failed says that the session could not be opened. A relay that refused it may say for how long (ns) it would go on to.
func (f *Follower) Failed(now, after int64) {
	if f.trying < 0 {
		return
	}
	s := &f.seats[f.trying]
	s.again = now + after + f.grown(s.fails)
	s.fails++
	f.trying = -1
	f.at = now + f.spread(pause0)
}

// grown is a wait after so many failures in a row: half to once of a second, doubled each time, up to a bound.
func (f *Follower) grown(fails int) int64 {
	w := min(wait0<<min(fails, 10), f.o.Wait)
	return w/2 + f.spread(w/2)
}

// Lost says that the session in hand has ended; the end of an earlier one is not told. The next one is sought within the window, the
// same seat first, unless it ended before all there was had been heard: that counts as a failure.
func (f *Follower) Lost(now int64) {
	if f.open < 0 {
		return
	}
	if s := &f.seats[f.open]; !f.settled {
		s.again = now + f.grown(s.fails)
		s.fails++
	}
	f.open, f.drop, f.settled = -1, false, false
	if f.named != nil {
		f.named, f.index = nil, 0
	}
	if f.at = now + f.spread(f.o.Window); f.flaw.rush {
		f.at = now
	}
}

// Silent says that the session in hand has fallen silent. Its relay may well accept a new one and be silent there too, so the others
// are tried before it.
func (f *Follower) Silent(now int64) {
	i := f.open
	f.Lost(now)
	if i >= 0 && len(f.seats) > 1 {
		s := &f.seats[i]
		s.again = f.at + f.grown(s.fails)
		s.fails++
	}
}

// Following gives the seat whose session is in hand, nil without one, and whether all there was has been heard there.
func (f *Follower) Following() (s *Seat, settled bool) {
	if f.open < 0 {
		return nil, false
	}
	return &f.seats[f.open].Seat, f.settled
}

// Age gives ns since the last word of a relay; false where there never was one.
func (f *Follower) Age(now int64) (int64, bool) { return now - f.heard, f.ever }

// Table is what the follower holds. It may be read only.
func (f *Follower) Table() *Table { return f.table }
