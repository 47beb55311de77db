package capacity

import (
	"fmt"
	"math"
)

// Sum is what one role holds, sends or works at the size of the plan.
type Sum struct {
	Role, What string
	Amount     float64 // not a number: not measured yet
	Unit       string
	Budget     float64 // 0: the plan names none
	By         string  // what carries it, by package, or "missing"
	From       string  // the curve that gave the slope, or "arithmetic"
}

// Over is the amount as a multiple of its budget, not a number without one.
func (s Sum) Over() float64 {
	if s.Budget == 0 {
		return math.NaN()
	}
	return s.Amount / s.Budget
}

// unmeasured is the amount of what nobody has measured.
var unmeasured = math.NaN()

// sumSources give the rows of the page's first table in its order; a file with sums of its own adds its function here.
var sumSources = []func() []Sum{mixerControl, mixerQueries, searcherSums, otherRoles}

// Sums gives all rows.
func Sums() (all []Sum) {
	for _, source := range sumSources {
		all = append(all, source()...)
	}
	return all
}

// lockMost is the longest that a list may hold the module's lock, in s.
const lockMost = 0.001

// WholeBytes is the whole list of the plan in bytes.
func WholeBytes() float64 { return listBytes.At(Searchers) }

// ListHeld is what a mixer holds of the list: module, table of connections and watch.
func ListHeld() float64 {
	return moduleHeld.At(Searchers) + tableHeld.At(Searchers) + watchHeld.At(Searchers)
}

// StartsEach is how often a day one mixer starts on an ordinary day.
func StartsEach() float64 { return (Restarts + Failures) / Machines() }

// NewsBytes is what changes of the list are to a mixer, in bytes a second.
func NewsBytes() float64 { return NewsRate() * changeBytes.At(Searchers) }

// NewsCore is the processor time of these, as a share of a core.
func NewsCore() float64 { return NewsRate() * (changeTime.At(Searchers) + oneTime.At(Searchers)) }

// WholeTime is the processor time of a whole list that a mixer takes: reading it, and giving it to the module.
func WholeTime() float64 { return listTime.At(Searchers) + firstTime.At(Searchers) }

func mixerControl() []Sum {
	const role = "mixer, control"
	n := Searchers
	return []Sum{
		{role, "state of the list: module, table of connections, watch", ListHeld(), "B", BudgetMemory,
			"`mixer`, `internal/transport`", "bytes held / searchers"},
		{role, "and what one reading of the whole list allocates on top", ListHeld() + listAllocated.At(n), "B", BudgetMemory,
			"`internal/protocol`", "list: reading it whole, bytes allocated"},
		{role, "changes of the list, in", NewsBytes(), "B/s", BudgetNet, "`internal/transport` (watch)", "list: bytes of one change"},
		{role, "changes of the list, processor", NewsCore(), "cores", BudgetCore, "`internal/protocol`, `mixer`",
			"list: reading one change; module: one change"},
		{role, "whole list at each start, in, in the mean of a day", StartsEach() * WholeBytes() / secondsDay, "B/s", BudgetNet,
			"`internal/transport` (watch)", "list: bytes of the whole"},
		{role, "whole list within 6 s, in", WholeBytes() / InForce, "B/s", BudgetNet, "`internal/transport` (watch)",
			"list: bytes of the whole"},
		{role, "whole list: reading, beside queries", listTime.At(n), "s", 0, "`internal/protocol`", "list: reading it whole"},
		{role, "whole list: telling it beside queries, the first time", firstTime.At(n), "s", 0, "`internal/listing`, `mixer`",
			"module: whole list first, in all"},
		{role, "whole list: telling it beside queries, again", againTime.At(n), "s", 0, "`internal/listing`",
			"module: whole list again, in all"},
		{role, "whole list: longest hold of the module's lock, the first time", firstHold.At(n), "s", lockMost, "`mixer`, `internal/routing`",
			"module: whole list first, longest hold of the lock"},
		{role, "whole list, a seventh changed: longest hold of the module's lock", changedHold.At(n), "s", lockMost,
			"`mixer`, `internal/routing`", "module: whole list, a seventh changed, longest hold of the lock"},
		{role, "whole list: against the bound of a message", WholeBytes(), "B", boundLine, "`internal/protocol` (news)",
			"list: bytes of the whole"},
		{role, "file of what is learnt, against its bound", learntBytes.At(n), "B", boundLearnt, "`internal/learnt`",
			"learnt: bytes of the file"},
		{role, "the platform's configuration at a start", configBytes.At(n), "B", 0, "`internal/protocol`",
			"settings: bytes of the platform's configuration"},
		{role, "our own settings with a route to each mixer, against their bound", settingsBytes.At(Mixers), "B", boundSettings,
			"`internal/settings`", "settings: bytes of our own"},
	}
}

func mixerQueries() []Sum {
	const role = "mixer, queries"
	each := QueriesEach()
	return []Sum{
		{role, "queries", each, "1/s", 0, "`internal/transport`", "arithmetic"},
		{role, "parts, and answers to them", PartsEach(), "1/s", 0, "`internal/transport`", "arithmetic"},
		{role, "frames to searchers, out", each * framesOut.At(Parts), "B/s", 0, "`internal/protocol`",
			"query: bytes of all its frames out"},
		{role, "frames of searchers, in", each * framesIn.At(Parts), "B/s", 0, "`internal/protocol`",
			"query: bytes of all frames in"},
		{role, "module's lock, 4 holders a part", LockHeld(routerTime.At(Parts)), "cores", lockShare, "`mixer`, `internal/routing`",
			"query: in the router"},
		{role, fmt.Sprintf("module's lock, %.0f holders a part (88 cells)", HoldersOf()),
			LockHeld(queryByHolders.At(HoldersOf())), "cores", lockShare,
			"`mixer` (pick)", "query of 88 parts: in the module / holders of a part"},
		{role, fmt.Sprintf("module's lock, a subset of %.0f holders a part", SubsetHolders), LockHeld(queryByHolders.At(SubsetHolders)), "cores",
			lockShare, "`mixer` (pick), `internal/subset`", "query of 88 parts: in the module / holders of a part"},
		{role, fmt.Sprintf("module's lock with a forward budget of %.0f s, 4 holders", budgetFor),
			LockHeld(queryByBudget.At(each * (Parts + 1) * budgetFor)), "cores", lockShare, "`mixer` (maySend, slide)",
			"query of 88 parts, with a forward budget: in the module"},
		{role, "reading and writing of requests and frames", LockHeld(wireTime.At(Parts)), "cores", 0, "`internal/protocol`",
			"query: reading and writing all of it"},
		{role, "sockets: system calls, TLS", unmeasured, "cores", 0, "`internal/transport`", "not measured yet"},
		{role, "connections to searchers, idle ones kept 30 s", Connections(keepAlive), "1", 0, "`internal/transport`", "arithmetic"},
		{role, "descriptors that the platform must allow for these", Descriptors(keepAlive), "1", 0,
			"`internal/charter` (Conns)", "arithmetic"},
		{role, "a new connection where descriptors are short: the whole call, another's socket closed too", spareTime.At(Searchers), "s",
			0, "`internal/transport`, `internal/conns`", "connections: one call where descriptors are short"},
		{role, "of it, choosing which and closing it in the table, 37,000 idle, within a budget", choiceTime.At(Searchers), "s",
			0, "`internal/conns`", "connections: closing one for another in the pool"},
		{role, "the same, for each part: the table's lock", PartsEach() * choiceTime.At(Searchers), "cores", lockShare, "`internal/conns`",
			"connections: closing one for another in the pool"},
		{role, "memory of the connections, heap and stacks",
			connectionsHeld.At(Connections(keepAlive)) + connectionsStacks.At(Connections(keepAlive)), "B", 0,
			"`internal/transport`", "connections: bytes on the heap; connections: bytes of stacks"},
		{role, "new connections, idle ones kept 30 s", PartsEach() * Handshakes(keepAlive), "1/s", 0,
			"`internal/transport`", "arithmetic"},
		{role, "new connections, idle ones kept 0.8 s", PartsEach() * Handshakes(0.8), "1/s", 0, "`internal/transport`",
			"arithmetic"},
		{role, "parts out at one searcher, in the mean", Outstanding(), "1", 0, "`mixer`", "arithmetic"},
	}
}

func searcherSums() []Sum {
	const role = "searcher, from us"
	_, each := ColdWindow()
	return []Sum{
		{role, "parts", PartsAt(), "1/s", 0, "`internal/transport`", "arithmetic"},
		{role, "of these from one mixer", Meets(), "1/s", 0, "`mixer`", "arithmetic"},
		{role, "frames in", PartsAt() * framesOut.At(Parts) / Parts, "B/s", 0, "`internal/protocol`",
			"query: bytes of all its frames out"},
		{role, "frames out", PartsAt() * framesIn.At(Parts) / Parts, "B/s", 0, "`internal/protocol`",
			"query: bytes of all frames in"},
		{role, "connections of mixers, idle ones kept 30 s", ConnectionsAt(keepAlive), "1", 0, "`internal/transport`", "arithmetic"},
		{role, "when cold: parts that one mixer may send in 1 s", each, "1", 0,
			"`mixer` (cold); shared: `internal/sharing`", "arithmetic"},
		{role, "probes of site judgement", unmeasured, "1/s", 0, "`internal/fleet/sites`", "not measured yet"},
	}
}

func otherRoles() []Sum {
	watched := Mixers * NewsBytes()
	return []Sum{
		{"agent on the mixer's machine", "changes of the list, in and out", NewsBytes(), "B/s", 0, "the platform's",
			"list: bytes of one change"},
		{"agent on the mixer's machine", "list held, as written", WholeBytes(), "B", 0, "the platform's", "list: bytes of the whole"},
		{"discovery", "changes of the list to all mixers' agents, one copy each", Mixers * NewsRate(), "1/s", 0,
			"the platform's", "arithmetic"},
		{"discovery", "the same in bytes", watched, "B/s", 0, "the platform's", "list: bytes of one change"},
		{"7 machines for control", "each, if they told the list to all agents", watched / Control, "B/s", controlNet,
			"missing", "list: bytes of one change"},
		{"7 machines for control", "watches on each", Mixers / Control, "1", 0, "missing", "arithmetic"},
		{"clients' front", "requests, out", Queries * requestBytes.At(Parts), "B/s", 0, "the platform's",
			"query: bytes of the client's request"},
		{"clients' front", "answers, in", Queries * answerBytes.At(Parts), "B/s", 0, "the platform's",
			"query: bytes of the client's answer"},
	}
}
