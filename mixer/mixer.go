// Package mixer decides how lookups are served from many searchers.
//
// How it is called: New makes a mixer; Listed and ListRefused bring news of the list; Take gives a lookup's
// handle, AddPart hands over its parts, Outcome tells how a forward ended, Gone that the client has left; Due
// comes with a timer, Told with what other mixers say. Calls come in the clock's order. It acts by Floor.
//
// The ordinary path is water-filling: exactly as many parts as make the answer whole, each to the holder
// with the fewest calls of this mixer out, the count raised after each pick. docs/design.md says what is
// added to it, when and why. Read review.go first: there every lookup moves on. It asks pick.go where to go;
// admission.go turns away, learn.go hears of outcomes, suspect.go and cold.go know whom to leave or spare.
package mixer

import "math/rand"

const (
	ms = int64(1_000_000)

	halfLife    = 4000 * ms  // ns; sums follow a change of load within seconds, yet hold some tens of forwards
	paceHalf    = 16000 * ms // ns; a searcher's own pace: sparse mixers meet each only every ten seconds or so
	lean        = 1.5        // calls; how much of the fleet's figure is blended into a searcher's own
	lostTimes   = 2.0        // how much longer a forward is held to take than it waited before it timed out
	lateSpread  = 4.0        // deviations above the mean from which a forward is late; at 1.25 copies feed jams
	silentTimes = 8.0        // means that forwards wait in all, unanswered, that make a searcher suspect
	goneTimes   = 5.0        // means after which one such forward is sent again; at 3 sound ones are, in jams
	failedTimes = 3.0        // means for which a failure counts: three in a row tell
	erredTimes  = 1.0        // means for which an error counts: it is there and may serve the next one
	lineLate    = 2.5        // means after which a forward without any answer since counts as lost on its line
	testFirst   = 0.4        // of the longest expected time, before a suspect's first test; then doubled
	testLast    = 3.2        // of the same, at most; a searcher that is back is missed for about this long
	tookGuess   = 0.125      // of the expected time, what a forward is held to take until some have come
	bearGuess   = 0.25       // of the longest, in which a warm one bears a part: a guess to begin a cold fleet
	bearHalf    = 60000 * ms // ns; machines change slowly, a jam or a lull lasts less
	coldMargin  = 0.8        // of what a cold searcher bears, the part that the mixers together allow themselves
	coldSpread  = 2.0        // deviations kept for what chance adds in a window; at 3 newcomers idle in releases
	room        = 0.33       // of the time left, what a lookup may be predicted to take; 0.2 idles, 0.42 jams
	secondStep  = 1.6        // of the first, how long both steps take: the second asks less of each part
	adviceShare = 0.08       // of the time left, the wait advised to a client turned away at taking
	copyShare   = 0.15       // copies for each forward when idle; more do not shorten lookups further
	copyEase    = 2.5        // how fast that share fades as forwards take more of the expected time
	lookAgain   = 50 * ms    // ns; pause before a part that no holder may take is looked at again
	endMargin   = 8 * ms     // ns; an ending is sent this early, to arrive in time
	zoneLost    = 3          // forwards lost in a row, with no answer from a whole zone, that make it silent
	testFloor   = 0.5        // such tests that are always allowed, faded: one in four seconds or so
	testShare   = 0.03       // of forwards, those that test suspects and silent zones; each may delay a lookup
	askFirst    = 500 * ms   // ns; first wait after a refused list call, doubled up to a third of AskWithin
	crossing    = 16.0       // share of a forward's time that a price of 1 on crossing zones is worth
	lineHalf    = 8000 * ms  // ns; how long what was learnt of idle connections holds
	lineTimes   = 2.0        // of what new connections lose, idle ones may: new ones are few to judge by
	lineLost    = 1.0        // forwards lost on idle connections, beyond what new ones lose, that close them
	lentSpread  = 1.0        // deviations, of those kept for chance, that are lent: a steady rate needs less
	wordMost    = 12.0       // calls that others' word weighs at most; 4 leave old answers in front
	lastChance  = 2.5        // means that are left, when a part that may have one forward out goes elsewhere
	backTimes   = 0.7        // of the time left, what it may be predicted to take there
	shareLean   = 1.0        // lookups, held in a customer's favour and against it: each mixer sees few of it
	tiny        = 1e-6       // weights may fall short by rounding
)

// Mixer is one mixer. It shares nothing with others but by Told and Tell.
type Mixer struct {
	c         Config
	floor     Environment
	rng       *rand.Rand
	rows      []DecayingStats // by tariff, how long its forwards take
	searchers map[string]*searcher
	cells     [][]*searcher // by cell, in the order first listed

	pace                DecayingRatio // of the whole fleet: how long forwards took, times size, over the calls out there
	zones               map[string]*zone
	sent, copies, tests DecayingSum   // forwards, copies and tests among them
	idle, anew          DecayingRatio // forwards lost over sent, on connections that lay idle, on new ones
	taken, spent        []int64       // when lookups and parts were taken and further forwards made, for the budget
	borne, bears        DecayingSum   // answers of warm searchers, parts per ns this mixer may count on of one
	heard               int64         // last answer of any searcher
	asking              bool          // a list call is out or the subscription runs
	long                float64       // ns, the longest expected time
	refusals            int
	customers           []DecayingSum // lookups taken of each, the first of those who are not told
	held                int64         // until then its own cold allowance may still be lent from before its start
	epoch, call         int64         // counts what may bear on lookups beside their own answers; calls
	scratch                           // kept from one review to the next to spare allocations
}

// zone is what is known of a place: its last answer, and how many forwards sent since were lost.
type zone struct{ heard, missed int64 }

func (z *zone) silent() bool { return z.missed >= zoneLost }

// searcher is one machine of the list.
type searcher struct {
	id            string
	cell          int
	size          float64 // by the list, 1 where that does not tell
	zone          *zone
	status        Status
	started       int64
	calls, parts  int           // this mixer's calls out, which water-filling levels, and the parts in them
	call          *call         // the newest
	pace, told    DecayingRatio // of its answers, and of the newest, which others are told
	heard, sentAt int64         // last answer, last forward
	unheard       int64         // what forwards sent since have waited in vain
	suspect       bool          // not to be picked but for a test
	wait, testAt  int64         // before the next test, and when that is
	credit        float64       // cold: of one part, how much may be sent, and up to when that was reckoned
	creditAt      int64
	out           []*forward
	word          PeerReport  // of others, on the process named there
	want, sent    DecayingSum // cold: forwards sent there, and those that would have been with credit; all forwards
	kept
}

// cut tells whether no answer can come: its process is gone, or its whole zone is silent.
func (f *forward) cut() bool {
	return f.s.status == Dead || f.process != f.s.started || f.s.zone.silent() && f.sent >= f.s.zone.heard
}

// lost tells whether no answer is waited for any more: it is cut, out for too long, or its searcher suspect.
func (f *forward) lost() bool { return f.gone || f.s.suspect || f.cut() }

func (f *forward) mayRun() bool { return !f.done || f.ran }

// New makes a mixer.
func New(now int64, c Config, seed int64, floor Environment) *Mixer {
	m := &Mixer{c: c, floor: floor, rng: rand.New(rand.NewSource(seed)), rows: make([]DecayingStats, len(c.Tariffs))}
	m.customers = make([]DecayingSum, 1+len(c.Allowances))
	m.cells, m.searchers, m.zones = make([][]*searcher, c.Cells), map[string]*searcher{}, map[string]*zone{}
	m.long = float64(ms)
	for _, t := range c.Tariffs {
		m.long = max(m.long, float64(t.Expected))
	}
	m.bears = DecayingSum{1 / (bearGuess * m.long) / c.users(), now}
	if c.ListAsked {
		m.HandleTimer(now)
	}
	return m
}
