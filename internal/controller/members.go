package controller

import (
	"cmp"
	"slices"
	"time"

	"nettlefold/internal/distribute"
	"nettlefold/internal/rpc"
)

const (
	// tableInterval is how often the table of agents is sent even if it did not change, and
	// tableTimeout is how long the last table of another controller stays valid.
	tableInterval = 700 * time.Millisecond
	tableTimeout  = 2500 * time.Millisecond
	// minTableInterval is the least time between two tables, so that agents that join together are
	// sent in one table.
	minTableInterval = 100 * time.Millisecond
	// publishIntervalPerMember is, for each member, the least time between two published member
	// sets: each set is sent to every agent.
	publishIntervalPerMember = time.Millisecond
	// maxPreviousMemberSets is the number of earlier member sets from which a receiver can be
	// updated by a delta.
	maxPreviousMemberSets = 8
)

// remoteTable holds the agents that have a session with another controller.
type remoteTable struct {
	agents         []distribute.Agent // sorted by ID
	lastReceivedAt time.Time
}

func compareAgentIDs(a, b distribute.Agent) int { return cmp.Compare(a.ID, b.ID) }

// memberDeltas maps the digest of an earlier member set to the delta from it to the published set.
type memberDeltas map[uint64]*distribute.MemberDelta

// memberDeltasTo retains old as a previous member set and returns the deltas from the retained sets
// to next. A delta that is as large as the full set is left out.
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

// sendTable sends the agents that have a session here to the other controllers.
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
		c.log.Error().Err(err).Str("step", "table").Msg("cannot encode the table of agents")
		return
	}
	view := c.replica.View()
	for _, m := range view.Members() {
		if m.ID != self.ID {
			c.pool.PostEncoded(m.Addr, encoded)
		}
	}
}

// scheduleTable sends the changed table now, or with a later tick if the last one was sent too
// recently.
func (c *Controller) scheduleTable() {
	c.tablePending, c.membersChanged = true, true
	if time.Since(c.tableSentAt) >= minTableInterval {
		c.sendTable()
	}
}

// sendTableIfDue sends the table if it changed or if tableInterval has passed. It is called by each
// tick.
func (c *Controller) sendTableIfDue() {
	since := time.Since(c.tableSentAt)
	if c.tablePending && since >= minTableInterval || since > tableInterval {
		c.sendTable()
	}
}

// receiveTable stores the table of another controller. An unchanged table only extends its
// validity.
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

// expireTables removes the tables of controllers that stopped sending them.
func (c *Controller) expireTables() {
	for controller, table := range c.remoteTables {
		if time.Since(table.lastReceivedAt) > tableTimeout {
			delete(c.remoteTables, controller)
			c.membersChanged = true
		}
	}
}

// membersToPublish returns the member set to publish: the one published before if nothing changed
// or if it was published less than knownAgentCount times publishIntervalPerMember ago. A later tick
// then publishes the change. It resets membersChanged when it computes a new set.
func (c *Controller) membersToPublish(old *publishedState) *distribute.MemberSet {
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

// knownAgentCount returns the number of sessions here and elsewhere. An agent that has just moved
// between controllers counts twice.
func (c *Controller) knownAgentCount() int {
	size := len(c.sessions)
	for _, table := range c.remoteTables {
		size += len(table.agents)
	}
	return size
}

// collectMembers returns the agents with a session at any controller. Only the newest instance of
// each machine is included.
func (c *Controller) collectMembers() *distribute.MemberSet {
	byAddr := make(map[string]distribute.Agent, c.knownAgentCount())
	for _, table := range c.remoteTables {
		for _, a := range table.agents {
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
