package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/distribute"
	"nettlefold/internal/feed"
	"nettlefold/internal/memlimit"
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

// TestBodiesOfRequestsShareOneMemory: requests whose bodies find no memory are told to come again and reach no backend;
// what the others took is returned.
func TestBodiesOfRequestsShareOneMemory(t *testing.T) {
	const bodyBytes = 100 << 10
	release := make(chan struct{})
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		serveOK(w, r)
	})
	var released sync.Once
	letGo := func() { released.Do(func() { close(release) }) }
	defer letGo()
	f.proxy.memory = memlimit.New(768 << 10) // two bodies in rooms of 128 KiB, twice each, and no third one
	configuration := strings.Replace(testConfig, `"max_body_bytes":1000`, `"max_body_bytes":1000000`, 1)
	f.proxy.execute(func() {
		f.proxy.applyReply(f.proxy.now(), &feed.Reply{AgentID: "a1", Snapshot: &distribute.Snapshot{Seq: 2, ConfigSeq: 2, Config: []byte(configuration)}})
	})
	first := make(chan int, 2)
	for range 2 {
		go func() {
			response, _, err := f.post("/once/x", "k1", strings.Repeat("x", bodyBytes))
			if err != nil {
				first <- 0
				return
			}
			first <- response.StatusCode
		}()
	}
	require.Eventually(t, func() bool { return len(f.receivedRequests()) == 2 }, 2*time.Second, time.Millisecond)
	response, _, err := f.post("/once/x", "k1", strings.Repeat("x", bodyBytes))
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get(headerRetryAfter))
	require.Len(t, f.receivedRequests(), 2)
	letGo()
	require.Equal(t, http.StatusOK, <-first)
	require.Equal(t, http.StatusOK, <-first)
	require.Eventually(t, func() bool { return f.proxy.memory.Used() == 0 }, 2*time.Second, time.Millisecond)
	require.Equal(t, 1.0, f.metric("proxy_peer_memory_exhausted_total"))
}

// TestEventsWithoutMemoryAreForwardedInPieces: an event for whose buffer there is no memory is forwarded as it comes, like
// one that is too long, and the bytes stay the same.
func TestEventsWithoutMemoryAreForwardedInPieces(t *testing.T) {
	event := "id: 1\ndata: " + strings.Repeat("x", 50000) + "\n\n"
	for limit, resumable := range map[int64]bool{100: false, 1 << 20: true} {
		memory := memlimit.New(limit)
		events := newEventFilter("", memory)
		var got []byte
		for _, part := range []string{event[:20000], event[20000:40000]} {
			out, err := events.filter([]byte(part))
			require.NoError(t, err)
			got = append(got, out...)
		}
		require.Equal(t, resumable, events.resumable())
		out, err := events.filter([]byte(event[40000:]))
		require.NoError(t, err)
		require.Equal(t, event, string(append(got, out...)))
		events.close()
		require.Zero(t, memory.Used())
	}
}

// TestHeldEventsWithoutMemoryEndTheStream: a run that resumes a stream and sends events without an ID is cut once there is
// no memory to hold them, and nothing of them is forwarded.
func TestHeldEventsWithoutMemoryEndTheStream(t *testing.T) {
	memory := memlimit.New(64 << 10)
	events := newEventFilter("", memory)
	_, err := events.filter([]byte("id: 1\ndata: a\n\n"))
	require.NoError(t, err)
	events.startRun()
	for err == nil {
		var out []byte
		out, err = events.filter([]byte("data: " + strings.Repeat("x", 1000) + "\n\n"))
		require.Empty(t, out)
	}
	require.ErrorIs(t, err, memlimit.ErrExhausted)
	events.close()
	require.Zero(t, memory.Used())
}
