package capacity

// Event is something that happens and what it costs one role.
type Event struct {
	What, Cost string
	Amount     float64 // not a number: not measured yet
	Unit       string
	Budget     float64 // 0: the plan names none
	By, From   string
}

// AgainTo is the bytes of whole lists that so many mixers ask for at once.
func AgainTo(mixers float64) float64 { return mixers * WholeBytes() }

// Missed is the bytes of changes of the list in so many seconds of an ordinary day, to one mixer.
func Missed(seconds float64) float64 { return seconds * NewsBytes() }

// Burst is the bytes a second that changes of so many searchers are to one mixer, told within the time for a change.
func Burst(searchers float64) float64 { return searchers * changeBytes.At(Searchers) / InForce }

// RestartsOfAll is how many starts a second it takes to bring each change of settings to each mixer by a restart.
func RestartsOfAll(changes float64) float64 { return changes * Mixers / secondsDay }

// eventSources give the rows of the page's second table; a file with events of its own adds its function here.
var eventSources = []func() []Event{machineEvents, changeEvents}

// Events gives all rows.
func Events() (all []Event) {
	for _, source := range eventSources {
		all = append(all, source()...)
	}
	return all
}

func machineEvents() []Event {
	const list, change = "list: bytes of the whole", "list: bytes of one change"
	watch, control := "`internal/transport` (watch)", "missing"
	zone := func(name string, zones float64) []Event {
		return []Event{
			{"a zone is lost, " + name, "searchers gone", Lost(Searchers, zones), "1", 0, watch, "arithmetic"},
			{"a zone is lost, " + name, "mixers gone; the others get so much more", 1 / (1 - 1/zones), "times", 0,
				"the clients' front", "arithmetic"},
			{"a zone is lost, " + name, "one mixer: changes of the list within 6 s", Burst(Lost(Searchers, zones)), "B/s",
				BudgetNet, watch, change},
			{"a zone is lost, " + name, "module's lock, 4 holders a part", LockHeld(routerTime.At(Parts)) / (1 - 1/zones),
				"cores", lockShare,
				"`mixer`, `internal/routing`", "query: in the router"},
		}
	}
	_, cold := ColdWindow()
	all := []Event{
		{"a searcher restarts", "one mixer: changes of the list", news * changeBytes.At(Searchers), "B", 0, watch, change},
		{"a searcher restarts", "all mixers' agents together", Mixers * news * changeBytes.At(Searchers), "B", 0,
			"the platform's", change},
		{"a searcher restarts", "until one mixer may send it one part while cold", fallFor / cold, "s", coldFor,
			"`mixer` (cold); shared: `internal/sharing`", "arithmetic"},
		{"a mixer restarts", "whole list, in", WholeBytes(), "B", 0, watch, list},
		{"a mixer restarts", "reading configuration and list, and the first listing",
			configTime.At(Searchers) + WholeTime(), "s", InForce,
			"`cmd/nettlefold`", "settings: reading it; list: reading it whole; module: whole list first"},
		{"a rack or switch of 40 machines (assumed)", "one mixer: changes of the list within 6 s", Burst(rack), "B/s",
			BudgetNet, watch, change},
	}
	all = append(all, zone("8 zones in all", ZonesAll)...)
	all = append(all, zone("8 zones a region", ZonesEach)...)
	cut := Mixers / Regions
	return append(all, []Event{
		{"a region is cut off for an hour", "changes that one mixer of it misses", Missed(3600), "B", 0, watch, change},
		{"a region is cut off for an hour", "its heal: whole list, one mixer within 6 s", WholeBytes() / InForce, "B/s",
			BudgetNet, watch, list},
		{"a region is cut off for an hour", "its heal: whole lists of its mixers, from each of 7 machines within 6 s",
			AgainTo(cut) / Control / InForce, "B/s",
			controlNet, control, list},
		{"a region is cut off for an hour", "its heal: longest hold of the module's lock, one mixer", changedHold.At(Searchers), "s",
			Answer, "`mixer`", "module: whole list, a seventh changed, longest hold of the lock"},
		{"a rolling restart of all in a day", "one mixer: changes of the list",
			Machines() * news / secondsDay * changeBytes.At(Searchers), "B/s", BudgetNet, watch, change},
		{"a rolling restart of all in a day", "searchers cold at any moment", Searchers * coldFor / secondsDay, "1", 0,
			"`mixer` (cold)", "arithmetic"},
		{"a machine for control is lost", "its watches on each of the other 6, on top", Mixers / Control / (Control - 1),
			"1", 0, control, "arithmetic"},
		{"a machine for control is lost", "if they all ask for the whole list: from each of 6 within 6 s",
			AgainTo(Mixers/Control) / (Control - 1) / InForce, "B/s",
			controlNet, control, list},
		{"all mixers start at once", "whole lists, from each of 7 machines within 6 s", AgainTo(Mixers) / Control / InForce,
			"B/s", controlNet, control, list},
		{"all mixers start at once", "roster, rights and site judgement until they stand", unmeasured, "s", 0,
			"`internal/fleet`", "not measured yet"},
	}...)
}

func changeEvents() []Event {
	const by = "missing without relays: SIGHUP takes discovery's address and the store's use only"
	return []Event{
		{"4,900 changes in a day, as changes of the list", "one mixer, in",
			Changes / secondsDay * changeBytes.At(Searchers), "B/s", BudgetNet,
			"`internal/transport` (watch)", "list: bytes of one change"},
		{"100 changes in a minute, as changes of the list", "one mixer, in", 100.0 / 60 * changeBytes.At(Searchers), "B/s", BudgetNet,
			"`internal/transport` (watch)", "list: bytes of one change"},
		{"4,900 changes in a day, as changes of settings", "starts of mixers, if each is a restart of all",
			RestartsOfAll(Changes), "1/s", 0, by, "arithmetic"},
		{"4,900 changes in a day, as changes of settings", "time between two starts of one mixer", secondsDay / Changes,
			"s", 0, by, "arithmetic"},
	}
}
