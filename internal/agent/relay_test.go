package agent

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/feed"
)

const (
	// largestZoneAgents is the number of agents in a zone of the largest deployment.
	// busyEventsPerPage is the number of parts that each of its backends caches between two event
	// pages.
	largestZoneAgents = 55
	busyEventsPerPage = 8
	// maxGossipLinkShare is the share of a machine's link that all gossip together may use.
	maxGossipLinkShare = 0.6
)

// gossipBytesSent returns the gossip bytes that each agent has sent.
func (f *fleet) gossipBytesSent() map[*Agent]uint64 {
	sent := map[*Agent]uint64{}
	for _, a := range f.agents {
		require.NoError(f.t, a.runInLoop(context.Background(), func() { sent[a] = a.gossipBytesSent }))
	}
	return sent
}

// TestHubGossipWithinLinkShare guards against a fault in large zones: a hub sent each message to
// every agent of its zone, more than its link carries, and updates of draining backends waited
// behind the rest.
func TestHubGossipWithinLinkShare(t *testing.T) {
	runFleet(t, 1, largestZoneAgents, platformCallsPerSecond, func(f *fleet) {
		f.platform.prefixCaches, f.platform.eventsPerPage = true, busyEventsPerPage
		time.Sleep(fleetStartTime)
		before := f.gossipBytesSent()
		const span = 3 * time.Second
		time.Sleep(span)
		maxRate := 0.0
		for a, sent := range f.gossipBytesSent() {
			maxRate = max(maxRate, float64(sent-before[a])/span.Seconds())
		}
		link := f.agents[0].settings.LinkMbps * 1e6 / 8
		t.Logf("maximum of one agent %.0f bytes/s, link %.0f bytes/s", maxRate, link)
		require.Less(t, maxRate, maxGossipLinkShare*link, "bytes per second of one agent")
		require.Zero(t, f.laggingAgents(busyEventsPerPage), "agents with an incomplete index")
	})
}

// TestRelayGroupsReachEveryAgentOnce checks that a message reaches every agent once, and that the
// messages of the hub and of each relay stay near the square root of the number of agents.
func TestRelayGroupsReachEveryAgentOnce(t *testing.T) {
	for _, n := range []int{13, 54, 64, 332} {
		agents := newAgents(1, n+1)
		var hub *Agent
		for _, a := range agents {
			if a.gossip.hubAddr("z0") == a.self.Addr {
				hub = a
			}
		}
		received, maxSent := map[string]int{}, 0
		byAddr := map[string]*Agent{}
		for _, a := range agents {
			byAddr[a.self.Addr] = a
			sent := 0
			a.gossip.send = func(to []string, message *feed.GossipMessage) int {
				sent += len(to)
				maxSent = max(maxSent, sent)
				for _, addr := range to {
					received[addr]++
					byAddr[addr].gossip.receive(message)
				}
				return 0
			}
		}
		hub.gossip.sendToZone(&feed.GossipMessage{From: hub.self.Addr, Hop: feed.HopFromHub})
		require.Len(t, received, n)
		for addr, times := range received {
			require.Equal(t, 1, times, addr)
		}
		require.LessOrEqual(t, maxSent*maxSent, 2*n+20, "square of the messages sent by one agent, %d agents", n)
	}
}
