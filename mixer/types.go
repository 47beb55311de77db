package mixer

import (
	"cmp"
	"math"
)

// Effect says whether a lookup of a tariff may run more than once.
type Effect int

const (
	Idempotent   Effect = iota // may run again
	Deduplicated               // a repeat is known by its mark and dropped for a while
	AtMostOnce                 // must never run twice
)

// Outcome says how one forward ended.
type Outcome int

const (
	Succeeded       Outcome = iota // its answer is in
	Failed                         // the searcher returned an error
	Rejected                       // turned away unseen
	TimedOut                       // no answer in time
	Unreachable                    // no connection was made
	ConnectionReset                // the connection broke
	Cancelled                      // withdrawn by the mixer
	NeverSent                      // never sent
)

// NeverRan tells whether the outcome proves that the forward did no work.
func (o Outcome) NeverRan() bool { return o == Rejected || o == Unreachable || o == NeverSent }

// Tariff is what the charter says of one sort of lookup. Times are nanoseconds.
type Tariff struct {
	Expected     int64   // full revenue within this
	Patience     int64   // the client's wait over all its tries
	Effect       Effect  // whether it may run again
	RepeatFor    int64   // tagged: how long repeats are dropped
	CompleteFrom float64 // weight of the first step that makes it whole
	LeastShare   float64 // least weight of any answer
	Partial      float64 // revenue of an answer that is not whole, times share over CompleteFrom
	SecondStep   int     // parts of the second step, 0 for none
}

// Charter is what a mixer is told at its start. Adopt says what of it may change while it serves.
type Config struct {
	Tariffs []Tariff
	Zone    string // where this mixer stands
	Mixers  int    // how many there are

	// Where each mixer uses a subset of the searchers: the most mixers that use one, and the least that do in the mean. 0: all do.
	Users, UsersMean int

	Cells, Reach int // slice s is held by cells s to s+Reach-1, modulo Cells
	PerCall      int // parts one call may carry

	ListAsked bool  // the list comes only when asked for
	AskWithin int64 // a mixer that has not asked for so long counts as told

	MaxForwards        int // for one part
	MayCopy, MayCancel bool
	MayAdvise          bool
	MaxAdvice          int64 // longest wait a client heeds

	ColdFrom     float64
	ColdFor      int64
	FallMultiple float64
	FallFor      int64

	BudgetFor   int64 // 0: no forward budget
	BudgetFree  float64
	BudgetShare float64

	CrossPrice float64 // of a forward that crosses zones, in units of all revenue a part

	Allowances []float64 // by customer, lookups per second at all mixers that are within its share
	OverWorth  float64   // of a lookup beyond them, as a share of its revenue
	Sized      bool      // the list tells how large a searcher is
}

// users is by how many mixers a searcher's cold allowance is shared.
func (c *Config) users() float64 { return float64(cmp.Or(c.Users, c.Mixers)) }

// usage is which part of what a searcher answers a mixer that uses it may hold to be one user's: 1 where all use it. Who uses it are
// fewer than the most, so that its answers to each are more than so many could have.
func (c *Config) usage() float64 {
	return float64(cmp.Or(c.UsersMean, 1)) / float64(cmp.Or(c.Users, 1))
}

// Status is what the list says of a searcher.
type Status int

const (
	Live Status = iota
	Draining
	Dead
)

// Entry is one line of the list.
type Entry struct {
	Searcher string
	Started  int64 // 0: long ago
	Cell     int
	Zone     string
	Size     float64 // against others, where the list tells it
	Status   Status
}

// Word is what other mixers are believed to say of one process of a searcher, and what of cold allowances is lent.
// Times are of this mixer's clock.
type PeerReport struct {
	Searcher   string
	Started    int64   // of the process
	At, Until  int64   // when the newest that stands behind it was seen, and when it is no longer believed
	Slow       float64 // its pace over the fleet's, 0: nothing is said
	Weight     float64 // calls that stand behind that
	Silent     bool    // it does not answer others
	Sound      bool    // it does
	Suspecting int     // other mixers that suspect and test it

	Lent      float64 // parts per ns of their cold allowances that others lend
	LentUntil int64
	AwayUntil int64 // until then this mixer's own cold allowance is lent, with what it has saved up
}

// Ask is a lookup as it is taken.
type LookupRequest struct {
	ID       string
	Tariff   int   // row of the charter
	NotAfter int64 // when the client leaves
	Parts    int   // parts of its first step
	Again    bool  // the client has asked before
	Customer int   // row of the charter's allowances from 1 on, 0: not told
}

// Piece is one part as it is handed over.
type PartRequest struct {
	ID     string
	Slice  int
	Weight float64
	Effort int64 // expected work, 0: not told
}

// Due is whoever a timer was set for.
type TimerHandler interface{ HandleTimer(now int64) }

// Floor is how the mixer acts. Every call takes effect at the time of the call that led to it.
type Environment interface {
	Forward(part, searcher string, within int64)
	Cancel(part string, forward int)
	Answer(lookup string, whole bool)
	Reject(lookup string, wait int64)
	Fail(lookup string)
	CloseIdle(searcher string) // its connections that are not in use
	SetTimer(after int64, whose TimerHandler)
	Subscribe()
	Note(text string)
}

// Decay is a sum whose terms lose half their size every half-life.
type DecayingSum struct {
	sum float64
	at  int64
}

// Add brings the sum up to date and adds x.
func (d *DecayingSum) Add(now int64, x float64, half int64) {
	d.sum = d.Read(now, half) + x
	d.at = now
}

// Read gives the sum as of now.
func (d *DecayingSum) Read(now int64, half int64) float64 {
	if d.sum == 0 || now == d.at {
		return d.sum
	}
	return d.sum * left(now-d.at, half)
}

// left gives what is left of 1 after a time.
func left(age, half int64) float64 { return math.Exp2(-float64(age) / float64(half)) }

// as gives the sum as of now, where what is left of a term as old as another sum is known.
func (d *DecayingSum) as(now, half int64, o *DecayingSum, left float64) float64 {
	if d.at != o.at {
		return d.Read(now, half)
	}
	if d.sum == 0 {
		return 0
	}
	return d.sum * left
}

// Ratio is one decaying sum over another.
type DecayingRatio struct{ over, under DecayingSum }

// Add brings both sums up to date and adds to each.
func (r *DecayingRatio) Add(now int64, over, under float64, half int64) {
	o, u := r.read(now, half)
	r.over, r.under = DecayingSum{o + over, now}, DecayingSum{u + under, now}
}

// read gives both sums as of now. What is left of a term is reckoned once where both are of one time.
func (r *DecayingRatio) read(now, half int64) (over, under float64) {
	if now == r.under.at {
		return r.over.Read(now, half), r.under.sum
	}
	fade := left(now-r.under.at, half)
	return r.over.as(now, half, &r.under, fade), r.under.as(now, half, &r.under, fade)
}

// Undo takes back what was added over at a time, as far as it still weighs in.
func (r *DecayingRatio) Undo(now, at int64, over float64, half int64) {
	r.over.Add(now, -over*left(now-at, half), half)
}

// Read gives the ratio as of now, leaning on a value with a weight.
func (r *DecayingRatio) Read(now int64, half int64, on, weight float64) float64 {
	over, under := r.read(now, half)
	over, under = over+on*weight, under+weight
	if under == 0 {
		return 0
	}
	return over / under
}

// Fade gives what is left of 1 since the newest terms were added.
func (r *DecayingRatio) Fade(now int64, half int64) float64 {
	return left(now-r.under.at, half)
}

// Spread is the mean and deviation of decaying terms.
type DecayingStats struct{ n, sum, squares DecayingSum }

// Add brings the sums up to date and adds x.
func (s *DecayingStats) Add(now int64, x float64, half int64) {
	n, sum, squares := s.read(now, half)
	s.n, s.sum, s.squares = DecayingSum{n + 1, now}, DecayingSum{sum + x, now}, DecayingSum{squares + x*x, now}
}

// read gives the sums as of now; all are of one time.
func (s *DecayingStats) read(now, half int64) (n, sum, squares float64) {
	if now == s.n.at {
		return s.n.sum, s.sum.sum, s.squares.sum
	}
	fade := left(now-s.n.at, half)
	return s.n.as(now, half, &s.n, fade), s.sum.as(now, half, &s.n, fade), s.squares.as(now, half, &s.n, fade)
}

// Read gives how many terms weigh in as of now, and their mean and deviation.
func (s *DecayingStats) Read(now int64, half int64) (n, mean, dev float64) {
	n, sum, squares := s.read(now, half)
	if n == 0 {
		return 0, 0, 0
	}
	mean = sum / n
	return n, mean, math.Sqrt(max(0, squares/n-mean*mean))
}
