package mixer

import "slices"

// UpdateList applies changes to the membership list; with full set, entries is the whole list.
func (m *Mixer) UpdateList(now int64, entries []Entry, full bool) {
	m.listFailures = 0
	m.invalidateReviews()
	m.eventCount++
	var changed []*searcher
	if full {
		for _, cell := range m.cells {
			changed = append(changed, cell...)
		}
		for _, s := range changed {
			s.status = Dead
		}
	}
	for _, e := range entries {
		s := m.searchers[e.Searcher]
		if s == nil {
			if e.Status == Dead || e.Cell < 0 || e.Cell >= m.config.Cells {
				continue
			}
			s = &searcher{id: e.Searcher, cell: e.Cell, status: Dead, started: e.Started - 1} // differs: set up below
			m.searchers[e.Searcher] = s
			m.cells[e.Cell] = append(m.cells[e.Cell], s)
		}
		if m.zones[e.Zone] == nil {
			m.zones[e.Zone] = &zone{}
		}
		s.zone, s.status, s.size = m.zones[e.Zone], e.Status, 1
		if m.config.Sized && e.Size > 0 {
			s.size = e.Size
		}
		if s.started != e.Started { // a new process: the old one's statistics do not apply
			s.started, s.unansweredWait, s.suspect, s.probeInterval, s.report = e.Started, 0, false, 0, PeerReport{}
			s.pace, s.recentPace, s.coldDemand, s.coldCredit, s.coldCreditAt =
				DecayingRatio{}, DecayingRatio{}, DecayingSum{}, m.rng.Float64(), now
		}
		changed = append(changed, s)
	}
	for _, s := range changed {
		if len(s.inFlight) > 0 && s.inFlight[0].lost() {
			s.reviewLookups(now)
		}
		m.removeIfGone(s)
	}
}

// removeIfGone drops a dead searcher without forwards in flight, so that replaced machines do not accumulate.
func (m *Mixer) removeIfGone(s *searcher) {
	if s.status == Dead && len(s.inFlight) == 0 && m.searchers[s.id] == s {
		delete(m.searchers, s.id)
		m.cells[s.cell] = slices.DeleteFunc(m.cells[s.cell], func(o *searcher) bool { return o == s })
	}
}

// ListFailed records that a list call failed and schedules the next one with exponential backoff and jitter.
func (m *Mixer) ListFailed(now int64) {
	wait := firstListRetryDelay << min(m.listFailures, 6)
	if m.config.AskWithin > 0 {
		wait = min(wait, m.config.AskWithin/3)
	}
	m.listFailures, m.subscribing = m.listFailures+1, false
	m.env.SetTimer(wait/2+m.rng.Int63n(wait), m)
}

// HandleTimer requests the list unless a request is pending.
func (m *Mixer) HandleTimer(now int64) {
	if !m.subscribing {
		m.subscribing = true
		m.env.Subscribe()
	}
}

// UpdatePeerReports takes peers' reports and loans. They expire: without new ones the mixer acts alone.
func (m *Mixer) UpdatePeerReports(now int64, reports []PeerReport) {
	m.eventCount++
	for _, r := range reports {
		if s := m.searchers[r.Searcher]; s != nil && s.started == r.Started {
			if r.Lent+s.report.Lent > 0 || max(r.AwayUntil, s.report.AwayUntil) > 0 {
				m.coldWait(now, s) // adds up credit under the old loans first
			}
			if now < r.AwayUntil {
				s.coldCredit = 0 // the credit is lent out together with the rate
			}
			if r.Sound && !s.report.Sound && s.suspect {
				s.probeInterval, s.nextProbe = 0, now // it answers others again: probe it at once
			}
			s.report = r
		}
	}
}

// HoldColdAllowance suspends the own cold allowance, which this mixer's previous process may have lent out.
func (m *Mixer) HoldColdAllowance(until int64) { m.coldHeldUntil = until }

// currentReport returns the peer report on the running process, zero once it has expired.
func (s *searcher) currentReport(now int64) (r PeerReport) {
	if now < s.report.Until {
		r = s.report
	}
	return r
}
