package tally

import "time"

// lostPatience is how much longer a machine whose disk was lost waits for others.
const emptyDiskWaitFactor = 2

// unready tells why reads are not to be answered yet, "" if they are: since its start this machine is to hold what each peer in reach held
// when it was first heard, and one whose disk was lost is to have learned from a machine that answers reads.
func (r *Replica) notReadyReason(now time.Duration) string {
	learned, patience := false, r.options.Timing.StartupWait
	if !r.complete {
		patience *= emptyDiskWaitFactor
	}
	for _, p := range r.peers {
		if p.initialVector != nil && r.covers(p.initialVector) {
			learned = learned || p.ready
			continue
		}
		if now < r.ignoreSilenceUntil || now-max(p.lastHeard, p.addedAt, r.startedAt) < patience {
			return "not yet in step with " + p.addr
		}
	}
	if !r.complete && !learned {
		return "the disk was empty, and no other machine told yet what it holds"
	}
	return ""
}

// holdsAll tells whether all that a vector names is on this disk.
func (r *Replica) covers(vector VersionVector) bool {
	for origin, number := range vector {
		if r.set.LastSequence(origin) < number {
			return false
		}
	}
	return true
}

// Flushed tells whether each peer in reach has all that this machine took, so that it may end for good.
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
