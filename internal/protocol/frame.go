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

// The letters of frames.
const (
	QueryFrame  = 'Q'
	CancelFrame = 'X'
	ProbeFrame  = 'P'
	LoadFrame   = 'L'
	AnswerFrame = 'A'
	ErrorFrame  = 'E'
)

// Frame is one message between mixer and searcher.
type Frame struct {
	Type    byte
	Payload []byte
}

// Part is one part as a searcher is sent it.
type Part struct {
	ID      string
	Shard   int
	Timeout time.Duration // how long the mixer waits
	Query   string
}

// Reply is what a searcher answers to a part.
type Reply struct {
	ID      string
	Outcome routing.Outcome
	Value   []byte
}

// BadFrame is a frame that breaks the protocol.
type FrameError struct{ text string }

func (b *FrameError) Error() string { return b.text }

// Bad says what is wrong with a frame.
func FrameErrorf(format string, args ...any) error { return &FrameError{fmt.Sprintf(format, args...)} }

// ReadFrame reads one frame of at most so many bytes. Memory is taken only once length and letter have been seen to be sound.
func ReadFrame(r io.Reader, most int) (Frame, error) {
	var head [5]byte
	if _, err := io.ReadFull(r, head[:4]); err != nil {
		return Frame{}, err
	}
	n := binary.LittleEndian.Uint32(head[:4])
	if n < 1 || n > uint32(most) {
		return Frame{}, FrameErrorf("frame: length %d is not within 1 to %d", n, most)
	}
	_, err := io.ReadFull(r, head[4:])
	if err == nil && bytes.IndexByte([]byte{QueryFrame, CancelFrame, ProbeFrame, LoadFrame, AnswerFrame, ErrorFrame}, head[4]) < 0 {
		return Frame{}, FrameErrorf("frame: unknown letter %q", head[4])
	}
	rest := []byte(nil)
	if err == nil && n > 1 {
		rest = make([]byte, n-1)
		_, err = io.ReadFull(r, rest)
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return Frame{}, fmt.Errorf("frame: cut off within its %d bytes: %w", n, err)
	}
	return Frame{head[4], rest}, nil
}

// Waits tells whether the next frame has come in whole, or is known not to be one.
func FrameBuffered(in *bufio.Reader, most int) bool {
	head, err := in.Peek(min(4, in.Buffered()))
	if err != nil || len(head) < 4 {
		return false
	}
	n := binary.LittleEndian.Uint32(head)
	return n > uint32(most) || int(n) <= in.Buffered()-4
}

// AppendFrame writes one frame.
func AppendFrame(to []byte, letter byte, rest []byte) []byte {
	to = binary.LittleEndian.AppendUint32(to, uint32(1+len(rest)))
	to = append(to, letter)
	return append(to, rest...)
}

// AppendCall writes the frame of one call.
func AppendQuery(to []byte, parts []Part) []byte {
	var rest []byte
	for _, p := range parts {
		rest = append(rest, p.ID...)
		rest = append(rest, ' ')
		rest = strconv.AppendInt(rest, int64(p.Shard), 10)
		rest = append(rest, " d="...)
		rest = strconv.AppendInt(rest, max(0, p.Timeout.Milliseconds()), 10)
		rest = append(rest, ' ')
		rest = strconv.AppendInt(rest, int64(len(p.Query)), 10)
		rest = append(rest, '\n')
		rest = append(rest, p.Query...)
	}
	return AppendFrame(to, QueryFrame, rest)
}

var outcomes = map[string]routing.Outcome{"ok": mixer.Succeeded, "err": mixer.Failed, "busy": mixer.Rejected}

// ReadReply reads the rest of an answer's frame. Where it cannot be used, the reply has the id at least if that could be
// read. The report is not used, so one that cannot be read is no fault.
func ReadReply(rest []byte) (Reply, error) {
	line, value, ok := bytes.Cut(rest, []byte{'\n'})
	words := bytes.SplitN(line, []byte{' '}, 4)
	r := Reply{ID: string(words[0])}
	if !ok || len(words) != 4 || len(words[0]) == 0 {
		return r, FrameErrorf("answer: line %q is not ID END SCORE REPORT", truncate(string(line)))
	}
	if r.Outcome, ok = outcomes[string(words[1])]; !ok {
		return r, FrameErrorf("answer: unknown end %q", truncate(string(words[1])))
	}
	if _, err := strconv.ParseFloat(string(words[2]), 64); err != nil {
		return r, FrameErrorf("answer: score %q is no number", truncate(string(words[2])))
	}
	if !utf8.Valid(value) {
		return r, FrameErrorf("answer: value %q is not UTF-8", truncate(string(value)))
	}
	r.Value = value
	return r, nil
}

// ProbeAnswer gives the rest that answers a searcher's probe: the mixer is well, and reports no load.
func ProbeResponse(letter byte) []byte {
	if letter == LoadFrame {
		return []byte("-")
	}
	return []byte("ok")
}
