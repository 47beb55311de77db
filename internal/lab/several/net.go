package several

import (
	"path"
	"strings"
	"sync"
	"time"
)

// Fault is what a wire does to what goes over it in one direction.
type Fault struct {
	Cut     bool          // nothing comes over, and nothing is said; connections stay open, new ones never come up
	Delay   time.Duration // that all takes
	Lose    float64       // share of packets that are lost; of a stream's bytes that come late by resendAfter
	Repeat  float64       // share of packets that come twice
	Reorder float64       // share of packets that come after the next
	Again   bool          // a stream's bytes come twice. No network does that: it is there to be found
}

// resendAfter is how late bytes of a stream come that were lost once.
const resendAfter = 300 * time.Millisecond

// settled is how long after a trouble's end what was under way in it may still come.
const settled = 3 * time.Second

// rule is a fault in force from parties to parties, told by patterns.
type rule struct {
	from, to string
	fault    Fault
}

// trouble is a time in which parties did not hear of each other as they should; without a second, in which one did not run.
type trouble struct {
	a, b       string
	begin, end time.Time // end zero: it lasts
}

// network holds the faults between parties, the wires that obey them, and when there were which.
type network struct {
	mu       sync.Mutex
	rules    []rule
	changed  chan struct{} // closed with the next change
	troubles []trouble
	wires    map[[2]string]*wire // by from and to, with the kind after to
	down     map[string]bool     // parties that do not run
	refused  map[string]bool     // clients' ends of connections that the party behind never took
	applying sync.Mutex          // held while listeners follow a change
}

func newNetwork() *network {
	return &network{changed: make(chan struct{}), wires: map[[2]string]*wire{}, down: map[string]bool{}, refused: map[string]bool{}}
}

// matches tells whether a pattern names a party. A site alone names all in it; * all there are; what is after ! all others.
func matches(pattern, party string) bool {
	if others, ok := strings.CutPrefix(pattern, "!"); ok {
		return !matches(others, party)
	}
	site, _, _ := strings.Cut(party, "-")
	ok, _ := path.Match(pattern, party)
	return ok || pattern == site
}

// fault gives what is in force from one party to another, and a channel that is closed when that may have changed.
func (n *network) fault(from, to string) (all Fault, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.rules {
		if matches(r.from, from) && matches(r.to, to) {
			all.Cut, all.Again = all.Cut || r.fault.Cut, all.Again || r.fault.Again
			all.Delay = max(all.Delay, r.fault.Delay)
			all.Lose, all.Repeat = max(all.Lose, r.fault.Lose), max(all.Repeat, r.fault.Repeat)
			all.Reorder = max(all.Reorder, r.fault.Reorder)
		}
	}
	return all, n.changed
}

// set puts a fault in force in one direction, in place of the one that the same patterns had; none ends it.
func (n *network) set(from, to string, f Fault) {
	n.change(func() {
		kept := n.rules[:0]
		for _, r := range n.rules {
			if r.from != from || r.to != to {
				kept = append(kept, r)
			}
		}
		n.rules = kept
		n.ended(from, to)
		if f != (Fault{}) {
			n.rules = append(n.rules, rule{from, to, f})
			n.troubles = append(n.troubles, trouble{a: from, b: to, begin: time.Now()})
		}
	})
}

// heal ends all faults.
func (n *network) heal() {
	n.change(func() {
		for _, r := range n.rules {
			n.ended(r.from, r.to)
		}
		n.rules = nil
	})
}

// runs notes whether a party runs: connections to one that does not are refused.
func (n *network) runs(party string, yes bool) {
	n.change(func() { n.down[party] = !yes })
}

// trouble notes that a party has begun or ceased to be in trouble by itself.
func (n *network) trouble(party string, yes bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ended(party, "")
	if yes {
		n.troubles = append(n.troubles, trouble{a: party, begin: time.Now()})
	}
}

// ended ends the troubles of some patterns. The lock is held.
func (n *network) ended(a, b string) {
	for i := range n.troubles {
		if t := &n.troubles[i]; t.a == a && t.b == b && t.end.IsZero() {
			t.end = time.Now()
		}
	}
}

// reset ends all connections between parties, as a machine between them does that has lost its state.
func (n *network) reset(a, b string) {
	n.mu.Lock()
	now := time.Now()
	n.troubles = append(n.troubles, trouble{a, b, now, now})
	var all []*wire
	for _, w := range n.wires {
		if matches(a, w.from) && matches(b, w.to) || matches(b, w.from) && matches(a, w.to) {
			all = append(all, w)
		}
	}
	n.mu.Unlock()
	for _, w := range all {
		w.reset()
	}
}

// troubled tells whether two parties may not have heard of each other rightly at some moment of a span.
func (n *network) troubled(x, y string, begin, end time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, t := range n.troubles {
		if t.begin.After(end) || !t.end.IsZero() && t.end.Add(settled).Before(begin) {
			continue
		}
		if t.b == "" && (matches(t.a, x) || matches(t.a, y)) || t.b != "" &&
			(matches(t.a, x) && matches(t.b, y) || matches(t.a, y) && matches(t.b, x)) {
			return true
		}
	}
	return false
}

// change changes what is in force and has the wires follow, before it returns.
func (n *network) change(do func()) {
	n.applying.Lock()
	defer n.applying.Unlock()
	n.mu.Lock()
	do()
	close(n.changed)
	n.changed = make(chan struct{})
	all := make([]*wire, 0, len(n.wires))
	for _, w := range n.wires {
		all = append(all, w)
	}
	n.mu.Unlock()
	var wg sync.WaitGroup
	for _, w := range all {
		wg.Go(w.follow)
	}
	wg.Wait()
}

// close ends all wires.
func (n *network) close() {
	n.applying.Lock()
	defer n.applying.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range n.wires {
		w.close()
	}
}
