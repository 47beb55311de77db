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
)

// TestHeartbeatsBehindSessionsWork: a message of another replica does not wait for the calls of many agents that came before it.
func TestHeartbeatsBehindSessionsWork(t *testing.T) {
	c, err := New(alone(t), zerolog.Nop())
	require.NoError(t, err)
	defer c.store.Close()
	var order []commandKind
	end := make(chan struct{})
	for range 300 {
		c.enqueue(commandSession, func() { order = append(order, commandSession) })
	}
	c.enqueue(commandChain, func() { order = append(order, commandChain) })
	c.enqueue(commandOther, func() { close(end) })
	c.own(end, nil)
	require.NotEmpty(t, order)
	require.Equal(t, commandChain, order[0])
}

// TestTablesOfAgentsThatBeginTogether: 291 agents that begin at one controller within half a second cost the others a few tables, not one each.
func TestTablesOfAgentsThatBeginTogether(t *testing.T) {
	inWorld(t, 1, func(w *world, _ *rand.Rand) {
		const agents, within = 291, 500 * time.Millisecond
		before := w.figure(ipOf(2), `controller_commands_total{kind="table"}`)
		for i := range agents {
			go w.call(ipOf(1), life{distribute.Agent{ID: fmt.Sprint("f/", i), Addr: fmt.Sprint("10.1.0.", i, ":1"), Zone: "x"}, 0})
			time.Sleep(within / agents)
		}
		time.Sleep(tablePace + agents*membersPace + 2*tickEvery)
		require.Len(t, w.machines[ipOf(2)].controller.public.Load().members.Agents, agents)
		tables := w.figure(ipOf(2), `controller_commands_total{kind="table"}`) - before
		// the two other controllers' own, and one for each pace of this one
		require.LessOrEqual(t, tables, 2+float64((within+time.Second)/tablePace))
		time.Sleep(time.Second)
	})
}

// TestMembersFromAControllerOutOfTouch: its callers take none, so none are encoded for them.
func TestMembersFromAControllerOutOfTouch(t *testing.T) {
	inWorld(t, 1, func(w *world, _ *rand.Rand) {
		w.call(ipOf(1), life{distribute.Agent{ID: "f/1", Addr: "10.0.1.1:7340", Zone: "x"}, 0})
		ask := func() *distribute.WatchReply {
			reply, err := w.machines[ipOf(1)].controller.watch(context.Background(), &distribute.WatchRequest{Agent: distribute.Agent{ID: "f/2", Addr: "10.0.1.2:7340"}})
			require.NoError(t, err)
			return reply
		}
		reply := ask()
		require.True(t, reply.HasQuorum)
		require.NotNil(t, reply.Members)
		w.separateCore(true, ipOf(1))
		time.Sleep(2 * time.Second)
		reply = ask()
		require.False(t, reply.HasQuorum)
		require.Nil(t, reply.Members)
		w.separateCore(false, ipOf(1))
		time.Sleep(2 * time.Second)
	})
}

// TestOneAgentComesToManyMembers: who has the members shown before is told of the one that came, and who has others of all.
func TestOneAgentComesToManyMembers(t *testing.T) {
	inWorld(t, 1, func(w *world, _ *rand.Rand) {
		const agents = 100
		agentOf := func(i int) distribute.Agent {
			return distribute.Agent{ID: fmt.Sprint("f/", i), Addr: fmt.Sprint("10.1.0.", i, ":1"), Zone: "x"}
		}
		for i := range agents {
			go w.call(ipOf(1), life{agentOf(i), 0})
		}
		time.Sleep(agents*membersPace + 2*tickEvery)
		c := w.machines[ipOf(1)].controller
		before := c.public.Load().members
		require.Len(t, before.Agents, agents)
		go w.call(ipOf(1), life{agentOf(agents), 0})
		time.Sleep(agents*membersPace + 2*tickEvery)
		now := c.public.Load().members
		require.Len(t, now.Agents, agents+1)
		reply := c.replyTo(c.now(), c.public.Load(), &distribute.WatchRequest{MembersDigest: before.Digest})
		require.Nil(t, reply.Members)
		require.Len(t, reply.MembersDelta.Added, 1)
		require.Equal(t, now, before.Apply(reply.MembersDelta))
		reply = c.replyTo(c.now(), c.public.Load(), &distribute.WatchRequest{MembersDigest: 1})
		require.Nil(t, reply.MembersDelta)
		require.Equal(t, now, reply.Members)
		time.Sleep(time.Second)
	})
}

// TestInTouchAsSoonAsAViewIsNew: controllers do not wait for the next heartbeat's time before they tell each other that they have a view.
func TestInTouchAsSoonAsAViewIsNew(t *testing.T) {
	inWorld(t, 1, func(w *world, _ *rand.Rand) {
		w.add(4, false)
		tail := w.machines[ipOf(2)].controller
		epoch := tail.public.Load().view.Epoch
		for tail.public.Load().view.Epoch == epoch {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(chain.DefaultTiming().HeartbeatInterval / 3)
		synctest.Wait()
		require.True(t, tail.public.Load().current)
	})
}

// TestSessionsThatWaitedWhileAControllerStoodStill: calls that came meanwhile are worked through before the tick judges who is silent, and
// those without a call get the time that was lost.
func TestSessionsThatWaitedWhileAControllerStoodStill(t *testing.T) {
	c, err := New(alone(t), zerolog.Nop())
	require.NoError(t, err)
	defer c.store.Close()
	calls, waits := distribute.Agent{ID: "f/1", Addr: "10.0.1.1:1"}, distribute.Agent{ID: "f/2", Addr: "10.0.1.2:1"}
	c.touch(&distribute.WatchRequest{Agent: calls})
	c.touch(&distribute.WatchRequest{Agent: waits})
	stoodStill := 2 * sessionSilence
	for _, s := range c.sessions {
		s.heard = s.heard.Add(-stoodStill)
	}
	c.sessions[calls.Addr].heard = time.Now().Add(-2 * stoodStill) // its silence is longer than the time that was lost
	c.work.lastTick = time.Now().Add(-stoodStill - tickEvery)
	c.enqueue(commandSession, func() { c.touch(&distribute.WatchRequest{Agent: calls}) })
	c.executeWaiting()
	c.executeTick()
	require.Len(t, c.sessions, 2)
	require.False(t, c.sessions[calls.Addr].heard.After(time.Now()))
	c.sessions[waits.Addr].heard = time.Now().Add(-stoodStill)
	c.executeTick()
	require.Len(t, c.sessions, 1)
}
