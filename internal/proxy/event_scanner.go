package proxy

import (
	"bytes"
	"strings"
)

// maxFieldBytes is how much of a line is kept to find an event's ID in it. A longer ID counts as none.
const maxFieldBytes = 256

// eventScanner finds the ends of server-sent events in a stream that arrives in pieces. A line ends with
// LF, CRLF or CR, an event with a blank line. It looks at each byte once.
type eventScanner struct {
	line       []byte // beginning of the current line, at most maxFieldBytes+1
	lineLength int
	endsByCR   bool // the last line ended with CR alone
	afterCR    bool // the last byte was a CR, to which a LF may belong
	blankLine  bool // that CR ended a blank line
	started    bool // there are bytes after the last complete event

	id       string // of the current event so far, "" if it has none
	hasField bool   // the current event has a line that is no comment
}

// scannedEvent describes a complete event.
type scannedEvent struct {
	id       string // "" if it has none
	hasField bool   // false for comments and blank lines, which clients ignore
}

// next reads input up to the end of the first event in it, and returns how many bytes these are. event
// is nil if input ends before the event does.
func (s *eventScanner) next(input []byte) (length int, event *scannedEvent) {
	for i, b := range input {
		if s.afterCR {
			s.afterCR = false
			blank := s.blankLine
			s.endsByCR = b != '\n'
			if blank && s.endsByCR {
				return i, s.endEvent()
			}
			if blank {
				return i + 1, s.endEvent()
			}
			if !s.endsByCR {
				continue
			}
		}
		s.started = true
		switch b {
		case '\n':
			s.endsByCR = false
			if s.endLine() {
				return i + 1, s.endEvent()
			}
		case '\r':
			s.blankLine = s.endLine()
			if s.blankLine && s.endsByCR {
				return i + 1, s.endEvent()
			}
			s.afterCR = true
		default:
			s.lineLength++
			if len(s.line) <= maxFieldBytes {
				s.line = append(s.line, b)
			}
		}
	}
	return len(input), nil
}

// endLine ends the current line, and reports whether it was blank.
func (s *eventScanner) endLine() (blank bool) {
	if s.lineLength == 0 {
		return true
	}
	if name, value, found := bytes.Cut(s.line, []byte(":")); len(name) > 0 || !found {
		s.hasField = true
		if string(name) == "id" {
			s.id = ""
			if s.lineLength <= maxFieldBytes {
				s.id = strings.TrimSpace(string(value))
			}
		}
	}
	s.line, s.lineLength = s.line[:0], 0
	return false
}

// endEvent ends the current event.
func (s *eventScanner) endEvent() *scannedEvent {
	event := &scannedEvent{s.id, s.hasField}
	s.id, s.hasField, s.blankLine, s.started = "", false, false, false
	return event
}

// betweenEvents reports whether the bytes read so far end with a complete event.
func (s *eventScanner) betweenEvents() bool { return !s.started }
