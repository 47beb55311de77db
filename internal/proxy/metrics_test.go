package proxy

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMetrics checks the counts after a resumed stream and a request that was not served.
func TestMetrics(t *testing.T) {
	serve := func(w http.ResponseWriter, r *http.Request) {
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
	f := newFixture(t, serve, serve)
	_, _, err := f.post("/stream/x", "k1", "")
	require.NoError(t, err)
	response, _, err := f.post("/once/x", "k1", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	set, err := f.proxy.Metrics(t.Context())
	require.NoError(t, err)
	for name, want := range map[string]float64{
		"proxy_requests_total": 2, "proxy_requests_running": 0, "proxy_attempts_total": 3, "proxy_streams_resumed_total": 1,
		"proxy_requests_given_up_total": 1, "proxy_requests_deferred_total": 0, "proxy_answers_cut_total": 0, "proxy_backends": 2,
		"proxy_config_version": 1, "proxy_applied_seq": 1, "proxy_stopping": 0,
	} {
		got, exists := set.Value(name)
		require.True(t, exists, "metric %s is missing", name)
		require.Equal(t, want, got, "metric %s", name)
	}
}
