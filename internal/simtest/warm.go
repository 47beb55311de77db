package simtest

import (
	"context"
	"os"
	"strings"
	"testing"

	"nettlefold/internal/rpc"
)

// Main runs the tests of a package that plays programs in bubbles. Before them it sends one frame that is long enough to be compressed: the
// channels that the compressor then makes must belong to no bubble.
func Main(m *testing.M) {
	listener, err := rpc.TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go rpc.Serve(listener, func(context.Context, string, []byte) (any, error) { return nil, nil })
	client := rpc.NewClient(listener.Addr().String())
	if err := client.Call(context.Background(), "warm", strings.Repeat("x", 4096), nil); err != nil {
		panic(err)
	}
	client.Close()
	listener.Close()
	os.Exit(m.Run())
}
