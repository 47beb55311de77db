package tally

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// A simulated core plays real replicas against disks and links of its own. Time is a number of units, and each event is chosen by the test:
// messages wait on their links until they are delivered or lost, writes until their sync ends or the power goes.

const tickInterval = time.Millisecond

// modelTiming is of few units, so that short histories meet each limit.
func testTiming() Timing {
	return Timing{
		GossipInterval: tickInterval, ProbeInterval: tickInterval, RoundTripTimeout: 3 * tickInterval, SilenceTimeout: 2 * tickInterval, PeerExpiry: time.Hour, RetransmitTimeout: 2 * tickInterval, RelayDelay: 2 * tickInterval,
		AddTimeout: 4 * tickInterval, WriteTimeout: 3 * tickInterval, SlowWrite: 2 * tickInterval, SlowDiskBackoff: 2 * tickInterval, PauseThreshold: 2 * tickInterval, StartupWait: 2 * tickInterval,
	}
}

// fault is planted to show that the checks find it.
type fault int

const (
	noFault            fault = iota
	ackBeforeSync            // a write is reported before it lasts
	countPerOrigin           // an id counts again where it comes from another machine
	readyWithEmptyDisk       // an empty disk is taken for one that misses nothing
	reuseDots                // what was sent is lost with the power, and its number given to another add
)

// call is an add that a caller may send: to a machine, once.
type call struct {
	node int
	add  Add
}

// limits bound what happens in a history.
type limits struct {
	ticks, powerLosses, diskLosses, connectionLosses, duplicates, callMask int
}

// disk is what lasts, and the write that is under way.
type disk struct {
	synced  []Batch
	pending []*Batch // more than one only where a write is reported too early
}

type node struct {
	addr                string
	disk                disk
	replica             *Replica
	incarnation         uint64
	startedAt           time.Duration
	ackedBeforeDiskLoss map[string]bool // acknowledged on enough disks when this disk was lost
	acked               map[string]bool // acknowledged here in this life
}

// acknowledged is an add that a caller was told of.
type acknowledgement struct {
	add      Add
	node     int
	disks    int  // that had it then
	diskLost bool // its machine lost its disk since
}

// core is the simulated machines and all that is on its way.
type cluster struct {
	fault        fault
	remoteCopies int
	now          time.Duration
	nodes        []*node
	links        map[[2]int][]*Message
	calls        []call
	remaining    limits
	issued       []Add
	acked        []acknowledgement
	callsByToken map[uint64]call
	lastToken    uint64
	lastOrigin   uint64
	violation    error
	cutLinks     map[[2]int]bool // links that lose all that is sent
	disrupted    bool            // there was such a link since all last went well
}

func newCluster(machines, copies int, planted fault, allowed limits, calls ...call) *cluster {
	c := &cluster{fault: planted, remoteCopies: copies, links: map[[2]int][]*Message{}, calls: calls, remaining: allowed, callsByToken: map[uint64]call{}, cutLinks: map[[2]int]bool{}}
	for i := range machines {
		c.nodes = append(c.nodes, &node{addr: fmt.Sprint("m", i)})
	}
	for i := range machines {
		c.nodes[i].disk.synced = []Batch{{NewOrigin: c.newOrigin(), Complete: true}}
		c.startNode(i)
	}
	return c
}

func (c *cluster) newOrigin() Origin {
	c.lastOrigin++
	return Origin(c.lastOrigin)
}

// settled is a core in which all have met, and some calls have been answered.
func (c *cluster) converge(before ...call) *cluster {
	for range 4 {
		c.tick()
		for range 4 {
			c.settle()
		}
	}
	for _, sent := range before {
		c.submit(sent)
		for range 4 {
			c.settle()
		}
	}
	return c
}

// load reads a disk as the log does.
func (c *cluster) load(d *disk) SavedState {
	saved := SavedState{Set: NewSet()}
	for i := range d.synced {
		b := &d.synced[i]
		for j := range b.Runs {
			if !saved.Set.Insert(&b.Runs[j]) {
				c.violation = errors.New("a gap in an origin's numbers on disk")
			}
		}
		if b.NewOrigin != 0 {
			saved.Origins = append(saved.Origins, b.NewOrigin)
		}
		saved.Complete = saved.Complete || b.Complete
	}
	return saved
}

// boot starts a machine on what is on its disk.
func (c *cluster) startNode(i int) {
	n := c.nodes[i]
	if len(n.disk.synced) == 0 {
		n.disk.synced = []Batch{{NewOrigin: c.newOrigin(), Complete: c.fault == readyWithEmptyDisk}}
	}
	n.incarnation++
	n.startedAt, n.acked = c.now, map[string]bool{}
	n.replica = New(c.now, Options{
		Self: n.addr, Incarnation: n.incarnation, ClockBase: clockBase(n.incarnation), RemoteCopies: c.remoteCopies, MaxAdds: 1 << 20,
		NewOrigin: c.newOrigin, Timing: testTiming(),
	}, c.load(&n.disk))
	var addrs []string
	for _, other := range c.nodes {
		addrs = append(addrs, other.addr)
	}
	n.replica.SetPeers(c.now, addrs)
	c.execute(i, n.replica.Tick(c.now))
}

func (c *cluster) nodeIndex(addr string) int {
	return slices.IndexFunc(c.nodes, func(n *node) bool { return n.addr == addr })
}

func (c *cluster) execute(i int, out Output) {
	n := c.nodes[i]
	if out.Write != nil {
		n.disk.pending = append(n.disk.pending, out.Write)
	}
	for _, e := range out.Messages {
		link := [2]int{i, c.nodeIndex(e.To)}
		if c.cutLinks[link] {
			continue
		}
		c.links[link] = append(c.links[link], c.injectMessageFault(i, e.Message))
	}
	for _, a := range out.Results {
		c.recordResult(i, a)
	}
	if out.Write != nil && (c.fault == ackBeforeSync || c.fault == reuseDots) {
		c.execute(i, n.replica.WriteSucceeded(c.now))
	}
}

// spoil plants the faults of messages.
func (c *cluster) injectMessageFault(i int, m *Message) *Message {
	if c.fault != countPerOrigin {
		return m
	}
	spoilt := *m
	spoilt.Runs = nil
	for _, run := range m.Runs {
		adds := slices.Clone(run.Adds)
		for j := range adds {
			adds[j].ID = fmt.Sprint(adds[j].ID, "@", run.Origin)
		}
		spoilt.Runs = append(spoilt.Runs, Run{Origin: run.Origin, First: run.First, Adds: adds})
	}
	return &spoilt
}

func (c *cluster) recordResult(i int, a Result) {
	sent := c.callsByToken[a.Token]
	switch a.Outcome {
	case Acknowledged:
		c.nodes[i].acked[sent.add.ID] = true
		c.acked = append(c.acked, acknowledgement{add: sent.add, node: i, disks: c.countDisksWith(sent.add)})
		c.checkAcknowledgement(i, sent.add)
	case Refused:
		c.checkRefusal(i, sent.add)
	}
}

// disksWith counts the disks that an add lasts on.
func (c *cluster) countDisksWith(add Add) (count int) {
	for _, n := range c.nodes {
		if diskContains(&n.disk, add) {
			count++
		}
	}
	return count
}

func diskContains(d *disk, add Add) bool {
	for i := range d.synced {
		for j := range d.synced[i].Runs {
			if slices.Contains(d.synced[i].Runs[j].Adds, add) {
				return true
			}
		}
	}
	return false
}

// checkCopies holds an acknowledgement against the machine's own disk.
func (c *cluster) checkAcknowledgement(i int, add Add) {
	if c.fault != reuseDots && !diskContains(&c.nodes[i].disk, add) {
		c.violation = fmt.Errorf("%s acknowledged %v, which is not on its disk", c.nodes[i].addr, add)
	}
}

// checkNothingDone holds a refusal against the disk: unless another call brought the add, it is not there.
func (c *cluster) checkRefusal(i int, add Add) {
	sent := 0
	for _, other := range c.issued {
		if other == add {
			sent++
		}
	}
	if sent == 1 && c.countDisksWith(add) > 0 {
		c.violation = fmt.Errorf("%s refused %v, which is on a disk", c.nodes[i].addr, add)
	}
}

// event is one thing that may happen.
type event struct {
	kind string
	a, b int
}

func (e event) String() string { return fmt.Sprintf("%s %d %d", e.kind, e.a, e.b) }

// events gives all that may happen next.
func (c *cluster) possibleEvents() (all []event) {
	for i := range c.calls {
		if c.remaining.callMask&(1<<i) != 0 {
			all = append(all, event{"add", i, 0})
		}
	}
	for i := range c.nodes {
		for j := range c.nodes {
			if len(c.links[[2]int{i, j}]) == 0 {
				continue
			}
			all = append(all, event{"deliver", i, j})
			if c.remaining.connectionLosses > 0 {
				all = append(all, event{"lose", i, j})
			}
			if c.remaining.duplicates > 0 {
				all = append(all, event{"twice", i, j})
			}
		}
		if len(c.nodes[i].disk.pending) > 0 {
			all = append(all, event{"sync", i, 0})
		}
		if c.remaining.powerLosses > 0 {
			all = append(all, event{"power", i, 0})
			if len(c.nodes[i].disk.pending) > 0 {
				all = append(all, event{"power, written", i, 0})
			}
		}
		if c.remaining.diskLosses > 0 {
			all = append(all, event{"disk", i, 0})
		}
	}
	if c.remaining.ticks > 0 {
		all = append(all, event{"tick", 0, 0})
	}
	return all
}

// apply lets an event happen.
func (c *cluster) apply(e event) {
	link := [2]int{e.a, e.b}
	switch e.kind {
	case "add":
		c.remaining.callMask &^= 1 << e.a
		c.submit(c.calls[e.a])
	case "deliver":
		m := c.links[link][0]
		c.links[link] = c.links[link][1:]
		c.receive(e.b, m)
	case "twice":
		c.remaining.duplicates--
		c.receive(e.b, c.links[link][0])
	case "lose":
		c.remaining.connectionLosses--
		c.links[link] = nil // a connection's end takes all that waits on it
	case "sync":
		c.completeSync(e.a)
	case "power":
		c.remaining.powerLosses--
		c.losePower(e.a, false)
	case "power, written":
		c.remaining.powerLosses--
		c.losePower(e.a, true)
	case "disk":
		c.remaining.diskLosses--
		c.loseDisk(e.a)
	case "tick":
		c.remaining.ticks--
		c.tick()
	}
}

func (c *cluster) submit(sent call) {
	c.lastToken++
	c.callsByToken[c.lastToken] = sent
	c.issued = append(c.issued, sent.add)
	c.execute(sent.node, c.nodes[sent.node].replica.Add(c.now, c.lastToken, sent.add))
}

func (c *cluster) receive(to int, m *Message) {
	c.execute(to, c.nodes[to].replica.Receive(c.now, m))
}

func (c *cluster) completeSync(i int) {
	n := c.nodes[i]
	n.disk.synced = append(n.disk.synced, *n.disk.pending[0])
	n.disk.pending = n.disk.pending[1:]
	if c.fault != ackBeforeSync && c.fault != reuseDots {
		c.execute(i, n.replica.WriteSucceeded(c.now))
	}
}

// powerCut ends a machine's process and starts it again; what was not synced may be there all the same.
func (c *cluster) losePower(i int, written bool) {
	n := c.nodes[i]
	if written {
		n.disk.synced = append(n.disk.synced, *n.disk.pending[0])
	}
	n.disk.pending = nil
	for j := range c.nodes {
		c.links[[2]int{i, j}], c.links[[2]int{j, i}] = nil, nil
	}
	c.startNode(i)
}

// loseDisk starts a machine anew on an empty disk.
func (c *cluster) loseDisk(i int) {
	n := c.nodes[i]
	n.disk = disk{}
	n.ackedBeforeDiskLoss = map[string]bool{}
	for k := range c.acked {
		a := &c.acked[k]
		if a.node == i {
			a.diskLost = true
		}
		if a.disks > c.remoteCopies {
			n.ackedBeforeDiskLoss[a.add.ID] = true
		}
	}
	c.losePower(i, false)
}

func (c *cluster) tick() {
	c.now += tickInterval
	for i, n := range c.nodes {
		c.execute(i, n.replica.Tick(c.now))
	}
}

// clockBase is where a life's clock begins, before or behind those of the lives before: it is drawn in the program.
func clockBase(life uint64) int64 {
	const lives = 1 << 20
	if life%2 == 0 {
		return int64(lives-life) * int64(time.Hour)
	}
	return int64(lives+life) * int64(time.Hour)
}
