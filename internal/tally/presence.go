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
	// ProcessDown: the peer's machine refuses connections, and no partition shows in its witnesses.
	ProcessDown
	// ProcessSilent: the peer's machine accepts connections, but its process sends nothing.
	ProcessSilent
	// MachineSilent: connection attempts go unanswered, and no partition shows in the peer's witnesses. The
	// machine has no power, or drops packets to ports on which no process listens.
	MachineSilent
	// Partitioned: neither the peer's machine nor any of its witnesses accepts connections, while machines on
	// this side do.
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
	case MachineSilent:
		return "machine silent"
	case Partitioned:
		return "partitioned"
	}
	return "unknown"
}

// presence returns where a peer is, as far as is known.
func (r *Replica) presence(now time.Duration, p *peer) Presence {
	switch {
	case r.reachable(now, p):
		return Reachable
	case r.partitioned(now, p):
		return Partitioned
	case r.allUnanswered(now, &p.attempts):
		return MachineSilent
	case p.attempts.answeredSince == never:
		return Unknown
	case p.attempts.refused:
		return ProcessDown
	}
	return ProcessSilent
}

// partitioned reports whether an unreachable peer is known to be cut off from this machine. How the peer's
// own machine answers never shows that: one that is down may refuse connections or say nothing, and so may
// a broken link. What shows it are the peer's witnesses, which are other machines near it: a partition cuts
// them off too. As long as none of the local witnesses accepts a connection either, the silence of the
// others may just as well be a loss of power of all machines but this one.
func (r *Replica) partitioned(now time.Duration, p *peer) bool {
	if r.reachable(now, p) || len(p.witnesses) < partitionWitnesses || !r.localSideAlive(now) {
		return false
	}
	return r.fellSilentTogether(now, p) || r.allFailing(now, p)
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
// takes no writes, its machine or process is down, or its process has been silent for SilentProcessWait
// while its machine answers.
func (r *Replica) unavailable(now time.Duration, p *peer) bool {
	switch r.presence(now, p) {
	case Reachable:
		return p.diskFailed
	case ProcessDown, MachineSilent:
		return true
	case ProcessSilent:
		return now-p.attempts.answeredSince >= r.options.Timing.SilentProcessWait
	}
	return false
}
