package chain

import (
	"slices"
	"time"
)

// Reason is why a replica proposes another view.
type Reason string

// Reasons for a proposal; several may apply at once.
const (
	ReasonRemoved   Reason = "member removed from chain"
	ReasonAdded     Reason = "member added to chain"
	ReasonAcceptors Reason = "acceptors change"
	ReasonStuck     Reason = "write stuck"
	ReasonSealed    Reason = "unfinished proposal" // a node is sealed
	ReasonBroken    Reason = "chain member without its log"
)

// PeerSilence describes how long a replica has received no heartbeat from a peer. It is logged as
// JSON.
type PeerSilence struct {
	ID           NodeID
	Duration     time.Duration `json:"For"` // since the last heartbeat; 0 if not Known
	Known        bool          // false if no heartbeat was ever received
	SeesReporter bool          `json:"Hears"` // whether its latest heartbeat reports this replica as alive
}

// ProposalStarted describes a proposal for the next view when it starts, for the log.
type ProposalStarted struct {
	Epoch   uint64 // epoch of the view to be replaced
	Round   uint64 // round of the ballot
	Reasons []Reason
	Removed []PeerSilence // chain members that the next chain drops
	Added   []PeerSilence // nodes that the next chain adds
}

// ProposalTimedOut describes a proposal that was abandoned after ProposalTimeout, for the log.
type ProposalTimedOut struct {
	Epoch        uint64
	Round        uint64
	Participants int // nodes that were sent a Prepare
	Promised     int // nodes that answered with a Promise
	CaughtUp     int // nodes that hold the log the next chain starts from
	Accepted     int // acceptors that accepted the view
}

// describeStart describes a proposal that starts now.
func (r *Replica) describeStart(now time.Duration, p *proposal) *ProposalStarted {
	view := &r.meta.View
	started := &ProposalStarted{Epoch: view.Epoch, Round: p.ballot.Round}
	for _, id := range view.Chain {
		if !slices.Contains(p.desired.chain, id) {
			started.Removed = append(started.Removed, r.peerSilence(now, id))
		}
	}
	for _, id := range p.desired.chain {
		if !view.InChain(id) {
			started.Added = append(started.Added, r.peerSilence(now, id))
		}
	}
	for _, reason := range []struct {
		applies bool
		name    Reason
	}{
		{len(started.Removed) > 0, ReasonRemoved},
		{len(started.Added) > 0, ReasonAdded},
		{!sameMembers(p.desired.acceptors, view.Acceptors), ReasonAcceptors},
		{r.writeStuck(now), ReasonStuck},
		{r.anyNodeSealed(now), ReasonSealed},
		{r.chainBroken(now), ReasonBroken},
	} {
		if reason.applies {
			started.Reasons = append(started.Reasons, reason.name)
		}
	}
	return started
}

// peerSilence describes the silence of one peer.
func (r *Replica) peerSilence(now time.Duration, id NodeID) PeerSilence {
	p := r.peers[id]
	if p == nil {
		return PeerSilence{ID: id}
	}
	return PeerSilence{ID: id, Duration: now - p.heartbeatReceivedAt, Known: true, SeesReporter: p.heartbeat.SeesAlive(&r.meta.View, r.meta.Identity)}
}

// describeTimeout describes a proposal that timed out.
func (p *proposal) describeTimeout(epoch uint64) *ProposalTimedOut {
	return &ProposalTimedOut{
		Epoch: epoch, Round: p.ballot.Round,
		Participants: len(p.participants), Promised: len(p.promises), CaughtUp: len(p.caughtUp), Accepted: len(p.accepted),
	}
}
