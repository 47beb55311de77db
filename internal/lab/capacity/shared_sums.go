package capacity

const (
	byRoster  = "`internal/fleet/roster`"
	byJudge   = "`internal/fleet/siteloss`, `internal/fleet/sites`"
	byRights  = "`internal/fleet/rights` (not used yet)"
	bySharing = "`internal/sharing`, `internal/store`"
)

func init() {
	sumSources = append(sumSources, sharedSums)
	eventSources = append(eventSources, sharedEvents)
	rankSources = append(rankSources, sharedRank)
}

func sharedSums() []Sum {
	const role, store = "mixer, among mixers", "shared store, full sheets"
	n := Mixers
	exchange := "roster: an exchange, both ways / members"
	return []Sum{
		{role, "roster: members, beside the bound by default", n, "1", boundRoster, byRoster, "arithmetic"},
		{role, "roster: pings and answers, out, as much in", PingsOut(n), "B/s", BudgetNet, byRoster, "roster: bytes of packets sent / members of a fleet"},
		{role, "roster: exchanges, out, as much in", ExchangesOut(n), "B/s", BudgetNet, byRoster, exchange},
		{role, "roster: restarts told on, out, as much in", RestartsOut(n), "B/s", BudgetNet, byRoster, "roster: bytes of one restart"},
		{role, "site judgement: reports in exchanges, out, as much in", JudgeOut(n), "B/s", BudgetNet, byJudge, "desk: an exchange / members"},
		{role, "site judgement: reports told on, out, as much in", ReportsOut(n), "B/s", BudgetNet, byJudge, "reports by gossip, of all mixers / members; roster with the judge of sites: bytes of packets sent"},
		{role, "roster and site judgement: all of these, out, as much in", RosterOut(n), "B/s", BudgetNet, byRoster, "arithmetic"},
		{role, "roster and site judgement: processor", RosterCore(n), "cores", BudgetCore, byRoster, "roster: of a core without news; roster: processor time of an exchange; site judgement: a round"},
		{role, "roster and site judgement: bytes held", rosterHeld.At(n) + judgeHeld.At(n), "B", BudgetMemory, byRoster, "roster: bytes held; site judgement: bytes held"},
		{role, "site judgement: mixers, beside those whose reports are heard", n, "1", boundReports, byJudge, "arithmetic"},
		{role, "site judgement: mixers, beside those that are looked at", n, "1", boundMixers, byJudge, "arithmetic"},
		{role, "site judgement: searchers, beside those that have a site", Searchers, "1", boundListed, byJudge, "arithmetic"},
		{role, "rights: sheets of others held", rightsHeld.At(n), "B", BudgetMemory, byRights, "rights: bytes held of others' sheets / members, 6 searchers each"},
		{role, "rights: state of all, beside what an exchange takes", rightsState.At(n), "B", boundState, byRights, "rights: state of all"},
		{role, "rights: a chair's step, processor", roundsSecond * rightsTime.At(n), "cores", BudgetCore, byRights, "rights: a chair's step"},
		{role, "rights: searchers, beside the bound on resources", Searchers, "1", boundRights, byRights, "arithmetic"},
		{role, "sharing in one store, full sheets: read", storeRead.At(n), "B/s", BudgetNet, bySharing, "store: bytes read by a mixer / members of a store"},
		{role, "sharing in one store, empty sheets: read", emptyRead.At(n), "B/s", BudgetNet, bySharing, "store: bytes read by a mixer / members of a store, empty sheets"},
		{role, "sharing in one store: sent, for the names it reads", storeSent.At(n), "B/s", BudgetNet, bySharing, "store: bytes sent by a mixer / members of a store"},
		{role, "sharing in one store: mixers, beside those that are heard", n, "1", boundOthers, bySharing, "arithmetic"},
		{role, "sharing, full sheets of 1,024 heard: bytes held", boardHeld.At(boundOthers), "B", BudgetMemory, bySharing, "sharing: bytes held by a board"},
		{role, "sharing, full sheets of 1,024 heard: processor", SharingCore(boundOthers, Searchers), "cores", BudgetCore, bySharing,
			"sharing: a round; sharing: telling; sharing: being told"},
		{role, "sharing: the module's lock held to tell of all searchers, or to be told", max(tellTime.At(Searchers), toldTime.At(Searchers)), "s", 0,
			bySharing, "sharing: telling; sharing: being told"},
		{store, "one store of all mixers: commands", n * storeCommands.A, "1/s", 0, bySharing, "store: commands sent by a mixer"},
		{store, "one store of all mixers: bytes, both ways", storeAll.At(n), "B/s", controlNet, bySharing, "store: bytes of all mixers"},
		{store, "a store in each of 8 zones: bytes of one, both ways", storeAll.At(n / ZonesAll), "B/s", controlNet, bySharing, "store: bytes of all mixers"},
		{store, "a store in each of 32 zones: bytes of one, both ways", storeAll.At(n / ZonesEach), "B/s", controlNet, bySharing, "store: bytes of all mixers"},
	}
}

func sharedEvents() []Event {
	n := Mixers
	return []Event{
		{"a mixer restarts", "that mixer tells on all lives, as they are news to it", StartBytes(n), "B", 0, byRoster, "roster: lives told on after a start"},
		{"a mixer restarts", "the same, out, for as long as it takes", gossipPackets * packetMost, "B/s", BudgetNet, byRoster, "arithmetic"},
		{"a mixer restarts", "for how long", StartTime(n), "s", 0, byRoster, "arithmetic"},
		{"a mixer restarts", "until it has taken all lives of its first exchange", firstTakenTime.At(n), "s", 0, byRoster,
			"roster: until all of a first exchange are taken"},
		{"a mixer restarts", "each other mixer: messages told on", restartNews.A * told(n), "1", 0, byRoster, "roster: messages of one restart"},
		{"a mixer restarts", "each other mixer: bytes told on", restartBytes.A * told(n), "B", 0, byRoster, "roster: bytes of one restart"},
		{"a rolling restart of all in a day", "each mixer: messages of the roster told on", n * restartNews.A * told(n), "1", 0, byRoster,
			"roster: messages of one restart"},
		{"a rolling restart of all in a day", "each mixer: the roster's news, out", n * restartBytes.A * told(n) / secondsDay, "B/s", BudgetNet, byRoster,
			"roster: bytes of one restart"},
		{"a rolling restart of all in an hour", "each mixer: the roster's news, out", n * restartBytes.A * told(n) / 3600, "B/s", BudgetNet, byRoster,
			"roster: bytes of one restart"},
		{"a rolling restart of all in an hour", "lives that said goodbye, beside those that an exchange tells a newcomer", n, "1", mostHearsay, byRoster,
			"arithmetic"},
	}
}

func sharedRank() []Ranked {
	net, core, heap := "10 KB/s", "3.5% of a core", "128 MB"
	second := func(cost func(float64) float64) func(float64) float64 {
		return func(n float64) float64 { return roundsSecond * cost(n) }
	}
	return []Ranked{
		rank("roster and site judgement: bytes out", firstAt(RosterOut, BudgetNet), net, byRoster, "roster: an exchange, both ways; reports by gossip, of all mixers; roster: bytes of packets sent"),
		rank("roster alone: bytes out", firstAt(func(n float64) float64 { return PingsOut(n) + ExchangesOut(n) + RestartsOut(n) }, BudgetNet), net, byRoster,
			"roster: an exchange, both ways; roster: bytes of packets sent"),
		rank("site judgement: reports told on", firstAt(ReportsOut, BudgetNet), net, byJudge, "reports by gossip, of all mixers / members; roster with the judge of sites: bytes of packets sent"),
		rank("roster and site judgement: processor", firstAt(RosterCore, BudgetCore), core, byRoster, "roster: of a core without news; roster: processor time of an exchange; site judgement: a round"),
		rank("roster and site judgement: memory", firstAt(func(n float64) float64 { return rosterHeld.At(n) + judgeHeld.At(n) }, BudgetMemory), heap,
			byRoster, "roster: bytes held; site judgement: bytes held"),
		rank("roster: members by default", boundRoster/Mixers, "1,024", byRoster, "arithmetic"),
		rank("site judgement: mixers heard", boundReports/Mixers, "1,024", byJudge, "arithmetic"),
		rank("site judgement: searchers that have a site", boundListed/Searchers, "4,096", byJudge, "arithmetic"),
		rank("rights: resources", boundRights/Searchers, "1,024", byRights, "arithmetic"),
		rank("rights: state in one exchange", firstAt(rightsState.At, boundState), "256 KiB, its bound", byRights, "rights: state of all"),
		rank("rights: a chair's step", firstAt(second(rightsTime.At), BudgetCore), core, byRights, "rights: a chair's step"),
		rank("rights: memory", firstAt(rightsHeld.At, BudgetMemory), heap, byRights, "rights: bytes held of others' sheets"),
		rank("sharing, one store, full sheets: read", firstAt(storeRead.At, BudgetNet), net, bySharing, "store: bytes read by a mixer / members of a store"),
		rank("sharing, one store, empty sheets: read", firstAt(emptyRead.At, BudgetNet), net, bySharing, "store: bytes read by a mixer / members of a store, empty sheets"),
		rank("sharing, full sheets: a board's round", firstAt(second(boardTime.At), BudgetCore), core, bySharing, "sharing: a round"),
		rank("sharing: telling and being told of all searchers", shareAt(func(s float64) float64 {
			return roundsSecond * 2 * (tellTime.At(s*Searchers) + toldTime.At(s*Searchers))
		}, BudgetCore), core, bySharing, "sharing: telling; sharing: being told"),
		rank("sharing: mixers heard", boundOthers/Mixers, "1,024", bySharing, "arithmetic"),
		rank("shared store of all mixers: bytes", firstAt(storeAll.At, controlNet), "10 Gbit/s (assumed)", bySharing, "store: bytes of all mixers"),
	}
}
