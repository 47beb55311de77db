package tally

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// outcome gives the outcome of an add that is answered at once.
func (c *cluster) immediateOutcome(i int, add Add) Outcome {
	out := c.nodes[i].replica.Add(c.now, 1<<40, add)
	c.execute(i, Output{Write: out.Write, Messages: out.Messages})
	if len(out.Results) == 0 {
		return -1
	}
	return out.Results[0].Outcome
}

// TestASlowDiskIsTriedAgain: after a long write callers are turned to others, but not for good where no other write comes.
func TestSlowDiskBackoff(t *testing.T) {
	c := newCluster(3, 1, noFault, limits{}).converge()
	c.submit(call{0, addA})
	for range 3 {
		c.tick()
	}
	c.settle() // the write took three units
	c.tick()
	c.settle()
	require.Equal(t, Refused, c.immediateOutcome(0, addB))
	c.tick()
	c.settle()
	require.NotEqual(t, Refused, c.immediateOutcome(0, addB))
}

// TestAFailingDiskRefusesAtOnce: an add that no write was begun for is refused, the one in the write is unclear.
func TestWriteFailure(t *testing.T) {
	c := newCluster(3, 1, noFault, limits{}).converge()
	r := c.nodes[0].replica
	require.NotNil(t, r.Add(c.now, 1, addA).Write)
	require.Empty(t, r.Add(c.now, 2, addB).Results)
	require.Equal(t, []Result{{1, Unclear, "the disk failed"}, {2, Refused, "the disk failed"}}, r.WriteFailed(c.now).Results)
	require.Equal(t, Refused, r.Add(c.now, 3, addB).Results[0].Outcome)
	before := r.origin
	r.DiskRecovered(c.now)
	require.NotEqual(t, before, r.origin)
	require.NotNil(t, r.Add(c.now, 4, addB).Write.NewOrigin)
}

// TestAStalledDiskRefusesAtOnce: while a write takes too long no add is taken, and the one in it is unclear.
func TestStalledWrite(t *testing.T) {
	c := newCluster(3, 1, noFault, limits{}).converge()
	r := c.nodes[0].replica
	r.Add(c.now, 1, addA)
	stalled := c.now + testTiming().WriteTimeout
	for now := c.now; now <= stalled; now += tickInterval {
		require.Empty(t, r.Tick(now).Results)
	}
	require.Equal(t, []Result{{1, Unclear, "the disk takes no writes"}}, r.Tick(stalled+tickInterval).Results)
	require.Equal(t, Refused, r.Add(stalled+tickInterval, 2, addB).Results[0].Outcome)
}

// TestAfterAPauseSilenceTellsNothing: a machine that stood still does not take the others for cut off, and waits for them.
func TestProcessPause(t *testing.T) {
	c := newCluster(3, 1, noFault, limits{}).converge()
	c.now += time.Second // only machine 0 is stepped
	r := c.nodes[0].replica
	r.Add(c.now, 1, addA)
	require.Empty(t, r.WriteSucceeded(c.now).Results, "no other disk has it, and nobody is known to be cut off")
	later := c.now + testTiming().SilenceTimeout
	r.Tick(later - tickInterval)
	require.Equal(t, []Result{{1, Acknowledged, ""}}, r.Tick(later).Results, "now they are")
}

// TestWithoutRoomAddsAreRefused: own adds first, so that those of others still find room.
func TestCapacityLimits(t *testing.T) {
	c := newCluster(2, 1, noFault, limits{}).converge()
	r := c.nodes[0].replica
	r.options.MaxAdds = 1
	require.Equal(t, Refused, r.Add(c.now, 1, addA).Results[0].Outcome)
	r.options.MaxAdds = 10
	r.SetDiskFull(true)
	require.Equal(t, Refused, r.Add(c.now, 2, addA).Results[0].Outcome)
	r.SetDiskFull(false)
	require.Empty(t, r.Add(c.now, 3, addA).Results)
}

// TestPeersThatHaveOnlyJustFallenSilentAreWaitedFor: a machine that does not get to the messages of others must not take that for a cut at once.
func TestSuspectedPeerWait(t *testing.T) {
	timing := DefaultTiming()
	now := timing.StartupWait
	r := New(0, Options{
		Self: "a", RemoteCopies: 1, MaxAdds: 1 << 10, Timing: timing, Incarnation: 1, ClockBase: 1, NewOrigin: func() Origin { return 1 },
	}, SavedState{Set: NewSet(), Complete: true})
	r.SetPeers(0, []string{"b"})
	for ; now < 2*timing.StartupWait; now += timing.PauseThreshold / 2 {
		r.Receive(now, &Message{From: "b", Incarnation: 1, SentAt: int64(now), Echo: 1 + int64(now), FullVector: true, Ready: true})
	}
	for end := now + timing.SilenceTimeout; now < end; now += timing.PauseThreshold / 2 {
		r.Tick(now)
	}
	require.NotNil(t, r.Add(now, 7, addA).Write)
	out := r.WriteSucceeded(now)
	require.Empty(t, out.Results)
	require.True(t, slices.ContainsFunc(out.Messages, func(e Envelope) bool { return len(e.Message.Runs) > 0 }), "the add is sent all the same")
	added := now
	for ; now < added+timing.SuspectWait; now += timing.PauseThreshold / 2 {
		require.Empty(t, r.Tick(now).Results)
	}
	require.Equal(t, []Result{{7, Acknowledged, ""}}, r.Tick(now).Results)
}
