package record

import (
	"strconv"

	"nettlefold/mixer"
)

// Mixer is a module whose calls and answers are written down. With no transcript it passes all on as it is; where much is called,
// the values are not even gathered then.
type Mixer struct {
	m      *mixer.Mixer
	t      *Transcript
	floor  mixer.Environment
	owners map[mixer.TimerHandler]int // numbers of whoever a timer was set for
	timers int                        // set so far
}

// Lookup is the handle of one query at a Mixer.
type Lookup struct {
	m      *Mixer
	l      *mixer.Lookup
	number int
}

// New makes a module as mixer.New does, written down in t unless that is nil.
func New(now int64, c mixer.Config, seed int64, floor mixer.Environment, t *Transcript) *Mixer {
	m := &Mixer{t: t, floor: floor}
	if t != nil {
		m.owners, floor = map[mixer.TimerHandler]int{}, written{m}
	}
	t.call("new", now, seed, c)
	m.m = mixer.New(now, c, seed, floor)
	return m
}

// Listed is the module's.
func (m *Mixer) Listed(now int64, rows []mixer.Entry, full bool) {
	if m.t != nil {
		m.t.call("listed", now, full, rows)
	}
	m.m.UpdateList(now, rows, full)
}

// ListRefused is the module's.
func (m *Mixer) ListRefused(now int64) {
	m.t.call("refused", now)
	m.m.ListFailed(now)
}

// Told is the module's.
func (m *Mixer) Told(now int64, words []mixer.PeerReport) {
	if m.t != nil {
		m.t.call("told", now, words)
	}
	m.m.UpdatePeerReports(now, words)
}

// Hold is the module's.
func (m *Mixer) Hold(until int64) {
	m.t.call("hold", until)
	m.m.HoldColdAllowance(until)
}

// Adopt is the module's.
func (m *Mixer) Adopt(now int64, c mixer.Config) {
	m.t.call("adopt", now, c)
	m.m.UpdateConfig(now, c)
}

// Due is the module's, asked by no timer.
func (m *Mixer) HandleTimer(now int64) {
	m.t.call("ask", now)
	m.m.HandleTimer(now)
}

// Tell is the module's; what it tells is written down.
func (m *Mixer) Tell(now, within int64, each func(mixer.Observation)) {
	m.t.call("tell", now, within)
	m.m.Observations(now, within, func(o mixer.Observation) {
		if m.t != nil {
			m.t.did("own", o)
		}
		each(o)
	})
}

// Standing is the module's; its answer is written down.
func (m *Mixer) Standing(now int64, searcher string) (mixer.SearcherState, bool) {
	if m.t != nil {
		m.t.call("standing", now, searcher)
	}
	s, ok := m.m.SearcherState(now, searcher)
	if m.t != nil {
		m.t.did("stands", ok, s)
	}
	return s, ok
}

// Use is the module's. It changes nothing, and what comes of its answer is written down as news of the list.
func (m *Mixer) Use(now int64, searchers []string, each func(mixer.Usage)) {
	m.m.Usage(now, searchers, each)
}

// Keep is the module's; its answer is written down.
func (m *Mixer) Keep(now int64) mixer.Snapshot {
	m.t.call("keep", now)
	k := m.m.Snapshot(now)
	m.t.did("kept", k)
	return k
}

// Resume is the module's; its answer is written down.
func (m *Mixer) Resume(at int64, k mixer.Snapshot) int {
	m.t.call("resume", at, k)
	met := m.m.Restore(at, k)
	m.t.did("met", met)
	return met
}

// Take is the module's; the handle's number is written down.
func (m *Mixer) Take(now int64, a mixer.LookupRequest) *Lookup {
	if m.t != nil {
		m.t.call("take", now, a)
	}
	l := &Lookup{m: m, l: m.m.StartLookup(now, a)}
	if m.t != nil {
		l.number = m.owner(l.l)
		m.t.did("handle", l.number)
	}
	return l
}

// owner gives the number of whom a timer is for: 0 is the mixer, others count from 1 as they are first seen. A query's own timer is
// set while it is taken, so it is seen in the order of taking.
func (m *Mixer) owner(whose mixer.TimerHandler) int {
	if _, is := whose.(*mixer.Mixer); is {
		return 0
	}
	n, known := m.owners[whose]
	if !known {
		n = len(m.owners) + 1
		m.owners[whose] = n
	}
	return n
}

// AddPart is the module's.
func (l *Lookup) AddPart(now int64, p mixer.PartRequest) {
	if l.m.t != nil {
		l.m.t.call("part", now, l.number, p)
	}
	l.l.AddPart(now, p)
}

// Outcome is the module's.
func (l *Lookup) Outcome(now int64, i, copy int, o mixer.Outcome, took int64, over bool) {
	if l.m.t != nil {
		l.m.t.call("outcome", now, l.number, i, copy, int(o), took, over)
	}
	l.l.HandleOutcome(now, i, copy, o, took, over)
}

// Gone is the module's.
func (l *Lookup) Gone(now int64) {
	l.m.t.call("gone", now, l.number)
	l.l.Abandon(now)
}

// due is a timer as the floor gets it.
type due struct {
	m      *Mixer
	number int
	whose  mixer.TimerHandler
}

// Due tells the module of it.
func (d *due) HandleTimer(now int64) {
	d.m.t.call("due", now, d.number)
	d.whose.HandleTimer(now)
}

// written is the floor of a module that is written down.
type written struct{ m *Mixer }

// What follows is mixer.Environment.

func (w written) Forward(part, searcher string, within int64) {
	w.m.t.did("forward", part, searcher, within)
	w.m.floor.Forward(part, searcher, within)
}

func (w written) Cancel(part string, forward int) {
	w.m.t.did("cancel", part, forward)
	w.m.floor.Cancel(part, forward)
}

func (w written) Answer(lookup string, whole bool) {
	w.m.t.did("answer", lookup, whole)
	w.m.floor.Answer(lookup, whole)
}

func (w written) Reject(lookup string, wait int64) {
	w.m.t.did("bounce", lookup, wait)
	w.m.floor.Reject(lookup, wait)
}

func (w written) Fail(lookup string) {
	w.m.t.did("fail", lookup)
	w.m.floor.Fail(lookup)
}

func (w written) CloseIdle(searcher string) {
	w.m.t.did("close", searcher)
	w.m.floor.CloseIdle(searcher)
}

func (w written) SetTimer(after int64, whose mixer.TimerHandler) {
	m := w.m
	m.timers++
	m.t.did("timer", m.timers, m.owner(whose), after)
	m.floor.SetTimer(after, &due{m, m.timers, whose})
}

func (w written) Subscribe() {
	w.m.t.did("subscribe")
	w.m.floor.Subscribe()
}

func (w written) Note(text string) {
	w.m.t.did("note", strconv.Quote(text))
	w.m.floor.Note(text)
}
