package mixer

import "slices"

// Listed takes news of the list: changes, or with full set all of it.
func (m *Mixer) UpdateList(now int64, rows []Entry, full bool) {
	m.refusals = 0
	m.stir()
	m.call++
	var moved []*searcher
	if full {
		for _, cell := range m.cells {
			moved = append(moved, cell...)
		}
		for _, s := range moved {
			s.status = Dead
		}
	}
	for _, e := range rows {
		s := m.searchers[e.Searcher]
		if s == nil {
			if e.Status == Dead || e.Cell < 0 || e.Cell >= m.c.Cells {
				continue
			}
			s = &searcher{id: e.Searcher, cell: e.Cell, status: Dead, started: e.Started - 1} // met as a new process
			m.searchers[e.Searcher] = s
			m.cells[e.Cell] = append(m.cells[e.Cell], s)
		}
		if m.zones[e.Zone] == nil {
			m.zones[e.Zone] = &zone{}
		}
		s.zone, s.status, s.size = m.zones[e.Zone], e.Status, 1
		if m.c.Sized && e.Size > 0 {
			s.size = e.Size
		}
		if s.started != e.Started { // a new process: nothing learnt of the old one holds
			s.started, s.unheard, s.suspect, s.wait, s.word = e.Started, 0, false, 0, PeerReport{}
			s.pace, s.told, s.want, s.credit, s.creditAt = DecayingRatio{}, DecayingRatio{}, DecayingSum{}, m.rng.Float64(), now
		}
		moved = append(moved, s)
	}
	for _, s := range moved {
		if len(s.out) > 0 && s.out[0].lost() {
			s.rouse(now)
		}
		m.forget(s)
	}
}

// forget drops a searcher that is gone once nothing is out there: replaced machines must not pile up.
func (m *Mixer) forget(s *searcher) {
	if s.status == Dead && len(s.out) == 0 && m.searchers[s.id] == s {
		delete(m.searchers, s.id)
		m.cells[s.cell] = slices.DeleteFunc(m.cells[s.cell], func(o *searcher) bool { return o == s })
	}
}

// ListRefused is told that a list call failed. It is asked for again after a growing, jittered wait.
func (m *Mixer) ListFailed(now int64) {
	wait := askFirst << min(m.refusals, 6)
	if m.c.AskWithin > 0 {
		wait = min(wait, m.c.AskWithin/3)
	}
	m.refusals, m.asking = m.refusals+1, false
	m.floor.SetTimer(wait/2+m.rng.Int63n(wait), m)
}

// Due asks for the list.
func (m *Mixer) HandleTimer(now int64) {
	if !m.asking {
		m.asking = true
		m.floor.Subscribe()
	}
}

// Told takes what other mixers say and lend. All of it ends by itself: who hears no more is as one alone.
func (m *Mixer) UpdatePeerReports(now int64, words []PeerReport) {
	m.call++
	for _, w := range words {
		if s := m.searchers[w.Searcher]; s != nil && s.started == w.Started {
			if w.Lent+s.word.Lent > 0 || max(w.AwayUntil, s.word.AwayUntil) > 0 {
				m.coldWait(now, s) // first what was lent and borrowed up to now
			}
			if now < w.AwayUntil {
				s.credit = 0 // what was saved up is lent too
			}
			if w.Sound && !s.word.Sound && s.suspect {
				s.wait, s.testAt = 0, now // it is back for others: the first who may should see for itself
			}
			s.word = w
		}
	}
}

// Hold keeps its own cold allowance back for a while: a mixer started anew may have lent it before.
func (m *Mixer) HoldColdAllowance(until int64) { m.held = until }

// said gives what others say of the process that runs, nothing once it is old.
func (s *searcher) said(now int64) (w PeerReport) {
	if now < s.word.Until {
		w = s.word
	}
	return w
}
