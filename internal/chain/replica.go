package chain

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"nettlefold/internal/replicated"
)

// NoSessions is a heartbeat's Applied where no agent has a session with its sender.
const NoSessions = math.MaxUint64

const (
	maxResentEntries = 64   // in one message
	maxPendingReads  = 4096 // reads that wait
)

// Errors of Propose. What was refused with them did not enter the log.
var (
	ErrNotHead = errors.New("this replica is not the head of the chain")
	ErrNoChain = errors.New("no chain takes writes at present")
	ErrPending = errors.New("a write is under way")
)

// RefusedError is an operation that cannot be taken on top of the committed state.
type RefusedError struct {
	Verdict replicated.Verdict
	Reason  error
}

func (e *RefusedError) Error() string { return e.Reason.Error() }

// Replica is one core machine's part.
type Replica struct {
	options       Options
	meta          Meta
	state         *replicated.State // committed
	log           []Entry           // numbers first.. in order, some of them committed
	firstSeq      uint64            // number of log[0]; one above the newest where the log is empty
	sinceSnapshot struct {          // since the newest snapshot
		entries int
		bytes   int
	}

	peers             map[NodeID]*peer
	seeds             []string
	announced         map[string]announcement // newcomers that members of the view told of, by address
	lastTick          time.Duration
	startedAt         time.Duration
	lastHeartbeat     time.Duration
	changeNeededSince time.Duration // since when another view is wanted, 0 if none is
	pendingSince      time.Duration // since when an entry waits to be committed, 0 if none does
	proposal          *proposal
	highestRound      uint64 // the highest seen
	retryAt           time.Duration
	applied           uint64 // by the agents with sessions here
	leaving           bool   // told to end
	stateFetch        *stateFetch
	servedState       *servedState
	pendingReads      map[uint64]*pendingRead
	lastNonce         uint64

	out        Output
	loopback   []Message // to itself, handled within the step
	hasStepped bool
}

// peer is what is known of another core machine.
type peer struct {
	member        Member
	aliveSince    time.Duration // since when it is heard without a gap
	lastHeartbeat time.Duration
	heartbeat     Heartbeat
	// passedOver is until when it is not taken into the chain, as it did not catch up in time.
	backoffUntil time.Duration
}

// toldOf is a machine that another told of.
type announcement struct {
	member     Member
	receivedAt time.Duration
}

// read waits until a majority has confirmed the epoch.
type pendingRead struct {
	epoch       uint64
	confirmedBy map[NodeID]bool
}

// New makes a replica of what is on its disk.
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
	if r.serving() {
		r.commitTo(min(r.lastSeq(), r.meta.View.LogLength))
	}
	return r
}

// belongs tells whether an entry found on disk is of the log: one beyond the view's start must be of its epoch, else it was cut off
// when the view began.
func (r *Replica) isCurrentEntry(e *Entry) bool {
	return r.meta.LogEpoch != r.meta.View.Epoch || e.Seq <= r.meta.View.LogLength || e.Epoch == r.meta.View.Epoch
}

// length is the number of the newest entry.
func (r *Replica) lastSeq() uint64 { return r.firstSeq + uint64(len(r.log)) - 1 }

func (r *Replica) isSealed() bool { return r.meta.Promised != Ballot{} }

// serving tells whether this replica is an intact member of its view's chain.
func (r *Replica) serving() bool {
	return r.meta.View.InChain(r.meta.Identity) && r.meta.LogEpoch == r.meta.View.Epoch
}

// step runs one input, and the messages to itself that follow, and gives what it wants done.
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

// Receive handles a message.
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
		if m.Commit.Epoch == r.meta.View.Epoch && r.serving() {
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

// sendTo sends to a member of the view or one that was heard of.
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

// Propose takes an operation at the head. It gives the number under which the operation is committed or was before; it fails if the
// operation did not enter the log.
func (r *Replica) Propose(now time.Duration, o *replicated.Operation) (seq uint64, out Output, err error) {
	out = r.step(now, func() { seq, err = r.propose(o) })
	return seq, out, err
}

func (r *Replica) propose(o *replicated.Operation) (uint64, error) {
	view := &r.meta.View
	switch {
	case view.Head() != r.meta.Identity:
		return 0, ErrNotHead
	case r.isSealed() || !r.serving() || len(view.Chain) < r.options.MinCopies:
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
	r.appendEntry(Entry{Seq: r.lastSeq() + 1, Epoch: view.Epoch, Operation: o.Encode()})
	r.forwardNewest()
	return r.lastSeq(), nil
}

// take adds an entry to the log and has it written.
func (r *Replica) appendEntry(e Entry) {
	r.log = append(r.log, e)
	r.sinceSnapshot.entries++
	r.sinceSnapshot.bytes += len(e.Operation)
	r.out.Records = append(r.out.Records, Record{Entry: &e, Generation: r.meta.Generation})
}

// pass sends the newest entry on, or commits it at the tail.
func (r *Replica) forwardNewest() {
	view := &r.meta.View
	if next := view.neighbour(r.meta.Identity, 1); next != "" {
		r.sendTo(next, Message{Append: &Append{view.Epoch, []Entry{r.log[len(r.log)-1]}, r.state.Seq}})
		return
	}
	r.commitAtTail()
}

// commitAtTail commits all that the tail has: it came through every member of the chain, each of which synced it before.
func (r *Replica) commitAtTail() {
	view := &r.meta.View
	if r.isSealed() || !r.serving() || view.Tail() != r.meta.Identity || len(view.Chain) < r.options.MinCopies {
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
	if a.Epoch != view.Epoch || r.isSealed() || !r.serving() || view.neighbour(r.meta.Identity, -1) != m.From.ID {
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

// commitTo applies entries up to a number that is known to be committed.
func (r *Replica) commitTo(seq uint64) {
	seq = min(seq, r.lastSeq())
	for r.state.Seq < seq {
		e := &r.log[r.state.Seq+1-r.firstSeq]
		o, err := replicated.DecodeOperation(e.Operation)
		if err != nil {
			panic(fmt.Sprintf("committed entry %d: %v", e.Seq, err)) // it was encoded by a head and kept under a checksum
		}
		r.state = r.state.Clone()
		r.state.Apply(e.Seq, o)
		r.out.StateChanged = true
	}
}

// settle is what follows each input: a snapshot when one is due, and the age of what waits.
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

func (r *Replica) takeSnapshot() {
	r.sinceSnapshot.entries, r.sinceSnapshot.bytes = 0, 0
	r.out.Records = append(r.out.Records, Record{Snapshot: &Snapshot{r.meta.Generation, r.state.Encode()}})
	if over := int(r.state.Seq+1-r.firstSeq) - r.options.Limits.RetainedEntries; over > 0 {
		r.log = slices.Clone(r.log[over:])
		r.firstSeq += uint64(over)
	}
}

// State is the committed state. It is not changed any more.
func (r *Replica) State() *replicated.State { return r.state }

// View is the newest view known.
func (r *Replica) View() View { return r.meta.View }

// Self is this member.
func (r *Replica) Self() Member { return r.options.Self }

// Serving tells whether this replica is an intact member of the chain of a view that is not being replaced.
func (r *Replica) Serving() bool { return r.serving() && !r.isSealed() }

// SetApplied takes what the agents with sessions here have applied, for the next heartbeat.
func (r *Replica) SetApplied(seq uint64) (changed bool) {
	changed = r.applied != seq
	r.applied = seq
	return changed
}

// AppliedEverywhere tells whether the agents of all members that are heard have applied a number.
func (r *Replica) AppliedEverywhere(now time.Duration, seq uint64) bool {
	if r.applied < seq {
		return false
	}
	for _, p := range r.peers {
		if now-p.lastHeartbeat < r.options.Timing.SuspectTimeout && p.heartbeat.Applied < seq {
			return false
		}
	}
	return true
}
