package tally

import "time"

// Status is where a replica stands, for operators.
type Status struct {
	Ready      bool   // reads are answered
	NotReady   string // why not
	DiskFails  bool
	DiskSlow   bool
	Adds       int // held, with those of one id that came twice
	Origins    int
	Behind     uint64 // adds that a peer holds and this machine does not
	Duplicates uint64 // ids that came again under another number
	Conflicts  uint64 // of them, with another tally or amount
	Counters   Counters
	Peers      []PeerStatus
}

// PeerStatus is what a replica knows of another machine.
type PeerStatus struct {
	Addr      string
	InReach   bool
	Heard     bool          // in this machine's life
	Silent    time.Duration // since it was last heard, or since its address is known
	DiskFails bool
	Behind    uint64 // adds held here that it lacks
	Ahead     uint64 // adds that it holds and this machine lacks
}

// Status tells where the replica stands.
func (r *Replica) Status(now time.Duration) Status {
	s := Status{
		Ready: r.ready, DiskFails: r.diskFails(now), DiskSlow: now < r.slow, Adds: r.set.Size(), Origins: len(r.set.sequences),
		Duplicates: r.set.duplicates, Conflicts: r.set.conflicts, Counters: r.counters,
	}
	if !r.ready {
		s.NotReady = r.unready(now)
	}
	for _, p := range r.sortedPeers() {
		status := r.peerStatus(now, p)
		s.Behind = max(s.Behind, status.Ahead)
		s.Peers = append(s.Peers, status)
	}
	return s
}

func (r *Replica) peerStatus(now time.Duration, p *peer) PeerStatus {
	s := PeerStatus{Addr: p.addr, InReach: r.inReach(now, p), Heard: p.heard != never, Silent: now - max(p.heard, p.added), DiskFails: p.failed}
	for origin, l := range p.links {
		held := r.set.Held(origin)
		if l.known < held {
			s.Behind += held - l.known
		} else {
			s.Ahead += l.known - held
		}
	}
	return s
}
