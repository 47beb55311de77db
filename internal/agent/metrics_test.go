package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/distribute"
	"nettlefold/internal/metrics"
)

// TestAgentMetrics checks the agent's metrics, and that the age of something that never happened is
// absent.
func TestAgentMetrics(t *testing.T) {
	a := newAgents(2, 3)[0]
	set := metrics.NewSet()
	a.addMetrics(set)
	_, ok := set.Value("agent_in_touch_age_seconds")
	require.False(t, ok)
	a.snapshot, a.appliedSeq = &distribute.Snapshot{Seq: 9}, 7
	a.lastQuorumContact = a.now() - time.Minute
	set = metrics.NewSet()
	a.addMetrics(set)
	for name, want := range map[string]float64{"agent_snapshot_seq": 9, "agent_applied_seq": 7, "agent_members": 6, "agent_news_interval_seconds": 0.06} {
		got, ok := set.Value(name)
		require.True(t, ok, name)
		require.Equal(t, want, got, name)
	}
	age, ok := set.Value("agent_in_touch_age_seconds")
	require.True(t, ok)
	require.GreaterOrEqual(t, age, 60.0)
}
