package mixer

import "math"

// Own is what this mixer knows of one process of a searcher by itself. Nothing that others said is in it.
type Observation struct {
	Searcher     string
	Started      int64 // of the process
	Heard        int64 // its last answer, 0: none
	Pace, Weight float64
	Slow         float64 // Pace over the fleet's, 0 where either is not known
	Suspect      bool
	Cold         bool
	Rate, Loan   float64 // parts per ns of its own cold allowance now, and what it is worth to a borrower for the time asked for
	Want         float64 // parts per ns lately sent there while cold, or that would have been with more
	Traffic      float64 // parts per ns lately sent to each live searcher of its cell: what it would use of a warm one
	Quiet        bool    // nothing was sent there for as long as a cold searcher's window
}

// Tell goes through the listed searchers, cell by cell. Loan holds for the time given, in ns.
func (m *Mixer) Observations(now, within int64, each func(Observation)) {
	fleet := m.pace.Read(now, halfLife, 0, 0)
	for _, cell := range m.cells {
		traffic, live := 0.0, 0
		for _, s := range cell {
			traffic += s.sent.Read(now, paceHalf)
			if s.status == Live {
				live++
			}
		}
		for _, s := range cell {
			if s.status != Live {
				continue
			}
			o := Observation{Searcher: s.id, Started: s.started, Heard: s.heard, Suspect: s.suspect, Weight: s.told.under.Read(now, halfLife)}
			if o.Weight > tiny {
				o.Pace = s.told.Read(now, halfLife, 0, 0)
				if fleet > 0 {
					o.Slow = o.Pace * s.size / fleet
				}
			}
			if o.Cold = m.frac(now, s) < 1; o.Cold {
				o.Rate = m.coldRate(now, s)
				_, o.Loan = m.coldShare(m.bears.Read(now+within, bearHalf), now, s) // it grows warmer meanwhile
				o.Traffic = traffic / float64(live) * math.Ln2 / float64(paceHalf)
				o.Quiet = now-s.sentAt > m.c.FallFor
				o.Want = s.want.Read(now, halfLife) * math.Ln2 / float64(halfLife)
			}
			each(o)
		}
	}
}

// Runs tells whether a process of a searcher is known, or was and something is still out there.
func (m *Mixer) KnowsProcess(searcher string, started int64) bool {
	s := m.searchers[searcher]
	return s != nil && s.started == started
}

// Standing is how a searcher stands with this mixer and why. It answers why it was passed over.
type SearcherState struct {
	Observation
	Status           Status
	Calls, Parts     int     // out there
	Unit, Fleet      float64 // ns a call, with what others say, and the fleet's
	Doubted, Shunned bool    // others hold it silent; it is picked last
	ZoneSilent       bool
	TestIn           int64      // ns until a suspect is due for a test
	ColdWait         int64      // ns until its cold allowance has a part
	Word             PeerReport // what others say, none once it is old
}

// Standing gives how a searcher stands, false where it is not listed.
func (m *Mixer) SearcherState(now int64, searcher string) (SearcherState, bool) {
	s := m.searchers[searcher]
	if s == nil {
		return SearcherState{}, false
	}
	m.call++
	st := SearcherState{Status: s.status, Calls: s.calls, Parts: s.parts, Unit: m.unit(now, s), Fleet: m.pace.Read(now, halfLife, 0, 0) / s.size,
		Doubted: s.doubted(now), Shunned: m.shunned(now, s), ZoneSilent: s.zone.silent(), ColdWait: m.coldWait(now, s), Word: s.said(now)}
	if s.suspect {
		st.TestIn = max(0, s.testAt+s.wait*int64(st.Word.Suspecting)-now)
	}
	st.Observation = Observation{Searcher: s.id, Started: s.started, Heard: s.heard, Suspect: s.suspect, Cold: m.frac(now, s) < 1,
		Pace: s.pace.Read(now, paceHalf, 0, 0), Weight: s.pace.under.Read(now, paceHalf)}
	return st, true
}

// Kept is what a mixer has learnt that means the same to another of the same shape, as its clocks and sizes do.
type Snapshot struct {
	Fleet   Pace   // of all forwards, times the searchers' sizes
	Process []Pace // of each process that answered
}

// Pace is how long forwards took, in ns, over the calls that were out with them, as it weighs at one time.
type Pace struct {
	Searcher    string `json:",omitempty"`
	Started     int64  // of the process
	Took, Calls float64
}

// Keep gives what is worth keeping. What is held against searchers, silence and failures, and what depends on the number of
// mixers and on tariffs is not in it.
func (m *Mixer) Snapshot(now int64) Snapshot {
	k := Snapshot{Fleet: Pace{Took: m.pace.over.Read(now, halfLife), Calls: m.pace.under.Read(now, halfLife)}}
	for _, cell := range m.cells {
		for _, s := range cell {
			if calls := s.pace.under.Read(now, paceHalf); s.status == Live && !s.suspect && calls > tiny {
				k.Process = append(k.Process, Pace{s.id, s.started, s.pace.over.Read(now, paceHalf), calls})
			}
		}
	}
	return k
}

// Resume takes what another kept at a time, as far as the processes still run. It fades from then on as what is learnt does. It
// gives the number of processes that were met again.
func (m *Mixer) Restore(at int64, k Snapshot) (met int) {
	m.call++
	m.pace = DecayingRatio{DecayingSum{k.Fleet.Took, at}, DecayingSum{k.Fleet.Calls, at}}
	for _, p := range k.Process {
		if s := m.searchers[p.Searcher]; s != nil && s.started == p.Started {
			s.pace = DecayingRatio{DecayingSum{p.Took, at}, DecayingSum{p.Calls, at}}
			met++
		}
	}
	return met
}

// PaceHalf is the half-life, in ns, of what is held of a searcher's own pace, and of what was sent there.
const PaceHalfLife = paceHalf

// Use is what the choice of the searchers to use goes by.
type Usage struct {
	Searcher            string
	Started             int64 // of the process
	Suspect, ZoneSilent bool
	SentRate            float64 // parts per ns lately sent there
}

// Use goes through those of some searchers that are listed live.
func (m *Mixer) Usage(now int64, searchers []string, each func(Usage)) {
	for _, id := range searchers {
		if s := m.searchers[id]; s != nil && s.status == Live {
			each(Usage{id, s.started, s.suspect, s.zone.silent(), s.sent.Read(now, paceHalf) * math.Ln2 / float64(paceHalf)})
		}
	}
}
