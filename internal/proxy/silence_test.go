package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
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
