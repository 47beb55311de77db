package rpc

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// FuzzFrames checks that arbitrary input is read as a frame within the size limit or rejected, and
// that a frame that was read is equal after it is written and read again.
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
	f.Fuzz(func(t *testing.T, input []byte) {
		want, err := readFrameText(input)
		if err != nil {
			return
		}
		var b bytes.Buffer
		if err := writeFrame(&b, want); err != nil {
			t.Skip() // the body isn't valid CBOR, so it can't be encoded again
		}
		got, err := readFrameText(b.Bytes())
		if err != nil || got.ID != want.ID || got.Kind != want.Kind || got.Reply != want.Reply || got.Error != want.Error {
			t.Fatalf("frame written and read again: got %+v, error %v; want %+v", got, err, want)
		}
	})
}

// readFrameText reads the first frame of a text.
func readFrameText(text []byte) (*envelope, error) {
	conn, peer := net.Pipe()
	defer conn.Close()
	go func() {
		defer peer.Close()
		peer.Write(text)
	}()
	e, _, err := newFrameReader(conn).next()
	return e, err
}

// TestUnmatchedReplies checks that replies are matched to calls by ID: replies with an unknown ID,
// duplicates and late replies are ignored. A truncated frame fails the calls on its connection, and
// the next call dials a new one.
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
			t.Fatalf("call %d: got reply %d, error %v; want reply %d", i, got, err, i)
		}
	}
	if err := client.Call(ctx, "half", 0, nil); err == nil {
		t.Fatal("call with a truncated reply: got no error, want an error")
	}
	var got int
	if err := client.Call(ctx, "n", 9, &got); err != nil || got != 9 {
		t.Fatalf("call on a new connection: got reply %d, error %v; want reply 9", got, err)
	}
}

// serveUnmatchedReplies answers each call, but sends replies with wrong IDs before the reply and a
// duplicate with another body after it. It answers a call of kind "half" with a truncated frame.
func serveUnmatchedReplies(conn net.Conn) {
	defer conn.Close()
	reader := newFrameReader(conn)
	for {
		e, _, err := reader.next()
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
