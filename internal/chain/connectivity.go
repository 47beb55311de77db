package chain

import (
	"math/bits"
	"slices"
	"time"
)

// mostLinked bounds the machines among which a chain is looked for: their sets are kept as bits.
const maxChainCandidates = 64

// links is which machines of the core hear each other both ways, as far as heartbeats tell. Those that this replica does not hear
// itself are in it where another that it hears does: two machines that do not reach each other but both reach a third must come to
// the same chain, or they would replace each other's without end.
type connectivity struct {
	ids       []NodeID
	adjacency []uint64 // per machine: the machines, by place, that it has a link with, itself among them
}

// newLinks looks at the links among some machines.
func (r *Replica) newConnectivity(now time.Duration, ids []NodeID) *connectivity {
	l := &connectivity{ids: ids, adjacency: make([]uint64, len(ids))}
	for i, id := range ids {
		l.adjacency[i] |= 1 << i
		for j := range i {
			if r.areConnected(now, id, ids[j]) {
				l.adjacency[i] |= 1 << j
				l.adjacency[j] |= 1 << i
			}
		}
	}
	return l
}

// linkedTo tells whether two machines hear each other. Of two that are both known by others' word alone it is taken for granted.
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

// heardOf tells whether a machine is heard here or by another that is heard here.
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

// wantedChain is the chain that the links allow: the one in force as long as its members reach each other, with all that reach all of
// them; else the largest set of machines that do. Machines that were told to end are left out where enough others remain.
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

// eligible are the machines that may be in the chain, those of the chain in force first and in its order.
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

// largestChain is the largest set of machines that all reach each other and a majority of the acceptors each; of equals, the one whose
// members come first in the order given. The chain in force is part of it as long as it is such a set itself.
func (r *Replica) largestChain(now time.Duration, ids []NodeID) []NodeID {
	ids = slices.DeleteFunc(slices.Clone(ids), func(id NodeID) bool { return !r.reachesMajority(now, id) })
	l := r.newConnectivity(now, ids)
	every := uint64(1)<<len(ids) - 1
	if len(ids) == maxChainCandidates {
		every = ^uint64(0)
	}
	var kept uint64
	for i, id := range ids {
		if r.meta.View.InChain(id) {
			kept |= 1 << i
		}
	}
	if !l.isClique(kept) {
		kept = 0
	}
	best := l.largestClique(kept, every&l.commonNeighbors(kept, every)&^kept)
	var chain []NodeID
	for i, id := range ids {
		if best&(1<<i) != 0 {
			chain = append(chain, id)
		}
	}
	return chain
}

// reachesMajority tells whether a machine has links with a majority of the acceptors: the ends of a chain must ask them.
func (r *Replica) reachesMajority(now time.Duration, id NodeID) bool {
	n := 0
	for _, m := range r.meta.View.Acceptors {
		if m.ID == id || r.isReportedAlive(now, m.ID) && r.areConnected(now, id, m.ID) {
			n++
		}
	}
	return n >= r.meta.View.Majority()
}

// complete tells whether all of a set are linked with each other.
func (l *connectivity) isClique(set uint64) bool { return l.commonNeighbors(set, set) == set }

// common is those of a set that are linked with all of another.
func (l *connectivity) commonNeighbors(with, of uint64) uint64 {
	for rest := with; rest != 0; rest &= rest - 1 {
		of &= l.adjacency[bits.TrailingZeros64(rest)]
	}
	return of
}

// largest adds as many of the candidates to a set as are linked with each other. The candidates are linked with all of the set.
func (l *connectivity) largestClique(set, candidates uint64) uint64 {
	if l.isClique(candidates) {
		return set | candidates
	}
	best := set
	for candidates != 0 && bits.OnesCount64(set|candidates) > bits.OnesCount64(best) {
		first := candidates & -candidates
		candidates &^= first
		with := l.largestClique(set|first, candidates&l.adjacency[bits.TrailingZeros64(first)])
		if bits.OnesCount64(with) > bits.OnesCount64(best) {
			best = with
		}
	}
	return best
}
