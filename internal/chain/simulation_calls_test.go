package chain

import (
	"errors"
	"time"

	"nettlefold/internal/replicated"
)

// The operator's calls of a simulation follow the same steps as submit and read of the controller.

const (
	simCallTimeout   = 900 * time.Millisecond
	simRetryInterval = 20 * time.Millisecond
	// simOperatorTimeout is the time after which the operator abandons a call.
	simOperatorTimeout = time.Second
)

type outcome int

const (
	outcomePending outcome = iota
	outcomeCommitted
	outcomeRefused
	outcomeUnknown
)

// call is one call of the operator to one node.
type call struct {
	operation *replicated.Operation // nil for a read
	contact   string
	startedAt time.Duration
	endedAt   time.Duration
	outcome   outcome
	state     *replicated.State // state that answered a read
	seq       uint64            // sequence number of a committed write
	baseKnown bool              // whether the base of its operation is set
	version   int64             // configuration version that it writes
}

// nextStepReads reports whether the next step of the call is a read: the call is one, or it has to
// read the base of its operation first.
func (c *call) nextStepReads() bool {
	o := c.operation
	return o == nil || !c.baseKnown && (o.Kind == replicated.KindEvacuate || o.Kind == replicated.KindRestore)
}

func (c *call) done() bool { return c.outcome != outcomePending }

func (s *simulation) nextVersion() int64 { return int64(len(s.calls) + 1) }

// submit starts an operator's call that sends an operation to a node.
func (s *simulation) submit(contact string, o *replicated.Operation) *call {
	return s.startCall(&call{operation: o, contact: contact})
}

// read starts an operator's call that reads the newest state through a node.
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

// receiveCall handles a call when it arrives at the contacted node.
func (s *simulation) receiveCall(n *simNode, c *call) {
	if c.done() {
		return // the operator has closed the connection
	}
	s.attemptCall(n, n.incarnation, c, s.now)
}

// attemptCall sends a call to the head, or to the tail for a read, and retries until the call times
// out.
func (s *simulation) attemptCall(n *simNode, incarnation int, c *call, received time.Duration) {
	if c.done() || !n.up || n.incarnation != incarnation {
		return
	}
	if n.frozen {
		n.queued = append(n.queued, func() { s.attemptCall(n, incarnation, c, received) })
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
	again := func() { s.schedule(simRetryInterval, func() { s.attemptCall(n, incarnation, c, received) }) }
	member, known := view.Member(target)
	switch {
	case !known:
		again()
	case target == n.replica.Self().ID:
		s.serveCall(n, c, again)
	default:
		incarnation := n.incarnation
		answered := false
		retry := func() {
			if !answered && n.incarnation == incarnation {
				answered = true
				again()
			}
		}
		s.send(n, member.Addr, 0, func(to *simNode) {
			s.serveCall(to, c, func() { s.send(to, n.addr, 0, func(*simNode) { retry() }) })
		})
		s.schedule(200*time.Millisecond, retry) // no reply: the retry may submit the operation twice
	}
}

// serveCall proposes an operation, or answers a read, at a node that considers itself the head or
// the tail.
func (s *simulation) serveCall(n *simNode, c *call, again func()) {
	if n.halted {
		again()
		return
	}
	if n.busyUntil > s.now { // the replica is blocked by its disk
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
			return // a retry was answered already
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

// issuer identifies the process, and the replica within it, that issued a sequence number.
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

// awaitCommit waits until a sequence number is committed by the replica that issued it, in the
// epoch in which it was issued.
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

// confirmThen runs a function once a majority has confirmed an epoch after the call of confirmThen;
// on failure it retries.
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

// finishCall records the outcome of a call.
func (s *simulation) finishCall(c *call, as outcome) {
	if c.done() {
		return
	}
	c.outcome, c.endedAt = as, s.now
}
