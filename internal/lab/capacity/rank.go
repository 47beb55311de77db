package capacity

import (
	"math"
	"slices"
)

// Ranked is a mechanism and the share of the size at which it first leaves its budget. The size grows with all that the plan
// counts at once: mixers, searchers, queries, changes, restarts and failures; a query's parts, zones and regions stay.
type Ranked struct {
	What     string
	Share    float64 // 0: at any size; not a number: not measured yet
	Of       string  // what grows instead of the size, "" where it is the size
	Budget   string
	By, From string
}

// shareAt finds by halving at which share of the size a cost that grows with it meets its budget, up to a hundred times the size.
func shareAt(cost func(share float64) float64, budget float64) float64 {
	low, high := 0.0, 100.0
	if cost(1e-6) > budget {
		return 0
	}
	if cost(high) <= budget {
		return math.Inf(1)
	}
	for range 100 {
		if middle := (low + high) / 2; cost(middle) > budget {
			high = middle
		} else {
			low = middle
		}
	}
	return (low + high) / 2
}

// ShareAt finds at which share of the size a cost that grows with it meets its budget, up to a hundred times the size; 0 if it is over at any.
func ShareAt(cost func(share float64) float64, budget float64) float64 { return shareAt(cost, budget) }

func rank(what string, share float64, budget, by, from string) Ranked {
	return Ranked{What: what, Share: share, Budget: budget, By: by, From: from}
}

// rankSources give the mechanisms; a file with more adds its function here.
var rankSources = []func() []Ranked{rankOwn}

// Rank gives the mechanisms, that which leaves its budget first in front, those that nobody has measured last.
func Rank() (all []Ranked) {
	for _, source := range rankSources {
		all = append(all, source()...)
	}
	return InOrder(all)
}

// InOrder sorts mechanisms: that which leaves its budget first in front, those that nobody has measured last.
func InOrder(all []Ranked) []Ranked {
	slices.SortStableFunc(all, func(a, b Ranked) int {
		switch x, y := math.IsNaN(a.Share), math.IsNaN(b.Share); {
		case x && y || a.Share == b.Share:
			return 0
		case x:
			return 1
		case y || a.Share < b.Share:
			return -1
		}
		return 1
	})
	return all
}

func rankOwn() []Ranked {
	zone := func(zones float64) float64 {
		return shareAt(func(s float64) float64 { return Burst(s * Lost(Searchers, zones)) }, BudgetNet)
	}
	held := func(s float64) float64 {
		n := s * Searchers
		return moduleHeld.At(n) + tableHeld.At(n) + watchHeld.At(n) + listAllocated.At(n)
	}
	const queries, half = "a mixer's queries", "half of the lock's time (assumed)"
	window := QueriesEach() * (Parts + 1) * budgetFor
	of := func(r Ranked, what string) Ranked {
		r.Of = what
		return r
	}
	return []Ranked{
		rank("settings in force within 6 s, without relays", 0, "6 s; one restart a day and mixer",
			"`internal/fleet/relay` where `<control>` is set, else missing", "arithmetic"),
		rank("the list to all agents from 7 machines: whole lists of all mixers at once",
			shareAt(func(s float64) float64 { return s * Mixers * listBytes.At(s*Searchers) / Control / InForce }, controlNet),
			"10 Gbit/s a machine (assumed), 6 s", "missing", "list: bytes of the whole"),
		of(rank("module's lock with a forward budget of 10 s, 4 holders a part",
			shareAt(func(s float64) float64 { return LockHeld(s * queryByBudget.At(s*window)) }, lockShare),
			half, "`mixer` (maySend, slide)", "query of 88 parts, with a forward budget: in the module"), queries),
		of(rank("connections' lock, descriptors short, a new connection for each part",
			shareAt(func(s float64) float64 { return s * PartsEach() * choiceTime.At(Searchers) }, lockShare),
			half, "`internal/conns`", "connections: closing one for another in the pool"), queries),
		rank("module's lock, searchers in 88 cells",
			shareAt(func(s float64) float64 { return LockHeld(queryByHolders.At(s * HoldersOf())) }, lockShare), half,
			"`mixer` (pick)", "query of 88 parts: in the module / holders of a part"),
		of(rank("module's lock, a subset of 32 holders a part", lockShare/LockHeld(queryByHolders.At(SubsetHolders)), half,
			"`mixer` (pick), `internal/subset`", "query of 88 parts: in the module / holders of a part"), queries),
		of(rank("module's lock, 4 holders a part", lockShare/LockHeld(routerTime.At(Parts)), half,
			"`mixer`, `internal/routing`", "query: in the router"), queries),
		rank("whole list to one mixer within 6 s",
			shareAt(func(s float64) float64 { return listBytes.At(s*Searchers) / InForce }, BudgetNet),
			"10 KB/s in any 6 s", "`internal/transport` (watch)", "list: bytes of the whole"),
		rank("loss of a zone told to one mixer within 6 s, 8 zones in all", zone(ZonesAll), "10 KB/s in any 6 s",
			"`internal/transport` (watch)", "list: bytes of one change"),
		rank("the same, 8 zones a region", zone(ZonesEach), "10 KB/s in any 6 s", "`internal/transport` (watch)",
			"list: bytes of one change"),
		rank("changes of the list on an ordinary day, one mixer",
			shareAt(func(s float64) float64 { return s * NewsBytes() }, BudgetNet),
			"10 KB/s", "`internal/transport` (watch)", "list: bytes of one change"),
		rank("the same, processor", shareAt(func(s float64) float64 { return s * NewsCore() }, BudgetCore),
			"3.5% of a core", "`internal/protocol`, `mixer`",
			"list: reading one change; module: one change"),
		rank("memory for the list while a whole one is read", shareAt(held, BudgetMemory), "128 MB",
			"`internal/protocol`, `mixer`", "bytes held / searchers; list: reading it whole, bytes allocated"),
		rank("file of what is learnt", shareAt(func(s float64) float64 { return learntBytes.At(s * Searchers) },
			boundLearnt), "4 MiB, its bound", "`internal/learnt`",
			"learnt: bytes of the file"),
		rank("whole list as one message", shareAt(func(s float64) float64 { return listBytes.At(s * Searchers) },
			boundLine), "8 MiB, its bound", "`internal/protocol` (news)",
			"list: bytes of the whole"),
		rank("our own settings with a route to each mixer",
			shareAt(func(s float64) float64 { return settingsBytes.At(s * Mixers) }, boundSettings), "1 MiB, its bound",
			"`internal/settings`", "settings: bytes of our own"),
		rank("members of a fleet, by the settings' form", boundMembers/Mixers, "9,999", "`internal/settings`", "arithmetic"),
		rank("module's lock while a whole list comes again",
			shareAt(func(s float64) float64 { return changedHold.At(s * Searchers) }, Answer-endMargin-room*(Answer-endMargin)),
			"what of 49 ms a query admitted at 0.33 of it has left", "`mixer`",
			"module: whole list, a seventh changed, longest hold of the lock"),
	}
}
