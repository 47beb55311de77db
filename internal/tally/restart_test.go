package tally

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRestartWithEarlierClock restarts a machine with a clock that starts earlier than before. Its peer must
// echo the messages of the new incarnation. If it kept echoing the old clock, it would stay unreachable for
// the new incarnation, which would then acknowledge adds alone and send none to the peer.
func TestRestartWithEarlierClock(t *testing.T) {
	origins := uint64(0)
	start := func(self string, incarnation uint64, clockBase time.Duration) *Replica {
		return New(0, Options{
			Self: self, Incarnation: incarnation, ClockBase: int64(clockBase),
			RemoteCopies: 1, MaxAdds: 1 << 10, Timing: testTiming(),
			NewOrigin: func() Origin { origins++; return Origin(origins) },
		}, SavedState{Set: NewSet(), Complete: true})
	}
	exchange := func(from, until time.Duration, a, b *Replica) {
		replicas := map[string]*Replica{"a": a, "b": b}
		for now := from; now <= until; now += tickInterval {
			for addr, r := range replicas {
				r.SetPeers(now, []string{"a", "b"}, nil)
				for _, e := range r.Tick(now).Messages {
					other := replicas[e.To]
					require.NotNil(t, other, "%s sends to %s", addr, e.To)
					for _, reply := range other.Receive(now, e.Message).Messages {
						r.Receive(now, reply.Message)
					}
				}
			}
		}
	}
	a := start("a", 1, time.Hour)
	first := start("b", 2, 2*time.Hour)
	exchange(0, 10*tickInterval, a, first)
	require.True(t, first.reachable(10*tickInterval, first.peers["a"]))
	again := start("b", 3, time.Minute)
	exchange(11*tickInterval, 21*tickInterval, a, again)
	require.True(t, again.reachable(21*tickInterval, again.peers["a"]),
		"peer of the new incarnation: got unreachable, want reachable")
	require.True(t, a.reachable(21*tickInterval, a.peers["b"]))
}
