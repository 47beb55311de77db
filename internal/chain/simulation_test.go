package chain

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"nettlefold/internal/lab/agenda"
	"nettlefold/internal/replicated"
)

// A simulated run plays the real replicas of a core against a network, disks and a clock of its own. Nothing in it waits: time is a number
// that jumps from one event to the next, and all that is drawn by lot comes from a seed.

const (
	tickInterval    = 50 * time.Millisecond
	simSyncTime     = 5 * time.Millisecond
	simLinkMinDelay = time.Millisecond
	simLinkMaxDelay = 4 * time.Millisecond
	reopenInterval  = 400 * time.Millisecond
)

// simNode is one machine: what it runs, its disk, and what is done to it.
type simNode struct {
	*testReplica
	addr        string
	zone        string
	incarnation int           // of its process: events of an earlier one are void
	up          bool          // powered and running
	retired     bool          // it is gone for good, or is about to go
	frozen      bool          // it stands still; what is sent to it waits
	queued      []func()      // while it is frozen
	syncTime    time.Duration // that its disk takes for a step
	busyUntil   time.Duration // until when its disk works
	// unsynced are the writes that its disk may still be at.
	unsynced []unsyncedWrite
	// failing is a disk that takes no write, and silent a replica that met one: it is started anew, on what is there, when that works.
	diskFailing bool
	halted      bool
	// confirms is what follows when the majority has answered, by nonce.
	onConfirmed map[uint64]func()
}

// unsynced is a step's records, which a loss of power before a time may take away, and the disk as it was without them.
type unsyncedWrite struct {
	until   time.Duration
	before  PersistedState
	records []Record
}

// link is one direction between two machines.
type link struct{ from, to string }

// simulation is a core and its world. Machines are named by their addresses.
type simulation struct {
	injected            fault
	random              *rand.Rand
	now                 time.Duration
	agenda              agenda.Agenda
	nodes               map[string]*simNode
	addrs               []string // in their order
	cutLinks            map[link]bool
	holdMessages        bool // what is sent over a cut link arrives when it heals, else it is lost
	heldMessages        []func()
	bytesPerSecond      float64 // bytes a second that a link carries, 0 for no limit
	linkBusyUntil       map[link]time.Duration
	chunkBytesSent      int // bytes of fetched states that were sent
	minCopies           int
	limits              Limits // DefaultLimits if zero
	incarnations        int
	replicaLoads        int // of replicas from disks
	calls               []*call
	violation           error
	committedOperations map[uint64]string // committed operations by number
	viewsByEpoch        map[uint64]string // decided views by epoch
}

// newSimulation starts a core whose first view has all machines given, as addr:zone.
func newSimulation(seed uint64, copies int, machines ...string) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, seed)), minCopies: copies, nodes: map[string]*simNode{}, cutLinks: map[link]bool{},
		committedOperations: map[uint64]string{}, viewsByEpoch: map[uint64]string{}, linkBusyUntil: map[link]time.Duration{},
	}
	view := View{Epoch: 1}
	for _, text := range machines {
		addr, _ := splitAddrZone(text)
		id := NodeID(addr)
		view.Acceptors = append(view.Acceptors, Member{ID: id, Addr: addr})
		view.Chain = append(view.Chain, id)
	}
	for _, text := range machines {
		addr, zone := splitAddrZone(text)
		s.start(s.placeNode(addr, zone, PersistedState{Meta: Meta{Identity: NodeID(addr), View: view, LogEpoch: 1}}))
	}
	return s
}

func splitAddrZone(text string) (addr, zone string) {
	for i, r := range text {
		if r == ':' {
			return text[:i], text[i+1:]
		}
	}
	return text, "zone-" + text
}

// place puts a machine with a disk there; it is not started yet.
func (s *simulation) placeNode(addr, zone string, disk PersistedState) *simNode {
	n := &simNode{testReplica: &testReplica{disk: disk}, addr: addr, zone: zone, syncTime: simSyncTime}
	if s.nodes[addr] == nil {
		s.addrs = append(s.addrs, addr)
	}
	s.nodes[addr] = n
	return n
}

// join starts a machine with an empty disk, also in the place of one that lost its own.
func (s *simulation) join(addr, zone string) {
	s.incarnations++
	s.start(s.placeNode(addr, zone, PersistedState{Meta: Meta{Identity: NodeID(fmt.Sprintf("%s/%d", addr, s.incarnations))}}))
}

// start starts a machine's process on what is on its disk.
func (s *simulation) start(n *simNode) {
	s.incarnations++
	n.incarnation, n.up, n.frozen, n.queued, n.busyUntil, n.onConfirmed, n.halted = s.incarnations, true, false, nil, 0, nil, false
	n.unsynced = nil // a start syncs what it finds
	s.load(n)
	s.schedule(s.randomDuration(0, tickInterval), func() { s.tick(n, n.incarnation) })
}

// load makes a machine's replica of what is on its disk.
func (s *simulation) load(n *simNode) {
	s.replicaLoads++
	saved := n.disk
	saved.Entries = slices.Clone(saved.Entries)
	if saved.State != nil {
		saved.State = saved.State.Clone()
	}
	self := Member{ID: saved.Meta.Identity, Addr: n.addr, Zone: n.zone}
	options := Options{Self: self, MinCopies: s.minCopies, Timing: DefaultTiming(), Limits: s.limits, FirstNonce: uint64(s.replicaLoads) << 32}
	if s.injected == faultReusedNonces {
		options.FirstNonce = 0
	}
	n.replica = New(options, saved)
	n.replica.SetSeeds(s.seeds())
}

// seeds are three machines of those that stay, as settings name them.
func (s *simulation) seeds() (addrs []string) {
	for _, addr := range s.addrs {
		if len(addrs) < 3 && !s.nodes[addr].retired {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// reopen is tried again and again by a process whose disk failed; its connections stay, and so may answers to what it asked before.
func (s *simulation) scheduleReopen(n *simNode, life int) {
	s.schedule(reopenInterval, func() {
		switch {
		case !n.up || n.incarnation != life:
		case n.diskFailing || n.frozen:
			s.scheduleReopen(n, life)
		default:
			n.halted = false
			s.load(n)
		}
	})
}

func (s *simulation) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)+1))
}

func (s *simulation) schedule(d time.Duration, do func()) { s.agenda.Book(int64(s.now+d), do) }

// run lets time pass.
func (s *simulation) run(d time.Duration) {
	end := s.now + d
	for s.violation == nil {
		at, do, due := s.agenda.Next(int64(end))
		if !due {
			break
		}
		s.now = time.Duration(at)
		do()
	}
	s.now = end
}

func (s *simulation) tick(n *simNode, life int) {
	if !n.up || n.incarnation != life {
		return
	}
	if !n.frozen && !n.halted {
		s.perform(n, n.replica.Tick(s.now))
	}
	s.schedule(tickInterval, func() { s.tick(n, life) })
}

// perform writes a step's records, which takes the disk a while, and sends its messages behind that.
func (s *simulation) perform(n *simNode, out Output) {
	if n.halted {
		return
	}
	if n.diskFailing && len(out.Records) > 0 { // some of them may be found there all the same
		n.write(s.injected, out.Records[:s.random.IntN(len(out.Records)+1)])
		n.halted = true
		s.scheduleReopen(n, n.incarnation)
		return
	}
	delay := time.Duration(0)
	if len(out.Records) > 0 {
		n.busyUntil = max(n.busyUntil, s.now) + n.syncTime
		delay = n.busyUntil - s.now
		n.unsynced = slices.DeleteFunc(n.unsynced, func(u unsyncedWrite) bool { return u.until <= s.now })
		n.unsynced = append(n.unsynced, unsyncedWrite{n.busyUntil, n.disk, out.Records})
		n.write(s.injected, out.Records)
	} else if n.busyUntil > s.now {
		delay = n.busyUntil - s.now
	}
	for i := range out.Messages {
		e := out.Messages[i]
		if e.Message.StateChunk != nil {
			s.chunkBytesSent += len(e.Message.StateChunk.Bytes)
		}
		s.send(n, e.To.Addr, s.sendDelay(link{n.addr, e.To.Addr}, delay, &e.Message), func(to *simNode) {
			if m := e.Message; !to.halted {
				s.perform(to, to.replica.Receive(s.now, &m))
			}
		})
	}
	for _, nonce := range out.ConfirmedReads {
		s.afterDiskWrites(n, func() { s.runConfirmed(n, nonce) })
	}
	s.afterDiskWrites(n, func() { s.checkNode(n) }) // what a tail commits it has synced
}

// whenWritten does something once a machine's disk has done what it was given, unless its process or its replica goes before.
func (s *simulation) afterDiskWrites(n *simNode, do func()) {
	if n.busyUntil <= s.now {
		do()
		return
	}
	life, replica := n.incarnation, n.replica
	s.schedule(n.busyUntil-s.now, func() {
		if n.up && n.incarnation == life && n.replica == replica && !n.halted {
			s.afterDiskWrites(n, do)
		}
	})
}

// carry tells when a message has left, on a link that carries so many bytes a second, one message after the other.
func (s *simulation) sendDelay(l link, delay time.Duration, m *Message) time.Duration {
	if s.bytesPerSecond == 0 {
		return delay
	}
	size := 200
	switch {
	case m.StateChunk != nil:
		size += len(m.StateChunk.Bytes)
	case m.CatchUp != nil:
		size += len(m.CatchUp.State) + entryBytes(m.CatchUp.Entries)
	case m.Append != nil:
		size += entryBytes(m.Append.Entries)
	}
	start := max(s.now+delay, s.linkBusyUntil[l])
	s.linkBusyUntil[l] = start + time.Duration(float64(size)/s.bytesPerSecond*float64(time.Second))
	return s.linkBusyUntil[l] - s.now
}

func entryBytes(entries []Entry) (n int) {
	for i := range entries {
		n += len(entries[i].Operation)
	}
	return n
}

// send has something done at another machine, unless the way to it is cut or it is down then, or the sender is before the message has
// left. A frozen one does it when it wakes.
func (s *simulation) send(from *simNode, to string, delay time.Duration, do func(to *simNode)) {
	life, onTheWay := from.incarnation, s.randomDuration(simLinkMinDelay, simLinkMaxDelay)
	leave := func() {
		if from.up && from.incarnation == life {
			s.schedule(onTheWay, func() { s.arrive(from, to, do) })
		}
	}
	if delay == 0 {
		leave()
		return
	}
	s.schedule(delay, leave)
}

// arrive has what was sent over a link done at its other end.
func (s *simulation) arrive(from *simNode, to string, do func(to *simNode)) {
	n := s.nodes[to]
	if n == nil || !n.up {
		return
	}
	life := n.incarnation
	doIt := func() {
		if n.up && n.incarnation == life {
			do(n)
		}
	}
	switch {
	case s.cutLinks[link{from.addr, n.addr}] && s.holdMessages:
		s.heldMessages = append(s.heldMessages, doIt)
	case s.cutLinks[link{from.addr, n.addr}]:
	case n.frozen:
		n.queued = append(n.queued, doIt)
	default:
		doIt()
	}
}

// head is the machine that takes writes and knows that a majority follows it, nil if none does.
func (s *simulation) head() *simNode {
	for _, addr := range s.addrs {
		n := s.nodes[addr]
		if v := n.replica.View(); n.up && !n.frozen && !n.halted && v.Head() == n.replica.Self().ID && n.replica.HasQuorum(s.now) && n.replica.Serving() {
			return n
		}
	}
	return nil
}

// epoch is the newest view's that anybody knows.
func (s *simulation) epoch() (epoch uint64) {
	for _, n := range s.nodes {
		epoch = max(epoch, n.replica.View().Epoch)
	}
	return epoch
}

func (s *simulation) logNodes(t *testing.T) {
	t.Helper()
	for _, addr := range s.addrs {
		n := s.nodes[addr]
		v := n.replica.View()
		ids := func(members []Member) (ids []NodeID) {
			for _, m := range members {
				ids = append(ids, m.ID)
			}
			return ids
		}
		t.Logf("  %s up=%v frozen=%v epoch %d acceptors %v learners %v chain %v seq %d current %v sealed %v", n.replica.Self().ID, n.up, n.frozen, v.Epoch,
			ids(v.Acceptors), ids(v.Learners), v.Chain, n.replica.State().Seq, n.replica.HasQuorum(s.now), n.replica.isSealed())
	}
}

// writable has an operation taken that changes something, asked for at all machines at once until one takes it, and tells how long that
// took; false if nobody did.
func (s *simulation) waitWritable(limit time.Duration) (time.Duration, bool) {
	began := s.now
	for s.now-began < limit && s.violation == nil {
		var calls []*call
		for _, addr := range s.addrs {
			if n := s.nodes[addr]; n.up && !n.frozen {
				calls = append(calls, s.submit(addr, &replicated.Operation{Kind: replicated.KindVersion, Model: "m", Version: s.nextVersion()}))
			}
		}
		for range 20 {
			s.run(10 * time.Millisecond)
			if slices.ContainsFunc(calls, func(c *call) bool { return c.outcome == outcomeCommitted }) {
				return s.now - began, true
			}
		}
	}
	return s.now - began, false
}
