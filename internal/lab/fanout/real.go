package fanout

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"strconv"
	"sync/atomic"
	"time"

	"nettlefold/internal/lab/capacity"
	"nettlefold/internal/routing"
	"nettlefold/mixer"
)

// expected is that of queries in real time: long, so that a slow module refuses none.
const expected = 2 * time.Second

// entries is a list of so many searchers; each of them is a new process where since is another.
func entries(w World, since int64) []routing.Entry {
	rows := make([]routing.Entry, w.Searchers)
	for i := range rows {
		rows[i] = routing.Entry{Searcher: numbered(i), Started: since, Cell: i % w.cells(),
			Zone: "zone-" + strconv.Itoa(i%int(capacity.ZonesAll)), Size: 1, Status: mixer.Live}
	}
	return rows
}

func newRouter(w World) (*routing.Router, error) {
	c := w.charter()
	c.Tariffs[0].Expected, c.Tariffs[0].Patience = int64(expected), int64(expected)
	return routing.New(c, map[string]int{"all": 0}, 1<<20, 1, slog.New(slog.DiscardHandler))
}

// router serves queries behind the router in real time, each answer told by itself; times are of the best of them. Where other programs
// hold this one up for long its attempts are held to be lost, and searchers to be gone: then it begins anew.
func (c Case) router(quick bool) (f Figures, err error) {
	w, times, failed := c.World, 24, 0
	if quick {
		times = 8
	}
	rng, q := rand.New(rand.NewPCG(1, 2)), routing.Lookup{Tariff: "all", Parts: make([]routing.Part, w.Parts)}
	for f.Time == 0 {
		r, err := newRouter(w)
		if err != nil {
			return f, err
		}
		r.Listed(entries(w, 0), true)
		var before, after runtime.MemStats
		var best Figures
		warm := min(200, w.cells()/w.Parts) + 2
		whole := true
		for k := 0; whole && k < warm+times; k++ {
			q.ID, q.Expires = "query-"+strconv.Itoa(k), time.Now().Add(expected)
			start := rng.IntN(w.cells())
			for i := range q.Parts {
				q.Parts[i] = routing.Part{Slice: (start + i) % w.cells(), Weight: 1 / float64(w.Parts)}
			}
			if k == warm {
				runtime.GC()
				runtime.ReadMemStats(&before)
			}
			var one Figures
			if one, whole, err = serve(r, q); err != nil {
				return f, err
			}
			if k == warm {
				best = one
			}
			best = best.least(one)
		}
		if runtime.ReadMemStats(&after); whole {
			f = best
			f.Allocations = float64(after.Mallocs-before.Mallocs) / float64(times*w.Parts)
		} else if failed++; failed == 10 {
			return f, fmt.Errorf("%s: a query wasn't served whole, in each of %d tries of %d", c.Key, failed, times)
		}
	}
	return f, nil
}

// serve serves one query, and tells whether it was whole.
func serve(r *routing.Router, q routing.Lookup) (f Figures, whole bool, err error) {
	began := time.Now()
	t, err := r.Take(q)
	f.LongestTake = time.Since(began)
	if err != nil {
		return f, false, err
	}
	for {
		step, err := t.Pick(context.Background())
		if err != nil || step.Final != nil {
			n := time.Duration(len(q.Parts))
			f.Time, f.Taking, f.Outcomes = (f.LongestTake+f.Outcomes)/n, f.LongestTake/n, f.Outcomes/n
			return f, err == nil && step.Final.Whole, err
		}
		time.Sleep(10 * time.Millisecond) // attempts are held to be late, and searchers to be gone, by how long others took
		for _, call := range step.Calls {
			for _, a := range call.Forwards {
				began := time.Now()
				a.Leave()
				middle := time.Now()
				a.Report(mixer.Succeeded, nil)
				end := time.Now()
				f.Outcomes += end.Sub(began)
				f.LongestCall = max(f.LongestCall, middle.Sub(began), end.Sub(middle))
			}
		}
	}
}

// lists are the cases of news of the whole list.
var lists = []string{"whole list of 37000, first", "whole list of 37000, again", "whole list of 37000, 5000 changed"}

// list gives the router a whole list while another caller asks for its lock again and again. LongestTake is how long the list's
// call took, LongestCall how long the other caller waited at most; the least of several rounds, as others use the machine.
func (c Case) list(quick bool) (best Figures, err error) {
	rounds := 15
	if quick {
		rounds = 5
	}
	first, same, changed := entries(c.World, 1), entries(c.World, 1), entries(c.World, 1)
	for i := range changed {
		if i%7 == 0 && i/7 < 5000 {
			changed[i].Started = 2
		}
	}
	for i := range rounds {
		r, err := newRouter(c.World)
		if err != nil {
			return best, err
		}
		if c.Key != lists[0] {
			r.Listed(first, true)
		}
		next := map[string][]routing.Entry{lists[0]: first, lists[1]: same, lists[2]: changed}[c.Key]
		var over atomic.Bool
		waited, ready := make(chan time.Duration), make(chan bool)
		go func() {
			longest := time.Duration(0)
			r.Tick()
			close(ready)
			for !over.Load() {
				began := time.Now()
				r.Tick()
				longest = max(longest, time.Since(began))
			}
			waited <- longest
		}()
		<-ready
		runtime.GC()
		began := time.Now()
		r.Listed(next, true)
		f := Figures{LongestTake: time.Since(began)}
		over.Store(true)
		f.LongestCall = <-waited
		if i == 0 {
			best = f
		}
		best = best.least(f)
	}
	return best, nil
}
