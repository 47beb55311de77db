package proxy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const sampleEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nversions: 3\nid: 3\ndata: c\n\n"

// TestEventsAtEverySplit passes a stream on in two pieces, cut at each byte.
func TestEventFilterSplitInput(t *testing.T) {
	for at := range len(sampleEvents) {
		e := &eventFilter{}
		out := string(e.filter([]byte(sampleEvents[:at]))) + string(e.filter([]byte(sampleEvents[at:])))
		require.Equal(t, sampleEvents, out, "cut at %d", at)
		require.Equal(t, "3", e.lastID)
	}
}

// TestAStreamIsTakenUpAtEveryCut cuts a stream at each byte and goes on behind the last event, at a backend that may repeat it.
func TestEventFilterResume(t *testing.T) {
	for at := range len(sampleEvents) {
		for _, repeats := range []bool{false, true} {
			e := &eventFilter{}
			out := string(e.filter([]byte(sampleEvents[:at])))
			e.discardPartial()
			rest := sampleEvents[len(out):]
			if repeats {
				rest = sampleEvents
			}
			out += string(e.filter([]byte(rest)))
			require.Equal(t, sampleEvents, out, "cut at %d", at)
		}
	}
}
