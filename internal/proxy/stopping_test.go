package proxy

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestNothingIsBegunThatMayOutlastTheGrace plays a request that comes at any moment about the signal, with any time of its own, under three
// settings of the grace: after the signal it is begun exactly if it ends before the program does, however long it takes.
func TestNothingIsBegunThatMayOutlastTheGrace(t *testing.T) {
	const step = 50 * time.Millisecond
	at := time.Unix(1000, 0)
	for _, grace := range []time.Duration{2 * time.Second, 8 * time.Second, 30 * time.Second} {
		s := newStopping(at, grace)
		require.Equal(t, at.Add(grace-endMargin), s.end, "what was begun has the whole grace")
		for came := time.Duration(0); came <= grace; came += step {
			for own := step; own <= 2*grace; own += step {
				limit := at.Add(came + own)
				latest := limit // it is answered by then, whatever its backend does
				begun := s.mayBegin(limit)
				require.False(t, begun && latest.After(s.end), "grace %v: came after %v, has %v", grace, came, own)
				require.Equal(t, came+own <= grace-endMargin, begun, "grace %v: came after %v, has %v", grace, came, own)
			}
		}
	}
	require.False(t, newStopping(at, 0).mayBegin(at.Add(time.Second)), "no grace at all")
}

func TestOpenRequests(t *testing.T) {
	o, now, q := newOpenRequests(), time.Unix(1000, 0), &request{}
	require.Empty(t, o.unfinished())
	ended := o.began(q, now)
	require.Equal(t, map[*request]time.Time{q: now}, o.unfinished())
	ended()
	require.Empty(t, o.unfinished())
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
