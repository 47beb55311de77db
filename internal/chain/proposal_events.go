package chain

import (
	"slices"
	"time"
)

// Reason is why a replica wants another view.
type Reason string

// Reasons for a proposal; several may hold at once.
const (
	ReasonRemoved   Reason = "member removed from chain"
	ReasonAdded     Reason = "member added to chain"
	ReasonAcceptors Reason = "acceptors change"
	ReasonStuck     Reason = "write stuck"
	ReasonSealed    Reason = "unfinished proposal"
	ReasonBroken    Reason = "chain member without its log"
)

// Silence is how long a machine has not been heard by the replica that reports it.
type PeerSilence struct {
	ID           NodeID
	Duration     time.Duration `json:"For"`
	Known        bool          // false if it was never heard
	SeesReporter bool          `json:"Hears"` // its newest heartbeat said that it hears the reporter
}

// Attempt describes a proposal for the next view as it begins, for operators.
type ProposalStarted struct {
	Epoch   uint64 // of the view to be replaced
	Round   uint64 // of its ballot
	Reasons []Reason
	Removed []PeerSilence // members of the chain that the next one is to be without
	Added   []PeerSilence // machines that the next chain is to have besides
}

// GivenUp describes a proposal that did not end in time.
type ProposalTimedOut struct {
	Epoch        uint64
	Round        uint64
	Participants int // machines that were asked to promise
	Promised     int
	CaughtUp     int // machines that hold the log of the next chain
	Accepted     int
}

// attempt describes the proposal that begins now.
func (r *Replica) describeStart(now time.Duration, p *proposal) *ProposalStarted {
	view := &r.meta.View
	a := &ProposalStarted{Epoch: view.Epoch, Round: p.ballot.Round}
	for _, id := range view.Chain {
		if !slices.Contains(p.desired.chain, id) {
			a.Removed = append(a.Removed, r.peerSilence(now, id))
		}
	}
	for _, id := range p.desired.chain {
		if !view.InChain(id) {
			a.Added = append(a.Added, r.peerSilence(now, id))
		}
	}
	for _, reason := range []struct {
		holds bool
		name  Reason
	}{
		{len(a.Removed) > 0, ReasonRemoved},
		{len(a.Added) > 0, ReasonAdded},
		{!sameMembers(p.desired.acceptors, view.Acceptors), ReasonAcceptors},
		{r.writeStuck(now), ReasonStuck},
		{r.anyAcceptorSealed(now), ReasonSealed},
		{r.chainBroken(now), ReasonBroken},
	} {
		if reason.holds {
			a.Reasons = append(a.Reasons, reason.name)
		}
	}
	return a
}

func (r *Replica) peerSilence(now time.Duration, id NodeID) PeerSilence {
	p := r.peers[id]
	if p == nil {
		return PeerSilence{ID: id}
	}
	return PeerSilence{ID: id, Duration: now - p.lastHeartbeat, Known: true, SeesReporter: p.heartbeat.SeesAlive(&r.meta.View, r.meta.Identity)}
}

// givenUp describes a proposal whose time is over.
func (p *proposal) describeTimeout(epoch uint64) *ProposalTimedOut {
	return &ProposalTimedOut{
		Epoch: epoch, Round: p.ballot.Round,
		Participants: len(p.participants), Promised: len(p.promises), CaughtUp: len(p.caughtUp), Accepted: len(p.accepted),
	}
}
