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
type Silence struct {
	ID    NodeID
	For   time.Duration
	Known bool // false if it was never heard
	Hears bool // its newest heartbeat said that it hears the reporter
}

// Attempt describes a proposal for the next view as it begins, for operators.
type Attempt struct {
	Epoch   uint64 // of the view to be replaced
	Round   uint64 // of its ballot
	Reasons []Reason
	Removed []Silence // members of the chain that the next one is to be without
	Added   []Silence // machines that the next chain is to have besides
}

// GivenUp describes a proposal that did not end in time.
type GivenUp struct {
	Epoch    uint64
	Round    uint64
	Asked    int // machines that were asked to promise
	Promised int
	CaughtUp int // machines that hold the log of the next chain
	Accepted int
}

// attempt describes the proposal that begins now.
func (r *Replica) attempt(now time.Duration, p *proposal) *Attempt {
	view := &r.meta.View
	a := &Attempt{Epoch: view.Epoch, Round: p.ballot.Round}
	for _, id := range view.Chain {
		if !slices.Contains(p.want.chain, id) {
			a.Removed = append(a.Removed, r.silenceOf(now, id))
		}
	}
	for _, id := range p.want.chain {
		if !view.InChain(id) {
			a.Added = append(a.Added, r.silenceOf(now, id))
		}
	}
	for _, reason := range []struct {
		holds bool
		name  Reason
	}{
		{len(a.Removed) > 0, ReasonRemoved},
		{len(a.Added) > 0, ReasonAdded},
		{!sameMembers(p.want.acceptors, view.Acceptors), ReasonAcceptors},
		{r.stuck(now), ReasonStuck},
		{r.anySealed(now), ReasonSealed},
		{r.broken(now), ReasonBroken},
	} {
		if reason.holds {
			a.Reasons = append(a.Reasons, reason.name)
		}
	}
	return a
}

func (r *Replica) silenceOf(now time.Duration, id NodeID) Silence {
	p := r.peers[id]
	if p == nil {
		return Silence{ID: id}
	}
	return Silence{ID: id, For: now - p.heard, Known: true, Hears: p.beat.Hears(&r.meta.View, r.meta.Identity)}
}

// givenUp describes a proposal whose time is over.
func (p *proposal) givenUp(epoch uint64) *GivenUp {
	return &GivenUp{
		Epoch: epoch, Round: p.ballot.Round,
		Asked: len(p.asked), Promised: len(p.promises), CaughtUp: len(p.caught), Accepted: len(p.accepted),
	}
}
