package routing

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"nettlefold/mixer"
)

// versioned gives a router of one warm searcher with the tariffs told, where a part is sent once.
func versioned(t *testing.T, c mixer.Config, most int) *rig {
	c.Mixers, c.Cells, c.Reach, c.PerCall, c.MaxForwards, c.ColdFrom = 1, 1, 1, 1, 1, 1
	r, err := New(c, map[string]int{"all": 0}, most, 1, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	r.Listed([]Entry{{Searcher: "s0", Zone: "z"}}, true)
	return &rig{t: t, r: r, rng: rand.New(rand.NewSource(1))}
}

// takeFor takes a lookup of one part whose client waits so long.
func (g *rig) takeFor(id string, wait time.Duration) *Ticket {
	g.t.Helper()
	t, err := g.r.Take(Lookup{ID: id, Tariff: "all", Expires: time.Now().Add(wait), Parts: []Part{{Weight: 1}}})
	if err != nil {
		g.t.Fatal(err)
	}
	return t
}

// Lookups end under the version they were taken under: each in its own time, and with what its own version lets be advised. The
// module knows one longest advice for all, so what a later version allows less must not cut an earlier one's, nor one's more lengthen it.
func TestEndsUnderTheVersionOfItsTaking(t *testing.T) {
	tariff := func(expected time.Duration) []mixer.Tariff {
		return []mixer.Tariff{{Expected: int64(expected), Patience: 4e9, CompleteFrom: 1, LeastShare: 1}}
	}
	start := mixer.Config{MayAdvise: true, MaxAdvice: 40e6, Tariffs: tariff(800 * time.Millisecond)}
	long, brief := start, start
	long.MaxAdvice, long.Tariffs = 1e9, tariff(2*time.Second)
	brief.MaxAdvice, brief.Tariffs = 1e6, tariff(400*time.Millisecond)
	for _, fails := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			g := versioned(t, start, 100)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go g.r.Run(ctx)
			began := time.Now()
			of := map[string]*Ticket{"start": g.takeFor("start", 3*time.Second)}
			g.r.Adopt(long, 100)
			of["long"] = g.takeFor("long", 3*time.Second)
			g.r.Adopt(brief, 100)
			of["brief"] = g.takeFor("brief", 3*time.Second)
			for _, end := range []struct {
				of          string
				after       time.Duration
				least, most time.Duration // that are advised where it has failed at once
			}{{"brief", 392 * time.Millisecond, time.Millisecond, time.Millisecond},
				{"start", 792 * time.Millisecond, 31 * time.Millisecond, 40 * time.Millisecond},
				{"long", 1992 * time.Millisecond, 79 * time.Millisecond, 240 * time.Millisecond}} {
				step := g.pick(of[end.of])
				f := step.Calls[0].Forwards[0]
				if f.Leave(); fails {
					f.Report(mixer.Unreachable, nil)
					end.after = 0
				}
				step = g.pick(of[end.of])
				if took := time.Since(began).Round(time.Millisecond); step.Final == nil || step.Final.Verdict != Bounced || took != end.after {
					t.Fatalf("the lookup of %s: %+v after %v, want a bounce after %v", end.of, step, took, end.after)
				}
				if wait := step.Final.Wait; fails && (wait < end.least || wait > end.most) || !fails && wait != 0 {
					t.Errorf("the lookup of %s is bounced with a wait of %v, want %v to %v", end.of, wait, end.least, end.most)
				}
			}
		})
	}
}

// A version with fewer places than are open ends nothing, and lets nothing in until places are free by its count.
func TestFewerPlacesInFlight(t *testing.T) {
	g := newRig(t, 1)
	var open []*Ticket
	for i := range 4 { // 12 lookups and parts
		open = append(open, g.take(fmt.Sprint(i), 2))
	}
	g.r.Adopt(g.r.charter, 6)
	one := Lookup{ID: "more", Tariff: "all", Expires: time.Now().Add(time.Second), Parts: []Part{{Weight: 1}}}
	for i, ticket := range open {
		if _, err := g.r.Take(one); i < 3 && !errors.Is(err, ErrFull) || i == 3 && err != nil {
			t.Errorf("%d lookups of three places are open, 6 places allowed: %v", 4-i, err)
		}
		for _, c := range g.pick(ticket).Calls {
			for _, f := range c.Forwards {
				f.Leave()
				f.Report(mixer.Succeeded, []byte("v"))
			}
		}
		if f := g.pick(ticket).Final; f == nil || f.Verdict != Answered {
			t.Errorf("one that was open ends as %+v", f)
		}
	}
	g.r.Adopt(g.r.charter, 60)
	for i := range 20 { // 40 places, one lookup is still open
		g.take(fmt.Sprint("again", i), 1)
	}
	g.r.Adopt(mixer.Config{}, 1) // of other rows
	g.take("last", 1)
}

// steps serves lookups one after another in a bubble and writes down what comes of them, with versions put in force meanwhile.
func steps(t *testing.T, seed int64, adopt func(r *Router, rng *rand.Rand)) (all []string) {
	synctest.Test(t, func(t *testing.T) {
		g, rng := newRig(t, seed), rand.New(rand.NewSource(seed))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go g.r.Run(ctx)
		for i := range 200 {
			began := time.Now()
			adopt(g.r, rng)
			ticket := g.take(fmt.Sprint(i), 1+g.roll(6))
			for {
				step := g.pick(ticket)
				all = append(all, fmt.Sprint(i, time.Since(began), len(step.Withdrawn)))
				for _, c := range step.Calls {
					adopt(g.r, rng)
					for _, f := range c.Forwards {
						all = append(all, fmt.Sprint(c.Searcher, c.Fresh, f.ID, f.copy, f.Until.Sub(began).Round(time.Microsecond)))
						time.Sleep(time.Duration(g.roll(30)) * time.Millisecond)
						f.Leave()
						adopt(g.r, rng)
						f.Report([]Outcome{mixer.Succeeded, mixer.Succeeded, mixer.Failed, mixer.Unreachable, mixer.ConnectionReset}[g.roll(5)], nil)
					}
				}
				if f := step.Final; f != nil {
					all = append(all, fmt.Sprint(i, f.Verdict, f.Whole, len(f.Hits), f.Wait))
					break
				}
			}
		}
	})
	return all
}

// The charter of the start, put in force at any moment, changes no step. In its place the other run makes a call that does nothing:
// each call moves the module's clock by a nanosecond at least.
func TestTheSameVersionStepsTheSame(t *testing.T) {
	all := 0
	for seed := range int64(6) {
		plain := steps(t, seed, func(r *Router, rng *rand.Rand) {
			if rng.Intn(2) == 0 {
				r.Now()
			}
		})
		told := steps(t, seed, func(r *Router, rng *rand.Rand) {
			if rng.Intn(2) == 0 {
				r.Adopt(r.charter, most)
			}
		})
		if !slices.Equal(plain, told) {
			for i := range min(len(plain), len(told)) {
				if plain[i] != told[i] {
					t.Fatalf("seed %d: step %d is %s, without versions %s", seed, i, told[i], plain[i])
				}
			}
			t.Fatalf("seed %d: %d steps, without versions %d", seed, len(told), len(plain))
		}
		all += len(plain)
	}
	t.Logf("%d steps the same", all)
}

// Versions that come amid traffic of all sorts break no rule, and leave nothing over.
func TestVersionsAmidTraffic(t *testing.T) {
	for seed := range int64(6) {
		synctest.Test(t, func(t *testing.T) {
			g, rng := newRig(t, seed), rand.New(rand.NewSource(seed))
			ctx, cancel := context.WithCancel(t.Context())
			var run, work sync.WaitGroup
			run.Go(func() { g.r.Run(ctx) })
			run.Go(func() {
				for ctx.Err() == nil {
					c := g.r.charter
					c.Tariffs = slices.Clone(c.Tariffs)
					for i := range c.Tariffs {
						c.Tariffs[i].Expected = int64(1+rng.Intn(2000)) * 1e6
						c.Tariffs[i].Patience = c.Tariffs[i].Expected + int64(rng.Intn(2000))*1e6
					}
					c.MaxAdvice = int64(rng.Intn(2000)) * 1e6
					g.r.Adopt(c, 1+rng.Intn(most))
					time.Sleep(time.Duration(rng.Intn(30)) * time.Millisecond)
				}
			})
			for range 300 {
				work.Add(1)
				go g.serve(ctx, &work)
				if g.roll(20) == 0 {
					g.list(g.roll(3) == 0)
				}
				time.Sleep(time.Duration(g.roll(40)) * time.Millisecond)
				g.check()
			}
			work.Wait()
			time.Sleep(3 * time.Second)
			g.check()
			if g.r.open != 0 || len(g.r.tickets) != 0 || len(g.r.slots) != 0 || len(g.r.timers) != 0 || len(g.ends) < 50 {
				t.Errorf("left over: %d open, %d tickets, %d parts, %d timers; %d lookups had a final answer", g.r.open, len(g.r.tickets),
					len(g.r.slots), len(g.r.timers), len(g.ends))
			}
			cancel()
			run.Wait()
		})
	}
}
