package capacity

import "math"

// SubsetHolders is how many holders of each part a mixer uses at the least where it keeps to a subset of them and nothing else is set
// (least, in docs/operators-subset.md). By the plan's traffic it would use 47 (docs/subset.md, How many).
const SubsetHolders = 32.0

func init() { sumSources = append(sumSources, budgetSums) }

// Used is how many searchers a mixer uses so.
func Used() float64 { return SubsetHolders * Parts }

// MeetsOf is how often a second a mixer meets each searcher where it uses so many, evenly.
func MeetsOf(used float64) float64 { return PartsEach() / used }

// ConnectionsOf is how many connections a mixer has in the mean to the searchers that it uses, parts coming by chance: to those that were
// sent something within the idle time.
func ConnectionsOf(used, keepAlive float64) float64 {
	return used * (1 - HandshakesOf(used, keepAlive))
}

// HandshakesOf is the share of parts that need a new connection: nothing was sent there for the idle time.
func HandshakesOf(used, keepAlive float64) float64 { return math.Exp(-MeetsOf(used) * idle(keepAlive)) }

// MixersAt is how many mixers use one searcher, in the mean, where each uses so many.
func MixersAt(used float64) float64 { return Mixers * used / Searchers }

// ConnectionsAtOf is how many connections mixers have to one searcher, in the mean; never more than MixersAt while parts of one mixer there
// have room on one.
func ConnectionsAtOf(used, keepAlive float64) float64 {
	return MixersAt(used) * ConnectionsOf(used, keepAlive) / used
}

// Kept is the share of parts that find a connection where only so many are kept of those used, evenly and at random: no order of closing
// does better then.
func Kept(open, used float64) float64 { return min(1, open/used) }

// StartFor is how long a mixer that has just started takes until it has a connection to each searcher that it uses, at so many handshakes a
// second, a second's of them at once.
func StartFor(used, handshakes float64) float64 { return max(0, used/handshakes-1) }

func budgetSums() []Sum {
	const role, by = "mixer, 32 holders a part", "`internal/conns`, `internal/transport`"
	used := Used()
	return []Sum{
		{role, "searchers that it uses", used, "1", 0, "assumed", "arithmetic"},
		{role, "connections, idle ones kept 30 s", ConnectionsOf(used, keepAlive), "1", 0, by, "arithmetic"},
		{role, "connections, idle ones kept 0.8 s", ConnectionsOf(used, 0.8), "1", 0, by, "arithmetic"},
		{role, "new connections, idle ones kept 0.8 s", PartsEach() * HandshakesOf(used, 0.8), "1/s", 0, by, "arithmetic"},
		{role, "new connections where half of these may be open", PartsEach() * (1 - Kept(used/2, used)), "1/s", 0, by, "arithmetic"},
		{role, "a start at 500 handshakes a second, until all are there", StartFor(used, 500), "s", 0, by, "arithmetic"},
		{"searcher, from us", "mixers that use it, 32 holders a part", MixersAt(used), "1", 0, by, "arithmetic"},
		{"searcher, from us", "connections of these, idle ones kept 30 s", ConnectionsAtOf(used, keepAlive), "1", 0, by, "arithmetic"},
		{"searcher, from us", "connections of these, idle ones kept 0.8 s", ConnectionsAtOf(used, 0.8), "1", 0, by, "arithmetic"},
	}
}
