package control

// report is what a mixer tells its relay of itself, on its way.
type report struct {
	self  Self
	mark  uint64
	by    *wire // nil: without a session
	ticks int   // until it arrives
}

// report sends a mixer's report where it is to tell one, and delivers the one that has arrived.
func (w *world) report(i int, n *node, f *Follower, tell bool) {
	if tell {
		self, mark := f.Self(w.now())
		n.report = &report{self: self, mark: mark, by: n.wires[0]}
		if w.lag > 0 {
			n.report.ticks = w.random.IntN(w.lag)
		}
	}
	if n.report == nil {
		return
	}
	if n.report.ticks--; n.report.ticks >= 0 {
		return
	}
	arrived := n.report
	n.report = nil
	f.Told(w.now(), arrived.mark, w.deliver(i, n, arrived) && arrived.by == n.wires[0])
}

// deliver gives a mixer's report to the relay of its session, and tells whether that took it.
func (w *world) deliver(i int, n *node, arrived *report) bool {
	c := arrived.by
	if c == nil || !w.reach(i, c.to) || w.nodes[c.to].lives != c.lives[1] {
		return false
	}
	r := w.nodes[c.to]
	if r.relay.Said(w.now(), arrived.self) != nil {
		return false
	}
	if r.newest[arrived.self.InForce] && arrived.self.InForce.Compare(r.good) > 0 {
		r.good = arrived.self.InForce
	}
	for _, s := range []Stamp{arrived.self.InForce, arrived.self.Rejected} {
		if s.Compare(r.told) > 0 {
			r.told = s
		}
	}
	return true
}
