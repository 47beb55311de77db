package asynclog

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// stuckWriter blocks each Write until it is released, and fails while broken is set.
type stuckWriter struct {
	bytes.Buffer
	released chan struct{}
	broken   bool
}

func (w *stuckWriter) Write(line []byte) (int, error) {
	<-w.released
	if w.broken {
		return 0, errors.New("broken pipe")
	}
	return w.Buffer.Write(line)
}

func newStuckWriter() *stuckWriter { return &stuckWriter{released: make(chan struct{})} }

// notifyPlainly writes the notice of dropped lines in words.
func notifyPlainly(out io.Writer, dropped uint64) { fmt.Fprintf(out, "%d dropped\n", dropped) }

// TestUnreadLogDropsLines writes more than is queued while nobody reads, and reads on.
func TestUnreadLogDropsLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := newStuckWriter()
		w := New(out, notifyPlainly)
		const lines = 2 * maxQueuedLines
		for i := range lines {
			fmt.Fprintf(w, "line %d\n", i)
			if i == 0 {
				synctest.Wait() // until the line is at the reader; else lines may be dropped before it and told of apart
			}
		}
		dropped := w.Dropped()
		require.Equal(t, uint64(lines-1-maxQueuedLines), dropped)
		require.Greater(t, dropped, uint64(0))
		started := time.Now()
		w.Close(time.Second)
		require.Equal(t, time.Second, time.Since(started), "time to close while nobody reads")
		close(out.released)
		synctest.Wait()
		text := out.String()
		require.Contains(t, text, fmt.Sprintf("%d dropped\n", dropped))
		require.Equal(t, lines-int(dropped)+1, strings.Count(text, "\n"), "lines written, with the notice")
		require.Contains(t, text, "line 0\n")
	})
}

// TestUnreadLogBoundsMemory writes long lines while nobody reads.
func TestUnreadLogBoundsMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := newStuckWriter()
		w := New(out, notifyPlainly)
		for range 100 {
			w.Write(make([]byte, maxQueuedBytes/10))
		}
		require.LessOrEqual(t, w.queuedBytes.Load(), int64(maxQueuedBytes))
		require.GreaterOrEqual(t, w.Dropped(), uint64(89))
		close(out.released)
		w.Close(time.Second)
	})
}

// TestFailedWritesAreCounted writes to a log whose reader is gone for a while.
func TestFailedWritesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := newStuckWriter()
		out.broken = true
		close(out.released)
		w := New(out, notifyPlainly)
		io.WriteString(w, "lost\n")
		synctest.Wait()
		require.Equal(t, uint64(1), w.Dropped())
		out.broken = false
		io.WriteString(w, "kept\n")
		started := time.Now()
		w.Close(time.Minute)
		require.Zero(t, time.Since(started), "time to close with a reader")
		require.Equal(t, "1 dropped\nkept\n", out.String())
	})
}
