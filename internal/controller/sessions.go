package controller

import (
	"context"
	"time"

	"nettlefold/internal/chain"
	"nettlefold/internal/distribute"
	"nettlefold/internal/superseded"
)

const (
	// longPollTimeout is how long an agent's call waits for an update. The repeated calls are the
	// agent's heartbeats.
	longPollTimeout = 350 * time.Millisecond
	// sessionTimeout ends a session: three heartbeats and their possible delay.
	sessionTimeout = 1200 * time.Millisecond
	// suspectedSessionTimeout ends a session whose agent is also suspected by the agents that probe
	// it.
	suspectedSessionTimeout = 700 * time.Millisecond
)

// session is the state of an agent that calls this controller.
type session struct {
	agent       distribute.Agent
	receivedSeq uint64 // received, not necessarily applied
	appliedSeq  uint64
	lastCallAt  time.Time
	suspects    []string
}

// watch handles a long poll: it replies as soon as there is an update for the agent, or after
// longPollTimeout.
func (c *Controller) watch(ctx context.Context, request *distribute.WatchRequest) (*distribute.WatchReply, error) {
	c.enqueue(commandSession, func() { c.recordCall(request) })
	began := c.sinceStart()
	timer := time.NewTimer(longPollTimeout)
	defer timer.Stop()
	for {
		now := c.published.Load()
		newer := now.state.Seq > request.ReceivedSeq
		if newer || !now.current || now.members.Digest != request.MembersDigest {
			return c.watchReply(began, now, request), nil
		}
		select {
		case <-now.changed:
		case <-timer.C:
			return c.watchReply(began, now, request), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// watchReply returns the reply to a watch call that began at the given time, with the updates that
// its caller lacks.
func (c *Controller) watchReply(began time.Duration, now *publishedState, request *distribute.WatchRequest) *distribute.WatchReply {
	sentAt := c.sinceStart()
	reply := &distribute.WatchReply{
		HasQuorum: now.current, Epoch: now.view.Epoch, LongPollMS: (sentAt - began).Milliseconds(),
	}
	if now.view.Epoch != request.Epoch {
		reply.Controllers = now.controllerAddrs
	}
	// A committed operation is final, also where this replica has no quorum.
	if now.state.Seq > request.ReceivedSeq {
		reply.Snapshot = distribute.NewSnapshot(now.state, request.ConfigSeq)
		reply.VersionAges = versionAges(now.versionHistories, sentAt)
	}
	// Without a quorum the caller moves to another controller and ignores the members.
	if now.current && now.members.Digest != request.MembersDigest {
		reply.MembersDelta = now.deltas[request.MembersDigest]
		if reply.MembersDelta == nil {
			reply.Members = now.members
		}
	}
	c.replies.count(reply)
	return reply
}

// versionAges returns the ages of the models' wanted versions at a time.
func versionAges(histories map[string]superseded.History, now time.Duration) map[string][]superseded.Age {
	ages := map[string][]superseded.Age{}
	for model, history := range histories {
		ages[model] = history.Ages(now)
	}
	return ages
}

// recordCall updates the session of the agent that sent request, or starts one.
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

// reportProgress updates the sequence numbers that all agents here have received and applied, and
// sends a heartbeat at once if the applied one advanced.
func (c *Controller) reportProgress() {
	minApplied, minReceived := uint64(chain.NoSessions), uint64(chain.NoSessions)
	for _, s := range c.sessions {
		minApplied, minReceived = min(minApplied, s.appliedSeq), min(minReceived, s.receivedSeq)
	}
	c.propagation.recordProgress(c.sinceStart(), minReceived, minApplied)
	if c.replica.SetApplied(minApplied) && c.diskFailedAt.IsZero() {
		c.applyOutput(c.replica.SendHeartbeat(c.sinceStart()))
	}
}

// stallThreshold is the delay of a tick from which the delay is not counted as silence of others.
const stallThreshold = suspectedSessionTimeout / 2

// extendTimeouts discounts a stall of this process from the silence of agents and of other
// controllers' tables.
func (c *Controller) extendTimeouts(stall time.Duration) {
	now := time.Now()
	for _, s := range c.sessions {
		s.lastCallAt = earlierTime(s.lastCallAt.Add(stall), now)
	}
	for _, table := range c.remoteTables {
		table.lastReceivedAt = earlierTime(table.lastReceivedAt.Add(stall), now)
	}
}

// earlierTime returns the earlier of two times.
func earlierTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// expireSessions removes the sessions of agents that stopped calling; the timeout is shorter for
// agents that others suspect.
func (c *Controller) expireSessions() {
	suspected := map[string]bool{}
	for _, s := range c.sessions {
		for _, id := range s.suspects {
			suspected[id] = true
		}
	}
	expired := false
	for addr, s := range c.sessions {
		silence := time.Since(s.lastCallAt)
		if silence > sessionTimeout || silence > suspectedSessionTimeout && suspected[s.agent.ID] {
			c.log.Info().Str("step", "session").Str("agent", s.agent.ID).Dur("silence", silence).Bool("suspected", suspected[s.agent.ID]).
				Uint64("applied", s.appliedSeq).Msg("session expired")
			delete(c.sessions, addr)
			expired = true
		}
	}
	if expired {
		c.reportProgress()
		c.scheduleTable()
	}
}
