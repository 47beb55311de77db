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
	mostOfAll = 4 * platformInstances
	// joining agents lack everything, of which one agent is to serve a quarter at the most.
	joining       = 4
	mostOfJoining = joining * platformInstances / 4
)

// mostServed is the most answers with all that is known of a backend that one agent has given.
func (f *fleet) mostServed() (most uint64) {
	for _, a := range f.agents {
		if f.stops[a] != nil {
			require.NoError(f.t, a.ask(context.Background(), func() { most = max(most, a.wholes.served) }))
		}
	}
	return most
}

// behind counts the agents that lack what another knows of backends, by the number of parts; perPage are read between two pages of events.
func (f *fleet) behind(perPage int) (n int) {
	parts := map[*Agent]int{}
	most := 0
	for _, a := range f.agents {
		if f.stops[a] != nil {
			require.NoError(f.t, a.ask(context.Background(), func() { parts[a] = a.index.PartCount() }))
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
func TestALostHubsZoneDoesNotAskOneAgentForTheIndex(t *testing.T) {
	playFleet(t, 3, 16, largeRate, func(f *fleet) {
		f.platform.engines = true
		time.Sleep(startBound)
		f.lose(f.hub("z1"))
		time.Sleep(8 * time.Second)
		t.Logf("most served by one agent %d, %d agents behind", f.mostServed(), f.behind(1))
		require.Less(t, f.mostServed(), uint64(mostOfAll))
		require.Zero(t, f.behind(1))
	})
}

// TestAgentsThatJoinDoNotAskOneAgentForTheIndex: a quarter of a zone joins at once, and lacks all of the index.
func TestAgentsThatJoinDoNotAskOneAgentForTheIndex(t *testing.T) {
	playFleet(t, 3, 12, largeRate, func(f *fleet) {
		f.platform.engines = true
		time.Sleep(startBound)
		before := f.mostServed()
		for i := range joining {
			f.run(f.add("z1", fmt.Sprint("127.1.0.", 100+i)))
		}
		time.Sleep(6 * time.Second)
		t.Logf("most served by one agent %d before and %d after, %d agents behind", before, f.mostServed(), f.behind(1))
		require.Less(t, f.mostServed()-before, uint64(mostOfJoining))
		require.Zero(t, f.behind(1))
	})
}
