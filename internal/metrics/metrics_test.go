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
		at, err := ParseEndpoint(text)
		require.NoError(t, err, text)
		require.Equal(t, want, at)
	}
	for _, text := range []string{"", "/metrics", "0/metrics", "65536/metrics", "-1/m", "x/m", "10.0.0.1:80/m"} {
		_, err := ParseEndpoint(text)
		require.ErrorContains(t, err, "PORT/PATH", text)
	}
}

type fakeSource struct{ err error }

func (p fakeSource) Metrics(context.Context) (*Set, error) {
	if p.err != nil {
		return nil, p.err
	}
	set := NewSet()
	set.Add(`answers_total{status="2xx"}`, 41)
	set.AddFlag("in_touch", true)
	set.AddFlag("disk_fails", false)
	return set, nil
}

func TestHandler(t *testing.T) {
	ask := func(p fakeSource, path string) *httptest.ResponseRecorder {
		answer := httptest.NewRecorder()
		newHandler(Endpoint{9101, "/metrics"}, p).ServeHTTP(answer, httptest.NewRequest(http.MethodGet, path, nil))
		return answer
	}
	answer := ask(fakeSource{}, "/metrics")
	require.Equal(t, http.StatusOK, answer.Code)
	require.Contains(t, answer.Header().Get("Content-Type"), "text/plain")
	for _, line := range []string{"nettlefold_answers_total{status=\"2xx\"} 41\n", "nettlefold_in_touch 1\n", "nettlefold_disk_fails 0\n", "process_resident_memory_bytes "} {
		require.Contains(t, answer.Body.String(), line)
	}
	require.Equal(t, http.StatusNotFound, ask(fakeSource{}, "/other").Code)
	require.Equal(t, http.StatusServiceUnavailable, ask(fakeSource{errors.New("ending")}, "/metrics").Code)
}

func TestServe(t *testing.T) {
	listener, err := Listen("127.0.0.1", Endpoint{Port: 0, Path: "/metrics"})
	require.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- Serve(ctx, listener, Endpoint{Path: "/metrics"}, fakeSource{}) }()
	answer, err := http.Get("http://" + listener.Addr().String() + "/metrics")
	require.NoError(t, err)
	answer.Body.Close()
	require.Equal(t, http.StatusOK, answer.StatusCode)
	stop()
	require.NoError(t, <-ended)
}
