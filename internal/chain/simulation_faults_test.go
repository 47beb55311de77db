package chain

import "time"

// What may happen to the machines and links of a simulated run.

// kill ends a machine's process; its disk stays.
func (s *simulation) kill(addr string) { s.nodes[addr].up = false }

// powerOff ends a machine at once: of the writes that its disk was still at only a beginning is there.
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

// restart starts a machine that was killed, on its disk.
func (s *simulation) restart(addr string) { s.start(s.nodes[addr]) }

func (s *simulation) freeze(addr string) { s.nodes[addr].frozen = true }

func (s *simulation) thaw(addr string) {
	n := s.nodes[addr]
	n.frozen = false
	waits := n.queued
	n.queued = nil
	for _, do := range waits {
		if n.up {
			do()
		}
	}
}

// leave tells a machine to end, as SIGTERM does; it goes when it may, at the latest when its grace is over.
func (s *simulation) leave(addr string, grace time.Duration) {
	n, life, end := s.nodes[addr], s.nodes[addr].incarnation, s.now+grace
	s.perform(n, n.replica.Leave(s.now))
	var look func()
	look = func() {
		if n.incarnation != life || !n.up {
			return
		}
		if s.now >= end || !n.frozen && n.replica.SafeToStop(s.now) {
			s.kill(addr)
			return
		}
		s.schedule(tickInterval, look)
	}
	s.schedule(tickInterval, look)
}

// separate cuts the links from some machines to others, and back unless it is one way only.
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

// heal mends all links. What they held up arrives.
func (s *simulation) heal() {
	clear(s.cutLinks)
	held := s.heldMessages
	s.heldMessages, s.holdMessages = nil, false
	for _, arrive := range held {
		arrive()
	}
}
