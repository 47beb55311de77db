package rpc

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// FuzzFrames: whatever comes on a connection is a frame within bounds or an error, and what was read is written again alike.
func FuzzFrames(f *testing.F) {
	for _, e := range []*envelope{{}, {ID: 1, Kind: "watch", Body: cbor.RawMessage{0xf6}}, {ID: 7, Reply: true, Error: "no"}, {Kind: "core", Body: cbor.RawMessage(bytes.Repeat([]byte{0}, 1))}} {
		var b bytes.Buffer
		if err := writeFrame(&b, e); err != nil {
			f.Fatal(err)
		}
		f.Add(b.Bytes())
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x80, 0, 0, 4, 1, 2, 3, 4})
	f.Add([]byte{0, 0, 0})
	f.Fuzz(func(t *testing.T, text []byte) {
		e, err := readFrame(bufio.NewReader(bytes.NewReader(text)))
		if err != nil {
			return
		}
		var b bytes.Buffer
		if err := writeFrame(&b, e); err != nil {
			t.Skip() // a body that is no CBOR is nobody's
		}
		again, err := readFrame(bufio.NewReader(&b))
		if err != nil || again.ID != e.ID || again.Kind != e.Kind || again.Reply != e.Reply || again.Error != e.Error {
			t.Fatalf("%+v became %+v, %v", e, again, err)
		}
	})
}

// TestUnmatchedReplies: a reply is a call's only by its number; one that nobody waits for, that comes twice or too late is dropped, and half a
// frame ends the calls of its connection.
func TestUnmatchedReplies(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveUnmatchedReplies(conn)
		}
	}()
	client := NewClient(listener.Addr().String())
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for i := range 3 {
		var got int
		if err := client.Call(ctx, "n", i, &got); err != nil || got != i {
			t.Fatalf("call %d: %d, %v", i, got, err)
		}
	}
	if err := client.Call(ctx, "half", 0, nil); err == nil {
		t.Fatal("half a frame was taken for an answer")
	}
	var got int
	if err := client.Call(ctx, "n", 9, &got); err != nil || got != 9 {
		t.Fatalf("on another connection: %d, %v", got, err)
	}
}

// answerOddly answers each call behind replies that are nobody's, and once more after it.
func serveUnmatchedReplies(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		e, err := readFrame(reader)
		if err != nil {
			return
		}
		if e.Kind == "half" {
			conn.Write([]byte{0, 0, 0, 90, 1, 2})
			return
		}
		wrong := cbor.RawMessage{0x18, 0x63}
		for _, reply := range []*envelope{
			{ID: e.ID + 1000, Reply: true, Body: wrong}, {ID: e.ID - 1, Reply: true, Body: wrong}, {ID: e.ID, Reply: true, Body: e.Body}, {ID: e.ID, Reply: true, Body: wrong},
		} {
			if writeFrame(conn, reply) != nil {
				return
			}
		}
	}
}
