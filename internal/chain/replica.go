package chain

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"nettlefold/internal/replicated"
)

// NoSessions is the value of Heartbeat.Applied if no agent has a session with the sender. Agents are
// the processes that connect to a core node by a session and apply the committed state.
const NoSessions = math.MaxUint64

const (
	maxResentEntries = 64   // entries per message
	maxPendingReads  = 4096 // unconfirmed reads; older ones are dropped
)

// Errors of Propose. The operation did not enter the log.
var (
	// ErrNotHead means that another replica takes the writes.
	ErrNotHead = errors.New("this replica is not the head of the chain")
	// ErrNoChain means that this replica is sealed for a view change or does not hold the log of the
	// chain, or that the chain has fewer than MinCopies members.
	ErrNoChain = errors.New("no chain takes writes at present")
	// ErrPending means that an earlier write is not committed yet.
	ErrPending = errors.New("a write is under way")
)

// RefusedError is returned for an operation that cannot be applied to the committed state.
type RefusedError struct {
	Verdict replicated.Verdict
	Reason  error
}

// Error returns the text of the reason, without the verdict.
func (e *RefusedError) Error() string { return e.Reason.Error() }

// Replica is the replication state machine of one core node. It is not safe for concurrent use.
type Replica struct {
	options       Options
	meta          Meta
	state         *replicated.State // committed
	log           []Entry           // entries from firstSeq on, partly committed
	firstSeq      uint64            // sequence number of log[0]; if the log is empty, of the next entry
	sinceSnapshot struct {          // appended since the latest snapshot
		entries int
		bytes   int
	}

	// recoveredSeq is the sequence number of the last entry found on disk, recoveredEpoch the epoch of the view then.
	// Until that view is replaced, or the entry is known to be committed, this replica doesn't know which entries are.
	recoveredSeq      uint64
	recoveredEpoch    uint64
	peers             map[NodeID]*peer
	seeds             []string
	announced         map[string]announcement // joining nodes announced by view members, by address
	lastTick          time.Duration
	startedAt         time.Duration
	heartbeatSentAt   time.Duration
	changeNeededSince time.Duration // since when another view is needed, 0 if none is
	pendingSince      time.Duration // since when an entry is uncommitted, 0 if none is
	proposal          *proposal
	highestRound      uint64         // highest ballot round seen
	nextProposalAt    time.Duration  // no proposal starts before it; set when one times out
	applied           uint64         // sequence number applied by all agents with sessions at this node
	leaving           bool           // shutting down
	stateFetch        *fetchProgress // nil if no state is being fetched
	servedState       *servedState
	pendingReads      map[uint64]*pendingRead
	lastNonce         uint64

	out        Output
	loopback   []Message // messages to itself, handled within the same step
	hasStepped bool
}

// peer is what this replica knows about another core node.
type peer struct {
	member              Member
	aliveSince          time.Duration // start of the current period without missed heartbeats
	heartbeatReceivedAt time.Duration
	heartbeat           Heartbeat
	// backoffUntil is the time before which the node is not added to the chain, because it did not
	// catch up in time.
	backoffUntil time.Duration
}

// announcement is a joining node that another node has announced.
type announcement struct {
	member     Member
	receivedAt time.Duration
}

// pendingRead is a read that waits for a majority to confirm the epoch.
type pendingRead struct {
	epoch       uint64
	confirmedBy map[NodeID]bool
}

// New creates a replica from its persisted state.
func New(options Options, saved PersistedState) *Replica {
	r := &Replica{
		options:      options,
		meta:         saved.Meta,
		state:        saved.State,
		peers:        map[NodeID]*peer{},
		announced:    map[string]announcement{},
		pendingReads: map[uint64]*pendingRead{},
		applied:      NoSessions,
		lastNonce:    options.FirstNonce,
	}
	if r.state == nil {
		r.state = replicated.New()
	}
	if r.options.Limits == (Limits{}) {
		r.options.Limits = DefaultLimits()
	}
	r.options.Self.ID = saved.Meta.Identity
	r.firstSeq = r.state.Seq + 1
	for _, e := range saved.Entries {
		if e.Seq == r.lastSeq()+1 && r.isCurrentEntry(&e) {
			r.log = append(r.log, e)
		}
	}
	if r.holdsChainLog() {
		r.commitTo(min(r.lastSeq(), r.meta.View.LogLength))
	}
	r.recoveredSeq, r.recoveredEpoch = r.lastSeq(), r.meta.View.Epoch
	return r
}

// knowsCommitted reports whether everything that was acknowledged before this replica started is in its committed
// state. An entry found on disk may have been acknowledged; a new view commits or truncates all entries.
func (r *Replica) knowsCommitted() bool {
	return r.state.Seq >= r.recoveredSeq || r.meta.View.Epoch != r.recoveredEpoch
}

// isCurrentEntry reports whether an entry found on disk belongs to the log. If the log is that of the
// current view, an entry after the sequence number that the view starts from must have the epoch of
// the view; others were truncated when the view started. A log of another chain is kept whole.
func (r *Replica) isCurrentEntry(e *Entry) bool {
	return r.meta.LogEpoch != r.meta.View.Epoch || e.Seq <= r.meta.View.LogLength || e.Epoch == r.meta.View.Epoch
}

// lastSeq returns the sequence number of the last entry.
func (r *Replica) lastSeq() uint64 { return r.firstSeq + uint64(len(r.log)) - 1 }

// isSealed reports whether this replica has promised a ballot for the next epoch, and so takes no
// more writes in the current one.
func (r *Replica) isSealed() bool { return r.meta.Promised != Ballot{} }

// holdsChainLog reports whether this replica is a member of the current chain and holds its log,
// whether sealed or not; Serving also requires that it is not sealed.
func (r *Replica) holdsChainLog() bool {
	return r.meta.View.InChain(r.meta.Identity) && r.meta.LogEpoch == r.meta.View.Epoch
}

// step processes one input and the messages to itself that result, and returns the output.
func (r *Replica) step(now time.Duration, input func()) Output {
	if !r.hasStepped {
		r.hasStepped, r.startedAt, r.lastTick = true, now, now
	}
	r.out = Output{}
	input()
	for len(r.loopback) > 0 {
		m := r.loopback[0]
		r.loopback = r.loopback[1:]
		r.handle(now, &m)
	}
	r.finishStep(now)
	out := r.out
	r.out = Output{}
	return out
}

// Receive processes a message from another node.
func (r *Replica) Receive(now time.Duration, m *Message) Output {
	return r.step(now, func() { r.handle(now, m) })
}

func (r *Replica) handle(now time.Duration, m *Message) {
	switch {
	case m.Heartbeat != nil:
		r.onHeartbeat(now, m)
	case m.Prepare != nil:
		r.onPrepare(m)
	case m.Promise != nil:
		r.onPromise(m)
	case m.Rejected != nil:
		r.highestRound = max(r.highestRound, m.Rejected.Round)
	case m.Transfer != nil:
		r.onTransfer(m)
	case m.CatchUp != nil:
		r.onCatchUp(m)
	case m.CaughtUp != nil:
		r.onCaughtUp(m)
	case m.Accept != nil:
		r.onAccept(m)
	case m.Accepted != nil:
		r.onAccepted(m)
	case m.Decided != nil:
		r.adoptView(m.Decided)
	case m.Append != nil:
		r.onAppend(m)
	case m.Commit != nil:
		if m.Commit.Epoch == r.meta.View.Epoch && r.holdsChainLog() {
			r.commitTo(m.Commit.Seq)
		}
	case m.FetchState != nil:
		r.onFetchState(now, m)
	case m.StateChunk != nil:
		r.onStateChunk(now, m)
	case m.Confirm != nil:
		r.onConfirm(m)
	case m.Confirmed != nil:
		r.onConfirmed(m)
	}
}

func (r *Replica) send(to Member, m Message) {
	m.From = r.options.Self
	if to.ID == r.meta.Identity {
		r.loopback = append(r.loopback, m)
		return
	}
	r.out.Messages = append(r.out.Messages, Envelope{to, m})
}

// sendTo sends a message to a view member or another known peer.
func (r *Replica) sendTo(id NodeID, m Message) {
	if to, ok := r.meta.View.Member(id); ok {
		r.send(to, m)
	} else if p := r.peers[id]; p != nil {
		r.send(p.member, m)
	}
}

func (r *Replica) saveMeta() {
	meta := r.meta
	r.out.Records = append(r.out.Records, Record{Meta: &meta})
}

// Propose appends an operation to the log; only the head can. It returns the sequence number of
// the operation's entry, or the last committed one if the operation was applied before. The
// operation is committed once the state reaches that number. On error it did not enter the log.
func (r *Replica) Propose(now time.Duration, o *replicated.Operation) (seq uint64, out Output, err error) {
	out = r.step(now, func() { seq, err = r.propose(o) })
	return seq, out, err
}

func (r *Replica) propose(o *replicated.Operation) (uint64, error) {
	view := &r.meta.View
	switch {
	case view.Head() != r.meta.Identity:
		return 0, ErrNotHead
	case r.isSealed() || !r.holdsChainLog() || len(view.Chain) < r.options.MinCopies:
		return 0, ErrNoChain
	case r.lastSeq() > r.state.Seq:
		return 0, ErrPending
	}
	verdict, err := r.state.Check(o)
	switch verdict {
	case replicated.AlreadyApplied:
		return r.state.Seq, nil
	case replicated.Conflict, replicated.Invalid, replicated.Outdated:
		return 0, &RefusedError{verdict, err}
	}
	prepared, err := r.state.Prepare(o)
	if err != nil {
		return 0, err
	}
	r.appendEntry(Entry{Seq: r.lastSeq() + 1, Epoch: view.Epoch, Operation: prepared.Encode()})
	r.forwardNewest()
	return r.lastSeq(), nil
}

// appendEntry adds an entry to the log and to the records to be made durable.
func (r *Replica) appendEntry(e Entry) {
	r.log = append(r.log, e)
	r.sinceSnapshot.entries++
	r.sinceSnapshot.bytes += len(e.Operation)
	r.out.Records = append(r.out.Records, Record{Entry: &e, Generation: r.meta.Generation})
}

// forwardNewest sends the last entry to the next chain member, or commits it at the tail.
func (r *Replica) forwardNewest() {
	view := &r.meta.View
	if next := view.neighbour(r.meta.Identity, 1); next != "" {
		r.sendTo(next, Message{Append: &Append{view.Epoch, []Entry{r.log[len(r.log)-1]}, r.state.Seq}})
		return
	}
	r.commitAtTail()
}

// commitAtTail commits the whole log at the tail: its entries have passed through every chain
// member, each of which synced them first.
func (r *Replica) commitAtTail() {
	view := &r.meta.View
	if r.isSealed() || !r.holdsChainLog() || view.Tail() != r.meta.Identity || len(view.Chain) < r.options.MinCopies {
		return
	}
	if r.lastSeq() == r.state.Seq {
		return
	}
	r.commitTo(r.lastSeq())
	for _, id := range view.Chain[:len(view.Chain)-1] {
		r.sendTo(id, Message{Commit: &Commit{view.Epoch, r.state.Seq}})
	}
}

func (r *Replica) onAppend(m *Message) {
	a, view := m.Append, &r.meta.View
	if a.Epoch != view.Epoch || r.isSealed() || !r.holdsChainLog() || view.neighbour(r.meta.Identity, -1) != m.From.ID {
		return
	}
	for _, e := range a.Entries {
		if e.Seq == r.lastSeq()+1 {
			r.appendEntry(e)
			r.forwardNewest()
		}
	}
	r.commitTo(min(a.Commit, r.lastSeq()))
}

// commitTo applies the entries up to a sequence number that is known to be committed.
func (r *Replica) commitTo(seq uint64) {
	seq = min(seq, r.lastSeq())
	for r.state.Seq < seq {
		e := &r.log[r.state.Seq+1-r.firstSeq]
		o, err := replicated.DecodeOperation(e.Operation)
		if err != nil {
			panic(fmt.Sprintf("chain: decode committed entry %d: %v", e.Seq, err)) // the head encoded it, and storage has a checksum
		}
		r.state = r.state.Clone()
		r.state.Apply(e.Seq, o)
		r.out.StateChanged = true
	}
}

// finishStep runs after each input: it takes a snapshot when one is due and updates pendingSince.
func (r *Replica) finishStep(now time.Duration) {
	r.commitAtTail()
	if r.sinceSnapshot.entries >= r.options.Limits.SnapshotEntries || r.sinceSnapshot.bytes >= r.options.Limits.SnapshotBytes {
		r.takeSnapshot()
	}
	if r.lastSeq() == r.state.Seq {
		r.pendingSince = 0
	} else if r.pendingSince == 0 {
		r.pendingSince = now
	}
}

// takeSnapshot records the committed state and drops old entries from the log.
func (r *Replica) takeSnapshot() {
	r.sinceSnapshot.entries, r.sinceSnapshot.bytes = 0, 0
	r.out.Records = append(r.out.Records, Record{Snapshot: &Snapshot{r.meta.Generation, r.state.Encode()}})
	if excess := int(r.state.Seq+1-r.firstSeq) - r.options.Limits.RetainedEntries; excess > 0 {
		r.log = slices.Clone(r.log[excess:])
		r.firstSeq += uint64(excess)
	}
}

// State returns the committed state. The caller must not modify it; later commits replace it.
func (r *Replica) State() *replicated.State { return r.state }

// View returns the newest known view.
func (r *Replica) View() View { return r.meta.View }

// Self returns the member that this replica is.
func (r *Replica) Self() Member { return r.options.Self }

// Serving reports whether this replica is a chain member that holds its log, in a view that it has
// not promised to replace.
func (r *Replica) Serving() bool { return r.holdsChainLog() && !r.isSealed() }

// SetApplied sets the sequence number that all agents with sessions at this node have applied, for
// the next heartbeat. It reports whether the number has changed.
func (r *Replica) SetApplied(seq uint64) (changed bool) {
	changed = r.applied != seq
	r.applied = seq
	return changed
}

// AppliedEverywhere reports whether all agents with sessions at live nodes have applied a sequence
// number.
func (r *Replica) AppliedEverywhere(now time.Duration, seq uint64) bool {
	if r.applied < seq {
		return false
	}
	for _, p := range r.peers {
		if now-p.heartbeatReceivedAt < r.options.Timing.SuspectTimeout && p.heartbeat.Applied < seq {
			return false
		}
	}
	return true
}
