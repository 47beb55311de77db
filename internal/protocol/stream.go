package protocol

import (
	"bytes"
	"strconv"
)

// Stream follows the bytes of a client's connection from request to request. It sees what net/http hides: a request
// whose length is told in two ways, one of which may hide another request, and bytes that come before the answer.
type RequestStream struct {
	Fault    string // what is wrong, for good
	Complete bool   // the request at hand has come in whole

	stage               stage
	started             bool   // some of the request at hand has come
	awaitingRequestLine bool   // the head's first line is still to come
	line                []byte // of the line at hand, at most lineKept bytes
	contentLength       int64  // told by the head, -1 if it was not
	chunked             bool
	remaining           int64 // of the body or chunk
}

type stage int

const (
	inHeader stage = iota
	inBody
	inChunkSize // the line before a chunk
	inChunk     // a chunk and the line end after it
	inTrailer   // after the last chunk
)

// lineKept is as much of a line as its name and a length need.
const maxLineBytes = 128

// Next begins the next request, once the one at hand is being answered.
func (s *RequestStream) Next() {
	if s.Complete && s.Fault == "" {
		*s = RequestStream{}
	}
}

// Begun tells whether some of a request has come.
func (s *RequestStream) Started() bool { return s.started }

// Feed takes what has come next.
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

// took takes a line that has come in whole.
func (s *RequestStream) endLine(line []byte) {
	switch s.stage {
	case inHeader:
		switch {
		case s.awaitingRequestLine:
			s.awaitingRequestLine = len(line) == 0 // an empty line may come before the first
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

// field takes a line of the head.
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

// headed is at the head's end.
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
