package controller

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"nettlefold/internal/chain"
	"nettlefold/internal/distribute"
)

// commandKind is what a command of the owner's queue is for.
type commandKind int

const (
	commandOther   commandKind = iota // operators, readers, settings
	commandChain                      // a message of another replica
	commandSession                    // an agent's call
	commandTable                      // the agents that have a session with another controller
	commandTick                       // the regular work; it never waits in the queue
	commandKindCount
)

var commandNames = [commandKindCount]string{"other", "chain", "session", "table", "tick"}

// command is work for the owner.
type command struct {
	kind   commandKind
	queued time.Time
	run    func()
}

// slowOwner is the wait in the queue, or the lateness of a tick, from which a second's work is worth a line in the log.
const slowLoopThreshold = 150 * time.Millisecond

// kindWork counts the commands of one kind.
type commandStats struct {
	count       int
	busy        time.Duration
	longestWait time.Duration // wait in the queue
}

// ownerWork counts the work of the owner since a time.
type loopStats struct {
	since          time.Time
	commands       [commandKindCount]commandStats
	maxQueueLength int           // most commands that waited
	maxTickDelay   time.Duration // at most
	lastTick       time.Time
}

// replyCounts counts what agents' calls were answered with since the start.
type replyCounters struct {
	replies        atomic.Int64
	withoutQuorum  atomic.Int64 // of them, while this controller was out of touch with the core's majority
	fullMemberSets atomic.Int64 // that brought all members
	memberDeltas   atomic.Int64 // that brought what changed of them
	snapshots      atomic.Int64 // that brought a snapshot
}

// count counts a reply.
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

// execute runs a command and counts it.
func (c *Controller) execute(cmd command) {
	began := time.Now()
	cmd.run()
	work := &c.recentStats.commands[cmd.kind]
	work.count++
	work.busy += time.Since(began)
	work.longestWait = max(work.longestWait, began.Sub(cmd.queued))
	c.recentStats.maxQueueLength = max(c.recentStats.maxQueueLength, len(c.commands)+len(c.urgentCommands)+1)
}

// executeUrgent runs the messages of other replicas that wait now: they come before all other work, and before a tick judges who is silent.
func (c *Controller) drainUrgentCommands() {
	for range len(c.urgentCommands) {
		c.execute(<-c.urgentCommands)
	}
}

// executeWaiting runs all that waits now: what came while this machine stood still shows who is there before a tick judges who is silent.
func (c *Controller) drainCommands() {
	for range len(c.commands) {
		c.drainUrgentCommands()
		c.execute(<-c.commands)
	}
	c.drainUrgentCommands()
}

// executeTick runs the regular work. It logs the last second's work where that was slow.
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
	work := &c.recentStats.commands[commandTick]
	work.count++
	work.busy += time.Since(began)
	if began.Sub(c.recentStats.since) >= time.Second {
		c.logLoopStats(began)
		c.logSlowPropagation()
		c.totalStats.add(&c.recentStats)
		c.recentStats = loopStats{since: began, lastTick: began}
	}
}

// slowest is the longest wait of any command, or the latest tick.
func (w *loopStats) maxDelay() time.Duration {
	longest := w.maxTickDelay
	for i := range w.commands {
		longest = max(longest, w.commands[i].longestWait)
	}
	return longest
}

// add sums up another span of work.
func (w *loopStats) add(more *loopStats) {
	for i := range w.commands {
		w.commands[i].count += more.commands[i].count
		w.commands[i].busy += more.commands[i].busy
		w.commands[i].longestWait = max(w.commands[i].longestWait, more.commands[i].longestWait)
	}
	w.maxQueueLength = max(w.maxQueueLength, more.maxQueueLength)
	w.maxTickDelay = max(w.maxTickDelay, more.maxTickDelay)
}

// logWork logs the work of about a second: always for who debugs, else if commands or ticks came late.
func (c *Controller) logLoopStats(now time.Time) {
	level := zerolog.DebugLevel
	if c.recentStats.maxDelay() >= slowLoopThreshold {
		level = zerolog.InfoLevel
	}
	line := c.log.WithLevel(level).Str("step", "owner").Dur("over", now.Sub(c.recentStats.since)).Int("sessions", len(c.sessions)).
		Int("queue", c.recentStats.maxQueueLength).Dur("tick_late", c.recentStats.maxTickDelay).
		Int64("replies", c.replies.replies.Load()).Int64("out_of_touch", c.replies.withoutQuorum.Load()).
		Int64("with_members", c.replies.fullMemberSets.Load()).Int64("with_changes", c.replies.memberDeltas.Load()).Int64("with_snapshot", c.replies.snapshots.Load())
	for kind, name := range commandNames {
		work := &c.recentStats.commands[kind]
		line = line.Dict(name, zerolog.Dict().Int("count", work.count).Dur("busy", work.busy).Dur("longest_wait", work.longestWait))
	}
	line.Msg("work of the owner")
}

// logProposals tells of proposals that began or were given up, and how this machine kept up meanwhile.
func (c *Controller) logProposals(out *chain.Output) {
	if a := out.Attempt; a != nil {
		c.log.Info().Str("step", "propose").Uint64("epoch", a.Epoch).Uint64("round", a.Round).Interface("reasons", a.Reasons).
			Interface("removed", a.Removed).Interface("added", a.Added).
			Int("queue", len(c.commands)+len(c.urgentCommands)).Dur("slowest", c.recentStats.maxDelay()).Msg("another view is proposed")
	}
	if g := out.GivenUp; g != nil {
		c.log.Info().Str("step", "propose").Uint64("epoch", g.Epoch).Uint64("round", g.Round).Int("asked", g.Asked).Int("promised", g.Promised).
			Int("caught_up", g.CaughtUp).Int("accepted", g.Accepted).Dur("slowest", c.recentStats.maxDelay()).Msg("a proposal is given up")
	}
}

// enqueue hands the owner a command.
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

// ask runs a command at the owner and waits for it.
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
