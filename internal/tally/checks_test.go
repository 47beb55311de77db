package tally

import (
	"fmt"
	"strings"
	"time"
)

// check gives the rule that is broken, if one is.
func (c *cluster) check() error {
	if c.violation != nil {
		return c.violation
	}
	if err := c.checkDurability(); err != nil && c.fault != reuseDots {
		return err
	}
	if err := c.checkDotsUnique(); err != nil && c.fault != countPerOrigin {
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
func (c *cluster) checkDurability() error {
	for _, a := range c.acked {
		if c.countDisksWith(a.add) == 0 && !(a.diskLost && a.disks <= c.remoteCopies) {
			return fmt.Errorf("%v was acknowledged by m%d on %d disks and is lost", a.add, a.node, a.disks)
		}
	}
	return nil
}

// checkDots: no two machines know different adds under one dot.
func (c *cluster) checkDotsUnique() error {
	seen := map[Dot]Add{}
	for _, n := range c.nodes {
		for origin, adds := range n.replica.set.allAdds() {
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
func (c *cluster) checkReads(n *node) error {
	r := n.replica
	if !r.ready {
		return nil
	}
	for tally, total := range r.set.totalsByName() {
		if most := c.maxTotal(tally); total > most {
			return fmt.Errorf("%s reads %d of %s, at most %d were added", n.addr, total, tally, most)
		}
	}
	for _, add := range c.issued {
		if (n.acked[add.ID] || n.ackedBeforeDiskLoss[add.ID] && !c.disrupted) && !r.countsID(add.ID) {
			return fmt.Errorf("%s reads without %v", n.addr, add)
		}
	}
	return nil
}

// counts tells whether an id is part of the totals.
func (r *Replica) countsID(id string) bool {
	_, _, there := r.set.Lookup(id)
	return there
}

// mostOf is what a tally can come to: each id once, with the most that a call named for it.
func (c *cluster) maxTotal(tally string) (most int64) {
	byID := map[string]int64{}
	for _, add := range c.issued {
		if add.Tally == tally {
			byID[add.ID] = max(byID[add.ID], add.Amount)
		}
	}
	for _, by := range byID {
		most += by
	}
	return most
}

// heal lets all go well for so many units, and gives the rule that is broken then: all machines answer alike, with all that is owed.
func (c *cluster) heal(units int) error {
	c.cutLinks = map[[2]int]bool{}
	defer func() { c.disrupted = false }()
	for range units {
		c.tick()
		for range 6 {
			c.settle()
		}
		if err := c.check(); err != nil {
			return err
		}
	}
	owed := map[string]bool{}
	for _, a := range c.acked {
		if !a.diskLost || a.disks > c.remoteCopies {
			owed[a.add.ID] = true
		}
	}
	for _, n := range c.nodes {
		if !n.replica.ready {
			return fmt.Errorf("%s does not answer reads: %s", n.addr, n.replica.notReadyReason(c.now))
		}
		for id := range owed {
			if !n.replica.countsID(id) {
				return fmt.Errorf("%s lacks %s after all healed", n.addr, id)
			}
		}
		if a, b := fmt.Sprint(n.replica.set.totalsByName()), fmt.Sprint(c.nodes[0].replica.set.totalsByName()); a != b {
			return fmt.Errorf("%s reads %s, m0 %s", n.addr, a, b)
		}
	}
	return nil
}

// settleDown ends all writes and delivers all messages that are on their way.
func (c *cluster) settle() {
	for i := range c.nodes {
		if len(c.nodes[i].disk.pending) > 0 {
			c.completeSync(i)
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
func (c *cluster) fingerprint() string {
	var b strings.Builder
	fmt.Fprint(&b, c.remaining, c.acked, c.issued, c.lastOrigin)
	for i, n := range c.nodes {
		r := n.replica
		fmt.Fprint(&b, "|", n.incarnation, c.now-n.startedAt, n.acked, n.ackedBeforeDiskLoss, n.disk.synced, len(n.disk.pending))
		fmt.Fprint(&b, r.set.allAdds(), r.origin, r.originUnsaved, r.queue, r.staged, r.reservedSequences, r.ready, r.complete, r.diskFailed, max(0, r.slowUntil-c.now), c.now-r.lastStep, max(0, r.ignoreSilenceUntil-c.now))
		for _, dot := range r.waitingDots() {
			fmt.Fprint(&b, dot)
			for _, w := range r.waiters[dot] {
				fmt.Fprint(&b, w.token, c.now-w.since)
			}
		}
		for _, p := range r.sortedPeers() {
			fmt.Fprint(&b, p.addr, p.incarnation, p.lastHeard == never, c.now-p.lastHeard, c.now-p.lastEchoedSend, p.initialVector, p.ready, p.diskFailed, p.acksPending, max(0, p.nextGossip-c.now), p.gossipCount%gossipsPerPeerList)
			for _, origin := range r.set.sortedOrigins() {
				if l := p.progress[origin]; l != nil {
					fmt.Fprint(&b, origin, l.durable, l.sent, c.now-l.lastProgress, l.laggingSince == never, c.now-l.laggingSince, l.relaying)
				}
			}
		}
		for j := range c.nodes {
			for _, m := range c.links[[2]int{i, j}] {
				fmt.Fprint(&b, m.Incarnation, m.Durable, m.FullVector, m.Runs, m.Ready, c.now-time.Duration(m.SentAt%int64(time.Hour)), m.Echo)
			}
		}
	}
	return b.String()
}

// all gives the adds of each origin.
func (s *Set) allAdds() map[Origin][]Add {
	all := map[Origin][]Add{}
	for _, origin := range s.sortedOrigins() {
		all[origin] = s.runAfter(origin, 0, s.count).Adds
	}
	return all
}

// byName gives the totals by the tallies' names.
func (s *Set) totalsByName() map[string]int64 {
	totals := map[string]int64{}
	for index, total := range s.totals {
		totals[s.tallyNames.values[index]] = total
	}
	return totals
}
