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
	tableInterval = 700 * time.Millisecond
	tableTimeout  = 2500 * time.Millisecond
	// tablePace is the least time between two tables: agents that come together are told together.
	minTableInterval = 100 * time.Millisecond
	// membersPace is the least time, for each member, between two sets of members that are shown: each set goes to everybody.
	publishIntervalPerMember = time.Millisecond
	// deltasKept is how many earlier sets of members a receiver may have that is told the difference only.
	maxPreviousMemberSets = 8
)

// remoteTable is the agents with sessions elsewhere.
type remoteTable struct {
	agents         []distribute.Agent // by ID
	lastReceivedAt time.Time
}

func compareAgentIDs(a, b distribute.Agent) int { return cmp.Compare(a.ID, b.ID) }

// memberDeltas has, by the digest of a set that was shown before, what leads from it to the set that is shown now.
type memberDeltas map[uint64]*distribute.MemberDelta

// showMembers keeps the set that was shown until now, and makes the differences from those kept to the next one.
func (c *Controller) memberDeltasTo(old, next *distribute.MemberSet) memberDeltas {
	c.previousMemberSets = append(c.previousMemberSets, old)
	if len(c.previousMemberSets) > maxPreviousMemberSets {
		c.previousMemberSets = c.previousMemberSets[1:]
	}
	deltas := memberDeltas{}
	for _, set := range c.previousMemberSets {
		if delta := set.DeltaTo(next); len(delta.Added)+len(delta.Removed) < len(next.Agents) {
			deltas[set.Digest] = delta
		}
	}
	delete(deltas, next.Digest)
	return deltas
}

// tellTable tells the other controllers which agents have a session here.
func (c *Controller) sendTable() {
	c.tableSentAt, c.tablePending = time.Now(), false
	self := c.replica.Self()
	table := &distribute.AgentTable{Controller: self.Addr}
	for _, s := range c.sessions {
		table.Agents = append(table.Agents, s.agent)
	}
	slices.SortFunc(table.Agents, compareAgentIDs)
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
func (c *Controller) scheduleTable() {
	c.tablePending, c.membersChanged = true, true
	if time.Since(c.tableSentAt) >= minTableInterval {
		c.sendTable()
	}
}

// tellDueTable is called by each tick.
func (c *Controller) sendTableIfDue() {
	since := time.Since(c.tableSentAt)
	if c.tablePending && since >= minTableInterval || since > tableInterval {
		c.sendTable()
	}
}

// takeTable takes what another controller tells. A table that was told again needs no more than to be believed on.
func (c *Controller) receiveTable(table *distribute.AgentTable) {
	known := c.remoteTables[table.Controller]
	if known != nil && slices.Equal(known.agents, table.Agents) {
		known.lastReceivedAt = time.Now()
		return
	}
	c.remoteTables[table.Controller] = &remoteTable{table.Agents, time.Now()}
	c.membersChanged = true
	c.publish(false)
}

// expireTables forgets the tables of controllers that tell none any more.
func (c *Controller) expireTables() {
	for controller, t := range c.remoteTables {
		if time.Since(t.lastReceivedAt) > tableTimeout {
			delete(c.remoteTables, controller)
			c.membersChanged = true
		}
	}
}

// pacedMembers is the members to be shown now: those shown before, if nothing changed or others were shown only just. A tick looks again.
func (c *Controller) rateLimitedMembers(old *publishedState) *distribute.MemberSet {
	if old != nil && (!c.membersChanged || time.Since(c.membersPublishedAt) < time.Duration(c.knownAgentCount())*publishIntervalPerMember) {
		return old.members
	}
	c.membersChanged = false
	members := c.collectMembers()
	if old != nil && old.members.Digest == members.Digest {
		return old.members
	}
	c.membersPublishedAt = time.Now()
	return members
}

// rosterSize is how many agents are known, those twice that have just moved from one controller to another.
func (c *Controller) knownAgentCount() int {
	size := len(c.sessions)
	for _, t := range c.remoteTables {
		size += len(t.agents)
	}
	return size
}

// members is the agents with a session anywhere, each machine's newest life once.
func (c *Controller) collectMembers() *distribute.MemberSet {
	byAddr := make(map[string]distribute.Agent, c.knownAgentCount())
	for _, t := range c.remoteTables {
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
