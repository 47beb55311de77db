// Package asynclog writes a program's log without ever holding the program up. What reads a log may stand still or end while the program
// runs; lines that can't be queued or written are dropped and counted, and the log says how many once it is read again.
package asynclog

import (
	"io"
	"sync/atomic"
	"time"
)

// Bounds of what is queued for a reader that is behind.
const (
	maxQueuedLines = 1024
	maxQueuedBytes = 1 << 20
)

// Writer passes each line, which must come in one call of Write, to another writer. It is safe for concurrent use.
type Writer struct {
	lines       chan []byte
	queuedBytes atomic.Int64
	dropped     atomic.Uint64
	notify      func(out io.Writer, dropped uint64)
	closing     chan struct{}
	closed      chan struct{}
}

// New returns a writer to out. notify writes to out that so many lines were dropped since it was last called.
func New(out io.Writer, notify func(out io.Writer, dropped uint64)) *Writer {
	w := &Writer{lines: make(chan []byte, maxQueuedLines), notify: notify, closing: make(chan struct{}), closed: make(chan struct{})}
	go w.run(out)
	return w
}

// Write queues a line. It never blocks or fails.
func (w *Writer) Write(line []byte) (int, error) {
	size := int64(len(line))
	if w.queuedBytes.Add(size) <= maxQueuedBytes {
		select {
		case w.lines <- append([]byte(nil), line...):
			return len(line), nil
		default:
		}
	}
	w.queuedBytes.Add(-size)
	w.dropped.Add(1)
	return len(line), nil
}

// Dropped returns how many lines were dropped so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close waits until the queued lines are written, at most for limit. Lines that come later may be dropped.
func (w *Writer) Close(limit time.Duration) {
	close(w.closing)
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	select {
	case <-w.closed:
	case <-timeout.C:
	}
}

// run writes the queued lines until the writer is closed and none is left.
func (w *Writer) run(out io.Writer) {
	defer close(w.closed)
	told := uint64(0)
	for {
		var line []byte
		select {
		case line = <-w.lines:
		default:
			select {
			case line = <-w.lines:
			case <-w.closing:
				return
			}
		}
		w.queuedBytes.Add(-int64(len(line)))
		if dropped := w.dropped.Load(); dropped > told {
			w.notify(out, dropped-told)
			told = dropped
		}
		if _, err := out.Write(line); err != nil {
			w.dropped.Add(1)
		}
	}
}
