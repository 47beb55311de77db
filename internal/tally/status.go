package tally

import "time"

// Status is where a replica stands, for operators.
type Status struct {
	Ready           bool   // reads are answered
	NotReadyReason  string // why not
	DiskUnavailable bool
	DiskSlow        bool
	Adds            int // held, with those of one id that came twice
	Origins         int
	Behind          uint64 // adds that a peer holds and this machine does not
	Duplicates      uint64 // ids that came again under another number
	Conflicts       uint64 // of them, with another tally or amount
	Counters        Counters
	Peers           []PeerStatus
}

// PeerStatus is what a replica knows of another machine.
type PeerStatus struct {
	Addr       string
	Reachable  bool
	Heard      bool          // in this machine's life
	Silent     time.Duration // since it was last heard, or since its address is known
	DiskFailed bool
	Behind     uint64 // adds held here that it lacks
	Ahead      uint64 // adds that it holds and this machine lacks
}

// Status tells where the replica stands.
func (r *Replica) Status(now time.Duration) Status {
	s := Status{
		Ready: r.ready, DiskUnavailable: r.diskUnavailable(now), DiskSlow: now < r.slowUntil, Adds: r.set.Len(), Origins: len(r.set.byOrigin),
		Duplicates: r.set.duplicates, Conflicts: r.set.conflicts, Counters: r.counters,
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

func (r *Replica) peerStatus(now time.Duration, p *peer) PeerStatus {
	s := PeerStatus{Addr: p.addr, Reachable: r.reachable(now, p), Heard: p.lastHeard != never, Silent: now - max(p.lastHeard, p.addedAt), DiskFailed: p.diskFailed}
	for origin, l := range p.progress {
		held := r.set.LastSequence(origin)
		if l.durable < held {
			s.Behind += held - l.durable
		} else {
			s.Ahead += l.durable - held
		}
	}
	return s
}
