package capacity

// What `nettlelab measure control` gave at the size itself: 7 relays and 6,300 mixers, a window of 2 s, the last of four runs
// (docs/control.md). Nothing is extrapolated here, so there is no law.
const (
	controlCalm   = 1336.0  // B/s of a mixer, in and out, a change each 17.6 s
	controlBurst  = 7529.0  // the same, 100 changes in a minute
	controlTen    = 8631.0  // the most of any mixer over ten seconds of the burst, B/s
	controlCore   = 0.00212 // of a core, the most of any part, with the reading of each change
	controlMemory = 0.265e6 // B of a mixer, its module and settings too
	relayCore     = 0.486   // of a core, the busiest relay of any part
	relayMemory   = 171e6   // B
	relayBurst    = 10.91e6 // B/s, the busiest relay in the burst
	relayFiles    = 3175.0  // open files
	relaySessions = 1575.0  // of mixers, the relay that is alone in its region
	inForceCalm   = 1.320   // s until the last mixer has a change in force, calm
	inForceBurst  = 2.213   // the same, 100 changes in a minute
	inForceKilled = 2.394   // given as a relay with 1,575 mixers is killed
	inForceSilent = 4.312   // given as a relay with 808 mixers falls silent
	inForceStart  = 2.006   // all mixers start at once
)

const (
	byRelays    = "`internal/fleet/control`, `internal/fleet/relay`"
	fromControl = "`nettlelab measure control`"
)

func init() {
	sumSources = append(sumSources, controlSums)
	eventSources = append(eventSources, controlEvents)
}

func controlSums() []Sum {
	const role, machine = "mixer, by relays", "7 machines for control"
	return []Sum{
		{role, "versions and who is there, in and out: calm", controlCalm, "B/s", BudgetNet, byRelays, fromControl},
		{role, "the same: 100 changes in a minute", controlBurst, "B/s", BudgetNet, byRelays, fromControl},
		{role, "the same: the most of any mixer over ten seconds of it", controlTen, "B/s", BudgetNet, byRelays, fromControl},
		{role, "processor, the most of any part", controlCore, "cores", BudgetCore, byRelays, fromControl},
		{role, "memory, module and settings too", controlMemory, "B", BudgetMemory, byRelays, fromControl},
		{machine, "a relay: processor of the busiest", relayCore, "cores", 1, byRelays, fromControl},
		{machine, "a relay: memory", relayMemory, "B", 0, byRelays, fromControl},
		{machine, "a relay: bytes out of the busiest, 100 changes in a minute", relayBurst, "B/s", controlNet, byRelays, fromControl},
		{machine, "a relay: open files", relayFiles, "1", 0, byRelays, fromControl},
		{machine, "a relay: sessions of mixers, one alone in its region", relaySessions, "1", 0, byRelays, fromControl},
	}
}

func controlEvents() []Event {
	const changes = "4,900 changes in a day, by relays"
	return []Event{
		{changes, "until the last mixer has one in force", inForceCalm, "s", InForce, byRelays, fromControl},
		{"100 changes in a minute, by relays", "until the last mixer has one in force", inForceBurst, "s", InForce, byRelays, fromControl},
		{"a relay is killed as a change is given", "until the last mixer has it in force", inForceKilled, "s", InForce, byRelays, fromControl},
		{"a relay falls silent as a change is given", "until the last mixer has it in force", inForceSilent, "s", InForce, byRelays, fromControl},
		{"all mixers start at once", "until the last has a session and what is in force", inForceStart, "s", InForce, byRelays, fromControl},
	}
}
