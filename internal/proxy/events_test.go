package proxy

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// sampleEvents is a stream whose last event has another field before its ID.
const sampleEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nversions: 3\nid: 3\ndata: c\n\n"

// filterAll returns what a filter forwards of a piece of a stream.
func filterAll(t *testing.T, e *eventFilter, piece string) string {
	t.Helper()
	out, err := e.filter([]byte(piece))
	require.NoError(t, err)
	return string(out)
}

// TestEventFilterSplitInput feeds a stream in two pieces, split at each byte.
func TestEventFilterSplitInput(t *testing.T) {
	for at := range len(sampleEvents) {
		e := newEventFilter("", nil)
		out := filterAll(t, e, sampleEvents[:at]) + filterAll(t, e, sampleEvents[at:])
		require.Equal(t, sampleEvents, out, "forwarded events, input split at byte %d", at)
		require.Equal(t, "3", e.lastID)
	}
}

// TestEventFilterResume breaks a stream off at each byte and resumes it after the last complete event,
// at a backend that may repeat earlier events.
func TestEventFilterResume(t *testing.T) {
	for at := range len(sampleEvents) {
		for _, repeats := range []bool{false, true} {
			e := newEventFilter("", nil)
			out := filterAll(t, e, sampleEvents[:at])
			e.startRun()
			rest := sampleEvents[len(out):]
			if repeats {
				rest = sampleEvents
			}
			out += filterAll(t, e, rest)
			require.Equal(t, sampleEvents, out, "forwarded events, stream broken off at byte %d, repeated events: %v", at, repeats)
		}
	}
}

// randomEvents returns the events of a stream, each of which may lack an ID, be long, or have a comment before it.
func randomEvents(random *rand.Rand) (events []string) {
	lineEnd := []string{"\n", "\r\n", "\r"}[random.IntN(3)]
	for number := range 1 + random.IntN(8) {
		id, data := fmt.Sprint("id: ", number+1, lineEnd), fmt.Sprint("data: ", number+1, lineEnd)
		if random.IntN(12) == 0 {
			data += "data: " + strings.Repeat("x", maxBufferedEventBytes+random.IntN(maxBufferedEventBytes)) + lineEnd
		}
		event := id + data + lineEnd
		switch random.IntN(6) {
		case 0:
			event = data + lineEnd
		case 1, 2:
			event = data + id + lineEnd
		}
		events = append(events, event)
	}
	return events
}

// filterInPieces returns what a filter forwards of a stream that arrives in random pieces.
func filterInPieces(e *eventFilter, random *rand.Rand, text string) (out string, err error) {
	for len(text) > 0 && err == nil {
		size := 1 + random.IntN(min(len(text), 1+random.IntN(relayBufferBytes)))
		var forwarded []byte
		forwarded, err = e.filter([]byte(text[:size]))
		out, text = out+string(forwarded), text[size:]
	}
	return out, err
}

// TestEventFilterForwardsOneStream breaks random streams off at random bytes, again and again, and continues each after its last event
// with an ID, by runs that may repeat the events before it. What is forwarded is a prefix of the stream at any time, and whole in the end
// unless the filter tells that the stream can't be resumed.
func TestEventFilterForwardsOneStream(t *testing.T) {
	whole, resumed := 0, 0
	for seed := range uint64(3000) {
		random := rand.New(rand.NewPCG(seed, 0))
		events := randomEvents(random)
		text := strings.Join(events, "")
		e := newEventFilter("", nil)
		out, begin := "", 0
		for runs := 0; ; runs++ {
			rest := strings.Join(events[begin:], "")
			cut := random.IntN(len(rest) + 1)
			if runs >= 3 {
				cut = len(rest)
			}
			forwarded, err := filterInPieces(e, random, rest[:cut])
			out += forwarded
			require.True(t, strings.HasPrefix(text, out), "seed %d, run %d: forwarded bytes aren't a prefix of the stream", seed, runs)
			if err == nil && cut == len(rest) {
				out += string(e.rest())
				require.Equal(t, len(text), len(out), "seed %d: bytes of a complete stream", seed)
				whole++
				break
			}
			if !e.resumable() || err != nil && runs >= 3 {
				break
			}
			resumed++
			e.startRun()
			begin = 0
			if number, err := strconv.Atoi(e.lastID); err == nil && random.IntN(3) > 0 {
				begin = number
			}
		}
	}
	require.Greater(t, whole, 1000, "streams that became whole")
	require.Greater(t, resumed, 1000, "runs that resumed a stream")
}

// TestEventScannerLineEnds finds the ends of events with each kind of line end, in pieces split at each byte.
func TestEventScannerLineEnds(t *testing.T) {
	for _, c := range []struct {
		text   string
		events int
		whole  bool
	}{
		{"id: 1\n\n", 1, true}, {"id: 1\r\n\r\n", 1, true}, {"id: 1\r\r", 1, true}, {"id: 1\n\r\nid: 2\r\n\n", 2, true},
		{"id: 1\r\n\r", 0, false}, {"id: 1\r", 0, false}, {"id: 1", 0, false}, {"", 0, true}, {"\n\n", 2, true}, {"\r\n", 1, true},
		{": comment\n\nid: 1\n\n", 2, true}, {"id: 1\n\nid", 1, false}, {"id: 1\r\rid: 2\r\r", 2, true},
	} {
		for at := range len(c.text) + 1 {
			var s eventScanner
			events := 0
			for _, piece := range []string{c.text[:at], c.text[at:]} {
				for len(piece) > 0 {
					length, event := s.next([]byte(piece))
					piece = piece[length:]
					if event != nil {
						events++
					}
				}
			}
			require.Equal(t, c.events, events, "events of %q split at byte %d", c.text, at)
			require.Equal(t, c.whole, s.betweenEvents(), "the end of %q is that of an event", c.text)
		}
	}
}
