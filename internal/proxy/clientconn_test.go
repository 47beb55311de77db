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

// TestClientDisconnectAfterPipelinedRequest checks that a disconnect cancels the running request even
// if the bytes of a pipelined request were sent before it.
func TestClientDisconnectAfterPipelinedRequest(t *testing.T) {
	for _, path := range []string{"/stream/", "/open/"} {
		started, cancelled := make(chan struct{}), make(chan struct{})
		f := newFixture(t, func(_ http.ResponseWriter, r *http.Request) {
			close(started)
			<-r.Context().Done()
			close(cancelled)
		})
		conn := f.dialFrontend()
		send := func(id string) {
			fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nApi-Key: k1\r\nContent-Length: 4\r\n\r\nbody", path, id)
		}
		send("one")
		<-started
		send("two")
		conn.Close()
		select {
		case <-cancelled:
		case <-time.After(disconnectLimit):
			require.Fail(t, "backend request not cancelled", "path %s, %v after the disconnect", path, disconnectLimit)
		}
		require.Len(t, f.receivedRequests(), 1, "requests at the backends for %s", path)
	}
}

// TestReadAhead checks that pipelined requests that arrive in pieces of any size during a request are
// answered in order.
func TestReadAhead(t *testing.T) {
	for _, size := range []int{3000, 2 * maxReadAheadBytes} {
		for _, pieces := range []int{1, 2, 7, 1000} {
			runReadAhead(t, size, pieces)
		}
	}
}

// runReadAhead sends two requests with bodies of a size, in a number of pieces, while another one runs.
func runReadAhead(t *testing.T, bodyBytes, pieces int) {
	t.Helper()
	text := ""
	for _, id := range []string{"two", "three"} {
		text += fmt.Sprintf("POST /once/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nApi-Key: k1\r\nContent-Length: %d\r\n\r\n%s", id, bodyBytes, strings.Repeat("x", bodyBytes))
	}
	started, release := make(chan struct{}, 3), make(chan struct{}, 3)
	f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		started <- struct{}{}
		<-release
		w.Header().Set(headerResponseSeal, "seal")
		io.WriteString(w, "done")
	})
	f.setMaxBodyBytes(int64(bodyBytes))
	conn := f.dialFrontend()
	reader := bufio.NewReader(conn)
	fmt.Fprintf(conn, "POST /once/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: one\r\nApi-Key: k1\r\nContent-Length: 0\r\n\r\n")
	<-started
	pieceBytes := (len(text) + pieces - 1) / pieces
	go func() {
		for rest := text; rest != ""; {
			n := min(pieceBytes, len(rest))
			io.WriteString(conn, rest[:n])
			rest = rest[n:]
		}
	}()
	for i, id := range []string{"one", "two", "three"} {
		if i > 0 {
			<-started
		}
		release <- struct{}{}
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		got, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, "done", string(got))
		require.Equal(t, id, response.Header.Get(headerRequestID))
	}
	for _, received := range f.receivedRequests()[1:] {
		body, err := io.ReadAll(received.Body)
		require.NoError(t, err)
		require.Equal(t, strings.Repeat("x", bodyBytes), string(body))
	}
}

// setMaxBodyBytes sets the limit of request bodies.
func (f *fixture) setMaxBodyBytes(maxBytes int64) {
	table := *f.proxy.config.Load()
	table.Limits.MaxBodyBytes = maxBytes
	f.proxy.config.Store(&table)
}
