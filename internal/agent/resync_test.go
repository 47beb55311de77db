package agent

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// mostOfAll is four times what each agent would serve if all lacked everything and asked each other evenly: the readers of events are
	// drawn by lot, and a backend may be missed once more.
	maxServedAfterHubCrash = 4 * platformInstances
	// joining agents lack everything, of which one agent is to serve a quarter at the most.
	joiningAgents      = 4
	maxServedAfterJoin = joiningAgents * platformInstances / 4
)

// mostServed is the most answers with all that is known of a backend that one agent has given.
func (f *fleet) maxServed() (most uint64) {
	for _, a := range f.agents {
		if f.stops[a] != nil {
			require.NoError(f.t, a.runInLoop(context.Background(), func() { most = max(most, a.resync.served) }))
		}
	}
	return most
}

// behind counts the agents that lack what another knows of backends, by the number of parts; perPage are read between two pages of events.
func (f *fleet) laggingAgents(perPage int) (n int) {
	parts := map[*Agent]int{}
	most := 0
	for _, a := range f.agents {
		if f.stops[a] != nil {
			require.NoError(f.t, a.runInLoop(context.Background(), func() { parts[a] = a.index.PartCount() }))
			most = max(most, parts[a])
		}
	}
	for _, known := range parts {
		if known < most-2*perPage*platformInstances { // two pages of each backend may be on their way
			n++
		}
	}
	return n
}

// TestALostHubsZoneDoesNotAskOneAgentForTheIndex: all agents of the zone had missed changes of every backend, and asked their next hub for
// each of them at once. News of backends that leave waited behind the answers on its link.
func TestResyncLoadAfterHubCrash(t *testing.T) {
	runFleet(t, 3, 16, platformCallsPerSecond, func(f *fleet) {
		f.platform.prefixCaches = true
		time.Sleep(fleetStartTime)
		f.crash(f.hub("z1"))
		time.Sleep(8 * time.Second)
		t.Logf("most served by one agent %d, %d agents behind", f.maxServed(), f.laggingAgents(1))
		require.Less(t, f.maxServed(), uint64(maxServedAfterHubCrash))
		require.Zero(t, f.laggingAgents(1))
	})
}

// TestAgentsThatJoinDoNotAskOneAgentForTheIndex: a quarter of a zone joins at once, and lacks all of the index.
func TestResyncLoadAfterJoin(t *testing.T) {
	runFleet(t, 3, 12, platformCallsPerSecond, func(f *fleet) {
		f.platform.prefixCaches = true
		time.Sleep(fleetStartTime)
		before := f.maxServed()
		for i := range joiningAgents {
			f.run(f.add("z1", fmt.Sprint("127.1.0.", 100+i)))
		}
		time.Sleep(6 * time.Second)
		t.Logf("most served by one agent %d before and %d after, %d agents behind", before, f.maxServed(), f.laggingAgents(1))
		require.Less(t, f.maxServed()-before, uint64(maxServedAfterJoin))
		require.Zero(t, f.laggingAgents(1))
	})
}
