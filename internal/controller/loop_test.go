package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"nettlefold/internal/chain"
	"nettlefold/internal/distribute"
	"nettlefold/internal/rpc"
)

// TestChainMessagesPrecedeSessionCalls: a message of another replica must not wait for agents'
// calls that were queued before it, or heartbeats are late.
func TestChainMessagesPrecedeSessionCalls(t *testing.T) {
	c, err := newWithNetwork(rpc.TCP{}, singleNodeSettings(t), zerolog.Nop())
	require.NoError(t, err)
	defer c.store.Close()
	var order []commandKind
	end := make(chan struct{})
	for range 300 {
		c.enqueue(commandSession, func() { order = append(order, commandSession) })
	}
	c.enqueue(commandChain, func() { order = append(order, commandChain) })
	c.enqueue(commandOther, func() { close(end) })
	c.runLoop(end, nil)
	require.NotEmpty(t, order)
	require.Equal(t, commandChain, order[0])
}

// TestAgentTableBatching: 291 agents that call one controller within half a second cause a few
// tables to be sent to the other controllers, not one per agent.
func TestAgentTableBatching(t *testing.T) {
	runCluster(t, 1, func(w *testCluster, _ *rand.Rand) {
		const agents, within = 291, 500 * time.Millisecond
		before := w.metric(ipOf(2), `controller_commands_total{kind="table"}`)
		for i := range agents {
			go w.watch(ipOf(1), agentInstance{distribute.Agent{ID: fmt.Sprint("f/", i), Addr: fmt.Sprint("10.1.0.", i, ":1"), Zone: "x"}, 0})
			time.Sleep(within / agents)
		}
		time.Sleep(minTableInterval + agents*publishIntervalPerMember + 2*tickInterval)
		require.Len(t, w.machines[ipOf(2)].controller.published.Load().members.Agents, agents)
		tables := w.metric(ipOf(2), `controller_commands_total{kind="table"}`) - before
		// one of each of the two other controllers, and one per minTableInterval of this one
		require.LessOrEqual(t, tables, 2+float64((within+time.Second)/minTableInterval))
		time.Sleep(time.Second)
	})
}

// TestNoMembersWithoutQuorum: the reply of a controller without a quorum contains no members, as
// callers ignore them.
func TestNoMembersWithoutQuorum(t *testing.T) {
	runCluster(t, 1, func(w *testCluster, _ *rand.Rand) {
		w.watch(ipOf(1), agentInstance{distribute.Agent{ID: "f/1", Addr: "10.0.1.1:7340", Zone: "x"}, 0})
		call := func() *distribute.WatchReply {
			reply, err := w.machines[ipOf(1)].controller.watch(context.Background(), &distribute.WatchRequest{
				Agent: distribute.Agent{ID: "f/2", Addr: "10.0.1.2:7340"},
			})
			require.NoError(t, err)
			return reply
		}
		reply := call()
		require.True(t, reply.HasQuorum)
		require.NotNil(t, reply.Members)
		w.setIsolatedFromCore(true, ipOf(1))
		time.Sleep(2 * time.Second)
		reply = call()
		require.False(t, reply.HasQuorum)
		require.Nil(t, reply.Members)
		w.setIsolatedFromCore(false, ipOf(1))
		time.Sleep(2 * time.Second)
	})
}

// TestMemberDeltaForOneAddedAgent: a caller with the previous member set receives a delta with the
// added agent, and a caller with an unknown set receives all members.
func TestMemberDeltaForOneAddedAgent(t *testing.T) {
	runCluster(t, 1, func(w *testCluster, _ *rand.Rand) {
		const agents = 100
		agentOf := func(i int) distribute.Agent {
			return distribute.Agent{ID: fmt.Sprint("f/", i), Addr: fmt.Sprint("10.1.0.", i, ":1"), Zone: "x"}
		}
		for i := range agents {
			go w.watch(ipOf(1), agentInstance{agentOf(i), 0})
		}
		time.Sleep(agents*publishIntervalPerMember + 2*tickInterval)
		c := w.machines[ipOf(1)].controller
		before := c.published.Load().members
		require.Len(t, before.Agents, agents)
		go w.watch(ipOf(1), agentInstance{agentOf(agents), 0})
		time.Sleep(agents*publishIntervalPerMember + 2*tickInterval)
		now := c.published.Load().members
		require.Len(t, now.Agents, agents+1)
		reply := c.watchReply(c.sinceStart(), c.published.Load(), &distribute.WatchRequest{MembersDigest: before.Digest})
		require.Nil(t, reply.Members)
		require.Len(t, reply.MembersDelta.Added, 1)
		require.Equal(t, now, before.Apply(reply.MembersDelta))
		reply = c.watchReply(c.sinceStart(), c.published.Load(), &distribute.WatchRequest{MembersDigest: 1})
		require.Nil(t, reply.MembersDelta)
		require.Equal(t, now, reply.Members)
		time.Sleep(time.Second)
	})
}

// TestCurrentSoonAfterViewChange: after a view change controllers send a heartbeat at once instead
// of waiting for the next interval, so they become current early.
func TestCurrentSoonAfterViewChange(t *testing.T) {
	runCluster(t, 1, func(w *testCluster, _ *rand.Rand) {
		w.addMachine(4, false)
		tail := w.machines[ipOf(2)].controller
		epoch := tail.published.Load().view.Epoch
		for tail.published.Load().view.Epoch == epoch {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(chain.DefaultTiming().HeartbeatInterval / 3)
		synctest.Wait()
		require.True(t, tail.published.Load().current)
	})
}

// TestSessionsSurviveControllerStall: calls that arrived while the controller was stalled are
// executed before the tick checks for expired sessions, and the timeouts of the other sessions are
// extended by the stall.
func TestSessionsSurviveControllerStall(t *testing.T) {
	c, err := newWithNetwork(rpc.TCP{}, singleNodeSettings(t), zerolog.Nop())
	require.NoError(t, err)
	defer c.store.Close()
	calling, waiting := distribute.Agent{ID: "f/1", Addr: "10.0.1.1:1"}, distribute.Agent{ID: "f/2", Addr: "10.0.1.2:1"}
	c.recordCall(&distribute.WatchRequest{Agent: calling})
	c.recordCall(&distribute.WatchRequest{Agent: waiting})
	stall := 2 * sessionTimeout
	for _, s := range c.sessions {
		s.lastCallAt = s.lastCallAt.Add(-stall)
	}
	c.sessions[calling.Addr].lastCallAt = time.Now().Add(-2 * stall) // silent for longer than the stall
	c.recentStats.lastTick = time.Now().Add(-stall - tickInterval)
	c.enqueue(commandSession, func() { c.recordCall(&distribute.WatchRequest{Agent: calling}) })
	c.drainCommands()
	c.executeTick()
	require.Len(t, c.sessions, 2)
	require.False(t, c.sessions[calling.Addr].lastCallAt.After(time.Now()))
	c.sessions[waiting.Addr].lastCallAt = time.Now().Add(-stall)
	c.executeTick()
	require.Len(t, c.sessions, 1)
}
