package upstream

import (
	"bytes"
	"net"
	"time"

	"github.com/ansel1/merry/v2"

	"nettlefold/internal/memlimit"
)

const (
	// maxHeadBytes and maxHeadLines bound the head of a response, together with all informational responses and
	// the heads of late responses before it.
	maxHeadBytes = 256 << 10
	maxHeadLines = 2000
	// headLineOverhead is about what a line of a head takes in memory beside its text, once it is parsed.
	headLineOverhead = 128
	// headCopies is how often the text of a head is in memory at most while it is parsed.
	headCopies = 3
)

// ErrHeadTooLong is returned for a response whose head doesn't end within the bounds.
var ErrHeadTooLong = merry.New("head of the response is too long")

// source is the reading side of a connection. It bounds heads, and measures how long reads wait.
type source struct {
	conn   net.Conn
	waited time.Duration // in reads, since the connection was opened
	reads  int

	readsHead bool // the bytes that are read count against the bounds
	headBytes int
	headLines int
	memory    memlimit.Account // for the head of the current response
}

// beginHead bounds what is read from now on as the head of a response.
func (s *source) beginHead() { s.readsHead, s.headBytes, s.headLines = true, 0, 0 }

// Read reads from the connection.
func (s *source) Read(buffer []byte) (int, error) {
	if s.readsHead {
		if s.headBytes >= maxHeadBytes || s.headLines > maxHeadLines {
			return 0, ErrHeadTooLong
		}
		buffer = buffer[:min(len(buffer), maxHeadBytes-s.headBytes)]
	}
	began := time.Now()
	n, err := s.conn.Read(buffer)
	s.waited += time.Since(began)
	s.reads++
	if s.readsHead {
		s.headBytes += n
		s.headLines += bytes.Count(buffer[:n], []byte{'\n'})
		if !s.memory.Resize(int64(s.headBytes*headCopies + s.headLines*headLineOverhead)) {
			return 0, memlimit.ErrExhausted
		}
	}
	return n, err
}
