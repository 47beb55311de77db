package chain

import (
	"slices"
	"time"
)

// wanted is the next view as this replica would have it: who votes, and who should be in the chain.
type desiredView struct {
	acceptors []Member
	chain     []NodeID
}

// delay grows with the number of acceptors of the wanted chain that come before this one and are heard: they propose first.
func (r *Replica) proposalDelay(now time.Duration, want desiredView) time.Duration {
	n := 0
	for _, m := range r.meta.View.Acceptors {
		if m.ID == r.meta.Identity {
			break
		}
		if r.isAlive(now, m.ID) && slices.Contains(want.chain, m.ID) {
			n++
		}
	}
	return time.Duration(n) * 2 * r.options.Timing.HeartbeatInterval
}

// possible tells whether this replica should propose: it would be in the chain itself, and hears enough machines for a view to be
// agreed on and to take writes.
func (r *Replica) canPropose(now time.Duration, want desiredView) bool {
	if _, acceptor := r.meta.View.Acceptor(r.meta.Identity); !acceptor || !slices.Contains(want.chain, r.meta.Identity) {
		return false
	}
	heard, intact := 0, false
	for _, m := range r.meta.View.Acceptors {
		if r.isAlive(now, m.ID) {
			heard++
		}
	}
	for _, id := range r.meta.View.Chain {
		intact = intact || r.isAlive(now, id)
	}
	return heard >= r.meta.View.Majority() && intact && len(want.chain) >= r.options.MinCopies
}

// want tells which view is wanted, and whether it differs from the one in force, as far as this replica can tell: one that has just started
// wants no other members.
func (r *Replica) desiredView(now time.Duration) (desiredView, bool) {
	view := &r.meta.View
	want := desiredView{chain: r.nextChain(now)}
	want.acceptors = r.nextAcceptors(now, want.chain)
	same := r.isRecentlyStarted(now) || sameMembers(want.acceptors, view.Acceptors) && sameIDs(want.chain, view.Chain)
	return want, !same || r.writeStuck(now) || r.anyAcceptorSealed(now) || r.chainBroken(now)
}

// member is what is known of a machine, at best from itself.
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

// ready tells whether a member may be taken into the chain: heard for a while, hearing this one, and not just left behind by a
// proposal that waited for it.
func (r *Replica) canJoinChain(now time.Duration, id NodeID) bool {
	p := r.peers[id]
	return p != nil && now-p.aliveSince >= r.options.Timing.JoinDelay && now >= p.backoffUntil && p.heartbeat.SeesAlive(&r.meta.View, r.meta.Identity)
}

// isLeaving tells whether a member said that it was told to end.
func (r *Replica) isLeaving(id NodeID) bool {
	if id == r.meta.Identity {
		return r.leaving
	}
	p := r.peers[id]
	return p != nil && p.heartbeat.Leaving
}

// stuck tells whether a write has been on its way for too long.
func (r *Replica) writeStuck(now time.Duration) bool {
	return r.serving() && r.pendingSince != 0 && now-r.pendingSince > r.options.Timing.WriteTimeout
}

// broken tells whether a member of the chain is there but does not hold its log.
func (r *Replica) chainBroken(now time.Duration) bool {
	for _, id := range r.meta.View.Chain {
		p := r.peers[id]
		if p != nil && r.isAlive(now, id) && p.heartbeat.Epoch == r.meta.View.Epoch && p.heartbeat.LogEpoch != r.meta.View.Epoch {
			return true
		}
	}
	return r.meta.View.InChain(r.meta.Identity) && !r.serving()
}

// anySealed tells whether a proposal was begun that may never end.
func (r *Replica) anyAcceptorSealed(now time.Duration) bool {
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
