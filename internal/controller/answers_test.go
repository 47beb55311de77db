package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/chain"
	"nettlefold/internal/distribute"
	"nettlefold/internal/replicated"
	"nettlefold/internal/simtest"
)

// headOf is the machine that takes the writes.
func (w *testCluster) headIP() string {
	for ip, m := range w.machines {
		if now := m.controller.published.Load(); now.current && now.view.Head() == now.self {
			return ip
		}
	}
	require.Fail(w.t, "there is no head")
	return ""
}

// failDisk has the next write of a machine fail; its controller opens the disk anew some time after.
func (w *testCluster) failDisk(ip string) {
	c := w.machines[ip].controller
	c.enqueue(commandOther, func() { c.store.Close() })
}

// TestAWriteThatTheDiskRefused: the head takes an order, its disk refuses it, and half a second later works again, in the same epoch. Meanwhile
// a rival comes, which gets the number that the first one had. One of the two is confirmed, whenever the rival comes.
func TestFailedWriteAndConcurrentWriteCommitAtMostOne(t *testing.T) {
	for later := time.Duration(0); later <= 600*time.Millisecond; later += 25 * time.Millisecond {
		runCluster(t, uint64(later), func(w *testCluster, random *rand.Rand) {
			require.True(t, w.commitWithin(3*time.Second, random))
			head := w.headIP()
			version, ok := w.getConfig(head)
			require.True(t, ok)
			c := w.machines[head].controller
			var before chain.View
			c.enqueue(commandOther, func() { before = c.replica.View() })
			w.failDisk(head)
			first := make(chan simtest.Outcome)
			go func() { first <- w.putConfig(head, version, version+1, "refused by the disk") }()
			time.Sleep(later)
			outcomes := []simtest.Outcome{w.putConfig(head, version, version+1, "the rival"), <-first}
			taken := 0
			for _, o := range outcomes {
				if o == simtest.Taken {
					taken++
				}
			}
			require.LessOrEqual(t, taken, 1, "%v later: %v", later, outcomes)
			require.Equal(t, before.Epoch, c.published.Load().view.Epoch, "the core did not even notice")
			require.True(t, w.commitWithin(3*time.Second, random))
		})
	}
}

// TestADutyThatIsTakenOverAtOnce: the reply to who takes a duty names the token that it got, though another holder has taken the duty over
// before the reply is made; no two holders are told one token.
func TestLeaseFencingTokenUnderImmediateTakeover(t *testing.T) {
	runCluster(t, 1, func(w *testCluster, _ *rand.Rand) {
		head := w.headIP()
		c := w.machines[head].controller
		take := func(holder string, fence uint64) *distribute.SubmitReply {
			return c.submit(w.t.Context(), &distribute.SubmitRequest{Operation: replicated.Operation{
				Kind: replicated.KindLease, LeaseName: "orders/m", Holder: holder, FencingToken: fence,
			}})
		}
		fences := map[uint64]string{}
		previous := uint64(0)
		for i := range 20 {
			first, second := fmt.Sprint("first ", i), fmt.Sprint("second ", i)
			replies := make(chan *distribute.SubmitReply)
			go func() { replies <- take(first, previous) }()
			var overtaking *distribute.SubmitReply
			for overtaking == nil || overtaking.Outcome != distribute.OutcomeCommitted {
				held := c.published.Load().state.Leases["orders/m"]
				if held.Holder != first {
					time.Sleep(100 * time.Microsecond)
					continue
				}
				overtaking = take(second, held.FencingToken)
			}
			for holder, reply := range map[string]*distribute.SubmitReply{first: <-replies, second: overtaking} {
				require.Equal(t, distribute.OutcomeCommitted, reply.Outcome)
				require.Empty(t, fences[reply.FencingToken], "token %d", reply.FencingToken)
				fences[reply.FencingToken] = holder
			}
			previous = overtaking.FencingToken
		}
	})
}
