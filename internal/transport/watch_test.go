package transport

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"nettlefold/internal/charter"
	"nettlefold/internal/protocol"
)

// pipes is a listener whose connections stay in the process, and so in the time of a bubble.
type pipes struct {
	far   chan net.Conn
	over  chan struct{}
	close sync.Once
}

func newPipes() *pipes { return &pipes{far: make(chan net.Conn), over: make(chan struct{})} }

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.far:
		return c, nil
	case <-p.over:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	p.close.Do(func() { close(p.over) })
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	return near, p.hand(far)
}

// hand gives a connection to who accepts. A dial of a call that was given up may come when all is over.
func (p *pipes) hand(far net.Conn) error {
	select {
	case p.far <- far:
		return nil
	case <-p.over:
		return net.ErrClosed
	}
}

// asked is one request at the stand-in agent, the nth from 0 on.
type asked struct {
	n     int
	began time.Time
	w     http.ResponseWriter
	r     *http.Request
}

func (a asked) say(text string) {
	io.WriteString(a.w, text)
	a.w.(http.Flusher).Flush()
}

// hang says nothing more until the mixer leaves.
func (a asked) hang() { <-a.r.Context().Done() }

// drip says one byte after another.
func (a asked) drip(text string, each time.Duration) {
	for i := 0; i < len(text) && a.r.Context().Err() == nil; i++ {
		a.say(text[i : i+1])
		time.Sleep(each)
	}
}

// beat says an empty line every 2 s.
func (a asked) beat() {
	for a.r.Context().Err() == nil {
		a.say("\n")
		time.Sleep(2 * time.Second)
	}
}

func (a asked) after() time.Duration { return time.Since(a.began) }

func (a asked) whole() bool { return a.r.FormValue("follow") == "" }

func version(n int) string { return fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[]}`, n) }

// TestTheListsClock has an agent fall silent or speak badly in several ways. What it has is heard by the time it counts as
// told, with the grace of 250 ms that searchers' drains have; asking is bounded. All times are the bubble's.
func TestTheListsClock(t *testing.T) {
	const grace = 250 * time.Millisecond
	for name, c := range map[string]struct {
		agent func(a asked)
		fresh bool
		want  int           // the version to hear
		by    time.Duration // since the start
		most  int           // requests until then
	}{
		"a watch falls silent after a while": {func(a asked) {
			if a.n == 0 {
				a.say(version(2) + "\n")
				time.Sleep(2 * time.Second)
				a.say("\n")
				a.hang()
			}
			a.say(version(3) + "\n")
			a.beat()
		}, false, 3, 2*time.Second + 2*time.Second + grace, 2},
		"an outage of 6 s, and what is asked in it is never answered": {func(a asked) {
			if a.n == 0 {
				a.say(version(2) + "\n")
			}
			if a.after() < 7*time.Second {
				a.hang()
			}
			a.say(version(3) + "\n")
			a.beat()
		}, false, 3, 7*time.Second + grace, 30},
		"an outage of 40 s": {func(a asked) {
			if a.after() < 40*time.Second {
				a.hang()
			}
			a.say(version(3) + "\n")
			a.beat()
		}, false, 3, 42 * time.Second, 120},
		"a watch ends, and the list changes meanwhile": {func(a asked) {
			if a.n == 0 {
				a.say(version(2) + "\n")
				time.Sleep(time.Second)
				return
			}
			a.say(version(3) + "\n")
			a.beat()
		}, false, 3, time.Second + 10*time.Millisecond, 2},
		"an indented list, two in one line, one over two chunks": {func(a asked) {
			a.say("\n{\n  \"index\": 3,\n  \"snapshot\": true,\n\n  \"endpoints\": [\n  ]\n}\n" + version(4) + version(5) + " {\"index\"")
			time.Sleep(time.Second)
			a.say(":6}\n")
			a.beat()
		}, false, 6, time.Second, 1},
		"a list that drips and never ends": {func(a asked) {
			if a.n == 0 {
				a.say(version(2))
				a.drip("{"+strings.Repeat(" \n", 100), 500*time.Millisecond)
			}
			a.say(version(3) + "\n")
			a.beat()
		}, false, 3, 2*time.Second + grace, 3},
		"a list that always takes 5 s to come": {func(a asked) {
			a.drip(version(3), 5*time.Second/time.Duration(len(version(3))))
			a.beat()
		}, false, 3, 12 * time.Second, 6},
		"a watch falls silent behind its beat, and two calls behind it drip": {func(a asked) {
			if a.n == 0 {
				a.say(version(2) + "\n")
				a.hang()
			} else if a.n < 3 {
				a.say("")
				time.Sleep(150 * time.Millisecond)
				a.drip("{"+strings.Repeat(" ", 900), 300*time.Millisecond)
			}
			a.say(version(3))
			a.beat()
		}, false, 3, 6 * time.Second, 4},
		"an outage in which all drips and goes on dripping, and one call behind it": {func(a asked) {
			if a.after() < 20*time.Second || a.n%2 == 0 {
				a.drip("{"+strings.Repeat(" ", 900), 100*time.Millisecond)
			}
			a.say(version(3))
			a.beat()
		}, false, 3, 26 * time.Second, 30},
		"lists that have nothing but beats": {func(a asked) {
			if a.n < 3 {
				a.beat()
			}
			a.say(version(3))
			a.beat()
		}, true, 3, time.Second, 4},
		"an agent that has nothing new, and says so with its first beat": {func(a asked) {
			if a.n == 0 || a.whole() {
				a.say(version(2))
			}
			if a.n == 0 {
				a.hang()
			}
			for a.r.Context().Err() == nil && !a.whole() {
				time.Sleep(2 * time.Second)
				if a.say("\n"); a.after() > 20*time.Second {
					a.say(version(3))
				}
			}
		}, false, 3, 23 * time.Second, 4},
		"an agent that counts anew, and a known list from before": {func(a asked) {
			if a.whole() {
				a.say(version(3))
			}
			a.beat()
		}, true, 3, grace, 2},
		"more empty lines than a message may have bytes": {func(a asked) {
			a.say(strings.Repeat("\n", 1<<10) + " ")
			a.say(version(3))
			a.beat()
		}, false, 3, grace, 1},
		"a message over the bound": {func(a asked) {
			if a.n == 0 {
				a.say(`{"index":2,"x":"` + strings.Repeat("x", 1<<10) + `"}`)
				a.hang()
			}
			a.say(version(3))
			a.beat()
		}, false, 3, grace, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var n atomic.Int32
				began := time.Now()
				at := newPipes()
				server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					c.agent(asked{int(n.Add(1)) - 1, began, w, r})
				})}
				go server.Serve(at)
				ctx, cancel := context.WithCancel(t.Context())
				heard, requests := make(chan int, 99), 0 // those that had come when the wanted one was heard
				w := &Watch{Discovery: "agent", Known: protocol.MemberList{Version: 1}, Fresh: c.fresh, Log: quiet, dial: at.dial,
					Limits: charter.Limits{HeartbeatInterval: 2 * time.Second, ReadTimeout: 2 * time.Second, MaxListMessageBytes: 1 << 10, MaxWatchBackoff: time.Second},
					Listed: func(l protocol.MemberList) {
						if requests == 0 && int(l.Version) == c.want {
							requests = int(n.Load())
						}
						heard <- int(l.Version)
					}}
				ended := make(chan struct{})
				go func() { w.Run(ctx); close(ended) }()
				var all []int
				for late := time.After(2 * time.Minute); !slices.Contains(all, c.want); {
					select {
					case v := <-heard:
						all = append(all, v)
					case <-late:
						t.Errorf("never heard, but %d", all)
						all = append(all, c.want)
					}
				}
				if took := time.Since(began); took > c.by || requests > c.most {
					t.Errorf("heard after %v, want %v; %d requests, want at most %d", took, c.by, requests, c.most)
				}
				if !slices.IsSorted(all) {
					t.Errorf("heard out of order: %d", all)
				}
				cancel()
				<-ended
				server.Close()
				time.Sleep(10 * time.Second) // the agent's last words
			})
		})
	}
}

// TestMovedWatchIsQuiet moves a watch when the second of several messages that have come at once has been read and not been
// handed on: nothing more is heard of the old address, whose news would stand behind the new one's.
func TestMovedWatchIsQuiet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		at := newPipes()
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			a := asked{w: w, r: r}
			switch {
			case r.Host == "old":
				a.say(version(7) + "\n" + version(8) + "\n" + version(9) + "\n")
			case a.whole():
				a.say(version(2))
				return
			}
			a.beat()
		})}
		go server.Serve(at)
		ctx, cancel := context.WithCancel(t.Context())
		var heard []int64
		w := &Watch{Discovery: "old", Log: quiet, dial: at.dial,
			Limits: charter.Limits{HeartbeatInterval: 2 * time.Second, ReadTimeout: 2 * time.Second, MaxListMessageBytes: 1 << 10, MaxWatchBackoff: time.Second}}
		w.Listed = func(l protocol.MemberList) { heard = append(heard, l.Version) }
		var once sync.Once
		w.Alive = func() {
			if len(heard) == 1 {
				once.Do(func() { w.Move("new") })
			}
		}
		ended := make(chan struct{})
		go func() { w.Run(ctx); close(ended) }()
		time.Sleep(10 * time.Second)
		cancel()
		<-ended
		server.Close()
		time.Sleep(10 * time.Second)
		if !slices.Equal(heard, []int64{7, 2}) {
			t.Errorf("heard %d, want 7 of the old address and 2 of the new one", heard)
		}
	})
}
