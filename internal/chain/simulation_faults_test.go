package chain

import "time"

// Faults of the nodes and links of a simulation.

// kill ends the process of a node; its disk stays intact.
func (s *simulation) kill(addr string) { s.nodes[addr].up = false }

// powerOff cuts the power of a node: only a prefix of the disk writes in progress survives.
func (s *simulation) powerOff(addr string) {
	n := s.nodes[addr]
	s.kill(addr)
	for _, u := range n.unsynced {
		if u.until <= s.now {
			continue
		}
		n.disk = u.before
		kept := s.random.IntN(len(u.records) + 1)
		n.write(s.injected, u.records[:kept])
		if kept < len(u.records) {
			break
		}
	}
	n.unsynced = nil
}

// restart starts a stopped node from its disk.
func (s *simulation) restart(addr string) { s.start(s.nodes[addr]) }

func (s *simulation) freeze(addr string) { s.nodes[addr].frozen = true }

func (s *simulation) thaw(addr string) {
	n := s.nodes[addr]
	n.frozen = false
	queued := n.queued
	n.queued = nil
	for _, do := range queued {
		if n.up {
			do()
		}
	}
}

// leave shuts a node down gracefully, as SIGTERM does. It ends when it is safe to stop, or when the
// grace period is over.
func (s *simulation) leave(addr string, grace time.Duration) {
	n, incarnation, end := s.nodes[addr], s.nodes[addr].incarnation, s.now+grace
	s.perform(n, n.replica.Leave(s.now))
	var poll func()
	poll = func() {
		if n.incarnation != incarnation || !n.up {
			return
		}
		if s.now >= end || !n.frozen && n.replica.SafeToStop(s.now) {
			s.kill(addr)
			return
		}
		s.schedule(tickInterval, poll)
	}
	s.schedule(tickInterval, poll)
}

// partition cuts the links from one set of nodes to another, and the reverse links unless oneWay is
// set.
func (s *simulation) partition(side, other []string, oneWay bool) {
	for _, a := range side {
		for _, b := range other {
			s.cutLinks[link{a, b}] = true
			if !oneWay {
				s.cutLinks[link{b, a}] = true
			}
		}
	}
}

// heal restores all links and delivers the held messages.
func (s *simulation) heal() {
	clear(s.cutLinks)
	held := s.heldMessages
	s.heldMessages, s.holdMessages = nil, false
	for _, arrive := range held {
		arrive()
	}
}
