package protocol

import (
	"bytes"
	"strconv"
)

// Stream follows the bytes of a client's connection from request to request. It sees what net/http hides: a request
// whose length is told in two ways, one of which may hide another request, and bytes that come before the answer.
type Stream struct {
	Fault string // what is wrong, for good
	Whole bool   // the request at hand has come in whole

	stage   stage
	begun   bool   // some of the request at hand has come
	first   bool   // the head's first line is still to come
	line    []byte // of the line at hand, at most lineKept bytes
	length  int64  // told by the head, -1 if it was not
	chunked bool
	left    int64 // of the body or chunk
}

type stage int

const (
	inHead stage = iota
	inBody
	inSize    // the line before a chunk
	inChunk   // a chunk and the line end after it
	inTrailer // after the last chunk
)

// lineKept is as much of a line as its name and a length need.
const lineKept = 128

// Next begins the next request, once the one at hand is being answered.
func (s *Stream) Next() {
	if s.Whole && s.Fault == "" {
		*s = Stream{}
	}
}

// Begun tells whether some of a request has come.
func (s *Stream) Begun() bool { return s.begun }

// Feed takes what has come next.
func (s *Stream) Feed(b []byte) {
	for len(b) > 0 && s.Fault == "" {
		if s.Whole {
			s.Fault = "more than one request at a time"
			return
		}
		if !s.begun {
			s.begun, s.first, s.length = true, true, -1
		}
		if s.stage == inBody || s.stage == inChunk {
			n := min(s.left, int64(len(b)))
			b, s.left = b[n:], s.left-n
			if s.left > 0 {
				return
			}
			if s.stage == inBody {
				s.Whole = true
				continue
			}
			s.stage = inSize
			continue
		}
		line, rest, ended := bytes.Cut(b, []byte{'\n'})
		s.line = append(s.line, line[:min(len(line), lineKept-len(s.line))]...)
		if !ended {
			return
		}
		b = rest
		s.took(bytes.TrimSuffix(s.line, []byte{'\r'}))
		s.line = s.line[:0]
	}
}

// took takes a line that has come in whole.
func (s *Stream) took(line []byte) {
	switch s.stage {
	case inHead:
		switch {
		case s.first:
			s.first = len(line) == 0 // an empty line may come before the first
		case len(line) == 0:
			s.headed()
		default:
			s.field(line)
		}
	case inSize:
		size, _, _ := bytes.Cut(line, []byte{';'})
		n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 31)
		switch {
		case err != nil:
			s.Fault = "a chunk without a length"
		case n == 0:
			s.stage = inTrailer
		default:
			s.stage, s.left = inChunk, int64(n)+2
		}
	case inTrailer:
		s.Whole = len(line) == 0
	}
}

// field takes a line of the head.
func (s *Stream) field(line []byte) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	switch {
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		s.chunked = true
	case bytes.EqualFold(name, []byte("Content-Length")):
		n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 62)
		if err != nil || s.length >= 0 {
			s.Fault = "Content-Length: not one length"
		}
		s.length = int64(n)
	}
	if s.chunked && s.length >= 0 {
		s.Fault = "both Content-Length and Transfer-Encoding"
	}
}

// headed is at the head's end.
func (s *Stream) headed() {
	switch {
	case s.chunked:
		s.stage = inSize
	case s.length > 0:
		s.stage, s.left = inBody, s.length
	default:
		s.Whole = true
	}
}
