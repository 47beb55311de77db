package tally

import (
	"fmt"
	"strings"
	"time"
)

// check gives the rule that is broken, if one is.
func (c *core) check() error {
	if c.broken != nil {
		return c.broken
	}
	if err := c.checkLasting(); err != nil && c.fault != dotUsedAgain {
		return err
	}
	if err := c.checkDots(); err != nil && c.fault != mergedBySum {
		return err
	}
	for _, n := range c.nodes {
		if err := c.checkReads(n); err != nil {
			return err
		}
	}
	return nil
}

// checkLasting: what was acknowledged is on a disk, unless it was on too few when its machine lost its own.
func (c *core) checkLasting() error {
	for _, a := range c.acked {
		if c.disksWith(a.add) == 0 && !(a.excuse && a.disks <= c.copies) {
			return fmt.Errorf("%v was acknowledged by m%d on %d disks and is lost", a.add, a.by, a.disks)
		}
	}
	return nil
}

// checkDots: no two machines know different adds under one dot.
func (c *core) checkDots() error {
	seen := map[Dot]Add{}
	for _, n := range c.nodes {
		for origin, adds := range n.replica.set.all() {
			for i, add := range adds {
				dot := Dot{origin, uint64(i + 1)}
				if other, there := seen[dot]; there && other != add {
					return fmt.Errorf("%v names %v and %v", dot, other, add)
				}
				seen[dot] = add
			}
		}
	}
	return nil
}

// checkReads: a read shows no more than what was sent, all that the machine acknowledged in this life and, once its disk was lost, what had
// been acknowledged on enough disks before.
func (c *core) checkReads(n *node) error {
	r := n.replica
	if !r.ready {
		return nil
	}
	for tally, total := range r.set.byName() {
		if most := c.mostOf(tally); total > most {
			return fmt.Errorf("%s reads %d of %s, at most %d were added", n.addr, total, tally, most)
		}
	}
	for _, add := range c.issued {
		if (n.acked[add.ID] || n.wiped[add.ID] && !c.cuts) && !r.counts(add.ID) {
			return fmt.Errorf("%s reads without %v", n.addr, add)
		}
	}
	return nil
}

// counts tells whether an id is part of the totals.
func (r *Replica) counts(id string) bool {
	_, _, there := r.set.Counted(id)
	return there
}

// mostOf is what a tally can come to: each id once, with the most that a call named for it.
func (c *core) mostOf(tally string) (most int64) {
	byID := map[string]int64{}
	for _, add := range c.issued {
		if add.Tally == tally {
			byID[add.ID] = max(byID[add.ID], add.By)
		}
	}
	for _, by := range byID {
		most += by
	}
	return most
}

// heal lets all go well for so many units, and gives the rule that is broken then: all machines answer alike, with all that is owed.
func (c *core) heal(units int) error {
	c.cut = map[[2]int]bool{}
	defer func() { c.cuts = false }()
	for range units {
		c.tick()
		for range 6 {
			c.settleDown()
		}
		if err := c.check(); err != nil {
			return err
		}
	}
	owed := map[string]bool{}
	for _, a := range c.acked {
		if !a.excuse || a.disks > c.copies {
			owed[a.add.ID] = true
		}
	}
	for _, n := range c.nodes {
		if !n.replica.ready {
			return fmt.Errorf("%s does not answer reads: %s", n.addr, n.replica.unready(c.now))
		}
		for id := range owed {
			if !n.replica.counts(id) {
				return fmt.Errorf("%s lacks %s after all healed", n.addr, id)
			}
		}
		if a, b := fmt.Sprint(n.replica.set.byName()), fmt.Sprint(c.nodes[0].replica.set.byName()); a != b {
			return fmt.Errorf("%s reads %s, m0 %s", n.addr, a, b)
		}
	}
	return nil
}

// settleDown ends all writes and delivers all messages that are on their way.
func (c *core) settleDown() {
	for i := range c.nodes {
		if len(c.nodes[i].disk.pending) > 0 {
			c.synced(i)
		}
		for j := range c.nodes {
			waiting := c.links[[2]int{i, j}]
			c.links[[2]int{i, j}] = nil
			for _, m := range waiting {
				c.receive(j, m)
			}
		}
	}
}

// fingerprint tells cores apart; times are told by how long ago they were.
func (c *core) fingerprint() string {
	var b strings.Builder
	fmt.Fprint(&b, c.left, c.acked, c.issued, c.origins)
	for i, n := range c.nodes {
		r := n.replica
		fmt.Fprint(&b, "|", n.life, c.now-n.started, n.acked, n.wiped, n.disk.lasting, len(n.disk.pending))
		fmt.Fprint(&b, r.set.all(), r.origin, r.fresh, r.queue, r.staged, r.reserved, r.ready, r.complete, r.failed, max(0, r.slow-c.now), c.now-r.stepped, max(0, r.blind-c.now))
		for _, dot := range r.waitingDots() {
			fmt.Fprint(&b, dot)
			for _, w := range r.waiting[dot] {
				fmt.Fprint(&b, w.token, c.now-w.since)
			}
		}
		for _, p := range r.sortedPeers() {
			fmt.Fprint(&b, p.addr, p.life, p.heard == never, c.now-p.heard, c.now-p.roundTrip, p.first, p.ready, p.failed, p.owed, max(0, p.next-c.now), p.gossips%namePeers)
			for _, origin := range r.set.sorted() {
				if l := p.links[origin]; l != nil {
					fmt.Fprint(&b, origin, l.known, l.sent, c.now-l.moved, l.lacking == never, c.now-l.lacking, l.relaying)
				}
			}
		}
		for j := range c.nodes {
			for _, m := range c.links[[2]int{i, j}] {
				fmt.Fprint(&b, m.Life, m.Held, m.Whole, m.Runs, m.Ready, c.now-time.Duration(m.Sent%int64(time.Hour)), m.Echo)
			}
		}
	}
	return b.String()
}

// all gives the adds of each origin.
func (s *Set) all() map[Origin][]Add {
	all := map[Origin][]Add{}
	for _, origin := range s.sorted() {
		all[origin] = s.slice(origin, 0, s.size).Adds
	}
	return all
}

// byName gives the totals by the tallies' names.
func (s *Set) byName() map[string]int64 {
	totals := map[string]int64{}
	for index, total := range s.totals {
		totals[s.names.list[index]] = total
	}
	return totals
}
