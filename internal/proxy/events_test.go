package proxy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// sampleEvents is a stream whose last event has another field before its ID.
const sampleEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nversions: 3\nid: 3\ndata: c\n\n"

// TestEventFilterSplitInput feeds a stream in two pieces, split at each byte.
func TestEventFilterSplitInput(t *testing.T) {
	for at := range len(sampleEvents) {
		e := &eventFilter{}
		out := string(e.filter([]byte(sampleEvents[:at]))) + string(e.filter([]byte(sampleEvents[at:])))
		require.Equal(t, sampleEvents, out, "forwarded events, input split at byte %d", at)
		require.Equal(t, "3", e.lastID)
	}
}

// TestEventFilterResume breaks a stream off at each byte and resumes it after the last complete event,
// at a backend that may repeat earlier events.
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
			require.Equal(t, sampleEvents, out, "forwarded events, stream broken off at byte %d, repeated events: %v", at, repeats)
		}
	}
}
