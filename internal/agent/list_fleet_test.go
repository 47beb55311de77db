package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// drainBound is how long after the platform's list showed it a backend that leaves may still get requests.
	maxDrainDelay = 4 * time.Second
	// startBound is when every agent of a fleet that has just started has a list.
	fleetStartTime = 6 * time.Second

	// joinBound is when an agent that joins a running fleet has a list.
	joinTime = 500 * time.Millisecond

	largeZoneCount, largeZoneAgents = 6, 25
	// largeRate leaves every agent two readings of the list in ten seconds, as the deployments have it for theirs.
	platformCallsPerSecond = 760
)

// TestAFleetThatStartsLeavesThePlatformItsRate: all agents that start at once read the list for themselves, and the owner's reading was
// refused among theirs.
func TestFleetStartWithinPlatformRate(t *testing.T) {
	runFleet(t, largeZoneCount, largeZoneAgents, platformCallsPerSecond, func(f *fleet) {
		time.Sleep(fleetStartTime)
		oldest := f.maxListAge(4 * time.Second)
		t.Logf("oldest list %v, busiest second %d calls, %d refused", oldest, f.platform.busiestSecond(0), f.platform.refused)
		require.Less(t, oldest, maxDrainDelay)
		require.Zero(t, f.platform.refused)
		require.Less(t, f.platform.busiestSecond(0), platformCallsPerSecond/2)
	})
}

// TestTheListsOwnerIsLost: the others all read for themselves, at a rate above the platform's, and the next owner was refused among them.
func TestListReaderCrash(t *testing.T) {
	runFleet(t, largeZoneCount, largeZoneAgents, platformCallsPerSecond, func(f *fleet) {
		time.Sleep(fleetStartTime)
		f.crash(f.listReader())
		oldest := f.maxListAge(8 * time.Second)
		t.Logf("oldest list %v, busiest second %d calls, %d refused", oldest, f.platform.busiestSecond(fleetStartTime), f.platform.refused)
		require.Less(t, oldest, maxDrainDelay)
		require.Less(t, f.platform.busiestSecond(fleetStartTime), platformCallsPerSecond/2)
	})
}

// TestTwoHubsOfAZoneAreLost: its agents heard nothing until the members were told, and read for themselves.
func TestSuccessiveHubCrashes(t *testing.T) {
	runFleet(t, largeZoneCount, largeZoneAgents, platformCallsPerSecond, func(f *fleet) {
		time.Sleep(fleetStartTime)
		f.crash(f.hub("z1"))
		oldest := f.maxListAge(memberRemovalDelay + 500*time.Millisecond)
		f.crash(f.hub("z1"))
		oldest = max(oldest, f.maxListAge(8*time.Second))
		t.Logf("oldest list %v, busiest second %d calls, %d refused", oldest, f.platform.busiestSecond(fleetStartTime), f.platform.refused)
		require.Less(t, oldest, maxDrainDelay)
		require.Less(t, f.platform.busiestSecond(fleetStartTime), platformCallsPerSecond/4)
	})
}

// TestThePlatformIsBack: after an outage the list is known to all again within the bound, though each had lacked it.
func TestPlatformOutageRecovery(t *testing.T) {
	runFleet(t, largeZoneCount, largeZoneAgents, platformCallsPerSecond, func(f *fleet) {
		time.Sleep(fleetStartTime)
		f.platform.setDown(true)
		time.Sleep(6 * time.Second)
		f.platform.setDown(false)
		time.Sleep(maxDrainDelay)
		oldest := f.maxListAge(4 * time.Second)
		t.Logf("oldest list %v, busiest second %d calls, %d refused", oldest, f.platform.busiestSecond(fleetStartTime), f.platform.refused)
		require.Less(t, oldest, maxDrainDelay)
		require.Less(t, f.platform.busiestSecond(fleetStartTime), platformCallsPerSecond/2)
	})
}

// TestAnAgentThatJoinsBecomesTheOwner: its readings must not be numbered below those that all others know.
func TestJoiningAgentBecomesListReader(t *testing.T) {
	runFleet(t, 3, 12, platformCallsPerSecond, func(f *fleet) {
		time.Sleep(fleetStartTime)
		f.run(f.addOwner("z1", "127.1.0.100"))
		time.Sleep(joinTime)
		oldest := f.maxListAge(3 * time.Second)
		t.Logf("oldest list %v", oldest)
		require.Less(t, oldest, successorReadAge)
	})
}
