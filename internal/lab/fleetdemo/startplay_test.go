package fleetdemo

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// playStartCase plays one hindrance on each program of the fleet.
func playStartCase(t *testing.T, play func(p *startPlay, role startRole) error) {
	t.Helper()
	program := buildProgram(t)
	for _, role := range startRoles() {
		t.Run(role.program, func(t *testing.T) {
			require.NoError(t, playStart(program, startCase{play: play}, role))
		})
	}
}

// TestEarlyHangupEndsNoProgram guards against FAULT: SIGHUP ended a program that had not asked for it yet.
func TestEarlyHangupEndsNoProgram(t *testing.T) { playStartCase(t, (*startPlay).hangUpEarly) }

// TestHeldAddressesAreAwaited guards against FAULT: a program ended at once where its life before, or a connection of somebody, still had
// one of its addresses.
func TestHeldAddressesAreAwaited(t *testing.T) {
	t.Run("listeners", func(t *testing.T) { playStartCase(t, (*startPlay).startBehindListeners) })
	t.Run("connections", func(t *testing.T) { playStartCase(t, (*startPlay).startBehindConnections) })
	t.Run("told to end", func(t *testing.T) { playStartCase(t, (*startPlay).stopBehindListeners) })
}

// TestDataDirectoryHasOneWriter guards against FAULT: a controller opened the data directory that another process was writing.
func TestDataDirectoryHasOneWriter(t *testing.T) {
	playStartCase(t, (*startPlay).startBesideFormerLife)
}

// TestDiskThatRefusesIsAwaited guards against FAULT: a controller ended as its disk took no bytes when it started.
func TestDiskThatRefusesIsAwaited(t *testing.T) { playStartCase(t, (*startPlay).startOnFullDisk) }

// TestUnreadLogBlocksNoProgram guards against FAULT: a program ended by SIGPIPE, or neither started nor ended, as nobody read its log.
func TestUnreadLogBlocksNoProgram(t *testing.T) {
	t.Run("gone", func(t *testing.T) { playStartCase(t, (*startPlay).startWithoutLogReader) })
	t.Run("full", func(t *testing.T) { playStartCase(t, (*startPlay).startWithFullLog) })
}

// TestProgramsOutliveLackOfDescriptors guards against FAULT: a program that had once run out of descriptors accepted no connections any more.
func TestProgramsOutliveLackOfDescriptors(t *testing.T) {
	playStartCase(t, (*startPlay).runOutOfDescriptors)
}

// TestUnknownSettingsAreIgnored guards against FAULT: a field that no program knows kept it from starting.
func TestUnknownSettingsAreIgnored(t *testing.T) {
	playStartCase(t, (*startPlay).startWithUnknownFields)
}

// TestSettingsBeingWrittenAreAwaited guards against FAULT: a program ended as its settings file was being replaced.
func TestSettingsBeingWrittenAreAwaited(t *testing.T) {
	playStartCase(t, (*startPlay).startWhileSettingsAreWritten)
}
