package tally

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// immediateOutcome submits an add and returns its outcome, or -1 if it isn't answered immediately.
func (c *cluster) immediateOutcome(i int, add Add) Outcome {
	out := c.nodes[i].replica.Add(c.now, 1<<40, add)
	c.execute(i, Output{Write: out.Write, Messages: out.Messages})
	if len(out.Results) == 0 {
		return -1
	}
	return out.Results[0].Outcome
}

// TestSlowDiskBackoff checks that adds are refused after a slow write, but only for SlowDiskBackoff: without
// further writes the disk would otherwise count as slow forever.
func TestSlowDiskBackoff(t *testing.T) {
	c := newCluster(3, 1, noFault, limits{}).converge()
	c.submit(call{0, addA})
	for range 3 {
		c.tick()
	}
	c.settle() // the write took three ticks
	c.tick()
	c.settle()
	require.Equal(t, Refused, c.immediateOutcome(0, addB))
	c.tick()
	c.settle()
	require.NotEqual(t, Refused, c.immediateOutcome(0, addB))
}

// TestWriteFailure checks that a failed write answers its adds Unclear and the queued ones Refused, and
// that the replica continues with a new origin after the recovery.
func TestWriteFailure(t *testing.T) {
	c := newCluster(3, 1, noFault, limits{}).converge()
	r := c.nodes[0].replica
	require.NotNil(t, r.Add(c.now, 1, addA).Write)
	require.Empty(t, r.Add(c.now, 2, addB).Results)
	require.Equal(t, []Result{{1, Unclear, "the disk failed"}, {2, Refused, "the disk failed"}}, r.WriteFailed(c.now).Results)
	require.Equal(t, Refused, r.Add(c.now, 3, addB).Results[0].Outcome)
	earlier := r.origin
	r.DiskRecovered(c.now)
	require.NotEqual(t, earlier, r.origin)
	require.NotNil(t, r.Add(c.now, 4, addB).Write.NewOrigin)
}

// TestStalledWrite checks that adds are refused while a write exceeds WriteTimeout, and that the adds in
// that write are answered Unclear.
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

// TestProcessPause checks that a replica whose process was paused waits for SilenceTimeout before it
// considers its peers unreachable.
func TestProcessPause(t *testing.T) {
	c := newCluster(3, 1, noFault, limits{}).converge()
	c.now += time.Second // only node 0 gets events
	r := c.nodes[0].replica
	r.Add(c.now, 1, addA)
	require.Empty(t, r.WriteSucceeded(c.now).Results, "add answered before a peer is known to be unreachable")
	later := c.now + testTiming().SilenceTimeout
	r.Tick(later - tickInterval)
	require.Equal(t, []Result{{1, Acknowledged, ""}}, r.Tick(later).Results,
		"add after SilenceTimeout: want it acknowledged without the silent peers")
}

// TestCapacityLimits checks that callers' adds are refused near MaxAdds, so that those of
// peers still fit, and while the disk is full.
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

// TestSuspectedPeerWait checks that a call waits SuspectWait for a peer that has only just fallen silent:
// the local process may be late in reading the peer's messages, which isn't a partition.
func TestSuspectedPeerWait(t *testing.T) {
	timing := DefaultTiming()
	now := timing.StartupWait
	r := New(0, Options{
		Self: "a", RemoteCopies: 1, MaxAdds: 1 << 10, Timing: timing,
		Incarnation: 1, ClockBase: 1, NewOrigin: func() Origin { return 1 },
	}, SavedState{Set: NewSet(), Complete: true})
	r.SetPeers(0, []string{"b"})
	for ; now < 2*timing.StartupWait; now += timing.PauseThreshold / 2 {
		r.Receive(now, &Message{
			From: "b", Incarnation: 1, SentAt: int64(now), Echo: 1 + int64(now), FullVector: true, Ready: true,
		})
	}
	for end := now + timing.SilenceTimeout; now < end; now += timing.PauseThreshold / 2 {
		r.Tick(now)
	}
	require.NotNil(t, r.Add(now, 7, addA).Write)
	out := r.WriteSucceeded(now)
	require.Empty(t, out.Results)
	require.True(t, slices.ContainsFunc(out.Messages, func(e Envelope) bool { return len(e.Message.Runs) > 0 }),
		"messages to the suspected peer: want one with the add")
	added := now
	for ; now < added+timing.SuspectWait; now += timing.PauseThreshold / 2 {
		require.Empty(t, r.Tick(now).Results)
	}
	require.Equal(t, []Result{{7, Acknowledged, ""}}, r.Tick(now).Results)
}
