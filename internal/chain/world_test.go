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
	sound              fault = iota
	forgetsPromise           // promises are not durable
	forgetsEntries           // entries are not durable
	writesSealed             // a sealed replica goes on taking writes
	ackAtHead                // the head acknowledges before the tail has the entry
	answersUnconfirmed       // a head or tail answers without asking a majority
	ordersUnbased            // evacuations are taken whatever they were based on
	noncesReused             // a replica numbers its confirmations as an earlier one did
	acksByNumber             // a write is acknowledged by its number, whichever replica of the process commits that
)

type flight struct {
	to      NodeID
	message Message
}

// machine is a replica and its disk.
type machine struct {
	replica   *Replica
	disk      Saved
	introduce func() // after a start, what heartbeats would tell; nil for nothing
}

// core is the world: machines, messages under way, and what was promised to the operator.
type core struct {
	fault    fault
	ids      []NodeID
	machines map[NodeID]*machine
	flights  []flight
	acked    map[uint64]string // operation by number
	ackEpoch map[uint64]uint64
	script   []string // operations still to be proposed
	proposes []NodeID // who may still propose a view
	want     []NodeID // its chain, nil for that in force
	wipes    int      // disks that may still be lost
	wiped    int
	crashes  int
	losses   int
}

func operation(zone string) *replicated.Operation {
	return &replicated.Operation{Kind: replicated.KindEvacuate, Zone: zone}
}

func newCore(n int, f fault) *core {
	w := &core{fault: f, machines: map[NodeID]*machine{}, acked: map[uint64]string{}, ackEpoch: map[uint64]uint64{}}
	view := View{Epoch: 1}
	for i := range n {
		id := NodeID(rune('a' + i))
		w.ids = append(w.ids, id)
		view.Acceptors = append(view.Acceptors, Member{ID: id, Addr: string(id)})
		view.Chain = append(view.Chain, id)
	}
	for _, id := range w.ids {
		m := &machine{disk: Saved{Meta: Meta{Identity: id, View: view, LogEpoch: 1}}}
		m.start()
		w.machines[id] = m
	}
	return w
}

// timing lets every step follow at once: the order of messages alone decides.
var timing = Timing{Suspect: 1 << 40, Drop: 1 << 40, Replace: 1 << 40, Settle: 0, Stuck: 1 << 40, Round: 1 << 40, Heartbeat: 0}

func (m *machine) start() {
	saved := m.disk
	saved.Entries = slices.Clone(saved.Entries)
	if saved.State != nil {
		saved.State = saved.State.Clone()
	}
	m.replica = New(Options{Self: Member{ID: saved.Meta.Identity, Addr: string(saved.Meta.Identity)}, Copies: 2, Timing: timing}, saved)
}

// write makes records durable, as the store does.
func (m *machine) write(planted fault, records []Record) {
	for _, r := range records {
		switch {
		case r.Meta != nil:
			meta := *r.Meta
			if planted == forgetsPromise {
				meta.Promised, meta.Accepted, meta.AcceptedView = Ballot{}, Ballot{}, nil
			}
			if meta.Generation != m.disk.Meta.Generation {
				m.disk.Entries = nil
			}
			m.disk.Meta = meta
		case r.Entry != nil:
			if planted == forgetsEntries {
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

func (w *core) perform(id NodeID, out Output) {
	m := w.machines[id]
	m.write(w.fault, out.Records)
	for _, e := range out.Messages {
		if w.machines[e.To.ID] != nil && e.Message.Heartbeat == nil {
			w.flights = append(w.flights, flight{e.To.ID, e.Message})
		}
	}
	w.acknowledge(m)
}

// acknowledge notes what the head knows to be committed: that is told to the operator.
func (w *core) acknowledge(m *machine) {
	view := m.replica.View()
	if view.Head() != m.replica.Self().ID || !m.replica.serving() {
		return
	}
	upTo := m.replica.state.Seq
	if w.fault == ackAtHead {
		upTo = m.replica.length()
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
	do   func(w *core)
}

func (w *core) events() (events []event) {
	for i, f := range w.flights {
		what := kindOf(&f.message) + " from " + string(f.message.From.ID) + " to " + string(f.to)
		events = append(events, event{what, func(w *core) { w.deliver(i) }})
		if w.losses > 0 {
			events = append(events, event{"lost: " + what, func(w *core) { w.losses--; w.flights = slices.Delete(slices.Clone(w.flights), i, i+1) }})
		}
	}
	if len(w.script) > 0 {
		for _, id := range w.ids {
			if w.machines[id].replica.meta.View.Head() == id {
				events = append(events, event{"write at " + string(id), func(w *core) { w.propose(id) }})
			}
		}
	}
	for i, id := range w.proposes {
		if w.machines[id] == nil {
			continue // it lost its disk
		}
		events = append(events, event{"view proposed by " + string(id), func(w *core) { w.proposeView(i) }})
	}
	if w.wipes > 0 {
		for _, id := range w.ids {
			events = append(events, event{"disk lost at " + string(id), func(w *core) { w.wipe(id) }})
		}
	}
	if w.crashes > 0 {
		for _, id := range w.ids {
			events = append(events, event{"power lost at " + string(id), func(w *core) { w.crash(id) }})
		}
	}
	return events
}

func kindOf(m *Message) string {
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

func (w *core) deliver(i int) {
	f := w.flights[i]
	w.flights = slices.Delete(slices.Clone(w.flights), i, i+1)
	r := w.machines[f.to].replica
	m := f.message
	if w.fault == writesSealed && m.Append != nil {
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

func (w *core) propose(id NodeID) {
	zone := w.script[0]
	w.script = w.script[1:]
	_, out, _ := w.machines[id].replica.Propose(0, operation(zone))
	w.perform(id, out)
}

func (w *core) proposeView(i int) {
	id := w.proposes[i]
	w.proposes = slices.Delete(slices.Clone(w.proposes), i, i+1)
	r := w.machines[id].replica
	w.perform(id, r.step(0, func() { r.begin(0, wanted{chain: w.wanted(r)}) }))
}

func (w *core) wanted(r *Replica) []NodeID {
	if w.want != nil {
		return w.want
	}
	return r.meta.View.Chain
}

// replacement makes a world in which a newcomer is there, and one of the others was told to end.
func replacement(f fault, leaving NodeID) *core {
	w := newCore(3, f)
	d := &machine{disk: Saved{Meta: Meta{Identity: "d"}}}
	d.start()
	w.machines["d"] = d
	w.ids = append(w.ids, "d")
	for _, id := range w.ids {
		if id != leaving {
			w.want = append(w.want, id)
		}
	}
	w.introduce(leaving)
	return w
}

// introduce has all machines know the newcomer, and who was told to end, as heartbeats do.
func (w *core) introduce(leaving NodeID) {
	for _, m := range w.machines {
		m.introduce = func() {
			m.replica.peers["d"] = &peer{member: Member{ID: "d", Addr: "d"}}
			m.replica.peers[leaving] = &peer{member: Member{ID: leaving, Addr: string(leaving)}, beat: Heartbeat{Leaving: true}}
		}
		m.introduce()
	}
}

// wipe empties a machine's disk: it comes back as somebody else, who is no part of this world.
func (w *core) wipe(id NodeID) {
	w.wipes--
	w.wiped++
	delete(w.machines, id)
	w.ids = slices.DeleteFunc(slices.Clone(w.ids), func(other NodeID) bool { return other == id })
	w.flights = slices.DeleteFunc(slices.Clone(w.flights), func(f flight) bool { return f.to == id })
}

func (w *core) crash(id NodeID) {
	w.crashes--
	w.machines[id].start()
	if introduce := w.machines[id].introduce; introduce != nil {
		introduce()
	}
}

// clone copies the world; entries and views are never changed in place.
func (w *core) clone() *core {
	c := *w
	c.machines = map[NodeID]*machine{}
	for id, m := range w.machines {
		c.machines[id] = m.clone()
	}
	c.flights = slices.Clone(w.flights)
	c.acked, c.ackEpoch = maps.Clone(w.acked), maps.Clone(w.ackEpoch)
	return &c
}

func (m *machine) clone() *machine {
	c := &machine{replica: m.replica.clone(), disk: m.disk}
	if m.introduce != nil {
		known := m.replica.peers
		c.introduce = func() { maps.Copy(c.replica.peers, clonePeers(known)) }
	}
	return c
}

func (r *Replica) clone() *Replica {
	c := *r
	c.log = slices.Clone(r.log)
	c.peers, c.reads = clonePeers(r.peers), maps.Clone(r.reads)
	c.local = slices.Clone(r.local)
	if r.proposal != nil {
		p := *r.proposal
		p.promises, p.caught, p.accepted = maps.Clone(p.promises), maps.Clone(p.caught), maps.Clone(p.accepted)
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

func (w *core) Choices() int           { return len(w.events()) }
func (w *core) Name(choice int) string { return w.events()[choice].name }

func (w *core) Next(choice int) simtest.World {
	next := w.clone()
	w.events()[choice].do(next)
	return next
}
