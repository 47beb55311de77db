package proxy

import (
	"bytes"
	"strconv"
	"strings"
)

// maxEventBytes bounds an event that is held until it is whole; a longer one is passed on as it comes.
const maxBufferedEventBytes = 64 << 10

// eventReader passes a stream of events on event by event, and knows the identity of the last one: a stream may be cut in the midst of
// an event, which then comes again from where it is taken up.
type eventFilter struct {
	lastID  string // identity of the last event that was passed on
	partial []byte // the event that is not whole yet
}

// take adds bytes, and gives the whole events that there are now, without those that came before.
func (e *eventFilter) filter(more []byte) []byte {
	e.partial = append(e.partial, more...)
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

// cut forgets an event that did not come whole.
func (e *eventFilter) discardPartial() { e.partial = nil }

// passed tells whether an event was passed on before: identities are numbers that rise.
func (e *eventFilter) alreadyForwarded(id string) bool {
	at, err1 := strconv.ParseInt(id, 10, 64)
	last, err2 := strconv.ParseInt(e.lastID, 10, 64)
	if err1 != nil || err2 != nil {
		return id == e.lastID
	}
	return at <= last
}

// eventEnd is where the first event ends, behind its empty line; -1 if it is not whole.
func eventEnd(text []byte) int {
	end := -1
	for _, mark := range []string{"\n\n", "\r\n\r\n", "\r\r"} {
		if at := bytes.Index(text, []byte(mark)); at >= 0 && (end < 0 || at+len(mark) < end) {
			end = at + len(mark)
		}
	}
	return end
}

// eventID reads the identity of an event, "" if it has none.
func eventID(event []byte) string {
	for _, line := range strings.FieldsFunc(string(event), func(r rune) bool { return r == '\n' || r == '\r' }) {
		if value, ok := strings.CutPrefix(line, "id:"); ok {
			return strings.TrimSpace(value)
		}
	}
	return ""
}
