package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"nettlefold/internal/dispatch"
	"nettlefold/internal/leases"
	"nettlefold/internal/settings/local"
)

// TestHTTPClientNeitherRedirectsNorRetries checks that a backend's response can't redirect a load
// order, and that an order whose connection ends without a response isn't sent again.
func TestHTTPClientNeitherRedirectsNorRetries(t *testing.T) {
	var redirected, received atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { redirected.Add(1) }))
	defer other.Close()
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch received.Add(1) {
		case 1:
			w.WriteHeader(http.StatusOK) // so that the connection is reused
		case 2:
			w.Header().Set("Location", other.URL)
			w.WriteHeader(http.StatusTemporaryRedirect)
		default:
			panic(http.ErrAbortHandler)
		}
	}))
	defer backend.Close()
	web := newHTTPClient()
	for i := range 3 {
		request, err := http.NewRequest(http.MethodPost, backend.URL+"/v1/order", strings.NewReader("{}"))
		require.NoError(t, err)
		response, err := web.Do(request)
		if i == 2 {
			require.Error(t, err)
			continue
		}
		require.NoError(t, err)
		response.Body.Close()
	}
	require.Equal(t, int64(3), received.Load(), "requests received by the backend")
	require.Zero(t, redirected.Load(), "redirected requests")
}

// connectionFault is a behaviour of a backend's connection and its expected result.
type connectionFault struct {
	name         string
	serve        func(conn net.Conn, giveUp func())
	wantArrival  bool // the complete order arrives
	wantAccepted bool // the agent considers the order accepted
}

// readOrder reads one request with its body, and reports whether it is complete.
func readOrder(conn net.Conn) (complete bool) {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, request.Body)
	return err == nil
}

// respondWith returns a serve function that writes a raw response.
func respondWith(response string) func(net.Conn, func()) {
	return func(conn net.Conn, _ func()) { io.WriteString(conn, response) }
}

// connectionFaults covers each point at which the connection of a load order may end, stall, or
// bring another response.
var connectionFaults = []connectionFault{
	{"closed before the order is read", nil, false, false},
	{"closed after the order", func(net.Conn, func()) {}, true, false},
	{"reset after the order", func(conn net.Conn, _ func()) { conn.(*net.TCPConn).SetLinger(0) }, true, false},
	{"silent after the order", func(_ net.Conn, giveUp func()) { giveUp() }, true, false},
	{"partial response header", respondWith("HTTP/1.1 20"), true, false},
	{"response is not HTTP", respondWith("hello\r\n\r\n"), true, false},
	{"only an informational response", respondWith("HTTP/1.1 103 Early Hints\r\n\r\n"), true, false},
	{"partial body of a rejection", respondWith("HTTP/1.1 412 Precondition Failed\r\nContent-Length: 9\r\n\r\nlow"), true, false},
	{"accepted, partial body", respondWith("HTTP/1.1 202 Accepted\r\nContent-Length: 9\r\n\r\nok"), true, true},
	{"accepted", respondWith("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"), true, true},
	{"has the version already", respondWith("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), true, true},
	{"another order in progress", respondWith("HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"), true, true},
	{"fencing token too low", respondWith("HTTP/1.1 412 Precondition Failed\r\nContent-Length: 0\r\n\r\n"), true, false},
	{"another instance", respondWith("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"), true, false},
	{"two responses", respondWith("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\nHTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"), true, true},
}

// TestSendOrderConnectionFaults checks that whatever happens to its connection, new or reused, an
// order is sent once and is considered accepted only if the backend said so. The number of received
// orders decides.
func TestSendOrderConnectionFaults(t *testing.T) {
	for _, fault := range connectionFaults {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reused %v", fault.name, reused), func(t *testing.T) { testSendOrderFault(t, fault, reused) })
		}
	}
}

func testSendOrderFault(t *testing.T, fault connectionFault, reused bool) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	ctx, giveUp := context.WithCancel(t.Context())
	defer giveUp()
	var received atomic.Int64
	go func() {
		for first := true; ; first = false {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if reused && first {
				readOrder(conn)
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
			if fault.serve != nil && readOrder(conn) {
				received.Add(1)
				fault.serve(conn, giveUp)
			}
			if fault.name == "silent after the order" {
				io.Copy(io.Discard, conn) // until the agent closes the connection
			}
			conn.Close()
		}
	}()
	a := New(&local.Settings{NodeName: "f", IP: "10.0.0.1", FirstPort: 7340}, zerolog.Nop())
	rolloutLease := &lease{state: leases.New(leases.Timing{HoldFor: time.Hour, MinSeparation: time.Second, MaxTransit: time.Second}, 0)}
	require.True(t, rolloutLease.renew(leases.Renewal{ReceivedAt: a.now(), FencingToken: 7}))
	r := &rollout{agent: a, model: "m", lease: rolloutLease}
	backend := dispatch.BackendInfo{ID: "i-1", Addr: listener.Addr().String()}
	if reused {
		require.NoError(t, r.sendOrder(ctx, backend, 2))
	}
	err = r.sendOrder(ctx, backend, 2)
	require.Equal(t, fault.wantAccepted, err == nil, "order accepted: got error %v", err)
	want := int64(0)
	if fault.wantArrival {
		want = 1
	}
	require.Equal(t, want, received.Load(), "received orders")
}

// TestCanceledRequestResetsConnection checks that undelivered data of a canceled order is
// discarded, and can't arrive after a network partition has healed.
func TestCanceledRequestResetsConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	ctx, giveUp := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			ended <- err
			return
		}
		readOrder(conn)
		giveUp()
		_, err = conn.Read(make([]byte, 1))
		ended <- err
	}()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+listener.Addr().String()+"/v1/order", strings.NewReader("{}"))
	require.NoError(t, err)
	_, err = newHTTPClient().Do(request)
	require.Error(t, err)
	require.ErrorIs(t, <-ended, syscall.ECONNRESET)
}
