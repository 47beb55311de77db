package chain

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// standing is how much an acceptor set bears from here: by how many live acceptors it is above a majority, and by how many after the
// worst loss of one zone. Negative numbers are votes that it would lack.
type faultTolerance struct {
	spareNodes         int
	spareAfterZoneLoss int
}

// better tells whether a set bears more than another. Losses of machines count first while there are too few acceptors for those that
// must be borne, else losses of zones.
func (s faultTolerance) betterThan(than faultTolerance, tooFew bool) bool {
	first, second := cmp.Compare(s.spareAfterZoneLoss, than.spareAfterZoneLoss), cmp.Compare(s.spareNodes, than.spareNodes)
	if tooFew {
		first, second = second, first
	}
	return cmp.Or(first, second) > 0
}

// wantedAcceptors is the acceptors of the next view, given the members of its chain, which hold all that was written.
//
// A newcomer is a learner first. It votes once that helps: in the place of an acceptor that leaves, was silent for long or lost its
// disk, in one whose zone holds too many, or together with another, as an even number of acceptors bears no more than the odd one
// below it and needs one vote more. Nobody is taken out for silence alone: a silent acceptor costs little, and a zone that was dropped
// is missing when it is back and another is lost.
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

// replaceLostDisks puts those that came back under another identity in the places of those at their addresses.
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

// improve gives the first change of the acceptors that makes them bear more, nil if none does.
func (r *Replica) improveAcceptors(now time.Duration, acceptors, learners []Member) (next, left []Member) {
	least := 2*r.options.MinCopies - 1
	before := r.faultToleranceOf(now, acceptors)
	better := func(changed []Member) bool {
		return r.faultToleranceOf(now, changed).betterThan(before, len(acceptors) < least)
	}
	for i, learner := range learners { // in another's place
		without := slices.Delete(slices.Clone(learners), i, i+1)
		if at := r.bestSwap(now, acceptors, learner, better); at >= 0 {
			return append(slices.Delete(slices.Clone(acceptors), at, at+1), learner), without
		}
	}
	for i := range learners { // one more, or two
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
	return r.withoutDeparted(now, acceptors, least, better), learners
}

// bestSwap is the place of the acceptor that a learner should vote instead of: one that leaves or is silent before one that is there;
// -1 if no swap makes the acceptors bear more.
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

// withoutDeparted leaves out one acceptor or two that were told to end or are silent for very long; nil if that does not help.
func (r *Replica) withoutDeparted(now time.Duration, acceptors []Member, least int, better func([]Member) bool) []Member {
	var departed []NodeID
	for _, m := range acceptors {
		if m.ID != r.meta.Identity && (r.isLeaving(m.ID) || r.sinceHeartbeat(now, m.ID) > r.options.Timing.AcceptorRemovalTimeout) {
			departed = append(departed, m.ID)
		}
	}
	for n := 1; n <= min(2, len(departed), len(acceptors)-least); n++ {
		fewer := slices.DeleteFunc(slices.Clone(acceptors), func(m Member) bool { return slices.Contains(departed[:n], m.ID) })
		if better(fewer) {
			return fewer
		}
	}
	return nil
}

// standing judges a set of acceptors.
func (r *Replica) faultToleranceOf(now time.Duration, acceptors []Member) faultTolerance {
	live, inZone := 0, map[string]int{}
	for _, m := range acceptors {
		if !r.isAvailable(now, m.ID) {
			continue
		}
		live++
		zone := m.Zone
		if zone == "" { // not known yet: the seeds of the first start tell theirs when they are heard
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

// counts tells whether an acceptor is there and stays, as far as is known.
func (r *Replica) isAvailable(now time.Duration, id NodeID) bool {
	return !r.isLeaving(id) && (r.sinceHeartbeat(now, id) < r.options.Timing.AcceptorReplaceTimeout || r.isReportedAlive(now, id))
}
