package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// maxDrainDelay is how long a draining backend may still get requests after the platform's list
	// shows it as draining.
	maxDrainDelay = 4 * time.Second
	// fleetStartTime is the time until every agent of a new fleet has a list.
	fleetStartTime = 6 * time.Second

	// joinTime is the time until an agent that joins a running fleet has a list.
	joinTime = 500 * time.Millisecond

	largeZoneCount, largeZoneAgents = 6, 25
	// platformCallsPerSecond allows each agent two list reads in ten seconds, as deployments do.
	platformCallsPerSecond = 760
)

// TestFleetStartWithinPlatformRate guards against a fault at the start of a fleet: all agents read
// the list at once, and the list reader's calls were rejected among theirs.
func TestFleetStartWithinPlatformRate(t *testing.T) {
	runFleet(t, largeZoneCount, largeZoneAgents, platformCallsPerSecond, func(f *fleet) {
		time.Sleep(fleetStartTime)
		oldest := f.maxListAge(4 * time.Second)
		t.Logf("oldest list %v old, %d calls in the busiest second, %d rejected", oldest, f.platform.busiestSecond(0), f.platform.rejected)
		require.Less(t, oldest, maxDrainDelay, "age of the oldest list")
		require.Zero(t, f.platform.rejected, "rejected platform calls")
		require.Less(t, f.platform.busiestSecond(0), platformCallsPerSecond/2, "calls in the busiest second")
	})
}

// TestListReaderCrash guards against a fault after a crash of the list reader: all other agents
// read the list at more than the platform's rate, and the next reader's calls were rejected among
// theirs.
func TestListReaderCrash(t *testing.T) {
	runFleet(t, largeZoneCount, largeZoneAgents, platformCallsPerSecond, func(f *fleet) {
		time.Sleep(fleetStartTime)
		f.crash(f.listReader())
		oldest := f.maxListAge(8 * time.Second)
		t.Logf("oldest list %v old, %d calls in the busiest second, %d rejected", oldest, f.platform.busiestSecond(fleetStartTime), f.platform.rejected)
		require.Less(t, oldest, maxDrainDelay, "age of the oldest list")
		require.Less(t, f.platform.busiestSecond(fleetStartTime), platformCallsPerSecond/2, "calls in the busiest second")
	})
}

// TestSuccessiveHubCrashes guards against a fault after two crashes of a zone's hub: the zone's
// agents received nothing until the members were updated, and each read the list itself.
func TestSuccessiveHubCrashes(t *testing.T) {
	runFleet(t, largeZoneCount, largeZoneAgents, platformCallsPerSecond, func(f *fleet) {
		time.Sleep(fleetStartTime)
		f.crash(f.hub("z1"))
		oldest := f.maxListAge(memberRemovalDelay + 500*time.Millisecond)
		f.crash(f.hub("z1"))
		oldest = max(oldest, f.maxListAge(8*time.Second))
		t.Logf("oldest list %v old, %d calls in the busiest second, %d rejected", oldest, f.platform.busiestSecond(fleetStartTime), f.platform.rejected)
		require.Less(t, oldest, maxDrainDelay, "age of the oldest list")
		require.Less(t, f.platform.busiestSecond(fleetStartTime), platformCallsPerSecond/4, "calls in the busiest second")
	})
}

// TestPlatformOutageRecovery checks that after a platform outage all agents have a current list
// within maxDrainDelay, although each had an outdated one.
func TestPlatformOutageRecovery(t *testing.T) {
	runFleet(t, largeZoneCount, largeZoneAgents, platformCallsPerSecond, func(f *fleet) {
		time.Sleep(fleetStartTime)
		f.platform.setDown(true)
		time.Sleep(6 * time.Second)
		f.platform.setDown(false)
		time.Sleep(maxDrainDelay)
		oldest := f.maxListAge(4 * time.Second)
		t.Logf("oldest list %v old, %d calls in the busiest second, %d rejected", oldest, f.platform.busiestSecond(fleetStartTime), f.platform.rejected)
		require.Less(t, oldest, maxDrainDelay, "age of the oldest list")
		require.Less(t, f.platform.busiestSecond(fleetStartTime), platformCallsPerSecond/2, "calls in the busiest second")
	})
}

// TestJoiningAgentBecomesListReader checks that the lists read by a joining agent are not ignored.
// Its revisions must not start below those that the other agents know.
func TestJoiningAgentBecomesListReader(t *testing.T) {
	runFleet(t, 3, 12, platformCallsPerSecond, func(f *fleet) {
		time.Sleep(fleetStartTime)
		f.run(f.addOwner("z1", "127.1.0.100"))
		time.Sleep(joinTime)
		oldest := f.maxListAge(3 * time.Second)
		t.Logf("oldest list %v old", oldest)
		require.Less(t, oldest, successorReadAge, "age of the oldest list")
	})
}
