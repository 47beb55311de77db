package chain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startOfNine starts a core whose first view has three machines, and six that come soon after.
func startNineNodes(seed uint64) *simulation {
	s := newSimulation(seed, 3, "a:u", "b:v", "c:w")
	for _, other := range []string{"d:u", "e:v", "f:w", "g:x", "h:y", "i:z"} {
		addr, zone := splitAddrZone(other)
		s.schedule(s.randomDuration(0, 150*time.Millisecond), func() { s.join(addr, zone) })
	}
	return s
}

// starve gives a machine the processor for short spans only, until a time.
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
			s.perform(s.nodes[addr], s.nodes[addr].replica.Tick(s.now)) // that fell due meanwhile
			s.starve(addr, longest, until)
		})
	})
}

// chainMembers is how many machines the chain of the newest view has that any machine knows.
func (s *simulation) newestChainLength() int {
	var newest View
	for _, addr := range s.addrs {
		if v := s.nodes[addr].replica.View(); v.Epoch > newest.Epoch {
			newest = v
		}
	}
	return len(newest.Chain)
}

// TestNewcomersThatComeTogether: six machines that come at about the same time are taken in by two views at most, not by one each.
func TestConcurrentJoins(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		s := startNineNodes(seed)
		s.run(4 * time.Second)
		require.NoError(t, s.violation)
		require.Equal(t, 9, s.newestChainLength(), "seed %d", seed)
		require.LessOrEqual(t, s.epoch(), uint64(3), "seed %d", seed)
	}
}

// TestStarvedMembersStayInTheChain: machines that come to their work only now and then, always in a shorter time than that of suspicion, are
// not left out of a view by a proposer that was starved itself while their answers waited for it.
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
		require.Zero(t, shrunk, "seed %d: views that lost a member", seed)
		require.Equal(t, 9, before, "seed %d", seed)
	}
}
