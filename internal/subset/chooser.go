// Package subset decides which of the searchers a mixer uses, where a slice has many holders and the mixer little traffic for them.
// The module is told of these alone and chooses among them as ever. There is no I/O, clock or goroutine here: times are those of
// the caller's clock, in ns. docs/subset.md says why it is so, with figures.
package subset

import (
	"math"
	"slices"

	"nettlefold/mixer"
)

// Options are what the choice is made by. Times are ns.
type Options struct {
	Name     string // of the mixer: a new process of the same name has the same order of searchers
	Zone     string // of the mixer
	OwnFirst bool   // half of a subset is of the mixer's own zone, as far as that has so many
	Cells    int

	Least, Most int     // sound warm searchers of a cell that are used at the least, and at the most but for those in others' stead
	Mixers      int     // how many there are
	Users       int     // mixers by which one searcher is used in the mean, at the least: with few, chance has some used far more than others
	Meetings    float64 // how often each is to be met, in the mean, while the module remembers how long it takes
	Memory      int64   // half-life of that memory
	Linger      int64   // nothing is out any more so long after a searcher is sent nothing new: the longest deadline
	Hold        int64   // one that is needed no more is kept so long
	ColdFor     int64   // a process is cold for so long after its start
	ColdShare   float64 // of all mixers, those that may use one cold searcher: 1 for all, see Bounds
}

// Chooser is one mixer's choice. It isn't safe for concurrent use.
type Chooser struct {
	o       Options
	members map[string]*member
	cells   []cell
	latest  uint64          // seat from which on a cold searcher is not used
	silent  map[string]bool // zones of which nothing answers
}

// cell is what is held of one cell.
type cell struct {
	members []*member // in this mixer's order
	size    int       // sound warm ones that are to be in use
	rate    float64   // parts per ns lately sent there
	whole   bool      // all are used
	stale   bool      // the order is to be made anew
	touched bool      // by the message at hand
}

// told is what the module knows of a searcher.
type told int

const (
	nothing told = iota // it is not listed
	listed              // as the list says
	leaving             // as draining, since it has left the subset
)

// member is one searcher of the list.
type member struct {
	mixer.Entry
	seat   uint64
	key    float64
	told   told
	wanted bool  // among those that are to be used
	ill    bool  // suspect
	row    bool  // the message at hand has a row of it
	news   bool  // the module is to be told
	since  int64 // when it was needed no more, or began to leave; 0: it is needed
}

// New makes a chooser that knows of no searcher.
func New(o Options) *Chooser {
	c := &Chooser{o: o, members: map[string]*member{}, cells: make([]cell, o.Cells), latest: math.MaxUint64}
	if o.ColdShare < 1 {
		c.latest = uint64(o.ColdShare * (1 << 63) * 2)
	}
	for i := range c.cells {
		c.cells[i].size = o.Least
	}
	return c
}

// Changed takes changes of the list and gives the rows that the module is to be told of. Where all holders of a cell are used, they
// are the list's, in its order; what follows for other searchers comes after.
func (c *Chooser) Changed(now int64, rows []mixer.Entry) (out []mixer.Entry) {
	var touched []*cell
	gone := map[string]*member{}
	for _, e := range rows {
		m := c.members[e.Searcher]
		if m == nil {
			if e.Status == mixer.Dead || e.Cell < 0 || e.Cell >= len(c.cells) {
				continue
			}
			m = &member{Entry: e, seat: seat(c.o.Name, e.Searcher)}
			c.members[e.Searcher] = m
			c.cells[e.Cell].members = append(c.cells[e.Cell].members, m)
			c.cells[e.Cell].stale = true
		}
		at := &c.cells[m.Cell]
		if !at.touched {
			at.touched, touched = true, append(touched, at)
		}
		at.stale = at.stale || e.Zone != m.Zone
		m.ill = m.ill && e.Started == m.Started
		e.Cell = m.Cell // as the module has it
		m.Entry, m.row = e, true
		if delete(gone, e.Searcher); e.Status == mixer.Dead {
			gone[e.Searcher] = m
		}
	}
	for _, m := range gone {
		c.drop(m)
	}
	for _, at := range touched {
		c.choose(now, at)
	}
	for _, e := range rows {
		m := c.members[e.Searcher]
		if m == nil {
			m = gone[e.Searcher]
		}
		if m == nil || !m.row {
			continue
		}
		if c.cells[m.Cell].whole && m.told == nothing && m.Status != mixer.Live {
			m.told = listed // where all are used, one that drains is told of too
		}
		if m.row, m.news = false, false; m.told != nothing {
			out = append(out, m.say())
		}
	}
	for _, at := range touched {
		at.touched, out = false, at.rest(out)
	}
	return out
}

// drop forgets one that the list has no more.
func (c *Chooser) drop(m *member) {
	delete(c.members, m.Searcher)
	at := &c.cells[m.Cell]
	kept := at.members[:0]
	for _, o := range at.members {
		if o != m {
			kept = append(kept, o)
		}
	}
	clear(at.members[len(kept):])
	at.members, at.stale = kept, true
}

// say gives the row that tells the module of a member.
func (m *member) say() mixer.Entry {
	e := m.Entry
	if m.told == leaving && e.Status == mixer.Live {
		e.Status = mixer.Draining
	}
	return e
}

// rest adds the rows of those that the module is still to be told of, in order.
func (at *cell) rest(out []mixer.Entry) []mixer.Entry {
	for _, m := range at.members {
		if m.news {
			m.news = false
			out = append(out, m.say())
		}
	}
	return out
}

// cold tells whether the process of a member is.
func (c *Chooser) cold(now int64, m *member) bool {
	return m.Started > 0 && now-m.Started < c.o.ColdFor
}

// usable tells whether a member may be used at all.
func (c *Chooser) usable(now int64, m *member) bool {
	return m.Status == mixer.Live && (m.seat <= c.latest || !c.cold(now, m))
}

// choose has the first of the order used, until enough of them are sound and warm. One that isn't keeps its place: a suspect is tested
// and a cold one warms up. Of a silent zone nobody is added, unless all zones are silent.
func (c *Chooser) choose(now int64, at *cell) {
	if at.stale {
		c.order(at)
		at.stale = false
	}
	size := max(at.size, c.o.evenly(len(at.members)))
	at.whole = len(at.members) <= 2*size
	sound, pass := 0, c.passes(now, at)
	for _, m := range at.members {
		usable := c.usable(now, m)
		m.wanted = usable && (at.whole || sound < size && (m.told == listed || !pass || !c.silent[m.Zone]))
		if m.wanted && !m.ill && !c.silent[m.Zone] && !c.cold(now, m) {
			sound++
		}
		switch {
		case m.wanted && m.told != listed:
			m.told, m.since, m.news = listed, 0, true
		case m.wanted || m.told == nothing:
			m.since = 0
		case m.told == listed && m.Status == mixer.Live && !usable: // its place is others' while it is cold
			m.told, m.since, m.news = leaving, now, true
		case m.told == listed && m.since == 0:
			m.since = now
		}
	}
}

// passes tells whether silent zones are passed over: there are some, and others have somebody to use.
func (c *Chooser) passes(now int64, at *cell) bool {
	return len(c.silent) > 0 && slices.ContainsFunc(at.members, func(m *member) bool { return !c.silent[m.Zone] && c.usable(now, m) })
}

// Used gives the names of those that the module may send to, in the order of the cells.
func (c *Chooser) Used() (names []string) {
	for i := range c.cells {
		for _, m := range c.cells[i].members {
			if m.told == listed && m.Status == mixer.Live {
				names = append(names, m.Searcher)
			}
		}
	}
	return names
}

// Step takes what the module knows of the searchers, once a second or so, and gives the rows that it is to be told of. It adds at
// once what is needed; of each cell at most one leaves at a step, and only what was not needed for as long as Hold says. Who leaves
// is told of as draining, so that what is out there goes on, and as gone when nothing of it can be out.
func (c *Chooser) Step(now int64, all []mixer.Usage) (out []mixer.Entry) {
	if c.Settled() {
		return nil
	}
	c.silent = nil
	for i := range c.cells {
		c.cells[i].rate = 0
	}
	for _, o := range all {
		m := c.members[o.Searcher]
		if m == nil {
			continue
		}
		c.cells[m.Cell].rate += o.SentRate
		if m.Started == o.Started {
			m.ill = o.Suspect
		}
		if o.ZoneSilent {
			if c.silent == nil {
				c.silent = map[string]bool{}
			}
			c.silent[m.Zone] = true
		}
	}
	for i := range c.cells {
		at := &c.cells[i]
		at.size = c.o.size(at.size, at.rate)
		c.choose(now, at)
		var last *member
		for _, m := range at.members {
			switch {
			case m.told == leaving && now-m.since >= c.o.Linger:
				e := m.Entry
				e.Status = mixer.Dead
				m.told, m.since, m.news, m.ill = nothing, 0, false, false
				out = append(out, e)
			case m.told == listed && m.since > 0 && m.Status == mixer.Live && now-m.since >= c.o.Hold:
				last = m
			}
		}
		if last != nil {
			last.told, last.since, last.news = leaving, now, true
		}
		out = at.rest(out)
	}
	return out
}

// size follows what is lately sent to a cell: so many searchers that each is met often enough while it is remembered how long it
// takes, within the bounds. It grows at once when a quarter is missing, and shrinks by one when a third is too many.
func (o *Options) size(now int, rate float64) int {
	want := max(o.Least, min(o.Most, int(math.Ceil(rate*float64(o.Memory)/math.Ln2/o.Meetings))))
	switch {
	case 4*want >= 5*now || want == o.Most:
		return max(now, want)
	case 3*now > 4*want:
		return now - 1
	}
	return now
}

// evenly gives how many of so many holders are to be used, that each is used by mixers enough.
func (o *Options) evenly(holders int) int {
	return int(math.Ceil(float64(holders) * min(1, float64(o.Users)/float64(max(o.Mixers, 1)))))
}

// Settled tells whether all searchers are used, whatever the traffic: then no step does anything.
func (c *Chooser) Settled() bool {
	if c.o.ColdShare < 1 {
		return false // a cold one may have to come in when it is warm
	}
	if 2*c.o.Users >= c.o.Mixers && c.o.Users > 0 {
		return true
	}
	for i := range c.cells {
		if at := &c.cells[i]; len(at.members) > 2*c.o.Least || at.size != c.o.Least {
			return false
		}
	}
	return true
}
