package agent

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/dispatch"
	"nettlefold/internal/feed"
)

const never = time.Hour

// TestWhoReadsThePlatformsList: its owner steadily, successors one after the other, then hubs, and all others at a pace.
func TestWhoReadsThePlatformsList(t *testing.T) {
	large := listPlan{rank: listSuccessors + 1, members: 295, pages: 7, perSecond: 1500, sinceTry: never}
	for name, c := range map[string]struct {
		plan listPlan
		from time.Duration // age from which it reads
	}{
		"owner":            {listPlan{rank: 0}, 600 * time.Millisecond},
		"first successor":  {listPlan{rank: 1}, 1500 * time.Millisecond},
		"third successor":  {listPlan{rank: 3}, 2300 * time.Millisecond},
		"hub of a zone":    {listPlan{rank: 4, hub: true}, 2300 * time.Millisecond},
		"any other, first": {listPlan{rank: 4}, 2700 * time.Millisecond},
	} {
		plan := large
		plan.rank, plan.hub = c.plan.rank, c.plan.hub
		plan.age = c.from - time.Millisecond
		require.False(t, plan.due(0), name)
		plan.age = c.from
		require.True(t, plan.due(0), name)
		plan.sinceTry = listRetry - time.Millisecond
		require.False(t, plan.due(0), "%s, tried just now", name)
	}
	require.True(t, listPlan{none: true, rank: 0, members: 1, sinceTry: never}.due(0), "an owner without a list")
	require.False(t, listPlan{none: true, rank: 0, age: never, sinceTry: never}.due(0), "nobody is known")
}

// TestMembersReadWithinTheirShare: all of them together, whatever their number and the list's length.
func TestMembersReadWithinTheirShare(t *testing.T) {
	for _, c := range []struct {
		members, pages int
		perSecond      float64
	}{{8, 1, 44}, {72, 3, 250}, {295, 7, 1500}, {355, 7, 1500}, {1000, 20, 1500}} {
		plan := listPlan{rank: listSuccessors + 1, members: c.members, pages: c.pages, perSecond: c.perSecond, age: never, sinceTry: never}
		random, reads := rand.New(rand.NewPCG(1, 1)), 0
		const ticks = 400
		for range ticks * c.members {
			if plan.due(random.Float64()) {
				reads++
			}
		}
		calls := float64(reads*c.pages) / (ticks * tickEvery.Seconds())
		require.LessOrEqual(t, calls, 1.2*memberShare*c.perSecond, "%+v", c)
	}
}

// TestChangesThatWereMissedAreAskedFor: and come as changes, not whole, from one that still has them.
func TestChangesThatWereMissedAreAskedFor(t *testing.T) {
	agents := fleetOf(1, 2)
	reader, other := agents[0], agents[1]
	list := []dispatch.BackendInfo{{ID: "a"}, {ID: "b"}}
	reader.spreadList(time.Now(), list)
	other.toldList(reader.listSince(0), reader.self.Addr)
	require.Equal(t, list, other.list)
	for i := range 3 {
		list = append(list, dispatch.BackendInfo{ID: string(rune('c' + i))})
		reader.spreadList(time.Now(), list)
	}
	last := reader.lists.history[len(reader.lists.history)-1]
	other.toldList(last, reader.self.Addr)
	require.Len(t, other.list, 2)
	require.Equal(t, reader.self.Addr, other.lists.missing)
	require.Equal(t, reader.self.Addr, other.listPeer())
	news := reader.listSince(other.lists.sum)
	require.False(t, news.Full)
	other.hearList(news, reader.self.Addr)
	require.ElementsMatch(t, list, other.list)
	require.Equal(t, reader.lists.sum, other.lists.sum)
	require.Empty(t, other.lists.missing)
	require.True(t, reader.listSince(12345).Full, "a list that nobody here knows")
}

// TestAnOlderReadingIsNotTaken: news that waited on its way, as at a hub that stood still, does not undo what came by another.
func TestAnOlderReadingIsNotTaken(t *testing.T) {
	agents := fleetOf(1, 2)
	reader, other := agents[0], agents[1]
	reader.spreadList(time.Now(), []dispatch.BackendInfo{{ID: "a"}})
	old := reader.listSince(0)
	reader.spreadList(time.Now(), []dispatch.BackendInfo{{ID: "a", Draining: true}})
	other.toldList(reader.listSince(0), reader.self.Addr)
	other.toldList(old, reader.self.Addr)
	require.True(t, other.list[0].Draining)
	require.Equal(t, &feed.ListUpdate{Digest: reader.lists.sum}, &feed.ListUpdate{Digest: other.lists.sum})
}
