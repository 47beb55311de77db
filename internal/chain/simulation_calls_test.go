package chain

import (
	"errors"
	"time"

	"nettlefold/internal/replicated"
)

// The operator's calls of a simulated run: they go the way that the controller's submit and read go.

const (
	simCallTimeout   = 900 * time.Millisecond
	simRetryInterval = 20 * time.Millisecond
	// simPatience is when the operator turns elsewhere.
	simOperatorTimeout = time.Second
)

type outcome int

const (
	outcomePending outcome = iota
	outcomeCommitted
	outcomeRefused
	outcomeUnknown
)

// call is one call of the operator at one machine.
type call struct {
	operation *replicated.Operation // nil for a read
	contact   string
	startedAt time.Duration
	endedAt   time.Duration
	outcome   outcome
	state     *replicated.State // that a read was answered from
	seq       uint64            // under which an order was taken
	baseKnown bool              // its operation says what it was based on
	version   int64             // of the configuration that it writes
}

// reads tells whether the call's next step is a read: it is one, or must learn first what its order is based on.
func (c *call) nextStepReads() bool {
	o := c.operation
	return o == nil || !c.baseKnown && (o.Kind == replicated.KindEvacuate || o.Kind == replicated.KindRestore)
}

func (c *call) done() bool { return c.outcome != outcomePending }

func (s *simulation) nextVersion() int64 { return int64(len(s.calls) + 1) }

// submit has the operator send an order to a machine.
func (s *simulation) submit(contact string, o *replicated.Operation) *call {
	return s.startCall(&call{operation: o, contact: contact})
}

// read has the operator read the newest state at a machine.
func (s *simulation) read(contact string) *call { return s.startCall(&call{contact: contact}) }

func (s *simulation) startCall(c *call) *call {
	c.startedAt = s.now
	s.calls = append(s.calls, c)
	s.schedule(s.randomDuration(simLinkMinDelay, simLinkMaxDelay), func() {
		n := s.nodes[c.contact]
		if !n.up {
			return
		}
		received := func() { s.receiveCall(n, c) }
		if n.frozen {
			n.queued = append(n.queued, received)
			return
		}
		received()
	})
	s.schedule(simOperatorTimeout, func() { s.finishCall(c, outcomeUnknown) })
	return c
}

// received is a call's arrival at the machine that the operator chose.
func (s *simulation) receiveCall(n *simNode, c *call) {
	if c.done() {
		return // the operator's end of the connection is closed
	}
	s.attemptCall(n, n.incarnation, c, s.now)
}

// attempt goes to the head, or to the tail for a read, and again until the call's time is over.
func (s *simulation) attemptCall(n *simNode, life int, c *call, received time.Duration) {
	if c.done() || !n.up || n.incarnation != life {
		return
	}
	if n.frozen {
		n.queued = append(n.queued, func() { s.attemptCall(n, life, c, received) })
		return
	}
	if s.now-received > simCallTimeout {
		s.finishCall(c, outcomeUnknown)
		return
	}
	view := n.replica.View()
	target := view.Head()
	if c.nextStepReads() {
		target = view.Tail()
	}
	again := func() { s.schedule(simRetryInterval, func() { s.attemptCall(n, life, c, received) }) }
	member, known := view.Member(target)
	switch {
	case !known:
		again()
	case target == n.replica.Self().ID:
		s.serveCall(n, c, again)
	default:
		life := n.incarnation
		answered := false
		retry := func() {
			if !answered && n.incarnation == life {
				answered = true
				again()
			}
		}
		s.send(n, member.Addr, 0, func(to *simNode) {
			s.serveCall(to, c, func() { s.send(to, n.addr, 0, func(*simNode) { retry() }) })
		})
		s.schedule(200*time.Millisecond, retry) // nothing was heard: it is tried again, and may be taken twice
	}
}

// serveCall takes an order or answers a read at the machine that is the head or the tail in its own eyes.
func (s *simulation) serveCall(n *simNode, c *call, again func()) {
	if n.halted {
		again()
		return
	}
	if n.busyUntil > s.now { // its owner waits for the disk
		s.afterDiskWrites(n, func() { s.serveCall(n, c, again) })
		return
	}
	epoch := n.replica.View().Epoch
	if c.nextStepReads() {
		s.serveRead(n, epoch, c, again)
		return
	}
	o := *c.operation
	if s.injected == faultIgnoredBase {
		o.BaseZoneSeq = n.replica.State().ZoneSeq(o.Zone)
	}
	seq, out, err := n.replica.Propose(s.now, &o)
	s.perform(n, out)
	var refused *RefusedError
	switch {
	case errors.As(err, &refused):
		if refused.Verdict == replicated.Outdated {
			s.finishCall(c, outcomeUnknown)
			return
		}
		s.confirmThen(n, epoch, func() { s.finishCall(c, outcomeRefused) }, again)
	case err != nil:
		again()
	default:
		s.awaitCommit(n, s.issuerOf(n), epoch, seq, c, again)
	}
}

// serveRead answers a read at the tail.
func (s *simulation) serveRead(n *simNode, epoch uint64, c *call, again func()) {
	view := n.replica.View()
	if view.Tail() != n.replica.Self().ID {
		again()
		return
	}
	s.confirmThen(n, epoch, func() {
		if c.done() {
			return // it was asked twice, and the first answer counts
		}
		state := n.replica.State()
		if c.operation == nil {
			c.state = state
			s.finishCall(c, outcomeCommitted)
			return
		}
		if !c.baseKnown {
			stamped := *c.operation
			stamped.BaseZoneSeq = state.ZoneSeq(stamped.Zone)
			c.operation, c.baseKnown = &stamped, true
		}
		again()
	}, again)
}

// service is which process, and which replica in it, gave a number out.
type issuer struct {
	incarnation int
	replica     *Replica
}

func (s *simulation) issuerOf(n *simNode) issuer {
	if s.injected == faultAckByNumber {
		return issuer{incarnation: n.incarnation}
	}
	return issuer{n.incarnation, n.replica}
}

// committed waits until a number is committed by the replica, and in the epoch, that gave it out.
func (s *simulation) awaitCommit(n *simNode, at issuer, epoch, seq uint64, c *call, again func()) {
	switch {
	case !n.up || n.incarnation != at.incarnation || c.done():
	case n.frozen:
		n.queued = append(n.queued, func() { s.awaitCommit(n, at, epoch, seq, c, again) })
	case n.halted || n.busyUntil > s.now:
		s.schedule(5*time.Millisecond, func() { s.awaitCommit(n, at, epoch, seq, c, again) })
	case s.issuerOf(n) != at:
		again()
	case n.replica.View().Epoch != epoch:
		again()
	case n.replica.State().Seq >= seq:
		s.confirmThen(n, epoch, func() {
			c.seq = seq
			s.finishCall(c, outcomeCommitted)
		}, again)
	default:
		s.schedule(5*time.Millisecond, func() { s.awaitCommit(n, at, epoch, seq, c, again) })
	}
}

// confirm waits until a majority has confirmed an epoch since now.
func (s *simulation) confirmThen(n *simNode, epoch uint64, then, again func()) {
	if n.halted || n.replica.View().Epoch != epoch {
		again()
		return
	}
	if s.injected == faultUnconfirmedAnswers {
		then()
		return
	}
	nonce, out := n.replica.ConfirmEpoch(s.now)
	if n.onConfirmed == nil {
		n.onConfirmed = map[uint64]func(){}
	}
	n.onConfirmed[nonce] = then
	s.perform(n, out)
	s.schedule(300*time.Millisecond, func() {
		if n.onConfirmed[nonce] != nil {
			delete(n.onConfirmed, nonce)
			again()
		}
	})
}

func (s *simulation) runConfirmed(n *simNode, nonce uint64) {
	if then := n.onConfirmed[nonce]; then != nil {
		delete(n.onConfirmed, nonce)
		then()
	}
}

// end ends a call, whose answer takes its way back to the operator.
func (s *simulation) finishCall(c *call, as outcome) {
	if c.done() {
		return
	}
	c.outcome, c.endedAt = as, s.now
}
