package tally

import (
	"cmp"
	"slices"
	"time"
)

// settle answers the calls whose adds are on enough disks.
func (r *Replica) acknowledgeReplicated(now time.Duration, out *Output) {
	for _, dot := range r.waitingDots() {
		if r.set.Contains(dot) && r.sufficientlyReplicated(now, dot) {
			r.replyToWaiters(out, dot, Acknowledged, "")
		}
	}
}

// enough tells whether an add that is on this disk is on as many others as it should be, or on all that can be reached. While this
// machine cannot know who is in reach, it waits; and for a while where others have only just fallen silent, as it may be this machine that
// does not get to their messages.
func (r *Replica) sufficientlyReplicated(now time.Duration, dot Dot) bool {
	copies, reachable, copiesInReach, recent := 0, 0, 0, false
	for _, p := range r.peers {
		has := p.contains(dot)
		if has {
			copies++
		}
		if r.reachable(now, p) && !p.diskFailed {
			reachable++
			if has {
				copiesInReach++
			}
		} else if !has && p.heardWithin(now, r.options.Timing.SuspectWindow) && !p.diskFailed {
			recent = true
		}
	}
	if copies >= r.options.RemoteCopies {
		return true
	}
	if recent && now-r.waitingSince(dot) < r.options.Timing.SuspectWait {
		return false
	}
	return now >= r.ignoreSilenceUntil && reachable < r.options.RemoteCopies && copiesInReach == reachable
}

// waitingSince is when the first call that waits for an add came.
func (r *Replica) waitingSince(dot Dot) time.Duration {
	waiters := r.waiters[dot]
	if len(waiters) == 0 {
		return 0
	}
	return waiters[0].since
}

// expire answers the calls that have waited for too long, and those whose adds a failing disk holds up.
func (r *Replica) expireCalls(now time.Duration, out *Output) {
	fails := r.diskUnavailable(now)
	for _, dot := range r.waitingDots() {
		if fails && !r.set.Contains(dot) {
			r.replyToWaiters(out, dot, Unclear, "the disk takes no writes")
			continue
		}
		r.waiters[dot] = slices.DeleteFunc(r.waiters[dot], func(w waiter) bool {
			late := now-w.since >= r.options.Timing.AddTimeout
			if late {
				r.reply(out, w.token, Unclear, "not on enough disks in time")
			}
			return late
		})
		if len(r.waiters[dot]) == 0 {
			delete(r.waiters, dot)
		}
	}
	if fails {
		r.refuseQueue(out, "the disk takes no writes")
	}
}

// refuseQueue refuses the adds that no write was begun for.
func (r *Replica) refuseQueue(out *Output, reason string) {
	for _, q := range r.queue {
		for _, w := range q.waiters {
			r.reply(out, w.token, Refused, reason)
		}
	}
	r.queue = nil
}

// giveUp answers all calls that wait for an add.
func (r *Replica) replyToWaiters(out *Output, dot Dot, outcome Outcome, reason string) {
	for _, w := range r.waiters[dot] {
		r.reply(out, w.token, outcome, reason)
	}
	delete(r.waiters, dot)
}

// waitingDots gives the adds that calls wait for, in an order.
func (r *Replica) waitingDots() []Dot {
	dots := make([]Dot, 0, len(r.waiters))
	for dot := range r.waiters {
		dots = append(dots, dot)
	}
	slices.SortFunc(dots, func(a, b Dot) int {
		return cmp.Or(cmp.Compare(a.Origin, b.Origin), cmp.Compare(a.Sequence, b.Sequence))
	})
	return dots
}
