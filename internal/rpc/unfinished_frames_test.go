package rpc

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// heapInUse returns the bytes of the heap that are in use after a collection.
func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// TestUnfinishedFramesAreBoundedTogether: many connections that each send the longest frame but for its last byte hold
// no more memory together than a process may spare, and calls of others are answered meanwhile.
func TestUnfinishedFramesAreBoundedTogether(t *testing.T) {
	const connections, heldLimit = 40, 48 << 20
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go Serve(listener, func(context.Context, string, []byte) (any, error) { return "here", nil })
	before := heapInUse()
	frame := make([]byte, 4+maxFrameBytes-1)
	binary.BigEndian.PutUint32(frame, maxFrameBytes)
	copy(frame[4:], bytes.Repeat([]byte{0x41}, 64))
	for range connections {
		conn, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		defer conn.Close()
		go func() { conn.Write(frame) }()
	}
	time.Sleep(time.Second)
	require.Positive(t, DroppedFrames())
	require.Less(t, int64(heapInUse())-int64(before), int64(heldLimit), "bytes held for unfinished frames")
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var reply string
	require.NoError(t, NewClient(listener.Addr().String()).Call(ctx, "anything", "", &reply))
}

// TestLongFrameIsReadBesideUnfinishedOnes: a frame that is long but arrives is read although longer ones that never end
// hold all memory for frames, and what it took is returned once it has been handled.
func TestLongFrameIsReadBesideUnfinishedOnes(t *testing.T) {
	const connections = 20
	addr := startServer(t, func(_ context.Context, _ string, body []byte) (any, error) { return len(body), nil })
	frame := make([]byte, 4+maxFrameBytes-1)
	binary.BigEndian.PutUint32(frame, maxFrameBytes)
	for range connections {
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		defer conn.Close()
		go func() { conn.Write(frame) }()
	}
	require.Eventually(t, func() bool { return DroppedFrames() > 0 }, 10*time.Second, 10*time.Millisecond)
	text := make([]byte, 4<<20) // of random bytes: it can't be compressed
	rand.Read(text)
	client := NewClient(addr)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var length int
	require.NoError(t, client.Call(ctx, "long", text, &length))
	require.Greater(t, length, len(text))
}

// TestCompressedFrameTakesTheMemoryOfItsText: a small frame that decompresses to much more is refused where there is no
// memory for that.
func TestCompressedFrameTakesTheMemoryOfItsText(t *testing.T) {
	frame, err := encodeFrame(&envelope{ID: 1, Kind: "k", Body: mustEncode(t, make([]byte, 8<<20))})
	require.NoError(t, err)
	require.Less(t, len(frame), 64<<10)
	for limit, fits := range map[int64]bool{4 << 20: false, 32 << 20: true} {
		conn, peer := net.Pipe()
		go peer.Write(frame)
		reader := newFrameReader(conn)
		reader.memory = newFrameMemory(limit)
		e, release, err := reader.next()
		if !fits {
			require.ErrorIs(t, err, errNoFrameMemory)
			require.Zero(t, reader.memory.used)
			continue
		}
		require.NoError(t, err)
		require.Greater(t, len(e.Body), 8<<20)
		require.Greater(t, reader.memory.used, int64(8<<20))
		release()
		require.Zero(t, reader.memory.used)
		require.Empty(t, reader.memory.holders)
	}
}

// TestLargestUnfinishedFrameIsDropped: where there is no memory for a frame, the largest one that hasn't arrived goes, and
// the frame itself if it is larger still. Frames that have arrived stay.
func TestLargestUnfinishedFrameIsDropped(t *testing.T) {
	const kib = 1 << 10
	memory := newFrameMemory(100 * kib)
	newFrame := func() (*frameHolder, net.Conn) {
		conn, peer := net.Pipe()
		return memory.newHolder(conn), peer
	}
	arrived, _ := newFrame()
	require.True(t, arrived.grow(40*kib))
	arrived.setArrived()
	small, _ := newFrame()
	require.True(t, small.grow(20*kib))
	large, peer := newFrame()
	require.True(t, large.grow(30*kib))
	require.False(t, large.grow(50*kib), "it is the largest itself")
	next, _ := newFrame()
	require.True(t, next.grow(25*kib))
	_, err := peer.Read(make([]byte, 1))
	require.Error(t, err, "the connection of the largest unfinished frame goes on")
	require.False(t, large.grow(30*kib))
	require.Equal(t, int64(85*kib), memory.used)
	for _, holder := range []*frameHolder{arrived, small, large, next} {
		holder.release()
	}
	require.Zero(t, memory.used)
}

// mustEncode encodes a value.
func mustEncode(t *testing.T, value any) []byte {
	t.Helper()
	encoded, err := cbor.Marshal(value)
	require.NoError(t, err)
	return encoded
}
