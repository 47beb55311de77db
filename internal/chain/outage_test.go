package chain

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/replicated"
)

// staleMinorityCase is a core, its nodes that miss changes, and how many of the others lose their
// disks.
type staleMinorityCase struct {
	nodes  []string
	copies int
	stale  []string
	wiped  int
}

// TestStaleMinorityNeitherServesNorDecides partitions a minority, which misses changes. Then some
// of the others lose their disks, the rest lose power at once, and the partition heals. The running
// nodes, all stale or empty, must neither answer reads nor take writes. After the rest restart, all
// acknowledged writes must be present.
func TestStaleMinorityNeitherServesNorDecides(t *testing.T) {
	for _, b := range []staleMinorityCase{
		{[]string{"a", "b", "c"}, 2, []string{"c"}, 1},
		{[]string{"a", "b", "c"}, 2, []string{"a"}, 1},
		{[]string{"a:x", "b:x", "c:y", "d:y", "e:z"}, 2, []string{"d", "e"}, 1},
		{[]string{"a:x", "b:x", "c:y", "d:y", "e:z"}, 3, []string{"a", "b"}, 2},
		{[]string{"a:x", "b:x", "c:y", "d:y", "e:z"}, 3, []string{"c"}, 2},
	} {
		for seed := uint64(1); seed <= 20; seed++ {
			playStaleMinority(t, b, seed)
		}
	}
}

func playStaleMinority(t *testing.T, b staleMinorityCase, seed uint64) {
	s := newSimulation(seed, b.copies, b.nodes...)
	s.run(3 * time.Second)
	var others []string
	for _, addr := range s.addrs {
		if !slices.Contains(b.stale, addr) {
			others = append(others, addr)
		}
	}
	s.holdMessages = seed%2 == 0
	s.partition(b.stale, others, false)
	s.run(2 * time.Second)
	var newest int64
	for version := int64(1); version <= 20; version++ {
		c := s.submit(others[s.random.IntN(len(others))], &replicated.Operation{Kind: replicated.KindVersion, Model: "kept", Version: version})
		s.run(s.randomDuration(30*time.Millisecond, 300*time.Millisecond))
		if c.outcome == outcomeCommitted {
			newest = version
		}
	}
	require.Positive(t, newest)
	s.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, addr := range others {
		s.powerOff(addr)
	}
	for _, addr := range others[:b.wiped] {
		s.join(addr, s.nodes[addr].zone)
	}
	s.heal()
	for range 40 {
		read := s.read(s.addrs[s.random.IntN(len(s.addrs))])
		s.run(100 * time.Millisecond)
		require.NotEqual(t, outcomeCommitted, read.outcome, "read answered without a node that holds the newest state")
	}
	_, taken := s.waitWritable(time.Second)
	require.False(t, taken, "write committed without a node that holds the newest state")
	for _, addr := range others[b.wiped:] {
		s.restart(addr)
	}
	requireWritable(t, s, fullRecoveryLimit, "no write after all nodes restarted, seed %d, %v", seed, b)
	require.GreaterOrEqual(t, requireRead(t, s).Models["kept"].Version, newest)
}

// requireRead reads the newest state from any node.
func requireRead(t *testing.T, s *simulation) *replicated.State {
	t.Helper()
	for range 30 {
		read := s.read(s.addrs[s.random.IntN(len(s.addrs))])
		s.run(100 * time.Millisecond)
		if read.outcome == outcomeCommitted {
			return read.state
		}
	}
	require.Fail(t, "no read was answered within 3 s")
	return nil
}

// TestPowerLossDuringWrite cuts the power of all nodes at each millisecond from the arrival of a
// write until after its acknowledgement, with the disk writes in progress partly done. A write
// acknowledged before the power loss must be visible in every read afterwards.
func TestPowerLossDuringWrite(t *testing.T) {
	for at := time.Millisecond; at <= 80*time.Millisecond; at += time.Millisecond {
		for seed := uint64(1); seed <= 4; seed++ {
			s := threeNodes(seed)
			s.run(3 * time.Second)
			contact := s.addrs[s.random.IntN(3)]
			c := s.putConfig(contact, 0, 1, "written during a power loss")
			s.run(at)
			acknowledged := c.outcome == outcomeCommitted
			for _, addr := range s.addrs {
				s.powerOff(addr)
			}
			s.run(time.Second)
			for _, addr := range s.addrs {
				s.restart(addr)
				s.run(s.randomDuration(0, 300*time.Millisecond))
			}
			requireWritable(t, s, fullRecoveryLimit, "no write after power returned")
			if acknowledged {
				require.Equal(t, int64(1), requireRead(t, s).ConfigVersion, "configuration version after a power loss %v after the write was sent, seed %d", at, seed)
			}
			again := s.startCall(&call{operation: c.operation, contact: contact, version: 1})
			s.run(time.Second)
			require.Equal(t, outcomeCommitted, again.outcome, "outcome of the write sent again")
		}
	}
}

// TestQuorumMeansNewestStateAfterOutage guards against agents that start with an old configuration (CONFIG): all nodes
// lose power after writes, and the tail, which alone knows that they are committed, loses its disk or stays away. A
// node that reports a quorum must have every acknowledged write.
func TestQuorumMeansNewestStateAfterOutage(t *testing.T) {
	for _, tailReturns := range []bool{false, true} {
		for seed := uint64(1); seed <= 10; seed++ {
			s := threeNodes(seed)
			s.run(3 * time.Second)
			var newest int64
			for version := int64(1); version <= 5; version++ {
				c := s.submit(s.addrs[s.random.IntN(3)], &replicated.Operation{Kind: replicated.KindVersion, Model: "kept", Version: version})
				s.run(300 * time.Millisecond)
				if c.outcome == outcomeCommitted {
					newest = version
				}
			}
			require.EqualValues(t, 5, newest)
			view := s.head().replica.View()
			tail := s.nodes[s.addrs[slices.IndexFunc(s.addrs, func(addr string) bool { return s.nodes[addr].replica.Self().ID == view.Tail() })]].addr
			for _, addr := range s.addrs {
				s.powerOff(addr)
			}
			for _, addr := range s.addrs {
				if addr != tail {
					s.restart(addr)
				}
			}
			if tailReturns {
				s.join(tail, s.nodes[tail].zone)
			}
			reported := false
			for range 4000 {
				s.run(time.Millisecond)
				for _, addr := range s.addrs {
					n := s.nodes[addr]
					if !n.up || n.halted || !n.replica.HasQuorum(s.now) {
						continue
					}
					reported = true
					require.Equal(t, newest, n.replica.State().Models["kept"].Version, "node %s at %v, seed %d, tail returns %v", addr, s.now, seed, tailReturns)
				}
			}
			require.True(t, reported, "seed %d: no node had a quorum within 4 s", seed)
		}
	}
}
