package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pausingBackend streams an event, pauses until it is released, and streams another event.
type pausingBackend struct {
	released chan struct{}
	once     sync.Once
}

func newPausingBackend() *pausingBackend {
	return &pausingBackend{released: make(chan struct{})}
}

// serve handles a request.
func (b *pausingBackend) serve(w http.ResponseWriter, _ *http.Request) {
	writeEvents(w, 1, 1, "", func() {})
	<-b.released
	io.WriteString(w, "id: 2\ndata: 2\n\n")
}

// release ends the pause; further calls do nothing.
func (b *pausingBackend) release() { b.once.Do(func() { close(b.released) }) }

// eventText returns the text that writeEvents streams for the events from to to.
func eventText(from, to int) (text string) {
	for i := from; i <= to; i++ {
		text += fmt.Sprintf("id: %d\ndata: %d\n\n", i, i)
	}
	return text
}

// openStream sends a request and reads its response up to the end of the first event.
func (f *fixture) openStream(path string) (rest *bufio.Reader, first string) {
	f.t.Helper()
	request, err := http.NewRequest(http.MethodPost, f.frontend.URL+path, nil)
	require.NoError(f.t, err)
	request.Host = "h"
	request.Header.Set(headerRequestID, "id-1")
	request.Header.Set(headerAPIKey, "k1")
	response, err := http.DefaultClient.Do(request)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { response.Body.Close() })
	rest = bufio.NewReader(response.Body)
	for !strings.HasSuffix(first, "\n\n") {
		line, err := rest.ReadString('\n')
		require.NoError(f.t, err)
		first += line
	}
	return rest, first
}

// TestStalledStreamWithoutAlternative checks that a stalled stream is not aborted if no other backend
// may resume it: an engine that runs out of memory stops a stream for seconds and then continues it.
func TestStalledStreamWithoutAlternative(t *testing.T) {
	backend := newPausingBackend()
	f := newFixture(t, backend.serve)
	t.Cleanup(backend.release)
	rest, first := f.openStream("/stream/x")
	f.proxy.handleOverdue(f.proxy.now() + 10*time.Second)
	for a := range f.proxy.attempts.active {
		require.NoError(t, a.ctx.Err(), "context of the attempt")
	}
	backend.release()
	more, err := io.ReadAll(rest)
	require.NoError(t, err)
	require.Equal(t, eventText(1, 2), first+string(more))
}

// scriptedBackend performs the steps that it receives.
type scriptedBackend struct {
	firstEvent int // number of the first event to stream
	steps      chan string
}

// serve streams an event for each "event", and ends the response on "whole", "broken" or "refused".
func (b *scriptedBackend) serve(w http.ResponseWriter, r *http.Request) {
	next := b.firstEvent
	if last, err := strconv.Atoi(r.Header.Get(headerLastEvent)); err == nil {
		next = last + 1
	}
	for {
		select {
		case step := <-b.steps:
			switch step {
			case "event":
				writeEvents(w, next, next, "", func() {})
				next++
			case "whole":
				if next <= 4 {
					writeEvents(w, next, 4, "", func() {})
				}
				return
			case "broken":
				panic(http.ErrAbortHandler)
			case "refused":
				serveNotExecuted(w, r)
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// permutations returns all orders of the steps.
func permutations(steps []string) (orders [][]string) {
	if len(steps) == 0 {
		return [][]string{nil}
	}
	for i, step := range steps {
		rest := append(slices.Clone(steps[:i]), steps[i+1:]...)
		for _, order := range permutations(rest) {
			orders = append(orders, append([]string{step}, order...))
		}
	}
	return orders
}

// TestTakeoverOrders stalls a stream of four events and then runs the possible steps of both backends
// in every order. Each event must reach the client once and in order. The response must be complete
// unless the backend that continues it breaks off and no attempt is left.
func TestTakeoverOrders(t *testing.T) {
	sets := [][]string{
		{"old event", "old whole", "new event", "new whole"},
		{"old event", "old broken", "new event", "new whole"},
		{"old event", "old whole", "new refused"},
		{"old event", "old broken", "new refused"},
		{"old event", "old whole", "new event", "new broken"},
		{"old event", "old whole", "new broken"},
	}
	for _, set := range sets {
		for _, order := range permutations(set) {
			runTakeoverOrder(t, order)
		}
	}
}

// runTakeoverOrder runs one order of steps.
func runTakeoverOrder(t *testing.T, order []string) {
	t.Helper()
	backends := map[string]*scriptedBackend{"old": {1, make(chan string, 8)}, "new": {1, make(chan string, 8)}}
	var roles sync.Map // by backend ID
	serve := func(w http.ResponseWriter, r *http.Request) {
		role := "old"
		if r.Header.Get(headerLastEvent) != "" {
			role = "new"
		}
		roles.Store(r.Header.Get(headerExpectedInstance), role)
		backends[role].serve(w, r)
	}
	f := newFixture(t, serve, serve)
	backends["old"].steps <- "event"
	rest, text := f.openStream("/stream/x")
	f.proxy.handleOverdue(f.proxy.now() + 10*time.Second)
	for _, step := range order {
		role, action, _ := strings.Cut(step, " ")
		backends[role].steps <- action
	}
	more, err := io.ReadAll(rest)
	text += string(more)
	require.True(t, strings.HasPrefix(eventText(1, 4), text), "order %v: got %q, want a prefix of %q", order, text, eventText(1, 4))
	if err == nil {
		require.Equal(t, eventText(1, 4), text, "complete response, order %v", order)
		return
	}
	breakIndex, eventIndex := slices.Index(order, "old broken"), slices.Index(order, "old event")
	oldBroke := breakIndex >= 0
	// The old backend's event ended the takeover, which has used up the second and last attempt.
	attemptsUsedUp := oldBroke && eventIndex >= 0 && eventIndex < breakIndex
	newFailed := slices.Contains(order, "new refused") || slices.Contains(order, "new broken")
	require.True(t, oldBroke && newFailed || attemptsUsedUp || slices.Contains(order, "new broken") && slices.Contains(order, "new event"),
		"order %v: got error %v, want a complete response", order, err)
}

// TestRequestAtStalledBackend checks that a request whose response has not started moves from a stalled
// backend to another one if there is one, and otherwise stays.
func TestRequestAtStalledBackend(t *testing.T) {
	for others := range 2 {
		old, arrived := &scriptedBackend{1, make(chan string, 8)}, make(chan struct{}, 2)
		var once sync.Once
		serve := func(w http.ResponseWriter, r *http.Request) {
			first := false
			once.Do(func() { first = true })
			if !first {
				writeEvents(w, 1, 4, "", func() {})
				return
			}
			arrived <- struct{}{}
			old.serve(w, r)
		}
		backends := []http.HandlerFunc{serve, serve}[:1+others]
		f := newFixture(t, backends...)
		got := make(chan string, 1)
		go func() {
			_, text, _ := f.post("/stream/x", "k1", "")
			got <- text
		}()
		<-arrived
		f.proxy.handleOverdue(f.proxy.now() + 10*time.Second)
		if others == 0 {
			old.steps <- "whole"
		}
		require.Equal(t, eventText(1, 4), <-got)
		require.Len(t, f.receivedRequests(), 1+others)
	}
}

// blockingWriter blocks every write until it is released.
type blockingWriter struct {
	http.ResponseWriter
	writing, released chan struct{}
}

// Write blocks until the writer is released.
func (c *blockingWriter) Write(bytes []byte) (int, error) {
	close(c.writing)
	<-c.released
	return len(bytes), nil
}

// TestSlowClientDoesNotBlockMonitor checks that the monitor of all attempts does not wait for a write
// to a slow client.
func TestSlowClientDoesNotBlockMonitor(t *testing.T) {
	f := newFixture(t, serveOK)
	takeover := newStreamTakeover(t.Context(), f.proxy, &attempt{retryable: true}, &eventFilter{})
	recorder := httptest.NewRecorder()
	client := &blockingWriter{recorder, make(chan struct{}), make(chan struct{})}
	written := make(chan error, 1)
	go func() {
		written <- takeover.forwardBytes([]byte(eventText(1, 1)), client, http.NewResponseController(recorder))
	}()
	<-client.writing
	takeover.start(endReasonBackendStalled) // must not wait for the client
	require.Nil(t, takeover.tryDone, "running try")
	close(client.released)
	require.NoError(t, <-written)
}

// TestResponseStartDuringCancellation checks that a response is not aborted if its first event arrives
// after the attempt was found overdue and before it is cancelled.
func TestResponseStartDuringCancellation(t *testing.T) {
	for _, path := range []string{"/cut/x", "/stream/x"} {
		arrived, backend := make(chan struct{}), &scriptedBackend{1, make(chan string, 8)}
		f := newFixture(t, func(w http.ResponseWriter, request *http.Request) {
			close(arrived)
			backend.serve(w, request)
		})
		bodies := make(chan *bufio.Reader, 1)
		firsts := make(chan string, 1)
		go func() {
			rest, first := f.openStream(path)
			bodies <- rest
			firsts <- first
		}()
		<-arrived
		f.proxy.attempts.backendRemoved("i-0")
		found := f.proxy.findOverdue(f.proxy.now() + 10*time.Second)
		require.Len(t, found.toCancel, 1)
		backend.steps <- "event"
		rest, first := <-bodies, <-firsts
		f.proxy.resolveOverdue(found)
		backend.steps <- "whole"
		more, err := io.ReadAll(rest)
		require.NoError(t, err, path)
		require.Equal(t, eventText(1, 4), first+string(more), path)
	}
}
