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

// pausing is a backend that streams an event, stands still until it is released, and streams another.
type pausingBackend struct {
	released chan struct{}
	once     sync.Once
}

func newPausingBackend() *pausingBackend {
	return &pausingBackend{released: make(chan struct{})}
}

func (b *pausingBackend) serve(w http.ResponseWriter, _ *http.Request) {
	writeEvents(w, 1, 1, "", func() {})
	<-b.released
	io.WriteString(w, "id: 2\ndata: 2\n\n")
}

func (b *pausingBackend) release() { b.once.Do(func() { close(b.released) }) }

// eventTexts is the text of a stream's events.
func eventText(from, to int) (text string) {
	for i := from; i <= to; i++ {
		text += fmt.Sprintf("id: %d\ndata: %d\n\n", i, i)
	}
	return text
}

// open begins a request of a client and reads its answer up to the end of the first event.
func (r *fixture) openStream(path string) (rest *bufio.Reader, first string) {
	r.t.Helper()
	request, err := http.NewRequest(http.MethodPost, r.frontend.URL+path, nil)
	require.NoError(r.t, err)
	request.Host = "h"
	request.Header.Set(headerRequestID, "id-1")
	request.Header.Set(headerAPIKey, "k1")
	answer, err := http.DefaultClient.Do(request)
	require.NoError(r.t, err)
	r.t.Cleanup(func() { answer.Body.Close() })
	rest = bufio.NewReader(answer.Body)
	for !strings.HasSuffix(first, "\n\n") {
		line, err := rest.ReadString('\n')
		require.NoError(r.t, err)
		first += line
	}
	return rest, first
}

// TestASilentStreamGoesOnWhereNoOtherBackendMayTakeIt: an engine that has no memory left stops a stream for seconds and goes on with it.
// While nobody else may take the stream up, its answer is not ended for that.
func TestStalledStreamWithoutAlternative(t *testing.T) {
	backend := newPausingBackend()
	r := newFixture(t, backend.serve)
	t.Cleanup(backend.release)
	rest, first := r.openStream("/stream/x")
	r.proxy.handleOverdue(r.proxy.now() + 10*time.Second)
	for a := range r.proxy.attempts.active {
		require.NoError(t, a.ctx.Err(), "the attempt goes on")
	}
	backend.release()
	more, err := io.ReadAll(rest)
	require.NoError(t, err)
	require.Equal(t, eventText(1, 2), first+string(more))
}

// stage is a backend that does what it is told, step by step.
type scriptedBackend struct {
	firstEvent int // the event that it begins with
	steps      chan string
}

// serve streams an event for each "event", and ends as told: "whole", "broken" or "refused".
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

// permutations gives all orders of some steps.
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

// TestEveryOrderOfATakeover has a stream of four events stand still, and plays what either backend may do then in every order: each event
// reaches the client once and in its order, and the answer is whole unless the backend that goes on breaks off and no attempt is left.
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

// playTakeover plays one order of steps.
func runTakeoverOrder(t *testing.T, order []string) {
	t.Helper()
	stages := map[string]*scriptedBackend{"old": {1, make(chan string, 8)}, "new": {1, make(chan string, 8)}}
	var roles sync.Map // by the backend's identity
	serve := func(w http.ResponseWriter, r *http.Request) {
		role := "old"
		if r.Header.Get(headerLastEvent) != "" {
			role = "new"
		}
		roles.Store(r.Header.Get(headerExpectedInstance), role)
		stages[role].serve(w, r)
	}
	r := newFixture(t, serve, serve)
	stages["old"].steps <- "event"
	rest, text := r.openStream("/stream/x")
	r.proxy.handleOverdue(r.proxy.now() + 10*time.Second)
	for _, step := range order {
		role, what, _ := strings.Cut(step, " ")
		stages[role].steps <- what
	}
	more, err := io.ReadAll(rest)
	text += string(more)
	require.True(t, strings.HasPrefix(eventText(1, 4), text), "%v: %q", order, text)
	if err == nil {
		require.Equal(t, eventText(1, 4), text, "%v", order)
		return
	}
	broke, spoke := slices.Index(order, "old broken"), slices.Index(order, "old event")
	oldBroke := broke >= 0
	usedUp := oldBroke && spoke >= 0 && spoke < broke // the other backend was given up for it, and there is no third attempt
	newFailed := slices.Contains(order, "new refused") || slices.Contains(order, "new broken")
	require.True(t, oldBroke && newFailed || usedUp || slices.Contains(order, "new broken") && slices.Contains(order, "new event"), "%v: %v", order, err)
}

// TestARequestThatWaitsAtASilentBackend: before its answer has begun it goes to another backend if there is one, and else stays where it is.
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
		r := newFixture(t, backends...)
		got := make(chan string, 1)
		go func() {
			_, text, _ := r.post("/stream/x", "k1", "")
			got <- text
		}()
		<-arrived
		r.proxy.handleOverdue(r.proxy.now() + 10*time.Second)
		if others == 0 {
			old.steps <- "whole"
		}
		require.Equal(t, eventText(1, 4), <-got)
		require.Len(t, r.receivedRequests(), 1+others)
	}
}

// blockedClient takes no bytes until it is released.
type blockingWriter struct {
	http.ResponseWriter
	writing, released chan struct{}
}

func (c *blockingWriter) Write(bytes []byte) (int, error) {
	close(c.writing)
	<-c.released
	return len(bytes), nil
}

// TestASlowClientDoesNotHoldUpTheWatch: while an answer's bytes wait for their client, the watch over all attempts goes on.
func TestSlowClientDoesNotBlockMonitor(t *testing.T) {
	r := newFixture(t, serveOK)
	move := newStreamTakeover(t.Context(), r.proxy, &attempt{retryable: true}, &eventFilter{})
	recorder := httptest.NewRecorder()
	client := &blockingWriter{recorder, make(chan struct{}), make(chan struct{})}
	passed := make(chan error, 1)
	go func() {
		passed <- move.forwardBytes([]byte(eventText(1, 1)), client, http.NewResponseController(recorder))
	}()
	<-client.writing
	move.start(endReasonBackendStalled) // would wait for the client
	require.Nil(t, move.tryDone)
	close(client.released)
	require.NoError(t, <-passed)
}

// TestAnAnswerThatBeginsAsItsAttemptIsTakenBackIsNotCut: the first event comes between the watch's finding and its deed.
func TestResponseStartDuringCancellation(t *testing.T) {
	for _, path := range []string{"/cut/x", "/stream/x"} {
		arrived, backend := make(chan struct{}), &scriptedBackend{1, make(chan string, 8)}
		r := newFixture(t, func(w http.ResponseWriter, request *http.Request) {
			close(arrived)
			backend.serve(w, request)
		})
		answers := make(chan *bufio.Reader, 1)
		firsts := make(chan string, 1)
		go func() {
			rest, first := r.openStream(path)
			answers <- rest
			firsts <- first
		}()
		<-arrived
		r.proxy.attempts.backendRemoved("i-0")
		found := r.proxy.findOverdue(r.proxy.now() + 10*time.Second)
		require.Len(t, found.toCancel, 1)
		backend.steps <- "event"
		rest, first := <-answers, <-firsts
		r.proxy.resolveOverdue(found)
		backend.steps <- "whole"
		more, err := io.ReadAll(rest)
		require.NoError(t, err, path)
		require.Equal(t, eventText(1, 4), first+string(more), path)
	}
}
