package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/dispatch"
)

// TestOverdueAttempts checks which attempts without progress are reported as overdue and why.
func TestOverdueAttempts(t *testing.T) {
	const now = 10 * time.Second
	newAttempt := func(id string, lastProgress time.Duration, retryable bool) *attempt {
		a := &attempt{choice: &dispatch.Choice{ID: id}, retryable: retryable}
		a.lastProgress.Store(int64(lastProgress))
		return a
	}
	removed := newAttempt("removed", now-2*time.Second, false)
	draining := newAttempt("removed", now-100*time.Millisecond, false) // still makes progress
	stalled := newAttempt("stalled", now-2*time.Second, true)
	notRetryable := newAttempt("stalled", now-2*time.Second, false)
	busy := newAttempt("busy", now-2*time.Second, true) // its backend responds to other requests
	registry := newAttemptRegistry()
	for _, a := range []*attempt{removed, draining, stalled, notRetryable, busy} {
		registry.add(a)
	}
	registry.backendRemoved("removed")
	overdue := registry.overdue(now, func(a *attempt) bool { return a.choice.ID == "stalled" })
	require.Equal(t, map[*attempt]endReason{removed: endReasonBackendRemoved, stalled: endReasonBackendStalled}, overdue)
	registry.remove(stalled)
	registry.remove(removed)
	require.Empty(t, registry.overdue(now, func(a *attempt) bool { return a.choice.ID == "stalled" }), "overdue attempts after their removal")
}
