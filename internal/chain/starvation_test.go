package chain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startNineNodes starts a core with three nodes in the first view and six that join soon after.
func startNineNodes(seed uint64) *simulation {
	s := newSimulation(seed, 3, "a:u", "b:v", "c:w")
	for _, other := range []string{"d:u", "e:v", "f:w", "g:x", "h:y", "i:z"} {
		addr, zone := splitAddrZone(other)
		s.schedule(s.randomDuration(0, 150*time.Millisecond), func() { s.join(addr, zone) })
	}
	return s
}

// starve lets a node run only in short intervals until a given time; longest bounds the pauses in
// between.
func (s *simulation) starve(addr string, longest, until time.Duration) {
	if s.now >= until {
		return
	}
	s.schedule(s.randomDuration(20*time.Millisecond, 60*time.Millisecond), func() {
		if s.nodes[addr] == nil {
			return
		}
		s.freeze(addr)
		s.schedule(s.randomDuration(longest/4, longest), func() {
			s.thaw(addr)
			s.perform(s.nodes[addr], s.nodes[addr].replica.Tick(s.now)) // overdue
			s.starve(addr, longest, until)
		})
	})
}

// newestChainLength returns the length of the chain in the newest view known to any node.
func (s *simulation) newestChainLength() int {
	var newest View
	for _, addr := range s.addrs {
		if v := s.nodes[addr].replica.View(); v.Epoch > newest.Epoch {
			newest = v
		}
	}
	return len(newest.Chain)
}

// TestConcurrentJoins checks that six nodes that join at about the same time are added by at most
// two views, not by one view each.
func TestConcurrentJoins(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		s := startNineNodes(seed)
		s.run(4 * time.Second)
		require.NoError(t, s.violation)
		require.Equal(t, 9, s.newestChainLength(), "seed %d: chain length", seed)
		require.LessOrEqual(t, s.epoch(), uint64(3), "seed %d: epoch", seed)
	}
}

// TestStarvedNodesStayInChain checks that nodes whose pauses are shorter than SuspectTimeout stay
// in the chain. The fault: a proposer that was starved itself timed others out while their replies
// waited in its queue.
func TestStarvedNodesStayInChain(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		s := startNineNodes(seed)
		for _, addr := range []string{"a", "b", "c"} {
			s.starve(addr, 300*time.Millisecond, 8*time.Second)
		}
		shrunk, before := 0, 0
		for s.now < 12*time.Second {
			s.run(tickInterval)
			members := s.newestChainLength()
			if members < before {
				shrunk++
			}
			before = members
		}
		require.NoError(t, s.violation)
		require.Zero(t, shrunk, "seed %d: number of views that lost a chain member", seed)
		require.Equal(t, 9, before, "seed %d: chain length", seed)
	}
}
