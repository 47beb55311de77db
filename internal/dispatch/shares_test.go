package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	largeMembers  = 295
	largeBackends = 326
)

// largeTable returns a table with many members and many backends.
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

// TestUpdatesDoNotRankMembers guards against ranking all members for each backend at every update of the list or of
// the members.
func TestUpdatesDoNotRankMembers(t *testing.T) {
	table, members, list := largeTable(t)
	allocations := testing.AllocsPerRun(5, func() {
		table.SetBackends(0, list, nil)
		table.SetMembers(members)
	})
	require.Less(t, allocations, float64(largeBackends)/2, "a ranking allocates twice")
}

// TestColdIntervalFollowsMembers checks that a cached cold interval is recomputed after the members change.
func TestColdIntervalFollowsMembers(t *testing.T) {
	table, members, list := largeTable(t)
	usable := func() (count int) {
		for _, l := range list {
			if table.coldInterval(table.Backend(l.ID)) > 0 {
				count++
			}
		}
		return count
	}
	few := usable()
	require.Less(t, few, largeBackends/4)
	table.SetMembers(Members{Self: members.Self, All: members.All[:2]})
	require.Equal(t, largeBackends, usable())
	table.SetMembers(members)
	require.Equal(t, few, usable())
}

// BenchmarkSetBackends measures one replacement of the list.
func BenchmarkSetBackends(b *testing.B) {
	table, _, list := largeTable(b)
	for b.Loop() {
		table.SetBackends(time.Second, list, nil)
	}
}

// TestUpdateBackendsKeepsOthers checks that the state of a backend survives updates of others, and that a rechanged
// backend gets no requests.
func TestUpdateBackendsKeepsOthers(t *testing.T) {
	table := newTable(t, backendInfo(1, 1), backendInfo(2, 1), backendInfo(3, 1))
	unchanged := table.Backend("b1")
	changed := backendInfo(2, 1)
	changed.Service, changed.Draining = "other", true
	table.UpdateBackends(time.Second, []BackendInfo{changed, backendInfo(4, 1)},
		map[string]string{"b4": PhaseLoading}, []string{"b3", "unknown"})
	require.Same(t, unchanged, table.Backend("b1"))
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
