// Package admin serves the read-only HTTP admin API of a mixer on a listener of its own: metrics, the settings
// in force, and why a searcher receives no parts. It also serves the state of the sharing of statistics
// through a shared store, of the fleet of mixers, of the connection to the control tier, and of the subset of
// searchers in use. No lookup passes through it.
//
// A mixer is a load balancer that sends the parts of each lookup to searchers, its backends.
package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"nettlefold/internal/conns"
	"nettlefold/internal/routing"
	"nettlefold/internal/store"
	"nettlefold/internal/subset"
	"nettlefold/mixer"
)

// Router provides the state of the searchers.
type Router interface {
	// Standing returns the state of a searcher, and whether it is in the member list.
	Standing(searcher string) (routing.Standing, bool)
}

// Server serves the admin API. A nil field other than Router and Settings means that the mixer runs without
// that part: its path answers 404, and its metrics are missing.
type Server struct {
	Router   Router
	Sharing  interface{ State() store.State } // exchange of statistics with other mixers through a shared store
	Fleet    *Fleet                           // other mixers
	Control  func() any                       // state of the connection to the relays of the control tier
	Settings func() any                       // settings in force
	Subset   func() subset.State              // subset of the searchers that this mixer uses

	Connections func() conns.Stats // to searchers; metrics only
}

// Serve serves the admin API on l until ctx is done, and returns nil then.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{Handler: s.Handler(), ReadTimeout: 2 * time.Second, WriteTimeout: 5 * time.Second,
		MaxHeaderBytes: 8 << 10}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(l); ctx.Err() == nil {
		return err
	}
	return nil
}

// Handler returns the handler of all paths.
func (s *Server) Handler() http.Handler {
	set := s.newMetricSet()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /sharing", func(w http.ResponseWriter, r *http.Request) {
		if s.Sharing == nil {
			http.Error(w, "no shared store is set", http.StatusNotFound)
			return
		}
		writeJSON(w, s.Sharing.State())
	})
	mux.HandleFunc("GET /fleet", s.serveFleet)
	mux.HandleFunc("GET /control", func(w http.ResponseWriter, r *http.Request) {
		if s.Control == nil {
			http.Error(w, "no control is set", http.StatusNotFound)
			return
		}
		writeJSON(w, s.Control())
	})
	mux.HandleFunc("GET /subset", func(w http.ResponseWriter, r *http.Request) {
		if s.Subset == nil {
			http.Error(w, "no subset is set", http.StatusNotFound)
			return
		}
		writeJSON(w, s.Subset())
	})
	mux.HandleFunc("GET /settings", func(w http.ResponseWriter, r *http.Request) { writeJSON(w, s.Settings()) })
	mux.HandleFunc("GET /why", func(w http.ResponseWriter, r *http.Request) {
		name := r.FormValue("searcher")
		st, ok := s.Router.Standing(name)
		if !ok {
			text := fmt.Sprintf("searcher %.80q is not listed", name)
			if s.Subset != nil {
				text += ", or not in the subset that this mixer uses"
			}
			http.Error(w, text, http.StatusNotFound)
			return
		}
		writeJSON(w, struct {
			Reasons  []string
			Standing routing.Standing
		}{Reasons(st), st})
	})
	return mux
}

// writeJSON writes v as the JSON body of a response.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// Reasons describes why a searcher currently receives no or fewer parts. It returns nil if there is no reason.
// The allowance is the warm-up quota of a cold searcher, which a mixer may lend to others. A searcher is
// reported as slow if a forward to it takes more than 1.5 times the average time of the fleet.
func Reasons(st routing.Standing) (reasons []string) {
	add := func(format string, args ...any) { reasons = append(reasons, fmt.Sprintf(format, args...)) }
	duration := func(nanos int64) string { return time.Duration(nanos).Round(time.Millisecond).String() }
	switch st.Status {
	case mixer.Draining:
		add("the list says that it is draining")
	case mixer.Dead:
		add("the list says that it is gone")
	}
	if st.Suspect {
		add("it has not answered this mixer; the next test is due in %s", duration(st.TestIn))
	}
	if st.ZoneSilent {
		add("nothing in its zone answers this mixer")
	}
	if st.Doubted {
		add("%d other mixers say that it does not answer, and it has not answered this one since", st.Word.Suspecting)
	}
	if st.ColdWait > 0 {
		add("it is cold and this mixer's allowance has a part for it in %s", duration(st.ColdWait))
	}
	if st.Word.AwayUntil > 0 {
		add("this mixer's allowance for it is lent to others")
	}
	if st.Fleet > 0 && st.Unit > 1.5*st.Fleet {
		causes := "this mixer's own forwards"
		if st.Word.Slow > 1.5 {
			causes += fmt.Sprintf(" and other mixers' (%.1f times the fleet's pace)", st.Word.Slow)
		}
		add("it comes after its equals: a forward takes %.1f times the fleet's pace there, by %s", st.Unit/st.Fleet, causes)
	}
	if st.Calls > 0 {
		add("%d calls of this mixer are out there, and the least counted comes first", st.Calls)
	}
	return reasons
}

// addSubsetMetrics adds the gauges of the subset, if there is one.
func (s *Server) addSubsetMetrics(set *metrics.Set) {
	if s.Subset == nil {
		return
	}
	for name, read := range map[string]func(subset.State) int{
		"listed": func(t subset.State) int { return t.Listed }, "used": func(t subset.State) int { return t.Used },
		"needed": func(t subset.State) int { return t.Needed }, "whole_cells": func(t subset.State) int { return t.Whole },
		"ill": func(t subset.State) int { return t.Ill }, "cold": func(t subset.State) int { return t.Cold },
		"spare": func(t subset.State) int { return t.Spare }, "leaving": func(t subset.State) int { return t.Leaving },
		"held": func(t subset.State) int { return t.Held }, "silent_zones": func(t subset.State) int { return len(t.Silent) },
	} {
		set.NewGauge("nettlefold_subset_"+name, func() float64 { return float64(read(s.Subset())) })
	}
}

// newMetricSet returns the metrics of connections, subset and sharing, which are read on each scrape.
func (s *Server) newMetricSet() *metrics.Set {
	set := metrics.NewSet()
	if s.Connections != nil {
		set.RegisterMetricsWriter(func(w io.Writer) { writeConnectionMetrics(w, s.Connections()) })
	}
	s.addSubsetMetrics(set)
	if s.Sharing == nil {
		return set
	}
	gauge := func(name string, read func(store.State) float64) {
		set.NewGauge("nettlefold_sharing_"+name, func() float64 { return read(s.Sharing.State()) })
	}
	boolGauge := func(b bool) float64 {
		if b {
			return 1
		}
		return 0
	}
	gauge("on", func(t store.State) float64 { return boolGauge(t.On) })
	gauge("circuit_open", func(t store.State) float64 { return boolGauge(t.Open) })
	gauge("circuit_trips_total", func(t store.State) float64 { return float64(t.Trips) })
	gauge("rounds_total", func(t store.State) float64 { return float64(t.Rounds) })
	gauge("rounds_failed_total", func(t store.State) float64 { return float64(t.Failed) })
	gauge("exchange_seconds", func(t store.State) float64 { return t.Took.Seconds() })
	gauge("newest_word_seconds", func(t store.State) float64 { return t.Newest.Seconds() })
	gauge("mixers_heard", func(t store.State) float64 { return float64(t.Others) })
	gauge("rows_heard", func(t store.State) float64 { return float64(t.Counts.Rows) })
	gauge("loans_in_force", func(t store.State) float64 { return float64(t.Loans) })
	for name, read := range map[string]func(store.State) uint64{
		"sheets_total":             func(t store.State) uint64 { return t.Sheets },
		"sheets_garbage_total":     func(t store.State) uint64 { return t.Garbage },
		"sheets_foreign_total":     func(t store.State) uint64 { return t.Foreign },
		"sheets_stale_total":       func(t store.State) uint64 { return t.Stale },
		"rows_told_total":          func(t store.State) uint64 { return t.Told },
		"words_believed_total":     func(t store.State) uint64 { return t.Believed },
		"words_overruled_total":    func(t store.State) uint64 { return t.Overruled },
		"words_outvoted_total":     func(t store.State) uint64 { return t.Outvoted },
		"loans_given_total":        func(t store.State) uint64 { return t.Lent },
		"loans_taken_total":        func(t store.State) uint64 { return t.Borrowed },
		"loans_late_total":         func(t store.State) uint64 { return t.Late },
		"loans_misaddressed_total": func(t store.State) uint64 { return t.Misaddressed },
	} {
		gauge(name, func(t store.State) float64 { return float64(read(t)) })
	}
	return set
}
