package fleetdemo

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const cutTestPatience = 20 * time.Second

// echoServer answers each byte with itself.
func echoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				io.Copy(conn, conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// introduce opens a connection through the relay, as the machine of an IP does; it does not wait until that is connected.
func introduce(t *testing.T, n *cutNetwork, from, to string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", n.listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(cutTestPatience))
	fmt.Fprintf(conn, "%s %s\n", from, to)
	return conn
}

func readByte(conn net.Conn) (byte, error) {
	var one [1]byte
	_, err := io.ReadFull(conn, one[:])
	return one[0], err
}

func testNetwork(t *testing.T) *cutNetwork {
	t.Helper()
	n, err := newCutNetwork("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(n.close)
	return n
}

func TestRelayCarriesBothWays(t *testing.T) {
	conn := introduce(t, testNetwork(t), "127.0.22.1", echoServer(t))
	for _, want := range []byte("+x") {
		got, err := readByte(conn)
		require.NoError(t, err)
		require.Equal(t, want, got)
		conn.Write([]byte("x"))
	}
}

// TestCutHoldsNewConnections: a connection over a cut link comes up when the link heals, and one over another link at once.
func TestCutHoldsNewConnections(t *testing.T) {
	n, server := testNetwork(t), echoServer(t)
	heal := n.cut([]link{linkOf("127.0.22.1", "127.0.0.1")})
	held, other := introduce(t, n, "127.0.22.1", server), introduce(t, n, "127.0.22.2", server)
	_, err := readByte(other)
	require.NoError(t, err)
	held.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	_, err = readByte(held)
	require.True(t, isTimeout(err), "%v", err)
	held.SetReadDeadline(time.Now().Add(cutTestPatience))
	heal()
	_, err = readByte(held)
	require.NoError(t, err)
}

// TestLongCutEndsTheSender: bytes that a cut holds up end the sender's connection before the link heals.
func TestLongCutEndsTheSender(t *testing.T) {
	n := testNetwork(t)
	conn := introduce(t, n, "127.0.22.1", echoServer(t))
	_, err := readByte(conn)
	require.NoError(t, err)
	n.cut([]link{linkOf("127.0.22.1", "127.0.0.1")})
	conn.Write([]byte("x"))
	_, err = readByte(conn)
	require.Error(t, err)
	require.False(t, isTimeout(err), "%v", err)
}

// TestOverlappingCutsHoldUntilTheLast: a link that two cuts hold is cut until both are over.
func TestOverlappingCutsHoldUntilTheLast(t *testing.T) {
	n := testNetwork(t)
	links := []link{linkOf("127.0.21.1", "127.0.21.2")}
	first, second := n.cut(links), n.cut(links)
	first()
	cut, _ := n.state(links[0])
	require.True(t, cut)
	second()
	cut, _ = n.state(links[0])
	require.False(t, cut)
}

// TestCutsOfAPlan: each kind cuts the links that it names and no others.
func TestCutsOfAPlan(t *testing.T) {
	of := size{controllers: 3, fronts: 2, engines: 1}
	for _, c := range []struct {
		kind  string
		links int
	}{{actCutFront, 4}, {actCutLink, 1}, {actCutCore, 4}, {actCutBridge, 1}, {actCutZone, 6}} {
		require.Len(t, cutLinks(act{Kind: c.kind, Target: 1}, of), c.links, c.kind)
	}
	require.NotContains(t, cutLinks(act{Kind: actCutZone}, of), linkOf(controllerIP(0), controllerIP(2)), "they are of one zone")
}
