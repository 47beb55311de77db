package tally

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPeerEchoesNothingOfAnEarlierLife restarts a machine whose new clock is behind that of the life before: the other one has to answer
// what the new life sends, or it stays out of reach for the new life, which then acknowledges adds alone and passes none on.
func TestRestartWithEarlierClock(t *testing.T) {
	origins := uint64(0)
	start := func(self string, life uint64, clockBase time.Duration) *Replica {
		return New(0, Options{
			Self: self, Incarnation: life, ClockBase: int64(clockBase), RemoteCopies: 1, MaxAdds: 1 << 10, Timing: testTiming(),
			NewOrigin: func() Origin { origins++; return Origin(origins) },
		}, SavedState{Set: NewSet(), Complete: true})
	}
	exchange := func(from, until time.Duration, a, b *Replica) {
		named := map[string]*Replica{"a": a, "b": b}
		for now := from; now <= until; now += tickInterval {
			for addr, r := range named {
				r.SetPeers(now, []string{"a", "b"})
				for _, e := range r.Tick(now).Messages {
					other := named[e.To]
					require.NotNil(t, other, "%s sends to %s", addr, e.To)
					for _, back := range other.Receive(now, e.Message).Messages {
						r.Receive(now, back.Message)
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
	require.True(t, again.reachable(21*tickInterval, again.peers["a"]), "the new life is out of touch")
	require.True(t, a.reachable(21*tickInterval, a.peers["b"]))
}
