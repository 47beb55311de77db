package controller

import (
	"cmp"
	"slices"
	"time"

	"nettlefold/internal/distribute"
	"nettlefold/internal/rpc"
)

const (
	// tableEvery is how often the table of agents is told again, and tableSilence how long another's is believed.
	tableEvery   = 700 * time.Millisecond
	tableSilence = 2500 * time.Millisecond
	// tablePace is the least time between two tables: agents that come together are told together.
	tablePace = 100 * time.Millisecond
	// membersPace is the least time, for each member, between two sets of members that are shown: each set goes to everybody.
	membersPace = time.Millisecond
	// deltasKept is how many earlier sets of members a receiver may have that is told the difference only.
	deltasKept = 8
)

// remoteTable is the agents with sessions elsewhere.
type remoteTable struct {
	agents []distribute.Agent // by ID
	heard  time.Time
}

func compareIDs(a, b distribute.Agent) int { return cmp.Compare(a.ID, b.ID) }

// memberDeltas has, by the digest of a set that was shown before, what leads from it to the set that is shown now.
type memberDeltas map[uint64]*distribute.MemberDelta

// showMembers keeps the set that was shown until now, and makes the differences from those kept to the next one.
func (c *Controller) showMembers(old, next *distribute.MemberSet) memberDeltas {
	c.shown = append(c.shown, old)
	if len(c.shown) > deltasKept {
		c.shown = c.shown[1:]
	}
	deltas := memberDeltas{}
	for _, set := range c.shown {
		if delta := set.DeltaTo(next); len(delta.Added)+len(delta.Removed) < len(next.Agents) {
			deltas[set.Digest] = delta
		}
	}
	delete(deltas, next.Digest)
	return deltas
}

// tellTable tells the other controllers which agents have a session here.
func (c *Controller) tellTable() {
	c.told, c.tableDue = time.Now(), false
	self := c.replica.Self()
	table := &distribute.AgentTable{Controller: self.Addr}
	for _, s := range c.sessions {
		table.Agents = append(table.Agents, s.agent)
	}
	slices.SortFunc(table.Agents, compareIDs)
	encoded, err := rpc.EncodeOneWay(distribute.KindAgents, table)
	if err != nil {
		c.log.Error().Err(err).Str("step", "table").Msg("the table of agents cannot be encoded")
		return
	}
	view := c.replica.View()
	for _, m := range view.Members() {
		if m.ID != self.ID {
			c.pool.PostEncoded(m.Addr, encoded)
		}
	}
}

// tableChanged tells the table now, or with the next tick that may.
func (c *Controller) tableChanged() {
	c.tableDue, c.rosterChanged = true, true
	if time.Since(c.told) >= tablePace {
		c.tellTable()
	}
}

// tellDueTable is called by each tick.
func (c *Controller) tellDueTable() {
	since := time.Since(c.told)
	if c.tableDue && since >= tablePace || since > tableEvery {
		c.tellTable()
	}
}

// takeTable takes what another controller tells. A table that was told again needs no more than to be believed on.
func (c *Controller) takeTable(table *distribute.AgentTable) {
	known := c.elsewhere[table.Controller]
	if known != nil && slices.Equal(known.agents, table.Agents) {
		known.heard = time.Now()
		return
	}
	c.elsewhere[table.Controller] = &remoteTable{table.Agents, time.Now()}
	c.rosterChanged = true
	c.publish(false)
}

// expireTables forgets the tables of controllers that tell none any more.
func (c *Controller) expireTables() {
	for controller, t := range c.elsewhere {
		if time.Since(t.heard) > tableSilence {
			delete(c.elsewhere, controller)
			c.rosterChanged = true
		}
	}
}

// pacedMembers is the members to be shown now: those shown before, if nothing changed or others were shown only just. A tick looks again.
func (c *Controller) pacedMembers(old *public) *distribute.MemberSet {
	if old != nil && (!c.rosterChanged || time.Since(c.showedAt) < time.Duration(c.rosterSize())*membersPace) {
		return old.members
	}
	c.rosterChanged = false
	members := c.members()
	if old != nil && old.members.Digest == members.Digest {
		return old.members
	}
	c.showedAt = time.Now()
	return members
}

// rosterSize is how many agents are known, those twice that have just moved from one controller to another.
func (c *Controller) rosterSize() int {
	size := len(c.sessions)
	for _, t := range c.elsewhere {
		size += len(t.agents)
	}
	return size
}

// members is the agents with a session anywhere, each machine's newest life once.
func (c *Controller) members() *distribute.MemberSet {
	byAddr := make(map[string]distribute.Agent, c.rosterSize())
	for _, t := range c.elsewhere {
		for _, a := range t.agents {
			if known, ok := byAddr[a.Addr]; !ok || known.ID < a.ID {
				byAddr[a.Addr] = a
			}
		}
	}
	for _, s := range c.sessions {
		byAddr[s.agent.Addr] = s.agent
	}
	agents := make([]distribute.Agent, 0, len(byAddr))
	for _, a := range byAddr {
		agents = append(agents, a)
	}
	return distribute.NewMemberSet(agents)
}
