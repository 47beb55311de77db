package agent

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"nettlefold/internal/distribute"
	"nettlefold/internal/replicated"
	"nettlefold/internal/rpc"
	"nettlefold/internal/settings/local"
	"nettlefold/internal/simtest"
)

// leaseHead is a controller that grants a lease to whoever asks. Its predecessor's last renewal is at the
// time zero of the test.
type leaseHead struct {
	began  time.Time
	mu     sync.Mutex
	down   bool // calls fail
	record replicated.LeaseRecord
	agent  *Agent
	lossy  bool // the renewal is recorded, but its reply is lost
}

// submit grants or renews the lease, and publishes the record to the agent.
func (h *leaseHead) submit(ctx context.Context, holder string) (any, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down {
		return nil, errors.New("down")
	}
	if h.record.Holder != holder {
		h.record = replicated.LeaseRecord{Holder: holder, FencingToken: h.record.FencingToken + 1}
		h.publish()
	}
	if h.lossy {
		return nil, errors.New("reply lost")
	}
	return &distribute.SubmitReply{
		Outcome: distribute.OutcomeCommitted, FencingToken: h.record.FencingToken,
		PredecessorIdleMS: time.Since(h.began).Milliseconds(),
	}, nil
}

// publish sends the record to the agent.
func (h *leaseHead) publish() {
	record := h.record
	h.agent.enqueue(func() {
		h.agent.snapshot = &distribute.Snapshot{Leases: map[string]replicated.LeaseRecord{testLease: record}}
	})
}

// set changes how the controller answers.
func (h *leaseHead) set(down, lossy bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down, h.lossy = down, lossy
}

// testLease is the name of the lease.
const testLease = "orders/m"

// runLeaseTest runs a test in a synctest bubble with an agent that takes a lease over from another one.
func runLeaseTest(t *testing.T, test func(t *testing.T, a *Agent, head *leaseHead)) {
	synctest.Test(t, func(t *testing.T) {
		network := simtest.NewNetwork()
		settings := &local.Settings{NodeName: "f-1", IP: agentIP, Zone: "z", FirstPort: 7340}
		settings.Bounds.Lease = 3 * time.Second
		a := newAgent(network.Host(agentIP), nil, settings, zerolog.Nop())
		head := &leaseHead{began: time.Now(), agent: a, record: replicated.LeaseRecord{Holder: "predecessor", FencingToken: 7}}
		listener, err := network.Host(controllerIP(1)).Listen(controllerIP(1) + ":7340")
		require.NoError(t, err)
		go rpc.Serve(listener, func(ctx context.Context, _ string, _ []byte) (any, error) { return head.submit(ctx, a.self.ID) })
		go func() {
			for {
				select {
				case command := <-a.commands:
					command()
				case <-a.done:
					return
				}
			}
		}()
		a.enqueue(func() { a.controllers = []string{controllerIP(1) + ":7340"} })
		head.publish()
		defer func() {
			close(a.done)
			a.pool.Close()
			listener.Close()
			time.Sleep(simtest.Settled)
		}()
		test(t, a, head)
	})
}

// acquireAtLast acquires the lease, again after each failure, and returns when it is valid.
func acquireAtLast(t *testing.T, a *Agent, head *leaseHead) (validAfter time.Duration) {
	for {
		l, err := a.acquireLease(t.Context(), testLease)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		return time.Since(head.began) + l.timeUntilValid(a.now())
	}
}

// TestTakeoverWaitSurvivesFailures guards against two holders at once (ONE): a successor whose wait for its
// predecessor's last orders is broken off, as controllers fail, waits for the rest of it, not anew and not less.
func TestTakeoverWaitSurvivesFailures(t *testing.T) {
	for name, test := range map[string]struct{ down, lossy bool }{
		"undisturbed":                   {},
		"controllers killed meanwhile":  {down: true},
		"reply to the acquisition lost": {lossy: true},
	} {
		t.Run(name, func(t *testing.T) {
			runLeaseTest(t, func(t *testing.T, a *Agent, head *leaseHead) {
				takeover := a.rolloutLeaseTiming().TakeoverDelay()
				head.set(false, test.lossy)
				go func() {
					time.Sleep(time.Second)
					head.set(test.down, false)
					time.Sleep(time.Second)
					head.set(false, false)
				}()
				validAfter := acquireAtLast(t, a, head)
				require.GreaterOrEqual(t, validAfter, takeover)
				require.Less(t, validAfter, takeover+100*time.Millisecond)
			})
		})
	}
}

// TestLeaseAcquiredAgainWithoutWait: an agent whose lease nobody else has acquired since needs no wait.
func TestLeaseAcquiredAgainWithoutWait(t *testing.T) {
	runLeaseTest(t, func(t *testing.T, a *Agent, head *leaseHead) {
		acquireAtLast(t, a, head)
		time.Sleep(time.Minute)
		before := time.Since(head.began)
		require.Less(t, acquireAtLast(t, a, head)-before, 100*time.Millisecond)
	})
}
