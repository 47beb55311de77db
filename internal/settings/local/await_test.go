package local

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// settingsFile names a settings file of a test's own in the environment.
func settingsFile(t *testing.T) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "local.conf")
	t.Setenv(PathVariable, path)
	return path
}

// TestSettingsBeingReplaced reads a file that is written in part until a moment later.
func TestSettingsBeingReplaced(t *testing.T) {
	for name, part := range map[string]int{"missing": -1, "empty": 0, "a third": len(validSettings) / 3, "all but the end": len(validSettings) - 2} {
		t.Run(name, func(t *testing.T) {
			path := settingsFile(t)
			if part >= 0 {
				require.NoError(t, os.WriteFile(path, []byte(validSettings[:part]), 0o644))
			}
			timer := time.AfterFunc(2*readInterval, func() { os.WriteFile(path, []byte(validSettings), 0o644) })
			defer timer.Stop()
			settings, err := Await(t.Context(), "agent")
			require.NoError(t, err)
			want, err := Parse(validSettings)
			require.NoError(t, err)
			require.Equal(t, want, settings)
		})
	}
}

// TestSettingsWithFaults reads files whose fault stays, and one that lacks only the newline at its end.
func TestSettingsWithFaults(t *testing.T) {
	for name, c := range map[string]struct{ program, text, wantError string }{
		"no final newline":     {"agent", strings.TrimSpace(validSettings), ""},
		"missing":              {"agent", "", "no such file"},
		"no seeds":             {"agent", strings.Replace(validSettings, "seeds=", "seeds.of=", 1), "seeds"},
		"proxy's addresses":    {"proxy", validSettings, "listen_addresses.ready"},
		"controller's address": {"controller", validSettings, "listen_addresses.control"},
	} {
		t.Run(name, func(t *testing.T) {
			path := settingsFile(t)
			if c.text != "" {
				require.NoError(t, os.WriteFile(path, []byte(c.text), 0o644))
			}
			started := time.Now()
			settings, err := Await(t.Context(), c.program)
			if c.wantError == "" {
				require.NoError(t, err)
				require.NotNil(t, settings)
				return
			}
			require.ErrorContains(t, err, c.wantError)
			require.GreaterOrEqual(t, time.Since(started), replaceTime)
		})
	}
}

// TestAwaitSettingsEnds ends the wait for a missing file, and tells of a variable that is not set at once.
func TestAwaitSettingsEnds(t *testing.T) {
	settingsFile(t)
	ctx, cancel := context.WithTimeout(t.Context(), readInterval)
	defer cancel()
	_, err := Await(ctx, "agent")
	require.ErrorIs(t, err, context.DeadlineExceeded)
	t.Setenv(PathVariable, "")
	_, err = Await(t.Context(), "agent")
	require.ErrorContains(t, err, PathVariable)
}
