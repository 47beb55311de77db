package chain

import "time"

// Leave tells the others that this machine was told to end. They go over to a view whose chain is without it, and where a learner can,
// that one votes in its place.
func (r *Replica) Leave(now time.Duration) Output {
	return r.step(now, func() {
		r.leaving = true
		r.broadcastHeartbeat(now)
	})
}

// MayEnd tells whether this machine, once told to end, is needed no more: a chain without it takes writes, each of its members has begun
// the view, and no learner is left that could vote in its place. It is true too of a machine that is the only one, or of no view yet.
func (r *Replica) SafeToStop(now time.Duration) bool {
	view := &r.meta.View
	if len(view.Members()) <= 1 {
		return true // nobody is there to hand over to
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
