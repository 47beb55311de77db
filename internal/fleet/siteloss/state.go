// Package siteloss decides whether a whole site is lost, what is let in meanwhile, and how a return is paced. It has no
// I/O, clock, goroutine or order of a map in it: the same code runs in the program, in the model, and in the search over
// interleavings. It never names who holds a part: it says how much is let in, and how fast.
package siteloss

import "fmt"

// Kind is the state of a site, as this mixer sees it or as the fleet holds it.
type Kind uint8

const (
	Sound         Kind = iota
	Slow               // it answers, more often late or not than in time
	Lost               // neither its mixers nor its searchers are there
	WeAreCutOff        // what is silent is most of the fleet, or most of the fleet says that we are lost
	LineCut            // we do not reach it, others do
	MixersGone         // its searchers answer, its mixers are not there
	SearchersGone      // its mixers are there, its searchers do not answer
	ListLate           // all is sound but the list's word on it is old
	Returning          // it was gone and gives signs again
	Forgotten          // lost for so long that nothing is kept ready for it
	Unsure             // too little is known: no voice for or against
	kinds
)

var kindNames = [kinds]string{"sound", "slow", "lost", "we are cut off", "line cut", "mixers gone", "searchers gone",
	"list late", "returning", "forgotten", "unsure"}

func (k Kind) String() string {
	if k < kinds {
		return kindNames[k]
	}
	return fmt.Sprint("kind ", uint8(k))
}

// Terms are what the settings say. Times are nanoseconds.
type Terms struct {
	Own      int   // the site this mixer stands in
	Sites    int   // sites there are by the settings, lost ones counted
	Every    int64 // between two reports of a mixer
	Expected int64 // the longest expected time of any tariff
	Warming  int64 // until a cold searcher bears all
	Beat     int64 // between two words of the list
	Alone    bool  // there is no roster: own evidence decides
}

// Bounds on what is held.
const (
	MaxSites   = 64
	MaxReports = 1024 // mixers that are heard
	MaxMixers  = 2048 // rows of the roster that are looked at, the first ones
	few        = 3    // losses that show something: one or two happen by themselves
)

// The times that follow. A report speaks for three rounds, as two may be missed. A mixer is silent after as many. What is
// bad has to stand longer than any report speaks before it is said: so by the time that one side of a partition says a thing
// of the other, what the other had heard before has run out.
func (t Terms) fresh() int64  { return 3 * t.Every }
func (t Terms) quiet() int64  { return 3 * t.Every }
func (t Terms) hold() int64   { return t.fresh() + t.Every }
func (t Terms) back() int64   { return 2 * t.Every }            // how long signs of life stand before they are believed
func (t Terms) pause() int64  { return 2 * t.Every }            // steps further apart than this: we were not running
func (t Terms) late() int64   { return 3 * t.Beat }             // the list's word is old
func (t Terms) forget() int64 { return 64 * t.Warming }         // a site that does not come back
func (t Terms) memory() int64 { return 8 * t.Warming }          // how long a return counts as one that may not last
func (t Terms) Window() int64 { return 2*t.Every + t.Expected } // what "lately" means in Evidence

// Settles is the longest that a loss takes to be held by all, with sound lines, from the loss or from the last waking of a mixer
// that is left, whichever is later. Its mixers' last word is taken within a round and they are silent then, or its searchers'
// last answer leaves what counts as lately; a round until that is seen; it has to stand; a round until others take that it is
// said. Each report that is lost of those that first say it, one after the other, adds a round.
func (t Terms) Settles() int64 {
	return max(t.Every+t.quiet(), t.Window()) + t.Every + t.hold() + t.Every
}

// Check says what of the terms cannot be.
func (t Terms) Check() error {
	switch {
	case t.Sites < 1 || t.Sites > MaxSites:
		return fmt.Errorf("sites: %d, 1 to %d can be", t.Sites, MaxSites)
	case t.Own < 0 || t.Own >= t.Sites:
		return fmt.Errorf("own site: %d of %d", t.Own, t.Sites)
	case !t.Alone && t.Sites < 3:
		return fmt.Errorf("sites: %d, no quorum is possible with less than 3", t.Sites)
	case t.Every <= 0 || t.Expected <= 0 || t.Warming <= 0 || t.Beat <= 0:
		return fmt.Errorf("times have to be above 0")
	}
	return nil
}

// Evidence is what this mixer saw of one site's searchers within Terms.Window.
type Evidence struct {
	Answered, Late int // forwards answered, and those of them after their expected time
	Lost           int // forwards without an answer in their expected time, or reset
	Tried, Failed  int // connections
	Listed, Live   int // searchers there by the list, and those it says live
	ListAge        int64
}

// Standing is what the roster says of a mixer.
type Standing uint8

const (
	Here Standing = iota
	Doubted
	CutOff
	Gone // it said so, or is taken for it
)

// Mixer is a row of the roster: others, not this one.
type Mixer struct {
	Name     string
	Life     uint64
	Site     int
	Standing Standing
	Heard    int64 // when it was last heard itself, by this mixer's clock
}

// Inputs are what a step goes by.
type Inputs struct {
	Sites   []Evidence // by site
	Clients int        // lookups that clients brought within the window
	Mixers  []Mixer
	Reports Reports // of others, ages brought up to date
}

// Verdict is what holds of one site.
type Verdict struct {
	Kind     Kind
	Declared bool // by a quorum over sites, or alone by own evidence
	Reason   string
	Votes    int   // sites that hold it so
	Since    int64 // when this verdict began
	Own      Kind  // what this mixer says itself
}

// Out tells whether the site's searchers are to be planned without.
func (v Verdict) Out() bool {
	switch v.Kind {
	case Lost, Forgotten, SearchersGone:
		return v.Declared
	case WeAreCutOff, LineCut: // not declared: but what we do not reach bears nothing for us
		return v.Own == Lost || v.Own == SearchersGone
	}
	return false
}

// Outputs are what a step decides.
type Outputs struct {
	Sites  []Verdict
	CutOff bool
	Paused bool // this mixer was not running before this step
	Report Report
}

// row is what is kept of one site.
type row struct {
	view      Kind
	raw       Kind // what the newest evidence says
	since     int64
	good      int64 // since when a returning site gives only good signs
	returned  bool  // a quorum held it lost, and has not yet taken all of that back
	lostSince int64
	verdict   Verdict
}

// faults are what a broken design would do: the search has to catch each. Only tests set them.
type faults struct{ heads, pauseCounts, noHold, minority bool }

// State is a mixer's.
type State struct {
	terms Terms
	life  uint64
	seq   uint64
	rows  []row
	last  int64
	awake int64 // since when this mixer runs without a pause
	taken int64 // when it last took back that a site is lost
	flaw  faults
}

// New gives the state of a life that starts now.
func New(now int64, t Terms, life uint64) (*State, error) {
	if err := t.Check(); err != nil {
		return nil, err
	}
	return &State{terms: t, life: life, rows: make([]row, t.Sites), last: now, awake: now, taken: now - t.fresh() - 1}, nil
}

// Step takes what has come and gives what holds now. It is called about every Terms.Every.
func (s *State) Step(now int64, in Inputs) Outputs {
	var out Outputs
	if now-s.last > s.terms.pause() && !s.flaw.pauseCounts {
		// We were not running: what others did not say to us meanwhile is not their silence.
		out.Paused, s.awake = true, now
		for i := range s.rows {
			s.rows[i].raw, s.rows[i].since, s.rows[i].good = s.rows[i].view, now, now // what was only forming begins anew
		}
	}
	s.last = max(now, s.last)
	if len(in.Mixers) > MaxMixers {
		in.Mixers = in.Mixers[:MaxMixers]
	}
	heard := s.heard(now, in)
	for i := range s.rows {
		var e Evidence
		if i < len(in.Sites) {
			e = in.Sites[i]
		}
		s.judge(now, i, e, heard[i])
	}
	s.decide(now, in, heard, &out)
	s.seq++
	out.Report = Report{Life: s.life, Seq: s.seq, Views: make([]Kind, len(s.rows))}
	copy(out.Report.Views, s.says(now))
	return out
}

// says is what this mixer says of the sites. What it held before it did not run is no word of now until it has been there
// for as long as silence takes to show.
func (s *State) says(now int64) []Kind {
	views := make([]Kind, len(s.rows))
	for i, r := range s.rows {
		if views[i] = r.view; r.gone() && s.woken(now) {
			views[i] = Unsure
		}
	}
	return views
}

// woken tells whether this mixer has just begun to run. What lay in its buffers meanwhile seems young, and has run out after
// as long as a report speaks.
func (s *State) woken(now int64) bool { return now-s.awake <= s.terms.fresh() && !s.flaw.pauseCounts }

func (r *row) gone() bool { return r.view == Lost || r.view == MixersGone || r.view == SearchersGone }

// Verdict gives what held of a site after the last step, for the log and for questions.
func (s *State) Verdict(site int) Verdict { return s.rows[site].verdict }
