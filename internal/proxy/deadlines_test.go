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

// finalAnswerLimit is when a request on the route /short/ must have its final answer at the latest.
const finalResponseLimit = shortRouteTimeout + 500*time.Millisecond

// TestWorkOfAClientThatHasGoneIsDropped: when a client closes its connection the backend's is closed too, and nobody else gets the request.
func TestClientDisconnectCancelsAttempt(t *testing.T) {
	for _, path := range []string{"/stream/", "/open/", "/once/"} {
		begun, dropped := make(chan struct{}), make(chan struct{})
		serve := func(_ http.ResponseWriter, r *http.Request) {
			close(begun)
			<-r.Context().Done()
			close(dropped)
		}
		r := newFixture(t, serve, serve)
		ctx, leave := context.WithCancel(context.Background())
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, r.frontend.URL+path, strings.NewReader("x"))
		require.NoError(t, err)
		request.Host = "h"
		request.Header.Set(headerRequestID, "id-1")
		request.Header.Set(headerAPIKey, "k1")
		ended := make(chan error, 1)
		go func() {
			_, err := http.DefaultClient.Do(request)
			ended <- err
		}()
		<-begun
		leave()
		require.Error(t, <-ended)
		<-dropped
		require.Len(t, r.receivedRequests(), 1, path)
	}
}

// TestTheRoutesTimeIsKept: a request that is not answered within its route's time gets its final answer then, also if its client would wait
// for longer, and the backend is handed no more time than that.
func TestRouteTimeout(t *testing.T) {
	handed := make(chan string, 1)
	r := newFixture(t, func(_ http.ResponseWriter, q *http.Request) {
		handed <- q.Header.Get(headerDeadline)
		<-q.Context().Done()
	})
	began := time.Now()
	answer, _, err := r.post("/short/", "k1", "", headerDeadline, "60000")
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, answer.StatusCode)
	require.GreaterOrEqual(t, time.Since(began), shortRouteTimeout)
	ms, err := strconv.Atoi(<-handed)
	require.NoError(t, err)
	require.LessOrEqual(t, int64(ms), shortRouteTimeout.Milliseconds())
}

// TestWithoutAConfigurationNothingIsDenied: a mixer that knows no configuration yet promises that the request has not run, and is not ready.
func TestNoConfiguration(t *testing.T) {
	p := New(&local.Settings{IP: "10.0.0.1", FirstPort: 7340}, zerolog.Nop())
	front := httptest.NewServer(http.HandlerFunc(p.serve))
	defer front.Close()
	answer, err := http.Get(front.URL + "/any/")
	require.NoError(t, err)
	answer.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, answer.StatusCode)
	require.NotEmpty(t, answer.Header.Get(headerRetryAfter))
}

// dialFront opens a client's connection.
func (r *fixture) dialFrontend() net.Conn {
	r.t.Helper()
	conn, err := net.Dial("tcp", r.frontend.Listener.Addr().String())
	require.NoError(r.t, err)
	r.t.Cleanup(func() { conn.Close() })
	return conn
}

// TestTheRoutesTimeIsKeptWhileABodyIsRead: a client that sends its body too slowly, with a length or in chunks, gets its final answer at its
// route's time: that the request has not run.
func TestRouteTimeoutReadingBody(t *testing.T) {
	for name, text := range map[string]string{
		"with a length": "Content-Length: 100\r\n\r\nhalf",
		"in chunks":     "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"not begun":     "Content-Length: 100\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t, serveOK)
			conn := r.dialFrontend()
			began := time.Now()
			fmt.Fprintf(conn, "POST /short/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-1\r\nApi-Key: k1\r\n%s", text)
			require.NoError(t, conn.SetReadDeadline(began.Add(finalResponseLimit)))
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusRequestTimeout, answer.StatusCode)
			require.GreaterOrEqual(t, time.Since(began), shortRouteTimeout)
			require.True(t, answer.Close, "what is left of the body is no request")
			require.Empty(t, r.receivedRequests())
		})
	}
}

// TestTheRoutesTimeIsKeptBehindAHead: a backend sends the head of its answer in time and no byte of its body.
func TestRouteTimeoutAfterResponseHeader(t *testing.T) {
	r := newFixture(t, func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set(headerResponseSeal, "seal")
		w.WriteHeader(http.StatusOK)
		http.NewResponseController(w).Flush()
		<-q.Context().Done()
	})
	began := time.Now()
	answer, _, err := r.post("/short/", "k1", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, answer.StatusCode)
	require.Less(t, time.Since(began), finalResponseLimit)
}

// TestAConnectionServesOnBehindABody: the time for reading one request's body does not end the connection's next request.
func TestReadDeadlineResetBetweenRequests(t *testing.T) {
	release := make(chan struct{})
	r := newFixture(t, func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/once/slow" {
			<-release
		}
		serveOK(w, q)
	})
	conn := r.dialFrontend()
	reader := bufio.NewReader(conn)
	ask := func(path string) *http.Response {
		fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-1\r\nApi-Key: k1\r\nContent-Length: 4\r\n\r\nbody", path)
		answer, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, answer.Body)
		require.NoError(t, err)
		return answer
	}
	require.Equal(t, http.StatusOK, ask("/short/").StatusCode)
	time.AfterFunc(2*shortRouteTimeout, func() { close(release) }) // the first one's time is over then
	require.Equal(t, http.StatusOK, ask("/once/slow").StatusCode)
}

// goneLimit is within what time work for a client that has left must end.
const disconnectLimit = 500 * time.Millisecond

// TestAClientLeavesWhileItsBodyIsRead: nothing is sent on for it.
func TestClientDisconnectReadingBody(t *testing.T) {
	r := newFixture(t, serveOK)
	conn := r.dialFrontend()
	fmt.Fprintf(conn, "POST /stream/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-1\r\nApi-Key: k1\r\nContent-Length: 100\r\n\r\nhalf")
	require.Eventually(t, func() bool { return r.proxy.counters.inFlight.Load() == 1 }, time.Second, time.Millisecond)
	conn.Close()
	require.Eventually(t, func() bool { return r.proxy.counters.inFlight.Load() == 0 }, disconnectLimit, time.Millisecond)
	require.Empty(t, r.receivedRequests())
}

// TestTheRoutesTimeIsKeptForAClientThatTakesNoBytes: its answer ends at the route's time, and so does the backend's work.
func TestRouteTimeoutBlockedClient(t *testing.T) {
	dropped := make(chan struct{})
	r := newFixture(t, func(w http.ResponseWriter, q *http.Request) {
		defer close(dropped)
		w.Header().Set(headerResponseSeal, "seal")
		for piece := make([]byte, 1<<20); ; {
			if _, err := w.Write(piece); err != nil {
				return
			}
		}
	})
	conn := r.dialFrontend()
	fmt.Fprintf(conn, "POST /short/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-1\r\nApi-Key: k1\r\nContent-Length: 0\r\n\r\n")
	select {
	case <-dropped:
	case <-time.After(finalResponseLimit):
		require.Fail(t, "the backend is still at work")
	}
	require.Eventually(t, func() bool { return r.proxy.endReasons.count(endReasonDeadlineExceeded) == 1 }, time.Second, time.Millisecond)
}

// TestARepeatEndsNoLaterThanTheFirst: each backend that a request is sent to is handed what is left of one and the same time.
func TestRetrySharesDeadline(t *testing.T) {
	const works, slack = 100 * time.Millisecond, 20 * time.Millisecond
	ends := make(chan time.Time, 2)
	breaksOffLate := func(_ http.ResponseWriter, q *http.Request) {
		ms, _ := strconv.Atoi(q.Header.Get(headerDeadline))
		ends <- time.Now().Add(time.Duration(ms) * time.Millisecond)
		time.Sleep(works)
		panic(http.ErrAbortHandler)
	}
	r := newFixture(t, breaksOffLate, breaksOffLate)
	asked := time.Now()
	_, _, err := r.post("/stream/", "k1", "", headerDeadline, "1000")
	require.NoError(t, err)
	require.Len(t, ends, 2)
	for range 2 {
		require.WithinRange(t, <-ends, asked.Add(time.Second-slack), asked.Add(time.Second+slack))
	}
}
