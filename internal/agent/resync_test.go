package agent

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// maxServedAfterHubCrash is four times what each agent would serve if all agents needed the
	// whole index and asked each other evenly: event readers are assigned at random, and a backend
	// may be missed a second time.
	maxServedAfterHubCrash = 4 * platformInstances
	// joiningAgents is the number of agents that join without an index. One agent may serve a
	// quarter of their resyncs.
	joiningAgents      = 4
	maxServedAfterJoin = joiningAgents * platformInstances / 4
)

// maxServed returns the maximum number of backend indexes that one agent has served.
func (f *fleet) maxServed() (maxServed uint64) {
	for _, a := range f.agents {
		if f.stops[a] != nil {
			require.NoError(f.t, a.runInLoop(context.Background(), func() { maxServed = max(maxServed, a.resync.served) }))
		}
	}
	return maxServed
}

// laggingAgents returns the number of agents whose index has fewer parts than another's. Each
// backend caches perPage parts between two event pages.
func (f *fleet) laggingAgents(perPage int) (lagging int) {
	parts := map[*Agent]int{}
	maxParts := 0
	for _, a := range f.agents {
		if f.stops[a] != nil {
			require.NoError(f.t, a.runInLoop(context.Background(), func() { parts[a] = a.index.PartCount() }))
			maxParts = max(maxParts, parts[a])
		}
	}
	for _, known := range parts {
		if known < maxParts-2*perPage*platformInstances { // two pages of each backend may be in flight
			lagging++
		}
	}
	return lagging
}

// TestResyncLoadAfterHubCrash guards against a fault after a hub crash: all agents of the zone had
// missed batches of every backend, and requested each from their next hub at once. Updates of
// draining backends waited behind the replies on its link.
func TestResyncLoadAfterHubCrash(t *testing.T) {
	runFleet(t, 3, 16, platformCallsPerSecond, func(f *fleet) {
		f.platform.prefixCaches = true
		time.Sleep(fleetStartTime)
		f.crash(f.hub("z1"))
		time.Sleep(8 * time.Second)
		t.Logf("maximum served by one agent %d backend indexes, %d agents with an incomplete index", f.maxServed(), f.laggingAgents(1))
		require.Less(t, f.maxServed(), uint64(maxServedAfterHubCrash), "backend indexes served by one agent")
		require.Zero(t, f.laggingAgents(1), "agents with an incomplete index")
	})
}

// TestResyncLoadAfterJoin checks the load of resyncs when agents without an index join, a quarter
// of a zone at once.
func TestResyncLoadAfterJoin(t *testing.T) {
	runFleet(t, 3, 12, platformCallsPerSecond, func(f *fleet) {
		f.platform.prefixCaches = true
		time.Sleep(fleetStartTime)
		before := f.maxServed()
		for i := range joiningAgents {
			f.run(f.add("z1", fmt.Sprint("127.1.0.", 100+i)))
		}
		time.Sleep(6 * time.Second)
		t.Logf("maximum served by one agent %d backend indexes before and %d after, %d agents with an incomplete index", before, f.maxServed(), f.laggingAgents(1))
		require.Less(t, f.maxServed()-before, uint64(maxServedAfterJoin), "backend indexes served by one agent")
		require.Zero(t, f.laggingAgents(1), "agents with an incomplete index")
	})
}
