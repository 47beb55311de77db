package protocol

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"strconv"
	"time"
	"unicode/utf8"

	"nettlefold/internal/routing"
	"nettlefold/mixer"
)

// The types of frames, as the byte that follows the length of each frame. The mixer sends queries and
// cancellations; a searcher sends answers, and an error if it could not use a frame. Either side may send a
// probe, and a searcher may request the load: the reply is a frame of the same type with a payload.
const (
	QueryFrame  = 'Q'
	CancelFrame = 'X'
	ProbeFrame  = 'P'
	LoadFrame   = 'L'
	AnswerFrame = 'A'
	ErrorFrame  = 'E'
)

// Frame is one message between mixer and searcher. On the wire, a 32-bit little-endian length counts the
// type byte and the payload that follow it.
type Frame struct {
	Type    byte
	Payload []byte
}

// Part is one part of a lookup as it is sent to a searcher.
type Part struct {
	ID      string
	Shard   int
	Timeout time.Duration // how long the mixer waits for the reply
	Query   string
}

// Reply is the answer of a searcher to one part.
type Reply struct {
	ID      string
	Outcome routing.Outcome
	Value   []byte
}

// FrameError reports a frame that violates the protocol.
type FrameError struct{ text string }

func (e *FrameError) Error() string { return e.text }

// FrameErrorf returns a *FrameError with a formatted message.
func FrameErrorf(format string, args ...any) error { return &FrameError{fmt.Sprintf(format, args...)} }

// ReadFrame reads one frame, whose length may be up to maxBytes. It checks length and type before it
// allocates the payload. It returns io.EOF if there is no further frame, a *FrameError if the frame is
// invalid, and an error that wraps the cause if the frame is incomplete.
func ReadFrame(r io.Reader, maxBytes int) (Frame, error) {
	var header [5]byte
	if _, err := io.ReadFull(r, header[:4]); err != nil {
		return Frame{}, err
	}
	n := binary.LittleEndian.Uint32(header[:4])
	if n < 1 || n > uint32(maxBytes) {
		return Frame{}, FrameErrorf("frame: length %d is not within 1 to %d", n, maxBytes)
	}
	_, err := io.ReadFull(r, header[4:])
	if err == nil && bytes.IndexByte([]byte{QueryFrame, CancelFrame, ProbeFrame, LoadFrame, AnswerFrame, ErrorFrame},
		header[4]) < 0 {
		return Frame{}, FrameErrorf("frame: unknown letter %q", header[4])
	}
	payload := []byte(nil)
	if err == nil && n > 1 {
		payload = make([]byte, n-1)
		_, err = io.ReadFull(r, payload)
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return Frame{}, fmt.Errorf("frame: cut off within its %d bytes: %w", n, err)
	}
	return Frame{header[4], payload}, nil
}

// FrameBuffered reports whether ReadFrame returns without waiting for more input: the next frame is
// buffered completely, or its length exceeds maxBytes.
func FrameBuffered(in *bufio.Reader, maxBytes int) bool {
	header, err := in.Peek(min(4, in.Buffered()))
	if err != nil || len(header) < 4 {
		return false
	}
	n := binary.LittleEndian.Uint32(header)
	return n > uint32(maxBytes) || int(n) <= in.Buffered()-4
}

// AppendFrame appends one encoded frame to buf.
func AppendFrame(buf []byte, frameType byte, payload []byte) []byte {
	buf = binary.LittleEndian.AppendUint32(buf, uint32(1+len(payload)))
	buf = append(buf, frameType)
	return append(buf, payload...)
}

// AppendQuery appends to buf a query frame with the given parts.
func AppendQuery(buf []byte, parts []Part) []byte {
	var payload []byte
	for _, p := range parts {
		payload = append(payload, p.ID...)
		payload = append(payload, ' ')
		payload = strconv.AppendInt(payload, int64(p.Shard), 10)
		payload = append(payload, " d="...)
		payload = strconv.AppendInt(payload, max(0, p.Timeout.Milliseconds()), 10)
		payload = append(payload, ' ')
		payload = strconv.AppendInt(payload, int64(len(p.Query)), 10)
		payload = append(payload, '\n')
		payload = append(payload, p.Query...)
	}
	return AppendFrame(buf, QueryFrame, payload)
}

// outcomes maps the END field of an answer frame to its outcome.
var outcomes = map[string]routing.Outcome{"ok": mixer.Succeeded, "err": mixer.Failed, "busy": mixer.Rejected}

// ReadReply parses the payload of an answer frame. On an error, the reply still has the ID of its part if
// that could be parsed. The score is validated, but not used; the report
// is neither.
func ReadReply(payload []byte) (Reply, error) {
	line, value, ok := bytes.Cut(payload, []byte{'\n'})
	fields := bytes.SplitN(line, []byte{' '}, 4)
	r := Reply{ID: string(fields[0])}
	if !ok || len(fields) != 4 || len(fields[0]) == 0 {
		return r, FrameErrorf("answer: line %q is not ID END SCORE REPORT", truncate(string(line)))
	}
	if r.Outcome, ok = outcomes[string(fields[1])]; !ok {
		return r, FrameErrorf("answer: unknown end %q", truncate(string(fields[1])))
	}
	if _, err := strconv.ParseFloat(string(fields[2]), 64); err != nil {
		return r, FrameErrorf("answer: score %q is no number", truncate(string(fields[2])))
	}
	if !utf8.Valid(value) {
		return r, FrameErrorf("answer: value %q is not UTF-8", truncate(string(value)))
	}
	r.Value = value
	return r, nil
}

// ProbeResponse returns the payload that answers a probe or load frame of a searcher. The mixer is always
// healthy and reports no load.
func ProbeResponse(frameType byte) []byte {
	if frameType == LoadFrame {
		return []byte("-")
	}
	return []byte("ok")
}
