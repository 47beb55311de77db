package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/dispatch"
)

func TestOverdueAttempts(t *testing.T) {
	const now = 10 * time.Second
	attemptAt := func(id string, heard time.Duration, mayMove bool) *attempt {
		a := &attempt{choice: &dispatch.Choice{ID: id}, retryable: mayMove}
		a.lastProgress.Store(int64(heard))
		return a
	}
	gone := attemptAt("gone", now-2*time.Second, false)
	leaving := attemptAt("gone", now-100*time.Millisecond, false) // it still answers
	silent := attemptAt("silent", now-2*time.Second, true)
	bound := attemptAt("silent", now-2*time.Second, false) // it may have run, and may not run again
	busy := attemptAt("busy", now-2*time.Second, true)     // its backend answers others
	s := newAttemptRegistry()
	for _, a := range []*attempt{gone, leaving, silent, bound, busy} {
		s.add(a)
	}
	s.backendRemoved("gone")
	overdue := s.overdue(now, func(a *attempt) bool { return a.choice.ID == "silent" })
	require.Equal(t, map[*attempt]endReason{gone: endReasonBackendRemoved, silent: endReasonBackendStalled}, overdue)
	s.remove(silent)
	s.remove(gone)
	require.Empty(t, s.overdue(now, func(a *attempt) bool { return a.choice.ID == "silent" }))
}
