package proxy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nversions: 3\nid: 3\ndata: c\n\n"

// TestEventsAtEverySplit passes a stream on in two pieces, cut at each byte.
func TestEventsAtEverySplit(t *testing.T) {
	for at := range len(stream) {
		e := &eventReader{}
		out := string(e.take([]byte(stream[:at]))) + string(e.take([]byte(stream[at:])))
		require.Equal(t, stream, out, "cut at %d", at)
		require.Equal(t, "3", e.last)
	}
}

// TestAStreamIsTakenUpAtEveryCut cuts a stream at each byte and goes on behind the last event, at a backend that may repeat it.
func TestAStreamIsTakenUpAtEveryCut(t *testing.T) {
	for at := range len(stream) {
		for _, repeats := range []bool{false, true} {
			e := &eventReader{}
			out := string(e.take([]byte(stream[:at])))
			e.cut()
			rest := stream[len(out):]
			if repeats {
				rest = stream
			}
			out += string(e.take([]byte(rest)))
			require.Equal(t, stream, out, "cut at %d", at)
		}
	}
}
