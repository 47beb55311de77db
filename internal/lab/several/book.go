package several

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"nettlefold/example/toy"
)

// Book is what clients and searchers have seen. Verdicts come from it alone: no mixer is asked how it did.
type Book struct {
	w *World

	mu      sync.Mutex
	lookups map[string]*asked
	parts   map[string][]*arrival // by part id, in the order of their coming
	broken  map[string]*Broken
	counts  Counts
	served  map[string]int // whole answers by clients' site
}

// Counts are how lookups ended, as clients have it.
type Counts struct {
	Asked, Whole, Part, Refused, Failed int
	Excused                             int // without an answer: not taken, or a fault lay between client and mixer
	Parts                               int // that came to searchers
}

// Broken is a rule that was broken: how often, and the first cases.
type Broken struct {
	Count int
	First []string
}

// Verdict is what a play came to.
type Verdict struct {
	Counts Counts
	Rules  map[string]*Broken // those that were broken
}

// asked is a lookup as a client asked it.
type asked struct {
	tariff string
	text   string
	slices []int
	half   float64 // what the any-n class is complete from, 0: the least of any version

	status, has int // of its answer: parts
}

// arrival is one part as it came to a searcher.
type arrival struct {
	searcher, from string
	conn           *toy.Conn
	at, answered   time.Time
	until          time.Time // the mixer waits no longer
	within         time.Duration
	runs, given    bool // it was not turned away; it was given up, with its connection or alone
}

func newBook(w *World) *Book {
	return &Book{w: w, lookups: map[string]*asked{}, parts: map[string][]*arrival{}, broken: map[string]*Broken{},
		served: map[string]int{}}
}

// Break notes that a rule was broken.
func (b *Book) Break(rule, format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.breaks(rule, format, args...)
}

func (b *Book) breaks(rule, format string, args ...any) {
	r := b.broken[rule]
	if r == nil {
		r = &Broken{}
		b.broken[rule] = r
	}
	if r.Count++; len(r.First) < 5 {
		r.First = append(r.First, fmt.Sprintf(format, args...))
	}
}

// asks notes a lookup before it is sent.
func (b *Book) asks(id string, l *asked) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lookups[id] = l
	b.counts.Asked++
}

// arrived notes a part that has come to a searcher, and checks what can be checked by it alone.
func (b *Book) arrived(s *Searcher, from string, p toy.Part, runs bool, drains time.Time) *arrival {
	now := time.Now()
	a := &arrival{searcher: s.Name, from: from, conn: p.Conn, at: now, until: now.Add(p.Within), within: p.Within, runs: runs}
	late := !drains.IsZero() && b.w.knows(from, s.Name, drains, now)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Parts++
	id, slice, _ := strings.Cut(p.ID, ".")
	l := b.lookups[id]
	if l == nil || l.text != p.Text || slice != strconv.Itoa(p.Slice) || !slices.Contains(l.slices, p.Slice) {
		b.breaks("a searcher gets what a client asked", "%s got %s of slice %d from %s", s.Name, p.ID, p.Slice, from)
	}
	if p.Slice%cells != s.Cell {
		b.breaks("a part goes to a holder of its slice", "%s got %s from %s", s.Name, p.ID, from)
	}
	if late {
		b.breaks("nothing new goes to a draining searcher", "%s got %s from %s, %v after the list said so", s.Name, p.ID, from,
			now.Sub(drains).Round(time.Millisecond))
	}
	for _, o := range b.parts[p.ID] {
		if o.conn == p.Conn && o.answered.IsZero() && !o.given {
			b.breaks("a part is not sent twice at once", "%s got %s again on one connection from %s", s.Name, p.ID, from)
		}
	}
	b.parts[p.ID] = append(b.parts[p.ID], a)
	return a
}

// done notes that a part is answered; false: it was given up, or its searcher's connection has ended.
func (b *Book) done(a *arrival) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.given {
		return false
	}
	a.answered = time.Now()
	return true
}

// gave notes that a mixer has given up a part, or with no id all on a connection.
func (b *Book) gave(c *toy.Conn, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if id != "" {
		for _, a := range b.parts[id] {
			a.given = a.given || a.conn == c
		}
		return
	}
	for _, all := range b.parts {
		for _, a := range all {
			// The end may come here after an answer that crossed it. Long after one it tells nothing of the part.
			a.given = a.given || a.conn == c && (a.answered.IsZero() || time.Since(a.answered) < settled)
		}
	}
}

// reached tells whether a lookup was taken by a mixer, as searchers saw.
func (b *Book) reached(id, mixer string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, slice := range b.lookups[id].slices {
		for _, a := range b.parts[id+"."+strconv.Itoa(slice)] {
			if a.from == mixer {
				return true
			}
		}
	}
	return false
}

// ended notes how a lookup ended.
func (b *Book) ended(count func(*Counts)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	count(&b.counts)
}

// counted gives the counts as they are.
func (b *Book) counted() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts
}

// twice tells whether a mixer sent a part while an earlier copy of its own was out, of two as they came. Which was sent first is
// told by how long the mixer still waits, since they may overtake each other. One that was given up is out no more, though its
// withdrawal may come after the next copy; while a fault lies between, when that ends, or never.
func (b *Book) twice(first, next *arrival) bool {
	if first.within < next.within {
		first, next = next, first
	}
	unsure := first.within == next.within && next.given
	out := first.runs && !first.given && next.at.Before(first.until) && (first.answered.IsZero() || next.at.Before(first.answered))
	return out && !unsure && first.from == next.from && !b.w.net.troubled(first.from, first.searcher, first.at, next.at) &&
		!b.w.net.troubled(next.from, next.searcher, next.at, next.at)
}

// whole gives how many lookups were answered whole, by clients' site.
func (b *Book) whole() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.served)
}

// Verdict checks what only the whole can show, and gives what it came to.
func (b *Book) Verdict() Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, all := range b.parts {
		l := b.lookups[id[:strings.IndexByte(id, '.')]]
		ran := 0
		for i, a := range all {
			if a.runs {
				ran++
			}
			for _, o := range all[:i] {
				if b.twice(o, a) {
					b.breaks("a part is not sent twice at once", "%s was out at %s when %s sent it to %s too", id, o.searcher, a.from, a.searcher)
				}
			}
		}
		if l != nil && l.tariff == onceOnly && ran > 1 {
			b.breaks("a once-only part runs at most once", "%s ran %d times, first at %s, then at %s", id, ran,
				all[0].searcher, all[1].searcher)
		}
	}
	return Verdict{b.counts, b.broken}
}

// Print writes the verdict in a few lines, rules in the order of their names.
func (v Verdict) Print(w io.Writer) {
	c := v.Counts
	fmt.Fprintf(w, "%d lookups: %d whole, %d in part, %d refused, %d failed, %d untaken or cut off; %d parts at searchers\n",
		c.Asked, c.Whole, c.Part, c.Refused, c.Failed, c.Excused, c.Parts)
	names := make([]string, 0, len(v.Rules))
	for name := range v.Rules {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(w, "BROKEN %d times: %s\n", v.Rules[name].Count, name)
		for _, first := range v.Rules[name].First {
			fmt.Fprintln(w, "  ", first)
		}
	}
	if len(names) == 0 {
		fmt.Fprintln(w, "no rule broken")
	}
}
