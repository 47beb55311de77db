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

// logLines keeps what a logger writes.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

// find gives the first line with a message.
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
	require.Fail(t, "no such line", message)
	return nil
}

// TestACutAnswerIsExplained: the log line of an answer that ended unfinished has all times that applied to its request.
func TestAbortedResponseLog(t *testing.T) {
	r := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		writeEvents(w, 1, 1, "", func() { panic(http.ErrAbortHandler) })
	})
	lines := &logBuffer{}
	r.proxy.log = zerolog.New(lines)
	now := time.Now()
	r.proxy.timerLateness.record(now.Add(-time.Minute), now)
	_, _, err := r.post("/cut/x", "k1", "", headerDeadline, "2000")
	require.Error(t, err)
	cut := lines.find(t, "answer cut")
	require.Equal(t, string(endReasonBackendFailed), cut["ending"])
	require.Equal(t, "2000", cut["deadline_ms"])
	require.EqualValues(t, 3000, cut["timeout_ms"])
	require.EqualValues(t, 1, cut["config_taken"])
	require.EqualValues(t, 1, cut["config_now"])
	require.EqualValues(t, 1, cut["sent"])
	require.EqualValues(t, 0, cut["takeovers_tried"])
	require.EqualValues(t, time.Minute.Milliseconds(), cut["timers_late_ms"])
	require.InDelta(t, 2000, cut["open_ms"].(float64)+cut["left_ms"].(float64), 1)
}

func TestTimerLateness(t *testing.T) {
	l, at := timerLateness{}, time.Unix(1000, 0)
	l.record(at, at.Add(3*time.Millisecond))
	l.record(at, at.Add(2*time.Millisecond))
	require.Equal(t, 3*time.Millisecond, l.maxInWindow(at.Add(time.Second)), "the worst of the window")
	require.Zero(t, l.maxInWindow(at.Add(time.Minute)), "an old one counts no more")
	later := at.Add(time.Minute)
	l.record(later, later.Add(time.Millisecond))
	require.Equal(t, time.Millisecond, l.maxInWindow(later.Add(time.Second)))
}

// TestAStreamThatRunsIsNotCutFor plays what happens around a stream whose backend is at work: it goes on to its end.
func TestRunningStreamSurvivesChanges(t *testing.T) {
	const bare = `{"version":2,"routes":[],"services":[],"limits":{"idle_timeout_ms":1,"header_timeout_ms":1,"max_body_bytes":1},"tenants":[]}`
	for name, happens := range map[string]func(p *Proxy){
		"a configuration without its route, tenant and service": func(p *Proxy) {
			p.execute(func() {
				p.applyReply(p.now(), &feed.Reply{AgentID: "a1", Snapshot: &distribute.Snapshot{Seq: 2, ConfigSeq: 2, Config: []byte(bare)}})
			})
		},
		"a list without its backend": func(p *Proxy) {
			p.execute(func() { p.applyReply(p.now(), &feed.Reply{AgentID: "a1", List: &feed.List{Revision: 2}}) })
		},
		"an agent that starts anew": func(p *Proxy) {
			p.execute(func() { p.applyReply(p.now(), &feed.Reply{AgentID: "a2"}) })
		},
		"its backend's silence": func(p *Proxy) { p.handleOverdue(p.now() + 10*time.Second) },
		"an evacuation of its zone": func(p *Proxy) {
			p.execute(func() { p.dispatchTable.SetState(p.now(), map[string]uint64{"a": 1}, nil, nil, nil) })
		},
		"a limit of its weights that is over": func(p *Proxy) {
			p.attempts.mu.Lock()
			defer p.attempts.mu.Unlock()
			for a := range p.attempts.active {
				a.cancelIfPending(endReasonFirstByteDeadline)
			}
		},
		"a signal to end": func(p *Proxy) { p.shutdownPlan.Store(newShutdownPlan(time.Now(), 0)) },
	} {
		for _, path := range []string{"/cut/x", "/stream/x"} {
			t.Run(name+path, func(t *testing.T) {
				backend := newPausingBackend()
				r := newFixture(t, backend.serve)
				t.Cleanup(backend.release)
				rest, first := r.openStream(path)
				happens(r.proxy)
				r.proxy.handleOverdue(r.proxy.now() + 10*time.Second)
				backend.release()
				more, err := io.ReadAll(rest)
				require.NoError(t, err)
				require.Equal(t, eventText(1, 2), first+string(more))
			})
		}
	}
}
