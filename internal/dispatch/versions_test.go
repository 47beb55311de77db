package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/replicated"
	"nettlefold/internal/superseded"
)

// TestVersionLimitPerSupersededVersion guards against a newly ordered version extending the limit of versions that
// were superseded before.
func TestVersionLimitPerSupersededVersion(t *testing.T) {
	table := newTable(t, backendInfo(1, 1), backendInfo(2, 2))
	var times superseded.History
	order := func(now time.Duration, version int64) {
		times = times.With(version, now)
		table.SetState(now, nil, map[string]replicated.ModelVersion{"m": {Version: version}}, map[string]superseded.History{"m": times})
	}
	order(0, 2)
	order(7*time.Second, 3)
	c := table.Pick(8500*time.Millisecond, promptRequest())
	require.Equal(t, "b2", c.ID, "version 1 was superseded 8.5 s ago, with a limit of 10 s")
	require.Equal(t, 7*time.Second+time.Duration(versionFirstByteShare*float64(testSettings.VersionLimit)), table.FirstByteDeadline(c))
	table.SetBackends(8500*time.Millisecond, []BackendInfo{backendInfo(1, 1)}, nil)
	require.Nil(t, table.Pick(8600*time.Millisecond, promptRequest()))
}
