package transport

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"nettlefold/internal/charter"
	"nettlefold/internal/protocol"
)

// TestMoveWaitsForWhatIsHandedOn moves a watch at the last line before a list is handed on, where a searcher's fault is
// logged: the move is done only behind it.
func TestMoveWaitsForWhatIsHandedOn(t *testing.T) {
	w := &Watch{members: map[string]protocol.Member{}}
	moved := make(chan struct{})
	w.Log = slog.New(gate{slog.DiscardHandler, func() {
		go func() { w.Move("new"); close(moved) }()
		select {
		case <-moved:
		case <-time.After(50 * time.Millisecond):
		}
	}})
	w.Listed = func(protocol.MemberList) {
		select {
		case <-moved:
			t.Error("a list of the old address is handed on after the move")
		default:
		}
	}
	if err := w.take(t.Context(), protocol.MemberList{Snapshot: true, Skipped: make([]protocol.SkippedMember, 1)}, nil); err != nil {
		t.Error(err)
	}
	<-moved
}

// gate is a log that stops at each line.
type gate struct {
	slog.Handler
	at func()
}

func (g gate) Enabled(context.Context, slog.Level) bool  { return true }
func (g gate) Handle(context.Context, slog.Record) error { g.at(); return nil }

// TestNewsBehindCallsThatGoWrong has calls go wrong in random ways up to the end of an outage, or a move. The change is at the
// agent then. What is under way goes on as it was; two further calls go wrong in those ways, each with up to 2.2 s before its
// header and before its first byte. One call is a watch that had been sound and falls silent just then.
func TestNewsBehindCallsThatGoWrong(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fault := rapid.SampledFrom([]string{"refused", "hangs", "dials", "drips", "drips", "cut", "bad", "status", "beats"})
		pause := rapid.SampledFrom([]time.Duration{0, 0, 150 * time.Millisecond, 500 * time.Millisecond, 2200 * time.Millisecond})
		type way struct {
			fault      string
			head, body time.Duration
		}
		draw := rapid.Custom(func(rt *rapid.T) way {
			return way{fault.Draw(rt, "fault"), pause.Draw(rt, "head"), pause.Draw(rt, "body")}
		})
		before := rapid.SliceOfN(draw, 1, 9).Draw(rt, "before")
		after := rapid.SliceOfN(draw, 2, 2).Draw(rt, "after")
		end := time.Duration(rapid.IntRange(0, 120_000).Draw(rt, "end")) * time.Millisecond
		move, fades := rapid.Bool().Draw(rt, "move"), rapid.Bool().Draw(rt, "fades")
		if fades {
			end = end / (2 * time.Second) * 2 * time.Second
		}
		var took time.Duration
		var n, dials, most atomic.Int32
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			var mu sync.Mutex
			next := func() way {
				mu.Lock()
				defer mu.Unlock()
				k := int(n.Add(1)) - 1
				if now := time.Since(began); now < end && fades {
					return way{fault: "fades"}
				} else if now < end {
					return before[k%len(before)]
				}
				if len(after) == 0 {
					return way{}
				}
				is := after[0]
				after = after[1:]
				return is
			}
			ways := map[string]way{} // by the dialled connection's number
			at := newPipes()
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				is := ways[r.RemoteAddr]
				mu.Unlock()
				a := asked{w: w, r: r}
				time.Sleep(is.head)
				if is.fault == "hangs" && is.body == 0 {
					a.hang()
				} else if is.fault == "status" {
					w.WriteHeader(http.StatusBadGateway)
					return
				}
				w.(http.Flusher).Flush()
				time.Sleep(is.body)
				switch is.fault {
				case "hangs":
					a.hang()
				case "drips":
					a.drip("{"+strings.Repeat(" ", 900), 300*time.Millisecond)
				case "cut":
					a.say(version(3)[:9])
					return
				case "bad":
					a.say("{]")
					return
				case "beats":
					if a.whole() {
						a.beat()
					}
					return
				case "fades":
					a.say(version(2))
					for !a.whole() && time.Since(began) < end {
						time.Sleep(2 * time.Second)
						a.say("\n")
					}
					if !a.whole() {
						a.hang()
					}
					return
				}
				if a.say(version(3)); !a.whole() {
					a.beat()
				}
			})}
			go server.Serve(at)
			heard := make(chan time.Duration, 1)
			w := &Watch{Discovery: "agent", Known: protocol.MemberList{Version: 1}, Fresh: true, Log: quiet,
				Limits: charter.Limits{HeartbeatInterval: 2 * time.Second, ReadTimeout: 2 * time.Second, MaxListMessageBytes: 1 << 10, MaxWatchBackoff: time.Second},
				Listed: func(l protocol.MemberList) {
					if l.Version == 3 {
						select {
						case heard <- time.Since(began):
						default:
						}
					}
				}}
			w.dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
				is := next()
				if is.fault == "refused" {
					return nil, syscall.ECONNREFUSED
				}
				if k := dials.Add(1); k > most.Load() { // at most two, and those that are just being closed
					most.Store(k)
				}
				if is.fault == "dials" {
					<-ctx.Done()
					dials.Add(-1)
					return nil, ctx.Err()
				}
				near, far := net.Pipe()
				mu.Lock()
				name := fmt.Sprint(len(ways))
				ways[name] = is
				mu.Unlock()
				if err := at.hand(named{far, name}); err != nil {
					dials.Add(-1)
					return nil, err
				}
				return &counted{Conn: near, open: &dials}, nil
			}
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() { w.Run(ctx); close(ended) }()
			time.Sleep(end)
			if move {
				w.Move("elsewhere")
			}
			select {
			case took = <-heard:
			case <-time.After(time.Minute):
				took = end + time.Minute
			}
			took -= end
			cancel()
			<-ended
			synctest.Wait()
			if k := dials.Load(); k != 0 {
				t.Errorf("%d connections are open behind the end", k)
			}
			server.Close()
			time.Sleep(10 * time.Minute) // the agent's last words
		})
		bound := 6 * time.Second
		if move {
			bound = 3500 * time.Millisecond // the signal may be handled half a second late
		}
		if k := int(n.Load()); took > bound || most.Load() > 3 || float64(k) > 10+12*(end+took).Seconds() {
			rt.Fatalf("heard %v after the change; %d calls, %d at once", took, k, most.Load())
		}
	})
}

// named is the agent's end of a connection.
type named struct {
	net.Conn
	name string
}

func (n named) RemoteAddr() net.Addr { return &net.UnixAddr{Name: n.name} }

// counted counts connections that are open.
type counted struct {
	net.Conn
	open *atomic.Int32
	once sync.Once
}

func (c *counted) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
