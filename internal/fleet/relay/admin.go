package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"nettlefold/internal/fleet/control"
)

// questions are the answers on the admin listener.
func (s *Server) questions() http.Handler {
	set := s.figures()
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathStatus, func(w http.ResponseWriter, r *http.Request) { reply(w, http.StatusOK, s.Status()) })
	mux.HandleFunc("POST "+PathVersions, s.versions)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	return mux
}

// Status is how the relay stands.
func (s *Server) Status() control.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relay.Status(s.now())
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

// Given is the answer to a version that was taken.
type Given struct {
	control.Stamp
	Held int `json:"held"` // relays that hold it by now
}

// Refused is the answer to a version that was not.
type Refused struct {
	Error   string         `json:"error"`
	Element string         `json:"element,omitempty"`
	Value   string         `json:"value,omitempty"`
	Newest  *control.Stamp `json:"newest,omitempty"` // where the version was to come after another
}

// versions takes a version, and answers when a majority of the relays holds it, or a while later with how many do.
func (s *Server) versions(w http.ResponseWriter, r *http.Request) {
	document, err := io.ReadAll(http.MaxBytesReader(w, r.Body, control.MaxDocument))
	if err != nil {
		reply(w, http.StatusBadRequest, Refused{Error: err.Error(), Element: "(document)", Value: fmt.Sprintf("over %d bytes", control.MaxDocument)})
		return
	}
	after, err := parseAfter(r.Header.Get(HeaderAfter))
	if err != nil {
		reply(w, http.StatusBadRequest, Refused{Error: err.Error(), Element: HeaderAfter, Value: clip(r.Header.Get(HeaderAfter))})
		return
	}
	s.mu.Lock()
	row, err := s.relay.Give(s.now(), document, after, r.Header.Get(HeaderNewEpoch) == "yes")
	s.notify()
	s.mu.Unlock()
	var newest *control.NotNewest
	var none *control.NoMajority
	switch {
	case errors.As(err, &newest):
		reply(w, http.StatusConflict, Refused{Error: err.Error(), Newest: &newest.Newest})
	case errors.As(err, &none):
		reply(w, http.StatusServiceUnavailable, Refused{Error: err.Error()})
	case errors.Is(err, control.ErrFull):
		reply(w, http.StatusConflict, Refused{Error: err.Error()})
	case err != nil:
		reply(w, http.StatusBadRequest, Refused{Error: err.Error(), Element: "(document)", Value: clip(string(document))})
	default:
		held := s.held(r.Context(), row.Stamp)
		s.log.Info("relay: a version is given", "epoch", row.Epoch, "number", row.Number, "author", row.Author, "held", held)
		reply(w, http.StatusOK, Given{row.Stamp, held})
	}
}

// held waits until a majority of the relays holds a version, though not for long, and counts them.
func (s *Server) held(ctx context.Context, version control.Stamp) int {
	ctx, done := context.WithTimeout(ctx, s.o.Majority)
	defer done()
	for {
		s.mu.Lock()
		n := s.relay.Held(version)
		_, majority := s.relay.Contact(s.now())
		changed := s.changed
		s.mu.Unlock()
		if n >= majority || ctx.Err() != nil {
			return n
		}
		select {
		case <-ctx.Done():
		case <-s.over:
			return n
		case <-changed:
		}
	}
}

// parseAfter reads EPOCH.NUMBER, nil where there is none.
func parseAfter(text string) (*control.Stamp, error) {
	if text == "" {
		return nil, nil
	}
	epoch, number, _ := strings.Cut(text, ".")
	e, err := strconv.ParseUint(epoch, 10, 64)
	n, wrong := strconv.ParseUint(number, 10, 64)
	if err != nil || wrong != nil {
		return nil, fmt.Errorf("%s: %q, want EPOCH.NUMBER", HeaderAfter, clip(text))
	}
	return &control.Stamp{Epoch: e, Number: n}, nil
}

func clip(s string) string { return s[:min(len(s), 80)] }

// figures are the gauges of a relay, read when they are asked for.
func (s *Server) figures() *metrics.Set {
	set := metrics.NewSet()
	gauge := func(name string, read func() float64) { set.NewGauge("nettlefold_relay_"+name, read) }
	status := func(read func(control.Status) float64) func() float64 {
		return func() float64 { return read(s.Status()) }
	}
	gauge("sessions", status(func(t control.Status) float64 { return float64(t.Sessions) }))
	gauge("relays_heard", status(func(t control.Status) float64 { return float64(len(t.Contact)) }))
	gauge("rows", status(func(t control.Status) float64 { return float64(t.Rows) }))
	gauge("rows_bytes", status(func(t control.Status) float64 { return float64(t.Bytes) }))
	gauge("version_epoch", status(func(t control.Status) float64 { return float64(t.Version.Epoch) }))
	gauge("version_number", status(func(t control.Status) float64 { return float64(t.Version.Number) }))
	gauge("version_held", status(func(t control.Status) float64 { return float64(t.Held) }))
	gauge("refused_total", status(func(t control.Status) float64 { return float64(t.Refused) }))
	gauge("connections", func() float64 { return float64(s.conns.Load()) })
	gauge("connections_turned_away_total", func() float64 { return float64(s.turned.Load()) })
	gauge("told_bytes_total", func() float64 { return float64(s.told.Load()) })
	gauge("slow_sessions_total", func() float64 { return float64(s.slow.Load()) })
	gauge("up_seconds", func() float64 { return time.Since(s.began).Seconds() })
	return set
}
