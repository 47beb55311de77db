// Package fanout measures queries of many parts over many searchers: what a part costs the module and its router and how long the
// router's lock is held (cost.go), and by a model of the whole fleet what mixers that use a subset of each part's holders change
// (fleet.go). docs/fanout.md has the figures.
package fanout

import (
	"encoding/json"
	"fmt"
	"io"
	"os/exec"
	"runtime"
	"strconv"
	"time"
)

// What a part may cost at most where it has 4 holders that were met before, of 5, 20, 88 and 400 parts, and how long the lock may
// be held at 37,000 searchers.
const (
	MostTime        = 2 * time.Microsecond
	MostAllocations = 2.0
	MostHold        = time.Millisecond

	// Times are judged by these times their bounds: other programs share the machine.
	Generous = 2
)

// Figures are what one case gave, in the mean of a part where nothing else is said, by the best of several rounds.
type Figures struct {
	Time        time.Duration // all calls to the module, or to the router
	Taking      time.Duration // of that, Take and AddPart, with the admission
	Outcomes    time.Duration // of that, the outcomes and timers
	Allocations float64
	LongestTake time.Duration // of a whole query: one hold of the router's lock
	LongestCall time.Duration // an outcome or a timer
	Calls       float64       // to the module, a query
	Attempts    float64
}

// Case is one that is played. Its key is the same in all builds.
type Case struct {
	Key    string
	World  World
	Router bool // behind the router, in real time
	List   bool // of the whole list, none of queries
	Judged bool // MostTime and MostAllocations are claimed of it
	Quick  bool // also in the quick form
}

func (c Case) named() Case {
	w := c.World
	c.Key = fmt.Sprintf("%d parts, %d holders, %d searchers", w.Parts, w.Holders, w.Searchers)
	for _, s := range []struct {
		on   bool
		what string
	}{{!w.Met, "none met"}, {w.OneCell > 0, strconv.Itoa(w.OneCell) + " of one cell"}, {w.Lossy, "lossy"}, {w.NoCopy, "no copies"},
		{w.Budget > 0, "budget's window full"}, {w.From > 0, fmt.Sprint("whole from ", w.From)}, {c.Router, "router"}} {
		if s.on {
			c.Key += ", " + s.what
		}
	}
	return c
}

// Cases gives all there are.
func Cases() (all []Case) {
	add := func(quick bool, c Case) {
		c.Quick = quick
		all = append(all, c.named())
	}
	for _, parts := range []int{5, 20, 88, 400} {
		add(true, Case{World: World{Parts: parts, Holders: 4, Searchers: 4000, Met: true}, Judged: true})
	}
	for _, parts := range []int{5, 20, 88, 400} {
		add(true, Case{World: World{Parts: parts, Holders: 4, Searchers: 4000}})
	}
	for _, holders := range []int{20, 420} {
		for _, parts := range []int{5, 20, 88, 400} {
			searchers := min(37000, 200*holders)
			if holders == 420 {
				searchers = holders * 88
			}
			add(parts < 400, Case{World: World{Parts: parts, Holders: holders, Searchers: searchers, Met: true}})
			add(holders < 420 && parts < 400, Case{World: World{Parts: parts, Holders: holders, Searchers: searchers}})
		}
	}
	for _, searchers := range []int{370, 37000} {
		add(searchers < 37000, Case{World: World{Parts: 88, Holders: 4, Searchers: searchers, Met: true}, Judged: true})
	}
	for _, holders := range []int{1, 4, 20, 420} {
		add(holders < 420, Case{World: World{Parts: 88, Holders: holders, Searchers: 88 * holders, Met: true, OneCell: 80}})
	}
	for _, holders := range []int{4, 20} {
		for _, no := range []bool{false, true} {
			add(holders == 4, Case{World: World{Parts: 88, Holders: holders, Searchers: 1000 * holders, Met: true, Lossy: true, NoCopy: no}})
		}
	}
	add(true, Case{World: World{Parts: 88, Holders: 4, Searchers: 4000, Met: true, Budget: 10 * time.Second}})
	for _, holders := range []int{4, 420} {
		add(holders == 4, Case{World: World{Parts: 88, Holders: holders, Searchers: 88 * holders, Met: true, From: 0.67}})
	}
	for _, parts := range []int{5, 20, 88, 400} {
		add(true, Case{World: World{Parts: parts, Holders: 4, Searchers: 4000, Met: true}, Router: true})
	}
	for _, list := range lists {
		all = append(all, Case{Key: list, World: World{Searchers: 37000, Holders: 420}, List: true, Quick: true})
	}
	return all
}

// Run plays a case.
func (c Case) Run(quick bool) (Figures, error) {
	switch {
	case c.List:
		return c.list(quick)
	case c.Router:
		return c.router(quick)
	}
	return c.module(quick)
}

// module plays the module alone in model time, in rounds of several queries until their time is up.
func (c Case) module(quick bool) (best Figures, err error) {
	w, rounds, within := c.World, 9, 2*time.Second
	if quick {
		rounds, within = 4, 200*time.Millisecond
	}
	times := max(1, 440/w.Parts)
	if w.Holders > 20 {
		times = max(1, 176/w.Parts)
	}
	if !w.Met {
		times = max(1, min(times, w.cells()/w.Parts))
	}
	began := time.Now()
	var p *player
	for i := 0; i < 2 || i < rounds && (c.Judged || time.Since(began) < within); i++ { // what is judged has the same rounds in every run
		if p == nil || !w.Met {
			p = newPlayer(w)
		}
		if w.Budget > 0 {
			p.fill()
		}
		p.begin()
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for range times {
			p.query()
		}
		runtime.ReadMemStats(&after)
		// What is lost may leave a query no time. One that is refused when it's taken costs nothing, and isn't what is measured.
		if p.refused > 0 && !w.Lossy || w.Lossy && 10*p.sent < 9*p.parts {
			return best, fmt.Errorf("%s: %d of %d queries were refused or failed, %d attempts for %d parts", c.Key, p.refused, times, p.sent, p.parts)
		}
		n := time.Duration(p.parts)
		f := Figures{Time: (p.taking + p.outcomes) / n, Taking: p.taking / n, Outcomes: p.outcomes / n,
			Allocations: float64(after.Mallocs-before.Mallocs) / float64(n), LongestTake: p.longestTake, LongestCall: p.longestAfter,
			Calls: float64(p.calls) / float64(times), Attempts: float64(p.sent) / float64(times)}
		if i == 0 {
			best = f
		}
		best = best.least(f)
	}
	return best, nil
}

// least takes the lesser of each that chance and other programs add to. Calls and attempts are of the last.
func (f Figures) least(o Figures) Figures {
	return Figures{min(f.Time, o.Time), min(f.Taking, o.Taking), min(f.Outcomes, o.Outcomes), min(f.Allocations, o.Allocations),
		min(f.LongestTake, o.LongestTake), min(f.LongestCall, o.LongestCall), o.Calls, o.Attempts}
}

// Write plays the case of a key and writes its figures, for another build that asks.
func Write(w io.Writer, key string, quick bool) error {
	for _, c := range Cases() {
		if c.Key == key {
			f, err := c.Run(quick)
			if err != nil {
				return err
			}
			return json.NewEncoder(w).Encode(f)
		}
	}
	return fmt.Errorf("no case %q", key)
}

// Asked has a build of nettlelab, which may be another than this one, play a case in a process of its own.
func Asked(program, key string, quick bool) (f Figures, err error) {
	arguments := []string{"fanout-cost", key}
	if quick {
		arguments = append(arguments, "--quick")
	}
	raw, err := exec.Command(program, arguments...).Output()
	if err == nil {
		err = json.Unmarshal(raw, &f)
	}
	if err != nil {
		return f, fmt.Errorf("%s: %s: %w", program, key, err)
	}
	return f, nil
}

// Alternating plays a case by two builds in turns and gives the best of each.
func Alternating(before, after, key string, quick bool) (b, a Figures, err error) {
	for i := range 3 {
		x, err := Asked(before, key, quick)
		if err != nil {
			return b, a, err
		}
		y, err := Asked(after, key, quick)
		if err != nil {
			return b, a, err
		}
		if i == 0 {
			b, a = x, y
		}
		if b, a = b.least(x), a.least(y); quick {
			break
		}
	}
	return b, a, nil
}
