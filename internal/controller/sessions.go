package controller

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"nettlefold/internal/chain"
	"nettlefold/internal/distribute"
	"nettlefold/internal/superseded"
)

const (
	// watchHold is how long an agent's call is held when there is nothing new: its heartbeat.
	watchHold = 350 * time.Millisecond
	// sessionSilence ends a session: three heartbeats and what they may be late.
	sessionSilence = 1200 * time.Millisecond
	// suspectedSilence ends it when those that watch the agent do not reach it either.
	suspectedSilence = 700 * time.Millisecond
	// tableEvery is how often the table of agents is told again, and tableSilence how long another's is believed.
	tableEvery   = 700 * time.Millisecond
	tableSilence = 2500 * time.Millisecond
	// membersPace is the least time, for each member, between two sets of members that are shown: each set goes whole to everybody, so that
	// n that come at once would cost n x n x n entries.
	membersPace = time.Millisecond
)

// session is an agent that calls here.
type session struct {
	agent    distribute.Agent
	applied  uint64
	heard    time.Time
	suspects []string
}

// remoteTable is the agents with sessions elsewhere.
type remoteTable struct {
	agents []distribute.Agent
	heard  time.Time
}

// watch answers an agent when there is something newer than it has, or after a while.
func (c *Controller) watch(ctx context.Context, request *distribute.WatchRequest) (*distribute.WatchReply, error) {
	c.enqueue(commandSession, func() { c.touch(request) })
	began := c.now()
	held := time.NewTimer(watchHold)
	defer held.Stop()
	for {
		now := c.public.Load()
		fresh := now.state.Seq > request.Have
		if fresh || !now.current || now.members.Digest != request.Members {
			return c.replyTo(began, now, request), nil
		}
		select {
		case <-now.changed:
		case <-held.C:
			return c.replyTo(began, now, request), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// replyTo answers a call that came at a time with what its caller lacks.
func (c *Controller) replyTo(began time.Duration, now *public, request *distribute.WatchRequest) *distribute.WatchReply {
	written := c.now()
	reply := &distribute.WatchReply{Current: now.current, Epoch: now.view.Epoch, HeldMS: (written - began).Milliseconds()}
	if now.view.Epoch != request.Epoch {
		reply.Controllers = now.controllers
	}
	if now.state.Seq > request.Have { // committed is committed, also where this replica is out of touch
		reply.Snapshot = distribute.SnapshotOf(now.state, request.ConfigSeq)
		reply.Ages = ages(now.named, written)
	}
	if now.members.Digest != request.Members {
		reply.Members = now.members
	}
	return reply
}

func ages(named map[string]superseded.Times, now time.Duration) map[string][]superseded.Age {
	ages := map[string][]superseded.Age{}
	for model, times := range named {
		ages[model] = times.Ages(now)
	}
	return ages
}

// touch books an agent's call.
func (c *Controller) touch(request *distribute.WatchRequest) {
	s := c.sessions[request.Agent.Addr]
	added := s == nil || s.agent != request.Agent
	if added {
		s = &session{agent: request.Agent}
		c.sessions[request.Agent.Addr] = s
	}
	s.applied, s.heard, s.suspects = request.Seq, time.Now(), request.Suspects
	if added {
		c.tellTable()
		c.publish(false)
	}
	c.takeApplied()
}

// takeApplied tells the core at once when all agents here have applied something newer.
func (c *Controller) takeApplied() {
	least := uint64(chain.NoSessions)
	for _, s := range c.sessions {
		least = min(least, s.applied)
	}
	if c.replica.SetApplied(least) && c.broken.IsZero() {
		c.perform(c.replica.Beat(c.now()))
	}
}

// expireSessions forgets agents that call no more, sooner where those that watch them miss them too.
func (c *Controller) expireSessions() {
	suspected := map[string]bool{}
	for _, s := range c.sessions {
		for _, id := range s.suspects {
			suspected[id] = true
		}
	}
	gone := false
	for addr, s := range c.sessions {
		silence := time.Since(s.heard)
		if silence > sessionSilence || silence > suspectedSilence && suspected[s.agent.ID] {
			delete(c.sessions, addr)
			gone = true
		}
	}
	if gone {
		c.takeApplied()
	}
	if gone || time.Since(c.told) > tableEvery {
		c.tellTable()
	}
}

func (c *Controller) tellTable() {
	c.told = time.Now()
	self := c.replica.Self()
	table := &distribute.AgentTable{Controller: self.Addr}
	for _, s := range c.sessions {
		table.Agents = append(table.Agents, s.agent)
	}
	view := c.replica.View()
	for _, m := range view.Members() {
		if m.ID != self.ID {
			c.pool.Post(m.Addr, distribute.KindAgents, table)
		}
	}
}

func (c *Controller) takeTable(table *distribute.AgentTable) {
	c.elsewhere[table.Controller] = &remoteTable{table.Agents, time.Now()}
	c.publish(false)
}

// pacedMembers is the members to be shown now: those shown before, if others were shown only just. A tick looks again.
func (c *Controller) pacedMembers(old *public) *distribute.MemberSet {
	members := c.members()
	if old == nil || old.members.Digest == members.Digest {
		return members
	}
	if time.Since(c.showedAt) < time.Duration(len(members.Agents))*membersPace {
		return old.members
	}
	c.showedAt = time.Now()
	return members
}

// members is the agents with a session anywhere, each machine's newest life once.
func (c *Controller) members() *distribute.MemberSet {
	byAddr := map[string]distribute.Agent{}
	for controller, t := range c.elsewhere {
		if time.Since(t.heard) > tableSilence {
			delete(c.elsewhere, controller)
			continue
		}
		for _, a := range t.agents {
			if known, ok := byAddr[a.Addr]; !ok || known.ID < a.ID {
				byAddr[a.Addr] = a
			}
		}
	}
	for _, s := range c.sessions {
		byAddr[s.agent.Addr] = s.agent
	}
	set := &distribute.MemberSet{Agents: make([]distribute.Agent, 0, len(byAddr))}
	for _, a := range byAddr {
		set.Agents = append(set.Agents, a)
	}
	slices.SortFunc(set.Agents, func(a, b distribute.Agent) int { return cmp.Compare(a.ID, b.ID) })
	var digest xxhash.Digest
	digest.Reset()
	for _, a := range set.Agents {
		digest.WriteString(a.ID + "\n")
	}
	set.Digest = digest.Sum64()
	return set
}
