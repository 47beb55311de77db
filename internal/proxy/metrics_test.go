package proxy

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestFiguresCountWhatWasDone: requests, attempts, streams taken up and what was given up.
func TestMetrics(t *testing.T) {
	broken := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerLastEvent) == "" && r.URL.Path == "/stream/x" {
			writeEvents(w, 1, 3, "", func() { panic(http.ErrAbortHandler) })
			return
		}
		if r.URL.Path == "/stream/x" {
			writeEvents(w, 4, 6, "", func() {})
			return
		}
		abortConnection(w, r)
	}
	r := newFixture(t, broken, broken)
	_, _, err := r.post("/stream/x", "k1", "")
	require.NoError(t, err)
	answer, _, err := r.post("/once/x", "k1", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, answer.StatusCode)
	set, err := r.proxy.Metrics(t.Context())
	require.NoError(t, err)
	for name, want := range map[string]float64{
		"proxy_requests_total": 2, "proxy_requests_running": 0, "proxy_attempts_total": 3, "proxy_streams_resumed_total": 1,
		"proxy_requests_given_up_total": 1, "proxy_requests_deferred_total": 0, "proxy_answers_cut_total": 0, "proxy_backends": 2,
		"proxy_config_version": 1, "proxy_applied_seq": 1, "proxy_stopping": 0,
	} {
		got, there := set.Value(name)
		require.True(t, there, name)
		require.Equal(t, want, got, name)
	}
}
