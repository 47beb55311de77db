package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestNothingIsBegunThatMayOutlastTheGrace plays a request that comes at any moment about the signal, with any time of its own, under three
// settings of the grace: after the signal it is begun exactly if it ends before the program does, however long it takes.
func TestShutdownPlanAdmits(t *testing.T) {
	const step = 50 * time.Millisecond
	at := time.Unix(1000, 0)
	for _, grace := range []time.Duration{2 * time.Second, 8 * time.Second, 30 * time.Second} {
		s := newShutdownPlan(at, grace)
		require.Equal(t, at.Add(grace-exitMargin), s.deadline, "what was begun has the whole grace")
		for came := time.Duration(0); came <= grace; came += step {
			for own := step; own <= 2*grace; own += step {
				limit := at.Add(came + own)
				latest := limit // it is answered by then, whatever its backend does
				begun := s.admits(limit)
				require.False(t, begun && latest.After(s.deadline), "grace %v: came after %v, has %v", grace, came, own)
				require.Equal(t, came+own <= grace-exitMargin, begun, "grace %v: came after %v, has %v", grace, came, own)
			}
		}
	}
	require.False(t, newShutdownPlan(at, 0).admits(at.Add(time.Second)), "no grace at all")
}

func TestRequestTracker(t *testing.T) {
	o, now, q := newRequestTracker(), time.Unix(1000, 0), &request{}
	require.Empty(t, o.unfinished())
	ended := o.add(q, now)
	require.Equal(t, map[*request]time.Time{q: now}, o.unfinished())
	ended()
	require.Empty(t, o.unfinished())
}

// TestToldToEnd: what cannot end in time never reaches a backend and may come again at once; what can is served, its connection closed.
func TestShutdownRefusal(t *testing.T) {
	r := newFixture(t, serveOK)
	r.proxy.shutdownPlan.Store(newShutdownPlan(time.Now(), 2*time.Second)) // routes have three
	answer, _, err := r.post("/once/", "k1", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, answer.StatusCode)
	require.NotEmpty(t, answer.Header.Get(headerRetryAfter))
	require.True(t, answer.Close)
	require.Empty(t, r.receivedRequests())
	r.proxy.shutdownPlan.Store(newShutdownPlan(time.Now(), time.Minute))
	answer, text, err := r.post("/once/", "k1", "")
	require.NoError(t, err)
	require.Equal(t, "done", text)
	require.True(t, answer.Close)
}

// TestBegunBeforeTheSignal: a stream that runs is not cut by it.
func TestStreamSurvivesShutdownSignal(t *testing.T) {
	begun, goOn := make(chan struct{}), make(chan struct{})
	r := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerResponseSeal, "seal")
		io.WriteString(w, "id: 1\n\n")
		http.NewResponseController(w).Flush()
		close(begun)
		<-goOn
		io.WriteString(w, "id: 2\n\n")
	})
	got := make(chan string, 1)
	go func() {
		_, text, _ := r.post("/cut/", "k1", "")
		got <- text
	}()
	<-begun
	r.proxy.shutdownPlan.Store(newShutdownPlan(time.Now(), time.Second))
	close(goOn)
	require.Equal(t, "id: 1\n\nid: 2\n\n", <-got)
}

// crossingListener accepts connections on which one request crosses their close.
type closeRaceListener struct {
	net.Listener
	armed  chan struct{} // closed before that request is sent
	close  func()        // has the connection closed
	served chan struct{} // closed when that request has been served
}

func (l *closeRaceListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &closeRaceConn{Conn: conn, listener: l, closed: make(chan struct{})}, nil
}

// crossingConn hands on the first bytes that come after it was armed when it has been closed.
type closeRaceConn struct {
	net.Conn
	listener *closeRaceListener
	once     sync.Once
	closed   chan struct{}
}

func (c *closeRaceConn) Read(into []byte) (int, error) {
	select {
	case <-c.closed:
		<-c.listener.served // its end is seen late
		return 0, net.ErrClosed
	default:
	}
	n, err := c.Conn.Read(into)
	select {
	case <-c.listener.armed:
		if n > 0 {
			c.listener.close()
			<-c.closed
		}
	default:
	}
	return n, err
}

func (c *closeRaceConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		<-c.listener.served
	})
	return c.Conn.Close()
}

// TestARequestThatCrossesItsConnectionsCloseIsNotPassedOn: it is read as the connection is closed for the program's end.
func TestRequestRacingConnectionClose(t *testing.T) {
	r := newFixture(t, serveOK)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server, plan := r.proxy.newServer(), newShutdownPlan(time.Now(), time.Minute)
	stopped := make(chan struct{})
	crossing := &closeRaceListener{Listener: listener, armed: make(chan struct{}), served: make(chan struct{})}
	crossing.close = sync.OnceFunc(func() {
		r.proxy.shutdownPlan.Store(plan)
		go func() {
			r.proxy.closeConnections(server, plan)
			close(stopped)
		}()
	})
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		defer func() {
			if r.proxy.shutdownPlan.Load() != nil {
				close(crossing.served)
			}
		}()
		r.proxy.serve(w, q)
	})
	idle := make(chan struct{}, 2)
	server.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			idle <- struct{}{}
		}
	}
	go server.Serve(crossing)
	client, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	const request = "GET /open/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-1\r\n\r\n"
	io.WriteString(client, request)
	answer, err := http.ReadResponse(bufio.NewReader(client), nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, answer.Body)
	require.NoError(t, err)
	require.Len(t, r.receivedRequests(), 1)
	<-idle
	close(crossing.armed)
	io.WriteString(client, request)
	<-stopped
	require.Len(t, r.receivedRequests(), 1, "it has no answer, and may have none")
}
