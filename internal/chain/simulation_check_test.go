package chain

import (
	"fmt"

	"nettlefold/internal/replicated"
)

// checkNode compares the state of a node with those of the others: one view per epoch, one
// operation per sequence number.
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
			s.failf("sequence number %d is committed with two operations", e.Seq)
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

// checkOrder checks that a committed evacuation or restoration was requested by an operator's call
// that was not over before a newer, acknowledged call for the opposite was sent.
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
	s.failf("sequence number %d: %s of zone %s was committed, but every call for it was over before a newer, acknowledged call for the opposite", e.Seq, o.Kind, o.Zone)
}

func (c *call) matches(kind, zone string) bool {
	return c.operation != nil && c.operation.Kind == kind && c.operation.Zone == zone
}

// superseded reports whether a call was over before an opposite one was sent that is acknowledged
// by now.
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
