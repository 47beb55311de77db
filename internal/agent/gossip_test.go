package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"nettlefold/internal/dispatch"
	"nettlefold/internal/distribute"
	"nettlefold/internal/feed"
	"nettlefold/internal/kvindex"
	"nettlefold/internal/settings/local"
)

// newAgents returns agents in several zones that know each other. They don't run: the test delivers
// their messages.
func newAgents(zones, each int) []*Agent {
	var agents []*Agent
	set := &distribute.MemberSet{Digest: 1}
	for z := range zones {
		for i := range each {
			a := New(&local.Settings{NodeName: fmt.Sprintf("f-%d-%d", z, i), IP: fmt.Sprintf("10.%d.0.%d", z, i+1), Zone: fmt.Sprint("z", z), FirstPort: 7340}, zerolog.Nop())
			agents = append(agents, a)
			set.Agents = append(set.Agents, a.self)
		}
	}
	for _, a := range agents {
		a.members = set
	}
	return agents
}

// exchangeGossip delivers, without sockets, what flushes send over the three hops. It returns the
// number of messages.
func exchangeGossip(agents []*Agent) (messages int) {
	byAddr := map[string]*Agent{}
	for _, a := range agents {
		byAddr[a.self.Addr] = a
	}
	deliver := func(to []string, message *feed.GossipMessage) int {
		for _, addr := range to {
			messages++
			byAddr[addr].gossip.receive(message)
		}
		return 0
	}
	for _, a := range agents {
		a.gossip.send = deliver
	}
	for range 3 { // to the hub, between hubs, from the hub
		for _, a := range agents {
			a.gossip.flush()
		}
	}
	return messages
}

// TestGossipReachesEveryAgentOnce checks that an update reaches every agent, and that loads are not
// counted twice.
func TestGossipReachesEveryAgentOnce(t *testing.T) {
	agents := newAgents(3, 4)
	first := agents[0]
	batch := &kvindex.Batch{Backend: "b", To: kvindex.Cursor{Epoch: 1, Next: 5}, Changes: []kvindex.Change{{Key: 7, Tokens: 100}}}
	first.publishBatch(batch)
	first.gossip.publish(&feed.GossipMessage{Phases: map[string]feed.Phase{"b": {Name: dispatch.PhaseLoading}}})
	first.publishList(time.Now(), []dispatch.BackendInfo{{ID: "b", Service: "s", Versions: map[string]int64{"m": 1}}})
	for i, a := range agents {
		a.localLoads = map[string]dispatch.Load{"b": {Running: i + 1}}
	}
	exchangeGossip(agents)
	sum := len(agents) * (len(agents) + 1) / 2
	for i, a := range agents {
		require.Equal(t, 1, a.index.PartCount(), "cached parts in the index of %s", a.self.Addr)
		require.Equal(t, sum-(i+1), a.gossip.remoteLoads()["b"].Running, "running requests of all other agents, as known by %s", a.self.Addr)
		if a != first {
			require.Equal(t, dispatch.PhaseLoading, a.phases["b"].Name)
			require.Equal(t, first.backends, a.backends)
		}
	}
}

// TestGossipMessagesGrowLinearly checks that the number of messages grows with the number of
// agents, not with that of their pairs.
func TestGossipMessagesGrowLinearly(t *testing.T) {
	count := func(agentsPerZone int) int {
		agents := newAgents(4, agentsPerZone)
		for i, a := range agents {
			a.localLoads = map[string]dispatch.Load{"b": {Running: i + 1}}
		}
		return exchangeGossip(agents)
	}
	small, large := count(4), count(16)
	require.Less(t, large, 6*small, "messages per round: %d, and %d with four times the agents", small, large)
}

// TestRemovedLoadPropagates checks that a load that is gone is removed at agents of other zones.
func TestRemovedLoadPropagates(t *testing.T) {
	agents := newAgents(2, 2)
	for _, a := range agents {
		a.backends = []dispatch.BackendInfo{{ID: "b"}}
	}
	agents[0].localLoads = map[string]dispatch.Load{"b": {Running: 2, QueuedPrefillMS: 30}}
	exchangeGossip(agents)
	require.Equal(t, 2, agents[3].gossip.remoteLoads()["b"].Running)
	agents[0].localLoads = nil
	exchangeGossip(agents)
	require.Empty(t, agents[3].gossip.remoteLoads())
}

// TestBatchGapRequestsResync checks that a gap between batches requests the backend's whole index.
func TestBatchGapRequestsResync(t *testing.T) {
	agents := newAgents(1, 2)
	a := agents[1]
	a.applyBatch(&kvindex.Batch{Backend: "b", From: kvindex.Cursor{Epoch: 1, Next: 9}, To: kvindex.Cursor{Epoch: 1, Next: 12}}, "10.0.0.99:1")
	require.True(t, a.resync.pending["b"], "a resync of the backend must be pending")
}

// TestGossipIntervalByZoneSize checks that a hub's messages per second stay bounded as its zone
// grows, and that other zones don't matter.
func TestGossipIntervalByZoneSize(t *testing.T) {
	for _, c := range []struct {
		zones, each int
		after       time.Duration
		due         bool
	}{
		{1, 8, 40 * time.Millisecond, true}, {1, 16, 40 * time.Millisecond, true}, {12, 24, 40 * time.Millisecond, true},
		{1, 72, 40 * time.Millisecond, false}, {1, 72, 300 * time.Millisecond, true},
		{4, 133, 270 * time.Millisecond, false}, {4, 133, 310 * time.Millisecond, true}, {1, 1600, 300 * time.Millisecond, false},
	} {
		a := newAgents(c.zones, c.each)[0]
		now := time.Now()
		a.gossip.flushedAt = now.Add(-c.after)
		require.Equal(t, c.due, a.gossip.due(now), "due with %d zones of %d agents, %v after the last flush", c.zones, c.each, c.after)
		require.LessOrEqual(t, float64(c.each)/a.gossip.interval().Seconds(), float64(hubMessagesPerSecond)*1.01, "messages per second of a hub")
	}
}

// TestGossipIntervalByLinkUse checks that the interval gives the link time to carry the last flush
// at gossipLinkShare, within bounds.
func TestGossipIntervalByLinkUse(t *testing.T) {
	for _, c := range []struct {
		mbps     float64
		bytes    int
		interval time.Duration
	}{
		{0, 1 << 20, flushInterval}, // unknown link rate
		{1000, 30_000, flushInterval},
		{10, 0, flushInterval},
		{10, 18_000, flushInterval},
		{10, 37_500, 120 * time.Millisecond},
		{10, 1 << 20, maxFlushInterval},
	} {
		a := newAgents(4, 18)[0]
		a.settings.LinkMbps, a.gossip.zoneBytes = c.mbps, c.bytes
		require.InDelta(t, c.interval, a.gossip.interval(), float64(time.Millisecond), "interval at %v Mbit/s with %d bytes in the last flush", c.mbps, c.bytes)
	}
}

// TestHubCountsZoneBytes checks that a hub counts the bytes of one flush to all agents of its zone.
func TestHubCountsZoneBytes(t *testing.T) {
	agents := newAgents(1, 5)
	for _, a := range agents {
		a.localLoads = map[string]dispatch.Load{"b": {Running: 1}}
	}
	for _, a := range agents {
		bytes := 0
		a.gossip.send = func(to []string, _ *feed.GossipMessage) int {
			bytes = 100 * len(to)
			return bytes
		}
		a.gossip.flush()
		if a.gossip.hubAddr("z0") == a.self.Addr {
			require.Equal(t, 400, a.gossip.zoneBytes)
		} else {
			require.Zero(t, a.gossip.zoneBytes)
		}
	}
}

// TestLoadsNotDelayedByIndexBatches checks that a hub sends loads at each flush, and index batches
// only when the link has had time for the last ones at bulkLinkShare. No batch may be lost
// meanwhile.
func TestLoadsNotDelayedByIndexBatches(t *testing.T) {
	agents := newAgents(1, 3)
	var hub *Agent
	for _, a := range agents {
		if a.gossip.hubAddr("z0") == a.self.Addr {
			hub = a
		}
	}
	hub.settings.LinkMbps = 10
	var loads, batches int
	hub.gossip.send = func(to []string, message *feed.GossipMessage) int {
		if len(to) == 0 {
			return 0 // there are no other zones
		}
		if message.Loads != nil {
			loads++
		}
		batches += len(message.Batches)
		if len(message.Batches) > 0 {
			require.Nil(t, message.Loads, "index batches must be sent in a message without loads")
			return 93_750 // half a second at bulkLinkShare
		}
		return 0
	}
	for i := range 3 {
		hub.localLoads = map[string]dispatch.Load{"b": {Running: i + 1}}
		hub.gossip.publish(&feed.GossipMessage{Batches: []*kvindex.Batch{{Backend: "b", From: kvindex.Cursor{Next: int64(i)}, To: kvindex.Cursor{Next: int64(i + 1)}}}})
		hub.gossip.flush()
	}
	require.Equal(t, 3, loads)
	require.Equal(t, 1, batches, "the first batch is sent at once, the others wait")
	require.False(t, hub.gossip.bulkDue(hub.gossip.bulkAt.Add(490*time.Millisecond)))
	require.True(t, hub.gossip.bulkDue(hub.gossip.bulkAt.Add(500*time.Millisecond)))
	hub.gossip.bulkAt = hub.gossip.bulkAt.Add(-time.Second)
	hub.gossip.flush()
	require.Equal(t, 3, batches)
}
