package chain

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"nettlefold/internal/rendezvous"
)

// proposal is one attempt at the next view.
type proposal struct {
	ballot       Ballot
	desired      desiredView
	startedAt    time.Duration
	participants []Member
	promises     map[NodeID]*Promise
	source       NodeID
	sourceLength uint64 // of the source's log
	caughtUp     map[NodeID]bool
	targets      []Target
	view         *View // once it is put to the vote
	accepted     map[NodeID]bool
}

// passedOverFor is how long a member is left alone that did not catch up in time: each proposal holds up the writes.
const catchUpBackoff = 1500 * time.Millisecond

// propel starts a proposal where one is wanted, moves one on, or gives it up. Of those that want one the first acceptor that is
// heard begins; others wait for longer the further behind they are, so that they seldom meet.
func (r *Replica) driveProposal(now time.Duration) {
	if p := r.proposal; p != nil {
		if now-p.startedAt > r.options.Timing.ProposalTimeout {
			r.out.ProposalTimedOut = p.describeTimeout(r.meta.View.Epoch)
			r.proposal = nil
			want, _ := r.desiredView(now)
			r.retryAt = now + r.proposalDelay(now, want)
			return
		}
		r.advanceProposal(now)
		return
	}
	want, need := r.desiredView(now)
	if !need {
		r.changeNeededSince = 0
		return
	}
	if r.changeNeededSince == 0 {
		r.changeNeededSince = now
	}
	if now < r.retryAt || now-r.changeNeededSince < r.proposalDelay(now, want) || !r.canPropose(now, want) {
		return
	}
	r.startProposal(now, want)
}

func (r *Replica) startProposal(now time.Duration, want desiredView) {
	r.highestRound = max(r.highestRound, r.meta.Promised.Round) + 1
	p := &proposal{
		ballot:    Ballot{r.highestRound, r.meta.Identity},
		desired:   want,
		startedAt: now,
		promises:  map[NodeID]*Promise{},
		caughtUp:  map[NodeID]bool{},
		accepted:  map[NodeID]bool{},
	}
	r.proposal = p
	r.out.ProposalStarted = r.describeStart(now, p)
	p.participants = slices.Clone(r.meta.View.Acceptors)
	for _, id := range want.chain {
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
	r.advanceProposal(r.lastTick) // a tick judges who is late: more answers may wait behind this one
}

// advance goes on to the next step of a proposal when enough answered: all that were asked, or a majority and some time for the rest.
func (r *Replica) advanceProposal(now time.Duration) {
	p := r.proposal
	waited := now - p.startedAt
	switch {
	case p.view != nil:
	case p.source == "":
		if r.promisedAcceptors() >= r.meta.View.Majority() && r.enoughPromised(now, waited) {
			r.chooseSource()
		}
	case r.enoughCaughtUp(waited):
		r.proposeView(now)
	}
}

// enoughPromised tells whether it is time to go on without the promises that lack: soon without those of machines that are not heard, later
// without any, as each that is left out costs another view.
func (r *Replica) enoughPromised(now, waited time.Duration) bool {
	p, patience := r.proposal, r.options.Timing.HeartbeatInterval
	if len(p.promises) == len(p.participants) || waited >= 3*patience {
		return true
	}
	return waited >= patience && !slices.ContainsFunc(p.desired.chain, func(id NodeID) bool { return p.promises[id] == nil && r.isAlive(now, id) })
}

// enoughCaughtUp tells whether it is time to vote: all that promised hold the log, or enough do and the others had their time.
func (r *Replica) enoughCaughtUp(waited time.Duration) bool {
	p, patience := r.proposal, r.options.Timing.HeartbeatInterval
	return len(p.caughtUp) == len(p.targets)+1 || waited >= 4*patience && len(p.caughtUp) >= r.options.MinCopies
}

// promised counts the acceptors that promised.
func (r *Replica) promisedAcceptors() (n int) {
	for id := range r.proposal.promises {
		if _, acceptor := r.meta.View.Acceptor(id); acceptor {
			n++
		}
	}
	return n
}

// chooseSource takes up a view that may have been decided already, or has a sealed log of the chain brought to the others: the longest
// of those that reach the new chain. Each has all that was ever committed.
func (r *Replica) chooseSource() {
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

// pickSource picks the longest sealed log of the old chain's members among some; of equals the one nearest to the head.
func (r *Replica) pickSource(among []NodeID) {
	p := r.proposal
	for _, id := range r.meta.View.Chain {
		promise := p.promises[id]
		if promise == nil || promise.LogEpoch != r.meta.View.Epoch || !slices.Contains(among, id) {
			continue
		}
		if p.source == "" || promise.LogLength > p.sourceLength {
			p.source, p.sourceLength = id, promise.LogLength
		}
	}
}

// vote puts the new view to the vote: its chain is those that hold the source's log.
func (r *Replica) proposeView(now time.Duration) {
	p, view := r.proposal, &r.meta.View
	if len(p.caughtUp) < r.options.MinCopies {
		r.proposal = nil
		return
	}
	next := &View{Epoch: view.Epoch + 1, LogLength: p.sourceLength}
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

// order keeps the chain's order, newcomers last; after a write was stuck it takes another, as one link of the old may be at fault.
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
	told := append(r.meta.View.Members(), view.Members()...)
	r.adoptView(view)
	for _, m := range told {
		if m.ID != r.meta.Identity {
			r.send(m, Message{Decided: view})
		}
	}
}

// adopt takes a decided view. A member of its chain that holds the log it starts from cuts off what goes beyond, and serves.
func (r *Replica) adoptView(view *View) {
	if view.Epoch <= r.meta.View.Epoch {
		return
	}
	intact := view.InChain(r.meta.Identity) && r.meta.LogEpoch+1 == view.Epoch && r.lastSeq() >= view.LogLength && r.state.Seq <= view.LogLength
	r.meta.View = *view
	r.meta.Promised, r.meta.Accepted, r.meta.AcceptedView = Ballot{}, Ballot{}, nil
	r.proposal, r.changeNeededSince, r.pendingSince = nil, 0, 0
	clear(r.pendingReads)
	if intact {
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
