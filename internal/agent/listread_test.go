package agent

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/dispatch"
	"nettlefold/internal/feed"
)

const longAgo = time.Hour

// TestWhoReadsThePlatformsList: its owner steadily, successors one after the other, then hubs, and all others at a pace.
func TestListReadSuccession(t *testing.T) {
	large := listReadInputs{rank: successorCount + 1, memberCount: 295, pageCount: 7, platformRate: 1500, sinceLastRead: longAgo}
	for name, c := range map[string]struct {
		plan listReadInputs
		from time.Duration // age from which it reads
	}{
		"owner":            {listReadInputs{rank: 0}, 600 * time.Millisecond},
		"first successor":  {listReadInputs{rank: 1}, 1500 * time.Millisecond},
		"third successor":  {listReadInputs{rank: 3}, 2300 * time.Millisecond},
		"hub of a zone":    {listReadInputs{rank: 4, isZoneHub: true}, 2300 * time.Millisecond},
		"any other, first": {listReadInputs{rank: 4}, 2700 * time.Millisecond},
	} {
		plan := large
		plan.rank, plan.isZoneHub = c.plan.rank, c.plan.isZoneHub
		plan.listAge = c.from - time.Millisecond
		require.False(t, plan.due(0), name)
		plan.listAge = c.from
		require.True(t, plan.due(0), name)
		plan.sinceLastRead = minListReadInterval - time.Millisecond
		require.False(t, plan.due(0), "%s, tried just now", name)
	}
	require.True(t, listReadInputs{noList: true, rank: 0, memberCount: 1, sinceLastRead: longAgo}.due(0), "an owner without a list")
	require.False(t, listReadInputs{noList: true, rank: 0, listAge: longAgo, sinceLastRead: longAgo}.due(0), "nobody is known")
}

// TestMembersReadWithinTheirShare: all of them together, whatever their number and the list's length.
func TestMemberReadsWithinRateShare(t *testing.T) {
	for _, c := range []struct {
		members, pages int
		perSecond      float64
	}{{8, 1, 44}, {72, 3, 250}, {295, 7, 1500}, {355, 7, 1500}, {1000, 20, 1500}} {
		plan := listReadInputs{rank: successorCount + 1, memberCount: c.members, pageCount: c.pages, platformRate: c.perSecond, listAge: longAgo, sinceLastRead: longAgo}
		random, reads := rand.New(rand.NewPCG(1, 1)), 0
		const ticks = 400
		for range ticks * c.members {
			if plan.due(random.Float64()) {
				reads++
			}
		}
		calls := float64(reads*c.pages) / (ticks * tickInterval.Seconds())
		require.LessOrEqual(t, calls, 1.2*memberRateShare*c.perSecond, "%+v", c)
	}
}

// TestChangesThatWereMissedAreAskedFor: and come as changes, not whole, from one that still has them.
func TestMissedListChangesAreRequested(t *testing.T) {
	agents := newAgents(1, 2)
	reader, other := agents[0], agents[1]
	list := []dispatch.BackendInfo{{ID: "a"}, {ID: "b"}}
	reader.publishList(time.Now(), list)
	other.applyPushedList(reader.listUpdateSince(0), reader.self.Addr)
	require.Equal(t, list, other.backends)
	for i := range 3 {
		list = append(list, dispatch.BackendInfo{ID: string(rune('c' + i))})
		reader.publishList(time.Now(), list)
	}
	last := reader.listSync.history[len(reader.listSync.history)-1]
	other.applyPushedList(last, reader.self.Addr)
	require.Len(t, other.backends, 2)
	require.Equal(t, reader.self.Addr, other.listSync.missingFrom)
	require.Equal(t, reader.self.Addr, other.nextListPeer())
	news := reader.listUpdateSince(other.listSync.digest)
	require.False(t, news.Full)
	other.applyListUpdate(news, reader.self.Addr)
	require.ElementsMatch(t, list, other.backends)
	require.Equal(t, reader.listSync.digest, other.listSync.digest)
	require.Empty(t, other.listSync.missingFrom)
	require.True(t, reader.listUpdateSince(12345).Full, "a list that nobody here knows")
}

// TestAnOlderReadingIsNotTaken: news that waited on its way, as at a hub that stood still, does not undo what came by another.
func TestOlderListRevisionIgnored(t *testing.T) {
	agents := newAgents(1, 2)
	reader, other := agents[0], agents[1]
	reader.publishList(time.Now(), []dispatch.BackendInfo{{ID: "a"}})
	old := reader.listUpdateSince(0)
	reader.publishList(time.Now(), []dispatch.BackendInfo{{ID: "a", Draining: true}})
	other.applyPushedList(reader.listUpdateSince(0), reader.self.Addr)
	other.applyPushedList(old, reader.self.Addr)
	require.True(t, other.backends[0].Draining)
	require.Equal(t, &feed.ListUpdate{Digest: reader.listSync.digest}, &feed.ListUpdate{Digest: other.listSync.digest})
}
