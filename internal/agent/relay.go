package agent

import (
	"math"
	"slices"

	"nettlefold/internal/feed"
)

// maxDirectPeers is the number of agents up to which a hub sends to each of them. In a larger zone
// it sends to the first agent of each group, which relays the message: the hub's link and CPU are
// shared with its proxy, and urgent updates would wait behind the traffic.
const maxDirectPeers = 12

// sendToZone sends a message to the agents of this hub's zone and returns the bytes that this
// machine sent.
func (g *gossiper) sendToZone(message *feed.GossipMessage) (bytes int) {
	peers := g.zonePeers()
	if len(peers) <= maxDirectPeers {
		return g.send(peers, message)
	}
	for _, group := range relayGroups(peers) {
		relayed := *message
		relayed.RelayTo = group[1:]
		bytes += g.send(group[:1], &relayed)
	}
	return bytes
}

// relayGroups divides agents into about as many groups as each has members.
func relayGroups(addrs []string) (groups [][]string) {
	sorted := slices.Sorted(slices.Values(addrs))
	size := int(math.Ceil(math.Sqrt(float64(len(sorted)))))
	return slices.Collect(slices.Chunk(sorted, size))
}

// relay forwards a hub's message to the group that it names.
func (g *gossiper) relay(message *feed.GossipMessage) {
	if len(message.RelayTo) == 0 {
		return
	}
	relayed := *message
	relayed.RelayTo = nil
	g.send(message.RelayTo, &relayed)
}
