package chain

import "slices"

// Message is one of the fields below, sent by From.
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
	Rejected   *Ballot     `cbor:"15,keyasint,omitempty"` // the ballot that was promised to another
	FetchState *FetchState `cbor:"16,keyasint,omitempty"`
	StateChunk *StateChunk `cbor:"17,keyasint,omitempty"`
}

// Heartbeat tells that its sender lives, and where it stands.
type Heartbeat struct {
	Epoch           uint64   `cbor:"1,keyasint"` // of the newest view that it knows
	LogEpoch        uint64   `cbor:"2,keyasint"`
	LogLength       uint64   `cbor:"3,keyasint"`
	Commit          uint64   `cbor:"4,keyasint"`
	Sealed          bool     `cbor:"5,keyasint,omitempty"`
	AlivePeers      []NodeID `cbor:"6,keyasint,omitempty"` // from whom it heard lately, left out if that is all other members of the view
	AllMembersAlive bool     `cbor:"8,keyasint,omitempty"`
	Applied         uint64   `cbor:"7,keyasint"`            // that all its sessions' agents have applied; NoSessions if it has none
	Leaving         bool     `cbor:"9,keyasint,omitempty"`  // it was told to end, and waits for a view without it
	MinCatchUpSeq   uint64   `cbor:"10,keyasint,omitempty"` // who has committed so much can be brought the rest at once
	RecentlyStarted bool     `cbor:"11,keyasint,omitempty"` // it has just started, and may not have heard yet whom it can hear
	JoiningNodes    []Member `cbor:"12,keyasint,omitempty"` // machines that it hears and that are no members of its view: they are to meet each other
}

// Hears tells whether its sender hears a member of a view.
func (h *Heartbeat) SeesAlive(view *View, id NodeID) bool {
	if h.AllMembersAlive && h.Epoch == view.Epoch {
		_, member := view.Member(id)
		return member
	}
	return slices.Contains(h.AlivePeers, id)
}

// MayHear is Hears, but takes a sender for hearing everybody that says so of another view, or has just started: views differ for a moment
// whenever one begins, and neither is the loss of a link.
func (h *Heartbeat) MaySeeAlive(view *View, id NodeID) bool {
	return h.RecentlyStarted || h.AllMembersAlive && h.Epoch != view.Epoch || h.SeesAlive(view, id)
}

// Prepare asks for a promise under a ballot, for the epoch after View's.
type Prepare struct {
	View   View   `cbor:"1,keyasint"`
	Ballot Ballot `cbor:"2,keyasint"`
}

// Promise answers a Prepare.
type Promise struct {
	Epoch        uint64 `cbor:"1,keyasint"` // of the view that is to be replaced
	Ballot       Ballot `cbor:"2,keyasint"`
	Accepted     Ballot `cbor:"3,keyasint"`
	AcceptedView *View  `cbor:"4,keyasint,omitempty"`
	LogEpoch     uint64 `cbor:"5,keyasint"`
	LogLength    uint64 `cbor:"6,keyasint"`
	Commit       uint64 `cbor:"7,keyasint"` // of its log, known to be committed
}

// Transfer asks the member that a new chain starts from to bring others to its log.
type Transfer struct {
	Epoch   uint64   `cbor:"1,keyasint"`
	Ballot  Ballot   `cbor:"2,keyasint"`
	Targets []Target `cbor:"3,keyasint"`
}

// Target is a member that is to have the source's log, and what it has.
type Target struct {
	Member    Member `cbor:"1,keyasint"`
	LogEpoch  uint64 `cbor:"2,keyasint"`
	LogLength uint64 `cbor:"3,keyasint"`
	Commit    uint64 `cbor:"4,keyasint"`
}

// CatchUp brings a log: entries that follow the receiver's; or, where its log is of another chain, those that follow the committed state
// that it has, or a whole state and what follows it.
type CatchUp struct {
	Epoch    uint64  `cbor:"1,keyasint"`
	Ballot   Ballot  `cbor:"2,keyasint"`
	Proposer Member  `cbor:"3,keyasint"`
	State    []byte  `cbor:"4,keyasint,omitempty"`
	Entries  []Entry `cbor:"5,keyasint,omitempty"`
	Rebase   bool    `cbor:"6,keyasint,omitempty"` // the receiver's log is of another chain: Entries follow what it has committed, up to Base
	Base     uint64  `cbor:"7,keyasint,omitempty"`
}

// CaughtUp tells the proposer that a member's log is as long as said.
type CaughtUp struct {
	Epoch     uint64 `cbor:"1,keyasint"`
	Ballot    Ballot `cbor:"2,keyasint"`
	LogLength uint64 `cbor:"3,keyasint"`
}

// Accept asks to accept a view.
type Accept struct {
	Epoch  uint64 `cbor:"1,keyasint"` // of the view that is to be replaced
	Ballot Ballot `cbor:"2,keyasint"`
	View   View   `cbor:"3,keyasint"`
}

// Accepted answers an Accept.
type Accepted struct {
	Epoch  uint64 `cbor:"1,keyasint"`
	Ballot Ballot `cbor:"2,keyasint"`
}

// Append passes entries down the chain.
type Append struct {
	Epoch   uint64  `cbor:"1,keyasint"`
	Entries []Entry `cbor:"2,keyasint"`
	Commit  uint64  `cbor:"3,keyasint"`
}

// Commit tells what the tail has.
type Commit struct {
	Epoch uint64 `cbor:"1,keyasint"`
	Seq   uint64 `cbor:"2,keyasint"`
}

// Confirm asks whether an epoch is still in force; the answer repeats it.
type Confirm struct {
	Epoch uint64 `cbor:"1,keyasint"`
	Nonce uint64 `cbor:"2,keyasint"`
}
