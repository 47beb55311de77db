package tally

import "time"

// Status describes a replica for operators.
type Status struct {
	Ready           bool   // reads are answered
	NotReadyReason  string // empty if Ready
	DiskUnavailable bool
	DiskSlow        bool
	Adds            int // on disk, repeated ids included
	Origins         int
	Behind          uint64 // most adds that a single peer has and this replica lacks
	Unreplicated    uint64 // see Replica.Unreplicated
	Duplicates      uint64 // adds whose id was already stored under another dot
	Conflicts       uint64 // duplicates with another tally or amount
	Counters        Counters
	Peers           []PeerStatus
}

// PeerStatus describes a peer as a replica sees it.
type PeerStatus struct {
	Addr       string
	Presence   Presence
	Heard      bool          // since this replica started
	Silent     time.Duration // since its last message or, if there was none, since its address became known
	DiskFailed bool
	Behind     uint64 // adds that this replica has and the peer lacks
	Ahead      uint64 // adds that the peer has and this replica lacks
}

// Status returns the replica's state.
func (r *Replica) Status(now time.Duration) Status {
	s := Status{
		Ready: r.ready, DiskUnavailable: r.diskUnavailable(now), DiskSlow: now < r.slowUntil,
		Adds: r.set.Len(), Origins: len(r.set.byOrigin),
		Duplicates: r.set.duplicates, Conflicts: r.set.conflicts, Counters: r.counters,
		Unreplicated: r.Unreplicated(),
	}
	if !r.ready {
		s.NotReadyReason = r.notReadyReason(now)
	}
	for _, p := range r.sortedPeers() {
		status := r.peerStatus(now, p)
		s.Behind = max(s.Behind, status.Ahead)
		s.Peers = append(s.Peers, status)
	}
	return s
}

// PeerPresence is the presence of the peer at an address, with what it is derived from.
type PeerPresence struct {
	Addr               string
	Presence           Presence
	Witnesses          int  // of the peer
	AnsweringWitnesses int  // of these, that have just accepted a connection
	LocalSideAlive     bool // a local witness has just accepted a connection
}

// Presences returns the presence of all peers, ordered by address.
func (r *Replica) Presences(now time.Duration) (all []PeerPresence) {
	for _, p := range r.sortedPeers() {
		all = append(all, PeerPresence{
			Addr: p.addr, Presence: r.presence(now, p),
			Witnesses: len(p.witnesses), AnsweringWitnesses: r.answeringWitnesses(now, p), LocalSideAlive: r.localSideAlive(now),
		})
	}
	return all
}

// peerStatus returns the state of a peer.
func (r *Replica) peerStatus(now time.Duration, p *peer) PeerStatus {
	s := PeerStatus{
		Addr: p.addr, Presence: r.presence(now, p),
		Heard: p.lastHeard != never, Silent: now - max(p.lastHeard, p.addedAt), DiskFailed: p.diskFailed,
	}
	for origin, l := range p.progress {
		last := r.set.LastSequence(origin)
		if l.durable < last {
			s.Behind += last - l.durable
		} else {
			s.Ahead += l.durable - last
		}
	}
	return s
}
