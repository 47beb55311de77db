package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// drainBound is how long after the platform's list showed it a backend that leaves may still get requests.
	drainBound = 4 * time.Second
	// startBound is when every agent of a fleet that has just started has a list.
	startBound = 6 * time.Second

	// joinBound is when an agent that joins a running fleet has a list.
	joinBound = 500 * time.Millisecond

	largeZones, largeEach = 6, 25
	// largeRate leaves every agent two readings of the list in ten seconds, as the deployments have it for theirs.
	largeRate = 760
)

// TestAFleetThatStartsLeavesThePlatformItsRate: all agents that start at once read the list for themselves, and the owner's reading was
// refused among theirs.
func TestAFleetThatStartsLeavesThePlatformItsRate(t *testing.T) {
	playFleet(t, largeZones, largeEach, largeRate, func(f *fleet) {
		time.Sleep(startBound)
		oldest := f.watchAges(4 * time.Second)
		t.Logf("oldest list %v, busiest second %d calls, %d refused", oldest, f.platform.busiest(0), f.platform.refused)
		require.Less(t, oldest, drainBound)
		require.Zero(t, f.platform.refused)
		require.Less(t, f.platform.busiest(0), largeRate/2)
	})
}

// TestTheListsOwnerIsLost: the others all read for themselves, at a rate above the platform's, and the next owner was refused among them.
func TestTheListsOwnerIsLost(t *testing.T) {
	playFleet(t, largeZones, largeEach, largeRate, func(f *fleet) {
		time.Sleep(startBound)
		f.lose(f.owner())
		oldest := f.watchAges(8 * time.Second)
		t.Logf("oldest list %v, busiest second %d calls, %d refused", oldest, f.platform.busiest(startBound), f.platform.refused)
		require.Less(t, oldest, drainBound)
		require.Less(t, f.platform.busiest(startBound), largeRate/2)
	})
}

// TestTwoHubsOfAZoneAreLost: its agents heard nothing until the members were told, and read for themselves.
func TestTwoHubsOfAZoneAreLost(t *testing.T) {
	playFleet(t, largeZones, largeEach, largeRate, func(f *fleet) {
		time.Sleep(startBound)
		f.lose(f.hub("z1"))
		oldest := f.watchAges(membersToldAfter + 500*time.Millisecond)
		f.lose(f.hub("z1"))
		oldest = max(oldest, f.watchAges(8*time.Second))
		t.Logf("oldest list %v, busiest second %d calls, %d refused", oldest, f.platform.busiest(startBound), f.platform.refused)
		require.Less(t, oldest, drainBound)
		require.Less(t, f.platform.busiest(startBound), largeRate/4)
	})
}

// TestThePlatformIsBack: after an outage the list is known to all again within the bound, though each had lacked it.
func TestThePlatformIsBack(t *testing.T) {
	playFleet(t, largeZones, largeEach, largeRate, func(f *fleet) {
		time.Sleep(startBound)
		f.platform.setDown(true)
		time.Sleep(6 * time.Second)
		f.platform.setDown(false)
		time.Sleep(drainBound)
		oldest := f.watchAges(4 * time.Second)
		t.Logf("oldest list %v, busiest second %d calls, %d refused", oldest, f.platform.busiest(startBound), f.platform.refused)
		require.Less(t, oldest, drainBound)
		require.Less(t, f.platform.busiest(startBound), largeRate/2)
	})
}

// TestAnAgentThatJoinsBecomesTheOwner: its readings must not be numbered below those that all others know.
func TestAnAgentThatJoinsBecomesTheOwner(t *testing.T) {
	playFleet(t, 3, 12, largeRate, func(f *fleet) {
		time.Sleep(startBound)
		f.run(f.addOwner("z1", "127.1.0.100"))
		time.Sleep(joinBound)
		oldest := f.watchAges(3 * time.Second)
		t.Logf("oldest list %v", oldest)
		require.Less(t, oldest, listStale)
	})
}
