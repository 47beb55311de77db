package transport

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"nettlefold/internal/charter"
	"nettlefold/internal/protocol"
)

// TestSilentWatchIsMadeAnew has an agent take the first watch and say nothing, as a cut-off one does.
func TestSilentWatchIsMadeAnew(t *testing.T) {
	asked := make(chan string, 10)
	first := true
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.String()
		if first {
			first = false
			<-r.Context().Done()
			return
		}
		io.WriteString(w, `{"index":9,"snapshot":true,"endpoints":[]}`+"\n")
	}))
	defer agent.Close()
	defer agent.CloseClientConnections() // else a watch that is never given up would keep it
	heard := make(chan protocol.List, 10)
	w := &Watch{
		Discovery: agent.Listener.Addr().String(), Known: protocol.List{Version: 4},
		Limits: charter.Limits{Beat: 20 * time.Millisecond, Read: time.Second, Line: 1 << 10, WatchLast: 20 * time.Millisecond},
		Log:    slog.New(slog.NewTextHandler(io.Discard, nil)), Listed: func(l protocol.List) { heard <- l },
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		w.Run(ctx)
		close(ended)
	}()
	for i, want := range []string{"since=4", "since=4", "since=9"} {
		select {
		case got := <-asked:
			if !strings.HasSuffix(got, want) {
				t.Errorf("watch %d asks %s, want %s", i, got, want)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("watch %d is not asked for", i)
		}
	}
	if l := <-heard; l.Version != 9 || !l.Whole {
		t.Errorf("heard %+v", l)
	}
	cancel()
	<-ended
}

func TestPanicEndsOneRequest(t *testing.T) {
	s := &Server{Log: slog.New(slog.NewTextHandler(io.Discard, nil))}
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
