package tally

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPeerEchoesNothingOfAnEarlierLife restarts a machine whose new clock is behind that of the life before: the other one has to answer
// what the new life sends, or it stays out of reach for the new life, which then acknowledges adds alone and passes none on.
func TestPeerEchoesNothingOfAnEarlierLife(t *testing.T) {
	origins := uint64(0)
	start := func(self string, life uint64, clockBase time.Duration) *Replica {
		return New(0, Options{
			Self: self, Life: life, ClockBase: int64(clockBase), Copies: 1, MostAdds: 1 << 10, Timing: modelTiming(),
			NewOrigin: func() Origin { origins++; return Origin(origins) },
		}, Saved{Set: NewSet(), Complete: true})
	}
	exchange := func(from, until time.Duration, a, b *Replica) {
		named := map[string]*Replica{"a": a, "b": b}
		for now := from; now <= until; now += unit {
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
	exchange(0, 10*unit, a, first)
	require.True(t, first.inReach(10*unit, first.peers["a"]))
	again := start("b", 3, time.Minute)
	exchange(11*unit, 21*unit, a, again)
	require.True(t, again.inReach(21*unit, again.peers["a"]), "the new life is out of touch")
	require.True(t, a.inReach(21*unit, a.peers["b"]))
}
