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

// headIP returns the address of the machine that is the head of the chain.
func (w *testCluster) headIP() string {
	for ip, m := range w.machines {
		if now := m.controller.published.Load(); now.current && now.view.Head() == now.self {
			return ip
		}
	}
	require.Fail(w.t, "no machine is the current head")
	return ""
}

// failDisk closes a machine's store, so that the next write fails. The controller reopens it after
// reopenDelay.
func (w *testCluster) failDisk(ip string) {
	c := w.machines[ip].controller
	c.enqueue(commandOther, func() { c.store.Close() })
}

// TestFailedWriteAndConcurrentWriteCommitAtMostOne: the head proposes a write, its disk fails, and
// half a second later it works again in the same epoch. A concurrent write that arrives meanwhile
// is assigned the same sequence number. At most one of the two may be confirmed, whenever the
// second one arrives.
func TestFailedWriteAndConcurrentWriteCommitAtMostOne(t *testing.T) {
	for delay := time.Duration(0); delay <= 600*time.Millisecond; delay += 25 * time.Millisecond {
		runCluster(t, uint64(delay), func(w *testCluster, random *rand.Rand) {
			require.True(t, w.commitWithin(3*time.Second, random))
			head := w.headIP()
			version, ok := w.getConfig(head)
			require.True(t, ok)
			c := w.machines[head].controller
			var before chain.View
			c.enqueue(commandOther, func() { before = c.replica.View() })
			w.failDisk(head)
			first := make(chan simtest.Outcome)
			go func() { first <- w.putConfig(head, version, version+1, "first write, disk fails") }()
			time.Sleep(delay)
			outcomes := []simtest.Outcome{w.putConfig(head, version, version+1, "second write"), <-first}
			committed := 0
			for _, o := range outcomes {
				if o == simtest.Taken {
					committed++
				}
			}
			require.LessOrEqual(t, committed, 1, "writes confirmed; second after %v, outcomes %v", delay, outcomes)
			require.Equal(t, before.Epoch, c.published.Load().view.Epoch, "epoch must not change")
			require.True(t, w.commitWithin(3*time.Second, random))
		})
	}
}

// TestLeaseFencingTokenUnderImmediateTakeover: the reply to a holder that acquires a lease contains
// the token that it was given, even if another holder takes the lease over before the reply is
// created. No two holders are given the same token.
func TestLeaseFencingTokenUnderImmediateTakeover(t *testing.T) {
	runCluster(t, 1, func(w *testCluster, _ *rand.Rand) {
		head := w.headIP()
		c := w.machines[head].controller
		acquire := func(holder string, fencingToken uint64) *distribute.SubmitReply {
			return c.submit(w.t.Context(), &distribute.SubmitRequest{Operation: replicated.Operation{
				Kind: replicated.KindLease, LeaseName: "orders/m", Holder: holder, FencingToken: fencingToken,
			}})
		}
		holders := map[uint64]string{}
		previous := uint64(0)
		for i := range 20 {
			first, second := fmt.Sprint("first ", i), fmt.Sprint("second ", i)
			replies := make(chan *distribute.SubmitReply)
			go func() { replies <- acquire(first, previous) }()
			var takeover *distribute.SubmitReply
			for takeover == nil || takeover.Outcome != distribute.OutcomeCommitted {
				lease := c.published.Load().state.Leases["orders/m"]
				if lease.Holder != first {
					time.Sleep(100 * time.Microsecond)
					continue
				}
				takeover = acquire(second, lease.FencingToken)
			}
			for holder, reply := range map[string]*distribute.SubmitReply{first: <-replies, second: takeover} {
				require.Equal(t, distribute.OutcomeCommitted, reply.Outcome)
				require.Empty(t, holders[reply.FencingToken], "token %d given to two holders", reply.FencingToken)
				holders[reply.FencingToken] = holder
			}
			previous = takeover.FencingToken
		}
	})
}
