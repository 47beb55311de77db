package tally

import (
	"fmt"
	"slices"
	"time"
)

// emptyDiskWaitFactor multiplies StartupWait on a machine whose disk was lost.
const emptyDiskWaitFactor = 2

// notReadyReason returns why reads can't be answered yet, or "" if they can. A replica becomes ready
// once its disk has everything that each peer had when it first sent its version vector after this
// replica's start. Partitioned peers that stay silent for StartupWait are left out, others only as far as
// mayLeaveOut allows. A replica whose disk was lost must also have caught up with at least one peer that
// answers reads.
func (r *Replica) notReadyReason(now time.Duration) string {
	caughtUp, leftOut, incomplete, wait := false, 0, 0, r.options.Timing.StartupWait
	if !r.complete {
		wait *= emptyDiskWaitFactor
	}
	for _, p := range r.peers {
		if p.initialVector != nil && r.covers(p.initialVector) {
			caughtUp = caughtUp || p.ready
			if p.incomplete {
				incomplete++
			}
			continue
		}
		if now < r.ignoreSilenceUntil || now-max(p.lastHeard, p.addedAt, r.startedAt) < wait {
			return "not yet in step with " + p.addr
		}
		if r.expected(now, p) {
			leftOut++
		}
	}
	if !r.mayLeaveOut(leftOut, incomplete) {
		return fmt.Sprintf("%d machines that are not cut off have not told yet what they hold", leftOut)
	}
	if !r.complete && !caughtUp {
		return "the disk was empty, and no other machine told yet what it holds"
	}
	return ""
}

// mayLeaveOut reports whether reads that leave out a number of expected peers include all acknowledged
// adds. Each is on RemoteCopies+1 disks, so one of them is known, unless disks have lost their copies:
// those of incomplete peers, and the local one if it isn't complete.
func (r *Replica) mayLeaveOut(leftOut, incomplete int) bool {
	return leftOut == 0 || r.complete && leftOut+incomplete <= r.options.RemoteCopies
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

// Flushed reports whether this machine may be removed for good: no write is pending, each reachable peer
// has all adds that this machine accepted, and no adds are Unreplicated.
func (r *Replica) Flushed(now time.Duration) bool {
	for _, p := range r.peers {
		for origin := range r.ownOrigins {
			if r.reachable(now, p) && !p.diskFailed && p.progressOf(origin).durable < r.set.LastSequence(origin) {
				return false
			}
		}
	}
	return r.inFlight == nil && len(r.queue) == 0 && r.Unreplicated() == 0
}

// Unreplicated returns the number of adds on the local disk that are known to be on too few other disks:
// for those accepted here fewer than RemoteCopies, or than all others if there are fewer members. The adds
// of another machine are replicated by that one, so here they are counted only if no other disk has them.
func (r *Replica) Unreplicated() (adds uint64) {
	for _, origin := range r.set.sortedOrigins() {
		copies := min(1, r.otherMembers())
		if r.ownOrigins[origin] {
			copies = min(r.options.RemoteCopies, r.otherMembers())
		}
		last := r.set.LastSequence(origin)
		adds += last - min(last, r.replicatedSequence(origin, copies))
	}
	return adds
}

// replicatedSequence returns the highest sequence number of an origin that a number of peers are known to
// have on disk. It is the origin's last one for no peers.
func (r *Replica) replicatedSequence(origin Origin, copies int) uint64 {
	if copies == 0 {
		return r.set.LastSequence(origin)
	}
	var durable []uint64
	for _, p := range r.peers {
		durable = append(durable, p.durableOf(origin))
	}
	slices.Sort(durable)
	return durable[len(durable)-copies]
}

// otherMembers returns the number of members besides this machine.
func (r *Replica) otherMembers() (count int) {
	for _, p := range r.peers {
		if p.member {
			count++
		}
	}
	return count
}
