// Package several plays many processes of the program together on the loopback: sites with their mixers, stand-in
// searchers, agents and clients, and a wire between each two of them that can fail alone. What a play comes to is counted
// at the clients and at the searchers. docs/several.md says how to write one.
package several

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"nettlefold/example/toy"
)

// Setup is what a world is made of. What is not set has the value told.
type Setup struct {
	Program   string   // the mixer's
	Sites     []string // a, b and c
	Mixers    int      // of each site, 3
	Searchers int      // of each site, 2: one for each cell
	Rate      float64  // lookups a second at each site's front, 8
	Seed      int64
	Fleet     bool                         // the mixers gossip, by an element fleet in their settings
	Change    func(mixer string, s object) // changes a mixer's settings before a start
	Own       func(mixer string) string    // further elements of our own settings

	Relays  int                             // control relays of each site, none
	Window  time.Duration                   // of mixers with control relays, 1 s
	StandIn func(relay string) http.Handler // stands in for a control relay, nil: the program does
	Lie     func(mixer string, s *Standing) // changes what a mixer tells of its version, as a planted fault

	Cores        int           // of a searcher, 4
	Work         time.Duration // of a part, 5 ms
	Queue        time.Duration // in a searcher's queue, beyond which it turns away, 500 ms
	ColdFrom     float64       // share of its capacity that a searcher starts at, 0.25
	ColdFor      time.Duration // in which it is warm, 4 s
	FallMultiple float64       // of what a cold one can do, that it falls over by, 2.5
	FallFor      time.Duration // when sent for so long, 1 s
	Patience     time.Duration // of clients, 2 s

	// Bounds of the verdict and of waits: rules and no speeds, so they are far over what a busy machine takes.
	Slack time.Duration // after its patience, in which a lookup's answer still has to come, 10 s
	Grace time.Duration // after the list said that a searcher drains, 3 s
	Limit time.Duration // for a condition to come true, 60 s
}

// The deployment that mixers are told: shard s is held by the searchers of cell s modulo cells.
const (
	cells, slabs, parts = 2, 8, 3

	allParts, anyHalf, onceOnly = "all", "half", "once"
)

var tariffs = []string{allParts, anyHalf, onceOnly}

// object is a JSON object of a configuration.
type object = map[string]any

// World is a play under way.
type World struct {
	Setup
	Mixers    []*Mixer
	Relays    []*Relay
	Searchers []*Searcher
	Fronts    []*Front
	Book      *Book

	net     *network
	block   string            // 127.a.b, of which each party has an address
	lock    net.Listener      // holds the block
	parties map[string]string // names by address
	dir     string
	index   int64 // of the list
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	agents  []*http.Server
	began   time.Time
	settled time.Time // since when Never looks
	pulse   pulse
	given   *given
}

func or[T comparable](v *T, otherwise T) {
	var none T
	if *v == none {
		*v = otherwise
	}
}

// New makes a world and starts all of it: searchers warm, mixers healthy, clients coming.
func New(s Setup) (*World, error) {
	if len(s.Sites) == 0 {
		s.Sites = []string{"a", "b", "c"}
	}
	or(&s.Mixers, 3)
	or(&s.Searchers, 2)
	or(&s.Rate, 8)
	or(&s.Cores, 4)
	or(&s.Work, 5*time.Millisecond)
	or(&s.Queue, 500*time.Millisecond)
	or(&s.ColdFrom, 0.25)
	or(&s.ColdFor, 4*time.Second)
	or(&s.FallMultiple, 2.5)
	or(&s.FallFor, time.Second)
	or(&s.Patience, 2*time.Second)
	or(&s.Slack, 10*time.Second)
	or(&s.Grace, 3*time.Second)
	or(&s.Window, time.Second)
	or(&s.Limit, 60*time.Second)
	w := &World{Setup: s, net: newNetwork(), parties: map[string]string{}, began: time.Now()}
	w.Book, w.given = newBook(w), newGiven(w)
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.wg.Go(func() { w.pulse.run(w) })
	err := w.make()
	if err == nil {
		err = w.Until("all mixers are healthy", func() error { return w.Healthy("*") })
	}
	if err != nil {
		w.Close()
		return nil, err
	}
	if len(w.Relays) > 0 {
		w.watch()
	}
	return w, nil
}

// say has all agents hear how a searcher stands.
func (w *World) say(s *Searcher, status string) {
	w.net.mu.Lock()
	w.index++
	index := w.index
	w.net.mu.Unlock()
	for _, m := range w.Mixers {
		m.Agent.hear(toy.Message{Index: index, Endpoints: []toy.Member{m.entry(s, status)}})
	}
}

// knows tells whether a mixer has to know by now what the list said of a searcher at a time or after it.
func (w *World) knows(mixer, searcher string, said, now time.Time) bool {
	m := w.mixer(mixer)
	told, ok := m.Agent.toldOf(searcher)
	if began, _ := m.since(); told.Before(began) {
		told = began
	}
	return ok && !told.Before(said) && now.Sub(told) > w.Grace && !w.net.troubled(mixer, searcher, now.Add(-settled), now)
}

func (w *World) mixer(name string) *Mixer {
	for _, m := range w.Mixers {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// processes gives all processes of the program.
func (w *World) processes() (all []*process) {
	for _, m := range w.Mixers {
		all = append(all, &m.process)
	}
	for _, r := range w.Relays {
		all = append(all, &r.process)
	}
	return all
}

// pause waits, and tells whether the world goes on.
func (w *World) pause(d time.Duration) bool {
	select {
	case <-w.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// Until waits for a condition, which gives nil once it holds and else what is missing.
func (w *World) Until(what string, holds func() error) error {
	for end := time.Now().Add(w.Limit); ; {
		err := holds()
		if err == nil {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("never came true: %s: %w", what, err)
		}
		if !w.pause(20 * time.Millisecond) {
			return w.ctx.Err()
		}
	}
}

// Healthy tells whether the fronts of their sites find mixers well, by a pattern.
func (w *World) Healthy(pattern string) error {
	for _, f := range w.Fronts {
		f.mu.Lock()
		for _, m := range w.Mixers {
			if matches(pattern, m.Name) && m.Site == f.Site && !f.well[m.Name] {
				f.mu.Unlock()
				return fmt.Errorf("%s is not well to %s", m.Name, f.Name)
			}
		}
		f.mu.Unlock()
	}
	return nil
}

// Finish has no more clients come, waits for those that are there, and gives the verdict.
func (w *World) Finish() Verdict {
	for _, f := range w.Fronts {
		f.Rate(0)
	}
	err := w.Until("all lookups have ended", func() error {
		for _, f := range w.Fronts {
			f.mu.Lock()
			open := f.open
			f.mu.Unlock()
			if open > 0 {
				return fmt.Errorf("%d open at %s", open, f.Name)
			}
		}
		return nil
	})
	if err != nil {
		w.Book.Break("a lookup has one final answer", "%v", err)
	}
	var wg sync.WaitGroup
	for _, f := range w.Fronts {
		wg.Go(f.finish)
	}
	wg.Wait()
	for _, p := range w.processes() {
		if p.cmd != nil && !p.running() {
			w.Book.Break("no process ends by itself", "%s; its log ends: %s", p.Name, p.Log(600))
		}
	}
	w.given.finish()
	return w.Book.Verdict()
}

// Close ends all that the world has started.
func (w *World) Close() {
	w.cancel()
	for _, p := range w.processes() {
		if p.running() {
			p.Kill()
		}
	}
	for _, r := range w.Relays {
		r.unserve()
	}
	for _, at := range w.agents {
		at.Close()
	}
	for _, s := range w.Searchers {
		s.Kill()
	}
	w.net.close()
	w.wg.Wait()
	if w.lock != nil {
		w.lock.Close()
	}
	os.RemoveAll(w.dir)
}
