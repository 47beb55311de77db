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

// sufficientlyReplicated reports whether an add that is on the local disk is also on RemoteCopies other
// disks or, if fewer peers are expected, on the disk of every expected peer. A peer that is merely down,
// paused, without power or without a working disk stays expected, however long it is silent: only a partition
// excuses it.
func (r *Replica) sufficientlyReplicated(now time.Duration, dot Dot) bool {
	copies, missing := 0, 0
	for _, p := range r.peers {
		switch {
		case p.contains(dot):
			copies++
		case r.expected(now, p):
			missing++
		}
	}
	return copies >= r.options.RemoteCopies || missing == 0
}

// tooFewDisks reports whether adds can't be acknowledged at present, because expected peers are known to
// be unavailable and the others aren't enough.
func (r *Replica) tooFewDisks(now time.Duration) bool {
	usable, unavailable := 0, 0
	for _, p := range r.peers {
		switch {
		case !r.expected(now, p):
		case r.unavailable(now, p):
			unavailable++
		default:
			usable++
		}
	}
	return unavailable > 0 && usable < r.options.RemoteCopies
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
