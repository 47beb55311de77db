package tally

import (
	"maps"
	"slices"
	"time"
)

// AttemptResult is the result of an attempt to connect to a machine.
type AttemptResult int

// The results of a connection attempt.
const (
	Inconclusive AttemptResult = iota // it failed for a reason that says nothing about the machine
	Connected
	RefusedConnection
	Unanswered // no answer within AttemptTimeout
)

// partitionAttempts is the number of consecutive unanswered attempts that show that a machine doesn't answer.
// A single one may be due to a lost packet.
const partitionAttempts = 4

// attempts is the state of the connection attempts to a peer or a witness.
type attempts struct {
	next            time.Duration // when the next one is due
	firstStarted    time.Duration // start of the first one, or never
	lastAccepted    time.Duration // start of the newest one that was accepted, or never
	lastAnswered    time.Duration // start of the newest one that was answered, or never
	answeredSince   time.Duration // start of the first answered one since the machine last stopped answering, or never
	refused         bool          // the newest answer was a refusal
	unanswered      int           // consecutive unanswered ones
	unansweredSince time.Duration // start of the first of them
	lastUnanswered  time.Duration // when the newest of them ended
	failingSince    time.Duration // start of the first one since the last accepted connection, or never
	lastFailure     time.Duration // when the newest refused or unanswered one ended
}

// newAttempts returns the state before the first attempt.
func newAttempts() attempts {
	return attempts{firstStarted: never, lastAccepted: never, lastAnswered: never, answeredSince: never, failingSince: never}
}

// accepting reports whether the newest attempt was accepted.
func (a *attempts) accepting() bool {
	return a.answeredSince != never && !a.refused && a.unanswered == 0
}

// allUnanswered reports whether the newest attempts to connect to a machine all went unanswered, for
// PartitionWait at least.
func (r *Replica) allUnanswered(now time.Duration, a *attempts) bool {
	return a.unanswered >= partitionAttempts && now-a.unansweredSince >= r.options.Timing.PartitionWait &&
		now-a.lastUnanswered < r.attemptValidity()
}

// failing reports whether all attempts to connect to a machine have failed for RefusedPartitionWait.
func (r *Replica) failing(now time.Duration, a *attempts) bool {
	return a.failingSince != never && now-a.failingSince >= r.options.Timing.RefusedPartitionWait &&
		now-a.lastFailure < r.attemptValidity()
}

// attemptValidity returns how long the result of an attempt is evidence. Attempts follow each other faster.
func (r *Replica) attemptValidity() time.Duration {
	return r.options.Timing.AttemptTimeout + 2*r.options.Timing.AttemptInterval
}

// attemptConnections requests the connection attempts that are due: to the peers whose messages, or whose
// echoes of messages to them, have not arrived for AttemptAfter, and, unless those accept connections, to
// their witnesses and the local ones.
func (r *Replica) attemptConnections(now time.Duration, out *Output) {
	timing := &r.options.Timing
	needed := map[string]bool{} // witnesses
	for _, p := range r.sortedPeers() {
		p.observeReachable(now, r.reachable(now, p))
		if p.heardWithin(now, timing.AttemptAfter) && p.echoedWithin(now, 2*timing.AttemptAfter) {
			p.attempts = newAttempts()
			continue
		}
		if !p.attempts.accepting() {
			for _, addr := range slices.Concat(p.witnesses, r.localWitnesses) {
				needed[addr] = true
			}
		}
		r.attemptIfDue(now, p.addr, &p.attempts, out)
	}
	r.attemptWitnesses(now, needed, out)
}

// observeReachable records whether the peer is reachable now.
func (p *peer) observeReachable(now time.Duration, reachable bool) {
	if reachable && !p.wasReachable {
		p.reachableSince = now
	}
	p.wasReachable = reachable
	p.everReachable = p.everReachable || reachable
}

// attemptWitnesses requests the attempts to witnesses that are due, and forgets those not needed any more.
func (r *Replica) attemptWitnesses(now time.Duration, needed map[string]bool, out *Output) {
	for addr := range r.witnesses {
		if !needed[addr] {
			delete(r.witnesses, addr)
		}
	}
	for _, addr := range slices.Sorted(maps.Keys(needed)) {
		a := r.witnesses[addr]
		if a == nil {
			a = new(attempts)
			*a = newAttempts()
			r.witnesses[addr] = a
		}
		r.attemptIfDue(now, addr, a, out)
	}
}

// attemptIfDue requests the next attempt to connect to a machine if it is due.
func (r *Replica) attemptIfDue(now time.Duration, addr string, a *attempts, out *Output) {
	if now < a.next {
		return
	}
	if a.firstStarted == never {
		a.firstStarted = now
	}
	a.next = now + r.attemptInterval(now, a)
	out.Attempts = append(out.Attempts, addr)
}

// attemptInterval returns the time until the next attempt to connect to a machine. It is short until the
// attempts show whether the machine answers, as adds may wait for that.
func (r *Replica) attemptInterval(now time.Duration, a *attempts) time.Duration {
	answered := a.answeredSince != never && a.unanswered == 0
	if answered || r.allUnanswered(now, a) {
		return r.options.Timing.AttemptInterval
	}
	return r.options.Timing.AttemptRetry
}

// AttemptFinished reports the result of an attempt from Output.Attempts that began at startedAt.
func (r *Replica) AttemptFinished(now time.Duration, addr string, startedAt time.Duration, result AttemptResult) Output {
	out := Output{}
	r.advance(now)
	if p := r.peers[addr]; p != nil {
		r.recordAttempt(now, &p.attempts, startedAt, result)
	}
	if a := r.witnesses[addr]; a != nil {
		r.recordAttempt(now, a, startedAt, result)
	}
	r.acknowledgeReplicated(now, &out)
	return out
}

// recordAttempt updates the state of the attempts to a machine. An unanswered one says nothing if a later
// one was answered, or if this process was paused since it began: the answer may be waiting to be read.
func (r *Replica) recordAttempt(now time.Duration, a *attempts, startedAt time.Duration, result AttemptResult) {
	if result == Unanswered && (startedAt <= a.lastAnswered || startedAt < r.resumedAt) {
		return
	}
	switch result {
	case Connected:
		a.recordAnswer(startedAt, false)
		a.lastAccepted = max(a.lastAccepted, startedAt)
		a.failingSince = never
	case RefusedConnection:
		a.recordAnswer(startedAt, true)
		a.recordFailure(now, startedAt)
	case Unanswered:
		a.recordUnanswered(now, startedAt)
		a.recordFailure(now, startedAt)
	}
}

func (a *attempts) recordAnswer(startedAt time.Duration, refused bool) {
	if a.answeredSince == never {
		a.answeredSince = startedAt
	}
	a.lastAnswered, a.refused, a.unanswered = max(a.lastAnswered, startedAt), refused, 0
}

func (a *attempts) recordUnanswered(now, startedAt time.Duration) {
	if a.unanswered == 0 {
		a.unansweredSince = startedAt
	}
	a.unanswered++
	a.lastUnanswered = now
	if a.unanswered >= partitionAttempts {
		a.answeredSince = never
	}
}

func (a *attempts) recordFailure(now, startedAt time.Duration) {
	if a.failingSince == never {
		a.failingSince = startedAt
	}
	a.lastFailure = now
}
