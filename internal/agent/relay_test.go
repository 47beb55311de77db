package agent

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/feed"
)

const (
	// largeZone is the agents of a zone of the largest deployment, and busyParts what each of its backends reads anew between two pages.
	largestZoneAgents = 55
	busyEventsPerPage = 8
	// newsMost is the share of a machine's link that all news together may take.
	maxGossipLinkShare = 0.6
)

// sentBytes is what each agent sent of news.
func (f *fleet) gossipBytesSent() map[*Agent]uint64 {
	sent := map[*Agent]uint64{}
	for _, a := range f.agents {
		require.NoError(f.t, a.runInLoop(context.Background(), func() { sent[a] = a.gossipBytesSent }))
	}
	return sent
}

// TestAHubsLinkCarriesTheNewsOfItsZone: a hub sent each piece of news to every agent of its zone, more than its link carries, and news of
// backends that leave waited behind the rest.
func TestHubGossipWithinLinkShare(t *testing.T) {
	runFleet(t, 1, largestZoneAgents, platformCallsPerSecond, func(f *fleet) {
		f.platform.prefixCaches, f.platform.eventsPerPage = true, busyEventsPerPage
		time.Sleep(fleetStartTime)
		before := f.gossipBytesSent()
		const span = 3 * time.Second
		time.Sleep(span)
		most := 0.0
		for a, sent := range f.gossipBytesSent() {
			most = max(most, float64(sent-before[a])/span.Seconds())
		}
		link := f.agents[0].settings.LinkMbps * 1e6 / 8
		t.Logf("an agent sends up to %.0f bytes a second, its link carries %.0f", most, link)
		require.Less(t, most, maxGossipLinkShare*link)
		require.Zero(t, f.laggingAgents(busyEventsPerPage))
	})
}

// TestRelayGroupsAreEveryAgentOnce: and the hub's messages and a relay's stay near the root of their number.
func TestRelayGroupsReachEveryAgentOnce(t *testing.T) {
	for _, n := range []int{13, 54, 64, 332} {
		agents := newAgents(1, n+1)
		var hub *Agent
		for _, a := range agents {
			if a.gossip.hubAddr("z0") == a.self.Addr {
				hub = a
			}
		}
		told, most := map[string]int{}, 0
		byAddr := map[string]*Agent{}
		for _, a := range agents {
			byAddr[a.self.Addr] = a
			sent := 0
			a.gossip.send = func(to []string, news *feed.GossipMessage) int {
				sent += len(to)
				most = max(most, sent)
				for _, addr := range to {
					told[addr]++
					byAddr[addr].gossip.receive(news)
				}
				return 0
			}
		}
		hub.gossip.sendToZone(&feed.GossipMessage{From: hub.self.Addr, Hop: feed.HopFromHub})
		require.Len(t, told, n)
		for addr, times := range told {
			require.Equal(t, 1, times, addr)
		}
		require.LessOrEqual(t, most*most, 2*n+20, fmt.Sprint(n))
	}
}
