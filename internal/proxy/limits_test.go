package proxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"nettlefold/internal/settings/local"
)

// TestWorkOfAClientThatHasGoneIsDropped: when a client closes its connection the backend's is closed too, and nobody else gets the request.
func TestWorkOfAClientThatHasGoneIsDropped(t *testing.T) {
	for _, path := range []string{"/stream/", "/open/", "/once/"} {
		begun, dropped := make(chan struct{}), make(chan struct{})
		serve := func(_ http.ResponseWriter, r *http.Request) {
			close(begun)
			<-r.Context().Done()
			close(dropped)
		}
		r := newRig(t, serve, serve)
		ctx, leave := context.WithCancel(context.Background())
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, r.front.URL+path, strings.NewReader("x"))
		require.NoError(t, err)
		request.Host = "h"
		request.Header.Set(headerRequestID, "id-1")
		request.Header.Set(headerKey, "k1")
		ended := make(chan error, 1)
		go func() {
			_, err := http.DefaultClient.Do(request)
			ended <- err
		}()
		<-begun
		leave()
		require.Error(t, <-ended)
		<-dropped
		require.Len(t, r.requests(), 1, path)
	}
}

// TestTheRoutesTimeIsKept: a request that is not answered within its route's time gets its final answer then, also if its client would wait
// for longer, and the backend is handed no more time than that.
func TestTheRoutesTimeIsKept(t *testing.T) {
	handed := make(chan string, 1)
	r := newRig(t, func(_ http.ResponseWriter, q *http.Request) {
		handed <- q.Header.Get(headerDeadline)
		<-q.Context().Done()
	})
	began := time.Now()
	answer, _, err := r.ask("/short/", "k1", "", headerDeadline, "60000")
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, answer.StatusCode)
	require.GreaterOrEqual(t, time.Since(began), shortRoute)
	ms, err := strconv.Atoi(<-handed)
	require.NoError(t, err)
	require.LessOrEqual(t, int64(ms), shortRoute.Milliseconds())
}

// TestWithoutAConfigurationNothingIsDenied: a mixer that knows no configuration yet promises that the request has not run, and is not ready.
func TestWithoutAConfigurationNothingIsDenied(t *testing.T) {
	p := New(&local.Settings{IP: "10.0.0.1", FirstPort: 7340}, zerolog.Nop())
	front := httptest.NewServer(http.HandlerFunc(p.serve))
	defer front.Close()
	answer, err := http.Get(front.URL + "/any/")
	require.NoError(t, err)
	answer.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, answer.StatusCode)
	require.NotEmpty(t, answer.Header.Get(headerRetry))
}
