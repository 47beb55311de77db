package rpc

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"runtime"
	"testing"
	"time"

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
	require.Less(t, int64(heapInUse())-int64(before), int64(heldLimit), "bytes held for unfinished frames")
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var reply string
	require.NoError(t, NewClient(listener.Addr().String()).Call(ctx, "anything", "", &reply))
}
