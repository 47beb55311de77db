package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAClientLeavesBehindAPipelinedRequest: its close is seen though bytes that wait to be read lie before it.
func TestClientDisconnectAfterPipelinedRequest(t *testing.T) {
	for _, path := range []string{"/stream/", "/open/"} {
		begun, dropped := make(chan struct{}), make(chan struct{})
		r := newFixture(t, func(_ http.ResponseWriter, q *http.Request) {
			close(begun)
			<-q.Context().Done()
			close(dropped)
		})
		conn := r.dialFrontend()
		send := func(id string) {
			fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nApi-Key: k1\r\nContent-Length: 4\r\n\r\nbody", path, id)
		}
		send("one")
		<-begun
		send("two")
		conn.Close()
		select {
		case <-dropped:
		case <-time.After(disconnectLimit):
			require.Fail(t, "the backend is still at work", path)
		}
		require.Len(t, r.receivedRequests(), 1, path)
	}
}

// TestRequestsReadAheadAreServed: further requests come in pieces of any size while one runs, and each gets its answer in order.
func TestReadAhead(t *testing.T) {
	for _, size := range []int{3000, 2 * maxReadAheadBytes} {
		for _, pieces := range []int{1, 2, 7, 1000} {
			runReadAhead(t, size, pieces)
		}
	}
}

// playReadAhead sends two requests with bodies of a size, in a number of pieces, while another one runs.
func runReadAhead(t *testing.T, body, pieces int) {
	t.Helper()
	text := ""
	for _, id := range []string{"two", "three"} {
		text += fmt.Sprintf("POST /once/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nApi-Key: k1\r\nContent-Length: %d\r\n\r\n%s", id, body, strings.Repeat("x", body))
	}
	begun, release := make(chan struct{}, 3), make(chan struct{}, 3)
	r := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		begun <- struct{}{}
		<-release
		w.Header().Set(headerResponseSeal, "seal")
		io.WriteString(w, "done")
	})
	r.setMaxBodyBytes(int64(body))
	conn := r.dialFrontend()
	reader := bufio.NewReader(conn)
	fmt.Fprintf(conn, "POST /once/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: one\r\nApi-Key: k1\r\nContent-Length: 0\r\n\r\n")
	<-begun
	size := (len(text) + pieces - 1) / pieces
	go func() {
		for rest := text; rest != ""; {
			n := min(size, len(rest))
			io.WriteString(conn, rest[:n])
			rest = rest[n:]
		}
	}()
	for i, id := range []string{"one", "two", "three"} {
		if i > 0 {
			<-begun
		}
		release <- struct{}{}
		answer, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		got, err := io.ReadAll(answer.Body)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, answer.StatusCode)
		require.Equal(t, "done", string(got))
		require.Equal(t, id, answer.Header.Get(headerRequestID))
	}
	for _, seen := range r.receivedRequests()[1:] {
		sent, err := io.ReadAll(seen.Body)
		require.NoError(t, err)
		require.Equal(t, strings.Repeat("x", body), string(sent))
	}
}

// takeBodiesUpTo raises the limit of bodies.
func (r *fixture) setMaxBodyBytes(size int64) {
	table := *r.proxy.config.Load()
	table.Limits.MaxBodyBytes = size
	r.proxy.config.Store(&table)
}
