package tally

import (
	"testing"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/simtest"
)

// history is a core as the search knows it: the events that led to it, played anew for each look.
type searchState struct {
	newCluster func() *cluster
	past       []event
	cluster    *cluster
	events     []event
}

func newSearchState(make func() *cluster) *searchState {
	c := make()
	return &searchState{newCluster: make, cluster: c, events: c.possibleEvents()}
}

func (h *searchState) Choices() int           { return len(h.events) }
func (h *searchState) Name(choice int) string { return h.events[choice].String() }
func (h *searchState) Fingerprint() string    { return h.cluster.fingerprint() }
func (h *searchState) Check() error           { return h.cluster.check() }

func (h *searchState) Next(choice int) simtest.World {
	past := append(append([]event{}, h.past...), h.events[choice])
	c := h.newCluster()
	for _, e := range past {
		c.apply(e)
	}
	return &searchState{newCluster: h.newCluster, past: past, cluster: c, events: c.possibleEvents()}
}

// mostStates bounds a search; the shortest histories are seen first.
const maxStates = 60_000

var (
	addA              = Add{ID: "a", Tally: "t", Amount: 1}
	addB              = Add{ID: "b", Tally: "t", Amount: 2}
	sameAddAtTwoNodes = []call{{0, addA}, {1, addA}}
	twoAdds           = []call{{0, addA}, {0, addB}}
)

// orders is a search: what was answered before it, and what may happen in it.
type searchCase struct {
	machines int
	fault    fault
	before   []call
	calls    []call
	allowed  limits
}

func (o searchCase) search() simtest.Result {
	return simtest.Search(newSearchState(func() *cluster {
		return newCluster(o.machines, 1, o.fault, o.allowed, o.calls...).converge(o.before...)
	}), maxStates)
}

func TestExhaustiveEventOrders(t *testing.T) {
	const both = 3 // of the calls
	answered := []call{{0, addB}}
	for name, o := range map[string]searchCase{
		"two, one id twice":                {machines: 2, calls: sameAddAtTwoNodes, allowed: limits{callMask: both}},
		"two, one id twice, messages lost": {machines: 2, calls: sameAddAtTwoNodes, allowed: limits{callMask: both, connectionLosses: 1, ticks: 1}},
		"two, power":                       {machines: 2, calls: twoAdds, allowed: limits{callMask: both, powerLosses: 1, ticks: 1}},
		"two, power twice":                 {machines: 2, calls: twoAdds[:1], allowed: limits{callMask: 1, powerLosses: 2}},
		"two, messages twice":              {machines: 2, calls: sameAddAtTwoNodes, allowed: limits{callMask: both, duplicates: 1}},
		"two, a disk lost":                 {machines: 2, before: answered, calls: sameAddAtTwoNodes[:1], allowed: limits{callMask: 1, diskLosses: 1, ticks: 2}},
		"two, a disk lost, power":          {machines: 2, before: answered, calls: sameAddAtTwoNodes[:1], allowed: limits{callMask: 1, diskLosses: 1, powerLosses: 1}},
		"two, a disk lost and a message":   {machines: 2, before: answered, allowed: limits{diskLosses: 1, connectionLosses: 1, ticks: 3}},
		"three, one id twice":              {machines: 3, calls: sameAddAtTwoNodes, allowed: limits{callMask: both}},
		"three, a message lost":            {machines: 3, calls: sameAddAtTwoNodes[:1], allowed: limits{callMask: 1, connectionLosses: 1, ticks: 1}},
		"three, power":                     {machines: 3, calls: sameAddAtTwoNodes[:1], allowed: limits{callMask: 1, powerLosses: 1}},
		"three, a disk lost":               {machines: 3, before: answered, calls: sameAddAtTwoNodes[:1], allowed: limits{callMask: 1, diskLosses: 1}},
		"three, a disk lost, power, a cut": {machines: 3, before: answered, allowed: limits{diskLosses: 1, powerLosses: 1, connectionLosses: 1, ticks: 3}},
	} {
		result := o.search()
		require.NoError(t, result.Broken, "%s: %s", name, result)
		t.Logf("%s: %s", name, result)
	}
}

func TestSearchDetectsInjectedFaults(t *testing.T) {
	const both = 3 // of the calls
	for name, o := range map[string]searchCase{
		"acknowledged before the sync": {machines: 2, fault: ackBeforeSync, calls: twoAdds, allowed: limits{callMask: both, ticks: 1, powerLosses: 1}},
		"merged by sum":                {machines: 2, fault: countPerOrigin, calls: sameAddAtTwoNodes, allowed: limits{callMask: both}},
		"reads while empty":            {machines: 2, fault: readyWithEmptyDisk, before: twoAdds, allowed: limits{ticks: 2, diskLosses: 1}},
		"a dot used again":             {machines: 2, fault: reuseDots, calls: twoAdds, allowed: limits{callMask: both, powerLosses: 1}},
	} {
		result := o.search()
		require.Error(t, result.Broken, "%s: %s", name, result)
		t.Logf("%s: %s", name, result)
	}
}
