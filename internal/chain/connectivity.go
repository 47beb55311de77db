package chain

import (
	"math/bits"
	"slices"
	"time"
)

// maxChainCandidates bounds the nodes considered for a chain: sets of them are 64-bit masks.
const maxChainCandidates = 64

// connectivity is the graph of the nodes that receive heartbeats from each other in both
// directions. It includes nodes that this replica does not receive heartbeats from if another live
// node does: two nodes that cannot reach each other, but both reach a third, must choose the same
// chain, or they would replace each other's chain forever.
type connectivity struct {
	ids       []NodeID
	adjacency []uint64 // per node: mask of the connected nodes by index, including itself
}

// newConnectivity builds the connectivity graph of some nodes.
func (r *Replica) newConnectivity(now time.Duration, ids []NodeID) *connectivity {
	c := &connectivity{ids: ids, adjacency: make([]uint64, len(ids))}
	for i, id := range ids {
		c.adjacency[i] |= 1 << i
		for j := range i {
			if r.areConnected(now, id, ids[j]) {
				c.adjacency[i] |= 1 << j
				c.adjacency[j] |= 1 << i
			}
		}
	}
	return c
}

// areConnected reports whether two nodes receive heartbeats from each other. If only one of them
// is alive here, its report decides; if both are alive only according to other nodes, they are
// assumed to be connected.
func (r *Replica) areConnected(now time.Duration, a, b NodeID) bool {
	if a == r.meta.Identity {
		a, b = b, a
	}
	if b == r.meta.Identity {
		return r.isAlive(now, a) && r.peers[a].heartbeat.MaySeeAlive(&r.meta.View, b)
	}
	ab, ba := r.isAlive(now, a), r.isAlive(now, b)
	switch {
	case ab && ba:
		return r.peers[a].heartbeat.MaySeeAlive(&r.meta.View, b) && r.peers[b].heartbeat.MaySeeAlive(&r.meta.View, a)
	case ab:
		return r.peers[a].heartbeat.MaySeeAlive(&r.meta.View, b)
	case ba:
		return r.peers[b].heartbeat.MaySeeAlive(&r.meta.View, a)
	}
	return true
}

// isReportedAlive reports whether a node is alive according to this replica or to a node that is
// alive here.
func (r *Replica) isReportedAlive(now time.Duration, id NodeID) bool {
	if r.isAlive(now, id) {
		return true
	}
	for other, p := range r.peers {
		if other != id && r.isAlive(now, other) && p.heartbeat.SeesAlive(&r.meta.View, id) {
			return true
		}
	}
	return false
}

// nextChain returns the chain that the connectivity allows: the current chain while its members are
// connected, extended by the nodes connected to all of them; otherwise the largest set of connected
// nodes. Leaving nodes are excluded if enough others remain.
func (r *Replica) nextChain(now time.Duration) []NodeID {
	var staying, all []NodeID
	for _, id := range r.chainCandidates(now) {
		all = append(all, id)
		if !r.isLeaving(id) {
			staying = append(staying, id)
		}
	}
	if chain := r.largestChain(now, staying); len(chain) >= r.options.MinCopies || len(all) == len(staying) {
		return chain
	}
	return r.largestChain(now, all)
}

// chainCandidates returns the nodes that may be in the chain. Members of the current chain come
// first, in chain order.
func (r *Replica) chainCandidates(now time.Duration) []NodeID {
	var ids []NodeID
	for _, id := range r.meta.View.Chain {
		if r.isReportedAlive(now, id) {
			ids = append(ids, id)
		}
	}
	add := func(id NodeID) {
		if !r.meta.View.InChain(id) && (id == r.meta.Identity || r.isAlive(now, id) && r.canJoinChain(now, id)) && r.isNearlyCaughtUp(now, id) {
			ids = append(ids, id)
		}
	}
	for _, m := range r.meta.View.Acceptors {
		add(m.ID)
	}
	if _, member := r.meta.View.Member(r.meta.Identity); !member {
		add(r.meta.Identity)
	}
	for _, id := range r.joiningNodes(now) {
		add(id)
	}
	return ids[:min(len(ids), maxChainCandidates)]
}

// largestChain returns the largest set of nodes that are all connected to each other and each
// connected to a majority of the acceptors. Among sets of equal size the one whose members come
// first in ids wins. If the members of the current chain among the candidates are all connected to
// each other, the result contains them.
func (r *Replica) largestChain(now time.Duration, ids []NodeID) []NodeID {
	ids = slices.DeleteFunc(slices.Clone(ids), func(id NodeID) bool { return !r.reachesMajority(now, id) })
	c := r.newConnectivity(now, ids)
	every := uint64(1)<<len(ids) - 1
	if len(ids) == maxChainCandidates {
		every = ^uint64(0)
	}
	var current uint64
	for i, id := range ids {
		if r.meta.View.InChain(id) {
			current |= 1 << i
		}
	}
	if !c.isClique(current) {
		current = 0
	}
	best := c.largestClique(current, every&c.commonNeighbors(current, every)&^current)
	var chain []NodeID
	for i, id := range ids {
		if best&(1<<i) != 0 {
			chain = append(chain, id)
		}
	}
	return chain
}

// reachesMajority reports whether a node is connected to a majority of the acceptors, which the
// head and the tail need to confirm the epoch.
func (r *Replica) reachesMajority(now time.Duration, id NodeID) bool {
	n := 0
	for _, m := range r.meta.View.Acceptors {
		if m.ID == id || r.isReportedAlive(now, m.ID) && r.areConnected(now, id, m.ID) {
			n++
		}
	}
	return n >= r.meta.View.Majority()
}

// isClique reports whether all nodes of a set are connected to each other.
func (c *connectivity) isClique(set uint64) bool { return c.commonNeighbors(set, set) == set }

// commonNeighbors returns the nodes of set "of" that are connected to all nodes of set "with".
func (c *connectivity) commonNeighbors(with, of uint64) uint64 {
	for rest := with; rest != 0; rest &= rest - 1 {
		of &= c.adjacency[bits.TrailingZeros64(rest)]
	}
	return of
}

// largestClique extends a set by the largest clique among the candidates, which are all connected
// to every node of the set.
func (c *connectivity) largestClique(set, candidates uint64) uint64 {
	if c.isClique(candidates) {
		return set | candidates
	}
	best := set
	for candidates != 0 && bits.OnesCount64(set|candidates) > bits.OnesCount64(best) {
		first := candidates & -candidates
		candidates &^= first
		with := c.largestClique(set|first, candidates&c.adjacency[bits.TrailingZeros64(first)])
		if bits.OnesCount64(with) > bits.OnesCount64(best) {
			best = with
		}
	}
	return best
}
