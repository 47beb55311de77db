package chain

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"nettlefold/internal/rendezvous"
)

// proposal is the state of one attempt to agree on the next view.
type proposal struct {
	ballot        Ballot
	desired       desiredView
	startedAt     time.Duration
	participants  []Member // nodes that were sent a Prepare: the acceptors and the desired chain
	promises      map[NodeID]*Promise
	source        NodeID          // member whose log the new chain starts from, "" in the prepare phase
	sourceLastSeq uint64          // last sequence number of the source's log
	caughtUp      map[NodeID]bool // nodes that hold the source's log, including the source
	targets       []Target        // nodes that promised, without the source
	view          *View           // proposed view, nil before the accept phase
	accepted      map[NodeID]bool
}

// catchUpBackoff is how long a node that did not catch up in time is kept out of the chain, because
// writes are blocked during each proposal.
const catchUpBackoff = 1500 * time.Millisecond

// driveProposal starts a proposal if another view is needed, and advances or times out a running
// one. Replicas that want to propose wait for a time that grows with their position among the live
// acceptors, so that concurrent proposals are rare.
func (r *Replica) driveProposal(now time.Duration) {
	if p := r.proposal; p != nil {
		if now-p.startedAt > r.options.Timing.ProposalTimeout {
			r.out.ProposalTimedOut = p.describeTimeout(r.meta.View.Epoch)
			r.proposal = nil
			desired, _ := r.desiredView(now)
			r.nextProposalAt = now + r.proposalDelay(now, desired)
			return
		}
		r.advanceProposal(now)
		return
	}
	desired, needed := r.desiredView(now)
	if !needed {
		r.changeNeededSince = 0
		return
	}
	if r.changeNeededSince == 0 {
		r.changeNeededSince = now
	}
	if now < r.nextProposalAt || now-r.changeNeededSince < r.proposalDelay(now, desired) || !r.canPropose(now, desired) {
		return
	}
	r.startProposal(now, desired)
}

// startProposal begins the prepare phase of a new proposal.
func (r *Replica) startProposal(now time.Duration, desired desiredView) {
	r.highestRound = max(r.highestRound, r.meta.Promised.Round) + 1
	p := &proposal{
		ballot:    Ballot{r.highestRound, r.meta.Identity},
		desired:   desired,
		startedAt: now,
		promises:  map[NodeID]*Promise{},
		caughtUp:  map[NodeID]bool{},
		accepted:  map[NodeID]bool{},
	}
	r.proposal = p
	r.out.ProposalStarted = r.describeStart(now, p)
	p.participants = slices.Clone(r.meta.View.Acceptors)
	for _, id := range desired.chain {
		if _, acceptor := r.meta.View.Acceptor(id); !acceptor {
			p.participants = append(p.participants, r.memberInfo(id))
		}
	}
	for _, m := range p.participants {
		r.send(m, Message{Prepare: &Prepare{r.meta.View, p.ballot}})
	}
}

func (r *Replica) onPrepare(m *Message) {
	prepare := m.Prepare
	r.highestRound = max(r.highestRound, prepare.Ballot.Round)
	if prepare.View.Epoch > r.meta.View.Epoch {
		view := prepare.View
		r.adoptView(&view)
	}
	if prepare.View.Epoch < r.meta.View.Epoch {
		view := r.meta.View
		r.send(m.From, Message{Decided: &view})
		return
	}
	if prepare.Ballot.Less(r.meta.Promised) {
		promised := r.meta.Promised
		r.send(m.From, Message{Rejected: &promised})
		return
	}
	if r.meta.Promised != prepare.Ballot {
		r.meta.Promised = prepare.Ballot
		r.saveMeta()
	}
	r.send(m.From, Message{Promise: &Promise{
		Epoch: r.meta.View.Epoch, Ballot: prepare.Ballot,
		Accepted: r.meta.Accepted, AcceptedView: r.meta.AcceptedView,
		LogEpoch: r.meta.LogEpoch, LogLength: r.lastSeq(), Commit: r.state.Seq,
	}})
}

func (r *Replica) onPromise(m *Message) {
	p := r.proposal
	if p == nil || p.view != nil || p.source != "" || m.Promise.Epoch != r.meta.View.Epoch || m.Promise.Ballot != p.ballot {
		return
	}
	p.promises[m.From.ID] = m.Promise
	// The time of the last tick: only Tick evaluates timeouts, as more replies may be queued.
	r.advanceProposal(r.lastTick)
}

// advanceProposal moves a proposal to its next phase once enough nodes have answered: all
// participants, or a majority after some time.
func (r *Replica) advanceProposal(now time.Duration) {
	p := r.proposal
	waited := now - p.startedAt
	switch {
	case p.view != nil:
	case p.source == "":
		if r.promisedAcceptors() >= r.meta.View.Majority() && r.enoughPromised(now, waited) {
			r.startTransferOrAccept()
		}
	case r.enoughCaughtUp(waited):
		r.proposeView(now)
	}
}

// enoughPromised reports whether to continue without the missing promises: after one heartbeat
// interval it no longer waits for nodes that are not alive, after three for no node. It waits that
// long for live nodes because each one left out costs another view change.
func (r *Replica) enoughPromised(now, waited time.Duration) bool {
	p, interval := r.proposal, r.options.Timing.HeartbeatInterval
	if len(p.promises) == len(p.participants) || waited >= 3*interval {
		return true
	}
	return waited >= interval && !slices.ContainsFunc(p.desired.chain, func(id NodeID) bool { return p.promises[id] == nil && r.isAlive(now, id) })
}

// enoughCaughtUp reports whether to start the accept phase: all nodes that promised hold the log,
// or enough of them do and four heartbeat intervals have passed.
func (r *Replica) enoughCaughtUp(waited time.Duration) bool {
	p, interval := r.proposal, r.options.Timing.HeartbeatInterval
	// caughtUp also counts the source, which is not a target.
	return len(p.caughtUp) == len(p.targets)+1 || waited >= 4*interval && len(p.caughtUp) >= r.options.MinCopies
}

// promisedAcceptors counts the acceptors that promised.
func (r *Replica) promisedAcceptors() (n int) {
	for id := range r.proposal.promises {
		if _, acceptor := r.meta.View.Acceptor(id); acceptor {
			n++
		}
	}
	return n
}

// startTransferOrAccept proposes the view accepted under the highest ballot, which may have been
// decided already. If there is none, it chooses the source and has its log transferred to the other
// participants: the longest sealed log of a chain member, preferably one that stays in the chain.
// Every sealed log contains all committed entries.
func (r *Replica) startTransferOrAccept() {
	p := r.proposal
	var newest *Promise
	for id, promise := range p.promises {
		if _, acceptor := r.meta.View.Acceptor(id); acceptor && promise.AcceptedView != nil &&
			(newest == nil || newest.Accepted.Less(promise.Accepted)) {
			newest = promise
		}
	}
	if newest != nil {
		r.sendAccepts(newest.AcceptedView)
		return
	}
	r.pickSource(p.desired.chain)
	if p.source == "" {
		r.pickSource(r.meta.View.Chain)
	}
	if p.source == "" {
		r.proposal = nil
		return
	}
	p.caughtUp[p.source] = true
	for _, m := range p.participants {
		if promise := p.promises[m.ID]; promise != nil && m.ID != p.source {
			p.targets = append(p.targets, Target{m, promise.LogEpoch, promise.LogLength, promise.Commit})
		}
	}
	r.sendTo(p.source, Message{Transfer: &Transfer{r.meta.View.Epoch, p.ballot, p.targets}})
}

// pickSource picks the longest sealed log of the old chain's members that are in candidates. Among
// equals it picks the one closest to the head.
func (r *Replica) pickSource(candidates []NodeID) {
	p := r.proposal
	for _, id := range r.meta.View.Chain {
		promise := p.promises[id]
		if promise == nil || promise.LogEpoch != r.meta.View.Epoch || !slices.Contains(candidates, id) {
			continue
		}
		if p.source == "" || promise.LogLength > p.sourceLastSeq {
			p.source, p.sourceLastSeq = id, promise.LogLength
		}
	}
}

// proposeView starts the accept phase for a new view, whose chain consists of the nodes that hold
// the source's log.
func (r *Replica) proposeView(now time.Duration) {
	p, view := r.proposal, &r.meta.View
	if len(p.caughtUp) < r.options.MinCopies {
		r.proposal = nil
		return
	}
	next := &View{Epoch: view.Epoch + 1, LogLength: p.sourceLastSeq}
	for _, id := range p.desired.chain {
		if p.caughtUp[id] {
			next.Chain = append(next.Chain, id)
		}
	}
	if len(next.Chain) < r.options.MinCopies {
		r.proposal = nil
		return
	}
	next.Acceptors = r.nextAcceptors(now, next.Chain)
	for _, id := range next.Chain {
		if _, acceptor := next.Acceptor(id); !acceptor {
			next.Learners = append(next.Learners, r.memberInfo(id))
		}
	}
	for _, m := range p.participants {
		if other := r.peers[m.ID]; other != nil && !p.caughtUp[m.ID] {
			other.backoffUntil = now + catchUpBackoff
		}
	}
	r.orderChain(now, next)
	r.sendAccepts(next)
}

// orderChain keeps the order of the current chain and appends new members. After a stuck write it
// shuffles the chain by rendezvous hashing, since a link between neighbours may be faulty.
func (r *Replica) orderChain(now time.Duration, next *View) {
	if r.writeStuck(now) {
		key := strconv.FormatUint(next.Epoch, 10)
		slices.SortFunc(next.Chain, func(a, b NodeID) int {
			return cmp.Compare(rendezvous.Weight(key, string(a)), rendezvous.Weight(key, string(b)))
		})
		return
	}
	place := func(id NodeID) int {
		if i := slices.Index(r.meta.View.Chain, id); i >= 0 {
			return i
		}
		return len(r.meta.View.Chain)
	}
	slices.SortStableFunc(next.Chain, func(a, b NodeID) int { return cmp.Compare(place(a), place(b)) })
}

// sendAccepts asks the acceptors to accept a view.
func (r *Replica) sendAccepts(view *View) {
	p := r.proposal
	p.view = view
	for _, m := range r.meta.View.Acceptors {
		r.send(m, Message{Accept: &Accept{r.meta.View.Epoch, p.ballot, *view}})
	}
}

func (r *Replica) onAccept(m *Message) {
	a := m.Accept
	if a.Epoch != r.meta.View.Epoch || a.Ballot.Less(r.meta.Promised) {
		return
	}
	view := a.View
	r.meta.Promised, r.meta.Accepted, r.meta.AcceptedView = a.Ballot, a.Ballot, &view
	r.saveMeta()
	r.send(m.From, Message{Accepted: &Accepted{a.Epoch, a.Ballot}})
}

func (r *Replica) onAccepted(m *Message) {
	p := r.proposal
	if p == nil || p.view == nil || m.Accepted.Epoch != r.meta.View.Epoch || m.Accepted.Ballot != p.ballot {
		return
	}
	if _, acceptor := r.meta.View.Acceptor(m.From.ID); !acceptor {
		return
	}
	p.accepted[m.From.ID] = true
	if len(p.accepted) < r.meta.View.Majority() {
		return
	}
	view := p.view
	recipients := append(r.meta.View.Members(), view.Members()...)
	r.adoptView(view)
	for _, m := range recipients {
		if m.ID != r.meta.Identity {
			r.send(m, Message{Decided: view})
		}
	}
}

// adoptView applies a decided view if it is newer than the current one. A member of its chain whose
// log contains the log that the view starts from truncates its log to that length and serves.
func (r *Replica) adoptView(view *View) {
	if view.Epoch <= r.meta.View.Epoch {
		return
	}
	holdsStartLog := view.InChain(r.meta.Identity) && r.meta.LogEpoch+1 == view.Epoch && r.lastSeq() >= view.LogLength && r.state.Seq <= view.LogLength
	r.meta.View = *view
	r.meta.Promised, r.meta.Accepted, r.meta.AcceptedView = Ballot{}, Ballot{}, nil
	r.proposal, r.changeNeededSince, r.pendingSince = nil, 0, 0
	clear(r.pendingReads)
	if holdsStartLog {
		r.log = r.log[:view.LogLength+1-r.firstSeq]
		r.meta.LogEpoch = view.Epoch
		r.commitTo(view.LogLength)
	}
	r.saveMeta()
	r.out.ViewChanged = true
}

func sameMembers(a, b []Member) bool {
	ids := func(members []Member) (ids []NodeID) {
		for _, m := range members {
			ids = append(ids, m.ID)
		}
		return ids
	}
	return sameIDs(ids(a), ids(b))
}

func sameIDs(a, b []NodeID) bool {
	a, b = slices.Clone(a), slices.Clone(b)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(a, b)
}
