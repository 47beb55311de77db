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
	commandKinds
)

var commandNames = [commandKinds]string{"other", "chain", "session", "table", "tick"}

// command is work for the owner.
type command struct {
	kind   commandKind
	queued time.Time
	run    func()
}

// slowOwner is the wait in the queue, or the lateness of a tick, from which a second's work is worth a line in the log.
const slowOwner = 150 * time.Millisecond

// kindWork counts the commands of one kind.
type kindWork struct {
	count   int
	busy    time.Duration
	longest time.Duration // wait in the queue
}

// ownerWork counts the work of the owner since a time.
type ownerWork struct {
	since    time.Time
	kinds    [commandKinds]kindWork
	queue    int           // most commands that waited
	tickLate time.Duration // at most
	lastTick time.Time
}

// replyCounts counts what agents' calls were answered with since the start.
type replyCounts struct {
	replies    atomic.Int64
	outOfTouch atomic.Int64 // of them, while this controller was out of touch with the core's majority
	members    atomic.Int64 // that brought all members
	changes    atomic.Int64 // that brought what changed of them
	snapshots  atomic.Int64 // that brought a snapshot
}

// count counts a reply.
func (r *replyCounts) count(reply *distribute.WatchReply) {
	r.replies.Add(1)
	if !reply.HasQuorum {
		r.outOfTouch.Add(1)
	}
	if reply.Members != nil {
		r.members.Add(1)
	}
	if reply.MembersDelta != nil {
		r.changes.Add(1)
	}
	if reply.Snapshot != nil {
		r.snapshots.Add(1)
	}
}

// execute runs a command and counts it.
func (c *Controller) execute(cmd command) {
	began := time.Now()
	cmd.run()
	work := &c.work.kinds[cmd.kind]
	work.count++
	work.busy += time.Since(began)
	work.longest = max(work.longest, began.Sub(cmd.queued))
	c.work.queue = max(c.work.queue, len(c.commands)+len(c.urgent)+1)
}

// executeUrgent runs the messages of other replicas that wait now: they come before all other work, and before a tick judges who is silent.
func (c *Controller) executeUrgent() {
	for range len(c.urgent) {
		c.execute(<-c.urgent)
	}
}

// executeWaiting runs all that waits now: what came while this machine stood still shows who is there before a tick judges who is silent.
func (c *Controller) executeWaiting() {
	for range len(c.commands) {
		c.executeUrgent()
		c.execute(<-c.commands)
	}
	c.executeUrgent()
}

// executeTick runs the regular work. It logs the last second's work where that was slow.
func (c *Controller) executeTick() {
	began := time.Now()
	if !c.work.lastTick.IsZero() {
		late := began.Sub(c.work.lastTick) - tickEvery
		c.work.tickLate = max(c.work.tickLate, late)
		if late > forgiveAbove {
			c.forgive(late)
		}
	}
	c.work.lastTick = began
	c.tick()
	work := &c.work.kinds[commandTick]
	work.count++
	work.busy += time.Since(began)
	if began.Sub(c.work.since) >= time.Second {
		c.logWork(began)
		c.logSlowSpread()
		c.worked.add(&c.work)
		c.work = ownerWork{since: began, lastTick: began}
	}
}

// slowest is the longest wait of any command, or the latest tick.
func (w *ownerWork) slowest() time.Duration {
	longest := w.tickLate
	for i := range w.kinds {
		longest = max(longest, w.kinds[i].longest)
	}
	return longest
}

// add sums up another span of work.
func (w *ownerWork) add(more *ownerWork) {
	for i := range w.kinds {
		w.kinds[i].count += more.kinds[i].count
		w.kinds[i].busy += more.kinds[i].busy
		w.kinds[i].longest = max(w.kinds[i].longest, more.kinds[i].longest)
	}
	w.queue = max(w.queue, more.queue)
	w.tickLate = max(w.tickLate, more.tickLate)
}

// logWork logs the work of about a second: always for who debugs, else if commands or ticks came late.
func (c *Controller) logWork(now time.Time) {
	level := zerolog.DebugLevel
	if c.work.slowest() >= slowOwner {
		level = zerolog.InfoLevel
	}
	line := c.log.WithLevel(level).Str("step", "owner").Dur("over", now.Sub(c.work.since)).Int("sessions", len(c.sessions)).
		Int("queue", c.work.queue).Dur("tick_late", c.work.tickLate).
		Int64("replies", c.replied.replies.Load()).Int64("out_of_touch", c.replied.outOfTouch.Load()).
		Int64("with_members", c.replied.members.Load()).Int64("with_changes", c.replied.changes.Load()).Int64("with_snapshot", c.replied.snapshots.Load())
	for kind, name := range commandNames {
		work := &c.work.kinds[kind]
		line = line.Dict(name, zerolog.Dict().Int("count", work.count).Dur("busy", work.busy).Dur("longest_wait", work.longest))
	}
	line.Msg("work of the owner")
}

// logProposals tells of proposals that began or were given up, and how this machine kept up meanwhile.
func (c *Controller) logProposals(out *chain.Output) {
	if a := out.ProposalStarted; a != nil {
		c.log.Info().Str("step", "propose").Uint64("epoch", a.Epoch).Uint64("round", a.Round).Interface("reasons", a.Reasons).
			Interface("removed", a.Removed).Interface("added", a.Added).
			Int("queue", len(c.commands)+len(c.urgent)).Dur("slowest", c.work.slowest()).Msg("another view is proposed")
	}
	if g := out.ProposalTimedOut; g != nil {
		c.log.Info().Str("step", "propose").Uint64("epoch", g.Epoch).Uint64("round", g.Round).Int("asked", g.Participants).Int("promised", g.Promised).
			Int("caught_up", g.CaughtUp).Int("accepted", g.Accepted).Dur("slowest", c.work.slowest()).Msg("a proposal is given up")
	}
}

// enqueue hands the owner a command.
func (c *Controller) enqueue(kind commandKind, run func()) {
	queue := c.commands
	if kind == commandChain {
		queue = c.urgent
	}
	select {
	case queue <- command{kind, time.Now(), run}:
	case <-c.done:
	}
}

// ask runs a command at the owner and waits for it.
func (c *Controller) ask(ctx context.Context, run func()) error {
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
