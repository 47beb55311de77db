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

// TestOrdersAreNotSentOn: a backend's answer cannot send an order elsewhere, and one whose connection ends without an answer is not sent again.
func TestHTTPClientNeitherRedirectsNorRetries(t *testing.T) {
	var elsewhere, here atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { elsewhere.Add(1) }))
	defer other.Close()
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch here.Add(1) {
		case 1:
			w.WriteHeader(http.StatusOK) // so that the connection is kept
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
		answer, err := web.Do(request)
		if i == 2 {
			require.Error(t, err)
			continue
		}
		require.NoError(t, err)
		answer.Body.Close()
	}
	require.Equal(t, int64(3), here.Load())
	require.Zero(t, elsewhere.Load())
}

// cutPoint is where a stand-in backend's connection breaks, and what the agent makes of it.
type connectionFault struct {
	name         string
	serve        func(conn net.Conn, giveUp func())
	wantArrival  bool // the order is there, whole
	wantAccepted bool // the agent takes it for taken
}

// readOrder reads one request, its body too.
func readOrder(conn net.Conn) (whole bool) {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, request.Body)
	return err == nil
}

func respondWith(answer string) func(net.Conn, func()) {
	return func(conn net.Conn, _ func()) { io.WriteString(conn, answer) }
}

// cutPoints has every point of an order's way at which its connection may end, be silent, or bring something else.
var connectionFaults = []connectionFault{
	{"closed before anything is read", nil, false, false},
	{"closed after the order", func(net.Conn, func()) {}, true, false},
	{"reset after the order", func(conn net.Conn, _ func()) { conn.(*net.TCPConn).SetLinger(0) }, true, false},
	{"silent after the order", func(_ net.Conn, giveUp func()) { giveUp() }, true, false},
	{"half a head", respondWith("HTTP/1.1 20"), true, false},
	{"no answer in HTTP", respondWith("hello\r\n\r\n"), true, false},
	{"an informational answer alone", respondWith("HTTP/1.1 103 Early Hints\r\n\r\n"), true, false},
	{"half a body of a refusal", respondWith("HTTP/1.1 412 Precondition Failed\r\nContent-Length: 9\r\n\r\nlow"), true, false},
	{"taken, its body cut", respondWith("HTTP/1.1 202 Accepted\r\nContent-Length: 9\r\n\r\nok"), true, true},
	{"taken", respondWith("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"), true, true},
	{"holds already", respondWith("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), true, true},
	{"another is under way", respondWith("HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"), true, true},
	{"a lower fence than was seen", respondWith("HTTP/1.1 412 Precondition Failed\r\nContent-Length: 0\r\n\r\n"), true, false},
	{"another instance", respondWith("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"), true, false},
	{"two answers", respondWith("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\nHTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"), true, true},
}

// TestOrdersThroughEveryPointOfACut: whatever becomes of its connection, an order is sent once, on a fresh connection and on a kept one, and is
// taken for taken only where the backend said so. The verdict is the count of orders that arrived.
func TestSendOrderConnectionFaults(t *testing.T) {
	for _, point := range connectionFaults {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, kept %v", point.name, kept), func(t *testing.T) { testSendOrderFault(t, point, kept) })
		}
	}
}

func testSendOrderFault(t *testing.T, point connectionFault, kept bool) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	ctx, giveUp := context.WithCancel(t.Context())
	defer giveUp()
	var arrived atomic.Int64
	go func() {
		for first := true; ; first = false {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if kept && first {
				readOrder(conn)
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
			if point.serve != nil && readOrder(conn) {
				arrived.Add(1)
				point.serve(conn, giveUp)
			}
			if point.name == "silent after the order" {
				io.Copy(io.Discard, conn) // until the other side gives up
			}
			conn.Close()
		}
	}()
	a := New(&local.Settings{NodeName: "f", IP: "10.0.0.1", FirstPort: 7340}, zerolog.Nop())
	held := &lease{state: leases.New(leases.Timing{HoldFor: time.Hour, MinSeparation: time.Second, MaxTransit: time.Second}, 0)}
	require.True(t, held.renew(leases.Renewal{ReceivedAt: a.now(), FencingToken: 7}))
	r := &rollout{agent: a, model: "m", lease: held}
	backend := dispatch.BackendInfo{ID: "i-1", Addr: listener.Addr().String()}
	if kept {
		require.NoError(t, r.sendOrder(ctx, backend, 2))
	}
	err = r.sendOrder(ctx, backend, 2)
	require.Equal(t, point.wantAccepted, err == nil, "%v", err)
	want := int64(0)
	if point.wantArrival {
		want = 1
	}
	require.Equal(t, want, arrived.Load())
}

// TestAnOrderThatIsGivenUpIsReset: what was not delivered of it is lost, it does not arrive when a cut heals.
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
