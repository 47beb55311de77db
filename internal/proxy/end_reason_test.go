package proxy

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"nettlefold/internal/distribute"
	"nettlefold/internal/feed"
)

// logBuffer collects the JSON lines of a logger.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends a log line.
func (l *logBuffer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

// find returns the fields of the first line with a message.
func (l *logBuffer) find(t *testing.T, message string) map[string]any {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range bytes.Lines(l.text.Bytes()) {
		fields := map[string]any{}
		require.NoError(t, json.Unmarshal(line, &fields))
		if fields["message"] == message {
			return fields
		}
	}
	require.Fail(t, "log line not found", "message %q", message)
	return nil
}

// TestAbortedResponseLog checks that the log line of an aborted response has all times that applied to
// its request.
func TestAbortedResponseLog(t *testing.T) {
	f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		writeEvents(w, 1, 1, "", func() { panic(http.ErrAbortHandler) })
	})
	buffer := &logBuffer{}
	f.proxy.log = zerolog.New(buffer)
	now := time.Now()
	f.proxy.timerLateness.record(now.Add(-time.Minute), now)
	_, _, err := f.post("/cut/x", "k1", "", headerDeadline, "2000")
	require.Error(t, err)
	line := buffer.find(t, "answer cut")
	require.Equal(t, string(endReasonBackendFailed), line["ending"])
	require.Equal(t, "2000", line["deadline_ms"])
	require.EqualValues(t, 3000, line["timeout_ms"])
	require.EqualValues(t, 1, line["config_taken"])
	require.EqualValues(t, 1, line["config_now"])
	require.EqualValues(t, 1, line["sent"])
	require.EqualValues(t, 0, line["takeovers_tried"])
	require.EqualValues(t, time.Minute.Milliseconds(), line["timers_late_ms"])
	require.InDelta(t, 2000, line["open_ms"].(float64)+line["left_ms"].(float64), 1, "open_ms + left_ms")
}

// TestTimerLateness checks that the greatest lateness is kept for latenessWindow.
func TestTimerLateness(t *testing.T) {
	l, at := timerLateness{}, time.Unix(1000, 0)
	l.record(at, at.Add(3*time.Millisecond))
	l.record(at, at.Add(2*time.Millisecond))
	require.Equal(t, 3*time.Millisecond, l.maxInWindow(at.Add(time.Second)), "greatest lateness within the window")
	require.Zero(t, l.maxInWindow(at.Add(time.Minute)), "lateness after the window")
	later := at.Add(time.Minute)
	l.record(later, later.Add(time.Millisecond))
	require.Equal(t, time.Millisecond, l.maxInWindow(later.Add(time.Second)))
}

// TestRunningStreamSurvivesChanges checks that a stream whose backend still works is relayed to its end
// whatever changes around it.
func TestRunningStreamSurvivesChanges(t *testing.T) {
	const emptyConfig = `{"version":2,"routes":[],"services":[],"limits":{"idle_timeout_ms":1,"header_timeout_ms":1,"max_body_bytes":1},"tenants":[]}`
	for name, change := range map[string]func(p *Proxy){
		"a configuration without its route, tenant and service": func(p *Proxy) {
			p.execute(func() {
				p.applyReply(p.now(), &feed.Reply{AgentID: "a1", Snapshot: &distribute.Snapshot{Seq: 2, ConfigSeq: 2, Config: []byte(emptyConfig)}})
			})
		},
		"a list without its backend": func(p *Proxy) {
			p.execute(func() { p.applyReply(p.now(), &feed.Reply{AgentID: "a1", List: &feed.ProxyListUpdate{Revision: 2}}) })
		},
		"a restarted agent": func(p *Proxy) {
			p.execute(func() { p.applyReply(p.now(), &feed.Reply{AgentID: "a2"}) })
		},
		"a stalled backend": func(p *Proxy) { p.handleOverdue(p.now() + 10*time.Second) },
		"an evacuated zone": func(p *Proxy) {
			p.execute(func() { p.dispatchTable.SetState(p.now(), map[string]uint64{"a": 1}, nil, nil) })
		},
		"an expired first-byte deadline": func(p *Proxy) {
			p.attempts.mu.Lock()
			defer p.attempts.mu.Unlock()
			for a := range p.attempts.active {
				a.cancelIfPending(endReasonFirstByteDeadline)
			}
		},
		"a shutdown signal": func(p *Proxy) { p.shutdownPlan.Store(newShutdownPlan(time.Now(), 0)) },
	} {
		for _, path := range []string{"/cut/x", "/stream/x"} {
			t.Run(name+path, func(t *testing.T) {
				backend := newPausingBackend()
				f := newFixture(t, backend.serve)
				t.Cleanup(backend.release)
				rest, first := f.openStream(path)
				change(f.proxy)
				f.proxy.handleOverdue(f.proxy.now() + 10*time.Second)
				backend.release()
				more, err := io.ReadAll(rest)
				require.NoError(t, err)
				require.Equal(t, eventText(1, 2), first+string(more))
			})
		}
	}
}
