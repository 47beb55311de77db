package metrics

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestParseEndpoint(t *testing.T) {
	for text, want := range map[string]Endpoint{
		"9101/metrics": {9101, "/metrics"}, "1/a/b": {1, "/a/b"}, "65535": {65535, "/"}, "80/": {80, "/"},
	} {
		got, err := ParseEndpoint(text)
		require.NoError(t, err, "ParseEndpoint(%q)", text)
		require.Equal(t, want, got, "ParseEndpoint(%q)", text)
	}
	for _, text := range []string{"", "/metrics", "0/metrics", "65536/metrics", "-1/m", "x/m", "10.0.0.1:80/m"} {
		_, err := ParseEndpoint(text)
		require.ErrorContains(t, err, "PORT/PATH", "ParseEndpoint(%q)", text)
	}
}

// fakeSource is a Source with a few metrics, or one that fails if err is set.
type fakeSource struct{ err error }

func (s fakeSource) Metrics(context.Context) (*Set, error) {
	if s.err != nil {
		return nil, s.err
	}
	set := NewSet()
	set.Add(`answers_total{status="2xx"}`, 41)
	set.AddFlag("in_touch", true)
	set.AddFlag("disk_fails", false)
	return set, nil
}

func TestHandler(t *testing.T) {
	get := func(source fakeSource, path string) *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		newHandler(Endpoint{9101, "/metrics"}, source).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
		return recorder
	}
	response := get(fakeSource{}, "/metrics")
	require.Equal(t, http.StatusOK, response.Code)
	require.Contains(t, response.Header().Get("Content-Type"), "text/plain")
	for _, line := range []string{"nettlefold_answers_total{status=\"2xx\"} 41\n", "nettlefold_in_touch 1\n", "nettlefold_disk_fails 0\n", "process_resident_memory_bytes "} {
		require.Contains(t, response.Body.String(), line)
	}
	require.Equal(t, http.StatusNotFound, get(fakeSource{}, "/other").Code)
	require.Equal(t, http.StatusServiceUnavailable, get(fakeSource{errors.New("shutting down")}, "/metrics").Code)
}

// TestServe checks that metrics are served over TCP, and that Serve returns nil when its context is
// canceled.
func TestServe(t *testing.T) {
	listener, err := Listen(t.Context(), "127.0.0.1", Endpoint{Port: 0, Path: "/metrics"}, func(error) {})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	serveErrors := make(chan error, 1)
	go func() { serveErrors <- Serve(ctx, listener, Endpoint{Path: "/metrics"}, fakeSource{}) }()
	response, err := http.Get("http://" + listener.Addr().String() + "/metrics")
	require.NoError(t, err)
	response.Body.Close()
	require.Equal(t, http.StatusOK, response.StatusCode)
	cancel()
	require.NoError(t, <-serveErrors)
}
