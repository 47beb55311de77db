package chain

import (
	"maps"
	"slices"

	"nettlefold/internal/replicated"
	"nettlefold/internal/simtest"
)

// The search covers every order in which the messages of a small core are delivered, lost or
// delayed, with power losses at any step and views proposed during writes.

// fault is an injected defect; the tests check that it is detected.
type fault int

const (
	noFault                 fault = iota
	faultVolatilePromises         // promises are not durable
	faultVolatileEntries          // entries are not durable
	faultWritesWhileSealed        // a sealed replica takes writes
	faultAckAtHead                // the head acknowledges before the tail has committed
	faultUnconfirmedAnswers       // a head or tail answers without a confirmation by a majority
	faultIgnoredBase              // evacuations are accepted whatever their base
	faultReusedNonces             // a replica reuses the confirmation nonces of an earlier one
	faultAckByNumber              // a write is acknowledged once any replica of the process has committed its sequence number
)

// inFlightMessage is a message that has not been delivered yet.
type inFlightMessage struct {
	to      NodeID
	message Message
}

// testReplica is a replica and its disk.
type testReplica struct {
	replica      *Replica
	disk         PersistedState
	restorePeers func() // sets the peers known from heartbeats after a start; may be nil
}

// searchWorld is a state of the search: nodes, messages in flight and acknowledged writes.
type searchWorld struct {
	injected         fault
	ids              []NodeID
	replicas         map[NodeID]*testReplica
	inFlight         []inFlightMessage
	acked            map[uint64]string // acknowledged operation by sequence number
	ackEpoch         map[uint64]uint64
	pendingWrites    []string // operations still to be proposed
	proposers        []NodeID // nodes that still have to propose a view
	nextChain        []NodeID // chain to propose, nil for the current one
	remainingWipes   int      // disk losses left
	wipedDisks       int
	remainingCrashes int
	remainingLosses  int
}

func evacuateOperation(zone string) *replicated.Operation {
	return &replicated.Operation{Kind: replicated.KindEvacuate, Zone: zone}
}

func newSearchWorld(n int, f fault) *searchWorld {
	w := &searchWorld{injected: f, replicas: map[NodeID]*testReplica{}, acked: map[uint64]string{}, ackEpoch: map[uint64]uint64{}}
	view := View{Epoch: 1}
	for i := range n {
		id := NodeID(rune('a' + i))
		w.ids = append(w.ids, id)
		view.Acceptors = append(view.Acceptors, Member{ID: id, Addr: string(id)})
		view.Chain = append(view.Chain, id)
	}
	for _, id := range w.ids {
		m := &testReplica{disk: PersistedState{Meta: Meta{Identity: id, View: view, LogEpoch: 1}}}
		m.start()
		w.replicas[id] = m
	}
	return w
}

// searchTiming has no delays and no effective timeouts, so that only the order of messages matters.
var searchTiming = Timing{SuspectTimeout: 1 << 40, AcceptorRemovalTimeout: 1 << 40, AcceptorReplaceTimeout: 1 << 40, JoinDelay: 0, WriteTimeout: 1 << 40, ProposalTimeout: 1 << 40, HeartbeatInterval: 0}

func (m *testReplica) start() {
	saved := m.disk
	saved.Entries = slices.Clone(saved.Entries)
	if saved.State != nil {
		saved.State = saved.State.Clone()
	}
	m.replica = New(Options{Self: Member{ID: saved.Meta.Identity, Addr: string(saved.Meta.Identity)}, MinCopies: 2, Timing: searchTiming}, saved)
}

// write makes records durable, as the store does.
func (m *testReplica) write(injected fault, records []Record) {
	for _, r := range records {
		switch {
		case r.Meta != nil:
			meta := *r.Meta
			if injected == faultVolatilePromises {
				meta.Promised, meta.Accepted, meta.AcceptedView = Ballot{}, Ballot{}, nil
			}
			if meta.Generation != m.disk.Meta.Generation {
				m.disk.Entries = nil
			}
			m.disk.Meta = meta
		case r.Entry != nil:
			if injected == faultVolatileEntries {
				continue
			}
			m.disk.Entries = slices.DeleteFunc(slices.Clone(m.disk.Entries), func(e Entry) bool { return e.Seq == r.Entry.Seq })
			m.disk.Entries = append(m.disk.Entries, *r.Entry)
			slices.SortFunc(m.disk.Entries, func(a, b Entry) int { return int(a.Seq) - int(b.Seq) })
		case r.Snapshot != nil:
			state, err := replicated.Decode(r.Snapshot.State)
			if err != nil {
				panic(err)
			}
			m.disk.State = state
		}
	}
}

func (w *searchWorld) perform(id NodeID, out Output) {
	m := w.replicas[id]
	m.write(w.injected, out.Records)
	for _, e := range out.Messages {
		if w.replicas[e.To.ID] != nil && e.Message.Heartbeat == nil {
			w.inFlight = append(w.inFlight, inFlightMessage{e.To.ID, e.Message})
		}
	}
	w.acknowledge(m)
}

// acknowledge records the writes that the head knows to be committed and would acknowledge to the
// operator.
func (w *searchWorld) acknowledge(m *testReplica) {
	view := m.replica.View()
	if view.Head() != m.replica.Self().ID || !m.replica.holdsChainLog() {
		return
	}
	upTo := m.replica.state.Seq
	if w.injected == faultAckAtHead {
		upTo = m.replica.lastSeq()
	}
	for _, e := range m.replica.log {
		if e.Seq <= upTo {
			if _, known := w.acked[e.Seq]; !known {
				w.acked[e.Seq], w.ackEpoch[e.Seq] = string(e.Operation), view.Epoch
			}
		}
	}
}

// event is one possible next step.
type event struct {
	name string
	do   func(w *searchWorld)
}

func (w *searchWorld) events() (events []event) {
	for i, f := range w.inFlight {
		what := messageKind(&f.message) + " from " + string(f.message.From.ID) + " to " + string(f.to)
		events = append(events, event{what, func(w *searchWorld) { w.deliver(i) }})
		if w.remainingLosses > 0 {
			events = append(events, event{"lost: " + what, func(w *searchWorld) {
				w.remainingLosses--
				w.inFlight = slices.Delete(slices.Clone(w.inFlight), i, i+1)
			}})
		}
	}
	if len(w.pendingWrites) > 0 {
		for _, id := range w.ids {
			if w.replicas[id].replica.meta.View.Head() == id {
				events = append(events, event{"write at " + string(id), func(w *searchWorld) { w.propose(id) }})
			}
		}
	}
	for i, id := range w.proposers {
		if w.replicas[id] == nil {
			continue // its disk is lost
		}
		events = append(events, event{"view proposed by " + string(id), func(w *searchWorld) { w.proposeView(i) }})
	}
	if w.remainingWipes > 0 {
		for _, id := range w.ids {
			events = append(events, event{"disk lost at " + string(id), func(w *searchWorld) { w.wipe(id) }})
		}
	}
	if w.remainingCrashes > 0 {
		for _, id := range w.ids {
			events = append(events, event{"power lost at " + string(id), func(w *searchWorld) { w.crash(id) }})
		}
	}
	return events
}

func messageKind(m *Message) string {
	switch {
	case m.Prepare != nil:
		return "prepare"
	case m.Promise != nil:
		return "promise"
	case m.Transfer != nil:
		return "transfer"
	case m.CatchUp != nil:
		return "catch-up"
	case m.CaughtUp != nil:
		return "caught-up"
	case m.Accept != nil:
		return "accept"
	case m.Accepted != nil:
		return "accepted"
	case m.Decided != nil:
		return "decided"
	case m.Append != nil:
		return "append"
	case m.Commit != nil:
		return "commit"
	}
	return "message"
}

func (w *searchWorld) deliver(i int) {
	f := w.inFlight[i]
	w.inFlight = slices.Delete(slices.Clone(w.inFlight), i, i+1)
	r := w.replicas[f.to].replica
	m := f.message
	if w.injected == faultWritesWhileSealed && m.Append != nil {
		promised := r.meta.Promised
		r.meta.Promised = Ballot{}
		out := r.Receive(0, &m)
		if r.meta.Promised == (Ballot{}) {
			r.meta.Promised = promised
		}
		w.perform(f.to, out)
		return
	}
	w.perform(f.to, r.Receive(0, &m))
}

func (w *searchWorld) propose(id NodeID) {
	zone := w.pendingWrites[0]
	w.pendingWrites = w.pendingWrites[1:]
	_, out, _ := w.replicas[id].replica.Propose(0, evacuateOperation(zone))
	w.perform(id, out)
}

func (w *searchWorld) proposeView(i int) {
	id := w.proposers[i]
	w.proposers = slices.Delete(slices.Clone(w.proposers), i, i+1)
	r := w.replicas[id].replica
	w.perform(id, r.step(0, func() { r.startProposal(0, desiredView{chain: w.chainFor(r)}) }))
}

func (w *searchWorld) chainFor(r *Replica) []NodeID {
	if w.nextChain != nil {
		return w.nextChain
	}
	return r.meta.View.Chain
}

// replacementWorld returns a world with a joining node "d" and a leaving one.
func replacementWorld(f fault, leaving NodeID) *searchWorld {
	w := newSearchWorld(3, f)
	d := &testReplica{disk: PersistedState{Meta: Meta{Identity: "d"}}}
	d.start()
	w.replicas["d"] = d
	w.ids = append(w.ids, "d")
	for _, id := range w.ids {
		if id != leaving {
			w.nextChain = append(w.nextChain, id)
		}
	}
	w.setUpPeers(leaving)
	return w
}

// setUpPeers tells all nodes about the joining and the leaving node, as heartbeats would.
func (w *searchWorld) setUpPeers(leaving NodeID) {
	for _, m := range w.replicas {
		m.restorePeers = func() {
			m.replica.peers["d"] = &peer{member: Member{ID: "d", Addr: "d"}}
			m.replica.peers[leaving] = &peer{member: Member{ID: leaving, Addr: string(leaving)}, heartbeat: Heartbeat{Leaving: true}}
		}
		m.restorePeers()
	}
}

// wipe removes a node whose disk is lost: it would return under a new identity.
func (w *searchWorld) wipe(id NodeID) {
	w.remainingWipes--
	w.wipedDisks++
	delete(w.replicas, id)
	w.ids = slices.DeleteFunc(slices.Clone(w.ids), func(other NodeID) bool { return other == id })
	w.inFlight = slices.DeleteFunc(slices.Clone(w.inFlight), func(f inFlightMessage) bool { return f.to == id })
}

func (w *searchWorld) crash(id NodeID) {
	w.remainingCrashes--
	w.replicas[id].start()
	if introduce := w.replicas[id].restorePeers; introduce != nil {
		introduce()
	}
}

// clone copies the world. Entries and views are immutable and shared.
func (w *searchWorld) clone() *searchWorld {
	c := *w
	c.replicas = map[NodeID]*testReplica{}
	for id, m := range w.replicas {
		c.replicas[id] = m.clone()
	}
	c.inFlight = slices.Clone(w.inFlight)
	c.acked, c.ackEpoch = maps.Clone(w.acked), maps.Clone(w.ackEpoch)
	return &c
}

func (m *testReplica) clone() *testReplica {
	c := &testReplica{replica: m.replica.clone(), disk: m.disk}
	if m.restorePeers != nil {
		known := m.replica.peers
		c.restorePeers = func() { maps.Copy(c.replica.peers, clonePeers(known)) }
	}
	return c
}

func (r *Replica) clone() *Replica {
	c := *r
	c.log = slices.Clone(r.log)
	c.peers, c.pendingReads = clonePeers(r.peers), maps.Clone(r.pendingReads)
	c.loopback = slices.Clone(r.loopback)
	if r.proposal != nil {
		p := *r.proposal
		p.promises, p.caughtUp, p.accepted = maps.Clone(p.promises), maps.Clone(p.caughtUp), maps.Clone(p.accepted)
		p.targets = slices.Clone(p.targets)
		c.proposal = &p
	}
	return &c
}

// clonePeers copies the peers, because a replica changes them in place.
func clonePeers(peers map[NodeID]*peer) map[NodeID]*peer {
	cloned := make(map[NodeID]*peer, len(peers))
	for id, p := range peers {
		one := *p
		cloned[id] = &one
	}
	return cloned
}

func (w *searchWorld) Choices() int           { return len(w.events()) }
func (w *searchWorld) Name(choice int) string { return w.events()[choice].name }

func (w *searchWorld) Next(choice int) simtest.World {
	next := w.clone()
	w.events()[choice].do(next)
	return next
}
