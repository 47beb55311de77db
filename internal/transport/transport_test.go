package transport

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"nettlefold/internal/charter"
	"nettlefold/internal/protocol"
	"nettlefold/internal/routing"
	"nettlefold/mixer"
)

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// until waits for something to become true.
func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// router makes a router with searchers that all hold the one slice, and one tariff.
func router(t *testing.T, effect mixer.Effect, searchers ...string) *routing.Router {
	t.Helper()
	return routerOf(t, effect, 3, searchers...)
}

func routerOf(t *testing.T, effect mixer.Effect, forwards int, searchers ...string) *routing.Router {
	t.Helper()
	c := mixer.Config{
		Tariffs: []mixer.Tariff{{Expected: 5e9, Patience: 5e9, CompleteFrom: 1, LeastShare: 1, Effect: effect}},
		Mixers:  1, Cells: 1, Reach: 1, PerCall: 1, MaxForwards: forwards, ColdFrom: 1, FallMultiple: 1, FallFor: 1e9,
	}
	r, err := routing.New(c, map[string]int{"t": 0}, 100, 1, quiet)
	if err != nil {
		t.Fatal(err)
	}
	var rows []routing.Entry
	for _, s := range searchers {
		rows = append(rows, routing.Entry{Searcher: s})
	}
	r.Listed(rows, true)
	return r
}

// take takes a lookup of one part.
func take(t *testing.T, r *routing.Router, id string) *routing.Ticket {
	t.Helper()
	ticket, err := r.Take(routing.Lookup{ID: id, Tariff: "t", Expires: time.Now().Add(5 * time.Second), Parts: []routing.Part{{Weight: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	return ticket
}

// pick gives the lookup's next step.
func pick(t *testing.T, ticket *routing.Ticket) routing.Step {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	step, err := ticket.Pick(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return step
}

// TestSilentWatchIsMadeAnew has an agent take the first watch and say nothing, as a cut-off one does: the whole list comes
// next, which is never held back. The second watch ends with a line that cannot be read: what that had to tell is in the
// whole list.
func TestSilentWatchIsMadeAnew(t *testing.T) {
	asked := make(chan string, 10)
	var again atomic.Bool
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.String()
		if !again.Swap(true) {
			<-r.Context().Done()
			return
		}
		if r.URL.Path == protocol.PathList && r.FormValue("follow") == "" {
			io.WriteString(w, `{"index":12,"snapshot":true,"endpoints":[]}`)
			return
		}
		for _, piece := range []string{"\n" + `{"index":15,"snap`, `shot":true,"endpoints":[]}` + "\n\n{\n"} { // chunks cut a line
			io.WriteString(w, piece)
			w.(http.Flusher).Flush()
		}
	}))
	defer agent.Close()
	defer agent.CloseClientConnections() // else a watch that is never given up would keep it
	heard := make(chan protocol.MemberList, 10)
	w := &Watch{
		Discovery: agent.Listener.Addr().String(), Known: protocol.MemberList{Version: 4},
		Limits: charter.Limits{HeartbeatInterval: 500 * time.Millisecond, ReadTimeout: 2 * time.Second, MaxListMessageBytes: 1 << 10, MaxWatchBackoff: 20 * time.Millisecond},
		Log:    quiet, Listed: func(l protocol.MemberList) { heard <- l },
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		w.Run(ctx)
		close(ended)
	}()
	for i, want := range []string{"since=4", "/members", "since=12", "/members", "since=12"} {
		select {
		case got := <-asked:
			if !strings.HasSuffix(got, want) {
				t.Errorf("watch %d asks %s, want %s", i, got, want)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("watch %d is not asked for", i)
		}
	}
	for _, want := range []int64{12, 15, 12} {
		if l := <-heard; l.Version != want || !l.Snapshot {
			t.Errorf("heard %+v, want version %d", l, want)
		}
	}
	cancel()
	<-ended
}

// TestFailingWatchIsAskedForLessOften has an agent that fails each time: the waits grow, and one line at WARN says so.
func TestFailingWatchIsAskedForLessOften(t *testing.T) {
	var asked atomic.Int32
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		w.WriteHeader(http.StatusBadGateway)
	}))
	defer agent.Close()
	var log bytes.Buffer
	w := &Watch{
		Discovery: agent.Listener.Addr().String(),
		Limits:    charter.Limits{HeartbeatInterval: 80 * time.Millisecond, ReadTimeout: time.Second, MaxListMessageBytes: 1 << 10, MaxWatchBackoff: 200 * time.Millisecond},
		Log:       slog.New(slog.NewTextHandler(&log, nil)),
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	w.Run(ctx)
	// Waits of 5, 10, 20, 40, 80, 160 and 200 ms, each from half as long to half as long again.
	if n := asked.Load(); n < 4 || n > 20 {
		t.Errorf("asked %d times in a second", n)
	}
	if n := strings.Count(log.String(), "level=WARN"); n != 1 {
		t.Errorf("%d lines at WARN:\n%s", n, log.String())
	}
}

func TestPanicEndsOneRequest(t *testing.T) {
	s := &Server{Log: quiet}
	server := httptest.NewServer(s.guard(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/bad" {
			panic("as a test")
		}
	})))
	defer server.Close()
	for path, want := range map[string]int{"/bad": 500, "/good": 200} {
		r, err := http.Get(server.URL + path)
		if err != nil || r.StatusCode != want {
			t.Fatalf("%s: %v, %v, want %d", path, r, err, want)
		}
		r.Body.Close()
	}
}
