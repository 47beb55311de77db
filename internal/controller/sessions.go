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
	longPollTimeout = 350 * time.Millisecond
	// sessionSilence ends a session: three heartbeats and what they may be late.
	sessionTimeout = 1200 * time.Millisecond
	// suspectedSilence ends it when those that watch the agent do not reach it either.
	suspectedSessionTimeout = 700 * time.Millisecond
)

// session is an agent that calls here.
type session struct {
	agent       distribute.Agent
	receivedSeq uint64 // in hand, applied or not
	appliedSeq  uint64
	lastCallAt  time.Time
	suspects    []string
}

// watch answers an agent when there is something newer than it has, or after a while.
func (c *Controller) watch(ctx context.Context, request *distribute.WatchRequest) (*distribute.WatchReply, error) {
	c.enqueue(commandSession, func() { c.recordCall(request) })
	began := c.sinceStart()
	held := time.NewTimer(longPollTimeout)
	defer held.Stop()
	for {
		now := c.published.Load()
		fresh := now.state.Seq > request.ReceivedSeq
		if fresh || !now.current || now.members.Digest != request.MembersDigest {
			return c.watchReply(began, now, request), nil
		}
		select {
		case <-now.changed:
		case <-held.C:
			return c.watchReply(began, now, request), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// replyTo answers a call that came at a time with what its caller lacks.
func (c *Controller) watchReply(began time.Duration, now *publishedState, request *distribute.WatchRequest) *distribute.WatchReply {
	written := c.sinceStart()
	reply := &distribute.WatchReply{HasQuorum: now.current, Epoch: now.view.Epoch, LongPollMS: (written - began).Milliseconds()}
	if now.view.Epoch != request.Epoch {
		reply.Controllers = now.controllerAddrs
	}
	if now.state.Seq > request.ReceivedSeq { // committed is committed, also where this replica is out of touch
		reply.Snapshot = distribute.NewSnapshot(now.state, request.ConfigSeq)
		reply.VersionAges = versionAges(now.versionHistories, written)
	}
	if now.current && now.members.Digest != request.MembersDigest { // else the caller turns elsewhere and takes none
		reply.MembersDelta = now.deltas[request.MembersDigest]
		if reply.MembersDelta == nil {
			reply.Members = now.members
		}
	}
	c.replies.count(reply)
	return reply
}

func versionAges(named map[string]superseded.History, now time.Duration) map[string][]superseded.Age {
	ages := map[string][]superseded.Age{}
	for model, times := range named {
		ages[model] = times.Ages(now)
	}
	return ages
}

// touch books an agent's call.
func (c *Controller) recordCall(request *distribute.WatchRequest) {
	s := c.sessions[request.Agent.Addr]
	added := s == nil || s.agent != request.Agent
	if added {
		s = &session{agent: request.Agent}
		c.sessions[request.Agent.Addr] = s
	}
	s.receivedSeq, s.appliedSeq, s.lastCallAt, s.suspects = request.ReceivedSeq, request.AppliedSeq, time.Now(), request.Suspects
	if added {
		c.scheduleTable()
		c.publish(false)
	}
	c.reportProgress()
}

// takeApplied tells the core at once when all agents here have applied something newer.
func (c *Controller) reportProgress() {
	least, leastHas := uint64(chain.NoSessions), uint64(chain.NoSessions)
	for _, s := range c.sessions {
		least, leastHas = min(least, s.appliedSeq), min(leastHas, s.receivedSeq)
	}
	c.propagation.recordProgress(c.sinceStart(), leastHas, least)
	if c.replica.SetApplied(least) && c.diskFailedAt.IsZero() {
		c.applyOutput(c.replica.Beat(c.sinceStart()))
	}
}

// forgiveAbove is how late a tick is that takes its delay out of others' silence.
const stallThreshold = suspectedSessionTimeout / 2

// forgive takes a time for which this machine stood still out of the silence of agents and of other controllers' tables.
func (c *Controller) extendTimeouts(stoodStill time.Duration) {
	now := time.Now()
	for _, s := range c.sessions {
		s.lastCallAt = earlierTime(s.lastCallAt.Add(stoodStill), now)
	}
	for _, t := range c.remoteTables {
		t.lastReceivedAt = earlierTime(t.lastReceivedAt.Add(stoodStill), now)
	}
}

// earlier is the earlier of two times.
func earlierTime(a, b time.Time) time.Time {
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
		silence := time.Since(s.lastCallAt)
		if silence > sessionTimeout || silence > suspectedSessionTimeout && suspected[s.agent.ID] {
			c.log.Info().Str("step", "session").Str("agent", s.agent.ID).Dur("silence", silence).Bool("suspected", suspected[s.agent.ID]).
				Uint64("applied", s.appliedSeq).Msg("a session ends")
			delete(c.sessions, addr)
			gone = true
		}
	}
	if gone {
		c.reportProgress()
		c.scheduleTable()
	}
}
