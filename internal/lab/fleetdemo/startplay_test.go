package fleetdemo

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// playStartCase plays one hindrance on each program of the fleet.
func playStartCase(t *testing.T, name string) {
	t.Helper()
	number := slices.IndexFunc(startCases, func(c startCase) bool { return c.name == name })
	require.GreaterOrEqual(t, number, 0, "hindrance %q", name)
	program := buildProgram(t)
	for _, role := range startRoles(firstStartMachine + number) {
		t.Run(role.program, func(t *testing.T) {
			require.NoError(t, playStart(program, startCases[number], role))
		})
	}
}

// TestEarlyHangupEndsNoProgram guards against FAULT: SIGHUP ended a program that had not asked for it yet.
func TestEarlyHangupEndsNoProgram(t *testing.T) {
	playStartCase(t, "hangups from the program's first instruction on")
}

// TestHeldAddressesAreAwaited guards against FAULT: a program ended at once where its life before, or a connection of somebody, still had
// one of its addresses.
func TestHeldAddressesAreAwaited(t *testing.T) {
	t.Run("listeners", func(t *testing.T) { playStartCase(t, "addresses held by listeners") })
	t.Run("connections", func(t *testing.T) { playStartCase(t, "addresses held by connections") })
	t.Run("told to end", func(t *testing.T) { playStartCase(t, "told to end while it waits for addresses") })
}

// TestDataDirectoryHasOneWriter guards against FAULT: a controller opened the data directory that another process was writing.
func TestDataDirectoryHasOneWriter(t *testing.T) {
	playStartCase(t, "data directory of another process")
}

// TestDiskThatRefusesIsAwaited guards against FAULT: a controller ended as its disk took no bytes when it started.
func TestDiskThatRefusesIsAwaited(t *testing.T) { playStartCase(t, "disk that takes no bytes") }

// TestUnreadLogBlocksNoProgram guards against FAULT: a program ended by SIGPIPE, or neither started nor ended, as nobody read its log.
func TestUnreadLogBlocksNoProgram(t *testing.T) {
	t.Run("gone", func(t *testing.T) { playStartCase(t, "log whose reader is gone") })
	t.Run("full", func(t *testing.T) { playStartCase(t, "log that nobody reads") })
}

// TestProgramsOutliveLackOfDescriptors guards against FAULT: a program that had once run out of descriptors accepted no connections any more.
func TestProgramsOutliveLackOfDescriptors(t *testing.T) {
	playStartCase(t, "no descriptors left")
}

// TestUnknownSettingsAreIgnored guards against FAULT: a field that no program knows kept it from starting.
func TestUnknownSettingsAreIgnored(t *testing.T) {
	playStartCase(t, "unknown settings")
}

// TestSettingsBeingWrittenAreAwaited guards against FAULT: a program ended as its settings file was being replaced.
func TestSettingsBeingWrittenAreAwaited(t *testing.T) {
	playStartCase(t, "settings being written")
}
