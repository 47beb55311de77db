package chain

import (
	"slices"
	"time"
)

// desiredView is the next view that this replica would propose: its acceptors and its chain.
type desiredView struct {
	acceptors []Member
	chain     []NodeID
}

// proposalDelay returns how long to wait before proposing: two heartbeat intervals for each live
// acceptor of the desired chain that precedes this node.
func (r *Replica) proposalDelay(now time.Duration, desired desiredView) time.Duration {
	n := 0
	for _, m := range r.meta.View.Acceptors {
		if m.ID == r.meta.Identity {
			break
		}
		if r.isAlive(now, m.ID) && slices.Contains(desired.chain, m.ID) {
			n++
		}
	}
	return time.Duration(n) * 2 * r.options.Timing.HeartbeatInterval
}

// canPropose reports whether this replica may propose the desired view: it is an acceptor and in
// the desired chain, and sees enough nodes alive to agree on the view and to take writes in it.
func (r *Replica) canPropose(now time.Duration, desired desiredView) bool {
	if _, acceptor := r.meta.View.Acceptor(r.meta.Identity); !acceptor || !slices.Contains(desired.chain, r.meta.Identity) {
		return false
	}
	alive, chainMemberAlive := 0, false
	for _, m := range r.meta.View.Acceptors {
		if r.isAlive(now, m.ID) {
			alive++
		}
	}
	for _, id := range r.meta.View.Chain {
		chainMemberAlive = chainMemberAlive || r.isAlive(now, id)
	}
	return alive >= r.meta.View.Majority() && chainMemberAlive && len(desired.chain) >= r.options.MinCopies
}

// desiredView returns the desired view and whether a view change is needed. A replica that has
// recently started proposes no change of members.
func (r *Replica) desiredView(now time.Duration) (desiredView, bool) {
	view := &r.meta.View
	desired := desiredView{chain: r.nextChain(now)}
	desired.acceptors = r.nextAcceptors(now, desired.chain)
	same := r.isRecentlyStarted(now) || sameMembers(desired.acceptors, view.Acceptors) && sameIDs(desired.chain, view.Chain)
	return desired, !same || r.writeStuck(now) || r.anyNodeSealed(now) || r.chainBroken(now)
}

// memberInfo returns the best known information about a node, preferably from its own messages.
func (r *Replica) memberInfo(id NodeID) Member {
	if id == r.meta.Identity {
		return r.options.Self
	}
	if p := r.peers[id]; p != nil {
		return p.member
	}
	m, _ := r.meta.View.Member(id)
	return m
}

// canJoinChain reports whether a node may be added to the chain: alive for JoinDelay, receiving
// heartbeats from this node, and not in the backoff after failing to catch up.
func (r *Replica) canJoinChain(now time.Duration, id NodeID) bool {
	p := r.peers[id]
	return p != nil && now-p.aliveSince >= r.options.Timing.JoinDelay && now >= p.backoffUntil && p.heartbeat.SeesAlive(&r.meta.View, r.meta.Identity)
}

// isLeaving reports whether a node has announced its shutdown.
func (r *Replica) isLeaving(id NodeID) bool {
	if id == r.meta.Identity {
		return r.leaving
	}
	p := r.peers[id]
	return p != nil && p.heartbeat.Leaving
}

// writeStuck reports whether a write has been uncommitted for longer than WriteTimeout.
func (r *Replica) writeStuck(now time.Duration) bool {
	return r.holdsChainLog() && r.pendingSince != 0 && now-r.pendingSince > r.options.Timing.WriteTimeout
}

// chainBroken reports whether a chain member is alive but does not hold the log of the chain.
func (r *Replica) chainBroken(now time.Duration) bool {
	for _, id := range r.meta.View.Chain {
		p := r.peers[id]
		if p != nil && r.isAlive(now, id) && p.heartbeat.Epoch == r.meta.View.Epoch && p.heartbeat.LogEpoch != r.meta.View.Epoch {
			return true
		}
	}
	return r.meta.View.InChain(r.meta.Identity) && !r.holdsChainLog()
}

// anyNodeSealed reports whether this node or a live one has promised a ballot for the next epoch.
// The proposal of that ballot may never finish, and until a new view is adopted a sealed node takes
// no writes.
func (r *Replica) anyNodeSealed(now time.Duration) bool {
	if r.isSealed() {
		return true
	}
	for id, p := range r.peers {
		if r.isAlive(now, id) && p.heartbeat.Sealed && p.heartbeat.Epoch == r.meta.View.Epoch {
			return true
		}
	}
	return false
}
