package controller

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/distribute"
)

// TestFiguresOfTheCore: one head, all in touch, and a machine that is cut off says so.
func TestFiguresOfTheCore(t *testing.T) {
	inWorld(t, 1, func(w *world, random *rand.Rand) {
		require.True(t, w.taken(3*time.Second, random))
		w.call(ipOf(2), life{distribute.Agent{ID: "f/1", Addr: "10.0.1.1:7340", Zone: "x"}, 0})
		heads := 0.0
		for i := 1; i <= 3; i++ {
			require.Equal(t, 1.0, w.figure(ipOf(i), "controller_in_touch"))
			require.Equal(t, 3.0, w.figure(ipOf(i), "controller_chain_members"))
			require.Equal(t, 3.0, w.figure(ipOf(i), "controller_acceptors"))
			require.Positive(t, w.figure(ipOf(i), "controller_committed_seq"))
			require.Zero(t, w.figure(ipOf(i), "controller_disk_fails"))
			heads += w.figure(ipOf(i), "controller_head")
		}
		require.Equal(t, 1.0, heads)
		require.Equal(t, 1.0, w.figure(ipOf(2), "controller_sessions"))
		require.Equal(t, 1.0, w.figure(ipOf(2), "controller_sessions_behind"))
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, 0.1, w.figure(ipOf(2), "controller_session_silence_seconds_max"))
		require.Equal(t, 1.0, w.figure(ipOf(2), `controller_commands_total{kind="session"}`))
		require.Positive(t, w.figure(ipOf(2), `controller_commands_total{kind="chain"}`))
		require.Positive(t, w.figure(ipOf(2), "controller_queue_length_max"))
		w.separateCore(true, ipOf(1))
		time.Sleep(2 * time.Second)
		require.Zero(t, w.figure(ipOf(1), "controller_in_touch"))
		require.Equal(t, 2.0, w.figure(ipOf(2), "controller_chain_members"))
		w.separateCore(false, ipOf(1))
		time.Sleep(3 * time.Second)
		require.Equal(t, 1.0, w.figure(ipOf(1), "controller_in_touch"))
	})
}

// figure reads one figure of a controller.
func (w *world) figure(ip, name string) float64 {
	w.t.Helper()
	set, err := w.machines[ip].controller.Metrics(w.t.Context())
	require.NoError(w.t, err)
	value, there := set.Value(name)
	require.True(w.t, there, name)
	return value
}
