// Package chain replicates one state over the core nodes by chain replication, under a membership
// view that a majority agrees on.
//
// A view names the acceptors, which agree on the next view, and the chain, which takes the writes:
// they enter at the head, each replica makes them durable before it forwards them, and what reaches
// the tail is committed. The acceptors of view e agree on view e+1 with single-decree Paxos. An
// acceptor that has promised a ballot for e+1 is sealed: it takes no more writes in e. The new
// chain starts from the log of one sealed member of chain e, which contains everything committed in
// e, and every member of the new chain holds that log before any acceptor is asked to accept the
// view. All members of a decided chain therefore hold its whole log from its start.
//
// The package is a pure state machine without I/O, clock or goroutines. Points in time, such as the
// now parameters, are readings of the caller's monotonic clock as durations since any fixed origin; a
// stored 0 may mean that no time is set. The caller must sync the records of an Output before it
// sends the messages of that Output. docs/system.md has the correctness argument. The design
// follows Vertical Paxos (Lamport, Malkhi, Zhou 2009) and Chain Replication (van Renesse,
// Schneider 2004).
package chain

import (
	"slices"
	"time"

	"nettlefold/internal/replicated"
)

// NodeID identifies a node for the lifetime of its disk: a node that lost its disk returns with a
// new ID.
type NodeID string

// Member is a core node.
type Member struct {
	ID      NodeID `cbor:"1,keyasint"`
	Addr    string `cbor:"2,keyasint"` // address for messages between core nodes
	Control string `cbor:"3,keyasint"` // address of the operator API
	Zone    string `cbor:"4,keyasint"`
}

// View is an agreed configuration of the core. Learners are chain members that do not vote: they
// hold every write and can replace an acceptor that leaves or fails.
type View struct {
	Epoch     uint64   `cbor:"1,keyasint"`
	Acceptors []Member `cbor:"2,keyasint"`
	Chain     []NodeID `cbor:"3,keyasint"` // head first
	LogLength uint64   `cbor:"4,keyasint"` // sequence number of the last entry, not a count, at the start of the view; all committed
	Learners  []Member `cbor:"5,keyasint,omitempty"`
}

// Member returns the acceptor or learner with an identity.
func (v *View) Member(id NodeID) (Member, bool) {
	if m, ok := v.Acceptor(id); ok {
		return m, true
	}
	i := slices.IndexFunc(v.Learners, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return v.Learners[i], true
}

// Members returns the acceptors and the learners.
func (v *View) Members() []Member { return slices.Concat(v.Acceptors, v.Learners) }

// Acceptor returns the acceptor with an identity.
func (v *View) Acceptor(id NodeID) (Member, bool) {
	i := slices.IndexFunc(v.Acceptors, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return v.Acceptors[i], true
}

// Majority returns the number of acceptors in a quorum.
func (v *View) Majority() int { return len(v.Acceptors)/2 + 1 }

// InChain reports whether a node is a member of the chain.
func (v *View) InChain(id NodeID) bool { return slices.Contains(v.Chain, id) }

// Head returns the member at which writes enter, "" if the chain is empty.
func (v *View) Head() NodeID {
	if len(v.Chain) == 0 {
		return ""
	}
	return v.Chain[0]
}

// Tail returns the member that commits writes and answers reads, "" if the chain is empty.
func (v *View) Tail() NodeID {
	if len(v.Chain) == 0 {
		return ""
	}
	return v.Chain[len(v.Chain)-1]
}

// neighbour returns the member offset positions after id in the chain, or "" if there is none.
func (v *View) neighbour(id NodeID, offset int) NodeID {
	i := slices.Index(v.Chain, id)
	if i < 0 || i+offset < 0 || i+offset >= len(v.Chain) {
		return ""
	}
	return v.Chain[i+offset]
}

// Ballot orders the proposals for one epoch.
type Ballot struct {
	Round    uint64 `cbor:"1,keyasint"`
	Proposer NodeID `cbor:"2,keyasint"`
}

// Less reports whether b is lower than o.
func (b Ballot) Less(o Ballot) bool {
	return b.Round < o.Round || b.Round == o.Round && b.Proposer < o.Proposer
}

// Entry is one operation of the log.
type Entry struct {
	Seq       uint64 `cbor:"1,keyasint"`
	Epoch     uint64 `cbor:"2,keyasint"` // epoch of the view in which it was appended
	Operation []byte `cbor:"3,keyasint"`
}

// Meta is the durable state of a replica besides its log.
type Meta struct {
	Identity     NodeID `cbor:"1,keyasint"`
	View         View   `cbor:"2,keyasint"`           // newest known decided view
	Promised     Ballot `cbor:"3,keyasint"`           // for the next epoch; the replica is sealed if set
	Accepted     Ballot `cbor:"4,keyasint"`           // for the next epoch
	AcceptedView *View  `cbor:"5,keyasint,omitempty"` // view accepted under that ballot
	LogEpoch     uint64 `cbor:"6,keyasint"`           // epoch of the chain that the log belongs to
	Generation   uint64 `cbor:"7,keyasint"`           // number of the log; replacing the log, not extending it, starts a new generation
}

// Snapshot is a committed state and the log generation that continues from it.
type Snapshot struct {
	Generation uint64 `cbor:"1,keyasint"`
	State      []byte `cbor:"2,keyasint"` // encoded replicated.State, including its sequence number
}

// Record is one item to make durable. The records of a step are written in order; after a power
// loss before the sync, those left must be a prefix.
type Record struct {
	Meta       *Meta
	Entry      *Entry
	Generation uint64 // of Entry
	Snapshot   *Snapshot
}

// PersistedState is what a replica finds on its disk at start. Entries are those of the generation
// in Meta, in order of their sequence numbers.
type PersistedState struct {
	Meta    Meta
	State   *replicated.State
	Entries []Entry
}

// Envelope is a message and its recipient.
type Envelope struct {
	To      Member
	Message Message
}

// Output is the result of a step. The caller syncs the records, then sends the messages, then
// answers the confirmed reads.
type Output struct {
	Records          []Record
	Messages         []Envelope
	StateChanged     bool              // whether the committed state has changed
	ConfirmedReads   []uint64          // nonces of reads that may be answered from the committed state
	ViewChanged      bool              // whether a new view was adopted
	ProposalStarted  *ProposalStarted  // the proposal that started, nil if none
	ProposalTimedOut *ProposalTimedOut // the proposal that timed out, nil if none
}

// Options are the settings of a replica.
type Options struct {
	Self      Member
	MinCopies int // disks that must hold a write before it is acknowledged
	Timing    Timing
	Limits    Limits // DefaultLimits if zero
	// FirstNonce is the start of this replica's confirmation nonces. It must be random or otherwise
	// new for each start: replies to an earlier replica with the same identity may still be in
	// flight and must not confirm a new request.
	FirstNonce uint64
}

// Limits bounds the log and message sizes. Sizes are in bytes.
type Limits struct {
	RetainedEntries int // committed entries kept in the log for members that lag slightly
	SnapshotEntries int // entries after which a snapshot is taken
	SnapshotBytes   int // size of the entries after which a snapshot is taken
	CatchUpBytes    int // largest state, or total of entries, transferred within a proposal
	ChunkBytes      int // size of a StateChunk
}

// DefaultLimits returns limits that suit disks of some hundred megabytes and leave room for
// heartbeats between messages on slow links.
func DefaultLimits() Limits {
	return Limits{RetainedEntries: 128, SnapshotEntries: 48, SnapshotBytes: 2 << 20, CatchUpBytes: 256 << 10, ChunkBytes: 128 << 10}
}

// Timing holds the intervals and timeouts of the protocol, measured by a monotonic clock.
type Timing struct {
	HeartbeatInterval      time.Duration // between heartbeats
	SuspectTimeout         time.Duration // silence after which a node is no longer alive and leaves the chain
	AcceptorRemovalTimeout time.Duration // silence after which an acceptor is removed without a replacement if that improves fault tolerance
	AcceptorReplaceTimeout time.Duration // silence after which a learner replaces an acceptor
	JoinDelay              time.Duration // time that a node must be alive before it is added to the chain
	WriteTimeout           time.Duration // time that a write may be uncommitted before another view is proposed
	ProposalTimeout        time.Duration // time that a proposal may take
}

// DefaultTiming returns timing for links with a latency of some milliseconds and disks that may
// become a hundred times slower than usual.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval:      150 * time.Millisecond,
		SuspectTimeout:         800 * time.Millisecond,
		AcceptorRemovalTimeout: 10 * time.Minute,
		AcceptorReplaceTimeout: 800 * time.Millisecond,
		JoinDelay:              400 * time.Millisecond,
		WriteTimeout:           700 * time.Millisecond,
		ProposalTimeout:        900 * time.Millisecond,
	}
}
