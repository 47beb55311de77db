package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
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

// finalResponseLimit bounds the time to the final response on the route /short/.
const finalResponseLimit = shortRouteTimeout + 500*time.Millisecond

// TestClientDisconnectCancelsAttempt checks that a disconnect of the client cancels the request at the
// backend and that the request is not retried.
func TestClientDisconnectCancelsAttempt(t *testing.T) {
	for _, path := range []string{"/stream/", "/open/", "/once/"} {
		started, cancelled := make(chan struct{}), make(chan struct{})
		serve := func(_ http.ResponseWriter, r *http.Request) {
			close(started)
			<-r.Context().Done()
			close(cancelled)
		}
		f := newFixture(t, serve, serve)
		ctx, disconnect := context.WithCancel(context.Background())
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.frontend.URL+path, strings.NewReader("x"))
		require.NoError(t, err)
		request.Host = "h"
		request.Header.Set(headerRequestID, "id-1")
		request.Header.Set(headerAPIKey, "k1")
		result := make(chan error, 1)
		go func() {
			_, err := http.DefaultClient.Do(request)
			result <- err
		}()
		<-started
		disconnect()
		require.Error(t, <-result)
		<-cancelled
		require.Len(t, f.receivedRequests(), 1, "attempts at %s", path)
	}
}

// TestRouteTimeout checks that a request gets its final response at the route's timeout, even if the
// client would wait longer, and that the backend is given no more time than that.
func TestRouteTimeout(t *testing.T) {
	backendDeadline := make(chan string, 1)
	f := newFixture(t, func(_ http.ResponseWriter, r *http.Request) {
		backendDeadline <- r.Header.Get(headerDeadline)
		<-r.Context().Done()
	})
	startedAt := time.Now()
	response, _, err := f.post("/short/", "k1", "", headerDeadline, "60000")
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
	require.GreaterOrEqual(t, time.Since(startedAt), shortRouteTimeout, "time to the final response")
	ms, err := strconv.Atoi(<-backendDeadline)
	require.NoError(t, err)
	require.LessOrEqual(t, int64(ms), shortRouteTimeout.Milliseconds(), "deadline at the backend in ms")
}

// TestNoConfiguration checks that a proxy without a configuration refuses requests with a status that
// says that they were not executed.
func TestNoConfiguration(t *testing.T) {
	p := New(&local.Settings{IP: "10.0.0.1", FirstPort: 7340}, zerolog.Nop())
	frontend := httptest.NewServer(http.HandlerFunc(p.serve))
	defer frontend.Close()
	response, err := http.Get(frontend.URL + "/any/")
	require.NoError(t, err)
	response.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get(headerRetryAfter), "Retry-After")
}

// dialFrontend opens a client connection.
func (f *fixture) dialFrontend() net.Conn {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.frontend.Listener.Addr().String())
	require.NoError(f.t, err)
	f.t.Cleanup(func() { conn.Close() })
	return conn
}

// TestRouteTimeoutReadingBody checks that a client that sends its body too slowly is refused at the
// route's timeout, with a status that says that the request was not executed.
func TestRouteTimeoutReadingBody(t *testing.T) {
	for name, text := range map[string]string{
		"with Content-Length": "Content-Length: 100\r\n\r\nhalf",
		"chunked":             "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"no body bytes":       "Content-Length: 100\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, serveOK)
			conn := f.dialFrontend()
			startedAt := time.Now()
			fmt.Fprintf(conn, "POST /short/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-1\r\nApi-Key: k1\r\n%s", text)
			require.NoError(t, conn.SetReadDeadline(startedAt.Add(finalResponseLimit)))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusRequestTimeout, response.StatusCode)
			require.GreaterOrEqual(t, time.Since(startedAt), shortRouteTimeout, "time to the final response")
			require.True(t, response.Close, "Connection: close, because the rest of the body is no request")
			require.Empty(t, f.receivedRequests(), "requests at the backend")
		})
	}
}

// TestRouteTimeoutAfterResponseHeader checks the timeout for a backend that sends a response header but
// no byte of the body.
func TestRouteTimeoutAfterResponseHeader(t *testing.T) {
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerResponseSeal, "seal")
		w.WriteHeader(http.StatusOK)
		http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	startedAt := time.Now()
	response, _, err := f.post("/short/", "k1", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
	require.Less(t, time.Since(startedAt), finalResponseLimit, "time to the final response")
}

// TestReadDeadlineResetBetweenRequests checks that the read deadline for the body of one request does
// not end the next request on the connection.
func TestReadDeadlineResetBetweenRequests(t *testing.T) {
	release := make(chan struct{})
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/once/slow" {
			<-release
		}
		serveOK(w, r)
	})
	conn := f.dialFrontend()
	reader := bufio.NewReader(conn)
	post := func(path string) *http.Response {
		fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-1\r\nApi-Key: k1\r\nContent-Length: 4\r\n\r\nbody", path)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		return response
	}
	require.Equal(t, http.StatusOK, post("/short/").StatusCode)
	time.AfterFunc(2*shortRouteTimeout, func() { close(release) }) // after the deadline of the first request
	require.Equal(t, http.StatusOK, post("/once/slow").StatusCode)
}

// disconnectLimit bounds the time from a client's disconnect to the end of the work for it.
const disconnectLimit = 500 * time.Millisecond

// TestClientDisconnectReadingBody checks that a request whose client disconnects while its body is read
// is not forwarded.
func TestClientDisconnectReadingBody(t *testing.T) {
	f := newFixture(t, serveOK)
	conn := f.dialFrontend()
	fmt.Fprintf(conn, "POST /stream/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-1\r\nApi-Key: k1\r\nContent-Length: 100\r\n\r\nhalf")
	require.Eventually(t, func() bool { return f.proxy.counters.inFlight.Load() == 1 }, time.Second, time.Millisecond)
	conn.Close()
	require.Eventually(t, func() bool { return f.proxy.counters.inFlight.Load() == 0 }, disconnectLimit, time.Millisecond)
	require.Empty(t, f.receivedRequests(), "requests at the backend")
}

// TestRouteTimeoutBlockedClient checks that the response to a client that reads nothing ends at the
// route's timeout, and with it the backend's work.
func TestRouteTimeoutBlockedClient(t *testing.T) {
	cancelled := make(chan struct{})
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		defer close(cancelled)
		w.Header().Set(headerResponseSeal, "seal")
		for piece := make([]byte, 1<<20); ; {
			if _, err := w.Write(piece); err != nil {
				return
			}
		}
	})
	conn := f.dialFrontend()
	fmt.Fprintf(conn, "POST /short/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-1\r\nApi-Key: k1\r\nContent-Length: 0\r\n\r\n")
	select {
	case <-cancelled:
	case <-time.After(finalResponseLimit):
		require.Fail(t, "backend request not cancelled", "%v after its start", finalResponseLimit)
	}
	require.Eventually(t, func() bool { return f.proxy.endReasons.count(endReasonDeadlineExceeded) == 1 }, time.Second, time.Millisecond)
}

// TestRetrySharesDeadline checks that all attempts of a request get the same deadline.
func TestRetrySharesDeadline(t *testing.T) {
	const workTime, tolerance = 100 * time.Millisecond, 20 * time.Millisecond
	deadlines := make(chan time.Time, 2)
	abortLate := func(_ http.ResponseWriter, r *http.Request) {
		ms, _ := strconv.Atoi(r.Header.Get(headerDeadline))
		deadlines <- time.Now().Add(time.Duration(ms) * time.Millisecond)
		time.Sleep(workTime)
		panic(http.ErrAbortHandler)
	}
	f := newFixture(t, abortLate, abortLate)
	startedAt := time.Now()
	_, _, err := f.post("/stream/", "k1", "", headerDeadline, "1000")
	require.NoError(t, err)
	require.Len(t, deadlines, 2, "attempts")
	for range 2 {
		require.WithinRange(t, <-deadlines, startedAt.Add(time.Second-tolerance), startedAt.Add(time.Second+tolerance))
	}
}
