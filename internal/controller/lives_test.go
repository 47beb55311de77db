package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/distribute"
	"nettlefold/internal/simtest"
)

// agentInstance is one start of an agent, with the sequence number applied at its proxy.
type agentInstance struct {
	agent   distribute.Agent
	applied uint64
}

// watch sends one watch call of an agent to a controller and waits for the reply.
func (w *testCluster) watch(ip string, instance agentInstance) {
	request := &distribute.WatchRequest{Agent: instance.agent, AppliedSeq: instance.applied}
	_, err := w.machines[ip].controller.watch(context.Background(), request)
	require.NoError(w.t, err)
}

// keepSession repeats the watch calls of an agent at one controller until stop is closed.
func (w *testCluster) keepSession(ip string, instance agentInstance, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(30 * time.Millisecond):
			w.watch(ip, instance)
		}
	}
}

// appliedEverywhere reports whether a controller considers seq applied by all agents with live
// sessions.
func (w *testCluster) appliedEverywhere(ip string, seq uint64) (applied bool) {
	c := w.machines[ip].controller
	require.NoError(w.t, c.runInLoop(context.Background(), func() { applied = c.replica.AppliedEverywhere(c.sinceStart(), seq) }))
	return applied
}

// TestRestartedAgentReplacesEarlierInstance: an agent is killed and restarted while calls of its
// earlier instance are still in transit, to the same controller and to another one, in every order.
// Its clock may have been set back, so that the new instance has the lower ID. The earlier instance
// had applied more than the new one. All controllers must soon know only the new instance, and wait
// for it before they consider an operation applied.
func TestRestartedAgentReplacesEarlierInstance(t *testing.T) {
	const ahead, behind = 100, 0
	for _, newer := range []string{"f/1", "f/3"} {
		for n, order := range permutations(4) {
			runCluster(t, uint64(n), func(w *testCluster, _ *rand.Rand) {
				before := agentInstance{distribute.Agent{ID: "f/2", Addr: "10.0.1.1:7340", Zone: "x"}, ahead}
				after := agentInstance{distribute.Agent{ID: newer, Addr: "10.0.1.1:7340", Zone: "x"}, behind}
				calls := []struct {
					ip       string
					instance agentInstance
				}{{ipOf(1), before}, {ipOf(2), before}, {ipOf(1), after}, {ipOf(2), after}}
				for _, i := range order {
					go w.watch(calls[i].ip, calls[i].instance)
					time.Sleep(time.Millisecond)
				}
				stop := make(chan struct{})
				go w.keepSession(ipOf(1), after, stop)
				time.Sleep(sessionTimeout + tableTimeout)
				for i := 1; i <= 3; i++ {
					members := w.machines[ipOf(i)].controller.published.Load().members.Agents
					require.Equal(t, []distribute.Agent{after.agent}, members,
						"members of controller %d, calls in the order %v", i, order)
					require.False(t, w.appliedEverywhere(ipOf(i), 1), "progress of the earlier instance must not count")
				}
				close(stop)
				time.Sleep(2 * longPollTimeout)
				after.applied = 1
				w.watch(ipOf(1), after)
				time.Sleep(simtest.Settled)
				for i := 1; i <= 3; i++ {
					require.True(t, w.appliedEverywhere(ipOf(i), 1))
				}
			})
		}
	}
}

// permutations returns all orders of the numbers below n.
func permutations(n int) (orders [][]int) {
	if n == 0 {
		return [][]int{nil}
	}
	for _, shorter := range permutations(n - 1) {
		for position := range n {
			order := append(append(append([]int{}, shorter[:position]...), n-1), shorter[position:]...)
			orders = append(orders, order)
		}
	}
	return orders
}

func TestPermutations(t *testing.T) {
	seen := map[string]bool{}
	for _, order := range permutations(4) {
		seen[fmt.Sprint(order)] = true
	}
	require.Len(t, seen, 24)
}

// TestMemberPublicationRateLimit: 400 agents call one controller within half a second. The number
// of published set entries must grow linearly with the number of agents, not with its square. Each
// agent is published soon after its call, and a single one at once.
func TestMemberPublicationRateLimit(t *testing.T) {
	runCluster(t, 1, func(w *testCluster, _ *rand.Rand) {
		const agents = 400
		c := w.machines[ipOf(1)].controller
		publishedDigests, entries := map[uint64]bool{}, 0
		observe := func() int {
			members := c.published.Load().members
			if !publishedDigests[members.Digest] {
				publishedDigests[members.Digest] = true
				entries += len(members.Agents)
			}
			return len(members.Agents)
		}
		join := func(i int) {
			request := &distribute.WatchRequest{
				Agent: distribute.Agent{ID: fmt.Sprint("f/", i), Addr: fmt.Sprint("10.1.0.", i, ":1"), Zone: "x"},
			}
			c.enqueue(commandSession, func() { c.recordCall(request) })
		}
		join(0)
		time.Sleep(tickInterval)
		require.Equal(t, 1, observe(), "a single agent is published at once")
		for i := 1; i < agents; i++ {
			join(i)
			time.Sleep(time.Millisecond)
			observe()
		}
		time.Sleep(agents*publishIntervalPerMember + 2*tickInterval)
		require.Equal(t, agents, observe())
		require.Less(t, entries, 6*agents, "entries of %d published member sets", len(publishedDigests))
	})
}
