package chain

import (
	"fmt"

	"nettlefold/internal/replicated"
)

// check holds what a machine knows to what others knew: one view per epoch, one operation per number.
func (s *simulation) checkNode(n *simNode) {
	r := n.replica
	view := r.View()
	if text := viewText(&view); s.viewsByEpoch[view.Epoch] == "" {
		s.viewsByEpoch[view.Epoch] = text
	} else if s.viewsByEpoch[view.Epoch] != text {
		s.failf("epoch %d has two views: %s and %s", view.Epoch, s.viewsByEpoch[view.Epoch], text)
	}
	for i := range r.log {
		e := &r.log[i]
		if e.Seq > r.State().Seq {
			break
		}
		if known, ok := s.committedOperations[e.Seq]; ok && known != string(e.Operation) {
			s.failf("number %d is committed with two operations", e.Seq)
		} else if !ok {
			s.committedOperations[e.Seq] = string(e.Operation)
			s.checkOrder(e)
		}
	}
}

func (s *simulation) failf(format string, values ...any) {
	if s.violation == nil {
		s.violation = fmt.Errorf("at %v: "+format, append([]any{s.now}, values...)...)
	}
}

// checkOrder holds a committed evacuation, or its end, to the operator's calls: one of them must have asked for it that was not given up
// before a newer opposite order was sent and acknowledged.
func (s *simulation) checkOrder(e *Entry) {
	o, err := replicated.DecodeOperation(e.Operation)
	if err != nil || o.Kind != replicated.KindEvacuate && o.Kind != replicated.KindRestore {
		return
	}
	for _, c := range s.calls {
		if c.matches(o.Kind, o.Zone) && !s.superseded(c) {
			return
		}
	}
	s.failf("number %d: %s of %s was taken, but every order for it had been given up before a newer opposite one was acknowledged", e.Seq, o.Kind, o.Zone)
}

func (c *call) matches(kind, zone string) bool {
	return c.operation != nil && c.operation.Kind == kind && c.operation.Zone == zone
}

// overtaken tells whether an order was over before an opposite one was sent that is acknowledged by now.
func (s *simulation) superseded(c *call) bool {
	opposite := replicated.KindRestore
	if c.operation.Kind == opposite {
		opposite = replicated.KindEvacuate
	}
	for _, later := range s.calls {
		if later.matches(opposite, c.operation.Zone) && later.outcome == outcomeCommitted && c.done() && later.startedAt > c.endedAt {
			return true
		}
	}
	return false
}
