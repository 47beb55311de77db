package chain

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/replicated"
)

// behind is a core, the machines that miss changes, and how many of the others lose their disks.
type staleMinorityCase struct {
	nodes  []string
	copies int
	stale  []string
	wiped  int
}

// TestAMinorityThatMissedChanges: a minority is cut off and misses changes; then some of the others lose their disks, at once the rest of them
// lose power, and the cut heals. Those that are there, all behind or empty, neither serve nor agree on anything; with the rest back everything
// that was acknowledged is there.
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
		require.NotEqual(t, outcomeCommitted, read.outcome, "nobody of those who are there knows the newest state")
	}
	_, taken := s.waitWritable(time.Second)
	require.False(t, taken, "nor may any of them change it")
	for _, addr := range others[b.wiped:] {
		s.restart(addr)
	}
	requireWritable(t, s, fullRecoveryLimit, "all are back, seed %d, %v", seed, b)
	require.GreaterOrEqual(t, requireRead(t, s).Models["kept"].Version, newest)
}

// requireRead has the newest state read at some machine.
func requireRead(t *testing.T, s *simulation) *replicated.State {
	t.Helper()
	for range 30 {
		read := s.read(s.addrs[s.random.IntN(len(s.addrs))])
		s.run(100 * time.Millisecond)
		if read.outcome == outcomeCommitted {
			return read.state
		}
	}
	require.Fail(t, "nobody answers a read")
	return nil
}

// TestPowerLostAtEveryMomentOfAWrite: all machines lose power at once, at each millisecond from an order's arrival to its acknowledgement and
// beyond, with what their disks were at half there. What was acknowledged by then is in force afterwards, and read so by everybody.
func TestPowerLossDuringWrite(t *testing.T) {
	for at := time.Millisecond; at <= 80*time.Millisecond; at += time.Millisecond {
		for seed := uint64(1); seed <= 4; seed++ {
			s := threeNodes(seed)
			s.run(3 * time.Second)
			contact := s.addrs[s.random.IntN(3)]
			c := s.putConfig(contact, 0, 1, "written beside a loss of power")
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
			requireWritable(t, s, fullRecoveryLimit, "power is back")
			if acknowledged {
				require.Equal(t, int64(1), requireRead(t, s).ConfigVersion, "%v after it was sent, seed %d", at, seed)
			}
			again := s.startCall(&call{operation: c.operation, contact: contact, version: 1})
			s.run(time.Second)
			require.Equal(t, outcomeCommitted, again.outcome, "sent again it is taken, or known")
		}
	}
}
