package protocol

import (
	"bytes"
	"strconv"
)

// RequestStream tracks the framing of HTTP requests in the bytes of a client connection. It detects what
// net/http hides: a request with two contradicting lengths, which allows request smuggling, and a
// pipelined request, whose bytes arrive before the previous one has been answered.
type RequestStream struct {
	Fault    string // a protocol violation, after which input is ignored; empty if there is none
	Complete bool   // the current request has arrived completely

	stage               stage
	started             bool   // part of the current request has arrived
	awaitingRequestLine bool   // the request line is still to come
	line                []byte // start of the current line, at most maxLineBytes
	contentLength       int64  // from the header, in bytes; -1 if absent
	chunked             bool
	remaining           int64 // bytes of the body or chunk still to come
}

// stage is the part of a request that the next byte belongs to.
type stage int

const (
	inHeader stage = iota
	inBody
	inChunkSize // the line before a chunk
	inChunk     // a chunk and its line end
	inTrailer   // after the last chunk, up to an empty line
)

// maxLineBytes is how much of a line is kept: enough for a field name and a length.
const maxLineBytes = 128

// Next moves on to the next request once the current one is complete and is being answered.
func (s *RequestStream) Next() {
	if s.Complete && s.Fault == "" {
		*s = RequestStream{}
	}
}

// Started reports whether part of the current request has arrived.
func (s *RequestStream) Started() bool { return s.started }

// Feed processes the next bytes of the connection.
func (s *RequestStream) Feed(b []byte) {
	for len(b) > 0 && s.Fault == "" {
		if s.Complete {
			s.Fault = "more than one request at a time"
			return
		}
		if !s.started {
			s.started, s.awaitingRequestLine, s.contentLength = true, true, -1
		}
		if s.stage == inBody || s.stage == inChunk {
			n := min(s.remaining, int64(len(b)))
			b, s.remaining = b[n:], s.remaining-n
			if s.remaining > 0 {
				return
			}
			if s.stage == inBody {
				s.Complete = true
				continue
			}
			s.stage = inChunkSize
			continue
		}
		line, rest, ended := bytes.Cut(b, []byte{'\n'})
		s.line = append(s.line, line[:min(len(line), maxLineBytes-len(s.line))]...)
		if !ended {
			return
		}
		b = rest
		s.endLine(bytes.TrimSuffix(s.line, []byte{'\r'}))
		s.line = s.line[:0]
	}
}

// endLine processes a complete line without its line end.
func (s *RequestStream) endLine(line []byte) {
	switch s.stage {
	case inHeader:
		switch {
		case s.awaitingRequestLine:
			s.awaitingRequestLine = len(line) == 0 // an empty line may precede the request line
		case len(line) == 0:
			s.endHeader()
		default:
			s.headerField(line)
		}
	case inChunkSize:
		size, _, _ := bytes.Cut(line, []byte{';'})
		n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 31)
		switch {
		case err != nil:
			s.Fault = "a chunk without a length"
		case n == 0:
			s.stage = inTrailer
		default:
			s.stage, s.remaining = inChunk, int64(n)+2
		}
	case inTrailer:
		s.Complete = len(line) == 0
	}
}

// headerField processes a line of the header.
func (s *RequestStream) headerField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	switch {
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		s.chunked = true
	case bytes.EqualFold(name, []byte("Content-Length")):
		n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 62)
		if err != nil || s.contentLength >= 0 {
			s.Fault = "Content-Length: not one length"
		}
		s.contentLength = int64(n)
	}
	if s.chunked && s.contentLength >= 0 {
		s.Fault = "both Content-Length and Transfer-Encoding"
	}
}

// endHeader processes the empty line that ends the header.
func (s *RequestStream) endHeader() {
	switch {
	case s.chunked:
		s.stage = inChunkSize
	case s.contentLength > 0:
		s.stage, s.remaining = inBody, s.contentLength
	default:
		s.Complete = true
	}
}
