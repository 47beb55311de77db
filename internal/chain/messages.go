package chain

import "slices"

// Message consists of the sender and exactly one payload: one of the other fields.
type Message struct {
	From       Member      `cbor:"1,keyasint"`
	Heartbeat  *Heartbeat  `cbor:"2,keyasint,omitempty"`
	Prepare    *Prepare    `cbor:"3,keyasint,omitempty"`
	Promise    *Promise    `cbor:"4,keyasint,omitempty"`
	Transfer   *Transfer   `cbor:"5,keyasint,omitempty"`
	CatchUp    *CatchUp    `cbor:"6,keyasint,omitempty"`
	CaughtUp   *CaughtUp   `cbor:"7,keyasint,omitempty"`
	Accept     *Accept     `cbor:"8,keyasint,omitempty"`
	Accepted   *Accepted   `cbor:"9,keyasint,omitempty"`
	Decided    *View       `cbor:"10,keyasint,omitempty"`
	Append     *Append     `cbor:"11,keyasint,omitempty"`
	Commit     *Commit     `cbor:"12,keyasint,omitempty"`
	Confirm    *Confirm    `cbor:"13,keyasint,omitempty"`
	Confirmed  *Confirm    `cbor:"14,keyasint,omitempty"`
	Rejected   *Ballot     `cbor:"15,keyasint,omitempty"` // the higher ballot that the sender has promised
	FetchState *FetchState `cbor:"16,keyasint,omitempty"`
	StateChunk *StateChunk `cbor:"17,keyasint,omitempty"`
}

// Heartbeat announces that its sender is alive, and its log position and failure detector state.
type Heartbeat struct {
	Epoch           uint64   `cbor:"1,keyasint"`            // epoch of the newest view known
	LogEpoch        uint64   `cbor:"2,keyasint"`            // epoch of the chain that the log belongs to
	LogLength       uint64   `cbor:"3,keyasint"`            // sequence number of the last entry
	Commit          uint64   `cbor:"4,keyasint"`            // last committed sequence number
	Sealed          bool     `cbor:"5,keyasint,omitempty"`  // it has promised a ballot for the next epoch
	AlivePeers      []NodeID `cbor:"6,keyasint,omitempty"`  // nodes with a recent heartbeat; empty if AllMembersAlive
	AllMembersAlive bool     `cbor:"8,keyasint,omitempty"`  // the live nodes are exactly the other members of its view
	Applied         uint64   `cbor:"7,keyasint"`            // applied by all agents with sessions at the sender, or NoSessions
	Leaving         bool     `cbor:"9,keyasint,omitempty"`  // it is shutting down and waits for a view without it
	MinCatchUpSeq   uint64   `cbor:"10,keyasint,omitempty"` // lowest commit from which a proposal can catch a node up
	RecentlyStarted bool     `cbor:"11,keyasint,omitempty"` // it may not have received heartbeats from all live nodes yet
	JoiningNodes    []Member `cbor:"12,keyasint,omitempty"` // live non-members, announced so that they meet each other
}

// SeesAlive reports whether the sender receives heartbeats from a member of the view.
func (h *Heartbeat) SeesAlive(view *View, id NodeID) bool {
	if h.AllMembersAlive && h.Epoch == view.Epoch {
		_, member := view.Member(id)
		return member
	}
	return slices.Contains(h.AlivePeers, id)
}

// MaySeeAlive is SeesAlive, but also true for a sender that has just started, or that reports all
// members of a different view as alive: views differ for a moment after each change, and neither
// case means that a link is down.
func (h *Heartbeat) MaySeeAlive(view *View, id NodeID) bool {
	return h.RecentlyStarted || h.AllMembersAlive && h.Epoch != view.Epoch || h.SeesAlive(view, id)
}

// Prepare asks for a promise for a ballot, for the epoch that follows that of View.
type Prepare struct {
	View   View   `cbor:"1,keyasint"`
	Ballot Ballot `cbor:"2,keyasint"`
}

// Promise is the reply to a Prepare. Its sender is sealed from then on.
type Promise struct {
	Epoch        uint64 `cbor:"1,keyasint"` // epoch of the view to be replaced
	Ballot       Ballot `cbor:"2,keyasint"`
	Accepted     Ballot `cbor:"3,keyasint"`           // highest ballot accepted so far
	AcceptedView *View  `cbor:"4,keyasint,omitempty"` // view accepted under that ballot
	LogEpoch     uint64 `cbor:"5,keyasint"`
	LogLength    uint64 `cbor:"6,keyasint"`
	Commit       uint64 `cbor:"7,keyasint"` // last sequence number known to be committed
}

// Transfer asks the member whose log the new chain starts from to send that log to the other
// members.
type Transfer struct {
	Epoch   uint64   `cbor:"1,keyasint"`
	Ballot  Ballot   `cbor:"2,keyasint"`
	Targets []Target `cbor:"3,keyasint"`
}

// Target is a node that needs the source's log, with its current log position.
type Target struct {
	Member    Member `cbor:"1,keyasint"`
	LogEpoch  uint64 `cbor:"2,keyasint"`
	LogLength uint64 `cbor:"3,keyasint"`
	Commit    uint64 `cbor:"4,keyasint"`
}

// CatchUp transfers a log: the entries that follow those of the receiver; or, if the receiver's log
// belongs to another chain, the entries that follow its committed state, or a whole state and the
// entries after it.
type CatchUp struct {
	Epoch    uint64  `cbor:"1,keyasint"`
	Ballot   Ballot  `cbor:"2,keyasint"`
	Proposer Member  `cbor:"3,keyasint"`
	State    []byte  `cbor:"4,keyasint,omitempty"`
	Entries  []Entry `cbor:"5,keyasint,omitempty"`
	Rebase   bool    `cbor:"6,keyasint,omitempty"` // without State: the receiver replaces its log, starting from its own committed state
	Base     uint64  `cbor:"7,keyasint,omitempty"` // with Rebase: Entries follow this sequence number; the receiver's state must be at it or later
}

// CaughtUp tells the proposer that the sender holds the log up to LogLength.
type CaughtUp struct {
	Epoch     uint64 `cbor:"1,keyasint"`
	Ballot    Ballot `cbor:"2,keyasint"`
	LogLength uint64 `cbor:"3,keyasint"`
}

// Accept asks an acceptor to accept a view.
type Accept struct {
	Epoch  uint64 `cbor:"1,keyasint"` // epoch of the view to be replaced
	Ballot Ballot `cbor:"2,keyasint"`
	View   View   `cbor:"3,keyasint"`
}

// Accepted is the reply to an Accept.
type Accepted struct {
	Epoch  uint64 `cbor:"1,keyasint"`
	Ballot Ballot `cbor:"2,keyasint"`
}

// Append forwards entries to the next member of the chain.
type Append struct {
	Epoch   uint64  `cbor:"1,keyasint"`
	Entries []Entry `cbor:"2,keyasint"`
	Commit  uint64  `cbor:"3,keyasint"` // last sequence number committed at the sender
}

// Commit announces the last sequence number that the tail has committed.
type Commit struct {
	Epoch uint64 `cbor:"1,keyasint"`
	Seq   uint64 `cbor:"2,keyasint"`
}

// Confirm asks whether an epoch is still current. The reply repeats it.
type Confirm struct {
	Epoch uint64 `cbor:"1,keyasint"`
	Nonce uint64 `cbor:"2,keyasint"`
}
