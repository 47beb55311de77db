package agent

import (
	"testing"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/dispatch"
	"nettlefold/internal/distribute"
	"nettlefold/internal/rendezvous"
	"nettlefold/internal/replicated"
)

// TestTheOldestWeightsAreExchangedFirst: a version that is named midway begins with the backends that the one before did not reach.
func TestTheOldestWeightsAreExchangedFirst(t *testing.T) {
	a := fleetOf(1, 1)[0]
	for id, version := range map[string]int64{"a": 2, "b": 1, "c": 3, "d": 1, "e": 2} {
		a.list = append(a.list, dispatch.Listed{ID: id, Versions: map[string]int64{"m": version}})
	}
	a.list = append(a.list, dispatch.Listed{ID: "other", Versions: map[string]int64{"n": 1}}, dispatch.Listed{ID: "plain"})
	var versions []int64
	for _, l := range a.behind("m", 3) {
		versions = append(versions, l.Versions["m"])
	}
	require.Equal(t, []int64{1, 1, 2, 2}, versions)
}

// TestOrdersStayWithTheirHolder: an agent that returns to the members does not take the orders back from the one that took them over. Each
// change of hands stops the orders for as long as the rules ask two holders to stay apart.
func TestOrdersStayWithTheirHolder(t *testing.T) {
	agents := fleetOf(1, 3)
	all := agents[0].members
	key := ordersDuty("m")
	var first *Agent
	var others []*Agent
	for _, a := range agents {
		if rendezvous.Owner(key, a.memberIDs()) == a.self.ID {
			first = a
		} else {
			others = append(others, a)
		}
	}
	holds := func(holder string, members *distribute.MemberSet) (owners []string) {
		for _, a := range agents {
			a.members = members
			a.snapshot = &distribute.Snapshot{Duties: map[string]replicated.Duty{}}
			if holder != "" {
				a.snapshot.Duties[key] = replicated.Duty{Holder: holder, Fence: 7}
			}
			if a.ownsOrders("m") {
				owners = append(owners, a.self.ID)
			}
		}
		return owners
	}
	require.Equal(t, []string{first.self.ID}, holds("", all), "nobody held them: the ranking decides")
	without := &distribute.MemberSet{Digest: 2, Agents: []distribute.Agent{others[0].self, others[1].self}}
	successors := holds(first.self.ID, without)
	require.Len(t, successors, 1, "the holder is gone: the ranking of those that are left decides")
	require.Equal(t, successors, holds(successors[0], all), "the former holder is back")
	for _, other := range others {
		require.Equal(t, []string{other.self.ID}, holds(other.self.ID, all), "whoever holds them keeps them")
	}
}
