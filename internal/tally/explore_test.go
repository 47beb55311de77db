package tally

import (
	"testing"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/simtest"
)

// history is a core as the search knows it: the events that led to it, played anew for each look.
type history struct {
	make   func() *core
	past   []event
	core   *core
	events []event
}

func start(make func() *core) *history {
	c := make()
	return &history{make: make, core: c, events: c.events()}
}

func (h *history) Choices() int           { return len(h.events) }
func (h *history) Name(choice int) string { return h.events[choice].String() }
func (h *history) Fingerprint() string    { return h.core.fingerprint() }
func (h *history) Check() error           { return h.core.check() }

func (h *history) Next(choice int) simtest.World {
	past := append(append([]event{}, h.past...), h.events[choice])
	c := h.make()
	for _, e := range past {
		c.apply(e)
	}
	return &history{make: h.make, past: past, core: c, events: c.events()}
}

// mostStates bounds a search; the shortest histories are seen first.
const mostStates = 60_000

var (
	addA      = Add{ID: "a", Tally: "t", By: 1}
	addB      = Add{ID: "b", Tally: "t", By: 2}
	sameTwice = []call{{0, addA}, {1, addA}}
	twoAdds   = []call{{0, addA}, {0, addB}}
)

// orders is a search: what was answered before it, and what may happen in it.
type orders struct {
	machines int
	fault    fault
	before   []call
	calls    []call
	allowed  limits
}

func (o orders) search() simtest.Result {
	return simtest.Search(start(func() *core {
		return newCore(o.machines, 1, o.fault, o.allowed, o.calls...).settled(o.before...)
	}), mostStates)
}

func TestAllOrders(t *testing.T) {
	const both = 3 // of the calls
	answered := []call{{0, addB}}
	for name, o := range map[string]orders{
		"two, one id twice":                {machines: 2, calls: sameTwice, allowed: limits{adds: both}},
		"two, one id twice, messages lost": {machines: 2, calls: sameTwice, allowed: limits{adds: both, lostMessages: 1, ticks: 1}},
		"two, power":                       {machines: 2, calls: twoAdds, allowed: limits{adds: both, powerCuts: 1, ticks: 1}},
		"two, power twice":                 {machines: 2, calls: twoAdds[:1], allowed: limits{adds: 1, powerCuts: 2}},
		"two, messages twice":              {machines: 2, calls: sameTwice, allowed: limits{adds: both, twice: 1}},
		"two, a disk lost":                 {machines: 2, before: answered, calls: sameTwice[:1], allowed: limits{adds: 1, lostDisks: 1, ticks: 2}},
		"two, a disk lost, power":          {machines: 2, before: answered, calls: sameTwice[:1], allowed: limits{adds: 1, lostDisks: 1, powerCuts: 1}},
		"two, a disk lost and a message":   {machines: 2, before: answered, allowed: limits{lostDisks: 1, lostMessages: 1, ticks: 3}},
		"three, one id twice":              {machines: 3, calls: sameTwice, allowed: limits{adds: both}},
		"three, a message lost":            {machines: 3, calls: sameTwice[:1], allowed: limits{adds: 1, lostMessages: 1, ticks: 1}},
		"three, power":                     {machines: 3, calls: sameTwice[:1], allowed: limits{adds: 1, powerCuts: 1}},
		"three, a disk lost":               {machines: 3, before: answered, calls: sameTwice[:1], allowed: limits{adds: 1, lostDisks: 1}},
		"three, a disk lost, power, a cut": {machines: 3, before: answered, allowed: limits{lostDisks: 1, powerCuts: 1, lostMessages: 1, ticks: 3}},
	} {
		result := o.search()
		require.NoError(t, result.Broken, "%s: %s", name, result)
		t.Logf("%s: %s", name, result)
	}
}

func TestPlantedFaultsAreFound(t *testing.T) {
	const both = 3 // of the calls
	for name, o := range map[string]orders{
		"acknowledged before the sync": {machines: 2, fault: acknowledgedUnsynced, calls: twoAdds, allowed: limits{adds: both, ticks: 1, powerCuts: 1}},
		"merged by sum":                {machines: 2, fault: mergedBySum, calls: sameTwice, allowed: limits{adds: both}},
		"reads while empty":            {machines: 2, fault: readWhileEmpty, before: twoAdds, allowed: limits{ticks: 2, lostDisks: 1}},
		"a dot used again":             {machines: 2, fault: dotUsedAgain, calls: twoAdds, allowed: limits{adds: both, powerCuts: 1}},
	} {
		result := o.search()
		require.Error(t, result.Broken, "%s: %s", name, result)
		t.Logf("%s: %s", name, result)
	}
}
