package agent

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"nettlefold/internal/kvindex"
	"nettlefold/internal/memlimit"
	"nettlefold/internal/settings/local"
)

// serveEndlessly is a backend whose responses begin with a text and repeat another one without end.
func serveEndlessly(first, again string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, first)
		for text := strings.Repeat(again, 1+(32<<10)/len(again)); r.Context().Err() == nil; {
			if _, err := io.WriteString(w, text); err != nil {
				return
			}
		}
	}
}

// TestEndlessEventsAreBoundedTogether: pages of cache events that never end fail, and those of many backends at once take
// no more memory than there is for all. What they took is returned.
func TestEndlessEventsAreBoundedTogether(t *testing.T) {
	const backends = 30
	for name, again := range map[string]string{"events": `[1,"+","s","p",1,"m"],`, "numbers": "1,", "one string": "x", "nested": "["} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(serveEndlessly(`{"epoch":1,"next_page_token":1,"events":[`, again))
			defer server.Close()
			a := New(&local.Settings{Seeds: []string{"127.0.0.1:1"}, IP: "127.0.0.1", MemoryMB: 280}, zerolog.Nop())
			var all sync.WaitGroup
			for i := range backends {
				all.Go(func() {
					source := eventSource{fmt.Sprint("i-", i), strings.TrimPrefix(server.URL, "http://")}
					_, err := a.fetchEventsPage(context.Background(), source, kvindex.Cursor{})
					require.Error(t, err)
				})
			}
			done := make(chan struct{})
			go func() {
				defer close(done)
				all.Wait()
			}()
			for waiting := true; waiting; {
				require.LessOrEqual(t, a.memory.Used(), a.memory.Limit())
				select {
				case <-done:
					waiting = false
				case <-time.After(time.Millisecond):
				}
			}
			require.Zero(t, a.memory.Used())
			require.Positive(t, a.memory.Exhausted())
		})
	}
}

// TestResponseFaultsAreToldApart: a response that is too long, or no JSON of the wanted type, is a fault of the backend; a
// refusal or an ended connection isn't, and neither is a lack of memory.
func TestResponseFaultsAreToldApart(t *testing.T) {
	for name, c := range map[string]struct {
		serve  http.HandlerFunc
		memory *memlimit.Budget
		fault  bool
	}{
		"without end":      {serveEndlessly("{", " "), nil, true},
		"junk":             {func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "junk") }, nil, true},
		"bytes behind":     {func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, `{"epoch":1}{`) }, nil, true},
		"refused":          {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) }, nil, false},
		"ended":            {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, nil, false},
		"no memory for it": {func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, `{"epoch":1}`) }, memlimit.New(memlimit.UncountedBytes), false},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(c.serve)
			defer server.Close()
			a := New(&local.Settings{Seeds: []string{"127.0.0.1:1"}, IP: "127.0.0.1"}, zerolog.Nop())
			_, err := a.getJSON(context.Background(), jsonRequest{target: server.URL, maxBytes: 64 << 10, memory: c.memory}, new(eventsPage))
			require.Error(t, err)
			require.Equal(t, c.fault, isResponseFault(err), "%v", err)
		})
	}
}

// TestListIsBoundedOverAllPages: a platform whose pages never end in number, each of them proper, fails by the length of
// all together.
func TestListIsBoundedOverAllPages(t *testing.T) {
	entry := `{"id":"i-1","service":"` + strings.Repeat("s", 1000) + `","address":"10.0.0.1:80"},`
	page := `{"next_page_token":"more","instances":[` + strings.TrimSuffix(strings.Repeat(entry, 1000), ",") + `]}`
	a := newListReadingAgent(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, page) })
	_, pages, err := a.readList(context.Background())
	require.ErrorIs(t, err, memlimit.ErrTooLong)
	require.Equal(t, maxListBytes/len(page)+1, pages)
}
