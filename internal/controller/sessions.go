package controller

import (
	"context"
	"time"

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
)

// session is an agent that calls here.
type session struct {
	agent    distribute.Agent
	has      uint64 // in hand, applied or not
	applied  uint64
	heard    time.Time
	suspects []string
}

// watch answers an agent when there is something newer than it has, or after a while.
func (c *Controller) watch(ctx context.Context, request *distribute.WatchRequest) (*distribute.WatchReply, error) {
	c.enqueue(commandSession, func() { c.touch(request) })
	began := c.now()
	held := time.NewTimer(watchHold)
	defer held.Stop()
	for {
		now := c.public.Load()
		fresh := now.state.Seq > request.ReceivedSeq
		if fresh || !now.current || now.members.Digest != request.MembersDigest {
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
	reply := &distribute.WatchReply{HasQuorum: now.current, Epoch: now.view.Epoch, LongPollMS: (written - began).Milliseconds()}
	if now.view.Epoch != request.Epoch {
		reply.Controllers = now.controllers
	}
	if now.state.Seq > request.ReceivedSeq { // committed is committed, also where this replica is out of touch
		reply.Snapshot = distribute.NewSnapshot(now.state, request.ConfigSeq)
		reply.VersionAges = ages(now.named, written)
	}
	if now.current && now.members.Digest != request.MembersDigest { // else the caller turns elsewhere and takes none
		reply.MembersDelta = now.deltas[request.MembersDigest]
		if reply.MembersDelta == nil {
			reply.Members = now.members
		}
	}
	c.replied.count(reply)
	return reply
}

func ages(named map[string]superseded.History, now time.Duration) map[string][]superseded.Age {
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
	s.has, s.applied, s.heard, s.suspects = request.ReceivedSeq, request.AppliedSeq, time.Now(), request.Suspects
	if added {
		c.tableChanged()
		c.publish(false)
	}
	c.takeApplied()
}

// takeApplied tells the core at once when all agents here have applied something newer.
func (c *Controller) takeApplied() {
	least, leastHas := uint64(chain.NoSessions), uint64(chain.NoSessions)
	for _, s := range c.sessions {
		least, leastHas = min(least, s.applied), min(leastHas, s.has)
	}
	c.spread.reported(c.now(), leastHas, least)
	if c.replica.SetApplied(least) && c.broken.IsZero() {
		c.perform(c.replica.SendHeartbeat(c.now()))
	}
}

// forgiveAbove is how late a tick is that takes its delay out of others' silence.
const forgiveAbove = suspectedSilence / 2

// forgive takes a time for which this machine stood still out of the silence of agents and of other controllers' tables.
func (c *Controller) forgive(stoodStill time.Duration) {
	now := time.Now()
	for _, s := range c.sessions {
		s.heard = earlier(s.heard.Add(stoodStill), now)
	}
	for _, t := range c.elsewhere {
		t.heard = earlier(t.heard.Add(stoodStill), now)
	}
}

// earlier is the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
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
			c.log.Info().Str("step", "session").Str("agent", s.agent.ID).Dur("silence", silence).Bool("suspected", suspected[s.agent.ID]).
				Uint64("applied", s.applied).Msg("a session ends")
			delete(c.sessions, addr)
			gone = true
		}
	}
	if gone {
		c.takeApplied()
		c.tableChanged()
	}
}
