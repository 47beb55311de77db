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

// TestShutdownPlanAdmits varies the arrival of a request after the signal, its timeout and the grace
// period. A request must be admitted exactly if its timeout ends before the shutdown does, however long
// it takes.
func TestShutdownPlanAdmits(t *testing.T) {
	const step = 50 * time.Millisecond
	signalledAt := time.Unix(1000, 0)
	for _, grace := range []time.Duration{2 * time.Second, 8 * time.Second, 30 * time.Second} {
		s := newShutdownPlan(signalledAt, grace)
		require.Equal(t, signalledAt.Add(grace-exitMargin), s.deadline, "deadline of requests that are running already")
		for arrival := time.Duration(0); arrival <= grace; arrival += step {
			for timeout := step; timeout <= 2*grace; timeout += step {
				limit := signalledAt.Add(arrival + timeout)
				latestEnd := limit // whatever the backend does
				admitted := s.admits(limit)
				require.False(t, admitted && latestEnd.After(s.deadline), "grace %v: admitted %v after the signal with timeout %v", grace, arrival, timeout)
				require.Equal(t, arrival+timeout <= grace-exitMargin, admitted, "grace %v: admitted %v after the signal with timeout %v", grace, arrival, timeout)
			}
		}
	}
	require.False(t, newShutdownPlan(signalledAt, 0).admits(signalledAt.Add(time.Second)), "admitted without a grace period")
}

// TestRequestTracker checks that a request is tracked until it is removed.
func TestRequestTracker(t *testing.T) {
	tracker, now, q := newRequestTracker(), time.Unix(1000, 0), &request{}
	require.Empty(t, tracker.unfinished())
	remove := tracker.add(q, now)
	require.Equal(t, map[*request]time.Time{q: now}, tracker.unfinished())
	remove()
	require.Empty(t, tracker.unfinished())
}

// TestShutdownRefusal checks that during a shutdown a request that might outlast it is refused as not
// executed, while a shorter one is served. Both connections are closed.
func TestShutdownRefusal(t *testing.T) {
	f := newFixture(t, serveOK)
	f.proxy.shutdownPlan.Store(newShutdownPlan(time.Now(), 2*time.Second)) // less than the route's timeout of 3 s
	response, _, err := f.post("/once/", "k1", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get(headerRetryAfter), "Retry-After")
	require.True(t, response.Close, "Connection: close on a refused request")
	require.Empty(t, f.receivedRequests(), "requests at the backend")
	f.proxy.shutdownPlan.Store(newShutdownPlan(time.Now(), time.Minute))
	response, text, err := f.post("/once/", "k1", "")
	require.NoError(t, err)
	require.Equal(t, "done", text)
	require.True(t, response.Close, "Connection: close on a served request")
}

// TestStreamSurvivesShutdownSignal checks that the signal does not abort a running stream.
func TestStreamSurvivesShutdownSignal(t *testing.T) {
	started, resume := make(chan struct{}), make(chan struct{})
	f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerResponseSeal, "seal")
		io.WriteString(w, "id: 1\n\n")
		http.NewResponseController(w).Flush()
		close(started)
		<-resume
		io.WriteString(w, "id: 2\n\n")
	})
	got := make(chan string, 1)
	go func() {
		_, text, _ := f.post("/cut/", "k1", "")
		got <- text
	}()
	<-started
	f.proxy.shutdownPlan.Store(newShutdownPlan(time.Now(), time.Second))
	close(resume)
	require.Equal(t, "id: 1\n\nid: 2\n\n", <-got)
}

// closeRaceListener accepts connections on which a request arrives just as they are closed.
type closeRaceListener struct {
	net.Listener
	armed  chan struct{} // closed before that request is sent
	close  func()        // makes the server close the connection
	served chan struct{} // closed when that request has been served
}

// Accept waits for the next connection and wraps it in a closeRaceConn.
func (l *closeRaceListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &closeRaceConn{Conn: conn, listener: l, closed: make(chan struct{})}, nil
}

// closeRaceConn delays the first bytes read after the listener was armed until the server has closed
// the connection.
type closeRaceConn struct {
	net.Conn
	listener *closeRaceListener
	once     sync.Once
	closed   chan struct{}
}

// Read reads bytes, or waits until the racing request has been served if the connection is closed.
func (c *closeRaceConn) Read(buffer []byte) (int, error) {
	select {
	case <-c.closed:
		<-c.listener.served // delays the detection of the close
		return 0, net.ErrClosed
	default:
	}
	n, err := c.Conn.Read(buffer)
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

// Close closes the connection once the racing request has been served.
func (c *closeRaceConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		<-c.listener.served
	})
	return c.Conn.Close()
}

// TestRequestRacingConnectionClose checks that a request that is read just as its connection is closed
// for the shutdown is not forwarded, because it could not be answered.
func TestRequestRacingConnectionClose(t *testing.T) {
	f := newFixture(t, serveOK)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server, plan := f.proxy.newServer(), newShutdownPlan(time.Now(), time.Minute)
	stopped := make(chan struct{})
	raceListener := &closeRaceListener{Listener: listener, armed: make(chan struct{}), served: make(chan struct{})}
	raceListener.close = sync.OnceFunc(func() {
		f.proxy.shutdownPlan.Store(plan)
		go func() {
			f.proxy.closeConnections(server, plan)
			close(stopped)
		}()
	})
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if f.proxy.shutdownPlan.Load() != nil {
				close(raceListener.served)
			}
		}()
		f.proxy.serve(w, r)
	})
	idle := make(chan struct{}, 2)
	server.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			idle <- struct{}{}
		}
	}
	go server.Serve(raceListener)
	client, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	const request = "GET /open/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-1\r\n\r\n"
	io.WriteString(client, request)
	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.Len(t, f.receivedRequests(), 1, "requests at the backend before the race")
	<-idle
	close(raceListener.armed)
	io.WriteString(client, request)
	<-stopped
	require.Len(t, f.receivedRequests(), 1, "requests at the backend after the race")
}
