package fleetcost

import (
	"math"

	"nettlefold/internal/lab/capacity"
)

// Sizes grow together in the rank: at a share of the plan there are as many of everything that it counts.

// newsInterval is the time between news of a hub, in s: it grows with the mixers of its zone.
func newsInterval(share float64) float64 { return max(newsLeast, share*Mixers/Zones/hubMessages) }

// loadsIn is what the hub of its zone tells a mixer of loads, in bytes a second: the backends at which something changed, by requests
// that begin and end evenly over all.
func loadsIn(share float64) float64 {
	backends := share * Backends
	changes := share * Requests * 2 * newsInterval(share)
	changed := backends * (1 - math.Exp(-changes/backends))
	return loadsBytes.At(changed) / newsInterval(share)
}

// hubOut is what the hub of a zone sends, in bytes a second: loads and events to each mixer of it.
func hubOut(share float64) float64 {
	return share * Mixers / Zones * (loadsIn(share) + eventsOut(share))
}

// eventsOut is what the owners of all events tell one other mixer, in bytes a second.
func eventsOut(share float64) float64 {
	each := KVEvents / Backends * batchInterval // of one backend in a batch
	return share * Backends / batchInterval * batchBytes.At(each)
}

// membersIn is what comings and goings of agents are to a mixer, in bytes a second: the whole members each time.
func membersIn(share float64) float64 {
	agents := share * Lives() * Mixers / (Mixers + Backends)
	return agents * membersPerLife * membersBytes.At(share*Mixers)
}

// listIn is what changes of the list are to a mixer, in bytes a second: the whole list each time.
func listIn(share float64) float64 {
	return share * Lives() * listFraction * listPerLife * listBytes.At(share*Backends)
}

// configIn is what changes of the configuration are to a mixer, in bytes a second: the whole document each time.
func configIn(share float64) float64 {
	return share * Changes / secondsDay * snapshotBytes.At(share*Routes())
}

// indexBytes is what a mixer holds of the index: all of it.
func indexBytes(share float64) float64 { return indexHeld.At(share * KeptBlocks) }

// pickCore is the processor time of choices, as a share of a core; it belongs to the requests.
func pickCore(share float64) float64 { return RequestsEach() * pickTime.At(share*Backends) }

// sessionCalls is how many calls of sessions a controller serves, a second, with one machine down.
func sessionCalls(share float64) float64 { return share * Mixers / (ControlSet - 1) / watchHeld }

// heartbeatsIn is what the heartbeats of the core are to one of it, in bytes a second.
func heartbeatsIn() float64 { return (ControlSet - 1) / coreInterval * heartbeatBytes.A }

// startOut is how long a machine for control sends when all mixers start at once, in s.
func startOut(share float64) float64 {
	each := snapshotBytes.At(share*Routes()) + membersBytes.At(share*Mixers)
	return share * Mixers / (ControlSet - 1) * each / controlLink
}

// diskMost is what a core machine's disk holds at the most: a file of compactRatio times what is live, and what is live once more while it
// is replaced. Live are a snapshot, and the entries since.
func diskMost(share float64) float64 {
	document := snapshotPlain.At(share * Routes())
	live := 2*document + snapshotEvery
	return (compactRatio + 1) * live
}

// Sums gives what each role holds, sends and works at the size.
func Sums() []capacity.Sum {
	const mixer, core, data = "mixer, control", "controller", "mixer, requests"
	return []capacity.Sum{
		{Role: mixer, What: "index of kept prompts, all of it", Amount: indexBytes(1), Unit: "B", Budget: BudgetMemory,
			By: "`internal/kvindex`; shards by prefix are missing", From: "held by the index"},
		{Role: mixer, What: "events of all backends, in", Amount: eventsOut(1), Unit: "B/s", Budget: BudgetNet,
			By: "`internal/agent`; asking shards is missing", From: "a batch of events on a link"},
		{Role: mixer, What: "loads of all others, from the hub of its zone, in", Amount: loadsIn(1), Unit: "B/s", Budget: BudgetNet,
			By: "`internal/agent` (hubs); asking by backend is missing", From: "all loads on a link"},
		{Role: "hub of a zone", What: "loads and events to its mixers, out", Amount: hubOut(1), Unit: "B/s", Budget: controlLink,
			By: "`internal/agent` (hubs)", From: "all loads on a link; a batch of events on a link"},
		{Role: mixer, What: "configuration, whole at each change, in", Amount: configIn(1), Unit: "B/s", Budget: BudgetNet,
			By: "`internal/distribute`; deltas are missing", From: "a snapshot on a link"},
		{Role: mixer, What: "members, whole at each change, in", Amount: membersIn(1), Unit: "B/s", Budget: BudgetNet,
			By: "`internal/controller`; deltas are missing", From: "the members on a link"},
		{Role: mixer, What: "list of backends, whole at each change, in", Amount: listIn(1), Unit: "B/s", Budget: BudgetNet,
			By: "`internal/agent`; deltas are missing", From: "the list on a link"},
		{Role: mixer, What: "calls of the session", Amount: 1 / watchHeld, Unit: "1/s", By: "`internal/agent`", From: "arithmetic"},
		{Role: mixer, What: "table of backends", Amount: tableHeld.At(Backends), Unit: "B", Budget: BudgetMemory, By: "`internal/dispatch`", From: "held by the table"},
		{Role: mixer, What: "configuration in force", Amount: configHeld.At(Routes()), Unit: "B", Budget: BudgetMemory, By: "`internal/config`",
			From: "held of a configuration in force"},
		{Role: data, What: "requests", Amount: RequestsEach(), Unit: "1/s", By: "`internal/proxy`", From: "arithmetic"},
		{Role: data, What: "one choice among all backends", Amount: pickTime.At(Backends), Unit: "s", Budget: FirstToken / 100, By: "`internal/dispatch`", From: "a choice"},
		{Role: data, What: "choices, processor", Amount: pickCore(1), Unit: "cores", By: "`internal/dispatch`", From: "a choice"},
		{Role: core, What: "calls of sessions, one machine down", Amount: sessionCalls(1), Unit: "1/s", By: "`internal/controller`", From: "arithmetic"},
		{Role: core, What: "heartbeats, in", Amount: heartbeatsIn(), Unit: "B/s", By: "`internal/chain`", From: "a heartbeat"},
		{Role: core, What: "configuration to its mixers at a change, sending", Amount: Mixers / (ControlSet - 1) * snapshotBytes.At(Routes()) / controlLink, Unit: "s",
			Budget: InForce, By: "`internal/controller`", From: "a snapshot on a link"},
		{Role: core, What: "a change: syncs one after the other, a chain of all 16", Amount: ControlSet * syncTime, Unit: "s", Budget: InForce,
			By: "`internal/chain`", From: "arithmetic"},
		{Role: core, What: "the file at its largest, and the new one beside it", Amount: diskMost(1), Unit: "B", Budget: diskBudget,
			By: "`internal/durable`", From: "a configuration as it was sent"},
	}
}

// Events gives what a rare event costs.
func Events() []capacity.Sum {
	return []capacity.Sum{
		{Role: "start of everybody", What: "snapshots and members of 1,600 mixers from 15 machines, sending", Amount: startOut(1), Unit: "s", Budget: InForce,
			By: "`internal/controller`", From: "a snapshot on a link; the members on a link"},
		{Role: "a zone returns", What: "members told anew to all, for each mixer, if each comes by itself", Amount: 2 * Mixers / Zones * membersBytes.At(Mixers), Unit: "B", Budget: BudgetNet * InForce,
			By: "`internal/controller`; pacing is missing", From: "the members on a link"},
		{Role: "a proxy restarts", What: "index fed whole over loopback", Amount: KeptBlocks * batchBytes.B, Unit: "B",
			By: "`internal/agent`; shards are missing", From: "a batch of events on a link"},
		{Role: "regions part for an hour", What: "changes that the side without a majority of the core refuses", Amount: Changes / 24 / Regions, Unit: "1",
			By: "`internal/chain`: what is in force stays in force there", From: "arithmetic"},
		{Role: "a mixer is lost", What: "share of the retry budget that nobody uses until its members are told", Amount: 1 / Mixers, Unit: "1",
			By: "`internal/dispatch`", From: "arithmetic"},
	}
}

// Rank gives what leaves its budget first.
func Rank() []capacity.Ranked {
	row := func(what string, cost func(float64) float64, limit float64, budget, by, from string) capacity.Ranked {
		return capacity.Ranked{What: what, Share: capacity.ShareAt(cost, limit), Budget: budget, By: by, From: from}
	}
	return capacity.InOrder([]capacity.Ranked{
		row("index held by each mixer", indexBytes, BudgetMemory, "64 MB", "shards by prefix, missing", "held by the index"),
		row("events heard by each mixer", eventsOut, BudgetNet, "6 kB/s", "shards by prefix, missing", "a batch of events on a link"),
		row("loads told to each mixer", loadsIn, BudgetNet, "6 kB/s", "asking by backend, missing", "all loads on a link"),
		row("what the hub of a zone sends", hubOut, controlLink, "10 Gbit/s", "`internal/agent` (hubs)", "all loads on a link; a batch of events on a link"),
		row("configuration whole at each change", configIn, BudgetNet, "6 kB/s", "deltas, missing", "a snapshot on a link"),
		row("members whole at each change", membersIn, BudgetNet, "6 kB/s", "deltas, missing", "the members on a link"),
		row("list whole at each change", listIn, BudgetNet, "6 kB/s", "deltas, missing", "the list on a link"),
		row("a choice among all backends", func(s float64) float64 { return pickTime.At(s * Backends) }, FirstToken/100,
			"6.9 ms, a hundredth of the first token", "`internal/dispatch`", "a choice"),
		row("start of everybody", startOut, InForce, "7 s", "`internal/controller`", "a snapshot on a link; the members on a link"),
		row("table of backends", func(s float64) float64 { return tableHeld.At(s * Backends) }, BudgetMemory, "64 MB", "`internal/dispatch`", "held by the table"),
	})
}

// Tables are those of docs/CAPACITY.md, by the name in the page's marks.
func Tables() map[string]string {
	return map[string]string{"sums": capacity.SumsTable(Sums()), "events": capacity.SumsTable(Events()), "rank": capacity.RankTable(Rank())}
}
