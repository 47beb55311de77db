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

// A simulation runs the replicas of a core on a simulated network, disks and clock. Nothing in it
// sleeps: the time is a number that advances from event to event, and all random choices come from
// a seed.

const (
	tickInterval    = 50 * time.Millisecond
	simSyncTime     = 5 * time.Millisecond
	simLinkMinDelay = time.Millisecond
	simLinkMaxDelay = 4 * time.Millisecond
	reopenInterval  = 400 * time.Millisecond
)

// simNode is one node: its replica, its disk and the faults that affect it.
type simNode struct {
	*testReplica
	addr        string
	zone        string
	incarnation int           // of its process; events of earlier ones are ignored
	up          bool          // powered and running
	retired     bool          // it is removed for good, or will be
	frozen      bool          // it is paused; messages to it are queued
	queued      []func()      // events that wait while it is frozen
	syncTime    time.Duration // duration of a disk write
	busyUntil   time.Duration // end of the current disk writes
	// unsynced are the disk writes that may be in progress.
	unsynced []unsyncedWrite
	// diskFailing makes every disk write fail. halted is set on a failed write, and until the
	// replica has been recreated from the disk after writes work again.
	diskFailing bool
	halted      bool
	// onConfirmed holds the functions to run after a confirmation by a majority, by nonce.
	onConfirmed map[uint64]func()
}

// unsyncedWrite is the records of a step, which a power loss before a time may lose, and the disk
// without them.
type unsyncedWrite struct {
	until   time.Duration
	before  PersistedState
	records []Record
}

// link is one direction between two nodes.
type link struct{ from, to string }

// simulation is a core in a simulated environment. Nodes are identified by address.
type simulation struct {
	injected            fault
	random              *rand.Rand
	now                 time.Duration
	agenda              agenda.Agenda
	nodes               map[string]*simNode
	addrs               []string // in the order of creation
	cutLinks            map[link]bool
	holdMessages        bool // whether messages over a cut link are delivered when it heals, instead of lost
	heldMessages        []func()
	bytesPerSecond      float64 // capacity of each link, 0 for no limit
	linkBusyUntil       map[link]time.Duration
	chunkBytesSent      int // total size of the state chunks sent
	minCopies           int
	limits              Limits // DefaultLimits if zero
	incarnations        int
	replicaLoads        int // counts replicas created
	calls               []*call
	violation           error
	committedOperations map[uint64]string // by sequence number
	viewsByEpoch        map[uint64]string // decided views
}

// newSimulation starts a core whose first view consists of the given nodes, written as addr:zone.
func newSimulation(seed uint64, copies int, nodes ...string) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, seed)), minCopies: copies, nodes: map[string]*simNode{}, cutLinks: map[link]bool{},
		committedOperations: map[uint64]string{}, viewsByEpoch: map[uint64]string{}, linkBusyUntil: map[link]time.Duration{},
	}
	view := View{Epoch: 1}
	for _, text := range nodes {
		addr, _ := splitAddrZone(text)
		id := NodeID(addr)
		view.Acceptors = append(view.Acceptors, Member{ID: id, Addr: addr})
		view.Chain = append(view.Chain, id)
	}
	for _, text := range nodes {
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

// placeNode adds a node with a disk, not started yet.
func (s *simulation) placeNode(addr, zone string, disk PersistedState) *simNode {
	n := &simNode{testReplica: &testReplica{disk: disk}, addr: addr, zone: zone, syncTime: simSyncTime}
	if s.nodes[addr] == nil {
		s.addrs = append(s.addrs, addr)
	}
	s.nodes[addr] = n
	return n
}

// join starts a node with an empty disk. At the address of an existing node it simulates a disk
// loss.
func (s *simulation) join(addr, zone string) {
	s.incarnations++
	s.start(s.placeNode(addr, zone, PersistedState{Meta: Meta{Identity: NodeID(fmt.Sprintf("%s/%d", addr, s.incarnations))}}))
}

// start starts the process of a node from its disk.
func (s *simulation) start(n *simNode) {
	s.incarnations++
	n.incarnation, n.up, n.frozen, n.queued, n.busyUntil, n.onConfirmed, n.halted = s.incarnations, true, false, nil, 0, nil, false
	n.unsynced = nil // a start syncs what is on disk
	s.load(n)
	s.schedule(s.randomDuration(0, tickInterval), func() { s.tick(n, n.incarnation) })
}

// load creates the replica of a node from its disk.
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

// seeds returns the addresses of three nodes that are not retired, as a configuration would list
// them.
func (s *simulation) seeds() (addrs []string) {
	for _, addr := range s.addrs {
		if len(addrs) < 3 && !s.nodes[addr].retired {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// scheduleReopen retries to recreate the replica of a process whose disk failed. Its connections
// stay open, so replies to earlier requests may still arrive.
func (s *simulation) scheduleReopen(n *simNode, incarnation int) {
	s.schedule(reopenInterval, func() {
		switch {
		case !n.up || n.incarnation != incarnation:
		case n.diskFailing || n.frozen:
			s.scheduleReopen(n, incarnation)
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

// run processes the events of a duration.
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

func (s *simulation) tick(n *simNode, incarnation int) {
	if !n.up || n.incarnation != incarnation {
		return
	}
	if !n.frozen && !n.halted {
		s.perform(n, n.replica.Tick(s.now))
	}
	s.schedule(tickInterval, func() { s.tick(n, incarnation) })
}

// perform writes the records of a step, which takes the disk some time, and then sends the
// messages.
func (s *simulation) perform(n *simNode, out Output) {
	if n.halted {
		return
	}
	if n.diskFailing && len(out.Records) > 0 { // some records may reach the disk nevertheless
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
	s.afterDiskWrites(n, func() { s.checkNode(n) }) // the tail has synced what it commits
}

// afterDiskWrites runs a function once the disk writes of a node are done, unless its process or
// replica ends first.
func (s *simulation) afterDiskWrites(n *simNode, do func()) {
	if n.busyUntil <= s.now {
		do()
		return
	}
	incarnation, replica := n.incarnation, n.replica
	s.schedule(n.busyUntil-s.now, func() {
		if n.up && n.incarnation == incarnation && n.replica == replica && !n.halted {
			s.afterDiskWrites(n, do)
		}
	})
}

// sendDelay returns the delay after which a message has left, on a link that transmits messages one
// after the other at bytesPerSecond.
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

// send runs a function at another node after the link delay, unless the link is cut, the node is
// down, or the sender ended before the message had left. A frozen node runs it when it resumes.
func (s *simulation) send(from *simNode, to string, delay time.Duration, do func(to *simNode)) {
	incarnation, onTheWay := from.incarnation, s.randomDuration(simLinkMinDelay, simLinkMaxDelay)
	leave := func() {
		if from.up && from.incarnation == incarnation {
			s.schedule(onTheWay, func() { s.arrive(from, to, do) })
		}
	}
	if delay == 0 {
		leave()
		return
	}
	s.schedule(delay, leave)
}

// arrive delivers a message at the receiving end of a link.
func (s *simulation) arrive(from *simNode, to string, do func(to *simNode)) {
	n := s.nodes[to]
	if n == nil || !n.up {
		return
	}
	incarnation := n.incarnation
	doIt := func() {
		if n.up && n.incarnation == incarnation {
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

// head returns a node that takes writes and is confirmed by a majority, or nil.
func (s *simulation) head() *simNode {
	for _, addr := range s.addrs {
		n := s.nodes[addr]
		if v := n.replica.View(); n.up && !n.frozen && !n.halted && v.Head() == n.replica.Self().ID && n.replica.HasQuorum(s.now) && n.replica.Serving() {
			return n
		}
	}
	return nil
}

// epoch returns the epoch of the newest view known to any node.
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

// waitWritable submits a write through all nodes at once, repeatedly, until one is committed. It
// returns how long that took, and false if none was within the limit.
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
