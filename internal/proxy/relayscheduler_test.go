package proxy

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/upstream"
)

// relayLoad relays responses that each step costs some processor time, as fast as the scheduler lets them, for a while. It
// returns the processor time that they took in all.
func relayLoad(s *relayScheduler, service string, responses int, cost, length time.Duration) (taken time.Duration) {
	var mu sync.Mutex
	var all sync.WaitGroup
	until := time.Now().Add(length)
	for range responses {
		all.Go(func() {
			meter := s.newMeter(service)
			defer meter.close()
			for time.Now().Before(until) {
				meter.wait(context.Background())
				time.Sleep(cost)
				meter.charge(cost)
				mu.Lock()
				taken += cost
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return taken
}

// TestFloodsTakeABoundedShareOfTheProcessor: however many responses are sent without end, relaying them takes no more than
// twice relayShare of the processor, beside what each may take at once.
func TestFloodsTakeABoundedShareOfTheProcessor(t *testing.T) {
	for _, responses := range []int{1, 12, 200} {
		synctest.Test(t, func(t *testing.T) {
			const length, cost = 4 * time.Second, 80 * time.Microsecond
			s := newRelayScheduler(1)
			taken := relayLoad(s, "flood", responses, cost, length)
			bound := time.Duration(2*relayShare*float64(length)) + relayBurst + time.Duration(responses)*(relayAllowance+2*cost)
			require.LessOrEqual(t, taken, bound)
			require.Greater(t, taken, bound/3, "floods are held up more than needed")
			require.Zero(t, s.active.Load())
			require.Empty(t, s.services["flood"].queue)
		})
	}
}

// TestResponsesWithinTheirPartNeverWait: events of honest streams are relayed at once beside floods.
func TestResponsesWithinTheirPartNeverWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const floods, events, cost, pause = 50, 200, 30 * time.Microsecond, 20 * time.Millisecond
		s := newRelayScheduler(1)
		var flood sync.WaitGroup
		flood.Go(func() { relayLoad(s, "flood", floods, 80*time.Microsecond, events*pause) })
		meter := s.newMeter("llm")
		defer meter.close()
		for range events {
			time.Sleep(pause)
			began := time.Now()
			meter.wait(t.Context())
			require.Zero(t, time.Since(began))
			meter.charge(cost)
		}
		flood.Wait()
	})
}

// TestServicesTakeTurns: one long body of a service is relayed as fast as all floods of another service together, about.
func TestServicesTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const length, cost = 2 * time.Second, 50 * time.Microsecond
		s := newRelayScheduler(1)
		var flood sync.WaitGroup
		var floods, body time.Duration
		flood.Go(func() { floods = relayLoad(s, "flood", 100, cost, length) })
		body = relayLoad(s, "body", 1, cost, length)
		flood.Wait()
		require.Greater(t, body, floods/4)
	})
}

// TestTurnThatIsNoLongerAwaitedIsForgotten: a response whose client leaves while it waits for a turn goes on at once and
// holds up nobody.
func TestTurnThatIsNoLongerAwaitedIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRelayScheduler(1)
		s.mu.Lock()
		s.service(time.Now(), "flood").saved = -time.Hour
		s.mu.Unlock()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var all sync.WaitGroup
		for range 3 {
			all.Go(func() {
				meter := s.newMeter("flood")
				defer meter.close()
				meter.charge(relayAllowance)
				began := time.Now()
				meter.wait(ctx)
				require.Equal(t, time.Second, time.Since(began))
			})
		}
		all.Wait()
		require.Empty(t, s.services["flood"].queue)
	})
}

// TestCostOfAStep: waiting for the backend and for the client doesn't count as processor time.
func TestCostOfAStep(t *testing.T) {
	s := newRelayScheduler(1)
	s.fastestWrite.Store(int64(10 * time.Microsecond))
	before := upstream.ReadTotals{Waited: time.Second, Reads: 7}
	after := upstream.ReadTotals{Waited: 3 * time.Second, Reads: 9}
	cost := s.cost(2*time.Second+time.Second+50*time.Microsecond, before, after, time.Second)
	require.InDelta(t, float64(50*time.Microsecond+slowWriteFactor*10*time.Microsecond+2*10*time.Microsecond), float64(cost), float64(time.Microsecond))
}
