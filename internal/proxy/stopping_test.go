package proxy

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/config"
)

func TestWhatMayBeBegunAfterTheSignal(t *testing.T) {
	at := time.Unix(1000, 0)
	s := newStopping(at, 8*time.Second)
	require.Equal(t, at.Add(8*time.Second-endMargin), s.end, "what was begun has the whole grace")
	after := func(d time.Duration) time.Time { return at.Add(d) }
	for _, c := range []struct {
		what                string
		now, limit, longest time.Duration
		may                 bool
	}{
		{"its own time ends before", 0, 7 * time.Second, 0, true},
		{"its own time ends before, late", 6 * time.Second, 7500 * time.Millisecond, 0, true},
		{"ten seconds, such requests are short", 500 * time.Millisecond, 10 * time.Second, time.Second, true},
		{"ten seconds, one of them is at it for three", 500 * time.Millisecond, 10 * time.Second, 3 * time.Second, false},
		{"ten seconds, nothing is known of them", 0, 10 * time.Second, 0, false},
		{"short ones, but late", 3100 * time.Millisecond, 13 * time.Second, 100 * time.Millisecond, false},
		{"just too long", 0, 7*time.Second + 900*time.Millisecond, 2600 * time.Millisecond, false},
	} {
		require.Equal(t, c.may, s.mayBegin(after(c.now), after(c.limit), c.longest), c.what)
	}
	require.False(t, newStopping(at, 0).mayBegin(at, after(time.Second), time.Millisecond), "no grace at all")
}

func TestDurationsOfARoute(t *testing.T) {
	d, now := newDurations(), time.Unix(1000, 0)
	stream, other := &config.Route{Host: "h", PathPrefix: "/a/"}, &config.Route{Host: "h", PathPrefix: "/b/"}
	require.Zero(t, d.longest(stream, now))
	ended := d.began(&request{route: stream}, now)
	require.Equal(t, 2*time.Second, d.longest(stream, now.Add(2*time.Second)), "one that runs counts")
	require.Zero(t, d.longest(other, now.Add(2*time.Second)))
	ended(now.Add(3 * time.Second))
	require.Equal(t, 3*time.Second, d.longest(stream, now.Add(10*time.Second)))
	require.Equal(t, 3*time.Second, d.longest(stream, now.Add(20*time.Second)))
	require.Zero(t, d.longest(stream, now.Add(40*time.Second)), "forgotten")
}

// TestToldToEnd: what cannot end in time never reaches a backend and may come again at once; what can is served, its connection closed.
func TestToldToEnd(t *testing.T) {
	r := newRig(t, ok)
	r.proxy.stopping.Store(newStopping(time.Now(), 2*time.Second)) // routes have three
	answer, _, err := r.ask("/once/", "k1", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, answer.StatusCode)
	require.NotEmpty(t, answer.Header.Get(headerRetry))
	require.True(t, answer.Close)
	require.Empty(t, r.requests())
	r.proxy.stopping.Store(newStopping(time.Now(), time.Minute))
	answer, text, err := r.ask("/once/", "k1", "")
	require.NoError(t, err)
	require.Equal(t, "done", text)
	require.True(t, answer.Close)
}

// TestBegunBeforeTheSignal: a stream that runs is not cut by it.
func TestBegunBeforeTheSignal(t *testing.T) {
	begun, goOn := make(chan struct{}), make(chan struct{})
	r := newRig(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerSeal, "seal")
		io.WriteString(w, "id: 1\n\n")
		http.NewResponseController(w).Flush()
		close(begun)
		<-goOn
		io.WriteString(w, "id: 2\n\n")
	})
	got := make(chan string, 1)
	go func() {
		_, text, _ := r.ask("/cut/", "k1", "")
		got <- text
	}()
	<-begun
	r.proxy.stopping.Store(newStopping(time.Now(), time.Second))
	close(goOn)
	require.Equal(t, "id: 1\n\nid: 2\n\n", <-got)
}
