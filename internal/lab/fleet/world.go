// Package fleet plays many mixers and their searchers in model time: the real module and the real sharing decisions of
// each mixer, searchers as queues, a list that tells late, and a shared store with its troubles. One seed, one history.
//
// Searchers: each has cores that serve one part at a time, first come first served; a part's work is drawn from a gamma
// law of shape 2 (light tail, as the operators' settings have for sound searchers). A process that starts bears ColdFrom of
// its capacity, growing evenly to all of it over ColdFor. One that is sent more than FallMultiple of what it bears, by all
// mixers together for FallFor, falls over and stays down. That is the rule of the operators' pages, reckoned per window.
package fleet

import (
	"fmt"
	"math"
	"math/rand"

	"nettlefold/internal/lab/agenda"
	"nettlefold/internal/lab/record"
	"nettlefold/internal/sharing"
	"nettlefold/internal/subset"
	"nettlefold/mixer"
)

const ms = int64(1_000_000)

// Setup says what is played. Times are ns of model time.
type Setup struct {
	Seed      int64
	Mixers    int
	Zones     int // mixers and searchers are spread over them in turn
	Searchers int // spread over the cells in turn
	Charter   mixer.Config
	Parts     int                  // of a lookup, on slices in a row from a random one
	Rates     []float64            // lookups a second, by mixer
	Home      float64              // share of a mixer\'s lookups that begin at the slice of its region: its number modulo the cells
	Work      int64                // mean work of a part
	Cores     int                  // of a searcher
	Net       int64                // one way; twice that across zones
	Shared    bool                 // mixers speak by the store
	Reaches   func(mixer int) bool // which mixers reach the store, nil: all
	ListLate  int64                // the most a mixer is told late of the list

	// Record gives what a mixer's module is written down in from its next start on, nil: nothing. Lives count from 1.
	Record func(mixer int, life uint64) *record.Transcript
	Subset func(name, zone string) subset.Options // of a mixer, which then uses a subset of the searchers; nil: all
}

// World is one history.
type World struct {
	Setup
	Now       int64
	Mixers    []*Node
	Searchers []*Searcher
	Store     *Store
	Lookups   []*Lookup                   // all that were taken
	Trace     func(node int, what string) // of every action of a module, if set
	Sent      func(*Node, *Searcher)      // of every part that is sent, if set

	rng    *rand.Rand
	agenda agenda.Agenda
}

// Node is one mixer.
type Node struct {
	w       *World
	Index   int
	Name    string
	Zone    string
	M       *record.Mixer
	Board   *sharing.Board
	Circuit *sharing.Circuit
	Paused  bool                    // takes part in nothing that is shared; what it wrote before may still land
	Liar    func(*sharing.Sheet)    // changes what it tells
	Broken  func(searcher int) bool // its line to these searchers loses all
	Chooser *subset.Chooser         // nil: it uses all searchers
	lookups map[string]*Lookup
	parts   map[string]*part
	number  int
	life    uint64
	Bytes   int // written to and read from the store
}

// Searcher is one searcher as it really is.
type Searcher struct {
	Index   int
	Name    string
	Zone    string
	Cell    int
	Started int64
	Status  mixer.Status
	Slower  float64 // work takes so many times as long
	Silent  bool
	Down    bool // fell over
	Falls   int
	process int
	free    []int64
	cold    []int64 // when parts were sent to the process while cold
	Fair    float64 // parts that cold processes were sent
}

// Lookup is one lookup and how it ended.
type Lookup struct {
	Node     int
	At, End  int64 // taken and ended
	Expected int64
	Answered bool
	Whole    bool
	Bounced  bool
	Ended    bool
	h        *record.Lookup
	t        *mixer.Tariff
	parts    int
}

// InTime tells whether it was answered whole within its expected time.
func (l *Lookup) InTime() bool { return l.Answered && l.Whole && l.End-l.At <= l.Expected }

type part struct {
	l     *Lookup
	index int
	sent  int
	in    bool
}

// After books what happens later; what is due at one time keeps its order.
func (w *World) After(d int64, do func()) {
	w.agenda.Book(w.Now+max(d, 1), do)
}

// Run plays all events up to a time.
func (w *World) Run(until int64) {
	for at, do, due := w.agenda.Next(until); due; at, do, due = w.agenda.Next(until) {
		w.Now = at
		do()
	}
	w.Now = until
}

// New makes a world at a start time, with all searchers warm and listed.
func New(s Setup) *World {
	w := &World{Setup: s, Now: 1_000_000_000_000 * ms, rng: rand.New(rand.NewSource(s.Seed)), Store: newStore()}
	for i := range s.Searchers {
		w.Searchers = append(w.Searchers, &Searcher{Index: i, Name: fmt.Sprintf("s%d", i), Zone: w.zone(i / s.Charter.Cells),
			Cell: i % s.Charter.Cells, Slower: 1, free: make([]int64, s.Cores)})
	}
	for i := range s.Mixers {
		n := &Node{w: w, Index: i, Name: fmt.Sprintf("m%d", i), Zone: w.zone(i)}
		w.Mixers = append(w.Mixers, n)
		n.Start()
		if i < len(s.Rates) && s.Rates[i] > 0 {
			arrive := rand.New(rand.NewSource(s.Seed*1000 + int64(i)))
			w.arrivals(n, arrive, s.Rates[i])
		}
	}
	return w
}

func (w *World) zone(i int) string { return string(rune('a' + i%max(w.Zones, 1))) }

// Start starts a mixer anew: it knows nothing but the list.
func (n *Node) Start() {
	w := n.w
	n.life++
	n.lookups, n.parts = map[string]*Lookup{}, map[string]*part{}
	c := w.Charter
	c.Zone, c.Mixers = n.Zone, w.Setup.Mixers
	var t *record.Transcript
	if w.Record != nil {
		t = w.Record(n.Index, n.life)
	}
	n.M = record.New(w.Now, c, w.Seed+int64(n.Index)*104729+int64(n.life), floor{n}, t)
	var rows []mixer.Entry
	for _, s := range w.Searchers {
		rows = append(rows, s.entry())
	}
	if n.Chooser = nil; w.Subset != nil {
		n.choose()
	}
	n.listed(rows, true)
	if w.Shared {
		n.share()
	}
}

// listed hands over the list, all of it or changes, as far as the mixer uses the searchers.
func (n *Node) listed(rows []mixer.Entry, full bool) {
	if n.Chooser != nil {
		rows = n.Chooser.Changed(n.w.Now, rows)
	}
	n.M.Listed(n.w.Now, rows, full)
}

// choose has the mixer use a subset, looked at once a second from a chance point on.
func (n *Node) choose() {
	w, life := n.w, n.life
	n.Chooser = subset.New(w.Subset(n.Name, n.Zone))
	var step func()
	step = func() {
		if n.life == life {
			var all []mixer.Usage
			n.M.Use(w.Now, n.Chooser.Used(), func(u mixer.Usage) { all = append(all, u) })
			n.M.Listed(w.Now, n.Chooser.Step(w.Now, all), false)
			w.After(1000*ms, step)
		}
	}
	w.After(1+(int64(n.Index)*7919+w.Seed*104729)*ms%(1000*ms), step)
}

func (s *Searcher) entry() mixer.Entry {
	return mixer.Entry{Searcher: s.Name, Started: s.Started, Cell: s.Cell, Zone: s.Zone, Status: s.Status}
}

// Tell has every mixer told how a searcher stands now, each late by its own chance.
func (w *World) Tell(s *Searcher) {
	e := s.entry()
	for _, n := range w.Mixers {
		w.After(1+w.rng.Int63n(max(w.ListLate, 1)), func() {
			n.listed([]mixer.Entry{e}, false)
			n.retell()
		})
	}
}

// Restart ends a searcher's process after a drain and starts a cold one in its place.
func (w *World) Restart(s *Searcher, drain int64) {
	s.Status = mixer.Draining
	w.Tell(s)
	w.After(drain, func() {
		s.process++
		s.Started, s.Status, s.Down, s.cold = w.Now, mixer.Live, false, nil
		clear(s.free)
		w.Tell(s)
	})
}

// Frac is the share of its capacity that a searcher has.
func (w *World) Frac(s *Searcher) float64 {
	if s.Started == 0 || w.Now-s.Started >= w.Charter.ColdFor {
		return 1
	}
	return w.Charter.ColdFrom + (1-w.Charter.ColdFrom)*float64(w.Now-s.Started)/float64(w.Charter.ColdFor)
}

// Bears is how many parts per ns a warm searcher bears.
func (w *World) Bears() float64 { return float64(w.Cores) / float64(w.Work) }

// arrivals has lookups come to a mixer at random, so many a second.
func (w *World) arrivals(n *Node, rng *rand.Rand, rate float64) {
	var next func()
	next = func() {
		n.take(rng)
		w.After(int64(rng.ExpFloat64()/rate*1e9), next)
	}
	w.After(int64(rng.ExpFloat64()/rate*1e9), next)
}

func (n *Node) take(rng *rand.Rand) {
	w := n.w
	slice := rng.Intn(w.Charter.Cells)
	if rng.Float64() < w.Home {
		slice = n.Index % w.Charter.Cells
	}
	n.number++
	id := fmt.Sprintf("%d.%d", n.life, n.number)
	t := &w.Charter.Tariffs[0]
	l := &Lookup{Node: n.Index, At: w.Now, Expected: t.Expected, t: t, parts: w.Parts}
	w.Lookups = append(w.Lookups, l)
	n.lookups[id] = l
	l.h = n.M.Take(w.Now, mixer.LookupRequest{ID: id, NotAfter: w.Now + t.Patience, Parts: w.Parts})
	for i := range w.Parts {
		p := mixer.PartRequest{ID: fmt.Sprintf("%s/%d", id, i), Slice: (slice + i) % w.Charter.Cells, Weight: 1 / float64(w.Parts)}
		n.parts[p.ID] = &part{l: l, index: i}
		l.h.AddPart(w.Now, p)
	}
}

// InTime gives the share of lookups taken within two times that were answered whole in their expected time.
func (w *World) InTime(from, to int64) float64 {
	all, in := 0, 0
	for _, l := range w.Lookups {
		if l.At >= from && l.At < to {
			if all++; l.InTime() {
				in++
			}
		}
	}
	if all == 0 {
		return math.NaN()
	}
	return float64(in) / float64(all)
}
