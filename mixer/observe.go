package mixer

import "math"

// Observation is what this mixer itself knows about one process of a searcher, without the reports
// of others.
type Observation struct {
	Searcher     string
	Started      int64   // of the process
	Heard        int64   // time of the last answer from it, 0 for none
	Pace, Weight float64 // ns of latency per call in flight, and the decayed number of calls behind it
	Slow         float64 // ratio of Pace to the fleet's, 0 if either is unknown
	Suspect      bool
	Cold         bool
	Rate, Loan   float64 // parts per ns of its own cold allowance now, and for a borrower during the loan
	Want         float64 // demand while cold: parts per ns recently sent there, or not sent for lack of credit
	Traffic      float64 // parts per ns recently sent per live searcher of its cell: what a warm one would receive
	Quiet        bool    // idle: nothing was sent there for the window of the cold allowance
}

// Observations calls visit for every live searcher, cell by cell. Loan is computed for a loan that
// lasts loanFor ns.
func (m *Mixer) Observations(now, loanFor int64, visit func(Observation)) {
	fleet := m.fleetPace.Read(now, loadHalfLife, 0, 0)
	for _, cell := range m.cells {
		traffic, live := 0.0, 0
		for _, s := range cell {
			traffic += s.sentForwards.Read(now, paceHalfLife)
			if s.status == Live {
				live++
			}
		}
		for _, s := range cell {
			if s.status != Live {
				continue
			}
			o := Observation{Searcher: s.id, Started: s.started, Heard: s.lastAnswer, Suspect: s.suspect,
				Weight: s.recentPace.denominator.Read(now, loadHalfLife)}
			if o.Weight > epsilon {
				o.Pace = s.recentPace.Read(now, loadHalfLife, 0, 0)
				if fleet > 0 {
					o.Slow = o.Pace * s.size / fleet
				}
			}
			if o.Cold = m.capacityShare(now, s) < 1; o.Cold {
				o.Rate = m.coldRate(now, s)
				// The warm rate may decay until the loan ends; the capacity share only grows.
				_, o.Loan = m.coldRates(m.warmRate.Read(now+loanFor, warmRateHalfLife), now, s)
				o.Traffic = traffic / float64(live) * math.Ln2 / float64(paceHalfLife)
				o.Quiet = now-s.lastForward > m.config.FallFor
				o.Want = s.coldDemand.Read(now, loadHalfLife) * math.Ln2 / float64(loadHalfLife)
			}
			visit(o)
		}
	}
}

// KnowsProcess reports whether a process of a searcher is listed, or gone with forwards still in
// flight there.
func (m *Mixer) KnowsProcess(searcher string, started int64) bool {
	s := m.searchers[searcher]
	return s != nil && s.started == started
}

// SearcherState is the state of one searcher at this mixer. It explains why the searcher is not picked.
type SearcherState struct {
	Observation
	Status           Status
	Calls, Parts     int     // in flight
	Unit, Fleet      float64 // estimated ns per call in flight, with peer reports; the fleet's, for its size
	Doubted, Shunned bool    // Doubted: reported silent by peers; Shunned: avoided, picked only as a last resort
	ZoneSilent       bool
	TestIn           int64      // ns until a probe of a suspect is allowed
	ColdWait         int64      // ns until its cold allowance permits a part
	Word             PeerReport // the peer report, zero if there is none or it has expired
}

// SearcherState returns the state of a searcher, false if it is not listed.
func (m *Mixer) SearcherState(now int64, searcher string) (SearcherState, bool) {
	s := m.searchers[searcher]
	if s == nil {
		return SearcherState{}, false
	}
	m.eventCount++
	st := SearcherState{Status: s.status, Calls: s.callsOut, Parts: s.partsOut, Unit: m.unitTime(now, s),
		Fleet:   m.fleetPace.Read(now, loadHalfLife, 0, 0) / s.size,
		Doubted: s.reportedSilent(now), Shunned: m.avoided(now, s), ZoneSilent: s.zone.silent(), ColdWait: m.coldWait(now, s), Word: s.currentReport(now)}
	if s.suspect {
		st.TestIn = max(0, s.nextProbe+s.probeInterval*int64(st.Word.Suspecting)-now)
	}
	st.Observation = Observation{Searcher: s.id, Started: s.started, Heard: s.lastAnswer, Suspect: s.suspect,
		Cold: m.capacityShare(now, s) < 1, Pace: s.pace.Read(now, paceHalfLife, 0, 0),
		Weight: s.pace.denominator.Read(now, paceHalfLife)}
	return st, true
}

// Snapshot holds the statistics of a mixer that are valid for another mixer with the same
// cells, sizes and clock.
type Snapshot struct {
	Fleet   Pace   // of the whole fleet, latencies times searcher sizes
	Process []Pace // of each live process that is not suspect
}

// Pace holds the decayed sums of the latency of forwards, in ns, and of the calls in flight with
// them. Its field names are part of the stored JSON: they must not change.
// Took is the sum of the latencies.
type Pace struct {
	Searcher    string `json:",omitempty"`
	Started     int64  // of the process
	Took, Calls float64
}

// Snapshot returns the statistics to store. It omits suspicion and failures, and all that depends
// on the number of mixers or on tariffs.
func (m *Mixer) Snapshot(now int64) Snapshot {
	snapshot := Snapshot{Fleet: Pace{Took: m.fleetPace.numerator.Read(now, loadHalfLife),
		Calls: m.fleetPace.denominator.Read(now, loadHalfLife)}}
	for _, cell := range m.cells {
		for _, s := range cell {
			if calls := s.pace.denominator.Read(now, paceHalfLife); s.status == Live && !s.suspect && calls > epsilon {
				snapshot.Process = append(snapshot.Process, Pace{s.id, s.started, s.pace.numerator.Read(now, paceHalfLife), calls})
			}
		}
	}
	return snapshot
}

// Restore adopts the fleet's statistics and those of the processes that still run from a snapshot
// taken at the time at, from which on they decay. It returns the number of these processes.
func (m *Mixer) Restore(at int64, snapshot Snapshot) (restored int) {
	m.eventCount++
	m.fleetPace = DecayingRatio{DecayingSum{snapshot.Fleet.Took, at}, DecayingSum{snapshot.Fleet.Calls, at}}
	for _, p := range snapshot.Process {
		if s := m.searchers[p.Searcher]; s != nil && s.started == p.Started {
			s.pace = DecayingRatio{DecayingSum{p.Took, at}, DecayingSum{p.Calls, at}}
			restored++
		}
	}
	return restored
}

// PaceHalfLife is the half-life, in ns, of the statistics of one searcher: its pace and the
// forwards sent to it.
const PaceHalfLife = paceHalfLife

// Usage is the input for choosing the subset of searchers to use.
type Usage struct {
	Searcher            string
	Started             int64 // of the process
	Suspect, ZoneSilent bool
	SentRate            float64 // parts per ns recently sent there
}

// Usage calls visit for those of the searchers that are listed as live.
func (m *Mixer) Usage(now int64, searchers []string, visit func(Usage)) {
	for _, id := range searchers {
		if s := m.searchers[id]; s != nil && s.status == Live {
			visit(Usage{id, s.started, s.suspect, s.zone.silent(),
				s.sentForwards.Read(now, paceHalfLife) * math.Ln2 / float64(paceHalfLife)})
		}
	}
}
