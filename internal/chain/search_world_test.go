package chain

import (
	"maps"
	"slices"

	"nettlefold/internal/replicated"
	"nettlefold/internal/simtest"
)

// The search goes through every order in which messages of a small core arrive, are lost or come late, machines lose power at any step,
// and views are proposed beside writes.

// fault is planted, to show that the search finds what it is for.
type fault int

const (
	noFault                 fault = iota
	faultVolatilePromises         // promises are not durable
	faultVolatileEntries          // entries are not durable
	faultWritesWhileSealed        // a sealed replica goes on taking writes
	faultAckAtHead                // the head acknowledges before the tail has the entry
	faultUnconfirmedAnswers       // a head or tail answers without asking a majority
	faultIgnoredBase              // evacuations are taken whatever they were based on
	faultReusedNonces             // a replica numbers its confirmations as an earlier one did
	faultAckByNumber              // a write is acknowledged by its number, whichever replica of the process commits that
)

type inFlightMessage struct {
	to      NodeID
	message Message
}

// machine is a replica and its disk.
type testReplica struct {
	replica      *Replica
	disk         PersistedState
	restorePeers func() // after a start, what heartbeats would tell; nil for nothing
}

// core is the world: machines, messages under way, and what was promised to the operator.
type searchWorld struct {
	injected         fault
	ids              []NodeID
	machines         map[NodeID]*testReplica
	inFlight         []inFlightMessage
	acked            map[uint64]string // operation by number
	ackEpoch         map[uint64]uint64
	pendingWrites    []string // operations still to be proposed
	proposers        []NodeID // who may still propose a view
	nextChain        []NodeID // its chain, nil for that in force
	remainingWipes   int      // disks that may still be lost
	wipedDisks       int
	remainingCrashes int
	remainingLosses  int
}

func evacuateOperation(zone string) *replicated.Operation {
	return &replicated.Operation{Kind: replicated.KindEvacuate, Zone: zone}
}

func newSearchWorld(n int, f fault) *searchWorld {
	w := &searchWorld{injected: f, machines: map[NodeID]*testReplica{}, acked: map[uint64]string{}, ackEpoch: map[uint64]uint64{}}
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
		w.machines[id] = m
	}
	return w
}

// timing lets every step follow at once: the order of messages alone decides.
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
func (m *testReplica) write(planted fault, records []Record) {
	for _, r := range records {
		switch {
		case r.Meta != nil:
			meta := *r.Meta
			if planted == faultVolatilePromises {
				meta.Promised, meta.Accepted, meta.AcceptedView = Ballot{}, Ballot{}, nil
			}
			if meta.Generation != m.disk.Meta.Generation {
				m.disk.Entries = nil
			}
			m.disk.Meta = meta
		case r.Entry != nil:
			if planted == faultVolatileEntries {
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
	m := w.machines[id]
	m.write(w.injected, out.Records)
	for _, e := range out.Messages {
		if w.machines[e.To.ID] != nil && e.Message.Heartbeat == nil {
			w.inFlight = append(w.inFlight, inFlightMessage{e.To.ID, e.Message})
		}
	}
	w.acknowledge(m)
}

// acknowledge notes what the head knows to be committed: that is told to the operator.
func (w *searchWorld) acknowledge(m *testReplica) {
	view := m.replica.View()
	if view.Head() != m.replica.Self().ID || !m.replica.serving() {
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

// event is one thing that may come next.
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
			if w.machines[id].replica.meta.View.Head() == id {
				events = append(events, event{"write at " + string(id), func(w *searchWorld) { w.propose(id) }})
			}
		}
	}
	for i, id := range w.proposers {
		if w.machines[id] == nil {
			continue // it lost its disk
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
	r := w.machines[f.to].replica
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
	_, out, _ := w.machines[id].replica.Propose(0, evacuateOperation(zone))
	w.perform(id, out)
}

func (w *searchWorld) proposeView(i int) {
	id := w.proposers[i]
	w.proposers = slices.Delete(slices.Clone(w.proposers), i, i+1)
	r := w.machines[id].replica
	w.perform(id, r.step(0, func() { r.startProposal(0, desiredView{chain: w.chainFor(r)}) }))
}

func (w *searchWorld) chainFor(r *Replica) []NodeID {
	if w.nextChain != nil {
		return w.nextChain
	}
	return r.meta.View.Chain
}

// replacement makes a world in which a newcomer is there, and one of the others was told to end.
func replacementWorld(f fault, leaving NodeID) *searchWorld {
	w := newSearchWorld(3, f)
	d := &testReplica{disk: PersistedState{Meta: Meta{Identity: "d"}}}
	d.start()
	w.machines["d"] = d
	w.ids = append(w.ids, "d")
	for _, id := range w.ids {
		if id != leaving {
			w.nextChain = append(w.nextChain, id)
		}
	}
	w.setUpPeers(leaving)
	return w
}

// introduce has all machines know the newcomer, and who was told to end, as heartbeats do.
func (w *searchWorld) setUpPeers(leaving NodeID) {
	for _, m := range w.machines {
		m.restorePeers = func() {
			m.replica.peers["d"] = &peer{member: Member{ID: "d", Addr: "d"}}
			m.replica.peers[leaving] = &peer{member: Member{ID: leaving, Addr: string(leaving)}, heartbeat: Heartbeat{Leaving: true}}
		}
		m.restorePeers()
	}
}

// wipe empties a machine's disk: it comes back as somebody else, who is no part of this world.
func (w *searchWorld) wipe(id NodeID) {
	w.remainingWipes--
	w.wipedDisks++
	delete(w.machines, id)
	w.ids = slices.DeleteFunc(slices.Clone(w.ids), func(other NodeID) bool { return other == id })
	w.inFlight = slices.DeleteFunc(slices.Clone(w.inFlight), func(f inFlightMessage) bool { return f.to == id })
}

func (w *searchWorld) crash(id NodeID) {
	w.remainingCrashes--
	w.machines[id].start()
	if introduce := w.machines[id].restorePeers; introduce != nil {
		introduce()
	}
}

// clone copies the world; entries and views are never changed in place.
func (w *searchWorld) clone() *searchWorld {
	c := *w
	c.machines = map[NodeID]*testReplica{}
	for id, m := range w.machines {
		c.machines[id] = m.clone()
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

// clonePeers copies what is known of others: a replica changes it in place, and worlds must not see each other's.
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
