package tally

import (
	"cmp"
	"slices"
	"time"
)

// acknowledgeReplicated acknowledges the waiting calls whose adds are on enough disks.
func (r *Replica) acknowledgeReplicated(now time.Duration, out *Output) {
	for _, dot := range r.waitingDots() {
		if r.set.Contains(dot) && r.sufficientlyReplicated(now, dot) {
			r.replyToWaiters(out, dot, Acknowledged, "")
		}
	}
}

// sufficientlyReplicated reports whether an add that is on the local disk is also on RemoteCopies
// other disks or, if fewer peers are reachable, on the disk of every reachable peer. It returns false
// while reachability is unknown, and for up to SuspectWait while peers that lack the add have only
// recently become unreachable, because the local process may be late in reading their messages.
func (r *Replica) sufficientlyReplicated(now time.Duration, dot Dot) bool {
	copies, reachable, reachableCopies, suspected := 0, 0, 0, false
	for _, p := range r.peers {
		stored := p.contains(dot)
		if stored {
			copies++
		}
		if r.reachable(now, p) && !p.diskFailed {
			reachable++
			if stored {
				reachableCopies++
			}
		} else if !stored && p.heardWithin(now, r.options.Timing.SuspectWindow) && !p.diskFailed {
			suspected = true
		}
	}
	if copies >= r.options.RemoteCopies {
		return true
	}
	if suspected && now-r.waitingSince(dot) < r.options.Timing.SuspectWait {
		return false
	}
	return now >= r.ignoreSilenceUntil && reachable < r.options.RemoteCopies && reachableCopies == reachable
}

// waitingSince returns the arrival time of the oldest call that waits for an add, or 0 if there is none.
func (r *Replica) waitingSince(dot Dot) time.Duration {
	waiters := r.waiters[dot]
	if len(waiters) == 0 {
		return 0
	}
	return waiters[0].since
}

// expireCalls answers Unclear to the calls that have waited for AddTimeout and, while the disk is
// unavailable, to those whose adds are not on it yet. In the latter case it also refuses the queue.
func (r *Replica) expireCalls(now time.Duration, out *Output) {
	diskUnavailable := r.diskUnavailable(now)
	for _, dot := range r.waitingDots() {
		if diskUnavailable && !r.set.Contains(dot) {
			r.replyToWaiters(out, dot, Unclear, "the disk takes no writes")
			continue
		}
		r.waiters[dot] = slices.DeleteFunc(r.waiters[dot], func(w waiter) bool {
			expired := now-w.since >= r.options.Timing.AddTimeout
			if expired {
				r.reply(out, w.token, Unclear, "not on enough disks in time")
			}
			return expired
		})
		if len(r.waiters[dot]) == 0 {
			delete(r.waiters, dot)
		}
	}
	if diskUnavailable {
		r.refuseQueue(out, "the disk takes no writes")
	}
}

// refuseQueue refuses the queued adds, which are not part of any write.
func (r *Replica) refuseQueue(out *Output, reason string) {
	for _, q := range r.queue {
		for _, w := range q.waiters {
			r.reply(out, w.token, Refused, reason)
		}
	}
	r.queue = nil
}

// replyToWaiters answers all calls that wait for an add.
func (r *Replica) replyToWaiters(out *Output, dot Dot, outcome Outcome, reason string) {
	for _, w := range r.waiters[dot] {
		r.reply(out, w.token, outcome, reason)
	}
	delete(r.waiters, dot)
}

// waitingDots returns the dots of the adds that calls wait for, sorted by origin and sequence number.
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
