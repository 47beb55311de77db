package tally

import "time"

// Presence is what a replica knows about where a peer is. Only a peer that is Partitioned may be left out
// of an acknowledgement: in all other cases its disk is expected back on this side of any partition.
type Presence int

// The states of a peer.
const (
	// Unknown: the peer is silent, and no connection attempt has shown why.
	Unknown Presence = iota
	// Reachable: messages have recently gone both ways.
	Reachable
	// ProcessDown: the peer's machine answers, but refuses connections.
	ProcessDown
	// ProcessSilent: the peer's machine accepts connections, but its process sends nothing.
	ProcessSilent
	// Partitioned: neither messages nor connection attempts are answered. A machine without power
	// looks the same.
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

// attempts is the state of the connection attempts to a peer.
type attempts struct {
	next            time.Duration // when the next one is due
	lastAnswered    time.Duration // start of the newest one that was answered, or never
	answeredSince   time.Duration // start of the first answered one since the peer was last reachable or partitioned, or never
	refused         bool          // the newest answer was a refusal
	unanswered      int           // consecutive unanswered ones
	unansweredSince time.Duration // start of the first of them
	lastUnanswered  time.Duration // when the newest of them ended
}

// newAttempts returns the state before the first attempt.
func newAttempts() attempts { return attempts{lastAnswered: never, answeredSince: never} }

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

// partitioned reports whether the newest attempts to connect to an unreachable peer all went unanswered,
// for PartitionWait at least.
func (r *Replica) partitioned(now time.Duration, p *peer) bool {
	timing, a := &r.options.Timing, &p.attempts
	upToDate := now-a.lastUnanswered < timing.AttemptTimeout+2*timing.AttemptInterval
	return a.unanswered >= partitionAttempts && upToDate && now-a.unansweredSince >= timing.PartitionWait &&
		!r.reachable(now, p)
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
// messages to them, have not arrived for AttemptAfter.
func (r *Replica) attemptConnections(now time.Duration, out *Output) {
	timing := &r.options.Timing
	for _, p := range r.sortedPeers() {
		if p.heardWithin(now, timing.AttemptAfter) && p.echoedWithin(now, 2*timing.AttemptAfter) {
			p.attempts = newAttempts()
			continue
		}
		if now < p.attempts.next {
			continue
		}
		p.attempts.next = now + r.attemptInterval(now, p)
		out.Attempts = append(out.Attempts, p.addr)
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
		r.recordAttempt(now, p, startedAt, result)
	}
	r.acknowledgeReplicated(now, &out)
	return out
}

// recordAttempt updates the state of a peer's attempts. An unanswered one says nothing if a later one was
// answered, or if this process was paused since it began: the answer may be waiting to be read.
func (r *Replica) recordAttempt(now time.Duration, p *peer, startedAt time.Duration, result AttemptResult) {
	a := &p.attempts
	switch result {
	case Connected, RefusedConnection:
		if a.answeredSince == never {
			a.answeredSince = startedAt
		}
		a.lastAnswered, a.refused, a.unanswered = max(a.lastAnswered, startedAt), result == RefusedConnection, 0
	case Unanswered:
		if startedAt <= a.lastAnswered || startedAt < r.resumedAt {
			return
		}
		if a.unanswered == 0 {
			a.unansweredSince = startedAt
		}
		a.unanswered++
		a.lastUnanswered = now
		if a.unanswered >= partitionAttempts {
			a.answeredSince = never
		}
	}
}
