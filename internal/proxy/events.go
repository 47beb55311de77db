package proxy

import (
	"bytes"
	"strconv"
	"strings"
)

// maxBufferedEventBytes bounds the buffer for an incomplete event; a longer event is forwarded in
// pieces.
const maxBufferedEventBytes = 64 << 10

// eventFilter splits a stream of server-sent events into complete events and drops those that were
// forwarded before. A stream may break off in the middle of an event; the backend that resumes it
// sends that event again.
type eventFilter struct {
	lastID  string // ID of the last forwarded event
	partial []byte // incomplete event at the end of the input
}

// filter adds input and returns the events that are complete now and were not forwarded before.
func (e *eventFilter) filter(input []byte) []byte {
	e.partial = append(e.partial, input...)
	var out []byte
	for {
		end := eventEnd(e.partial)
		if end < 0 {
			if len(e.partial) > maxBufferedEventBytes {
				out, e.partial = append(out, e.partial...), nil
			}
			return out
		}
		event := e.partial[:end]
		id := eventID(event)
		if id == "" || !e.alreadyForwarded(id) {
			out = append(out, event...)
		}
		if id != "" && !e.alreadyForwarded(id) {
			e.lastID = id
		}
		e.partial = append([]byte(nil), e.partial[end:]...)
	}
}

// discardPartial drops the incomplete event.
func (e *eventFilter) discardPartial() { e.partial = nil }

// alreadyForwarded reports whether an event was forwarded before. IDs are increasing numbers.
func (e *eventFilter) alreadyForwarded(id string) bool {
	number, err1 := strconv.ParseInt(id, 10, 64)
	last, err2 := strconv.ParseInt(e.lastID, 10, 64)
	if err1 != nil || err2 != nil {
		return id == e.lastID
	}
	return number <= last
}

// eventEnd returns the offset after the blank line that ends the first event, or -1 if the event is
// incomplete.
func eventEnd(text []byte) int {
	end := -1
	for _, separator := range []string{"\n\n", "\r\n\r\n", "\r\r"} {
		if at := bytes.Index(text, []byte(separator)); at >= 0 && (end < 0 || at+len(separator) < end) {
			end = at + len(separator)
		}
	}
	return end
}

// eventID returns the ID of an event, or "" if it has none.
func eventID(event []byte) string {
	for _, line := range strings.FieldsFunc(string(event), func(r rune) bool { return r == '\n' || r == '\r' }) {
		if value, ok := strings.CutPrefix(line, "id:"); ok {
			return strings.TrimSpace(value)
		}
	}
	return ""
}
