package chain

import (
	"slices"

	"nettlefold/internal/replicated"
)

func (r *Replica) onTransfer(m *Message) {
	t := m.Transfer
	if t.Epoch != r.meta.View.Epoch || t.Ballot != r.meta.Promised || !r.holdsChainLog() {
		return
	}
	for _, target := range t.Targets {
		if catchUp := r.catchUpFor(&target); catchUp != nil {
			catchUp.Epoch, catchUp.Ballot, catchUp.Proposer = t.Epoch, t.Ballot, m.From
			r.send(target.Member, Message{CatchUp: catchUp})
		}
	}
}

// catchUpFor returns what a target needs to hold this log, or nil if that is too large to transfer
// while writes are blocked: the target has to fetch the state first.
func (r *Replica) catchUpFor(target *Target) *CatchUp {
	switch {
	case target.LogEpoch == r.meta.View.Epoch && target.LogLength+1 >= r.firstSeq:
		return &CatchUp{Entries: r.entriesAfter(target.LogLength)}
	case target.Commit < r.minCatchUpSeq():
		return nil
	case target.Commit+1 >= r.firstSeq && target.Commit <= r.lastSeq():
		return &CatchUp{Rebase: true, Base: target.Commit, Entries: r.entriesAfter(target.Commit)}
	}
	return &CatchUp{State: r.state.Encode(), Entries: r.entriesAfter(r.state.Seq)}
}

// entriesAfter returns the entries that follow a sequence number.
func (r *Replica) entriesAfter(seq uint64) []Entry {
	if seq >= r.lastSeq() {
		return nil
	}
	return slices.Clone(r.log[seq+1-r.firstSeq:])
}

// onCatchUp extends the log and never shortens it: a log of the current chain stays at least as
// long as any proposed view requires. The excess is truncated when a view is decided.
func (r *Replica) onCatchUp(m *Message) {
	c := m.CatchUp
	if c.Epoch != r.meta.View.Epoch || c.Ballot != r.meta.Promised {
		return
	}
	if r.meta.LogEpoch != c.Epoch && !r.replaceLog(c) {
		return
	}
	for _, e := range c.Entries {
		if e.Seq == r.lastSeq()+1 {
			r.appendEntry(e)
		}
	}
	r.send(c.Proposer, Message{CaughtUp: &CaughtUp{c.Epoch, c.Ballot, r.lastSeq()}})
}

// replaceLog starts a log of the current chain from the transferred state, or from the committed
// state of this node. It reports whether that is possible; if not, also for a state that cannot be
// decoded, this node sends no CaughtUp and stays out of the proposed chain.
func (r *Replica) replaceLog(c *CatchUp) bool {
	encoded := c.State
	switch {
	case encoded != nil:
		state, err := replicated.Decode(encoded)
		if err != nil {
			return false
		}
		r.state = state
		r.out.StateChanged = true
	case c.Rebase && c.Base <= r.state.Seq:
		encoded = r.state.Encode()
	default:
		return false
	}
	r.meta.LogEpoch = c.Epoch
	r.startLogGeneration(encoded)
	return true
}

func (r *Replica) onCaughtUp(m *Message) {
	p, c := r.proposal, m.CaughtUp
	if p == nil || p.view != nil || p.source == "" || c.Epoch != r.meta.View.Epoch || c.Ballot != p.ballot || c.LogLength < p.sourceLastSeq {
		return
	}
	p.caughtUp[m.From.ID] = true
	if len(p.caughtUp) == len(p.targets)+1 { // the targets and the source
		r.proposeView(r.lastTick)
	}
}
