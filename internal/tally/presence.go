package tally

import (
	"maps"
	"slices"
	"time"
)

// Presence is what a replica knows about where a peer is. Only a peer that is Partitioned may be left out
// of an acknowledgement: in all other cases its disk is expected back on this side of any partition.
type Presence int

// The states of a peer.
const (
	// Unknown: the peer is silent, and no connection attempt has shown why.
	Unknown Presence = iota
	// Reachable: messages have recently gone both ways.
	Reachable
	// ProcessDown: the peer's machine refuses connections, and no partition shows in those of its witnesses.
	ProcessDown
	// ProcessSilent: the peer's machine accepts connections, but its process sends nothing.
	ProcessSilent
	// Partitioned: neither messages nor connection attempts are answered, or its machine refuses
	// connections and so do all of its witnesses. A machine without power looks the same as the former.
	Partitioned
)

func (p Presence) String() string {
	switch p {
	case Reachable:
		return "reachable"
	case ProcessDown:
		return "process down"
	case ProcessSilent:
		return "process silent"
	case Partitioned:
		return "partitioned"
	}
	return "unknown"
}

// AttemptResult is the result of an attempt to connect to a peer's machine.
type AttemptResult int

// The results of a connection attempt.
const (
	Inconclusive AttemptResult = iota // it failed for a reason that says nothing about the peer
	Connected
	RefusedConnection
	Unanswered // no answer within AttemptTimeout
)

// partitionAttempts is the number of consecutive unanswered attempts that show a partition. A single
// one may be due to a lost packet.
const partitionAttempts = 4

// partitionWitnesses is the least number of witnesses that can show a partition whose connections are refused.
const partitionWitnesses = 2

// attempts is the state of the connection attempts to a peer or a witness.
type attempts struct {
	next            time.Duration // when the next one is due
	lastAnswered    time.Duration // start of the newest one that was answered, or never
	answeredSince   time.Duration // start of the first answered one since the peer was last reachable or partitioned, or never
	refused         bool          // the newest answer was a refusal
	unanswered      int           // consecutive unanswered ones
	unansweredSince time.Duration // start of the first of them
	lastUnanswered  time.Duration // when the newest of them ended
	failingSince    time.Duration // start of the first one since the last accepted connection, or never
	lastFailure     time.Duration // when the newest refused or unanswered one ended
}

// newAttempts returns the state before the first attempt.
func newAttempts() attempts {
	return attempts{lastAnswered: never, answeredSince: never, failingSince: never}
}

// refusing reports whether the newest answers were refusals, and no attempt has gone unanswered since.
func (a *attempts) refusing() bool { return a.refused && a.unanswered == 0 && a.failingSince != never }

// presence returns where a peer is, as far as is known.
func (r *Replica) presence(now time.Duration, p *peer) Presence {
	switch {
	case r.reachable(now, p):
		return Reachable
	case r.partitioned(now, p):
		return Partitioned
	case p.attempts.answeredSince == never:
		return Unknown
	case p.attempts.refused:
		return ProcessDown
	}
	return ProcessSilent
}

// partitioned reports whether the newest attempts to connect to an unreachable peer show a partition. Most
// partitions leave attempts unanswered. Some have connections refused, as a process that is down does:
// these show in the peer's witnesses, which are other machines near it.
func (r *Replica) partitioned(now time.Duration, p *peer) bool {
	return !r.reachable(now, p) && (r.allUnanswered(now, p) || r.allFailing(now, p))
}

// allUnanswered reports whether the newest attempts to connect to a peer all went unanswered, for
// PartitionWait at least.
func (r *Replica) allUnanswered(now time.Duration, p *peer) bool {
	a := &p.attempts
	return a.unanswered >= partitionAttempts && now-a.unansweredSince >= r.options.Timing.PartitionWait &&
		now-a.lastUnanswered < r.attemptValidity()
}

// allFailing reports whether neither a peer nor any of its witnesses has accepted a connection for
// RefusedPartitionWait.
func (r *Replica) allFailing(now time.Duration, p *peer) bool {
	if len(p.witnesses) < partitionWitnesses || !r.failing(now, &p.attempts) {
		return false
	}
	return !slices.ContainsFunc(p.witnesses, func(addr string) bool {
		a := r.witnesses[addr]
		return a == nil || !r.failing(now, a)
	})
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

// SetWitnesses names machines that a partition between this machine and a peer also cuts off, such as
// others in the peer's zone. They are kept as they were when the peer was last reachable.
func (r *Replica) SetWitnesses(now time.Duration, addr string, witnesses []string) {
	if p := r.peers[addr]; p != nil && r.reachable(now, p) && len(witnesses) > 0 {
		p.witnesses = witnesses
	}
}

// expected reports whether a peer's disk counts for acknowledgements and reads: the peer is a member, or
// was heard recently, and is neither partitioned nor silent for so long that it must have been removed.
func (r *Replica) expected(now time.Duration, p *peer) bool {
	timing := &r.options.Timing
	if p.member && now-max(p.lastHeard, p.addedAt) > timing.PeerExpiry {
		return false
	}
	if !p.member && !p.heardWithin(now, timing.RecentlyHeard) {
		return false
	}
	return r.presence(now, p) != Partitioned
}

// unavailable reports whether an expected peer is known to be unable to store adds at present: its disk
// takes no writes, its process is down or has been silent for SilentProcessWait while its machine answers.
func (r *Replica) unavailable(now time.Duration, p *peer) bool {
	switch r.presence(now, p) {
	case Reachable:
		return p.diskFailed
	case ProcessDown:
		return true
	case ProcessSilent:
		return now-p.attempts.answeredSince >= r.options.Timing.SilentProcessWait
	}
	return false
}

// attemptConnections requests connection attempts to the peers whose messages, or whose echoes of
// messages to them, have not arrived for AttemptAfter, and to the witnesses of those that refuse them.
func (r *Replica) attemptConnections(now time.Duration, out *Output) {
	timing := &r.options.Timing
	needed := map[string]bool{} // witnesses
	for _, p := range r.sortedPeers() {
		if p.heardWithin(now, timing.AttemptAfter) && p.echoedWithin(now, 2*timing.AttemptAfter) {
			p.attempts = newAttempts()
			continue
		}
		if p.attempts.refusing() {
			for _, addr := range p.witnesses {
				needed[addr] = true
			}
		}
		if now >= p.attempts.next {
			p.attempts.next = now + r.attemptInterval(now, p)
			out.Attempts = append(out.Attempts, p.addr)
		}
	}
	r.attemptWitnesses(now, needed, out)
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
		if now >= a.next {
			a.next = now + r.options.Timing.AttemptInterval
			out.Attempts = append(out.Attempts, addr)
		}
	}
}

// attemptInterval returns the time until the next attempt to connect to a peer. It is short until the
// attempts show why the peer is silent, as adds may wait for that.
func (r *Replica) attemptInterval(now time.Duration, p *peer) time.Duration {
	answered := p.attempts.answeredSince != never && p.attempts.unanswered == 0
	if answered || r.partitioned(now, p) {
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
