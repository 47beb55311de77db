package chain

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/replicated"
	"nettlefold/internal/simtest"
)

// fullRecoveryLimit bounds the time without writes once all nodes and links work again.
const fullRecoveryLimit = 6 * time.Second

// randomRun is a simulation with random faults and two operators.
type randomRun struct {
	*simulation
	activeAddrs  []string
	maxLostDisks int // disks that may be lost at the same time
	wipedNodes   map[string]bool
	// replacing maps nodes that are removed for good to the addresses of their replacements.
	replacing     map[string]string
	joinedCount   int
	newestVersion int64 // newest configuration version that the operators know
	pendingCalls  []*call
	lastMark      int
}

func newRandomRun(seed uint64, injected fault) *randomRun {
	shapes := [][]string{{"a:x", "b:y", "c:z"}, {"a:x", "b:x", "c:y"}, {"a:x", "b:y", "c:z", "d:x"}, {"a:x", "b:x", "c:y", "d:y", "e:z"}}
	nodes := shapes[seed%uint64(len(shapes))]
	copies := 2
	if len(nodes) == 5 && seed%3 == 0 {
		copies = 3
	}
	if seed%10 == 7 {
		nodes, copies = []string{"a:x", "b:y", "c:z", "d:x", "e:x", "f:y", "g:z", "h:w", "i:w"}, 3
	}
	tr := &randomRun{simulation: newSimulation(seed, copies, nodes[:3]...), maxLostDisks: copies - 1, wipedNodes: map[string]bool{}, replacing: map[string]string{}}
	tr.injected = injected
	if seed%2 == 0 { // short logs, and states that are always fetched in chunks
		tr.limits = Limits{RetainedEntries: 3, SnapshotEntries: 2, SnapshotBytes: 1 << 20, CatchUpBytes: 100, ChunkBytes: 60}
		for _, text := range nodes[:3] {
			addr, _ := splitAddrZone(text)
			tr.start(tr.nodes[addr])
		}
	}
	for _, text := range nodes[3:] {
		addr, zone := splitAddrZone(text)
		tr.join(addr, zone)
	}
	tr.activeAddrs = slices.Clone(tr.addrs)
	tr.run(4 * time.Second)
	return tr
}

func (tr *randomRun) pick() string { return tr.activeAddrs[tr.random.IntN(len(tr.activeAddrs))] }

// lostDisks counts the nodes that restarted with an empty disk and are not in the chain yet, and
// the removed nodes whose replacement has not taken over yet.
func (tr *randomRun) lostDisks() (n int) {
	for addr, replacement := range tr.replacing {
		if tr.replaced(addr, replacement) {
			delete(tr.replacing, addr)
			continue
		}
		n++
	}
	for addr := range tr.wipedNodes {
		node := tr.nodes[addr]
		view := node.replica.View()
		if node.up && view.Epoch == tr.epoch() && view.InChain(node.replica.Self().ID) {
			delete(tr.wipedNodes, addr)
			continue
		}
		n++
	}
	return n
}

// injectFault injects a random fault, which ends after a random time.
func (tr *randomRun) injectFault() {
	addr, rest := tr.pick(), time.Duration(200+tr.random.IntN(5000))*time.Millisecond
	n := tr.nodes[addr]
	back := func() {
		if n := tr.nodes[addr]; !n.up && !n.retired {
			tr.restart(addr)
		}
	}
	tr.holdMessages = tr.holdMessages || tr.random.IntN(2) == 0
	switch tr.random.IntN(14) {
	case 0:
		tr.kill(addr)
		tr.schedule(rest, back)
	case 1:
		tr.powerOff(addr)
		tr.schedule(rest, back)
	case 2:
		if n.up {
			tr.freeze(addr)
			tr.schedule(rest, func() { tr.thaw(addr) })
		}
	case 3:
		tr.partition([]string{addr}, slices.DeleteFunc(slices.Clone(tr.activeAddrs), func(a string) bool { return a == addr }), tr.random.IntN(3) == 0)
		tr.schedule(rest, tr.heal)
	case 4:
		if other := tr.pick(); other != addr {
			tr.partition([]string{addr}, []string{other}, tr.random.IntN(2) == 0)
			tr.schedule(rest, tr.heal)
		}
	case 5:
		half := len(tr.activeAddrs) / 2
		tr.partition(tr.activeAddrs[:half], tr.activeAddrs[half:], false)
		tr.schedule(rest, tr.heal)
	case 6:
		if tr.lostDisks() < tr.maxLostDisks {
			tr.wipedNodes[addr] = true
			tr.kill(addr)
			tr.join(addr, n.zone)
		}
	case 7:
		if n.up && !n.frozen {
			tr.leave(addr, 3*time.Second)
			tr.schedule(4*time.Second, back)
		}
	case 8:
		n.syncTime = time.Duration(tr.random.IntN(900)) * time.Millisecond
		tr.schedule(rest, func() { n.syncTime = simSyncTime })
	case 9:
		end := tr.kill
		if tr.random.IntN(2) == 0 {
			end = tr.powerOff
		}
		for _, a := range tr.activeAddrs {
			end(a)
		}
		tr.schedule(rest/4, func() {
			for _, a := range tr.activeAddrs {
				if !tr.nodes[a].up {
					tr.restart(a)
				}
			}
		})
	case 11, 12:
		tr.replace(addr, rest)
	case 10:
		n.diskFailing = true
		tr.schedule(rest, func() { n.diskFailing = false })
	}
}

// replace removes a node for good and adds an empty one at another address: either first, followed
// by a graceful shutdown of the old node, or after the old node has lost power.
func (tr *randomRun) replace(addr string, gap time.Duration) {
	if tr.lostDisks() >= tr.maxLostDisks || !tr.nodes[addr].up || tr.nodes[addr].frozen {
		return
	}
	tr.joinedCount++
	replacement, zone := fmt.Sprintf("n%d", tr.joinedCount), tr.nodes[addr].zone
	tr.replacing[addr] = replacement
	tr.activeAddrs = slices.DeleteFunc(slices.Clone(tr.activeAddrs), func(a string) bool { return a == addr })
	join := func() {
		tr.join(replacement, zone)
		tr.activeAddrs = append(slices.Clone(tr.activeAddrs), replacement)
	}
	if tr.random.IntN(2) == 0 { // planned
		join()
		tr.schedule(gap, func() {
			tr.nodes[addr].retired = true
			if tr.nodes[addr].up {
				tr.leave(addr, 3*time.Second)
			}
		})
		return
	}
	tr.nodes[addr].retired = true
	tr.powerOff(addr)
	tr.schedule(gap, join)
}

// replaced reports whether a replacement has taken over from a removed node: it holds the log, and
// the removed node is neither an acceptor nor a chain member. A node that shuts down while too few
// others are there stays in the chain until its grace period ends.
func (tr *randomRun) replaced(addr, replacement string) bool {
	node := tr.nodes[replacement]
	if node == nil || !node.up || !tr.nodes[addr].retired {
		return false
	}
	view := node.replica.View()
	_, member := view.Member(tr.nodes[addr].replica.Self().ID)
	return view.Epoch == tr.epoch() && view.InChain(node.replica.Self().ID) && !member
}

// operatorStep starts a random call of an operator, or repeats a call whose outcome is unknown.
func (tr *randomRun) operatorStep() {
	addr := tr.pick()
	if i := slices.IndexFunc(tr.pendingCalls, (*call).done); i >= 0 {
		c := tr.pendingCalls[i]
		tr.pendingCalls = slices.Delete(tr.pendingCalls, i, i+1)
		if c.outcome == outcomeUnknown {
			again := tr.startCall(&call{operation: c.operation, contact: addr, version: c.version})
			tr.pendingCalls = append(tr.pendingCalls, again)
			return
		}
		if c.outcome == outcomeCommitted && c.version > tr.newestVersion {
			tr.newestVersion = c.version
		}
	}
	switch tr.random.IntN(6) {
	case 0:
		tr.pendingCalls = append(tr.pendingCalls, tr.read(addr))
	case 1, 2:
		tr.lastMark++
		version := tr.newestVersion + 1 + int64(tr.random.IntN(2))
		tr.pendingCalls = append(tr.pendingCalls, tr.putConfig(addr, tr.newestVersion, version, fmt.Sprint("one ", tr.lastMark)))
		if tr.random.IntN(2) == 0 { // a second operator writes the same version
			tr.pendingCalls = append(tr.pendingCalls, tr.putConfig(tr.pick(), tr.newestVersion, version, fmt.Sprint("two ", tr.lastMark)))
		}
	case 3, 4:
		kind := replicated.KindEvacuate
		if tr.random.IntN(2) == 0 {
			kind = replicated.KindRestore
		}
		tr.submit(addr, &replicated.Operation{Kind: kind, Zone: "x"})
	}
	for i, c := range tr.calls {
		if c.operation == nil && c.outcome == outcomeCommitted && c.state.ConfigVersion > tr.newestVersion && i >= len(tr.calls)-8 {
			tr.newestVersion = c.state.ConfigVersion
		}
	}
}

// play injects faults and calls, then repairs everything.
func (tr *randomRun) play(hits int) {
	for range hits {
		tr.injectFault()
		for range 1 + tr.random.IntN(8) {
			tr.operatorStep()
			tr.run(tr.randomDuration(0, 400*time.Millisecond))
		}
	}
	tr.run(6 * time.Second)
	tr.heal()
	for _, addr := range tr.activeAddrs {
		if n := tr.nodes[addr]; !n.up {
			tr.restart(addr)
		} else if n.frozen {
			tr.thaw(addr)
		}
		tr.nodes[addr].syncTime, tr.nodes[addr].diskFailing = simSyncTime, false
		tr.nodes[addr].busyUntil = min(tr.nodes[addr].busyUntil, tr.now) // drops the queue of a slow disk
	}
}

// checkAcknowledged returns an error if the newest state lacks an acknowledged write.
func (tr *randomRun) checkAcknowledged() error {
	head := tr.head()
	if head == nil {
		return nil
	}
	state := head.replica.State()
	for _, c := range tr.calls {
		if c.outcome != outcomeCommitted || c.operation == nil {
			continue
		}
		if c.operation.Kind == replicated.KindConfig && state.ConfigVersion < c.version {
			return fmt.Errorf("configuration version %d was acknowledged, but the state has version %d", c.version, state.ConfigVersion)
		}
	}
	return nil
}

// checkRandomRun plays the run of a seed to its end and returns what was wrong with it.
func checkRandomRun(seed uint64, injected fault) error {
	tr := newRandomRun(seed, injected)
	tr.play(12)
	took, taken := tr.waitWritable(fullRecoveryLimit)
	tr.run(time.Second)
	switch {
	case tr.violation != nil:
		return tr.violation
	case !taken:
		return fmt.Errorf("no write was committed for %v after all faults ended", took)
	case !simtest.Linearizable(tr.history()):
		return fmt.Errorf("the operators' calls are not linearizable")
	}
	return tr.checkAcknowledged()
}

const randomRuns = 300

// For more runs than CI has time for, with other seeds: go test ./internal/chain -run
// 'TestRandomRuns$' -timeout 0 -runs 20000 -first 1000.
var (
	runsFlag  = flag.Uint64("runs", randomRuns, "number of random runs")
	firstFlag = flag.Uint64("first", 1, "seed of the first random run")
)

// TestRandomRuns plays overlapping random faults on cores of several sizes. No more disks are lost
// at once than the configuration tolerates.
func TestRandomRuns(t *testing.T) {
	for seed := *firstFlag; seed < *firstFlag+*runsFlag; seed++ {
		if err := checkRandomRun(seed, noFault); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// TestRandomRunsFindInjectedFaults checks that the runs detect each of these faults.
func TestRandomRunsFindInjectedFaults(t *testing.T) {
	for name, injected := range map[string]struct {
		fault fault
		first uint64 // a seed that detects it, tried first
	}{
		"answers without a majority":       {faultUnconfirmedAnswers, 15},
		"orders taken whatever their base": {faultIgnoredBase, 220},
		"entries that are not durable":     {faultVolatileEntries, 2},
		"acknowledged by number alone":     {faultAckByNumber, 1530},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(0); seed <= 4*randomRuns; seed++ {
				tried := seed
				if seed == 0 {
					tried = injected.first
				}
				if err := checkRandomRun(tried, injected.fault); err != nil {
					t.Logf("seed %d: %v", tried, err)
					return
				}
			}
			require.Fail(t, "fault not detected by any seed")
		})
	}
}
