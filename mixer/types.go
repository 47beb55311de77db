package mixer

import (
	"cmp"
	"math"
)

// Effect says whether the forwards of a lookup may be repeated.
type Effect int

const (
	Idempotent   Effect = iota // may run again
	Deduplicated               // repeats are recognized and dropped for a limited time
	AtMostOnce                 // must never run twice
)

// Outcome is how a forward ended.
type Outcome int

const (
	Succeeded       Outcome = iota // answered
	Failed                         // the searcher returned an error
	Rejected                       // the searcher rejected it without running it
	TimedOut                       // no answer within its time
	Unreachable                    // no connection could be made
	ConnectionReset                // the connection broke
	Cancelled                      // cancelled by the mixer
	NeverSent                      // dropped before it was sent
)

// NeverRan reports whether the outcome proves that the searcher did not run the forward.
func (o Outcome) NeverRan() bool { return o == Rejected || o == Unreachable || o == NeverSent }

// Tariff describes one class of lookups: its deadlines, effect and revenue. Times are in nanoseconds.
type Tariff struct {
	Expected     int64   // an answer within this time earns the full revenue
	Patience     int64   // how long a client waits, over all its tries
	Effect       Effect  // whether forwards may be repeated
	RepeatFor    int64   // Deduplicated: how long repeats are recognized
	CompleteFrom float64 // least weight of the first step's parts for a complete answer
	LeastShare   float64 // least weight for a partial answer
	Partial      float64 // revenue of a partial answer, times its weight over CompleteFrom
	SecondStep   int     // number of parts of the second step, 0 for none
}

// Config is the configuration of a Mixer. UpdateConfig documents which fields may change while it
// serves.
type Config struct {
	Tariffs []Tariff
	Zone    string // of this mixer
	Mixers  int    // number of mixers

	// Where each mixer uses a subset of the searchers, the largest number of mixers that use one
	// and a lower bound of the mean number; 0 where every mixer uses every searcher.
	Users, UsersMean int

	Cells, Reach int // slice s is held by cells s to s+Reach-1, modulo Cells
	PerCall      int // most parts in one call

	ListAsked bool  // the membership list is sent only on request
	AskWithin int64 // ns; after this long without a request, discovery assumes that the mixer has the list

	MaxForwards int   // for one part, retries and hedges included
	MayCopy     bool  // two forwards of a part may be in flight at once (hedging)
	MayCancel   bool  // forwards in flight may be cancelled
	MayAdvise   bool  // rejections may advise a wait before a retry
	MaxAdvice   int64 // ns; longest advised wait that clients respect

	ColdFrom float64 // share of its capacity that a new searcher starts with
	ColdFor  int64   // ns; duration of its slow start
	// A cold searcher collapses if it receives, within FallFor, more than FallMultiple times what a
	// warm one serves in that time, times its capacity share.
	FallMultiple float64
	FallFor      int64 // ns

	BudgetFor   int64   // ns; window of the retry budget, 0 for none
	BudgetFree  float64 // retries always allowed in a window
	BudgetShare float64 // further retries, per lookup and part taken in the window

	CrossPrice float64 // cost of a forward that crosses zones, divided by the mean revenue of a part

	Allowances []float64 // by customer; lookups per second, over all mixers, within its share
	OverWorth  float64   // value of a lookup above the customer's allowance, as a share of its revenue
	Sized      bool      // the list gives the sizes of searchers
}

// coldUsers returns the number of mixers that share a searcher's cold allowance.
func (c *Config) coldUsers() float64 { return float64(cmp.Or(c.Users, c.Mixers)) }

// answerShare returns the part of a searcher's answers to one mixer that counts as a single user's
// share: 1 where all mixers use it. With subsets, a searcher has fewer users than the most, and
// answers more to each of them.
func (c *Config) answerShare() float64 {
	return float64(cmp.Or(c.UsersMean, 1)) / float64(cmp.Or(c.Users, 1))
}

// Status is the state of a searcher in the membership list.
type Status int

const (
	Live Status = iota
	Draining
	Dead
)

// Entry is one searcher's entry in the membership list.
type Entry struct {
	Searcher string
	Started  int64 // start of its process, 0 for long ago
	Cell     int
	Zone     string
	Size     float64 // relative to others, where the list gives it
	Status   Status
}

// PeerReport combines what other mixers report about one process of a searcher with the loans of
// cold allowance for it. Times are of this mixer's clock.
type PeerReport struct {
	Searcher   string
	Started    int64   // of the process
	At, Until  int64   // time of the newest observation behind the report, and its expiry
	Slow       float64 // ratio of the process's pace (ns per call in flight) to the fleet's, 0 if unknown
	Weight     float64 // calls behind Slow
	Silent     bool    // peers get no answers from it
	Sound      bool    // peers get answers from it
	Suspecting int     // number of other mixers that suspect and probe it

	Lent      float64 // parts per ns of cold allowance that others lend to this mixer
	LentUntil int64   // end of that loan
	AwayUntil int64   // this mixer's own cold allowance, with its credit, is lent out until then
}

// LookupRequest describes a new lookup.
type LookupRequest struct {
	ID       string
	Tariff   int   // index into Config.Tariffs
	NotAfter int64 // deadline of the client
	Parts    int   // number of parts of the first step
	Again    bool  // retry: the client made this lookup before
	Customer int   // index into Config.Allowances plus 1, 0 if unknown
}

// PartRequest describes one part of a lookup.
type PartRequest struct {
	ID     string
	Slice  int
	Weight float64
	Effort int64 // expected work, 0 if unknown
}

// TimerHandler is called when a timer that was set for it expires.
type TimerHandler interface{ HandleTimer(now int64) }

// Environment carries out a Mixer's decisions. Its calls take effect at the time of the call to the
// Mixer that led to them. Durations are in nanoseconds.
type Environment interface {
	Forward(part, searcher string, timeout int64) // sends a part, with a timeout
	Cancel(part string, forward int)              // cancels the part's forward of that index
	Answer(lookup string, complete bool)
	Reject(lookup string, wait int64) // advises the client to retry after wait
	Fail(lookup string)
	CloseIdle(searcher string) // closes the idle connections to it
	SetTimer(after int64, h TimerHandler)
	Subscribe()       // requests the membership list
	Note(text string) // logs a remark; unused by the Mixer at present
}

// DecayingSum is a sum whose terms decay with a half-life, in nanoseconds, that is passed to its
// methods.
type DecayingSum struct {
	sum float64
	at  int64
}

// Add decays the sum to now and adds x.
func (d *DecayingSum) Add(now int64, x float64, half int64) {
	d.sum = d.Read(now, half) + x
	d.at = now
}

// Read returns the sum as of now.
func (d *DecayingSum) Read(now int64, half int64) float64 {
	if d.sum == 0 || now == d.at {
		return d.sum
	}
	return d.sum * decayFactor(now-d.at, half)
}

// decayFactor returns what remains of 1 after a time.
func decayFactor(age, half int64) float64 { return math.Exp2(-float64(age) / float64(half)) }

// readWith is Read with the decay factor of another sum, which applies if both have the same time.
func (d *DecayingSum) readWith(now, half int64, other *DecayingSum, factor float64) float64 {
	if d.at != other.at {
		return d.Read(now, half)
	}
	if d.sum == 0 {
		return 0
	}
	return d.sum * factor
}

// DecayingRatio is the ratio of two decaying sums.
type DecayingRatio struct{ numerator, denominator DecayingSum }

// Add decays both sums to now and adds to each.
func (r *DecayingRatio) Add(now int64, numerator, denominator float64, half int64) {
	n, d := r.readSums(now, half)
	r.numerator, r.denominator = DecayingSum{n + numerator, now}, DecayingSum{d + denominator, now}
}

// readSums returns both sums as of now, computing the decay factor once if they have the same time.
func (r *DecayingRatio) readSums(now, half int64) (numerator, denominator float64) {
	if now == r.denominator.at {
		return r.numerator.Read(now, half), r.denominator.sum
	}
	factor := decayFactor(now-r.denominator.at, half)
	return r.numerator.readWith(now, half, &r.denominator, factor),
		r.denominator.readWith(now, half, &r.denominator, factor)
}

// Subtract removes what remains of a term that was added to the numerator at a time.
func (r *DecayingRatio) Subtract(now, at int64, numerator float64, half int64) {
	r.numerator.Add(now, -numerator*decayFactor(now-at, half), half)
}

// Read returns the ratio as of now, combined with a prior value of a given weight.
func (r *DecayingRatio) Read(now int64, half int64, prior, weight float64) float64 {
	numerator, denominator := r.readSums(now, half)
	numerator, denominator = numerator+prior*weight, denominator+weight
	if denominator == 0 {
		return 0
	}
	return numerator / denominator
}

// DecaySinceUpdate returns what remains of 1 since the last Add.
func (r *DecayingRatio) DecaySinceUpdate(now int64, half int64) float64 {
	return decayFactor(now-r.denominator.at, half)
}

// DecayingStats gives the mean and standard deviation of decaying terms.
type DecayingStats struct{ count, sum, squares DecayingSum }

// Add decays the sums to now and adds x.
func (s *DecayingStats) Add(now int64, x float64, half int64) {
	n, sum, squares := s.readSums(now, half)
	s.count, s.sum, s.squares = DecayingSum{n + 1, now}, DecayingSum{sum + x, now}, DecayingSum{squares + x*x, now}
}

// readSums returns the sums as of now; all have the same time.
func (s *DecayingStats) readSums(now, half int64) (n, sum, squares float64) {
	if now == s.count.at {
		return s.count.sum, s.sum.sum, s.squares.sum
	}
	factor := decayFactor(now-s.count.at, half)
	return s.count.readWith(now, half, &s.count, factor), s.sum.readWith(now, half, &s.count, factor),
		s.squares.readWith(now, half, &s.count, factor)
}

// Read returns the decayed number of terms as of now, and their mean and standard deviation.
func (s *DecayingStats) Read(now int64, half int64) (n, mean, dev float64) {
	n, sum, squares := s.readSums(now, half)
	if n == 0 {
		return 0, 0, 0
	}
	mean = sum / n
	return n, mean, math.Sqrt(max(0, squares/n-mean*mean))
}
