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

// life is one start of an agent, and what its proxy has in force.
type agentInstance struct {
	agent   distribute.Agent
	applied uint64
}

// call has a life call a controller, as its session does, and waits for the reply.
func (w *testCluster) watch(ip string, l agentInstance) {
	request := &distribute.WatchRequest{Agent: l.agent, AppliedSeq: l.applied}
	_, err := w.machines[ip].controller.watch(context.Background(), request)
	require.NoError(w.t, err)
}

// keepSession has a life call one controller again and again until stop is closed.
func (w *testCluster) keepSession(ip string, l agentInstance, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(30 * time.Millisecond):
			w.watch(ip, l)
		}
	}
}

// appliedAt tells whether a controller takes a number for applied by all agents that are heard from.
func (w *testCluster) appliedEverywhere(ip string, seq uint64) (applied bool) {
	c := w.machines[ip].controller
	require.NoError(w.t, c.runInLoop(context.Background(), func() { applied = c.replica.AppliedEverywhere(c.sinceStart(), seq) }))
	return applied
}

// TestTwoLivesOfOneAgent: an agent is killed and comes back while calls of its earlier life are still on their way, at the same controller and
// at another, in every order; its clock may have been set back, so that its new life has the lower identity. The earlier life applied what
// the new one has not. Soon all controllers know the new life alone, and wait for it before they take anything for applied.
func TestRestartedAgentReplacesEarlierInstance(t *testing.T) {
	const ahead, behind = 100, 0
	for _, newer := range []string{"f/1", "f/3"} {
		for n, order := range permutations(4) {
			runCluster(t, uint64(n), func(w *testCluster, _ *rand.Rand) {
				before := agentInstance{distribute.Agent{ID: "f/2", Addr: "10.0.1.1:7340", Zone: "x"}, ahead}
				after := agentInstance{distribute.Agent{ID: newer, Addr: "10.0.1.1:7340", Zone: "x"}, behind}
				calls := []struct {
					ip string
					l  agentInstance
				}{{ipOf(1), before}, {ipOf(2), before}, {ipOf(1), after}, {ipOf(2), after}}
				for _, i := range order {
					go w.watch(calls[i].ip, calls[i].l)
					time.Sleep(time.Millisecond)
				}
				stop := make(chan struct{})
				go w.keepSession(ipOf(1), after, stop)
				time.Sleep(sessionTimeout + tableTimeout)
				for i := 1; i <= 3; i++ {
					members := w.machines[ipOf(i)].controller.published.Load().members.Agents
					require.Equal(t, []distribute.Agent{after.agent}, members, "controller %d, calls in the order %v", i, order)
					require.False(t, w.appliedEverywhere(ipOf(i), 1), "the earlier life's word counts no more")
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

// permutations gives all orders of the numbers below n.
func permutations(n int) (orders [][]int) {
	if n == 0 {
		return [][]int{nil}
	}
	for _, shorter := range permutations(n - 1) {
		for at := range n {
			order := append(append(append([]int{}, shorter[:at]...), n-1), shorter[at:]...)
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

// TestManyComeAtOnce: 400 agents call one controller within half a second. What is shown of members grows with their number, not with its
// square; each is shown soon after it came, and one that comes by itself at once.
func TestMemberPublicationRateLimit(t *testing.T) {
	runCluster(t, 1, func(w *testCluster, _ *rand.Rand) {
		const agents = 400
		c := w.machines[ipOf(1)].controller
		shown, entries := map[uint64]bool{}, 0
		look := func() int {
			members := c.published.Load().members
			if !shown[members.Digest] {
				shown[members.Digest] = true
				entries += len(members.Agents)
			}
			return len(members.Agents)
		}
		come := func(i int) {
			request := &distribute.WatchRequest{Agent: distribute.Agent{ID: fmt.Sprint("f/", i), Addr: fmt.Sprint("10.1.0.", i, ":1"), Zone: "x"}}
			c.enqueue(commandSession, func() { c.recordCall(request) })
		}
		come(0)
		time.Sleep(tickInterval)
		require.Equal(t, 1, look(), "one alone is shown at once")
		for i := 1; i < agents; i++ {
			come(i)
			time.Sleep(time.Millisecond)
			look()
		}
		time.Sleep(agents*publishIntervalPerMember + 2*tickInterval)
		require.Equal(t, agents, look())
		require.Less(t, entries, 6*agents, "shown %d times", len(shown))
	})
}
