package tally

import "time"

// emptyDiskWaitFactor multiplies StartupWait on a machine whose disk was lost.
const emptyDiskWaitFactor = 2

// notReadyReason returns why reads can't be answered yet, or "" if they can. A replica becomes ready
// once its disk has everything that each peer had when it first sent its version vector after this
// replica's start. Peers that stay silent for StartupWait are left out. A replica whose disk was lost
// must also have caught up with at least one peer that answers reads.
func (r *Replica) notReadyReason(now time.Duration) string {
	caughtUp, wait := false, r.options.Timing.StartupWait
	if !r.complete {
		wait *= emptyDiskWaitFactor
	}
	for _, p := range r.peers {
		if p.initialVector != nil && r.covers(p.initialVector) {
			caughtUp = caughtUp || p.ready
			continue
		}
		if now < r.ignoreSilenceUntil || now-max(p.lastHeard, p.addedAt, r.startedAt) < wait {
			return "not yet in step with " + p.addr
		}
	}
	if !r.complete && !caughtUp {
		return "the disk was empty, and no other machine told yet what it holds"
	}
	return ""
}

// covers reports whether the local disk has all adds that a version vector includes.
func (r *Replica) covers(vector VersionVector) bool {
	for origin, sequence := range vector {
		if r.set.LastSequence(origin) < sequence {
			return false
		}
	}
	return true
}

// Flushed reports whether each reachable peer has all adds that this machine accepted and no write is
// pending, so that the machine may be removed for good.
func (r *Replica) Flushed(now time.Duration) bool {
	for _, p := range r.peers {
		for origin := range r.ownOrigins {
			if r.reachable(now, p) && !p.diskFailed && p.progressOf(origin).durable < r.set.LastSequence(origin) {
				return false
			}
		}
	}
	return r.inFlight == nil && len(r.queue) == 0
}
