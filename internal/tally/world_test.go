package tally

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// A simulated core plays real replicas against disks and links of its own. Time is a number of units, and each event is chosen by the test:
// messages wait on their links until they are delivered or lost, writes until their sync ends or the power goes.

const unit = time.Millisecond

// modelTiming is of few units, so that short histories meet each limit.
func modelTiming() Timing {
	return Timing{
		Gossip: unit, Probe: unit, Reach: 3 * unit, Silence: 2 * unit, Forget: time.Hour, Resend: 2 * unit, Relay: 2 * unit,
		Answer: 4 * unit, Stall: 3 * unit, Slow: 2 * unit, SlowFor: 2 * unit, Pause: 2 * unit, FirstWait: 2 * unit,
	}
}

// fault is planted to show that the checks find it.
type fault int

const (
	noFault              fault = iota
	acknowledgedUnsynced       // a write is reported before it lasts
	mergedBySum                // an id counts again where it comes from another machine
	readWhileEmpty             // an empty disk is taken for one that misses nothing
	dotUsedAgain               // what was sent is lost with the power, and its number given to another add
)

// call is an add that a caller may send: to a machine, once.
type call struct {
	machine int
	add     Add
}

// limits bound what happens in a history.
type limits struct {
	ticks, powerCuts, lostDisks, lostMessages, twice, adds int
}

// disk is what lasts, and the write that is under way.
type disk struct {
	lasting []Batch
	pending []*Batch // more than one only where a write is reported too early
}

type node struct {
	addr    string
	disk    disk
	replica *Replica
	life    uint64
	started time.Duration
	wiped   map[string]bool // acknowledged on enough disks when this disk was lost
	acked   map[string]bool // acknowledged here in this life
}

// acknowledged is an add that a caller was told of.
type acknowledged struct {
	add    Add
	by     int
	disks  int  // that had it then
	excuse bool // its machine lost its disk since
}

// core is the simulated machines and all that is on its way.
type core struct {
	fault   fault
	copies  int
	now     time.Duration
	nodes   []*node
	links   map[[2]int][]*Message
	calls   []call
	left    limits
	issued  []Add
	acked   []acknowledged
	tokens  map[uint64]call
	token   uint64
	origins uint64
	broken  error
	cut     map[[2]int]bool // links that lose all that is sent
	cuts    bool            // there was such a link since all last went well
}

func newCore(machines, copies int, planted fault, allowed limits, calls ...call) *core {
	c := &core{fault: planted, copies: copies, links: map[[2]int][]*Message{}, calls: calls, left: allowed, tokens: map[uint64]call{}, cut: map[[2]int]bool{}}
	for i := range machines {
		c.nodes = append(c.nodes, &node{addr: fmt.Sprint("m", i)})
	}
	for i := range machines {
		c.nodes[i].disk.lasting = []Batch{{NewOrigin: c.newOrigin(), Complete: true}}
		c.boot(i)
	}
	return c
}

func (c *core) newOrigin() Origin {
	c.origins++
	return Origin(c.origins)
}

// settled is a core in which all have met, and some calls have been answered.
func (c *core) settled(before ...call) *core {
	for range 4 {
		c.tick()
		for range 4 {
			c.settleDown()
		}
	}
	for _, sent := range before {
		c.send(sent)
		for range 4 {
			c.settleDown()
		}
	}
	return c
}

// load reads a disk as the log does.
func (c *core) load(d *disk) Saved {
	saved := Saved{Set: NewSet()}
	for i := range d.lasting {
		b := &d.lasting[i]
		for j := range b.Runs {
			if !saved.Set.Insert(&b.Runs[j]) {
				c.broken = errors.New("a gap in an origin's numbers on disk")
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
func (c *core) boot(i int) {
	n := c.nodes[i]
	if len(n.disk.lasting) == 0 {
		n.disk.lasting = []Batch{{NewOrigin: c.newOrigin(), Complete: c.fault == readWhileEmpty}}
	}
	n.life++
	n.started, n.acked = c.now, map[string]bool{}
	n.replica = New(c.now, Options{
		Self: n.addr, Life: n.life, ClockBase: clockBase(n.life), Copies: c.copies, MostAdds: 1 << 20,
		NewOrigin: c.newOrigin, Timing: modelTiming(),
	}, c.load(&n.disk))
	var addrs []string
	for _, other := range c.nodes {
		addrs = append(addrs, other.addr)
	}
	n.replica.SetPeers(c.now, addrs)
	c.perform(i, n.replica.Tick(c.now))
}

func (c *core) indexOf(addr string) int {
	return slices.IndexFunc(c.nodes, func(n *node) bool { return n.addr == addr })
}

func (c *core) perform(i int, out Output) {
	n := c.nodes[i]
	if out.Write != nil {
		n.disk.pending = append(n.disk.pending, out.Write)
	}
	for _, e := range out.Messages {
		link := [2]int{i, c.indexOf(e.To)}
		if c.cut[link] {
			continue
		}
		c.links[link] = append(c.links[link], c.spoil(i, e.Message))
	}
	for _, a := range out.Answers {
		c.answered(i, a)
	}
	if out.Write != nil && (c.fault == acknowledgedUnsynced || c.fault == dotUsedAgain) {
		c.perform(i, n.replica.Synced(c.now))
	}
}

// spoil plants the faults of messages.
func (c *core) spoil(i int, m *Message) *Message {
	if c.fault != mergedBySum {
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

func (c *core) answered(i int, a Answer) {
	sent := c.tokens[a.Token]
	switch a.Outcome {
	case Acknowledged:
		c.nodes[i].acked[sent.add.ID] = true
		c.acked = append(c.acked, acknowledged{add: sent.add, by: i, disks: c.disksWith(sent.add)})
		c.checkCopies(i, sent.add)
	case Refused:
		c.checkNothingDone(i, sent.add)
	}
}

// disksWith counts the disks that an add lasts on.
func (c *core) disksWith(add Add) (count int) {
	for _, n := range c.nodes {
		if onDisk(&n.disk, add) {
			count++
		}
	}
	return count
}

func onDisk(d *disk, add Add) bool {
	for i := range d.lasting {
		for j := range d.lasting[i].Runs {
			if slices.Contains(d.lasting[i].Runs[j].Adds, add) {
				return true
			}
		}
	}
	return false
}

// checkCopies holds an acknowledgement against the machine's own disk.
func (c *core) checkCopies(i int, add Add) {
	if c.fault != dotUsedAgain && !onDisk(&c.nodes[i].disk, add) {
		c.broken = fmt.Errorf("%s acknowledged %v, which is not on its disk", c.nodes[i].addr, add)
	}
}

// checkNothingDone holds a refusal against the disk: unless another call brought the add, it is not there.
func (c *core) checkNothingDone(i int, add Add) {
	sent := 0
	for _, other := range c.issued {
		if other == add {
			sent++
		}
	}
	if sent == 1 && c.disksWith(add) > 0 {
		c.broken = fmt.Errorf("%s refused %v, which is on a disk", c.nodes[i].addr, add)
	}
}

// event is one thing that may happen.
type event struct {
	kind string
	a, b int
}

func (e event) String() string { return fmt.Sprintf("%s %d %d", e.kind, e.a, e.b) }

// events gives all that may happen next.
func (c *core) events() (all []event) {
	for i := range c.calls {
		if c.left.adds&(1<<i) != 0 {
			all = append(all, event{"add", i, 0})
		}
	}
	for i := range c.nodes {
		for j := range c.nodes {
			if len(c.links[[2]int{i, j}]) == 0 {
				continue
			}
			all = append(all, event{"deliver", i, j})
			if c.left.lostMessages > 0 {
				all = append(all, event{"lose", i, j})
			}
			if c.left.twice > 0 {
				all = append(all, event{"twice", i, j})
			}
		}
		if len(c.nodes[i].disk.pending) > 0 {
			all = append(all, event{"sync", i, 0})
		}
		if c.left.powerCuts > 0 {
			all = append(all, event{"power", i, 0})
			if len(c.nodes[i].disk.pending) > 0 {
				all = append(all, event{"power, written", i, 0})
			}
		}
		if c.left.lostDisks > 0 {
			all = append(all, event{"disk", i, 0})
		}
	}
	if c.left.ticks > 0 {
		all = append(all, event{"tick", 0, 0})
	}
	return all
}

// apply lets an event happen.
func (c *core) apply(e event) {
	link := [2]int{e.a, e.b}
	switch e.kind {
	case "add":
		c.left.adds &^= 1 << e.a
		c.send(c.calls[e.a])
	case "deliver":
		m := c.links[link][0]
		c.links[link] = c.links[link][1:]
		c.receive(e.b, m)
	case "twice":
		c.left.twice--
		c.receive(e.b, c.links[link][0])
	case "lose":
		c.left.lostMessages--
		c.links[link] = nil // a connection's end takes all that waits on it
	case "sync":
		c.synced(e.a)
	case "power":
		c.left.powerCuts--
		c.powerCut(e.a, false)
	case "power, written":
		c.left.powerCuts--
		c.powerCut(e.a, true)
	case "disk":
		c.left.lostDisks--
		c.loseDisk(e.a)
	case "tick":
		c.left.ticks--
		c.tick()
	}
}

func (c *core) send(sent call) {
	c.token++
	c.tokens[c.token] = sent
	c.issued = append(c.issued, sent.add)
	c.perform(sent.machine, c.nodes[sent.machine].replica.Add(c.now, c.token, sent.add))
}

func (c *core) receive(to int, m *Message) {
	c.perform(to, c.nodes[to].replica.Receive(c.now, m))
}

func (c *core) synced(i int) {
	n := c.nodes[i]
	n.disk.lasting = append(n.disk.lasting, *n.disk.pending[0])
	n.disk.pending = n.disk.pending[1:]
	if c.fault != acknowledgedUnsynced && c.fault != dotUsedAgain {
		c.perform(i, n.replica.Synced(c.now))
	}
}

// powerCut ends a machine's process and starts it again; what was not synced may be there all the same.
func (c *core) powerCut(i int, written bool) {
	n := c.nodes[i]
	if written {
		n.disk.lasting = append(n.disk.lasting, *n.disk.pending[0])
	}
	n.disk.pending = nil
	for j := range c.nodes {
		c.links[[2]int{i, j}], c.links[[2]int{j, i}] = nil, nil
	}
	c.boot(i)
}

// loseDisk starts a machine anew on an empty disk.
func (c *core) loseDisk(i int) {
	n := c.nodes[i]
	n.disk = disk{}
	n.wiped = map[string]bool{}
	for k := range c.acked {
		a := &c.acked[k]
		if a.by == i {
			a.excuse = true
		}
		if a.disks > c.copies {
			n.wiped[a.add.ID] = true
		}
	}
	c.powerCut(i, false)
}

func (c *core) tick() {
	c.now += unit
	for i, n := range c.nodes {
		c.perform(i, n.replica.Tick(c.now))
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
