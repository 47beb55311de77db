package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// serveEndlessHead is a backend whose response has a header line without end, behind a status.
func serveEndlessHead(t *testing.T, status int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		require.NoError(t, err)
		defer conn.Close()
		fmt.Fprintf(conn, "HTTP/1.1 %d Flood\r\nX-Request-Id: %s\r\nX-Long: ", status, r.Header.Get(headerRequestID))
		for text := strings.Repeat("x", 32<<10); err == nil; {
			_, err = io.WriteString(conn, text)
		}
	}
}

// TestEndlessHeadIsTriedElsewhereAndCounted: a request whose backend sends a head without end is sent to another one if it
// may be, ends with 502 otherwise, and the backend gets no further requests but a probe once it has done so several times.
func TestEndlessHeadIsTriedElsewhereAndCounted(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			f := newFixture(t, serveEndlessHead(t, status))
			response, _, err := f.post("/once/x", "k1", "")
			require.NoError(t, err)
			require.Equal(t, http.StatusBadGateway, response.StatusCode)
			reason := `proxy_attempt_failures_total{reason="head_too_long"}`
			require.Equal(t, 1.0, f.metric(reason))
			for range 20 {
				response, _, err := f.post("/once/x", "k1", "")
				require.NoError(t, err)
				require.GreaterOrEqual(t, response.StatusCode, 500)
			}
			require.Less(t, len(f.receivedRequests()), 10, "requests that reached the backend")
			require.Equal(t, float64(len(f.receivedRequests())), f.metric(reason))

			both := newFixture(t, serveEndlessHead(t, status), serveOK)
			for range 5 {
				response, text, err := both.post("/stream/x", "k1", "")
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, response.StatusCode)
				require.Equal(t, "done", text)
			}
		})
	}
}

// metric returns the value of one of the proxy's metrics.
func (f *fixture) metric(name string) float64 {
	f.t.Helper()
	set, err := f.proxy.Metrics(f.t.Context())
	require.NoError(f.t, err)
	value, exists := set.Value(name)
	require.True(f.t, exists, "metric %s is missing", name)
	return value
}
