// Package fleetcost reckons what each role of the router fleet costs at the size to design for, from slopes that are measured with the
// programs' own code (curves.go), and ranks what leaves its budget first (sums.go). docs/CAPACITY.md has its tables.
package fleetcost

// The operators' plan for two years on.
const (
	Mixers      = 1600.0
	Backends    = 6300.0
	Requests    = 39000.0 // a second, at the peak
	TokensOut   = 9.7e6   // a second
	FirstToken  = 0.69    // s, for 95 in 100
	Gap         = 0.044   // s between tokens, for 95 in 100
	KeptBlocks  = 130e6
	KVEvents    = 1.1e6 // a second
	Tenants     = 3400.0
	Models      = 32.0
	Regions     = 4.0
	Zones       = 12.0
	Changes     = 25000.0 // of configuration, a day
	InForce     = 7.0     // s until a change is in force everywhere
	ControlSet  = 16.0    // machines set aside for control
	Failures    = 60.0    // machines, on an ordinary day
	Restarts    = 2700.0  // machines restarted or replaced, a day
	secondsDay  = 86400.0
	controlLink = 1.25e9 // B/s that a machine for control sends at most, 10 Gbit/s
)

// What a mixer may spend for control.
const (
	BudgetCore   = 0.042 // of a core
	BudgetMemory = 64e6  // B
	BudgetNet    = 6e3   // B/s
)

// What the plan does not name, assumed as the two sites have it.
const (
	routesEach     = 2.0     // routes for a tenant
	partsOfPrompt  = 3.0     // parts in a prompt
	requestsOut    = 1.0     // s that a request lasts in the mean
	watchHeld      = 0.35    // s that a call of a session is held, controller.watchHold
	newsLeast      = 0.06    // s between news of a hub, agent.flushInterval, while its zone is small
	hubMessages    = 400     // a second that a hub sends to its zone at the most, agent.hubMessagesPerSecond
	coreInterval   = 0.15    // s between heartbeats of the core, chain.Timing
	batchInterval  = 0.7     // s between two pages of a backend's events, agent.eventsPollInterval
	membersPerLife = 2.0     // changes of the members for one restart
	listPerLife    = 3.0     // changes of the list for one restart of a backend
	listFraction   = 0.8     // of machines that restart, backends
	syncTime       = 0.005   // s of a disk's sync
	snapshotEvery  = 2 << 20 // B of entries after which the state is written whole, chain.snapshotBytes
	compactRatio   = 4.0     // durable.compactRatio
	diskBudget     = 128e6   // B of a core machine's disk
)

// Routes is how many the configuration has.
func Routes() float64 { return Tenants * routesEach }

// RequestsEach is what one mixer takes, a second.
func RequestsEach() float64 { return Requests / Mixers }

// Lives is how many machines restart or are replaced, a second.
func Lives() float64 { return (Restarts + Failures) / secondsDay }
