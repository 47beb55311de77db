package chain

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/replicated"
)

// writeRecoveryLimit bounds the time without writes after a failure that leaves a majority of the
// nodes.
const writeRecoveryLimit = 3 * time.Second

func threeNodes(seed uint64) *simulation { return newSimulation(seed, 2, "a", "b", "c") }

// requireWritable checks that a write is committed within a time.
func requireWritable(t *testing.T, s *simulation, within time.Duration, what string, values ...any) {
	t.Helper()
	_, taken := s.waitWritable(within)
	require.NoError(t, s.violation)
	if !taken {
		s.logNodes(t)
	}
	require.True(t, taken, fmt.Sprintf(what, values...))
}

// TestLossAfterPlannedReplacement adds a node, shuts an old one down, and loses another for good
// right after. The two remaining nodes hold all data and are a majority of the three nodes left
// running, so writes must continue.
func TestLossAfterPlannedReplacement(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		for _, leaving := range []string{"a", "b", "c"} {
			for _, lost := range []string{"a", "b", "c"} {
				if leaving == lost {
					continue
				}
				s := threeNodes(seed)
				s.run(3 * time.Second)
				s.join("d", "zone-d")
				s.run(3 * time.Second)
				s.leave(leaving, 8*time.Second)
				began := s.now
				for s.nodes[leaving].up {
					s.run(tickInterval)
				}
				require.Less(t, s.now-began, 1500*time.Millisecond, "hand-over at shutdown")
				s.kill(lost)
				requireWritable(t, s, writeRecoveryLimit, "no write after %s left and %s was lost", leaving, lost)
			}
		}
	}
}

// TestLossAfterUnplannedReplacement loses a node while a learner is present. The learner replaces
// it as an acceptor as soon as the loss is detected, so the core survives the loss of a second node
// shortly after.
func TestLossAfterUnplannedReplacement(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		for _, gap := range []time.Duration{1500, 2000, 2400, 3000} {
			s := threeNodes(seed)
			s.run(3 * time.Second)
			s.join("d", "zone-d")
			s.run(3 * time.Second)
			s.kill("a")
			s.run(gap * time.Millisecond)
			s.kill("b")
			requireWritable(t, s, writeRecoveryLimit, "no write after b was lost %v ms after a", int(gap))
		}
	}
}

// TestFourAcceptorsStopAfterTwoLosses shows why an additional node starts as a learner: with a
// fourth acceptor the same two losses leave no quorum.
func TestFourAcceptorsStopAfterTwoLosses(t *testing.T) {
	s := newSimulation(1, 2, "a", "b", "c", "d")
	s.run(3 * time.Second)
	s.kill("a")
	s.run(100 * time.Millisecond)
	s.kill("b")
	_, taken := s.waitWritable(10 * time.Second)
	require.False(t, taken)
}

// TestZoneLossAfterPartitionHeals has five nodes in zones of 2, 2 and 1. One zone is partitioned
// and reconnected for a short time, then the other zone of two is lost. Three of the five nodes,
// with the complete log, remain.
func TestZoneLossAfterPartitionHeals(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		for _, back := range []time.Duration{50, 100, 300, 600, 1000, 2000} {
			s := fiveNodesInThreeZones(seed)
			s.run(3 * time.Second)
			s.partition([]string{"c", "d"}, []string{"a", "b", "e"}, false)
			s.run(4 * time.Second)
			requireWritable(t, s, writeRecoveryLimit, "no write while a zone is partitioned")
			s.heal()
			s.run(back * time.Millisecond)
			s.kill("a")
			s.kill("b")
			requireWritable(t, s, writeRecoveryLimit, "no write after a zone was lost %v ms after the other had reconnected", int(back))
		}
	}
}

func fiveNodesInThreeZones(seed uint64) *simulation {
	return newSimulation(seed, 2, "a:x", "b:x", "c:y", "d:y", "e:z")
}

// TestPartialPartitions cuts the link between each pair of nodes, in one and in both directions,
// while all others reach both. The core must settle on one chain within three views, keep it and
// have a head all the time.
func TestPartialPartitions(t *testing.T) {
	for _, nodes := range [][]string{{"a", "b", "c"}, {"a", "b", "c", "d", "e"}} {
		for i, from := range nodes {
			for j, to := range nodes {
				for _, oneWay := range []bool{false, true} {
					if i == j || i > j && !oneWay {
						continue
					}
					t.Run(fmt.Sprint(len(nodes), from, to, oneWay), func(t *testing.T) {
						s := newSimulation(uint64(10*i+j), 2, nodes...)
						s.run(3 * time.Second)
						requireSettles(t, s, func() { s.partition([]string{from}, []string{to}, oneWay) })
						requireSettles(t, s, s.heal)
					})
				}
			}
		}
	}
}

// TestRandomPartialPartitions cuts random sets of links that leave a connected chain with a
// majority possible.
func TestRandomPartialPartitions(t *testing.T) {
	nodes := []string{"a", "b", "c", "d", "e"}
	for seed := uint64(1); seed <= 60; seed++ {
		s := newSimulation(seed, 2, nodes...)
		s.run(3 * time.Second)
		requireSettlesAfter(t, s, 6, func() {
			for range 3 { // of ten links: at least three nodes stay connected
				from, to := nodes[s.random.IntN(5)], nodes[s.random.IntN(5)]
				if from != to {
					s.partition([]string{from}, []string{to}, s.random.IntN(2) == 0)
				}
			}
		})
	}
}

// requireSettles changes links between two nodes and requires at most three view changes, then
// none.
func requireSettles(t *testing.T, s *simulation, happen func()) {
	t.Helper()
	requireSettlesAfter(t, s, 3, happen)
}

// requireSettlesAfter applies a change and requires at most so many view changes within three
// seconds, then none for ten seconds, with a head at every tick.
func requireSettlesAfter(t *testing.T, s *simulation, views uint64, happen func()) {
	t.Helper()
	before := s.epoch()
	happen()
	s.run(3 * time.Second)
	require.LessOrEqual(t, s.epoch(), before+views)
	settled := s.epoch()
	for range 200 {
		s.run(tickInterval)
		if s.head() == nil {
			s.logNodes(t)
		}
		require.NotNil(t, s.head())
	}
	require.Equal(t, settled, s.epoch(), "epoch ten seconds after settling")
	require.NoError(t, s.violation)
	requireWritable(t, s, time.Second, "no write after settling")
}

// TestQuickRestartsKeepView checks that nodes that restart before they are suspected cause no view
// change, one alone or all at once.
func TestQuickRestartsKeepView(t *testing.T) {
	for _, nodes := range [][]string{{"a", "b", "c"}, {"a", "b", "c", "d", "e"}, {"a", "b", "c", "d", "e", "f", "g", "h", "i"}} {
		for seed := uint64(1); seed <= 10; seed++ {
			s := newSimulation(seed, 2, nodes...)
			s.run(3 * time.Second)
			settled := s.epoch()
			for _, addr := range nodes {
				s.kill(addr)
			}
			for _, addr := range nodes {
				s.run(s.randomDuration(0, 60*time.Millisecond))
				s.restart(addr)
			}
			requireWritable(t, s, time.Second, "no write after the restart of all nodes")
			s.run(5 * time.Second)
			require.Equal(t, settled, s.epoch(), "epoch after the restart of all nodes")
			s.kill("b")
			s.run(300 * time.Millisecond)
			s.restart("b")
			s.run(3 * time.Second)
			require.Equal(t, settled, s.epoch(), "epoch after the restart of one node")
		}
	}
}

// TestHeadShutdownDuringWrite shuts the head down during a write. Nothing is lost and writes
// continue at once.
func TestHeadShutdownDuringWrite(t *testing.T) {
	for seed := uint64(1); seed <= 30; seed++ {
		s := threeNodes(seed)
		s.run(3 * time.Second)
		head := s.head().addr
		s.submit(head, &replicated.Operation{Kind: replicated.KindVersion, Model: "m", Version: 1})
		s.run(s.randomDuration(0, 20*time.Millisecond))
		s.leave(head, 8*time.Second)
		requireWritable(t, s, 700*time.Millisecond, "no write after the head left")
		s.run(time.Second)
		require.False(t, s.nodes[head].up)
		s.restart(head)
		s.run(2 * time.Second)
		require.Len(t, s.head().replica.View().Chain, 3, "chain after the restart of the former head")
	}
}

// TestShutdownOfAllNodes shuts all nodes down at once. No node can hand over, and writes must
// continue until the grace period ends.
func TestShutdownOfAllNodes(t *testing.T) {
	s := threeNodes(1)
	s.run(3 * time.Second)
	for _, addr := range s.addrs {
		s.leave(addr, 4*time.Second)
	}
	s.run(2 * time.Second)
	requireWritable(t, s, time.Second, "no write while all nodes are leaving")
	s.run(5 * time.Second)
	for _, addr := range s.addrs {
		require.False(t, s.nodes[addr].up)
		s.restart(addr)
	}
	requireWritable(t, s, writeRecoveryLimit, "no write after the restart of all nodes")
}

// TestAcceptorsGrowInPairs checks that joining nodes become acceptors in pairs, and only while no
// zone holds too many.
func TestAcceptorsGrowInPairs(t *testing.T) {
	s := newSimulation(1, 2, "a:x", "b:y", "c:z")
	s.run(3 * time.Second)
	for _, step := range []struct {
		addr, zone          string
		acceptors, learners int
	}{{"d", "x", 3, 1}, {"e", "y", 5, 0}, {"f", "x", 5, 1}, {"g", "x", 5, 2}, {"h", "z", 7, 1}} {
		s.join(step.addr, step.zone)
		s.run(3 * time.Second)
		view := s.head().replica.View()
		require.Len(t, view.Acceptors, step.acceptors, "acceptors after %s joined", step.addr)
		require.Len(t, view.Learners, step.learners, "learners after %s joined", step.addr)
		require.Len(t, view.Chain, step.acceptors+step.learners, "chain after %s joined", step.addr)
	}
}

// TestDiskLossDuringPowerOutage loses one disk at the moment all other nodes lose power, right
// after a write was acknowledged. The write must survive.
func TestDiskLossDuringPowerOutage(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		for n := 3; n <= 5; n++ {
			nodes := []string{"a", "b", "c", "d", "e"}[:n]
			s := newSimulation(seed, 2, "a", "b", "c")
			s.run(2 * time.Second)
			for _, addr := range nodes[3:] {
				s.join(addr, "zone-"+addr)
			}
			s.run(3 * time.Second)
			c := s.submit(nodes[s.random.IntN(n)], &replicated.Operation{Kind: replicated.KindVersion, Model: "kept", Version: 7})
			for c.outcome != outcomeCommitted {
				s.run(time.Millisecond)
				require.False(t, c.done() && c.outcome != outcomeCommitted)
			}
			lost := nodes[s.random.IntN(n)]
			for _, addr := range nodes {
				s.kill(addr)
			}
			s.run(s.randomDuration(0, 2*time.Second))
			for _, addr := range nodes {
				if addr == lost {
					s.join(addr, "zone-"+addr)
				} else {
					s.restart(addr)
				}
				s.run(s.randomDuration(0, 300*time.Millisecond))
			}
			requireWritable(t, s, 5*time.Second, "no write with %d nodes after %s lost its disk", n, lost)
			s.run(time.Second)
			require.Equal(t, int64(7), s.head().replica.State().Models["kept"].Version)
		}
	}
}

// TestCatchUpAfterHundredsOfChanges restarts a node with its old disk after it has missed hundreds
// of changes, and partitions it during the catch-up. It must be complete soon after.
func TestCatchUpAfterHundredsOfChanges(t *testing.T) {
	for _, changes := range []int{10, 130, 400} {
		s := threeNodes(uint64(changes))
		s.run(3 * time.Second)
		s.kill("c")
		s.run(2 * time.Second)
		for i := range changes {
			s.submit([]string{"a", "b"}[i%2], &replicated.Operation{Kind: replicated.KindVersion, Model: "m", Version: int64(i + 1)})
			s.run(30 * time.Millisecond)
		}
		s.restart("c")
		s.run(s.randomDuration(100*time.Millisecond, 600*time.Millisecond))
		s.partition([]string{"c"}, []string{"a", "b"}, false)
		s.run(2 * time.Second)
		s.heal()
		s.run(2 * time.Second)
		require.NoError(t, s.violation)
		c := s.nodes["c"].replica
		require.True(t, c.Serving())
		require.Equal(t, int64(changes), c.State().Models["m"].Version)
	}
}

// TestLargeStateTransferOverSlowLink transfers a state of 8 MiB over links of 5 MiB/s to a node
// that lost its disk, beside heartbeats and writes. A partition during the transfer must not
// restart it. The transfer must neither cause nor block a view change.
func TestLargeStateTransferOverSlowLink(t *testing.T) {
	const size = 8 << 20
	s := threeNodes(3)
	s.run(3 * time.Second)
	large := s.putConfig("a", 0, 1, strings.Repeat("x", size))
	s.run(900 * time.Millisecond)
	require.Equal(t, outcomeCommitted, large.outcome)
	s.bytesPerSecond = 5 << 20
	s.kill("c")
	s.run(2 * time.Second)
	settled := s.epoch()
	s.join("c", "zone-c")
	s.run(800 * time.Millisecond)
	require.Greater(t, s.chunkBytesSent, 2<<20, "bytes transferred before the partition")
	s.partition([]string{"c"}, []string{"a", "b"}, false)
	s.run(2 * time.Second)
	s.heal()
	began, ticksWithoutHead := s.now, 0
	for !s.nodes["c"].replica.Serving() {
		if s.head() == nil {
			ticksWithoutHead++
		}
		require.Less(t, s.now-began, 6*time.Second)
		s.run(tickInterval)
	}
	require.LessOrEqual(t, ticksWithoutHead, 6, "ticks without a head during the transfer")
	requireWritable(t, s, time.Second, "no write after the transfer")
	require.Equal(t, int64(1), s.nodes["c"].replica.State().ConfigVersion)
	require.LessOrEqual(t, s.epoch(), settled+2)
	require.Less(t, s.chunkBytesSent, size+size/4, "bytes transferred in total; the interrupted transfer must resume")
}
