package agent

import (
	"math"
	"slices"

	"nettlefold/internal/feed"
)

// directMost is the agents that a hub tells by itself. In a larger zone it tells the first of each group, which passes the news on: a hub's
// link and processor are its proxy's, and news that is urgent waits behind what they carry.
const maxDirectPeers = 12

// tellZone sends news to the agents of this hub's zone, and gives the bytes that this machine sent.
func (x *gossiper) sendToZone(n *feed.GossipMessage) (bytes int) {
	fellows := x.zonePeers()
	if len(fellows) <= maxDirectPeers {
		return x.send(fellows, n)
	}
	for _, group := range relayGroups(fellows) {
		relayed := *n
		relayed.RelayTo = group[1:]
		bytes += x.send(group[:1], &relayed)
	}
	return bytes
}

// relayGroups divides agents into about as many groups as each has members.
func relayGroups(addrs []string) (groups [][]string) {
	sorted := slices.Sorted(slices.Values(addrs))
	size := int(math.Ceil(math.Sqrt(float64(len(sorted)))))
	return slices.Collect(slices.Chunk(sorted, size))
}

// passOn sends news of a hub on to the group that it named.
func (x *gossiper) relay(n *feed.GossipMessage) {
	if len(n.RelayTo) == 0 {
		return
	}
	passed := *n
	passed.RelayTo = nil
	x.send(n.RelayTo, &passed)
}
