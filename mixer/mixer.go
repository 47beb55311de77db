// Package mixer decides how lookups are served from many searchers.
//
// How it is called: New makes a mixer; Listed and ListRefused bring news of the list; Take gives a lookup's
// handle, AddPart hands over its parts, Outcome tells how a forward ended, Gone that the client has left; Due
// comes with a timer, Told with what other mixers say. Calls come in the clock's order. It acts by Floor.
//
// The ordinary path is water-filling: exactly as many parts as make the answer whole, each to the holder
// with the fewest calls of this mixer out, the count raised after each pick. docs/design.md says what is
// added to it, when and why. Read review first: it is where every lookup moves on.
package mixer

import (
	"cmp"
	"math"
	"math/rand"
	"slices"
)

const (
	ms = int64(1_000_000)

	halfLife    = 4000 * ms  // ns; sums follow a change of load within seconds, yet hold some tens of forwards
	paceHalf    = 16000 * ms // ns; a searcher's own pace: sparse mixers meet each only every ten seconds or so
	lean        = 1.5        // calls; how much of the fleet's figure is blended into a searcher's own
	lostTimes   = 2.0        // how much longer a forward is held to take than it waited before it timed out
	lateSpread  = 4.0        // deviations above the mean from which a forward is late; at 1.25 copies feed jams
	silentTimes = 8.0        // means that forwards wait in all, unanswered, that make a searcher suspect
	goneTimes   = 5.0        // means after which one such forward is sent again; at 3 sound ones are, in jams
	failedTimes = 3.0        // means for which a failure counts: three in a row tell
	erredTimes  = 1.0        // means for which an error counts: it is there and may serve the next one
	lineLate    = 2.5        // means after which a forward without any answer since counts as lost on its line
	testFirst   = 0.4        // of the longest expected time, before a suspect's first test; then doubled
	testLast    = 3.2        // of the same, at most; a searcher that is back is missed for about this long
	tookGuess   = 0.125      // of the expected time, what a forward is held to take until some have come
	bearGuess   = 0.25       // of the longest, in which a warm one bears a part: a guess to begin a cold fleet
	bearHalf    = 60000 * ms // ns; machines change slowly, a jam or a lull lasts less
	coldMargin  = 0.8        // of what a cold searcher bears, the part that the mixers together allow themselves
	coldSpread  = 2.0        // deviations kept for what chance adds in a window; at 3 newcomers idle in releases
	room        = 0.33       // of the time left, what a lookup may be predicted to take; 0.2 idles, 0.42 jams
	secondStep  = 1.6        // of the first, how long both steps take: the second asks less of each part
	adviceShare = 0.08       // of the time left, the wait advised to a client turned away at taking
	copyShare   = 0.15       // copies for each forward when idle; more do not shorten lookups further
	copyEase    = 2.5        // how fast that share fades as forwards take more of the expected time
	lookAgain   = 50 * ms    // ns; pause before a part that no holder may take is looked at again
	endMargin   = 8 * ms     // ns; an ending is sent this early, to arrive in time
	zoneLost    = 3          // forwards lost in a row, with no answer from a whole zone, that make it silent
	testFloor   = 0.5        // such tests that are always allowed, faded: one in four seconds or so
	testShare   = 0.03       // of forwards, those that test suspects and silent zones; each may delay a lookup
	askFirst    = 500 * ms   // ns; first wait after a refused list call, doubled up to a third of AskWithin
	crossing    = 16.0       // share of a forward's time that a price of 1 on crossing zones is worth
	lineHalf    = 8000 * ms  // ns; how long what was learnt of idle connections holds
	lineTimes   = 2.0        // of what new connections lose, idle ones may: new ones are few to judge by
	lineLost    = 1.0        // forwards lost on idle connections, beyond what new ones lose, that close them
	lentSpread  = 1.0        // deviations, of those kept for chance, that are lent: a steady rate needs less
	wordMost    = 12.0       // calls that others' word weighs at most; 4 leave old answers in front
	lastChance  = 2.5        // means that are left, when a part that may have one forward out goes elsewhere
	backTimes   = 0.7        // of the time left, what it may be predicted to take there
	shareLean   = 1.0        // lookups, held in a customer's favour and against it: each mixer sees few of it
	tiny        = 1e-6       // weights may fall short by rounding
)

// Mixer is one mixer. It shares nothing with others but by Told and Tell.
type Mixer struct {
	c         Charter
	floor     Floor
	rng       *rand.Rand
	rows      []Spread // by tariff, how long its forwards take
	searchers map[string]*searcher
	cells     [][]*searcher // by cell, in the order first listed

	pace                Ratio // of the whole fleet: how long forwards took, times size, over the calls out there
	zones               map[string]*zone
	sent, copies, tests Decay   // forwards, copies and tests among them
	idle, anew          Ratio   // forwards lost over sent, on connections that lay idle, on new ones
	taken, spent        []int64 // when lookups and parts were taken and further forwards made, for the budget
	borne, bears        Decay   // answers of warm searchers, parts per ns this mixer may count on of one
	heard               int64   // last answer of any searcher
	asking              bool    // a list call is out or the subscription runs
	long                float64 // ns, the longest expected time
	refusals            int
	customers           []Decay // lookups taken of each, the first of those who are not told
	held                int64   // until then its own cold allowance may still be lent from before its start
}

// zone is what is known of a place: its last answer, and how many forwards sent since were lost.
type zone struct{ heard, missed int64 }

func (z *zone) silent() bool { return z.missed >= zoneLost }

// searcher is one machine of the list.
type searcher struct {
	id           string
	cell         int
	size         float64 // by the list, 1 where that does not tell
	zone         *zone
	status       Status
	started      int64
	calls, parts int     // this mixer's calls out, which water-filling levels, and the parts in them
	call         *call   // the newest
	pace, told   Ratio   // of its answers, and of the newest, which others are told
	heard        int64   // last answer
	unheard      int64   // what forwards sent since have waited in vain
	suspect      bool    // not to be picked but for a test
	wait, testAt int64   // before the next test, and when that is
	credit       float64 // cold: of one part, how much may be sent, and up to when that was reckoned
	creditAt     int64
	sentAt       int64 // last forward
	out          []*forward
	word         Word  // of others, on the process named there
	want, sent   Decay // cold: forwards sent there, and those that would have been with credit; all forwards
}

// call is what travels together to one searcher.
type call struct{ at, size, left int64 }

// forward is one try of a part.
type forward struct {
	part      *part
	s         *searcher
	call      *call
	count     int   // calls out there, with its own
	process   int64 // start of the process it went to
	sent      int64
	done, ran bool   // has its outcome; may have run
	gone      bool   // waited for no more
	recalled  bool   // withdrawn, to be sent again elsewhere when that has its outcome
	line      *Ratio // nil where the connection was in use
	missed    int64  // when it was counted as lost by line and zone, 0 if it was not
}

// cut tells whether no answer can come: its process is gone, or its whole zone is silent.
func (f *forward) cut() bool {
	mute := f.s.zone.silent() && f.sent >= f.s.zone.heard
	return f.s.status == Dead || f.process != f.s.started || mute
}

// lost tells whether no answer is waited for any more, though none has come: besides, it is out for long with
// nothing heard since, or its searcher is suspect.
func (f *forward) lost() bool { return f.gone || f.s.suspect || f.cut() }

func (f *forward) out() bool    { return !f.done }
func (f *forward) mayRun() bool { return !f.done || f.ran }

type part struct {
	Piece
	l        *Lookup
	in, over bool
	forwards []*forward
}

// Lookup is the handle of one lookup.
type Lookup struct {
	m       *Mixer
	ask     Ask
	t       *Tariff
	parts   []*part
	step    int // first part of the step at hand
	expect  int // parts there are once the step is complete
	need    float64
	end     int64 // when its full revenue ends; it is given up then
	wake    int64 // when it is looked at next
	planned bool  // the step's parts have come
	ended   bool
}

// New makes a mixer.
func New(now int64, c Charter, seed int64, floor Floor) *Mixer {
	m := &Mixer{c: c, floor: floor, rng: rand.New(rand.NewSource(seed)), rows: make([]Spread, len(c.Tariffs))}
	m.customers = make([]Decay, 1+len(c.Allowances))
	m.cells, m.searchers, m.zones = make([][]*searcher, c.Cells), map[string]*searcher{}, map[string]*zone{}
	t := slices.MaxFunc(c.Tariffs, func(a, b Tariff) int { return cmp.Compare(a.Expected, b.Expected) })
	m.long = float64(max(t.Expected, ms))
	m.bears = Decay{1 / (bearGuess * m.long) / float64(c.Mixers), now}
	if c.ListAsked {
		m.Due(now)
	}
	return m
}

// Listed takes news of the list: changes, or with full set all of it.
func (m *Mixer) Listed(now int64, rows []Entry, full bool) {
	m.refusals = 0
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
		m.zones[e.Zone] = cmp.Or(m.zones[e.Zone], &zone{})
		s.zone, s.status, s.size = m.zones[e.Zone], e.Status, 1
		if m.c.Sized && e.Size > 0 {
			s.size = e.Size
		}
		if s.started != e.Started { // a new process: nothing learnt of the old one holds
			s.started, s.unheard, s.suspect, s.wait, s.word = e.Started, 0, false, 0, Word{}
			s.pace, s.told, s.want, s.credit, s.creditAt = Ratio{}, Ratio{}, Decay{}, m.rng.Float64(), now
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

// Told takes what other mixers say and lend. All of it ends by itself: who hears no more is as one alone.
func (m *Mixer) Told(now int64, words []Word) {
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

// Hold keeps the mixer's own cold allowance back for a while. It guards against a mixer started anew that
// would spend what it lent before.
func (m *Mixer) Hold(until int64) { m.held = until }

// said gives what others say of the process that runs, nothing once it is old.
func (s *searcher) said(now int64) (w Word) {
	if now < s.word.Until {
		w = s.word
	}
	return w
}

// doubted tells whether others hold s silent, and it has not answered this mixer since.
func (s *searcher) doubted(now int64) bool {
	w := s.said(now)
	return w.Silent && s.heard < w.At
}

// due tells whether a suspect may be tested. Mixers that suspect it together test it as often as one alone.
func (s *searcher) due(now int64) bool {
	return now >= s.testAt+s.wait*int64(s.said(now).Suspecting)
}

// ListRefused is told that a list call failed. It is asked for again after a growing, jittered wait.
func (m *Mixer) ListRefused(now int64) {
	wait := askFirst << min(m.refusals, 6)
	if m.c.AskWithin > 0 {
		wait = min(wait, m.c.AskWithin/3)
	}
	m.refusals, m.asking = m.refusals+1, false
	m.floor.Timer(wait/2+m.rng.Int63n(wait), m)
}

// Due asks for the list.
func (m *Mixer) Due(now int64) {
	if !m.asking {
		m.asking = true
		m.floor.Subscribe()
	}
}

// Take takes a lookup. It is planned once its parts have come.
func (m *Mixer) Take(now int64, a Ask) *Lookup {
	t := &m.c.Tariffs[a.Tariff]
	m.slide(now)
	m.taken = append(m.taken, now)
	m.customers[a.Customer].Add(now, 1, halfLife)
	asked := now
	if a.Again { // it has waited since its first try; NotAfter is what its patience leaves
		asked = min(now, a.NotAfter-t.Patience)
	}
	end := min(a.NotAfter, asked+t.Expected) - endMargin
	l := &Lookup{m: m, ask: a, t: t, expect: a.Parts, need: t.CompleteFrom, end: end}
	l.rouse(now, end) // whatever else is lost, parts that never come or a late timer, this look ends it
	return l
}

// AddPart hands over one part of the step at hand.
func (l *Lookup) AddPart(now int64, p Piece) {
	l.m.taken = append(l.m.taken, now)
	if l.ended {
		return
	}
	l.parts = append(l.parts, &part{Piece: p, l: l})
	if len(l.parts) < l.expect {
		return
	}
	l.planned = true
	if l.step == 0 && l.hopeless(now) {
		l.giveUp(now, 0)
	} else {
		l.review(now)
	}
}

// hopeless decides at taking if the lookup can still be satisfied. It guards against overload, of the fleet
// or of a few slices, whatever the cause: work that comes too late keeps other work from being in time.
func (l *Lookup) hopeless(now int64) bool {
	m := l.m
	times, fleet := make([]float64, len(l.parts)), m.pace.Read(now, halfLife, 0, 0)
	worth := 1.0
	if c := l.ask.Customer; c > 0 { // who goes beyond its share is turned away first
		fair := m.c.Allowances[c-1] / float64(m.c.Mixers) / 1e9 * float64(halfLife) / math.Ln2
		over := (m.customers[c].Read(now, halfLife) + shareLean) / (fair + shareLean)
		worth = m.c.OverWorth + (1-m.c.OverWorth)/max(1, over)
	}
	for i, p := range l.parts {
		times[i] = math.Inf(1)
		m.holders(now, p, func(s *searcher) {
			if !m.shunned(now, s) {
				// What was learnt long ago, of s or of all, must not keep away the lookups that would show it is over.
				on := fleet / s.size
				unit := on*m.pace.Fade(now, halfLife) + (m.unit(now, s)-on)*s.pace.Fade(now, halfLife)
				took := unit * float64(s.calls+1)
				times[i] = min(times[i], float64(m.coldWait(now, s))+took)
			}
		})
	}
	slices.Sort(times)
	time := times[max(int(math.Ceil(l.need*float64(len(times))-tiny)), 1)-1]
	if l.t.SecondStep > 0 {
		time *= secondStep
	}
	return time > room*worth*float64(l.end-now)
}

// unit is what forwards to s lately took for each call out with them, leaning on the fleet's figure where
// s has shown little. Times the calls that a new forward joins, it is the time it is likely to take.
// What others say of it stands for the fleet's, and weighs more than what s showed this mixer before.
func (m *Mixer) unit(now int64, s *searcher) float64 {
	on, weight := m.pace.Read(now, halfLife, 0, 0)/s.size, lean
	if w := s.said(now); w.Slow > 0 {
		if on *= w.Slow; s.heard < w.At {
			weight += min(w.Weight, wordMost) + s.pace.under.Read(now, paceHalf)
		}
	}
	return s.pace.Read(now, paceHalf, on, weight)
}

// Gone is told that the client left.
func (l *Lookup) Gone(now int64) { l.ended = true }

// Due looks at the lookup again.
func (l *Lookup) Due(now int64) {
	l.wake = 0
	l.review(now)
}

// Outcome is told how a forward of part i ended.
func (l *Lookup) Outcome(now int64, i, copy int, o Outcome, took int64, over bool) {
	p := l.parts[i]
	f := p.forwards[copy]
	f.done, f.ran = true, !o.NeverRan()
	l.m.settle(now, f, o, took)
	p.in, p.over = p.in || o == Satisfied, p.over || over
	l.review(now)
}

// settle takes a forward off its searcher's count and learns from it.
func (m *Mixer) settle(now int64, f *forward, o Outcome, took int64) {
	s := f.s
	s.parts--
	if f.call.left--; f.call.left == 0 {
		s.calls--
	}
	s.out = slices.DeleteFunc(s.out, func(g *forward) bool { return g == f })
	m.forget(s)
	if o == Reset || o == Unreached || o == TimedOut && s.heard <= f.sent {
		f.miss(now)
	}
	switch o {
	case TimedOut, Cancelled:
		// Guards against searchers too slow to answer in time, no answer of which ever tells how slow.
		if mean, _ := m.typical(now, f.part.l); o == TimedOut || float64(took) > mean {
			s.learn(now, lostTimes*float64(took), f.count)
		}
		if s.heard <= f.sent {
			s.unheard += took
			m.hearken(now, f.part)
		}
	case Satisfied:
		s.heard, s.unheard, s.suspect, s.wait = now, 0, false, 0
		if mean, _ := m.typical(now, f.part.l); float64(took) <= lineLate*mean { // a late one tells no zone well
			m.heard, s.zone.heard, s.zone.missed = now, now, 0
		}
		if f.missed > 0 && f.line != nil { // only late: else heavy parts on sound days cost a connection each
			f.line.Undo(now, f.missed, 1, lineHalf)
		}
		if m.frac(now, s) == 1 {
			m.borne.Add(now, 1, halfLife)
		}
		m.pace.Add(now, float64(took)*s.size, float64(f.count), halfLife)
		s.learn(now, float64(took), f.count)
		m.rows[f.part.l.ask.Tariff].Add(now, float64(took), halfLife)
		m.measure(now)
	case Errored, Bounced, Unreached, Reset:
		// Guards against one that fails fast, whose count near zero would draw every pick, or turns away.
		mean, _ := m.typical(now, f.part.l)
		if s.unheard += int64(failedTimes * mean); o == Errored {
			s.unheard -= int64((failedTimes - erredTimes) * mean)
		}
		s.learn(now, failedTimes*mean*float64(f.count), f.count)
	}
}

func (s *searcher) learn(now int64, time float64, calls int) {
	s.pace.Add(now, time, float64(calls), paceHalf)
	s.told.Add(now, time, float64(calls), halfLife)
}

// typical gives mean and deviation of how long the tariff's forwards lately took, a guess when none did.
func (m *Mixer) typical(now int64, l *Lookup) (mean, dev float64) {
	n, mean, dev := m.rows[l.ask.Tariff].Read(now, halfLife)
	if n < tiny {
		return tookGuess * float64(l.t.Expected), 0
	}
	return mean, dev
}

// hearken judges searchers not by the list: when forwards to one since its last answer have waited, added up,
// for several times what they take, it is suspect. One alone may be slow or heavy and has to wait longer.
func (m *Mixer) hearken(now int64, p *part) {
	mean, _ := m.typical(now, p.l)
	for _, f := range p.forwards {
		if s := f.s; !s.suspect && s.heard <= f.sent {
			silence := s.unheard
			for _, g := range s.out {
				if g.sent >= s.heard {
					silence += now - g.sent
				}
			}
			if float64(now-f.sent) > lineLate*mean && !f.done {
				f.miss(now)
			}
			f.gone = f.gone || float64(now-f.sent) > goneTimes*mean
			if float64(silence) > silentTimes*mean {
				m.distrust(now, s)
			}
		}
	}
}

// distrust keeps a searcher from being picked, but for a test, until it answers.
func (m *Mixer) distrust(now int64, s *searcher) {
	s.wait = int64(min(max(2*float64(s.wait), testFirst*m.long), testLast*m.long))
	s.testAt = now + s.wait/2 + m.rng.Int63n(s.wait)
	if !s.suspect {
		s.suspect = true
		s.rouse(now)
	}
}

func (s *searcher) rouse(now int64) {
	for _, f := range s.out {
		f.part.l.rouse(now, now)
	}
}

// frac is the least share of its capacity a searcher has now.
func (m *Mixer) frac(now int64, s *searcher) float64 {
	if s.started == 0 || now-s.started >= m.c.ColdFor {
		return 1
	}
	return m.c.ColdFrom + (1-m.c.ColdFrom)*max(0, float64(now-s.started)/float64(m.c.ColdFor))
}

// coldWait is how long s must still be spared while cold. This mixer saves up for one part at a time, from a
// chance point of the way on: else every mixer has a first part for a newcomer at once.
func (m *Mixer) coldWait(now int64, s *searcher) int64 {
	if m.frac(now, s) == 1 {
		return 0
	}
	own, w := m.coldRate((s.creditAt+now)/2, s), s.word
	over := func(until int64) float64 { return float64(max(0, min(now, until)-s.creditAt)) }
	back := max(s.creditAt, min(now, max(m.held, w.AwayUntil))) // from when on its own share is not lent
	s.credit = min(1, s.credit+own*float64(now-back)+w.Lent*over(w.LentUntil))
	if s.creditAt = now; s.credit >= 1 {
		return 0
	}
	rate := m.coldRate(now, s)
	if now < w.LentUntil {
		rate += w.Lent
	}
	return int64(min(float64(s.started+m.c.ColdFor-now), (1-s.credit)/rate+float64(max(0, w.AwayUntil-now))))
}

// coldRate is how many parts per ns this mixer may send to s while cold. All mixers together may send what
// fills coldMargin of a window, which is frac of what a warm searcher bears, times the multiple. What many
// send is spread by chance, so they aim lower by coldSpread deviations; a few cannot exceed one part each.
func (m *Mixer) coldRate(now int64, s *searcher) float64 {
	rate, _ := m.coldShare(m.bears.Read(now, bearHalf), now, s)
	return rate
}

// coldShare gives that rate, and what of it and of its room for chance it is worth to a borrower: who lends
// sends nothing itself, so its one part saved up is free in each window, and a borrower's steady rate needs
// less room for chance.
func (m *Mixer) coldShare(bears float64, now int64, s *searcher) (rate, loan float64) {
	mixers, window := float64(m.c.Mixers), float64(max(m.c.FallFor, ms))
	most := bears * mixers * m.frac(now, s) * m.c.FallMultiple * coldMargin * window
	spread := math.Sqrt(most+coldSpread*coldSpread/4) - coldSpread/2
	rate = max(spread*spread, min(most, mixers*math.Floor((most+1)/mixers))) / mixers / window
	return rate, max(rate, min(spread*(spread+lentSpread)/mixers/window, rate+1/window))
}

// measure learns this mixer's share of what a warm searcher bears: at least what warm ones answer it on the
// average, and one part in the time that one takes, shared. What they bore before a jam they can bear again.
func (m *Mixer) measure(now int64) {
	rate := m.borne.Read(now, halfLife) * math.Ln2 / float64(halfLife) / float64(len(m.searchers))
	for i := range m.rows {
		if _, mean, _ := m.rows[i].Read(now, halfLife); mean > 0 {
			rate = max(rate, 1/mean/float64(m.c.Mixers))
		}
	}
	m.bears = Decay{max(rate, m.bears.Read(now, bearHalf)), now}
}

// review is the one place where a lookup moves on: it answers, ends, forwards, and sets the next look.
func (l *Lookup) review(now int64) {
	m, step := l.m, l.parts[l.step:]
	if l.ended || !l.planned && now < l.end {
		return
	}
	in := 0.0
	for _, p := range step {
		if p.in {
			in += p.Weight
		}
	}
	if l.planned && in >= l.need-tiny {
		l.answer(now)
		return
	}
	live, onTime, next, hope := in, in, l.end, in
	for _, p := range step {
		if p.in {
			continue
		}
		m.hearken(now, p)
		if !l.barred(now, p) || slices.ContainsFunc(p.forwards, (*forward).out) {
			hope += p.Weight
		}
		if sent := p.lastOut(now); sent > 0 {
			live += p.Weight
			if at := l.lateAt(now, sent); at > now {
				onTime += p.Weight
				next = min(next, at)
			}
		}
	}
	if now >= l.end || hope < l.need-tiny { // where enough parts have failed for good, others may still serve it
		l.giveUp(now, in)
		return
	}
	var picks []*forward
	for onTime < l.need-tiny {
		copy := live >= l.need-tiny // all that is needed is out, but some of it is late
		p, to := l.pick(now, copy)
		if p == nil {
			next = min(next, now+lookAgain)
			break
		}
		if onTime += p.Weight; copy {
			m.copies.Add(now, 1, halfLife)
		} else {
			live += p.Weight
		}
		if f := p.bound(); f != nil { // sent again when its withdrawal is in
			f.recalled = true
			m.floor.Cancel(p.ID, len(p.forwards)-1)
		} else {
			picks = append(picks, l.send(now, p, to))
		}
	}
	for _, f := range picks {
		m.floor.Forward(f.part.ID, f.s.id, l.end-now)
		next = min(next, l.lateAt(now, now))
		test := f.s.suspect && !m.shunned(now, f.s) // no last resort: those would use up the tests
		if test || f.s.zone.silent() {
			m.tests.Add(now, 1, halfLife)
		}
		if f.s.suspect {
			next = now
			if test {
				m.distrust(now, f.s)
			}
		}
	}
	l.rouse(now, next)
}

func (l *Lookup) rouse(now, at int64) {
	if at = max(at, now+1); l.wake == 0 || at < l.wake {
		l.wake = at
		l.m.floor.Timer(at-now, l)
	}
}

// lastOut gives when the newest forward that may still bring an answer was sent, 0 if there is none.
func (p *part) lastOut(now int64) (sent int64) {
	for _, f := range p.forwards {
		if !f.done && (f.recalled || f.sent == now) {
			return now // it goes out again at once, or just went
		}
		if !f.done && !f.lost() {
			sent = max(sent, f.sent)
		}
	}
	return sent
}

// bound gives what is out of a part where that keeps it from going elsewhere, as two may not be out at once.
func (p *part) bound() *forward {
	n := len(p.forwards) - 1
	if p.l.m.c.MayCopy || n < 0 || p.forwards[n].done {
		return nil
	}
	return p.forwards[n]
}

// lateAt gives when a forward sent at a time is late against what the tariff's forwards lately took.
func (l *Lookup) lateAt(now, sent int64) int64 {
	mean, dev := l.m.typical(now, l)
	return sent + int64(mean+lateSpread*max(dev, mean/4))
}

// mayCopy is the allowance for copies. It fades as forwards take more of the expected time, or jams are fed.
func (m *Mixer) mayCopy(now int64, l *Lookup) bool {
	mean, _ := m.typical(now, l)
	ease := 1 - copyEase*mean/float64(l.t.Expected)
	return ease > 0 && m.copies.Read(now, halfLife) <= copyShare*ease*m.sent.Read(now, halfLife)
}

// holders goes through the searchers that may serve a part, now or when their cold allowance next does.
func (m *Mixer) holders(now int64, p *part, each func(*searcher)) {
	for j := range m.c.Reach {
		for _, s := range m.cells[(p.Slice+j)%m.c.Cells] {
			if s.status == Live && (!s.suspect || s.due(now) || len(s.out) == 0) {
				each(s)
			}
		}
	}
}

// pick water-fills one forward: of all parts not yet served and all their holders it takes the least
// count, and the count rises with the pick. Unasked parts come before repeats, equals are ordered by what
// is known beyond the count, and then by chance.
func (l *Lookup) pick(now int64, copy bool) (best *part, to *searcher) {
	m, left := l.m, float64(l.end-now)
	if copy && !m.mayCopy(now, l) {
		return nil, nil
	}
	mean, _ := m.typical(now, l)
	var want *searcher // want is cold and would be picked if it had credit
	var least, wanted [5]float64
	for _, p := range l.parts[l.step:] {
		if p.in || !l.maySend(now, p) {
			continue
		}
		if out := p.lastOut(now); out > 0 && (!copy || l.lateAt(now, out) > now) {
			continue
		}
		bound := p.bound()
		if bound != nil && !bound.cut() && left > lastChance*mean {
			continue // its answer may be near, and what is withdrawn may be worked on all the same
		}
		m.holders(now, p, func(s *searcher) {
			if slices.ContainsFunc(p.forwards, func(f *forward) bool { return f.s == s }) {
				return
			}
			key := [5]float64{1: float64(min(1, len(p.forwards))), 2: float64(s.calls), 4: float64(p.Effort)}
			unit := m.unit(now, s)
			if len(s.out) > 0 { // at least what the oldest out there has waited
				unit = max(unit, float64(now-s.out[0].sent)/float64(s.out[0].count))
			}
			key[3] = unit * float64(s.parts+1)
			if bound != nil && (m.shunned(now, s) || key[3] > backTimes*left) {
				return // no better than where it is
			}
			if s.zone != m.zones[m.c.Zone] { // weighed against time by what crossing costs
				key[3] *= 1 + crossing*m.c.CrossPrice
			}
			if m.shunned(now, s) {
				key[0] = 1 // nobody better holds it
			} else if s.suspect {
				key[0] = -1 // the one test, backed by a copy as soon as the lookup is looked at again
			}
			if m.coldWait(now, s) > 0 {
				if want == nil || slices.Compare(key[:], wanted[:]) < 0 {
					want, wanted = s, key
				}
				return
			}
			c := slices.Compare(key[:], least[:])
			if best == nil || c < 0 || c == 0 && m.rng.Intn(2) == 0 {
				best, to, least = p, s, key
			}
		})
	}
	if want != nil && (best == nil || slices.Compare(wanted[:], least[:]) < 0) {
		want.want.Add(now, 1, halfLife)
	}
	return best, to
}

// shunned tells whether s is suspect or in a silent zone, and not to be tested now.
func (m *Mixer) shunned(now int64, s *searcher) bool {
	if !s.suspect && s.doubted(now) {
		return true // those who found out test it
	}
	return (s.suspect || s.zone.silent()) && (s.suspect && !s.due(now) ||
		m.tests.Read(now, halfLife) >= max(testFloor, testShare*m.sent.Read(now, halfLife)))
}

func (l *Lookup) maySend(now int64, p *part) bool {
	m, barred := l.m, l.barred(now, p)
	if len(p.forwards) == 0 || barred {
		return !barred
	}
	m.slide(now)
	most := m.c.BudgetFree + m.c.BudgetShare*float64(len(m.taken))
	return (m.c.BudgetFor == 0 || float64(len(m.spent)+1) <= most) &&
		(m.c.MayCancel || p.bound() == nil)
}

// barred tells whether no forward of a part is left, or none that the rules on effects allow.
func (l *Lookup) barred(now int64, p *part) bool {
	once := func(f *forward) bool {
		late := now-f.sent > l.t.RepeatFor-endMargin
		return f.mayRun() && (l.t.Effect == OnceOnly || l.t.Effect == Tagged && late)
	}
	return p.over || len(p.forwards) >= l.m.c.MaxForwards || slices.ContainsFunc(p.forwards, once)
}

func (m *Mixer) slide(now int64) {
	from := now - m.c.BudgetFor
	m.taken = slices.DeleteFunc(m.taken, func(t int64) bool { return t <= from })
	m.spent = slices.DeleteFunc(m.spent, func(t int64) bool { return t < from })
}

// connect closes what lies idle to s where idle connections lose more than new ones. It guards against
// connections dropped unseen, which say nothing of the searcher. Where connecting fails, new ones lose more.
func (m *Mixer) connect(now int64, s *searcher) *Ratio {
	line, share := &m.idle, m.anew.Read(now, lineHalf, 0, lean)
	if line.over.Read(now, lineHalf)-lineTimes*share*line.under.Read(now, lineHalf) >= lineLost {
		m.floor.CloseIdle(s.id)
		line = &m.anew
	}
	line.Add(now, 0, 1, lineHalf)
	return line
}

// miss counts a forward as lost on its connection and in its zone, the latter where others answer meanwhile.
// It guards against a zone lost, which a mixer with little traffic else meets searcher by searcher for long.
func (f *forward) miss(now int64) {
	if f.missed == 0 && f.line != nil {
		f.line.Add(now, 1, 0, lineHalf)
	}
	if z := f.s.zone; f.missed == 0 && z.heard <= f.sent && f.sent < f.part.l.m.heard {
		z.missed++
	}
	f.missed = cmp.Or(f.missed, now)
}

// send books one forward; review puts it out.
func (l *Lookup) send(now int64, p *part, s *searcher) *forward {
	m := l.m
	if s.call == nil || s.call.at != now || s.call.size >= int64(m.c.PerCall) {
		s.call = &call{at: now}
	}
	var line *Ratio
	if s.suspect { // on a connection that fell silent a test would tell nothing of its searcher
		m.floor.CloseIdle(s.id)
	} else if s.calls == 0 {
		line = m.connect(now, s)
	}
	if s.call.left == 0 {
		s.calls++
	}
	s.call.size++
	s.call.left++
	s.parts++
	if len(p.forwards) > 0 {
		m.spent = append(m.spent, now)
	}
	s.credit = 0
	s.want.Add(now, 1, halfLife)
	s.sent.Add(now, 1, paceHalf)
	s.sentAt = now
	m.sent.Add(now, 1, halfLife)
	f := &forward{part: p, s: s, call: s.call, count: s.calls, process: s.started, sent: now, line: line}
	p.forwards = append(p.forwards, f)
	s.out = append(s.out, f)
	return f
}

// withdraw gives up what is still out of a lookup that ends: it would hold searchers' time that others need.
func (l *Lookup) withdraw() {
	for _, p := range l.parts {
		for i, f := range p.forwards {
			if l.m.c.MayCancel && f.out() {
				l.m.floor.Cancel(p.ID, i)
			}
		}
	}
}

// answer gives a whole answer. A second step's parts then come to the same handle.
func (l *Lookup) answer(now int64) {
	l.withdraw()
	l.m.floor.Answer(l.ask.ID, true)
	if l.step > 0 || l.t.SecondStep == 0 {
		l.ended = true
		return
	}
	l.step, l.expect, l.need, l.planned = len(l.parts), len(l.parts), 1, false
	for _, p := range l.parts {
		if p.in && l.expect < l.step+l.t.SecondStep {
			l.expect++
		}
	}
}

// giveUp ends a lookup at once with what honesty allows: an answer from the least share, a bounce where
// nothing may have run that must not run twice, else a failure.
func (l *Lookup) giveUp(now int64, in float64) {
	l.ended = true
	l.withdraw()
	final := l.step > 0 || l.t.SecondStep == 0 // any other answer would only start the second step
	if final && l.t.LeastShare < l.t.CompleteFrom && in >= l.t.LeastShare && l.t.Partial > 0 {
		l.m.floor.Answer(l.ask.ID, false)
		return
	}
	for _, p := range l.parts {
		if l.t.Effect != Repeatable && slices.ContainsFunc(p.forwards, (*forward).mayRun) {
			l.m.floor.Fail(l.ask.ID)
			return
		}
	}
	wait := int64(0)
	if l.m.c.MayAdvise && now < l.end { // back while there is time, and not all at once
		wait = min(l.m.c.MaxAdvice, int64(adviceShare*float64(l.end-now)*(0.5+l.m.rng.Float64())))
	}
	l.m.floor.Bounce(l.ask.ID, wait)
}
