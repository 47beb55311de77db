package relay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"nettlefold/internal/fleet/control"
)

// Options say which relay this is. Zero bounds are those of a relay that may have all mixers.
type Options struct {
	Name  string
	Seats []control.Seat                                                       // of the settings, its own among them
	Log   *slog.Logger                                                         // nil: none
	Dial  func(ctx context.Context, network, address string) (net.Conn, error) // to the other relays; nil: the net's

	Sessions int // of mixers, at most
	NewPerS  int // new sessions of mixers a second, at most
	Conns    int // connections, at most; 0: two for each session and some

	Wait     time.Duration // from the start on: a relay that knows no version gives none, as its mixers may come with one
	Read     time.Duration // a request that does not come whole within this ends its connection
	Write    time.Duration // a piece that is not taken within this ends its session
	Majority time.Duration // how long the answer to a version given waits for a majority of the relays
}

// Bounds of a relay's listeners.
const (
	headerWithin = 2 * time.Second
	idleFor      = 30 * time.Second
	leaveWithin  = 2 * time.Second
	mostSelf     = 4 << 10  // bytes of a telling
	mixerRoom    = 16 << 10 // bytes that the system holds of what a mixer is told, which it doubles
	relayRoom    = 1 << 18  // the same of another relay
	spareConns   = 256      // connections beyond two for each session
	userTimeout  = 18       // TCP_USER_TIMEOUT of Linux: what is not acknowledged for so long ends the connection
)

// Server is one relay process. It holds all in memory.
type Server struct {
	o     Options
	log   *slog.Logger
	life  string
	began time.Time
	conns atomic.Int64
	over  chan struct{}

	told, slow, turned atomic.Uint64 // bytes told; sessions dropped as nothing was taken; connections beyond the bound

	mu      sync.Mutex
	relay   *control.Relay
	index   uint64        // of the relay's table, as last looked at
	changed chan struct{} // closed when the table changes
	live    map[string]map[uint64]*live
	number  uint64 // of the last session
}

// live is a session as its bye may meet it.
type live struct {
	end context.CancelFunc
	bye bool
}

// NewServer makes a relay that knows nothing. Its life is drawn anew. The error is for a name that has no seat.
func NewServer(o Options) (*Server, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	or := func(d *time.Duration, otherwise time.Duration) {
		if *d <= 0 {
			*d = otherwise
		}
	}
	or(&o.Read, 5*time.Second)
	or(&o.Write, 5*time.Second)
	or(&o.Majority, time.Second)
	if o.Sessions <= 0 {
		o.Sessions = 8192
	}
	if o.Conns <= 0 {
		o.Conns = 2*o.Sessions + spareConns
	}
	s := &Server{o: o, log: o.Log, life: fmt.Sprintf("%016x", drawn()), began: time.Now(), over: make(chan struct{}),
		changed: make(chan struct{}), live: map[string]map[uint64]*live{}}
	var err error
	s.relay, err = control.NewRelay(s.now(), control.RelayOptions{Name: o.Name, Seats: o.Seats, Life: s.life, Sessions: o.Sessions,
		NewPerS: o.NewPerS, Wait: int64(o.Wait), Seed: drawn()})
	return s, err
}

// Life is that of this start, hex.
func (s *Server) Life() string { return s.life }

func (s *Server) now() int64 { return int64(time.Second + time.Since(s.began)) } // 0 is never

// Run serves sessions on one listener, questions and versions on the other, nil for none, until the context ends; it closes both.
// Then sessions are ended, which their followers see as an end and no error of the line.
func (s *Server) Run(ctx context.Context, sessions, admin net.Listener) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { s.step(work) })
	for _, f := range s.relay.Followers() {
		c := &Client{Self: control.Self{Name: s.o.Name}, Log: s.log, Dial: s.o.Dial,
			follower: f, lock: &s.mu, clock: s.now, changed: s.notify}
		wg.Go(func() { c.Run(work) })
	}
	failed := make(chan error, 2)
	serve := func(h *http.Server, l net.Listener) {
		wg.Go(func() {
			if err := h.Serve(l); err != http.ErrServerClosed {
				failed <- err
			}
		})
	}
	open := &http.Server{Handler: s.sessions(), ReadHeaderTimeout: headerWithin, ReadTimeout: s.o.Read, WriteTimeout: s.o.Write,
		IdleTimeout: idleFor, MaxHeaderBytes: mostHeader, ConnContext: s.accepted, ConnState: s.counted,
		ErrorLog: slog.NewLogLogger(s.log.Handler(), slog.LevelDebug)}
	serve(open, sessions)
	ask := &http.Server{Handler: s.questions(), ReadHeaderTimeout: headerWithin, ReadTimeout: s.o.Read,
		WriteTimeout: s.o.Majority + s.o.Read, IdleTimeout: idleFor, MaxHeaderBytes: mostHeader}
	if admin != nil {
		serve(ask, admin)
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	close(s.over)
	within, done := context.WithTimeout(context.Background(), leaveWithin)
	defer done()
	for _, h := range []*http.Server{open, ask} {
		if late := h.Shutdown(within); late != nil {
			s.log.Warn("relay: connections are cut", "error", late)
			h.Close()
		}
	}
	return err
}

type connKey struct{}

// accepted bounds how long the system waits for one who has vanished.
func (s *Server) accepted(ctx context.Context, nc net.Conn) context.Context {
	if tcp, ok := nc.(*net.TCPConn); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			raw.Control(func(fd uintptr) {
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, userTimeout, int(2*s.o.Write.Milliseconds()))
			})
		}
	}
	return context.WithValue(ctx, connKey{}, nc)
}

// room bounds what the system holds of what a session is told: so one who takes nothing is found out.
func room(ctx context.Context, bytes int) {
	if tcp, ok := ctx.Value(connKey{}).(*net.TCPConn); ok {
		tcp.SetWriteBuffer(bytes)
	}
}

// counted closes connections beyond the bound as they come.
func (s *Server) counted(nc net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if s.conns.Add(1) > int64(s.o.Conns) {
			s.turned.Add(1)
			nc.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.conns.Add(-1)
	}
}

// notify wakes all who wait for the table where it has changed. It is called under the lock.
func (s *Server) notify() {
	if i := s.relay.Table().Index(); i != s.index {
		s.index = i
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// step remakes the relay's own rows when that is due, and at once after a change.
func (s *Server) step(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		s.mu.Lock()
		_, wait := s.relay.Step(s.now())
		s.notify()
		changed := s.changed
		s.mu.Unlock()
		timer.Reset(time.Duration(wait))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-changed:
		}
	}
}

// busy tells a follower when to come again.
func busy(w http.ResponseWriter, err error) bool {
	var b *control.Busy
	if !errors.As(err, &b) {
		return false
	}
	w.Header().Set("Retry-After", fmt.Sprint(max(1, (b.After+int64(time.Second)-1)/int64(time.Second))))
	http.Error(w, b.Why, http.StatusServiceUnavailable)
	return true
}
