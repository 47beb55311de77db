// Package transport moves bytes: an HTTP server for clients, connections to searchers, the watch on the list.
package transport

import (
	"cmp"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"nettlefold/internal/charter"
	"nettlefold/internal/protocol"
	"nettlefold/internal/routing"
)

// Server serves clients.
type Server struct {
	Router    *routing.Router
	Searchers *Searchers
	Tariffs   map[string]int
	Customers map[string]int // rows by name, none where the settings have none
	Limits    charter.Limits
	Log       *slog.Logger

	ready   atomic.Bool
	leaving atomic.Bool
	ending  atomic.Bool // connections end with their answers
	http    *http.Server
	door    *door
	cut     context.CancelFunc // ends what is open

	mu    sync.Mutex
	conns map[*client]bool
	room  *sync.Cond // a connection has ended
}

// Ready lets the health check succeed, and tells whether it did not before.
func (s *Server) Ready() bool { return !s.ready.Swap(true) }

// Open prepares to serve clients that come to a listener.
func (s *Server) Open(l net.Listener) {
	s.door = &door{l, s}
	s.conns = map[*client]bool{}
	s.room = sync.NewCond(&s.mu)
	base, cut := context.WithCancel(context.Background())
	s.cut = cut
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+protocol.PathHealth, s.health)
	mux.HandleFunc("POST "+protocol.PathLookup, s.lookup)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { refuse(w, http.StatusNotFound, "no such place") })
	s.http = &http.Server{
		Handler:           s.guard(mux),
		ReadHeaderTimeout: s.Limits.ReadTimeout,
		ReadTimeout:       s.Limits.ReadTimeout,
		WriteTimeout:      s.Limits.MaxDeadline + s.Limits.WriteTimeout, // from each request's header on
		IdleTimeout:       -1,
		MaxHeaderBytes:    s.Limits.MaxHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return base },
		ConnState:         s.state,
		ConnContext:       func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ErrorLog:          slog.NewLogLogger(s.Log.Handler(), slog.LevelDebug),
	}
}

// Serve serves clients until Leave is called.
func (s *Server) Serve() error {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { s.sweep(ctx) })
	err := s.http.Serve(s.door)
	if s.ending.Load() {
		return nil
	}
	return err
}

// Leave ends service: at once health fails; clients are served on for a while, on the connections they have too,
// since for those that come meanwhile there may be no other mixer; then connections end with their answers and
// what is open is answered. What is open when the time to leave ends has failed.
func (s *Server) Leave() error {
	s.leaving.Store(true)
	began := time.Now()
	time.Sleep(s.Limits.ServeAfterTerm())
	ctx, done := context.WithTimeout(context.Background(), time.Until(began.Add(s.Limits.AnswerAfterTerm())))
	defer done()
	err := s.shut(ctx)
	if err != nil {
		s.cut()
		last, done := context.WithTimeout(context.Background(), s.Limits.ConnectAfterTerm/4)
		defer done()
		err = errors.Join(err, s.shut(last))
	}
	return err
}

// shut closes the listener and waits for what is open, and closes each connection once no request is coming on it. It does
// without Shutdown of net/http, which takes a connection for idle until it has parsed a request's head: what had been read
// was left without an answer. Connections that wait for their clients' close alone are no reason to have failed.
func (s *Server) shut(ctx context.Context) error {
	s.ending.Store(true)
	s.door.Close()
	for ; ; time.Sleep(s.Limits.ConnectAfterTerm / 16) {
		s.closeUnused(true)
		s.mu.Lock()
		open, staying := len(s.conns), s.staying()
		s.mu.Unlock()
		if open == 0 || ctx.Err() != nil && staying == 0 {
			return nil
		} else if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// guard keeps a panic to the request it came up in.
func (s *Server) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if p := recover(); p != nil {
				s.Log.Error("panic in a request", "path", r.URL.Path, "panic", p, "stack", string(debug.Stack()))
				w.WriteHeader(http.StatusInternalServerError)
			}
		}()
		next.ServeHTTP(w, r)
	})
}

// refuse answers what cannot be served, and ends the connection: what follows on it may not be a request.
func refuse(w http.ResponseWriter, status int, why string) {
	w.Header().Set("Connection", "close")
	http.Error(w, why, status)
}

func (s *Server) health(w http.ResponseWriter, r *http.Request) {
	r.Context().Value(connKey{}).(*client).sound()
	if !s.ready.Load() || s.leaving.Load() {
		http.Error(w, "not serving", http.StatusServiceUnavailable)
	}
}

// lookup serves one lookup, from its request to its answer.
func (s *Server) lookup(w http.ResponseWriter, r *http.Request) {
	c := r.Context().Value(connKey{}).(*client)
	raw, status, why := s.body(w, r, c)
	if why != "" {
		refuse(w, status, why)
		return
	}
	l, err := protocol.ReadLookup(r.Header, raw, c.arrived(), s.Tariffs, s.Customers, s.Limits)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if c.left() {
		refuse(w, http.StatusBadGateway, "given up")
		return
	}
	c.sound()
	ticket, err := s.Router.Take(l.Lookup)
	switch {
	case errors.Is(err, routing.ErrTaken):
		http.Error(w, err.Error(), http.StatusConflict)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	out := map[*routing.Forward]*Parcel{}
	for {
		step, err := ticket.Pick(r.Context())
		if err != nil || step.Final != nil {
			s.Searchers.Abandon(out) // nothing held up on its way may leave any more
		}
		if err != nil {
			http.Error(w, "given up", http.StatusBadGateway) // the client has gone, or the mixer has to
			return
		}
		for _, f := range step.Withdrawn {
			s.Searchers.Withdraw(out[f])
		}
		for _, c := range step.Calls {
			call := make([]*Parcel, len(c.Forwards))
			for i, f := range c.Forwards {
				call[i] = &Parcel{Forward: f, Part: protocol.Part{ID: f.ID, Shard: l.Parts[f.Part].Slice, Query: l.Query}}
				out[f] = call[i]
			}
			s.Searchers.Send(c.Searcher, c.Fresh, call)
		}
		if step.Final != nil {
			if c.fault() != "" || s.ending.Load() {
				w.Header().Set("Connection", "close")
			}
			s.answer(w, l, *step.Final)
			return
		}
	}
}

// body reads a request's body, or says with which status and why the request is refused. What is wrong with the bytes is
// asked before, since a body told in two ways is not read, and after, since more than the body may have come.
func (s *Server) body(w http.ResponseWriter, r *http.Request, c *client) (raw []byte, status int, why string) {
	over := "body: over " + strconv.Itoa(s.Limits.MaxBodyBytes) + " bytes"
	if why := c.fault(); why != "" || !r.ProtoAtLeast(1, 1) {
		return nil, http.StatusBadRequest, cmp.Or(why, "not HTTP/1.1")
	}
	if r.ContentLength > int64(s.Limits.MaxBodyBytes) {
		return nil, http.StatusRequestEntityTooLarge, over
	}
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(s.Limits.MaxBodyBytes)))
	if big := (*http.MaxBytesError)(nil); errors.As(err, &big) {
		return nil, http.StatusRequestEntityTooLarge, over
	} else if err != nil {
		return nil, http.StatusBadRequest, "body: " + err.Error()
	}
	return raw, http.StatusBadRequest, c.fault()
}

// answer writes the final answer of a lookup.
func (s *Server) answer(w http.ResponseWriter, l protocol.Lookup, f routing.Final) {
	switch f.Verdict {
	case routing.Answered:
		body, err := protocol.EncodeAnswer(l, f)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.Write(body)
	case routing.Bounced:
		if f.Wait > 0 {
			w.Header().Set("Retry-After", protocol.FormatRetryAfter(f.Wait))
		}
		http.Error(w, "turned away, asking again is harmless", http.StatusServiceUnavailable)
	default:
		http.Error(w, "failed", http.StatusBadGateway)
	}
}
