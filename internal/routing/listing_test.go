package routing

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"nettlefold/mixer"
)

// fleet is the plan's number of searchers.
const fleet = 37000

// listRouter gives a router that knows no searcher yet.
func listRouter(t testing.TB) *Router {
	r, err := New(mixer.Config{
		Tariffs: []mixer.Tariff{{Expected: 60e9, Patience: 60e9, CompleteFrom: 1, LeastShare: 1}}, // no busy machine takes as long
		Zone:    "z0", Mixers: 3, Cells: fleet / 4, Reach: 1, PerCall: 4, MaxForwards: 3, MayCopy: true, MayCancel: true, ColdFrom: 1,
	}, map[string]int{"all": 0}, 1<<20, 1, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func searchers(n int) []Entry {
	rows := make([]Entry, n)
	for i := range rows {
		rows[i] = Entry{Searcher: fmt.Sprint("s", i), Cell: i / 4, Zone: fmt.Sprint("z", i%8), Started: 5, Size: 1}
	}
	return rows
}

// stands gives what the module says of a searcher, which has to be listed.
func stands(t *testing.T, r *Router, name string) Standing {
	t.Helper()
	st, listed := r.Standing(name)
	if !listed {
		t.Fatalf("%s is not listed", name)
	}
	return st
}

// between has something done after each batch but the last, told its number from 1 on, without the router's lock.
func between(r *Router, do func(batch int)) {
	n := 0
	r.list.rest = func() { n++; do(n) }
}

// All of a whole list of the plan's size comes in bounded batches, and of one that has changed little only that, the bad news in the first.
func TestWholeListsComeInBatches(t *testing.T) {
	r := listRouter(t)
	rows := searchers(fleet)
	r.Listed(rows, true)
	if b := r.Batches(); b.Rows != fleet || b.Most > batch || b.Calls != (fleet+batch-1)/batch {
		t.Errorf("the first list: %+v, want %d rows, %d a call", b, fleet, batch)
	}
	last := r.last
	r.Listed(rows, true)
	if b := r.Batches(); b != (Batches{}) || r.last != last {
		t.Errorf("the same again: %+v and %d ns of the module's clock", b, r.last-last)
	}
	news := searchers(fleet)
	drains, gone := fleet-2, fleet-1
	news[drains].Status = mixer.Draining
	for i := range 5000 {
		news[i].Started++
	}
	seen := false
	between(r, func(n int) {
		if n > 1 {
			return
		}
		seen = true
		if st := stands(t, r, news[drains].Searcher); st.Status != mixer.Draining {
			t.Errorf("after the first batch %s is %v", news[drains].Searcher, st.Status)
		}
		if _, listed := r.Standing(news[gone].Searcher); listed {
			t.Errorf("after the first batch %s is still listed", news[gone].Searcher)
		}
		if st := stands(t, r, news[4999].Searcher); st.Started != 5 {
			t.Error("after the first batch all new processes are known")
		}
	})
	r.Listed(news[:gone], true)
	if b := r.Batches(); !seen || b.Rows != 5002 || b.Most > batch {
		t.Errorf("5,002 changes: %+v", b)
	}
	for i := range 5000 {
		if st := stands(t, r, news[i].Searcher); st.Started != 6 {
			t.Fatalf("%s is of process %d", news[i].Searcher, st.Started)
		}
	}
}

// Between batches a query is taken, sent by what is known then, and answered.
func TestQueriesComeBetweenBatches(t *testing.T) {
	r := listRouter(t)
	answered := 0
	between(r, func(n int) {
		ticket, err := r.Take(Lookup{ID: fmt.Sprint("q", n), Tariff: "all", Expires: time.Now().Add(time.Minute),
			Parts: []Part{{Slice: 0, Weight: 1}}})
		if err != nil {
			t.Fatal(err)
		}
		for {
			step, err := ticket.Pick(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			for _, c := range step.Calls {
				for _, f := range c.Forwards {
					f.Leave()
					f.Report(mixer.Succeeded, []byte("v"))
				}
			}
			if step.Final != nil {
				if step.Final.Verdict == Answered {
					answered++
				}
				return
			}
		}
	})
	r.Listed(searchers(5*batch), true)
	if answered != 4 {
		t.Errorf("%d queries were answered between 5 batches", answered)
	}
}

// What other mixers say reaches a process that is listed later, or again after it was forgotten, and no other is told anew.
func TestWordsGoToNewProcessesOnly(t *testing.T) {
	r := listRouter(t)
	rows := searchers(3 * batch)
	until := r.Now() + int64(time.Hour)
	say := func(i int, started int64, suspecting int) Word {
		return Word{Searcher: rows[i].Searcher, Started: started, Until: until, Suspecting: suspecting}
	}
	last := len(rows) - 1 // of the last batch
	r.Told([]Word{say(0, 5, 1), say(last, 5, 2), say(1, 6, 3), say(1, 5, 4)})
	check := func(what string, want map[int]int) {
		t.Helper()
		for i, n := range want {
			if got := stands(t, r, rows[i].Searcher).Word.Suspecting; got != n {
				t.Errorf("%s: of %s %d is said, want %d", what, rows[i].Searcher, got, n)
			}
		}
	}
	r.Listed(rows, true)
	check("listed first", map[int]int{0: 1, last: 2, 1: 4, 2: 0})
	r.call(nil, func(now int64) { r.m.UpdatePeerReports(now, []Word{say(0, 5, 7), say(1, 5, 7)}) })
	rows[0].Zone, rows[1].Started = "elsewhere", 6
	r.Listed(rows, true)
	check("one has moved, one is another process", map[int]int{0: 7, 1: 3})
	r.Listed(rows[1:], true)
	r.Listed(rows, true)
	check("gone and back", map[int]int{0: 1})
}

// What did not go through to the module is told with the next list, also where that is the same.
func TestWhatFailedIsToldAgain(t *testing.T) {
	r := listRouter(t)
	rows := searchers(4 * batch)
	m := r.m
	set := func(to *mixer.Mixer) {
		r.mu.Lock()
		r.m = to
		r.mu.Unlock()
	}
	between(r, func(n int) {
		if set(m); n == 2 {
			set(nil) // the third batch panics in the module
		}
	})
	r.Listed(rows, true)
	if _, listed := r.Standing(rows[2*batch].Searcher); listed {
		t.Fatal("the third batch went through")
	}
	between(r, func(int) {})
	r.Listed(rows, true)
	if b := r.Batches(); b.Rows != batch {
		t.Errorf("told again: %+v", b)
	}
	for _, e := range rows {
		stands(t, r, e.Searcher)
	}
	set(nil)
	r.Listed(rows[1:], true)
	set(m)
	r.Listed(rows[1:], true)
	if _, listed := r.Standing(rows[0].Searcher); listed {
		t.Error("what is gone was not told again")
	}
}

// holder is a Filter that keeps rows back until it is told to give them.
type holder struct {
	t     *testing.T
	r     *Router
	back  map[string]bool
	kept  []Entry
	calls int
	last  int64
}

func (h *holder) Changed(now int64, rows []Entry) (pass []Entry) {
	h.calls++
	if now <= h.last || now > h.r.Now() { // Now is a call: it shows that the router's lock is free
		h.t.Errorf("at %d after %d", now, h.last)
	}
	h.last = now
	for _, e := range rows {
		if h.back[e.Searcher] {
			h.kept = append(h.kept, e)
		} else {
			pass = append(pass, e)
		}
	}
	if h.back == nil {
		pass, h.kept = append(pass, h.kept...), nil
	}
	return pass
}

func TestFilterChoosesWhatTheModuleIsTold(t *testing.T) {
	r, plain := listRouter(t), listRouter(t)
	rows := searchers(3 * batch)
	h := &holder{t: t, r: r, back: map[string]bool{"s0": true, "s100": true}}
	r.Filter = h
	if plain.Filter != nil {
		t.Fatal("a router is made with a filter")
	}
	for i, full := range []bool{true, true, false} {
		rows[50].Zone = fmt.Sprint("y", i)
		r.Listed(rows, full)
		plain.Listed(rows, full)
		for _, e := range rows {
			got, listed := r.Standing(e.Searcher)
			want, all := plain.Standing(e.Searcher)
			if listed == h.back[e.Searcher] || !all || listed && got != want {
				t.Fatalf("%s: listed %v %+v, without a filter %v %+v", e.Searcher, listed, got, all, want)
			}
		}
	}
	h.back = nil
	r.Listed(rows, true) // in which nothing differs
	for name := range map[string]bool{"s0": true, "s100": true} {
		stands(t, r, name)
	}
	if h.calls != 4 {
		t.Errorf("asked %d times for 4 messages", h.calls)
	}
}

// Lists, words, queries and questions come at once; each query gets its end, and the module has the last list at the end.
func TestListsBesideQueries(t *testing.T) {
	r := listRouter(t)
	rows := searchers(2000)
	r.Listed(rows, true)
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { r.Run(ctx) })
	var lists sync.WaitGroup
	lists.Go(func() {
		for round := range 20 {
			news := searchers(2000)
			for i := round; i < len(news); i += 3 {
				news[i].Started += int64(round)
				news[i].Status = mixer.Status(i % 2)
			}
			r.Listed(news[:2000-100*(round%3)], true)
		}
		r.Listed(rows, true)
	})
	lists.Go(func() {
		for range 50 {
			r.Told([]Word{{Searcher: "s7", Started: 5, Until: r.Now() + 1e9, Suspecting: 1}})
			r.Standing("s8")
			r.Batches()
		}
	})
	for worker := range 2 {
		lists.Go(func() {
			for n := range 200 {
				ticket, err := r.Take(Lookup{ID: fmt.Sprint(worker, ".", n), Tariff: "all", Expires: time.Now().Add(time.Minute),
					Parts: []Part{{Slice: n, Weight: 0.5}, {Slice: 2*n + 1, Weight: 0.5}}})
				if err != nil {
					t.Error(err)
					return
				}
				for ended := false; !ended; {
					step, err := ticket.Pick(ctx)
					if err != nil {
						t.Error(err)
						return
					}
					for _, c := range step.Calls {
						for _, f := range c.Forwards {
							f.Leave()
							f.Report(mixer.Succeeded, []byte("v"))
						}
					}
					ended = step.Final != nil
				}
			}
		})
	}
	lists.Wait()
	stop()
	wg.Wait()
	for _, e := range rows {
		if st := stands(t, r, e.Searcher); st.Started != e.Started || st.Status != mixer.Live {
			t.Fatalf("%s at the end: %+v", e.Searcher, st)
		}
	}
}

// Rows that a filter gives beside the list's news reach the module in batches too, and no news come meanwhile.
func TestRowsBesideTheNews(t *testing.T) {
	r := listRouter(t)
	rows, news := searchers(3*batch), make(chan struct{})
	r.Refilter(func(now int64) []Entry {
		if at := r.Now(); at <= now { // Now is a call: it shows that the router's lock is free
			t.Errorf("%d after %d", at, now)
		}
		go func() {
			r.Listed([]Entry{{Searcher: rows[0].Searcher, Status: mixer.Dead}}, false)
			close(news)
		}()
		time.Sleep(20 * time.Millisecond)
		if _, listed := r.Standing(rows[0].Searcher); listed {
			t.Error("a row is told before the filter has given it")
		}
		return rows
	})
	<-news
	for _, e := range rows[1:] {
		stands(t, r, e.Searcher)
	}
	r.Refilter(func(int64) []Entry { return rows })
	if b := r.Batches(); b.Rows != 3*batch || b.Calls != 3 || b.Most != batch {
		t.Errorf("%+v", b)
	}
	r.Refilter(func(int64) []Entry { return nil })
	names := []string{"s1", "not there"}
	for _, e := range rows[2:] {
		names = append(names, e.Searcher)
	}
	r.Listed([]Entry{{Searcher: "s2", Zone: rows[2].Zone, Cell: rows[2].Cell, Status: mixer.Draining}}, false)
	before := r.Now()
	all := r.Use(names)                       // of one that drains and one that is not there nothing is said
	calls := (len(names) + batch - 1) / batch // each takes a nanosecond of the module's clock at least
	if r.Now()-before <= int64(calls) || len(all) != len(names)-2 || all[0].Searcher != "s1" || all[1].Searcher != "s3" {
		t.Errorf("%d of %d", len(all), len(names))
	}
}
