package chain

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// faultTolerance is how many failures an acceptor set survives with a majority left. A negative
// number is the number of votes missing for a majority.
type faultTolerance struct {
	spareNodes         int // live acceptors above a majority
	spareAfterZoneLoss int // the same after the loss of the zone with the most live acceptors
}

// betterThan reports whether s survives more failures than another set. The loss of single nodes is
// compared first while there are too few acceptors (tooFew), otherwise the loss of a zone.
func (s faultTolerance) betterThan(other faultTolerance, tooFew bool) bool {
	first, second := cmp.Compare(s.spareAfterZoneLoss, other.spareAfterZoneLoss), cmp.Compare(s.spareNodes, other.spareNodes)
	if tooFew {
		first, second = second, first
	}
	return cmp.Or(first, second) > 0
}

// nextAcceptors returns the acceptors of the next view, given the members of its chain, all of
// which hold the complete log.
//
// A new node starts as a learner. It becomes an acceptor only when that improves fault tolerance:
// as the replacement of an acceptor that is leaving, has been silent for long or lost its disk; as
// the replacement of one in an overfull zone; or together with a second learner, since an even
// number of acceptors tolerates no more failures than the odd number below it and needs one more
// vote. A silent acceptor is removed without a replacement only after AcceptorRemovalTimeout, and
// only if that improves fault tolerance: keeping it costs little, and if a zone was removed, its
// votes are missing when it has returned and another zone fails.
func (r *Replica) nextAcceptors(now time.Duration, chain []NodeID) []Member {
	var acceptors, learners []Member
	for _, m := range r.meta.View.Acceptors {
		acceptors = append(acceptors, r.memberInfo(m.ID))
	}
	for _, id := range chain {
		if _, acceptor := r.meta.View.Acceptor(id); !acceptor {
			learners = append(learners, r.memberInfo(id))
		}
	}
	acceptors, learners = replaceLostDisks(acceptors, learners)
	for {
		next, left := r.improveAcceptors(now, acceptors, learners)
		if next == nil {
			return acceptors
		}
		acceptors, learners = next, left
	}
}

// replaceLostDisks replaces each acceptor whose address a learner now uses under a new identity:
// that node has lost its disk.
func replaceLostDisks(acceptors, learners []Member) (next, left []Member) {
	for _, learner := range learners {
		i := slices.IndexFunc(acceptors, func(m Member) bool { return m.Addr == learner.Addr })
		if i < 0 {
			left = append(left, learner)
			continue
		}
		acceptors = append(slices.Delete(acceptors, i, i+1), learner)
	}
	return acceptors, left
}

// improveAcceptors returns the first change of the acceptors that improves fault tolerance, and the
// learners that remain. next is nil if no change does.
func (r *Replica) improveAcceptors(now time.Duration, acceptors, learners []Member) (next, left []Member) {
	minAcceptors := 2*r.options.MinCopies - 1 // the smallest set whose majority is MinCopies
	before := r.faultToleranceOf(now, acceptors)
	better := func(changed []Member) bool {
		return r.faultToleranceOf(now, changed).betterThan(before, len(acceptors) < minAcceptors)
	}
	for i, learner := range learners { // as a replacement
		without := slices.Delete(slices.Clone(learners), i, i+1)
		if at := r.bestSwap(now, acceptors, learner, better); at >= 0 {
			return append(slices.Delete(slices.Clone(acceptors), at, at+1), learner), without
		}
	}
	for i := range learners { // as an addition, alone or in pairs
		for j := i; j < len(learners); j++ {
			more, without := append(slices.Clone(acceptors), learners[i]), slices.Delete(slices.Clone(learners), i, i+1)
			if j > i {
				more, without = append(more, learners[j]), slices.Delete(without, j-1, j)
			}
			if better(more) {
				return more, without
			}
		}
	}
	return r.withoutDeparted(now, acceptors, minAcceptors, better), learners
}

// bestSwap returns the index of the acceptor that the learner should replace, or -1 if no
// replacement improves fault tolerance. A leaving acceptor is preferred, then the one silent for
// longest.
func (r *Replica) bestSwap(now time.Duration, acceptors []Member, learner Member, better func([]Member) bool) int {
	best, longest := -1, time.Duration(-1)
	for i, m := range acceptors {
		silence := r.sinceHeartbeat(now, m.ID)
		if r.isLeaving(m.ID) {
			silence = math.MaxInt64
		}
		changed := append(slices.Delete(slices.Clone(acceptors), i, i+1), learner)
		if silence > longest && better(changed) {
			best, longest = i, silence
		}
	}
	return best
}

// withoutDeparted returns the acceptors without one or two that are leaving or have been silent for
// longer than AcceptorRemovalTimeout, or nil if that does not improve fault tolerance.
func (r *Replica) withoutDeparted(now time.Duration, acceptors []Member, minAcceptors int, better func([]Member) bool) []Member {
	var departed []NodeID
	for _, m := range acceptors {
		if m.ID != r.meta.Identity && (r.isLeaving(m.ID) || r.sinceHeartbeat(now, m.ID) > r.options.Timing.AcceptorRemovalTimeout) {
			departed = append(departed, m.ID)
		}
	}
	for n := 1; n <= min(2, len(departed), len(acceptors)-minAcceptors); n++ {
		fewer := slices.DeleteFunc(slices.Clone(acceptors), func(m Member) bool { return slices.Contains(departed[:n], m.ID) })
		if better(fewer) {
			return fewer
		}
	}
	return nil
}

// faultToleranceOf computes the fault tolerance of an acceptor set from the acceptors available
// now.
func (r *Replica) faultToleranceOf(now time.Duration, acceptors []Member) faultTolerance {
	live, inZone := 0, map[string]int{}
	for _, m := range acceptors {
		if !r.isAvailable(now, m.ID) {
			continue
		}
		live++
		zone := m.Zone
		// A member of the initial view that is known only by its address has no zone until its first
		// heartbeat; until then it counts as a zone of its own.
		if zone == "" {
			zone = "of " + string(m.ID)
		}
		inZone[zone]++
	}
	worst := 0
	for _, n := range inZone {
		worst = max(worst, n)
	}
	majority := len(acceptors)/2 + 1
	return faultTolerance{spareNodes: live - majority, spareAfterZoneLoss: live - worst - majority}
}

// isAvailable reports whether a node is alive, as far as this replica knows, and not leaving.
func (r *Replica) isAvailable(now time.Duration, id NodeID) bool {
	return !r.isLeaving(id) && (r.sinceHeartbeat(now, id) < r.options.Timing.AcceptorReplaceTimeout || r.isReportedAlive(now, id))
}
