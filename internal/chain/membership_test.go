package chain

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/replicated"
)

// takenAgainWithin bounds how long writes rest after a loss that leaves a majority of the machines.
const writeRecoveryLimit = 3 * time.Second

func threeNodes(seed uint64) *simulation { return newSimulation(seed, 2, "a", "b", "c") }

// requireWritable has a write taken in time.
func requireWritable(t *testing.T, s *simulation, within time.Duration, what string, values ...any) {
	t.Helper()
	_, taken := s.waitWritable(within)
	require.NoError(t, s.violation)
	if !taken {
		s.logNodes(t)
	}
	require.True(t, taken, fmt.Sprintf(what, values...))
}

// TestLossAfterPlannedReplacement: a newcomer comes, an old machine is told to end and hands over, and right after it has gone another is
// lost for good. Two whole copies are left; they are a majority of the machines that the operator left running.
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
				require.Less(t, s.now-began, 1500*time.Millisecond, "handing over is short")
				s.kill(lost)
				requireWritable(t, s, writeRecoveryLimit, "%s left, then %s was lost", leaving, lost)
			}
		}
	}
}

// TestLossAfterUnplannedReplacement: a machine is lost without a word while a newcomer is there already; as soon as the loss is noticed the
// newcomer votes in its place, so another may be lost a second later.
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
			requireWritable(t, s, writeRecoveryLimit, "b was lost %v ms after a", int(gap))
		}
	}
}

// TestEvenNumberOfVotes shows what the learner is for: with the newcomer as a fourth acceptor the same losses stop the core for good.
func TestFourAcceptorsStopAfterTwoLosses(t *testing.T) {
	s := newSimulation(1, 2, "a", "b", "c", "d")
	s.run(3 * time.Second)
	s.kill("a")
	s.run(100 * time.Millisecond)
	s.kill("b")
	_, taken := s.waitWritable(10 * time.Second)
	require.False(t, taken)
}

// TestZoneAfterZone: five machines in zones of 2, 2 and 1; one zone is cut off, back for a moment, then the other large one is lost. Three of
// the five, with the whole log, are there.
func TestZoneLossAfterPartitionHeals(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		for _, back := range []time.Duration{50, 100, 300, 600, 1000, 2000} {
			s := fiveNodesInThreeZones(seed)
			s.run(3 * time.Second)
			s.partition([]string{"c", "d"}, []string{"a", "b", "e"}, false)
			s.run(4 * time.Second)
			requireWritable(t, s, writeRecoveryLimit, "a zone is cut off")
			s.heal()
			s.run(back * time.Millisecond)
			s.kill("a")
			s.kill("b")
			requireWritable(t, s, writeRecoveryLimit, "the zone was lost %v ms after the other was back", int(back))
		}
	}
}

func fiveNodesInThreeZones(seed uint64) *simulation {
	return newSimulation(seed, 2, "a:x", "b:x", "c:y", "d:y", "e:z")
}

// TestPartialCuts: every pair of machines that do not reach each other though all others reach both, one way and both ways. The core comes to
// one chain in at most three views, stays with it, and has a head all the time.
func TestPartialPartitions(t *testing.T) {
	for _, machines := range [][]string{{"a", "b", "c"}, {"a", "b", "c", "d", "e"}} {
		for i, from := range machines {
			for j, to := range machines {
				for _, oneWay := range []bool{false, true} {
					if i == j || i > j && !oneWay {
						continue
					}
					t.Run(fmt.Sprint(len(machines), from, to, oneWay), func(t *testing.T) {
						s := newSimulation(uint64(10*i+j), 2, machines...)
						s.run(3 * time.Second)
						requireSettles(t, s, func() { s.partition([]string{from}, []string{to}, oneWay) })
						requireSettles(t, s, s.heal)
					})
				}
			}
		}
	}
}

// TestSeveralPartialCuts draws sets of cut links that leave a chain with a majority possible.
func TestRandomPartialPartitions(t *testing.T) {
	machines := []string{"a", "b", "c", "d", "e"}
	for seed := uint64(1); seed <= 60; seed++ {
		s := newSimulation(seed, 2, machines...)
		s.run(3 * time.Second)
		requireSettlesAfter(t, s, 6, func() {
			for range 3 { // of ten links: three machines at least reach each other
				from, to := machines[s.random.IntN(5)], machines[s.random.IntN(5)]
				if from != to {
					s.partition([]string{from}, []string{to}, s.random.IntN(2) == 0)
				}
			}
		})
	}
}

// requireSettles lets something happen to the links between two machines: three views at most, then none.
func requireSettles(t *testing.T, s *simulation, happen func()) {
	t.Helper()
	requireSettlesAfter(t, s, 3, happen)
}

// requireSettlesAfter lets something happen: so many views at most in three seconds, then none, and a head at every look.
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
	require.Equal(t, settled, s.epoch(), "no view in the ten seconds after")
	require.NoError(t, s.violation)
	requireWritable(t, s, time.Second, "writes go on")
}

// TestQuickRestarts: machines that are back before they are missed cost no view, one alone or all at once.
func TestQuickRestartsKeepView(t *testing.T) {
	for _, machines := range [][]string{{"a", "b", "c"}, {"a", "b", "c", "d", "e"}, {"a", "b", "c", "d", "e", "f", "g", "h", "i"}} {
		for seed := uint64(1); seed <= 10; seed++ {
			s := newSimulation(seed, 2, machines...)
			s.run(3 * time.Second)
			settled := s.epoch()
			for _, addr := range machines {
				s.kill(addr)
			}
			for _, addr := range machines {
				s.run(s.randomDuration(0, 60*time.Millisecond))
				s.restart(addr)
			}
			requireWritable(t, s, time.Second, "all are back")
			s.run(5 * time.Second)
			require.Equal(t, settled, s.epoch(), "all at once")
			s.kill("b")
			s.run(300 * time.Millisecond)
			s.restart("b")
			s.run(3 * time.Second)
			require.Equal(t, settled, s.epoch(), "one alone")
		}
	}
}

// TestLeavingHead: a head that is told to end with a write under way loses nothing, and the others go on at once.
func TestHeadShutdownDuringWrite(t *testing.T) {
	for seed := uint64(1); seed <= 30; seed++ {
		s := threeNodes(seed)
		s.run(3 * time.Second)
		head := s.head().addr
		s.submit(head, &replicated.Operation{Kind: replicated.KindVersion, Model: "m", Version: 1})
		s.run(s.randomDuration(0, 20*time.Millisecond))
		s.leave(head, 8*time.Second)
		requireWritable(t, s, 700*time.Millisecond, "the head leaves")
		s.run(time.Second)
		require.False(t, s.nodes[head].up)
		s.restart(head)
		s.run(2 * time.Second)
		require.Len(t, s.head().replica.View().Chain, 3, "it is in again")
	}
}

// TestAllToldToEnd: where all are told to end at once nobody can hand over, and nothing is given up before the grace is.
func TestShutdownOfAllNodes(t *testing.T) {
	s := threeNodes(1)
	s.run(3 * time.Second)
	for _, addr := range s.addrs {
		s.leave(addr, 4*time.Second)
	}
	s.run(2 * time.Second)
	requireWritable(t, s, time.Second, "all leave")
	s.run(5 * time.Second)
	for _, addr := range s.addrs {
		require.False(t, s.nodes[addr].up)
		s.restart(addr)
	}
	requireWritable(t, s, writeRecoveryLimit, "all are back")
}

// TestAcceptorsGrowByTwo: newcomers vote in pairs, and no further where a zone would hold too many.
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
		require.Len(t, view.Acceptors, step.acceptors, "%s came", step.addr)
		require.Len(t, view.Learners, step.learners, "%s came", step.addr)
		require.Len(t, view.Chain, step.acceptors+step.learners, "%s came", step.addr)
	}
}

// TestLostDiskWithAllOthersDark: a disk is lost and at the same moment all others lose power; also with the newest order just taken.
func TestDiskLossDuringPowerOutage(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		for n := 3; n <= 5; n++ {
			machines := []string{"a", "b", "c", "d", "e"}[:n]
			s := newSimulation(seed, 2, "a", "b", "c")
			s.run(2 * time.Second)
			for _, addr := range machines[3:] {
				s.join(addr, "zone-"+addr)
			}
			s.run(3 * time.Second)
			c := s.submit(machines[s.random.IntN(n)], &replicated.Operation{Kind: replicated.KindVersion, Model: "kept", Version: 7})
			for c.outcome != outcomeCommitted {
				s.run(time.Millisecond)
				require.False(t, c.done() && c.outcome != outcomeCommitted)
			}
			lost := machines[s.random.IntN(n)]
			for _, addr := range machines {
				s.kill(addr)
			}
			s.run(s.randomDuration(0, 2*time.Second))
			for _, addr := range machines {
				if addr == lost {
					s.join(addr, "zone-"+addr)
				} else {
					s.restart(addr)
				}
				s.run(s.randomDuration(0, 300*time.Millisecond))
			}
			requireWritable(t, s, 5*time.Second, "%d machines, %s lost its disk", n, lost)
			s.run(time.Second)
			require.Equal(t, int64(7), s.head().replica.State().Models["kept"].Version)
		}
	}
}

// TestHundredsOfChanges: a machine is down for hundreds of changes, comes back with its old disk, is cut off midway, and is whole again soon.
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

// TestLargeStateOverASlowLink: a state of 8 MB reaches a machine that lost its disk over links of 5 MB a second, beside heartbeats and writes,
// and a cut in the middle of it does not begin it anew. No view is lost over it, and none waits for it.
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
	require.Greater(t, s.chunkBytesSent, 2<<20, "it has begun")
	s.partition([]string{"c"}, []string{"a", "b"}, false)
	s.run(2 * time.Second)
	s.heal()
	began, without := s.now, 0
	for !s.nodes["c"].replica.Serving() {
		if s.head() == nil {
			without++
		}
		require.Less(t, s.now-began, 6*time.Second)
		s.run(tickInterval)
	}
	require.LessOrEqual(t, without, 6, "the others go on, but for the change of the view")
	requireWritable(t, s, time.Second, "whole again")
	require.Equal(t, int64(1), s.nodes["c"].replica.State().ConfigVersion)
	require.LessOrEqual(t, s.epoch(), settled+2)
	require.Less(t, s.chunkBytesSent, size+size/4, "what had come was not sent again")
}
