package capacity

import "math"

// The operators' plan for two years on.
const (
	Mixers    = 6300.0
	Searchers = 37000.0
	Queries   = 820000.0 // a second, over all mixers
	Parts     = 88.0     // searchers that a query asks
	Answer    = 0.057    // s, for 99 queries in 100
	Regions   = 4.0
	ZonesAll  = 8.0    // if 8 zones is the count of all
	ZonesEach = 32.0   // if 8 zones is the count of each region
	Changes   = 4900.0 // of configuration, a day
	InForce   = 6.0    // s until a change is in force everywhere
	Failures  = 120.0  // machines, on an ordinary day
	Restarts  = 9100.0 // machines restarted or replaced, a day
	Control   = 7.0    // machines set aside for control
)

// What a mixer may spend for control.
const (
	BudgetCore   = 0.035 // of a core
	BudgetMemory = 128e6 // B
	BudgetNet    = 10e3  // B/s
)

// What the plan does not name and the sums need. The first are as in example/config.json, the others are assumed.
const (
	keepAlive    = 30.0 // s after which a searcher closes an idle connection
	coldFrom     = 0.2  // of its capacity, with which a searcher starts
	coldFor      = 10.0 // s until it is warm
	fallMultiple = 2.0  // of what a cold one bears, that it falls over by
	fallFor      = 1.0  // s in which that is counted

	budgetFor  = 10.0   // s in which the forward budget is counted, where one is set
	answerTime = 0.010  // s that a searcher takes for a part, in the mean
	rack       = 40.0   // machines of a rack
	news       = 3.0    // messages of the list for a restart: draining, gone, serving
	lockShare  = 0.5    // of its time that the module's lock may be held: beyond it waiting outgrows work
	controlNet = 1.25e9 // B/s that a machine for control sends at most, 10 Gbit/s
	secondsDay = 86400.0
)

// Bounds of the program, held to it by a test.
const (
	boundLine     = 8 << 20 // B of one message of the list, charter.Limits.MaxListMessageBytes
	boundLearnt   = 4 << 20 // B of the file of what is learnt, learnt.maxFileBytes
	boundSettings = 1 << 20 // B of our own settings, settings.maxFile
	boundMembers  = 9999.0  // of the fleet, by the form of fleet/members
	endMargin     = 0.008   // s before its end that an answer is sent, mixer.deadlineMargin
	room          = 0.33    // of the time left that a query may be predicted to take, mixer.admissionShare
	coldMargin    = 0.8     // mixer.coldMargin
	coldSpread    = 2.0     // mixer.coldDeviations
)

// Machines are all that are counted where machines fail or restart: those of the front and for control are few beside these.
func Machines() float64 { return Mixers + Searchers }

// QueriesEach is how many queries a second one mixer has.
func QueriesEach() float64 { return Queries / Mixers }

// PartsEach is how many parts a second one mixer sends.
func PartsEach() float64 { return QueriesEach() * Parts }

// PartsAt is how many parts a second one searcher gets.
func PartsAt() float64 { return Queries * Parts / Searchers }

// Meets is how often a second one mixer meets one searcher.
func Meets() float64 { return PartsEach() / Searchers }

// Outstanding is how many parts of one mixer are out at one searcher in the mean (Little).
func Outstanding() float64 { return Meets() * answerTime }

// NoneOut is the share of time in which a mixer has no part out at a searcher, parts coming by chance.
func NoneOut() float64 { return math.Exp(-Outstanding()) }

// idle is how long a connection may lie idle before a mixer closes it, charter.Limits.IdleTimeout.
func idle(keepAlive float64) float64 { return keepAlive - keepAlive/8 }

// Connections is how many connections a mixer has to searchers, in the mean, where it uses all.
func Connections(keepAlive float64) float64 { return ConnectionsOf(Searchers, keepAlive) }

// ConnectionsAt is how many a searcher has from mixers.
func ConnectionsAt(keepAlive float64) float64 { return Connections(keepAlive) * Mixers / Searchers }

// Descriptors is how many a mixer must be allowed for its connections to searchers: half of what is allowed is kept for clients.
func Descriptors(keepAlive float64) float64 { return 2*Connections(keepAlive) + 32 }

// Handshakes is the share of parts that need a new connection where a mixer uses all searchers.
func Handshakes(keepAlive float64) float64 { return HandshakesOf(Searchers, keepAlive) }

// PartQuantile is the share of parts that must be in time so that 99 queries of 100 are whole in time, parts being late apart.
func PartQuantile() float64 { return math.Pow(0.99, 1/Parts) }

// ColdWindow is how many parts all mixers may send to a searcher that has just started in the time in which its fall is counted
// (mixer.coldShare), and what of it is one mixer's. What a warm one bears they take to be what it is sent (mixer.measure).
func ColdWindow() (all, each float64) {
	most := PartsAt() * coldFrom * fallMultiple * coldMargin * fallFor
	spread := math.Sqrt(most+coldSpread*coldSpread/4) - coldSpread/2
	all = math.Max(spread*spread, math.Min(most, Mixers*math.Floor((most+1)/Mixers)))
	return all, all / Mixers
}

// HoldersOf is how many searchers hold each part where there are as many cells as a query has parts.
func HoldersOf() float64 { return Searchers / Parts }

// NewsRate is how many messages of the list a second tell of the machines that restart or fail, all taken as searchers.
func NewsRate() float64 { return (Restarts + Failures) * news / secondsDay }

// Lost is what of a whole is in one zone.
func Lost(of, zones float64) float64 { return of / zones }

// LockHeld is the share of its time in which the module's lock is held by queries of so many seconds each.
func LockHeld(each float64) float64 { return QueriesEach() * each }
