package controller

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/distribute"
)

// TestControllerMetrics: there is one head, all machines are in contact with a quorum, and a
// machine that is isolated reports that it is not.
func TestControllerMetrics(t *testing.T) {
	runCluster(t, 1, func(w *testCluster, random *rand.Rand) {
		require.True(t, w.commitWithin(3*time.Second, random))
		w.watch(ipOf(2), agentInstance{distribute.Agent{ID: "f/1", Addr: "10.0.1.1:7340", Zone: "x"}, 0})
		heads := 0.0
		for i := 1; i <= 3; i++ {
			require.Equal(t, 1.0, w.metric(ipOf(i), "controller_in_touch"))
			require.Equal(t, 3.0, w.metric(ipOf(i), "controller_chain_members"))
			require.Equal(t, 3.0, w.metric(ipOf(i), "controller_acceptors"))
			require.Positive(t, w.metric(ipOf(i), "controller_committed_seq"))
			require.Zero(t, w.metric(ipOf(i), "controller_disk_fails"))
			heads += w.metric(ipOf(i), "controller_head")
		}
		require.Equal(t, 1.0, heads)
		require.Equal(t, 1.0, w.metric(ipOf(2), "controller_sessions"))
		require.Equal(t, 1.0, w.metric(ipOf(2), "controller_sessions_behind"))
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, 0.1, w.metric(ipOf(2), "controller_session_silence_seconds_max"))
		require.Equal(t, 1.0, w.metric(ipOf(2), `controller_commands_total{kind="session"}`))
		require.Positive(t, w.metric(ipOf(2), `controller_commands_total{kind="chain"}`))
		require.Positive(t, w.metric(ipOf(2), "controller_queue_length_max"))
		w.setIsolatedFromCore(true, ipOf(1))
		time.Sleep(2 * time.Second)
		require.Zero(t, w.metric(ipOf(1), "controller_in_touch"))
		require.Equal(t, 2.0, w.metric(ipOf(2), "controller_chain_members"))
		w.setIsolatedFromCore(false, ipOf(1))
		time.Sleep(3 * time.Second)
		require.Equal(t, 1.0, w.metric(ipOf(1), "controller_in_touch"))
	})
}

// metric returns the value of one metric of a controller.
func (w *testCluster) metric(ip, name string) float64 {
	w.t.Helper()
	set, err := w.machines[ip].controller.Metrics(w.t.Context())
	require.NoError(w.t, err)
	value, found := set.Value(name)
	require.True(w.t, found, "metric %s is missing", name)
	return value
}
