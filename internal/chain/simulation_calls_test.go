package chain

import (
	"errors"
	"time"

	"nettlefold/internal/replicated"
)

// The operator's calls of a simulated run: they go the way that the controller's submit and read go.

const (
	simCallLimit = 900 * time.Millisecond
	simRetry     = 20 * time.Millisecond
	// simPatience is when the operator turns elsewhere.
	simPatience = time.Second
)

type outcome int

const (
	outcomeOpen outcome = iota
	outcomeTaken
	outcomeRefused
	outcomeUnclear
)

// call is one call of the operator at one machine.
type call struct {
	operation *replicated.Operation // nil for a read
	contact   string
	began     time.Duration
	ended     time.Duration
	outcome   outcome
	state     *replicated.State // that a read was answered from
	seq       uint64            // under which an order was taken
	based     bool              // its operation says what it was based on
	version   int64             // of the configuration that it writes
}

// reads tells whether the call's next step is a read: it is one, or must learn first what its order is based on.
func (c *call) reads() bool {
	o := c.operation
	return o == nil || !c.based && (o.Kind == replicated.KindEvacuate || o.Kind == replicated.KindRestore)
}

func (c *call) over() bool { return c.outcome != outcomeOpen }

func (s *simulation) nextVersion() int64 { return int64(len(s.calls) + 1) }

// submit has the operator send an order to a machine.
func (s *simulation) submit(contact string, o *replicated.Operation) *call {
	return s.call(&call{operation: o, contact: contact})
}

// read has the operator read the newest state at a machine.
func (s *simulation) read(contact string) *call { return s.call(&call{contact: contact}) }

func (s *simulation) call(c *call) *call {
	c.began = s.now
	s.calls = append(s.calls, c)
	s.after(s.between(simLinkLow, simLinkHigh), func() {
		n := s.nodes[c.contact]
		if !n.up {
			return
		}
		received := func() { s.received(n, c) }
		if n.frozen {
			n.waits = append(n.waits, received)
			return
		}
		received()
	})
	s.after(simPatience, func() { s.end(c, outcomeUnclear) })
	return c
}

// received is a call's arrival at the machine that the operator chose.
func (s *simulation) received(n *simNode, c *call) {
	if c.over() {
		return // the operator's end of the connection is closed
	}
	s.attempt(n, n.life, c, s.now)
}

// attempt goes to the head, or to the tail for a read, and again until the call's time is over.
func (s *simulation) attempt(n *simNode, life int, c *call, received time.Duration) {
	if c.over() || !n.up || n.life != life {
		return
	}
	if n.frozen {
		n.waits = append(n.waits, func() { s.attempt(n, life, c, received) })
		return
	}
	if s.now-received > simCallLimit {
		s.end(c, outcomeUnclear)
		return
	}
	view := n.replica.View()
	target := view.Head()
	if c.reads() {
		target = view.Tail()
	}
	again := func() { s.after(simRetry, func() { s.attempt(n, life, c, received) }) }
	member, known := view.Member(target)
	switch {
	case !known:
		again()
	case target == n.replica.Self().ID:
		s.serveCall(n, c, again)
	default:
		life := n.life
		answered := false
		retry := func() {
			if !answered && n.life == life {
				answered = true
				again()
			}
		}
		s.send(n, member.Addr, 0, func(to *simNode) {
			s.serveCall(to, c, func() { s.send(to, n.addr, 0, func(*simNode) { retry() }) })
		})
		s.after(200*time.Millisecond, retry) // nothing was heard: it is tried again, and may be taken twice
	}
}

// serveCall takes an order or answers a read at the machine that is the head or the tail in its own eyes.
func (s *simulation) serveCall(n *simNode, c *call, again func()) {
	if n.silent {
		again()
		return
	}
	if n.busy > s.now { // its owner waits for the disk
		s.whenWritten(n, func() { s.serveCall(n, c, again) })
		return
	}
	epoch := n.replica.View().Epoch
	if c.reads() {
		s.serveRead(n, epoch, c, again)
		return
	}
	o := *c.operation
	if s.fault == ordersUnbased {
		o.BaseZoneSeq = n.replica.State().ZoneSeq(o.Zone)
	}
	seq, out, err := n.replica.Propose(s.now, &o)
	s.perform(n, out)
	var refused *RefusedError
	switch {
	case errors.As(err, &refused):
		if refused.Verdict == replicated.Outdated {
			s.end(c, outcomeUnclear)
			return
		}
		s.confirm(n, epoch, func() { s.end(c, outcomeRefused) }, again)
	case err != nil:
		again()
	default:
		s.committed(n, s.serviceOf(n), epoch, seq, c, again)
	}
}

// serveRead answers a read at the tail.
func (s *simulation) serveRead(n *simNode, epoch uint64, c *call, again func()) {
	view := n.replica.View()
	if view.Tail() != n.replica.Self().ID {
		again()
		return
	}
	s.confirm(n, epoch, func() {
		if c.over() {
			return // it was asked twice, and the first answer counts
		}
		state := n.replica.State()
		if c.operation == nil {
			c.state = state
			s.end(c, outcomeTaken)
			return
		}
		if !c.based {
			stamped := *c.operation
			stamped.BaseZoneSeq = state.ZoneSeq(stamped.Zone)
			c.operation, c.based = &stamped, true
		}
		again()
	}, again)
}

// service is which process, and which replica in it, gave a number out.
type service struct {
	life    int
	replica *Replica
}

func (s *simulation) serviceOf(n *simNode) service {
	if s.fault == acksByNumber {
		return service{life: n.life}
	}
	return service{n.life, n.replica}
}

// committed waits until a number is committed by the replica, and in the epoch, that gave it out.
func (s *simulation) committed(n *simNode, at service, epoch, seq uint64, c *call, again func()) {
	switch {
	case !n.up || n.life != at.life || c.over():
	case n.frozen:
		n.waits = append(n.waits, func() { s.committed(n, at, epoch, seq, c, again) })
	case n.silent || n.busy > s.now:
		s.after(5*time.Millisecond, func() { s.committed(n, at, epoch, seq, c, again) })
	case s.serviceOf(n) != at:
		again()
	case n.replica.View().Epoch != epoch:
		again()
	case n.replica.State().Seq >= seq:
		s.confirm(n, epoch, func() {
			c.seq = seq
			s.end(c, outcomeTaken)
		}, again)
	default:
		s.after(5*time.Millisecond, func() { s.committed(n, at, epoch, seq, c, again) })
	}
}

// confirm waits until a majority has confirmed an epoch since now.
func (s *simulation) confirm(n *simNode, epoch uint64, then, again func()) {
	if n.silent || n.replica.View().Epoch != epoch {
		again()
		return
	}
	if s.fault == answersUnconfirmed {
		then()
		return
	}
	nonce, out := n.replica.Confirm(s.now)
	if n.confirms == nil {
		n.confirms = map[uint64]func(){}
	}
	n.confirms[nonce] = then
	s.perform(n, out)
	s.after(300*time.Millisecond, func() {
		if n.confirms[nonce] != nil {
			delete(n.confirms, nonce)
			again()
		}
	})
}

func (s *simulation) confirmed(n *simNode, nonce uint64) {
	if then := n.confirms[nonce]; then != nil {
		delete(n.confirms, nonce)
		then()
	}
}

// end ends a call, whose answer takes its way back to the operator.
func (s *simulation) end(c *call, as outcome) {
	if c.over() {
		return
	}
	c.outcome, c.ended = as, s.now
}
