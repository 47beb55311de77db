// Package mixer decides how lookups are served from many searchers.
//
// How it is called: New makes a mixer; Listed and ListRefused bring it the list; Take takes a lookup and
// gives its handle, AddPart hands over the parts, Outcome tells how a forward of a part ended, Gone that
// the client left; Due is called when a timer comes due. Calls carry the clock and come in its order.
// The mixer acts through Floor; that interface and the plain types stand in types.go.
//
// The ordinary path is water-filling: exactly as many parts as make the answer whole, each to the holder
// with the fewest calls of this mixer out, the count raised after each pick. docs/design.md says what is
// added to it, when and why.
package mixer

import (
	"math"
	"math/rand"
	"slices"
	"strings"
)

const (
	ms = int64(1_000_000)

	halfLife    = 4000 * ms // ns; sums follow a change of load within seconds, yet hold some tens of forwards
	ghostHalf   = 2000 * ms // ns; a failed forward weighs on the count about as long as a queue takes to drain
	lateSpread  = 2.5       // deviations above the mean from which a forward is late: about 1 in 50 when sound
	silentTimes = 2.5       // means out unanswered, with nothing else heard, that make a searcher suspect
	strikesOut  = 3         // failures in a row that make a searcher suspect
	testFirst   = 1000 * ms // ns; first wait before a suspect is tested, doubled to testLast
	testLast    = 8000 * ms // ns; a searcher that was away is missed for at most this long
	coldMargin  = 0.5       // of the multiple a cold searcher bears, what the mixers allow themselves
	copyShare   = 0.15      // copies for each first forward when idle; more do not shorten lookups further
	room        = 0.5       // of the expected time, what a lookup may be predicted to take when it is taken
	lean        = 3.0       // calls; how much of the fleet's figure is blended into a searcher's own
	lookAgain   = 50 * ms   // ns; pause before a part that no holder may take is looked at again
	endMargin   = 8 * ms    // ns; an ending is sent this early, to arrive in time
	askFirst    = 500 * ms  // ns; first wait after a refused list call, doubled up to a third of AskWithin
	tiny        = 1e-6      // weights may fall short by rounding
)

// Mixer is one mixer. It shares nothing with others.
type Mixer struct {
	c         Charter
	floor     Floor
	rng       *rand.Rand
	rows      []row
	searchers map[string]*searcher
	cells     [][]*searcher // by cell, in the order first listed
	listed    int           // searchers now live
	suspects  int           // of them, suspect

	sent, copies Decay   // forwards, copies among them
	took, ahead  Decay   // as for each searcher
	borne        Decay   // forwards that warm searchers answered
	budgetTaken  []int64 // when lookups and parts were taken, within the budget's window
	budgetSpent  []int64 // when further forwards were made
	asking       bool
	refusals     int
	warm         int
}

// row is what is kept of a tariff: how long its forwards take.
type row struct{ n, sum, squares Decay }

// searcher is one machine of the list.
type searcher struct {
	id          string
	cell        int
	near        bool
	status      Status
	started     int64
	calls       int // this mixer's calls out: the count that water-filling levels
	parts       int // parts in them
	call        *call
	ghost       Decay // failed forwards that still weigh on the count
	took, ahead Decay // time its answers took, and calls out when they were asked for
	heard       int64 // last answer of any kind
	probed      int64 // when last probed
	strikes     int
	suspect     bool
	wait        int64 // before the next test
	testAt      int64
	coldAt      int64 // when it may be sent the next part while cold
	out         []*forward
}

// call is what travels together to one searcher.
type call struct {
	at         int64
	size, left int
}

// forward is one try of a part.
type forward struct {
	part    *part
	s       *searcher
	call    *call
	count   int   // calls out at the searcher with it
	process int64 // the searcher's start when it was sent
	sent    int64
	done    bool
	ran     bool // may have run
}

type part struct {
	Piece
	l        *Lookup
	in, over bool
	forwards []*forward
	firstRan int64 // when the first forward that may have run was sent
}

// Lookup is the handle of one lookup.
type Lookup struct {
	m       *Mixer
	ask     Ask
	t       *Tariff
	parts   []*part
	step    int // first part of the step at hand
	expect  int // parts once the step is complete
	need    float64
	wanted  int64 // when its full revenue ends
	end     int64 // when it is given up
	wake    int64
	whole   bool // first step was whole
	planned bool
	ended   bool
}

// New makes a mixer.
func New(now int64, c Charter, seed int64, floor Floor) *Mixer {
	m := &Mixer{c: c, floor: floor, rng: rand.New(rand.NewSource(seed)), searchers: map[string]*searcher{}}
	m.rows = make([]row, len(c.Tariffs))
	m.cells = make([][]*searcher, c.Cells)
	if c.ListAsked {
		m.subscribe()
	}
	return m
}

// SecondStep tells whether lookups of a tariff have one.
func (m *Mixer) SecondStep(tariff int) bool { return m.c.Tariffs[tariff].SecondStep > 0 }

func (m *Mixer) subscribe() {
	m.asking = true
	m.floor.Subscribe()
}

// Listed takes news of the list: changes, or with full set all of it. A remembered list may be old.
func (m *Mixer) Listed(now int64, rows []Entry, full, remembered bool) {
	if !remembered {
		m.asking, m.refusals = false, 0
	}
	seen := map[string]bool{}
	for _, e := range rows {
		seen[e.Searcher] = true
		s := m.searchers[e.Searcher]
		if s == nil {
			if e.Status == Dead || e.Cell < 0 || e.Cell >= m.c.Cells {
				continue
			}
			s = &searcher{id: e.Searcher, cell: e.Cell, started: e.Started}
			m.searchers[e.Searcher] = s
			m.cells[e.Cell] = append(m.cells[e.Cell], s)
		}
		s.near = e.Zone == m.c.Zone
		s.status = e.Status
		if s.started != e.Started { // a new process: nothing known of the old one holds
			s.started, s.strikes = e.Started, 0
			s.ghost, s.took, s.ahead = Decay{}, Decay{}, Decay{}
			s.trust()
		}
	}
	if full {
		for _, cell := range m.cells {
			for _, s := range cell {
				if !seen[s.id] {
					s.status = Dead
				}
			}
		}
	}
}

// ListRefused is told that a list call failed or the subscription broke: it is asked for again after a
// growing wait, jittered so that mixers do not return together.
func (m *Mixer) ListRefused(now int64) {
	if !m.c.ListAsked {
		return
	}
	wait := askFirst << min(m.refusals, 6)
	if most := m.c.AskWithin / 3; most > 0 {
		wait = min(wait, most)
	}
	m.refusals++
	m.asking = false
	m.floor.Timer(wait/2+m.rng.Int63n(wait), m)
}

// Due is the mixer's own timer: it asks for the list again.
func (m *Mixer) Due(now int64) {
	if !m.asking {
		m.subscribe()
	}
}

// Probed is told the result of a probe. An answer only shows a process: the searcher may still hang.
func (m *Mixer) Probed(now int64, id string, o Outcome, took int64, load Load) {
	if s := m.searchers[id]; s != nil && o != Satisfied {
		m.distrust(now, s)
	}
}

// Take takes a lookup. It is planned once its parts have come.
func (m *Mixer) Take(now int64, a Ask) *Lookup {
	t := &m.c.Tariffs[a.Tariff]
	m.slide(now)
	m.budgetTaken = append(m.budgetTaken, now)
	l := &Lookup{m: m, ask: a, t: t, expect: a.Parts, need: t.CompleteFrom, end: a.NotAfter}
	asked := now
	if a.Again { // it has waited since its first try, whose patience is what NotAfter leaves
		asked = min(now, a.NotAfter-t.Patience)
	}
	l.wanted = min(a.NotAfter, asked+t.Expected) - endMargin
	l.end = l.wanted
	if t.LateRevenue > 0 {
		l.end = a.NotAfter - endMargin
	}
	return l
}

// AddPart hands over one part of the step at hand.
func (l *Lookup) AddPart(now int64, p Piece) {
	l.m.budgetTaken = append(l.m.budgetTaken, now)
	if l.ended {
		return
	}
	l.parts = append(l.parts, &part{Piece: p, l: l})
	if len(l.parts) == l.expect {
		l.planned = true
		if l.step == 0 && l.hopeless(now) {
			l.giveUp(now, 0)
			return
		}
		l.review(now)
	}
}

// hopeless decides at taking whether the lookup can still be satisfied. It guards against overload of any
// cause, of the fleet or of a few slices: work that comes too late would only keep other work from being
// in time.
func (l *Lookup) hopeless(now int64) bool {
	m := l.m
	times := make([]float64, len(l.parts))
	for i, p := range l.parts {
		times[i] = math.Inf(1)
		for j := range m.c.Reach {
			for _, s := range m.cells[(p.Slice+j)%m.c.Cells] {
				if m.eligible(now, s) {
					times[i] = min(times[i], m.unit(now, s)*float64(s.calls+1))
				}
			}
		}
	}
	slices.Sort(times)
	n := int(math.Ceil(l.need*float64(len(times)) - tiny))
	steps := 1.0
	if l.t.SecondStep > 0 {
		steps = 2
	}
	return n > 0 && times[n-1]*steps > room*max(float64(l.wanted-now), l.t.LateRevenue*float64(l.end-now))
}

// unit is what forwards to s lately took for each call out with them, leaning on the fleet's figure where
// s has shown little. Times the calls a new forward joins, it is the time that forward is likely to take.
func (m *Mixer) unit(now int64, s *searcher) float64 {
	n := m.ahead.Read(now, halfLife)
	if n == 0 {
		return 0
	}
	fleet := m.took.Read(now, halfLife) / n
	return (lean*fleet + s.took.Read(now, halfLife)) / (lean + s.ahead.Read(now, halfLife))
}

// Gone is told that the client left.
func (l *Lookup) Gone(now int64) { l.ended = true }

// Due looks at the lookup again.
func (l *Lookup) Due(now int64) {
	l.wake = 0
	l.review(now)
}

// Outcome is told how a forward of part i ended.
func (l *Lookup) Outcome(now int64, i, copy int, o Outcome, took int64, over bool, load Load) {
	m, p := l.m, l.parts[i]
	f := p.forwards[copy]
	if f.done {
		return
	}
	f.done, f.ran = true, !o.NeverRan()
	m.settle(now, f, o, took)
	p.firstRan = 0
	for _, g := range p.forwards {
		if g.ran && (p.firstRan == 0 || g.sent < p.firstRan) {
			p.firstRan = g.sent
		}
	}
	if l.ended || p.in {
		return
	}
	if o == Satisfied {
		p.in = true
	} else if over {
		p.over = true
	}
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
	switch o {
	case Satisfied:
		s.heard, s.strikes = now, 0
		s.trust()
		if m.frac(now, s) == 1 {
			m.borne.Add(now, 1, halfLife)
		}
		r := &m.rows[f.part.l.ask.Tariff]
		for _, d := range []struct{ took, ahead *Decay }{{&m.took, &m.ahead}, {&s.took, &s.ahead}} {
			d.took.Add(now, float64(took), halfLife)
			d.ahead.Add(now, float64(f.count), halfLife)
		}
		x := float64(took)
		r.n.Add(now, 1, halfLife)
		r.sum.Add(now, x, halfLife)
		r.squares.Add(now, x*x, halfLife)
	case Errored, Bounced, Unreached, Reset:
		// Guards against a searcher that fails fast and so would draw every pick; a burst of bounces
		// from an overloaded one is slowed the same way.
		s.heard = now
		s.ghost.Add(now, 1, ghostHalf)
		if s.strikes++; s.strikes >= strikesOut {
			m.distrust(now, s)
		}
	}
}

// typical gives the mean and deviation of the tariff's recent forwards, 0 when none were seen.
func (r *row) typical(now int64) (mean, dev float64) {
	n := r.n.Read(now, halfLife)
	if n < 0.01 {
		return 0, 0
	}
	mean = r.sum.Read(now, halfLife) / n
	return mean, math.Sqrt(max(0, r.squares.Read(now, halfLife)/n-mean*mean))
}

// trust ends the suspicion of a searcher.
func (s *searcher) trust() { s.suspect, s.wait = false, 0 }

// distrust keeps a searcher from being picked until a test forward has been answered. It guards against
// machines that hang, vanish or fail everything while the list calls them live.
func (m *Mixer) distrust(now int64, s *searcher) {
	s.wait = min(max(2*s.wait, testFirst), testLast)
	s.testAt = now + s.wait/2 + m.rng.Int63n(s.wait)
	if s.suspect {
		return
	}
	s.suspect = true
	for _, f := range slices.Clone(s.out) {
		if !f.part.l.ended {
			f.part.l.rouse(now, 0)
		}
	}
}

// hearken judges searchers by what is out there, not by the list: a forward out for several times what its
// tariff's forwards take, with nothing heard since it was sent, makes its searcher suspect. It guards
// against hangs, lost machines and cut links alike; a single very heavy part can wrong a sound searcher
// for about a second. Where probes are allowed, one is asked first.
func (m *Mixer) hearken(now int64, p *part) {
	mean, _ := m.rows[p.l.ask.Tariff].typical(now)
	for _, f := range p.forwards {
		s, silent := f.s, float64(now-f.sent)/silentTimes
		if f.done || s.suspect || s.heard > f.sent || mean == 0 || silent < mean {
			continue
		}
		if !m.c.MayProbe || silent > 2*mean {
			m.distrust(now, s)
		} else if s.probed < f.sent {
			s.probed = now
			m.floor.Probe(s.id)
		}
	}
}

// frac is the least share of its capacity a searcher has now.
func (m *Mixer) frac(now int64, s *searcher) float64 {
	if s.started == 0 || m.c.ColdFor == 0 || now-s.started >= m.c.ColdFor {
		return 1
	}
	return m.c.ColdFrom + (1-m.c.ColdFrom)*max(0, float64(now-s.started)/float64(m.c.ColdFor))
}

// census counts the live searchers, the warm and the suspect among them.
func (m *Mixer) census(now int64) {
	m.listed, m.suspects, m.warm = 0, 0, 0
	for _, cell := range m.cells {
		for _, s := range cell {
			if s.status != Live {
				continue
			}
			m.listed++
			if s.suspect {
				m.suspects++
			}
			if m.frac(now, s) == 1 {
				m.warm++
			}
		}
	}
}

// coldGap is the least time between two parts this mixer sends to a searcher with frac of its capacity.
// A warm one bears at least the parts it answers this mixer and as many from each other mixer, and at
// least one part in the time one usually takes; of frac times that, times the multiple, coldMargin is used.
func (m *Mixer) coldGap(now int64, frac float64) int64 {
	rate := m.borne.Read(now, halfLife) * math.Ln2 / float64(halfLife) / float64(max(1, m.warm))
	for i := range m.rows {
		if mean, _ := m.rows[i].typical(now); mean > 0 {
			rate = max(rate, 1/mean/float64(m.c.Mixers))
		}
	}
	allowed := rate * frac * m.c.FallMultiple * coldMargin
	if allowed <= 0 {
		return m.c.FallFor
	}
	return int64(1 / allowed)
}

// slide drops what has left the budget's window; at its edge what was spent still counts, what was taken
// no longer does.
func (m *Mixer) slide(now int64) {
	from := now - m.c.BudgetFor
	m.budgetTaken = slices.DeleteFunc(m.budgetTaken, func(t int64) bool { return t <= from })
	m.budgetSpent = slices.DeleteFunc(m.budgetSpent, func(t int64) bool { return t < from })
}

// review is the one place where a lookup moves on: it answers, ends, forwards, and sets the next look.
func (l *Lookup) review(now int64) {
	m := l.m
	if l.ended || !l.planned && now < l.end {
		return
	}
	step := l.parts[l.step:]
	in := 0.0
	all := true
	for _, p := range step {
		if p.in {
			in += p.Weight
		} else {
			all = false
		}
	}
	if in >= l.need-tiny && (l.step == 0 || all) {
		l.answer(now, l.step == 0 || l.whole)
		return
	}
	if now >= l.end || now >= l.wanted && l.hopeless(now) {
		l.giveUp(now, in)
		return
	}
	m.census(now)
	for _, p := range step {
		if !p.in {
			m.hearken(now, p)
		}
	}
	live, onTime := in, in
	next := l.end
	if now < l.wanted {
		next = l.wanted
	}
	for _, p := range step {
		if p.in {
			continue
		}
		if sent := p.lastOut(); sent > 0 {
			live += p.Weight
			if at := l.lateAt(now, sent); at > now {
				onTime += p.Weight
				next = min(next, at)
			}
		}
	}
	var picks []*forward
	for live < l.need-tiny {
		f := l.pick(now, false)
		if f == nil {
			next = min(next, now+lookAgain)
			break
		}
		picks = append(picks, f)
		live += f.part.Weight
		onTime += f.part.Weight
	}
	for onTime < l.need-tiny && live >= l.need-tiny {
		if !m.mayCopy(now, l) {
			next = min(next, now+lookAgain)
			break
		}
		f := l.pick(now, true)
		if f == nil {
			break
		}
		m.copies.Add(now, 1, halfLife)
		picks = append(picks, f)
		onTime += f.part.Weight
	}
	// What goes to one searcher goes together.
	slices.SortStableFunc(picks, func(a, b *forward) int { return strings.Compare(a.s.id, b.s.id) })
	for _, f := range picks {
		m.floor.Forward(f.part.ID, f.s.id, l.end-now)
	}
	for _, f := range picks {
		next = min(next, l.lateAt(now, now))
		if f.s.suspect { // a test: its wait grows until an answer comes
			m.distrust(now, f.s)
			next = now
		}
	}
	l.rouse(now, max(next, now+1))
}

// rouse sees to it that the lookup is looked at again at a time.
func (l *Lookup) rouse(now, at int64) {
	if l.wake == 0 || at < l.wake {
		l.wake = max(at, now+1)
		l.m.floor.Timer(l.wake-now, l)
	}
}

// lastOut gives when the newest forward still out was sent, 0 if none is. Those out at suspects do not
// count, nor those whose process is gone from the list or has been replaced since.
func (p *part) lastOut() (sent int64) {
	for _, f := range p.forwards {
		if !f.done && !f.s.suspect && f.s.status != Dead && f.process == f.s.started {
			sent = max(sent, f.sent)
		}
	}
	return sent
}

// lateAt gives when a forward sent at a time is late against what the tariff's parts lately took.
func (l *Lookup) lateAt(now, sent int64) int64 {
	mean, dev := l.m.rows[l.ask.Tariff].typical(now)
	if mean == 0 {
		return sent + l.t.Expected/4
	}
	return sent + int64(mean+lateSpread*max(dev, mean/4))
}

// mayCopy is the allowance for copies beyond what failed. It fades as forwards come to take longer
// against the expected time, so that copies never feed an overload.
func (m *Mixer) mayCopy(now int64, l *Lookup) bool {
	mean, _ := m.rows[l.ask.Tariff].typical(now)
	ease := max(0, 1-2.5*mean/float64(l.t.Expected))
	return m.copies.Read(now, halfLife)+1 <= 1+copyShare*ease*m.sent.Read(now, halfLife) && ease > 0
}

// pick water-fills one forward: of all parts not yet served and all their holders it takes the least
// count; unasked parts come before repeats. The count rises with the pick.
func (l *Lookup) pick(now int64, copy bool) *forward {
	m := l.m
	var best *part
	var to *searcher
	var bestKey [5]float64
	for _, p := range l.parts[l.step:] {
		if p.in || p.over || !l.maySend(now, p, copy) {
			continue
		}
		if out := p.lastOut(); out > 0 && (!copy || l.lateAt(now, out) > now) {
			continue
		}
		for j := range m.c.Reach {
			for _, s := range m.cells[(p.Slice+j)%m.c.Cells] {
				if !m.eligible(now, s) || p.tried(s) {
					continue
				}
				key := [5]float64{0, 0, m.count(now, s), m.burden(now, s), float64(p.Effort)}
				if len(p.forwards) > 0 {
					key[1] = 1
				}
				if s.suspect && now >= s.testAt {
					key[0] = -1 // the one test, backed by a copy as soon as the lookup is looked at again
				} else if s.suspect && !m.overruled() {
					key[0] = 1 // nobody better holds it
				}
				c := slices.Compare(key[:], bestKey[:])
				if best == nil || c < 0 || c == 0 && m.rng.Intn(2) == 0 {
					best, to, bestKey = p, s, key
				}
			}
		}
	}
	if best == nil {
		return nil
	}
	return l.send(now, best, to)
}

// overruled: with half the fleet suspect it is load or the network, and serving goes on.
func (m *Mixer) overruled() bool { return 2*m.suspects > m.listed }

// eligible comes before the count: listed live, within the cold allowance, and not suspect.
func (m *Mixer) eligible(now int64, s *searcher) bool {
	if s.status != Live || now < s.coldAt && m.frac(now, s) < 1 {
		return false
	}
	return !s.suspect || m.overruled() || now >= s.testAt || len(s.out) == 0
}

// count is water-filling's level: calls out, one joined counting once, and failures that still weigh.
func (m *Mixer) count(now int64, s *searcher) float64 {
	return float64(s.calls) + math.Round(s.ghost.Read(now, ghostHalf))
}

// burden orders equals: how long parts lately took there, against their tariff's mean.
func (m *Mixer) burden(now int64, s *searcher) float64 {
	return m.unit(now, s) * float64(s.parts+1) / m.frac(now, s)
}

// tried tells whether a forward of the part is out at s, or failed there.
func (p *part) tried(s *searcher) bool {
	for _, f := range p.forwards {
		if f.s == s {
			return true
		}
	}
	return false
}

// maySend keeps the rules on further forwards.
func (l *Lookup) maySend(now int64, p *part, copy bool) bool {
	m := l.m
	if len(p.forwards) == 0 {
		return true
	}
	if len(p.forwards) >= m.c.MaxForwards || !m.budgetAllows(now) {
		return false
	}
	mayRan, out := p.firstRan > 0, false
	for _, f := range p.forwards {
		if !f.done {
			out, mayRan = true, true
		}
	}
	if out && !m.c.MayCopy {
		return false
	}
	switch l.t.Effect {
	case OnceOnly:
		return !mayRan
	case Tagged:
		return !mayRan || now-p.forwards[0].sent <= l.t.RepeatFor-endMargin
	}
	return true
}

// budgetAllows keeps further forwards within the charter's budget, over every window.
func (m *Mixer) budgetAllows(now int64) bool {
	m.slide(now)
	most := m.c.BudgetFree + m.c.BudgetShare*float64(len(m.budgetTaken))
	return m.c.BudgetFor == 0 || float64(len(m.budgetSpent)+1) <= most
}

// send books one forward; review puts it out.
func (l *Lookup) send(now int64, p *part, s *searcher) *forward {
	m := l.m
	if s.call == nil || s.call.at != now || s.call.size >= m.c.PerCall {
		s.call = &call{at: now}
	}
	if s.call.left == 0 {
		s.calls++
	}
	s.call.size++
	s.call.left++
	s.parts++
	f := &forward{part: p, s: s, call: s.call, count: s.calls, process: s.started, sent: now}
	if len(p.forwards) > 0 {
		m.budgetSpent = append(m.budgetSpent, now)
	}
	if frac := m.frac(now, s); frac < 1 {
		s.coldAt = now + m.coldGap(now, frac)
	}
	m.sent.Add(now, 1, halfLife)
	p.forwards = append(p.forwards, f)
	s.out = append(s.out, f)
	return f
}

// answer gives what is in. A second step's parts then come to the same handle.
func (l *Lookup) answer(now int64, whole bool) {
	l.m.floor.Answer(l.ask.ID, whole)
	if l.step > 0 || l.t.SecondStep == 0 {
		l.ended = true
		return
	}
	in := 0
	for _, p := range l.parts {
		if p.in {
			in++
		}
	}
	l.step, l.whole, l.planned = len(l.parts), whole, false
	l.expect = len(l.parts) + min(l.t.SecondStep, in)
	l.need = 1
	l.rouse(now, l.end)
}

// giveUp ends a lookup at once with what honesty allows: an answer from the least share, a bounce where
// nothing may have run that must not run twice, else a failure.
func (l *Lookup) giveUp(now int64, in float64) {
	m := l.m
	l.ended = true
	if l.t.LeastShare < l.t.CompleteFrom && in >= l.t.LeastShare && l.t.Partial > 0 {
		m.floor.Answer(l.ask.ID, false)
		return
	}
	for _, p := range l.parts {
		for _, f := range p.forwards {
			if l.t.Effect != Repeatable && (!f.done || f.ran) {
				m.floor.Fail(l.ask.ID)
				return
			}
		}
	}
	m.floor.Bounce(l.ask.ID, 0)
}
