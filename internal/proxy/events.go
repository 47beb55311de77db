package proxy

import (
	"errors"
	"strconv"

	"nettlefold/internal/memlimit"
)

// maxBufferedEventBytes bounds the buffer for an incomplete event; a longer event is forwarded in
// pieces.
const maxBufferedEventBytes = 64 << 10

// maxHeldBytes bounds what is held of a run that resumes a stream until an ID tells whether it was
// forwarded before.
const maxHeldBytes = 1 << 20

// errRepeatedLongEvent means that a run that resumes a stream sent more than can be held, or a part of
// an event that was forwarded, before an ID told that it isn't new, or might not be.
var errRepeatedLongEvent = errors.New("long event of a resumed stream may have been forwarded before")

// eventFilter splits a resumable stream of server-sent events into complete events. A stream may break
// off in the middle of an event; the run that resumes it sends that event again, and may repeat events
// from before it, which the filter drops. The events of a single run are forwarded unchanged, whatever
// their IDs are.
type eventFilter struct {
	memory  memlimit.Account // for partial and held
	scanner eventScanner
	partial []byte // buffered part of the incomplete event at the end of the input
	lastID  string // ID of the last forwarded event that has one

	resumed   bool // this run resumes a stream and hasn't come past the event lastID yet
	repeating bool // this run has sent events that were forwarded before
	// joined is set if this run follows another one in the same answer. Its events without an ID are then
	// held until the next ID tells whether they were forwarded before.
	joined bool
	held   []byte
	// withoutID is set while events without an ID were forwarded after lastID. A run that resumes the
	// stream would repeat them, and nothing would tell.
	withoutID bool

	forwardedPart bool // a part of the incomplete event was forwarded
	dropping      bool // the incomplete event was forwarded before
}

// newEventFilter returns the filter of a stream that a client wants from the event after lastID on, ""
// for all of it. What it buffers takes its memory from a budget until close is called.
func newEventFilter(lastID string, memory *memlimit.Budget) *eventFilter {
	return &eventFilter{lastID: lastID, resumed: lastID != "", memory: memory.NewAccount()}
}

// close drops what is buffered.
func (e *eventFilter) close() {
	e.partial, e.held = nil, nil
	e.memory.Close()
}

// hasMemory reports whether there is memory for what is buffered.
func (e *eventFilter) hasMemory() bool { return e.memory.Resize(int64(cap(e.partial) + cap(e.held))) }

// filter adds input and returns what is to be forwarded now: events that are complete, and parts of one
// that is too long for the buffer.
func (e *eventFilter) filter(input []byte) (out []byte, err error) {
	for len(input) > 0 {
		length, event := e.scanner.next(input)
		e.partial = append(e.partial, input[:length]...)
		input = input[length:]
		if event == nil {
			part, err := e.takePart()
			return append(out, part...), err
		}
		if e.forwardedPart && event.id != "" && e.isRepeated(event.id) {
			return out, errRepeatedLongEvent
		}
		switch {
		case !event.hasField: // a comment, which keeps a connection alive
			out = append(out, e.partial...)
		case e.holds(event):
			if e.held = append(e.held, e.partial...); len(e.held) > maxHeldBytes {
				return out, errRepeatedLongEvent
			}
			if !e.hasMemory() {
				return out, memlimit.ErrExhausted
			}
		case e.forwards(event):
			out = append(append(out, e.held...), e.partial...)
			e.held = nil
		default:
			e.held = nil
		}
		e.partial, e.forwardedPart, e.dropping = e.partial[:0], false, false
	}
	if cap(e.partial) > relayBufferBytes {
		e.partial = nil // don't keep the memory of a long event
		e.hasMemory()
	}
	return out, nil
}

// holds reports whether a complete event is held until the ID of a later one tells whether it was
// forwarded before.
func (e *eventFilter) holds(event *scannedEvent) bool {
	return e.joined && e.resumed && !e.repeating && event.id == ""
}

// forwards reports whether a complete event is to be forwarded, and records it as forwarded.
func (e *eventFilter) forwards(event *scannedEvent) bool {
	if !e.forwardedPart && e.isRepeated(event.id) {
		e.resumed = event.id != e.lastID // what follows that event is new
		e.repeating = e.resumed
		return false
	}
	if event.id == "" {
		e.withoutID = true
		return true
	}
	e.lastID, e.withoutID, e.resumed = event.id, false, false
	return true
}

// isRepeated reports whether an event with an ID, "" for none, was forwarded before. IDs of a run that
// resumes a stream are compared as increasing numbers where they are numbers.
func (e *eventFilter) isRepeated(id string) bool {
	switch {
	case !e.resumed:
		return false
	case id == "":
		return e.repeating
	}
	number, err1 := strconv.ParseInt(id, 10, 64)
	last, err2 := strconv.ParseInt(e.lastID, 10, 64)
	if err1 != nil || err2 != nil {
		return id == e.lastID
	}
	return number <= last
}

// takePart takes the buffered part of an event that is too long for the buffer, or for which there is no memory, to be
// forwarded.
func (e *eventFilter) takePart() (part []byte, err error) {
	hasMemory := e.hasMemory()
	if len(e.partial) <= maxBufferedEventBytes && hasMemory {
		return nil, nil
	}
	if !e.forwardedPart && !e.dropping {
		id := e.scanner.id
		if id == "" && e.resumed && (e.joined || e.repeating) {
			switch {
			case len(e.partial) > maxHeldBytes:
				return nil, errRepeatedLongEvent
			case !hasMemory:
				return nil, memlimit.ErrExhausted
			}
			return nil, nil
		}
		e.dropping = id != "" && e.isRepeated(id)
	}
	part, e.partial = e.partial, nil
	e.hasMemory()
	if e.dropping {
		return nil, nil
	}
	e.forwardedPart = true
	return part, nil
}

// rest returns what is to be forwarded at the end of a complete stream: held events, and an event
// without a blank line behind it.
func (e *eventFilter) rest() []byte {
	if e.dropping || e.isRepeated(e.scanner.id) {
		return nil
	}
	return append(e.held, e.partial...)
}

// betweenEvents reports whether the stream so far ends with a complete event.
func (e *eventFilter) betweenEvents() bool { return e.scanner.betweenEvents() }

// resumable reports whether another run that begins after lastID can continue what was forwarded.
func (e *eventFilter) resumable() bool { return !e.forwardedPart && !e.withoutID }

// startRun prepares for the bytes of a run that resumes the stream.
func (e *eventFilter) startRun() {
	e.scanner, e.partial, e.dropping = eventScanner{}, nil, false
	e.resumed, e.repeating = e.lastID != "", false
	e.joined, e.held = true, nil
	e.hasMemory()
}
