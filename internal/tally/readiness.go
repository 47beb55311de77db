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
// has all adds that this machine accepted, and enough disks have the adds of all machines.
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

// Unreplicated returns the number of adds on the local disk that are known to be on fewer than
// RemoteCopies other disks, or on fewer than all others if there are fewer members.
func (r *Replica) Unreplicated() (adds uint64) {
	copies := min(r.options.RemoteCopies, r.otherMembers())
	if copies == 0 {
		return 0
	}
	for _, origin := range r.set.sortedOrigins() {
		var durable []uint64
		for _, p := range r.peers {
			durable = append(durable, p.durableOf(origin))
		}
		slices.Sort(durable)
		// The element at this index is the highest sequence number that enough peers have.
		replicated := durable[len(durable)-copies]
		adds += r.set.LastSequence(origin) - min(replicated, r.set.LastSequence(origin))
	}
	return adds
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
