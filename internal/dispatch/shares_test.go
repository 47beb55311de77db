package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const largeMembers, largeBackends = 295, 326

// largeTable is a mixer's among many, and a list of many backends.
func largeTable(t testing.TB) (table *Table, members Members, list []BackendInfo) {
	t.Helper()
	table = newTable(t)
	members.Self = "mixer0"
	for i := range largeMembers {
		members.All = append(members.All, fmt.Sprint("mixer", i))
	}
	for i := range largeBackends {
		list = append(list, backendInfo(i, 1))
	}
	table.SetMembers(members)
	table.SetBackends(0, list, nil)
	return table, members, list
}

// TestUpdatesDoNotRankMembers: each list, and each change of the members, had every mixer rank all members for each backend.
func TestUpdatesDoNotRankMembers(t *testing.T) {
	table, members, list := largeTable(t)
	allocations := testing.AllocsPerRun(5, func() {
		table.SetBackends(0, list, nil)
		table.SetMembers(members)
	})
	require.Less(t, allocations, float64(largeBackends)/2, "a ranking makes two")
}

// TestColdIntervalFollowsMembers: a cold backend's share is the newest members', though it was asked for before.
func TestColdIntervalFollowsMembers(t *testing.T) {
	table, members, list := largeTable(t)
	share := func() (mine int) {
		for _, l := range list {
			if table.coldInterval(table.Backend(l.ID)) > 0 {
				mine++
			}
		}
		return mine
	}
	few := share()
	require.Less(t, few, largeBackends/4)
	table.SetMembers(Members{Self: members.Self, All: members.All[:2]})
	require.Equal(t, largeBackends, share())
	table.SetMembers(members)
	require.Equal(t, few, share())
}

// BenchmarkSetBackends is one list taken, as at each change.
func BenchmarkSetBackends(b *testing.B) {
	table, _, list := largeTable(b)
	for b.Loop() {
		table.SetBackends(time.Second, list, nil)
	}
}

// TestUpdateBackendsKeepsOthers: what is known of a backend outlives changes of others, and what is gone gets nothing.
func TestUpdateBackendsKeepsOthers(t *testing.T) {
	table := newTable(t, backendInfo(1, 1), backendInfo(2, 1), backendInfo(3, 1))
	kept := table.Backend("b1")
	moved := backendInfo(2, 1)
	moved.Service, moved.Draining = "other", true
	table.UpdateBackends(time.Second, []BackendInfo{moved, backendInfo(4, 1)}, map[string]string{"b4": PhaseLoading}, []string{"b3", "never"})
	require.Same(t, kept, table.Backend("b1"))
	require.Nil(t, table.Backend("b3"))
	require.Equal(t, 3, table.BackendCount())
	for range 20 {
		c := table.Pick(time.Second, promptRequest())
		require.Equal(t, "b1", c.ID)
		table.End(time.Second, c, Completed)
	}
	table.UpdateBackends(2*time.Second, []BackendInfo{backendInfo(4, 1)}, nil, []string{"b1"})
	require.Equal(t, "b4", table.Pick(2*time.Second, promptRequest()).ID)
}
