package chain

import "time"

// Leave announces to the other members that this node is shutting down. They change to a view whose
// chain does not include it, and a learner, if one is suitable, replaces it as an acceptor.
func (r *Replica) Leave(now time.Duration) Output {
	return r.step(now, func() {
		r.leaving = true
		r.broadcastHeartbeat(now)
	})
}

// SafeToStop reports whether this node, after Leave, is no longer needed: a chain without it takes
// writes, each of its members is alive, has adopted the view, holds its log and has not promised to
// replace it, and no learner is left that could replace this node as an acceptor. It is
// also true for a node that is the only member or has no view yet.
func (r *Replica) SafeToStop(now time.Duration) bool {
	view := &r.meta.View
	if len(view.Members()) <= 1 {
		return true // no other member can take over
	}
	if _, acceptor := view.Acceptor(r.meta.Identity); acceptor && len(view.Learners) > 0 {
		return false
	}
	if view.InChain(r.meta.Identity) || r.isSealed() || len(view.Chain) < r.options.MinCopies {
		return false
	}
	for _, id := range view.Chain {
		if !r.isAlive(now, id) {
			return false
		}
		beat := &r.peers[id].heartbeat
		if beat.Epoch != view.Epoch || beat.LogEpoch != view.Epoch || beat.Sealed {
			return false
		}
	}
	return true
}
