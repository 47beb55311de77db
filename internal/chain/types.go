// Package chain keeps one state on the core machines: chain replication under a view that a majority agrees on.
//
// A view names the acceptors, who agree on the next view, and the chain, which takes the writes: they enter at the head, each
// replica makes them durable before it passes them on, and what reaches the tail is committed. View e+1 is agreed on by the
// acceptors of view e with single-decree Paxos. An acceptor that has answered for e+1 is sealed: it takes no write under e any
// more. The new chain starts from the log of one sealed member of chain e, which has all that e committed, and every member of the
// new chain holds that log before anyone is asked to accept the view; so all members of a decided chain are intact from its start.
//
// Everything here is a pure state machine: no I/O, clock or goroutine. What a step wants durable must be synced before what it
// wants sent is sent. docs/system.md has the argument; Vertical Paxos (Lamport, Malkhi, Zhou 2009) and Chain Replication
// (van Renesse, Schneider 2004) the theory.
package chain

import (
	"slices"
	"time"

	"nettlefold/internal/replicated"
)

// NodeID is the identity of one disk's life: a machine that lost its disk comes back under another.
type NodeID string

// Member is a core machine.
type Member struct {
	ID      NodeID `cbor:"1,keyasint"`
	Addr    string `cbor:"2,keyasint"` // of its messages to other machines
	Control string `cbor:"3,keyasint"` // where the operator calls
	Zone    string `cbor:"4,keyasint"`
}

// View is an agreed configuration of the core. Learners are members of the chain that do not vote: they hold every write, and take
// the place of an acceptor that leaves or is lost.
type View struct {
	Epoch     uint64   `cbor:"1,keyasint"`
	Acceptors []Member `cbor:"2,keyasint"`
	Chain     []NodeID `cbor:"3,keyasint"` // head first
	LogLength uint64   `cbor:"4,keyasint"` // at its start; all of it is committed
	Learners  []Member `cbor:"5,keyasint,omitempty"`
}

// Member finds an acceptor or a learner by its identity.
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

// Members are the acceptors and the learners.
func (v *View) Members() []Member { return slices.Concat(v.Acceptors, v.Learners) }

// Acceptor finds a member by its identity.
func (v *View) Acceptor(id NodeID) (Member, bool) {
	i := slices.IndexFunc(v.Acceptors, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return v.Acceptors[i], true
}

// Majority is how many acceptors agree for all.
func (v *View) Majority() int { return len(v.Acceptors)/2 + 1 }

// InChain tells whether a member takes writes in this view.
func (v *View) InChain(id NodeID) bool { return slices.Contains(v.Chain, id) }

// Head is where writes enter.
func (v *View) Head() NodeID {
	if len(v.Chain) == 0 {
		return ""
	}
	return v.Chain[0]
}

// Tail is where they are committed and read.
func (v *View) Tail() NodeID {
	if len(v.Chain) == 0 {
		return ""
	}
	return v.Chain[len(v.Chain)-1]
}

// neighbour gives the member by so many places behind id in the chain, "" beyond its ends.
func (v *View) neighbour(id NodeID, by int) NodeID {
	i := slices.Index(v.Chain, id)
	if i < 0 || i+by < 0 || i+by >= len(v.Chain) {
		return ""
	}
	return v.Chain[i+by]
}

// Ballot orders the proposals for one epoch.
type Ballot struct {
	Round    uint64 `cbor:"1,keyasint"`
	Proposer NodeID `cbor:"2,keyasint"`
}

// Less orders ballots.
func (b Ballot) Less(o Ballot) bool {
	return b.Round < o.Round || b.Round == o.Round && b.Proposer < o.Proposer
}

// Entry is one operation of the log.
type Entry struct {
	Seq       uint64 `cbor:"1,keyasint"`
	Epoch     uint64 `cbor:"2,keyasint"` // of the view in which it was written
	Operation []byte `cbor:"3,keyasint"`
}

// Meta is what a replica must never forget, beside its log.
type Meta struct {
	Identity     NodeID `cbor:"1,keyasint"`
	View         View   `cbor:"2,keyasint"`           // the newest decided view that it knows
	Promised     Ballot `cbor:"3,keyasint"`           // for the next epoch; sealed if set
	Accepted     Ballot `cbor:"4,keyasint"`           // for the next epoch
	AcceptedView *View  `cbor:"5,keyasint,omitempty"` // under that ballot
	LogEpoch     uint64 `cbor:"6,keyasint"`           // the epoch whose chain the log is of
	Generation   uint64 `cbor:"7,keyasint"`           // of the log: a state taken over whole starts another
}

// Snapshot is a state and the generation of the log that goes on from it.
type Snapshot struct {
	Generation uint64 `cbor:"1,keyasint"`
	State      []byte `cbor:"2,keyasint"` // replicated.State, with its number
}

// Record is one thing to make durable. Records of a step are written in their order; if the power goes before they are synced,
// what is left of them must be a prefix.
type Record struct {
	Meta       *Meta
	Entry      *Entry
	Generation uint64 // of Entry
	Snapshot   *Snapshot
}

// Saved is what a replica finds on its disk. Entries are those of the generation that Meta names, by number.
type PersistedState struct {
	Meta    Meta
	State   *replicated.State
	Entries []Entry
}

// Envelope is a message and where it goes.
type Envelope struct {
	To      Member
	Message Message
}

// Output is what a step wants done, in this order: records synced, messages sent, readers answered.
type Output struct {
	Records          []Record
	Messages         []Envelope
	StateChanged     bool              // the committed state changed
	ConfirmedReads   []uint64          // reads that may be answered from the committed state
	ViewChanged      bool              // another view is in force
	ProposalStarted  *ProposalStarted  // a proposal for the next view that was begun
	ProposalTimedOut *ProposalTimedOut // a proposal that did not end in time
}

// Options are a replica's settings.
type Options struct {
	Self      Member
	MinCopies int // disks that a write must be on before it is acknowledged
	Timing    Timing
	Limits    Limits // DefaultLimits if zero
	// FirstNonce is where this replica's confirmations are numbered from. It must be drawn anew for each start: answers to an earlier
	// replica of the same identity may still be on their way, and say nothing of what is asked now.
	FirstNonce uint64
}

// Limits are sizes of what is kept and sent.
type Limits struct {
	RetainedEntries int // committed entries that stay in the log, for those that lag a little
	SnapshotEntries int // entries, and SnapshotBytes their bytes, after which the state is written whole
	SnapshotBytes   int
	CatchUpBytes    int // of a state, or of entries, up to which they are brought within a proposal
	ChunkBytes      int // of a state that is fetched, in one message
}

// DefaultLimits suits disks of some hundred megabytes and messages that must leave room for heartbeats on a slow link.
func DefaultLimits() Limits {
	return Limits{RetainedEntries: 128, SnapshotEntries: 48, SnapshotBytes: 2 << 20, CatchUpBytes: 256 << 10, ChunkBytes: 128 << 10}
}

// Timing has the pace of the core. All times are by the steady clock.
type Timing struct {
	HeartbeatInterval      time.Duration // between heartbeats
	SuspectTimeout         time.Duration // of silence, until a member is taken from the chain
	AcceptorRemovalTimeout time.Duration // of silence, until it does not count as acceptor any more while there are enough others
	AcceptorReplaceTimeout time.Duration // of silence, until a learner votes in its place
	JoinDelay              time.Duration // that a member is heard before it is taken in
	WriteTimeout           time.Duration // that a write may take in the chain
	ProposalTimeout        time.Duration // that a proposal may take
}

// DefaultTiming suits links of some milliseconds and disks that may take a hundred times as long as usual.
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
