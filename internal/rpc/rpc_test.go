package rpc

import (
	"bytes"
	"context"
	"errors"
	"net"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// startServer serves handle on a loopback address until the test ends, and returns the address.
func startServer(t *testing.T, handle Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go Serve(listener, handle)
	return listener.Addr().String()
}

// echo is a Handler that returns the text it receives, or fails if the kind is "fail".
func echo(_ context.Context, kind string, body []byte) (any, error) {
	var text string
	if err := cbor.Unmarshal(body, &text); err != nil {
		return nil, err
	}
	if kind == "fail" {
		return nil, errors.New("no " + text)
	}
	return text, nil
}

func TestCall(t *testing.T) {
	client := NewClient(startServer(t, echo))
	defer client.Close()
	for _, text := range []string{"short", strings.Repeat("long and alike ", 1000)} {
		var reply string
		require.NoError(t, client.Call(context.Background(), "echo", text, &reply))
		require.Equal(t, text, reply)
	}
	err := client.Call(context.Background(), "fail", "such thing", nil)
	var remote *RemoteError
	require.ErrorAs(t, err, &remote)
	require.Equal(t, "no such thing", remote.Message)
}

func TestCallConnectionClosed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		newFrameReader(conn).next()
		conn.Close()
	}()
	client := NewClient(listener.Addr().String())
	defer client.Close()
	require.ErrorIs(t, client.Call(context.Background(), "echo", "x", nil), ErrClosed)
}

func TestFrameCompressionAndSizeLimit(t *testing.T) {
	text := strings.Repeat("a configuration repeats itself ", 500)
	body, err := cbor.Marshal(text)
	require.NoError(t, err)
	var frame bytes.Buffer
	require.NoError(t, writeFrame(&frame, &envelope{ID: 3, Kind: "k", Body: body}))
	require.Less(t, frame.Len(), len(text)/10, "frame size in bytes")
	size, err := FrameSize("k", text)
	require.NoError(t, err)
	require.Equal(t, frame.Len(), size, "FrameSize in bytes")
	e, err := readFrameText(frame.Bytes())
	require.NoError(t, err)
	require.Equal(t, body, []byte(e.Body))
	_, err = readFrameText([]byte("\x7f\xff\xff\xff"))
	require.ErrorContains(t, err, "at most")
	_, err = readFrameText([]byte("\x80\x00\x00\x04none"))
	require.Error(t, err, "uncompressed frame with the compressed flag")
}

// TestSetTCPUserTimeout checks that the kernel's limit on unacknowledged bytes is set on a connection.
func TestSetTCPUserTimeout(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	setTCPUserTimeout(conn)
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	timeoutMS := 0
	require.NoError(t, raw.Control(func(fd uintptr) {
		timeoutMS, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	require.NoError(t, err)
	require.Equal(t, int(tcpUserTimeout.Milliseconds()), timeoutMS, "TCP_USER_TIMEOUT in ms")
}

// TestPostEncoded checks that a message that is encoded once reaches each peer like a message that is
// encoded per peer, whether it is small or compressed, and when both kinds are mixed.
func TestPostEncoded(t *testing.T) {
	type update struct {
		Text string `cbor:"1,keyasint"`
	}
	received := make(chan string, 64)
	handle := func(_ context.Context, kind string, body []byte) (any, error) {
		u := new(update)
		if err := cbor.Unmarshal(body, u); err != nil {
			return nil, err
		}
		received <- kind + " " + u.Text
		return nil, nil
	}
	pool := NewPool()
	defer pool.Close()
	var addrs []string
	for range 3 {
		addrs = append(addrs, startServer(t, handle))
	}
	for _, text := range []string{"", "short", strings.Repeat("long ", 4000)} {
		encoded, err := EncodeOneWay("update", &update{text})
		require.NoError(t, err)
		for _, addr := range addrs {
			pool.PostEncoded(addr, encoded)
			pool.Post(addr, "update", &update{"after " + text})
		}
		count := map[string]int{}
		for range 2 * len(addrs) {
			count[<-received]++
		}
		require.Equal(t, map[string]int{"update " + text: 3, "update after " + text: 3}, count)
	}
}
