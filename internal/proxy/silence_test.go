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
type pausing struct {
	released chan struct{}
	once     sync.Once
}

func newPausing() *pausing {
	return &pausing{released: make(chan struct{})}
}

func (b *pausing) serve(w http.ResponseWriter, _ *http.Request) {
	events(w, 1, 1, "", func() {})
	<-b.released
	io.WriteString(w, "id: 2\ndata: 2\n\n")
}

func (b *pausing) release() { b.once.Do(func() { close(b.released) }) }

// eventTexts is the text of a stream's events.
func eventTexts(from, to int) (text string) {
	for i := from; i <= to; i++ {
		text += fmt.Sprintf("id: %d\ndata: %d\n\n", i, i)
	}
	return text
}

// open begins a request of a client and reads its answer up to the end of the first event.
func (r *rig) open(path string) (rest *bufio.Reader, first string) {
	r.t.Helper()
	request, err := http.NewRequest(http.MethodPost, r.front.URL+path, nil)
	require.NoError(r.t, err)
	request.Host = "h"
	request.Header.Set(headerRequestID, "id-1")
	request.Header.Set(headerKey, "k1")
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
func TestASilentStreamGoesOnWhereNoOtherBackendMayTakeIt(t *testing.T) {
	backend := newPausing()
	r := newRig(t, backend.serve)
	t.Cleanup(backend.release)
	rest, first := r.open("/stream/x")
	r.proxy.endOverdue(r.proxy.now() + 10*time.Second)
	for a := range r.proxy.attempts.open {
		require.NoError(t, a.ctx.Err(), "the attempt goes on")
	}
	backend.release()
	more, err := io.ReadAll(rest)
	require.NoError(t, err)
	require.Equal(t, eventTexts(1, 2), first+string(more))
}

// stage is a backend that does what it is told, step by step.
type stage struct {
	first int // the event that it begins with
	steps chan string
}

// serve streams an event for each "event", and ends as told: "whole", "broken" or "refused".
func (b *stage) serve(w http.ResponseWriter, r *http.Request) {
	next := b.first
	if last, err := strconv.Atoi(r.Header.Get(headerLastEvent)); err == nil {
		next = last + 1
	}
	for {
		select {
		case step := <-b.steps:
			switch step {
			case "event":
				events(w, next, next, "", func() {})
				next++
			case "whole":
				if next <= 4 {
					events(w, next, 4, "", func() {})
				}
				return
			case "broken":
				panic(http.ErrAbortHandler)
			case "refused":
				notExecuted(w, r)
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
func TestEveryOrderOfATakeover(t *testing.T) {
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
			playTakeover(t, order)
		}
	}
}

// playTakeover plays one order of steps.
func playTakeover(t *testing.T, order []string) {
	t.Helper()
	stages := map[string]*stage{"old": {1, make(chan string, 8)}, "new": {1, make(chan string, 8)}}
	var roles sync.Map // by the backend's identity
	serve := func(w http.ResponseWriter, r *http.Request) {
		role := "old"
		if r.Header.Get(headerLastEvent) != "" {
			role = "new"
		}
		roles.Store(r.Header.Get(headerExpected), role)
		stages[role].serve(w, r)
	}
	r := newRig(t, serve, serve)
	stages["old"].steps <- "event"
	rest, text := r.open("/stream/x")
	r.proxy.endOverdue(r.proxy.now() + 10*time.Second)
	for _, step := range order {
		role, what, _ := strings.Cut(step, " ")
		stages[role].steps <- what
	}
	more, err := io.ReadAll(rest)
	text += string(more)
	require.True(t, strings.HasPrefix(eventTexts(1, 4), text), "%v: %q", order, text)
	if err == nil {
		require.Equal(t, eventTexts(1, 4), text, "%v", order)
		return
	}
	broke, spoke := slices.Index(order, "old broken"), slices.Index(order, "old event")
	oldBroke := broke >= 0
	usedUp := oldBroke && spoke >= 0 && spoke < broke // the other backend was given up for it, and there is no third attempt
	newFailed := slices.Contains(order, "new refused") || slices.Contains(order, "new broken")
	require.True(t, oldBroke && newFailed || usedUp || slices.Contains(order, "new broken") && slices.Contains(order, "new event"), "%v: %v", order, err)
}

// TestARequestThatWaitsAtASilentBackend: before its answer has begun it goes to another backend if there is one, and else stays where it is.
func TestARequestThatWaitsAtASilentBackend(t *testing.T) {
	for others := range 2 {
		old, arrived := &stage{1, make(chan string, 8)}, make(chan struct{}, 2)
		var once sync.Once
		serve := func(w http.ResponseWriter, r *http.Request) {
			first := false
			once.Do(func() { first = true })
			if !first {
				events(w, 1, 4, "", func() {})
				return
			}
			arrived <- struct{}{}
			old.serve(w, r)
		}
		backends := []http.HandlerFunc{serve, serve}[:1+others]
		r := newRig(t, backends...)
		got := make(chan string, 1)
		go func() {
			_, text, _ := r.ask("/stream/x", "k1", "")
			got <- text
		}()
		<-arrived
		r.proxy.endOverdue(r.proxy.now() + 10*time.Second)
		if others == 0 {
			old.steps <- "whole"
		}
		require.Equal(t, eventTexts(1, 4), <-got)
		require.Len(t, r.requests(), 1+others)
	}
}

// blockedClient takes no bytes until it is released.
type blockedClient struct {
	http.ResponseWriter
	writing, released chan struct{}
}

func (c *blockedClient) Write(bytes []byte) (int, error) {
	close(c.writing)
	<-c.released
	return len(bytes), nil
}

// TestASlowClientDoesNotHoldUpTheWatch: while an answer's bytes wait for their client, the watch over all attempts goes on.
func TestASlowClientDoesNotHoldUpTheWatch(t *testing.T) {
	r := newRig(t, ok)
	move := newTakeover(t.Context(), r.proxy, &attempt{mayMove: true}, &eventReader{})
	recorder := httptest.NewRecorder()
	client := &blockedClient{recorder, make(chan struct{}), make(chan struct{})}
	passed := make(chan error, 1)
	go func() { passed <- move.passOn([]byte(eventTexts(1, 1)), client, http.NewResponseController(recorder)) }()
	<-client.writing
	move.start(endingBackendSilent) // would wait for the client
	require.Nil(t, move.running)
	close(client.released)
	require.NoError(t, <-passed)
}

// TestAnAnswerThatBeginsAsItsAttemptIsTakenBackIsNotCut: the first event comes between the watch's finding and its deed.
func TestAnAnswerThatBeginsAsItsAttemptIsTakenBackIsNotCut(t *testing.T) {
	for _, path := range []string{"/cut/x", "/stream/x"} {
		arrived, backend := make(chan struct{}), &stage{1, make(chan string, 8)}
		r := newRig(t, func(w http.ResponseWriter, request *http.Request) {
			close(arrived)
			backend.serve(w, request)
		})
		answers := make(chan *bufio.Reader, 1)
		firsts := make(chan string, 1)
		go func() {
			rest, first := r.open(path)
			answers <- rest
			firsts <- first
		}()
		<-arrived
		r.proxy.attempts.left("i-0")
		found := r.proxy.findDoubtful(r.proxy.now() + 10*time.Second)
		require.Len(t, found.back, 1)
		backend.steps <- "event"
		rest, first := <-answers, <-firsts
		r.proxy.endDoubtful(found)
		backend.steps <- "whole"
		more, err := io.ReadAll(rest)
		require.NoError(t, err, path)
		require.Equal(t, eventTexts(1, 4), first+string(more), path)
	}
}
