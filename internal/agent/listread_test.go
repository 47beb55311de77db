package agent

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/dispatch"
	"nettlefold/internal/feed"
)

// longAgo is longer than any interval of list reads.
const longAgo = time.Hour

// TestListReadSuccession checks the list age from which each agent reads: the list reader, its
// successors one after the other, the hubs, and all other members.
func TestListReadSuccession(t *testing.T) {
	defaults := listReadInputs{rank: successorCount + 1, memberCount: 295, pageCount: 7, platformRate: 1500, sinceLastRead: longAgo}
	for name, c := range map[string]struct {
		in   listReadInputs
		from time.Duration // list age from which the agent reads
	}{
		"list reader":     {listReadInputs{rank: 0}, 600 * time.Millisecond},
		"first successor": {listReadInputs{rank: 1}, 1500 * time.Millisecond},
		"third successor": {listReadInputs{rank: 3}, 2300 * time.Millisecond},
		"hub of a zone":   {listReadInputs{rank: 4, isZoneHub: true}, 2300 * time.Millisecond},
		"other member":    {listReadInputs{rank: 4}, 2700 * time.Millisecond},
	} {
		in := defaults
		in.rank, in.isZoneHub = c.in.rank, c.in.isZoneHub
		in.listAge = c.from - time.Millisecond
		require.False(t, in.due(0), name)
		in.listAge = c.from
		require.True(t, in.due(0), name)
		in.sinceLastRead = minListReadInterval - time.Millisecond
		require.False(t, in.due(0), "%s: due %v after its last read", name, in.sinceLastRead)
	}
	require.True(t, listReadInputs{noList: true, rank: 0, memberCount: 1, sinceLastRead: longAgo}.due(0), "a list reader without a list must be due")
	require.False(t, listReadInputs{noList: true, rank: 0, listAge: longAgo, sinceLastRead: longAgo}.due(0), "an agent without known members must not be due")
}

// TestMemberReadsWithinRateShare checks that all members together stay within memberRateShare,
// whatever their number and the list's length.
func TestMemberReadsWithinRateShare(t *testing.T) {
	for _, c := range []struct {
		members, pages int
		perSecond      float64
	}{{8, 1, 44}, {72, 3, 250}, {295, 7, 1500}, {355, 7, 1500}, {1000, 20, 1500}} {
		in := listReadInputs{rank: successorCount + 1, memberCount: c.members, pageCount: c.pages, platformRate: c.perSecond, listAge: longAgo, sinceLastRead: longAgo}
		random, reads := rand.New(rand.NewPCG(1, 1)), 0
		const ticks = 400
		for range ticks * c.members {
			if in.due(random.Float64()) {
				reads++
			}
		}
		calls := float64(reads*c.pages) / (ticks * tickInterval.Seconds())
		require.LessOrEqual(t, calls, 1.2*memberRateShare*c.perSecond, "platform calls per second of %+v", c)
	}
}

// TestMissedListChangesAreRequested checks that an agent that missed a list change requests it, and
// gets a delta from a peer that still has it in its history.
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
	require.Equal(t, reader.self.Addr, other.listSync.gapSender)
	require.Equal(t, reader.self.Addr, other.nextListPeer())
	update := reader.listUpdateSince(other.listSync.digest)
	require.False(t, update.Full)
	other.applyListUpdate(update, reader.self.Addr)
	require.ElementsMatch(t, list, other.backends)
	require.Equal(t, reader.listSync.digest, other.listSync.digest)
	require.Empty(t, other.listSync.gapSender)
	require.True(t, reader.listUpdateSince(12345).Full, "an unknown list must be answered with the full list")
}

// TestOlderListRevisionIgnored checks that an update that was delayed, such as at a hub that was
// paused, doesn't replace a newer list that came another way.
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
