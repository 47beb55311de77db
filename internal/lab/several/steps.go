package several

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Step is one thing of a plan: it does something at once, or waits until something holds. A plan's steps come one after the
// other, so that two plays differ in times and not in what is done.
type Step struct {
	What string
	Do   func(*World) error
}

// Play does a plan step by step, and writes when each was done. It ends at the first that fails.
func (w *World) Play(out io.Writer, plan []Step) error {
	for _, s := range plan {
		err := s.Do(w)
		c := w.Book.counted()
		fmt.Fprintf(out, "%7.2fs  %-58s %5d asked %5d whole %4d refused or failed\n",
			time.Since(w.began).Seconds(), s.What, c.Asked, c.Whole, c.Refused+c.Failed)
		if err != nil {
			return fmt.Errorf("%s: %w", s.What, err)
		}
	}
	return nil
}

func step(do func(*World) error, format string, args ...any) Step {
	return Step{fmt.Sprintf(format, args...), do}
}

// Wire puts a fault in force between parties both ways; Fault{} ends it. Patterns are a site, a party's name,
// one with * in it, or one of these after ! for all others.
func Wire(a, b string, f Fault) Step {
	return step(func(w *World) error {
		w.net.set(a, b, f)
		w.net.set(b, a, f)
		return nil
	}, "wire %s | %s: %s", a, b, f)
}

// WireOneWay puts a fault in force in one direction.
func WireOneWay(from, to string, f Fault) Step {
	return step(func(w *World) error { w.net.set(from, to, f); return nil }, "wire %s > %s: %s", from, to, f)
}

// Cut cuts parties off from each other both ways.
func Cut(a, b string) Step { return Wire(a, b, Fault{Cut: true}) }

// CutOneWay has what one side sends not come to the other.
func CutOneWay(from, to string) Step { return WireOneWay(from, to, Fault{Cut: true}) }

// Heal ends all faults of wires.
func Heal() Step {
	return step(func(w *World) error { w.net.heal(); return nil }, "all wires are sound")
}

// Reset ends the connections between parties.
func Reset(a, b string) Step {
	return step(func(w *World) error { w.net.reset(a, b); return nil }, "connections %s | %s are reset", a, b)
}

// mixers does something to all mixers of a pattern, at once where it may take long.
func mixers(pattern, what string, do func(*Mixer) error) Step {
	return step(func(w *World) error {
		errs, n := make(chan error, len(w.Mixers)), 0
		for _, m := range w.Mixers {
			if matches(pattern, m.Name) {
				n++
				go func() { errs <- do(m) }()
			}
		}
		if n == 0 {
			return fmt.Errorf("no mixer is %s", pattern)
		}
		var first error
		for range n {
			if err := <-errs; err != nil && first == nil {
				first = err
			}
		}
		return first
	}, "mixers %s %s", pattern, what)
}

// Kill ends processes by SIGKILL.
func Kill(pattern string) Step { return processes(pattern, "are killed", party.Kill) }

// Start starts processes that have ended.
func Start(pattern string) Step { return processes(pattern, "are started", party.Start) }

// Restart has processes leave by SIGTERM, and starts them when they have.
func Restart(pattern string) Step {
	return processes(pattern, "leave and start anew", func(p party) error {
		if err := p.Leave(); err != nil {
			return err
		}
		return p.Start()
	})
}

// Stop halts processes, and Continue has them go on.
func Stop(pattern string) Step { return processes(pattern, "are stopped", party.Stop) }

// Continue has processes go on.
func Continue(pattern string) Step { return processes(pattern, "go on", party.Continue) }

// Tell has the agents of mixers tell the list in a mode.
func Tell(pattern string, mode Mode) Step {
	return mixers(pattern, fmt.Sprintf("are told the list so: %+v", mode), func(m *Mixer) error { m.Agent.Set(mode); return nil })
}

// searchers does something to all searchers of a pattern.
func searchers(pattern, what string, do func(*Searcher) error) Step {
	return step(func(w *World) error {
		n := 0
		for _, s := range w.Searchers {
			if matches(pattern, s.Name) {
				n++
				if err := do(s); err != nil {
					return err
				}
			}
		}
		if n == 0 {
			return fmt.Errorf("no searcher is %s", pattern)
		}
		return nil
	}, "searchers %s %s", pattern, what)
}

// KillSearchers ends searchers as a crash does; the list still has them.
func KillSearchers(pattern string) Step { return searchers(pattern, "are killed", (*Searcher).Kill) }

// StartSearchers starts searchers that have ended, cold.
func StartSearchers(pattern string) Step { return searchers(pattern, "start cold", (*Searcher).Start) }

// Drain has searchers drain.
func Drain(pattern string) Step {
	return searchers(pattern, "drain", func(s *Searcher) error { s.Drain(); return nil })
}

// Work has parts take so long at searchers from now on.
func Work(pattern string, each time.Duration) Step {
	return searchers(pattern, "take "+each.String()+" for a part", func(s *Searcher) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.work = each
		return nil
	})
}

// KillSite kills all of a site: mixers and searchers. Its clients go on to the other sites.
func KillSite(site string) Step {
	return step(func(w *World) error {
		for _, s := range w.Searchers {
			if s.Site == site {
				s.Kill()
			}
		}
		return Kill(site).Do(w)
	}, "site %s is killed", site)
}

// StartSite starts all of a site, cold.
func StartSite(site string) Step {
	return step(func(w *World) error {
		if err := StartSearchers(site).Do(w); err != nil {
			return err
		}
		return Start(site).Do(w)
	}, "site %s starts cold", site)
}

// Healthy waits until mixers are well to the fronts of their sites.
func Healthy(pattern string) Step {
	what := fmt.Sprintf("mixers %s are well", pattern)
	return Step{what, func(w *World) error { return w.Until(what, func() error { return w.Healthy(pattern) }) }}
}

// Served waits until so many lookups more have been answered whole to the clients of each front of a pattern's sites.
func Served(pattern string, n int) Step {
	what := fmt.Sprintf("%d lookups of clients of %s are served whole", n, pattern)
	return Step{what, func(w *World) error {
		begin := w.Book.whole()
		return w.Until(what, func() error {
			now := w.Book.whole()
			for _, f := range w.Fronts {
				if got := now[f.Site] - begin[f.Site]; matches(pattern, f.Site) && got < n {
					return fmt.Errorf("%d at %s", got, f.Name)
				}
			}
			return nil
		})
	}}
}

// Holds waits until something holds.
func Holds(what string, holds func(*World) error) Step {
	return Step{what, func(w *World) error { return w.Until(what, func() error { return holds(w) }) }}
}

// See waits until all mixers of a pattern that run see all of another in a state of the roster, or one of several parted by |.
func See(who, whom, state string) Step {
	return Holds(fmt.Sprintf("mixers %s see %s: %s", who, whom, state), func(w *World) error {
		for _, m := range w.Mixers {
			if !matches(who, m.Name) || m.halted || !m.running() {
				continue
			}
			states, err := m.sees()
			if err != nil {
				return err
			}
			for _, o := range w.Mixers {
				if matches(whom, o.Name) && !slices.Contains(strings.Split(state, "|"), states[o.Name]) {
					return fmt.Errorf("%s sees %s: %s", m.Name, o.Name, states[o.Name])
				}
			}
		}
		return nil
	})
}

// String says what a fault is.
func (f Fault) String() string {
	if f == (Fault{}) {
		return "sound"
	}
	text := ""
	if f.Cut {
		text += " cut"
	}
	if f.Again {
		text += " all twice"
	}
	if f.Delay > 0 {
		text += " slow by " + f.Delay.String()
	}
	for _, s := range []struct {
		name  string
		share float64
	}{{"loses", f.Lose}, {"repeats", f.Repeat}, {"reorders", f.Reorder}} {
		if s.share > 0 {
			text += fmt.Sprintf(" %s %v", s.name, s.share)
		}
	}
	return text[1:]
}
