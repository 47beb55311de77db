package tally

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// outcome gives the outcome of an add that is answered at once.
func (c *core) outcome(i int, add Add) Outcome {
	out := c.nodes[i].replica.Add(c.now, 1<<40, add)
	c.perform(i, Output{Write: out.Write, Messages: out.Messages})
	if len(out.Answers) == 0 {
		return -1
	}
	return out.Answers[0].Outcome
}

// TestASlowDiskIsTriedAgain: after a long write callers are turned to others, but not for good where no other write comes.
func TestASlowDiskIsTriedAgain(t *testing.T) {
	c := newCore(3, 1, noFault, limits{}).settled()
	c.send(call{0, addA})
	for range 3 {
		c.tick()
	}
	c.settleDown() // the write took three units
	c.tick()
	c.settleDown()
	require.Equal(t, Refused, c.outcome(0, addB))
	c.tick()
	c.settleDown()
	require.NotEqual(t, Refused, c.outcome(0, addB))
}

// TestAFailingDiskRefusesAtOnce: an add that no write was begun for is refused, the one in the write is unclear.
func TestAFailingDiskRefusesAtOnce(t *testing.T) {
	c := newCore(3, 1, noFault, limits{}).settled()
	r := c.nodes[0].replica
	require.NotNil(t, r.Add(c.now, 1, addA).Write)
	require.Empty(t, r.Add(c.now, 2, addB).Answers)
	require.Equal(t, []Answer{{1, Unclear, "the disk failed"}, {2, Refused, "the disk failed"}}, r.Failed(c.now).Answers)
	require.Equal(t, Refused, r.Add(c.now, 3, addB).Answers[0].Outcome)
	before := r.origin
	r.Recovered(c.now)
	require.NotEqual(t, before, r.origin)
	require.NotNil(t, r.Add(c.now, 4, addB).Write.NewOrigin)
}

// TestAStalledDiskRefusesAtOnce: while a write takes too long no add is taken, and the one in it is unclear.
func TestAStalledDiskRefusesAtOnce(t *testing.T) {
	c := newCore(3, 1, noFault, limits{}).settled()
	r := c.nodes[0].replica
	r.Add(c.now, 1, addA)
	stalled := c.now + modelTiming().Stall
	for now := c.now; now <= stalled; now += unit {
		require.Empty(t, r.Tick(now).Answers)
	}
	require.Equal(t, []Answer{{1, Unclear, "the disk takes no writes"}}, r.Tick(stalled+unit).Answers)
	require.Equal(t, Refused, r.Add(stalled+unit, 2, addB).Answers[0].Outcome)
}

// TestAfterAPauseSilenceTellsNothing: a machine that stood still does not take the others for cut off, and waits for them.
func TestAfterAPauseSilenceTellsNothing(t *testing.T) {
	c := newCore(3, 1, noFault, limits{}).settled()
	c.now += time.Second // only machine 0 is stepped
	r := c.nodes[0].replica
	r.Add(c.now, 1, addA)
	require.Empty(t, r.Synced(c.now).Answers, "no other disk has it, and nobody is known to be cut off")
	later := c.now + modelTiming().Silence
	r.Tick(later - unit)
	require.Equal(t, []Answer{{1, Acknowledged, ""}}, r.Tick(later).Answers, "now they are")
}

// TestWithoutRoomAddsAreRefused: own adds first, so that those of others still find room.
func TestWithoutRoomAddsAreRefused(t *testing.T) {
	c := newCore(2, 1, noFault, limits{}).settled()
	r := c.nodes[0].replica
	r.options.MostAdds = 1
	require.Equal(t, Refused, r.Add(c.now, 1, addA).Answers[0].Outcome)
	r.options.MostAdds = 10
	r.SetFull(true)
	require.Equal(t, Refused, r.Add(c.now, 2, addA).Answers[0].Outcome)
	r.SetFull(false)
	require.Empty(t, r.Add(c.now, 3, addA).Answers)
}

// TestPeersThatHaveOnlyJustFallenSilentAreWaitedFor: a machine that does not get to the messages of others must not take that for a cut at once.
func TestPeersThatHaveOnlyJustFallenSilentAreWaitedFor(t *testing.T) {
	timing := DefaultTiming()
	now := timing.FirstWait
	r := New(0, Options{
		Self: "a", Copies: 1, MostAdds: 1 << 10, Timing: timing, Life: 1, ClockBase: 1, NewOrigin: func() Origin { return 1 },
	}, Saved{Set: NewSet(), Complete: true})
	r.SetPeers(0, []string{"b"})
	for ; now < 2*timing.FirstWait; now += timing.Pause / 2 {
		r.Receive(now, &Message{From: "b", Life: 1, Sent: int64(now), Echo: 1 + int64(now), Whole: true, Ready: true})
	}
	for end := now + timing.Silence; now < end; now += timing.Pause / 2 {
		r.Tick(now)
	}
	require.NotNil(t, r.Add(now, 7, addA).Write)
	out := r.Synced(now)
	require.Empty(t, out.Answers)
	require.True(t, slices.ContainsFunc(out.Messages, func(e Envelope) bool { return len(e.Message.Runs) > 0 }), "the add is sent all the same")
	added := now
	for ; now < added+timing.Hesitate; now += timing.Pause / 2 {
		require.Empty(t, r.Tick(now).Answers)
	}
	require.Equal(t, []Answer{{7, Acknowledged, ""}}, r.Tick(now).Answers)
}
