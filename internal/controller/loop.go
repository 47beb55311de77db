package controller

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"nettlefold/internal/chain"
	"nettlefold/internal/distribute"
)

// commandKind classifies the commands of the event loop for its metrics.
type commandKind int

const (
	commandOther   commandKind = iota // operator requests, reads, settings
	commandChain                      // a message of another replica
	commandSession                    // a call of an agent
	commandTable                      // the table of agents of another controller
	commandTick                       // the periodic work, which is never queued
	commandKindCount
)

// commandNames are the labels of the command kinds in logs and metrics.
var commandNames = [commandKindCount]string{"other", "chain", "session", "table", "tick"}

// command is a function to be executed by the event loop.
type command struct {
	kind   commandKind
	queued time.Time
	run    func()
}

// slowLoopThreshold is the delay of a queued command or a tick from which the statistics of an
// interval are logged at info level.
const slowLoopThreshold = 150 * time.Millisecond

// commandStats counts the commands of one kind.
type commandStats struct {
	count       int
	busy        time.Duration
	longestWait time.Duration // in the queue
}

// loopStats counts the work of the event loop since a point in time.
type loopStats struct {
	since          time.Time
	commands       [commandKindCount]commandStats
	maxQueueLength int // including the command that is being executed
	maxTickDelay   time.Duration
	lastTick       time.Time
}

// replyCounters counts the replies to agents' watch calls since the start.
type replyCounters struct {
	replies        atomic.Int64
	withoutQuorum  atomic.Int64 // sent while this controller was not in contact with a quorum
	fullMemberSets atomic.Int64 // with the full member set
	memberDeltas   atomic.Int64 // with a member delta
	snapshots      atomic.Int64 // with a snapshot
}

// count counts a reply by its contents.
func (r *replyCounters) count(reply *distribute.WatchReply) {
	r.replies.Add(1)
	if !reply.HasQuorum {
		r.withoutQuorum.Add(1)
	}
	if reply.Members != nil {
		r.fullMemberSets.Add(1)
	}
	if reply.MembersDelta != nil {
		r.memberDeltas.Add(1)
	}
	if reply.Snapshot != nil {
		r.snapshots.Add(1)
	}
}

// execute runs a command and updates the statistics.
func (c *Controller) execute(cmd command) {
	began := time.Now()
	cmd.run()
	stats := &c.recentStats.commands[cmd.kind]
	stats.count++
	stats.busy += time.Since(began)
	stats.longestWait = max(stats.longestWait, began.Sub(cmd.queued))
	c.recentStats.maxQueueLength = max(c.recentStats.maxQueueLength, len(c.commands)+len(c.urgentCommands)+1)
}

// drainUrgentCommands executes the queued messages of other replicas. They precede all other work
// and any tick, whose failure detection depends on them.
func (c *Controller) drainUrgentCommands() {
	for range len(c.urgentCommands) {
		c.execute(<-c.urgentCommands)
	}
}

// drainCommands executes all queued commands. Calls that arrived while this process was stalled
// must count before a tick checks for expired sessions.
func (c *Controller) drainCommands() {
	for range len(c.commands) {
		c.drainUrgentCommands()
		c.execute(<-c.commands)
	}
	c.drainUrgentCommands()
}

// executeTick does the periodic work, and logs and accumulates the statistics once a second.
func (c *Controller) executeTick() {
	began := time.Now()
	if !c.recentStats.lastTick.IsZero() {
		late := began.Sub(c.recentStats.lastTick) - tickInterval
		c.recentStats.maxTickDelay = max(c.recentStats.maxTickDelay, late)
		if late > stallThreshold {
			c.extendTimeouts(late)
		}
	}
	c.recentStats.lastTick = began
	c.tick()
	stats := &c.recentStats.commands[commandTick]
	stats.count++
	stats.busy += time.Since(began)
	if began.Sub(c.recentStats.since) >= time.Second {
		c.logLoopStats(began)
		c.logSlowPropagation()
		c.totalStats.add(&c.recentStats)
		c.recentStats = loopStats{since: began, lastTick: began}
	}
}

// maxDelay returns the longest delay of any command or tick.
func (s *loopStats) maxDelay() time.Duration {
	longest := s.maxTickDelay
	for i := range s.commands {
		longest = max(longest, s.commands[i].longestWait)
	}
	return longest
}

// add merges the statistics of another time span into s.
func (s *loopStats) add(other *loopStats) {
	for i := range s.commands {
		s.commands[i].count += other.commands[i].count
		s.commands[i].busy += other.commands[i].busy
		s.commands[i].longestWait = max(s.commands[i].longestWait, other.commands[i].longestWait)
	}
	s.maxQueueLength = max(s.maxQueueLength, other.maxQueueLength)
	s.maxTickDelay = max(s.maxTickDelay, other.maxTickDelay)
}

// logLoopStats logs the statistics of the last interval: at info level if commands or ticks were
// delayed, otherwise at debug level.
func (c *Controller) logLoopStats(now time.Time) {
	level := zerolog.DebugLevel
	if c.recentStats.maxDelay() >= slowLoopThreshold {
		level = zerolog.InfoLevel
	}
	event := c.log.WithLevel(level).Str("step", "owner").Dur("over", now.Sub(c.recentStats.since)).Int("sessions", len(c.sessions)).
		Int("queue", c.recentStats.maxQueueLength).Dur("tick_late", c.recentStats.maxTickDelay).
		Int64("replies", c.replies.replies.Load()).Int64("out_of_touch", c.replies.withoutQuorum.Load()).
		Int64("with_members", c.replies.fullMemberSets.Load()).
		Int64("with_changes", c.replies.memberDeltas.Load()).Int64("with_snapshot", c.replies.snapshots.Load())
	for kind, name := range commandNames {
		stats := &c.recentStats.commands[kind]
		event = event.Dict(name, zerolog.Dict().Int("count", stats.count).
			Dur("busy", stats.busy).Dur("longest_wait", stats.longestWait))
	}
	event.Msg("event loop statistics")
}

// logProposals logs view changes that this replica proposes or abandons, with the delay of the
// event loop in the current interval.
func (c *Controller) logProposals(out *chain.Output) {
	if a := out.ProposalStarted; a != nil {
		c.log.Info().Str("step", "propose").Uint64("epoch", a.Epoch).Uint64("round", a.Round).Interface("reasons", a.Reasons).
			Interface("removed", a.Removed).Interface("added", a.Added).
			Int("queue", len(c.commands)+len(c.urgentCommands)).Dur("slowest", c.recentStats.maxDelay()).Msg("proposing a new view")
	}
	if g := out.ProposalTimedOut; g != nil {
		c.log.Info().Str("step", "propose").Uint64("epoch", g.Epoch).Uint64("round", g.Round).Int("asked", g.Participants).Int("promised", g.Promised).
			Int("caught_up", g.CaughtUp).Int("accepted", g.Accepted).Dur("slowest", c.recentStats.maxDelay()).Msg("abandoning a view proposal")
	}
}

// enqueue queues a command for the event loop without waiting for its execution.
func (c *Controller) enqueue(kind commandKind, run func()) {
	queue := c.commands
	if kind == commandChain {
		queue = c.urgentCommands
	}
	select {
	case queue <- command{kind, time.Now(), run}:
	case <-c.done:
	}
}

// runInLoop executes run in the event loop and waits until it is finished or ctx ends.
func (c *Controller) runInLoop(ctx context.Context, run func()) error {
	finished := make(chan struct{})
	select {
	case c.commands <- command{commandOther, time.Now(), func() { run(); close(finished) }}:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
