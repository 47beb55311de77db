// Package mixer decides how lookups are distributed over many searchers, the backends that serve them.
//
// A Mixer acts through its Environment. UpdateList and ListFailed report on the membership list, StartLookup
// starts a lookup, AddPart adds its parts, HandleOutcome ends a forward, Abandon a lookup whose client left;
// HandleTimer runs timers, UpdatePeerReports takes other mixers' reports. Calls must come in clock order.
//
// The base policy is water-filling with least outstanding requests: exactly as many parts as complete the
// answer, each sent to the holder with the fewest calls in flight from this mixer, counted as they are made.
// docs/design.md has the additions and why. Lookups advance through review.go; pick.go selects searchers,
// admission.go sheds load, learn.go keeps statistics, suspect.go detects failures, cold.go does slow start.
package mixer

import "math/rand"

// Times that depend on load are multiples of the tariff's mean latency ("means") or shares of a given time.
const (
	ms = int64(1_000_000) // nanoseconds in a millisecond

	loadHalfLife = 4000 * ms  // ns; follows a change of load within seconds, yet covers some tens of forwards
	paceHalfLife = 16000 * ms // ns; of one searcher's pace: mixers with little traffic use each every 10 s or so

	fleetPriorCalls     = 1.5   // calls; weight of the fleet's unit time when estimating one searcher's
	timeoutFactor       = 2.0   // estimated latency of a forward that timed out, as a multiple of its wait
	lateDeviations      = 4.0   // standard deviations above the mean; 1.25 lets hedges feed overload
	suspectMeans        = 8.0   // means; total unanswered wait of forwards that makes a searcher suspect
	presumedLostMeans   = 5.0   // means until a forward is resent; 3 resends those to healthy searchers in overload
	failureMeans        = 3.0   // means that a failure adds to unanswered wait: three in a row make a suspect
	errorMeans          = 1.0   // means that an error adds: the searcher is up and may serve the next forward
	connLostMeans       = 2.5   // means without any answer until a forward counts as lost on its connection
	firstProbeShare     = 0.4   // of the longest expected time; delay before the first probe, then doubled
	lastProbeShare      = 3.2   // of the same; longest delay, about how long a recovered searcher stays unused
	initialLatencyShare = 0.125 // of the expected time; assumed latency of a forward before any answer
	warmLatencyShare    = 0.25  // of longest expected time; a warm searcher's time per part in an all-cold fleet

	warmRateHalfLife = 60000 * ms // ns; machines change slowly, overload and idle periods are shorter

	coldMargin         = 0.8    // of what a cold searcher can take; share that all mixers together send
	coldDeviations     = 2.0    // standard deviations of margin; 3 leaves cold searchers idle during rollouts
	admissionShare     = 0.33   // of the time left; latency admitted: 0.2 leaves searchers idle, 0.42 overloads
	twoStepFactor      = 1.6    // predicted time of both steps over the first: the second has lighter parts
	retryAfterShare    = 0.08   // of the time left; wait advised to a rejected client
	maxHedgeShare      = 0.15   // hedges per forward on an idle fleet; more do not shorten lookups further
	hedgeLoadFactor    = 2.5    // how fast that share falls as latency takes more of the expected time
	deadlineMargin     = 8 * ms // ns; final answers are sent this early to arrive in time
	minProbes          = 0.5    // decayed probes always allowed, about one in 4 s
	probeShare         = 0.03   // of forwards; probes of suspects and silent zones, each may delay a lookup
	crossZoneFactor    = 16.0   // multiple of a forward's time that a CrossPrice of 1 adds
	loanDeviations     = 1.0    // standard deviations of margin a borrower may drop: a steady rate needs less
	maxReportCalls     = 12.0   // calls; largest weight of peer reports: with 4, old own answers dominate
	lastChanceMeans    = 2.5    // means left when a part limited to one forward in flight is sent elsewhere
	recallLatencyShare = 0.7    // of the time left; longest predicted time of the forward elsewhere
	epsilon            = 1e-6   // tolerance for rounding in sums of weights

	blockedPartDelay    = 50 * ms  // ns; delay before retrying a part that no holder may take
	silentZoneLosses    = 3        // forwards lost in a row that make a zone without answers silent
	firstListRetryDelay = 500 * ms // ns; after a failed list call, doubled up to a third of AskWithin

	connLossHalfLife     = 8000 * ms // ns; of loss statistics of idle and new connections
	idleLossFactor       = 2.0       // loss rate allowed on idle connections over that on new, which are few
	idleLossThreshold    = 1.0       // forwards lost on idle connections beyond that rate before closing them
	customerPriorLookups = 1.0       // lookups added to a customer's use and share: each mixer sees few of them
)

// Mixer distributes the lookups of one process. Mixers exchange state only through Observations and
// UpdatePeerReports. A Mixer is not safe for concurrent use.
type Mixer struct {
	config    Config
	env       Environment
	rng       *rand.Rand
	latencies []DecayingStats // of forwards, by tariff
	searchers map[string]*searcher
	cells     [][]*searcher // by cell, in the order first listed

	fleetPace                            DecayingRatio // latency times searcher size, over calls in flight
	zones                                map[string]*zone
	sentForwards, sentHedges, sentProbes DecayingSum   // all forwards; hedges and probes among them
	idleConnLoss, newConnLoss            DecayingRatio // lost over sent forwards, on idle and on new connections
	budgetEarned, budgetSpent            []int64       // times of new lookups and parts, and of retries
	warmAnswers, warmRate                DecayingSum   // answers of warm searchers; own share of one's parts per ns
	lastAnswer                           int64         // of any searcher
	subscribing                          bool          // a list call is pending or the subscription is active
	longestExpected                      float64       // ns; longest expected time of any tariff
	listFailures                         int
	customerLookups                      []DecayingSum // lookups by customer, index 0 for unknown ones
	coldHeldUntil                        int64         // end of the hold on its own cold allowance
	reviewEpoch, eventCount              int64         // version of what reviews read; method calls
	reviewScratch                                      // buffers reused by reviews
}

// zone is the state of one zone: the time of its last answer, and the forwards sent since then and lost.
type zone struct{ lastAnswer, lost int64 }

func (z *zone) silent() bool { return z.lost >= silentZoneLosses }

// searcher is the state of one listed backend.
type searcher struct {
	id                       string
	cell                     int
	size                     float64 // from the list, 1 where it gives none
	zone                     *zone
	status                   Status
	started                  int64
	callsOut, partsOut       int // calls in flight, which water-filling levels, and parts in them
	newestCall               *call
	pace, recentPace         DecayingRatio // ns per call in flight (higher is slower); recent for peers
	lastAnswer, lastForward  int64
	unansweredWait           int64 // ns; total wait of failed forwards sent since the last answer
	suspect                  bool  // only probed until it answers
	probeInterval, nextProbe int64
	coldCredit               float64 // of one part that may be sent while cold, as of coldCreditAt
	coldCreditAt             int64
	inFlight                 []*forward // oldest first
	report                   PeerReport
	coldDemand, sentForwards DecayingSum // sent or lacking cold credit; all sent
	searcherCache
}

// cutOff reports whether no answer can come: the process is gone, or its whole zone is silent.
func (f *forward) cutOff() bool {
	return f.searcher.status == Dead || f.processStart != f.searcher.started ||
		f.searcher.zone.silent() && f.sentAt >= f.searcher.zone.lastAnswer
}

// lost reports whether the forward is no longer waited for: cut off, presumed lost, or sent to a suspect.
func (f *forward) lost() bool { return f.presumedLost || f.searcher.suspect || f.cutOff() }

// mayHaveRun reports whether the searcher may have run the forward; one in flight may have.
func (f *forward) mayHaveRun() bool { return !f.done || f.ran }

// New returns a Mixer that acts through env. The seed makes its random choices reproducible.
func New(now int64, c Config, seed int64, env Environment) *Mixer {
	m := &Mixer{config: c, env: env, rng: rand.New(rand.NewSource(seed)),
		latencies: make([]DecayingStats, len(c.Tariffs))}
	m.customerLookups = make([]DecayingSum, 1+len(c.Allowances))
	m.cells, m.searchers, m.zones = make([][]*searcher, c.Cells), map[string]*searcher{}, map[string]*zone{}
	m.longestExpected = float64(ms)
	for _, t := range c.Tariffs {
		m.longestExpected = max(m.longestExpected, float64(t.Expected))
	}
	m.warmRate = DecayingSum{1 / (warmLatencyShare * m.longestExpected) / c.coldUsers(), now}
	if c.ListAsked {
		m.HandleTimer(now)
	}
	return m
}
