package capacity

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

// What the plan does not name and the sums need; as in example/config.json unless said otherwise.
const (
	keepAlive    = 30.0 // s after which a searcher closes an idle connection
	coldFrom     = 0.2  // of its capacity, with which a searcher starts
	fallMultiple = 2.0  // of what a cold one bears, that it falls over by
	fallFor      = 1.0  // s in which that is counted
	budgetFor    = 10.0 // s in which the forward budget is counted; assumed
)
