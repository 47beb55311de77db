package words

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"nettlefold/internal/fleet/control"
	"nettlefold/internal/sharing"
)

// ErrLoan is the error for a sheet that asks for cold allowances or lends them: that is not done through relays.
var ErrLoan = errors.New("a sheet with loans")

// Counts are what a judge did. Mixers, Rows and Rest are as they stand.
type Counts struct {
	Sheets, Old, Refused uint64 // taken; not newer than what is held; that break a bound
	Mixers, Rows         int
	Words, Rest          int
}

// voice is one mixer as a judge knows it.
type voice struct {
	sheet *sharing.Sheet
	seen  int64
	lives []uint64 // earlier ones
	gone  bool     // its session has ended; it says nothing, and its lives are still known
}

// matter is what is said of one process, and what is told of it.
type matter struct {
	process
	said     map[*voice]*sharing.Row
	suspects int
	slows    int
	slot     int // -1: not told
	told     Told
	since    int64 // when its kind began
	support  int64 // when its evidence was last there
	first    int64 // when it was first asked about, 0: never
	shelf    int64 // not asked about before
}

// Judge is what a relay makes of its own mixers' sheets.
type Judge struct {
	name    string
	mixers  map[string]*voice
	matters map[process]*matter
	slots   [MostWords]*matter
	more    []*matter // beyond, which only a planted fault tells
	rows    int
	beat    uint64
	beaten  int64
	was     int         // words at the last round
	head    control.Row // as it was last told
	counts  Counts
	flaw    faults
}

// NewJudge makes the judge of a relay that starts.
func NewJudge(name string) *Judge {
	return &Judge{name: name, mixers: map[string]*voice{}, matters: map[process]*matter{}}
}

// Counts gives what it did up to now.
func (j *Judge) Counts() Counts {
	c := j.counts
	c.Rows = j.rows
	for _, v := range j.mixers {
		if !v.gone {
			c.Mixers++
		}
	}
	return c
}

// Heard takes a sheet of a mixer that has a session. One that is not newer than what is held changes nothing.
func (j *Judge) Heard(now int64, from string, raw []byte) error {
	s, err := j.read(from, raw)
	if err != nil {
		j.counts.Refused++
		return err
	}
	v := j.mixers[from]
	if v == nil {
		v = &voice{}
		j.mixers[from] = v
	}
	if old := v.sheet; old != nil && !j.flaw.oldLife {
		if s.Life == old.Life && s.Number <= old.Number || slices.Contains(v.lives, s.Life) {
			j.counts.Old++
			return nil
		}
		if s.Life != old.Life {
			v.lives = append(v.lives, old.Life)
			v.lives = v.lives[max(0, len(v.lives)-4):]
		}
	}
	j.drop(v)
	if j.rows+len(s.Rows) > mostRows {
		j.counts.Refused++
		s.Rows = nil
	}
	v.sheet, v.seen, v.gone = s, now, false
	j.rows += len(s.Rows)
	for i := range s.Rows {
		r := &s.Rows[i]
		p := process{r.Searcher, r.Started}
		m := j.matters[p]
		if m == nil {
			m = &matter{process: p, said: map[*voice]*sharing.Row{}, slot: -1}
			j.matters[p] = m
		}
		if m.said[v] != nil {
			m.count(m.said[v], -1) // said twice: the later one counts
		}
		m.said[v] = r
		m.count(r, 1)
	}
	j.counts.Sheets++
	return nil
}

func (j *Judge) read(from string, raw []byte) (*sharing.Sheet, error) {
	if len(raw) > MostSheet {
		return nil, fmt.Errorf("a sheet of %d bytes, most are %d", len(raw), MostSheet)
	}
	s, err := sharing.ReadSheet(raw)
	if err != nil {
		return nil, err
	}
	if s.Mixer != from {
		return nil, fmt.Errorf("%w: of mixer %q, told by %q", sharing.ErrGarbage, s.Mixer, from)
	}
	for _, r := range s.Rows {
		if r.Ask > 0 || len(r.Loans) > 0 {
			return nil, ErrLoan
		}
	}
	return s, nil
}

func (m *matter) count(r *sharing.Row, n int) {
	if r.Suspect > 0 {
		m.suspects += n
	}
	if r.Slow >= standsOut {
		m.slows += n
	}
}

// drop takes back all that a mixer says.
func (j *Judge) drop(v *voice) {
	if v.sheet == nil {
		return
	}
	for i := range v.sheet.Rows {
		r := &v.sheet.Rows[i]
		if m := j.matters[process{r.Searcher, r.Started}]; m != nil && m.said[v] != nil {
			m.count(m.said[v], -1)
			delete(m.said, v)
		}
	}
	j.rows -= len(v.sheet.Rows)
	v.sheet.Rows = nil
}

// Left is told that a mixer has no session any more.
func (j *Judge) Left(now int64, name string) {
	if v := j.mixers[name]; v != nil && !j.flaw.stays {
		j.drop(v)
		v.gone, v.seen = true, now
	}
}

// sweep ends sheets that have not been told again, and forgets mixers that are long gone.
func (j *Judge) sweep(now int64) {
	for name, v := range j.mixers {
		if now-v.seen < kept || j.flaw.stays {
			continue
		}
		if v.gone {
			delete(j.mixers, name)
		} else {
			j.drop(v) // it still has a session, and what it says next counts
		}
	}
}

// juries gives the one for what is to be told now, the one for what stands, and that of those who vouch.
func (j *Judge) juries() (enter, stay, vouch sharing.Jury) {
	zones, n, zone := map[string]bool{}, 0, "\x00" // of no mixer
	for _, v := range j.mixers {
		if !v.gone {
			n++
			zones[v.sheet.Zone] = true
		}
	}
	if len(zones) == 1 {
		for z := range zones {
			zone = z
		}
	}
	enter = sharing.Jury{Zone: zone, Quorum: max(least, (n+portion-1)/portion), Answered: answered}
	if j.flaw.one {
		enter.Quorum = 1
	}
	stay, vouch = enter, enter
	stay.Quorum = max(min(least, enter.Quorum), (enter.Quorum+1)/2)
	vouch.Quorum = min(least, enter.Quorum)
	return enter, stay, vouch
}

// Round judges, and gives the rows that the relay should tell now: the head first, then those with words, all others gone.
func (j *Judge) Round(now int64) []control.Row {
	j.sweep(now)
	enter, stay, vouch := j.juries()
	var stand []*matter
	for p, m := range j.matters {
		if len(m.said) == 0 && m.told.Kind == "" && now >= m.shelf {
			delete(j.matters, p)
			continue
		}
		if m.told.Kind == "" && m.suspects < enter.Quorum && m.slows < enter.Quorum {
			continue
		}
		if j.weigh(now, m, enter, stay, vouch); m.told.Kind != "" {
			stand = append(stand, m)
		} else if m.slot >= 0 {
			j.slots[m.slot], m.slot = nil, -1
		}
	}
	j.seat(now, stand)
	return j.write(now)
}

var rank = map[string]int{silent: 0, sound: 1, slow: 2, asked: 3}

// seat gives the most pressing words a place. Who has one keeps it against as pressing ones, and against those said by up to twice
// as many.
func (j *Judge) seat(now int64, stand []*matter) {
	weight := func(m *matter) int {
		n := max(m.told.Say, 1)
		if m.slot >= 0 {
			n = 2*n + 1
		}
		return n
	}
	slices.SortFunc(stand, func(a, b *matter) int {
		return cmp.Or(cmp.Compare(rank[a.told.Kind], rank[b.told.Kind]), cmp.Compare(weight(b), weight(a)),
			cmp.Compare(b.told.Slow, a.told.Slow), a.compare(b.process))
	})
	j.more = nil
	var fit []*matter
	asks, rest := 0, 0
	for _, m := range stand {
		if m.told.Kind == asked {
			asks++
		}
		if len(fit) < MostWords && asks <= mostAsked {
			fit = append(fit, m)
			continue
		}
		rest++
		if m.slot >= 0 {
			j.slots[m.slot], m.slot = nil, -1
		}
		if j.flaw.unbounded && m.told.Kind != asked {
			j.more = append(j.more, m)
		}
		if m.told.Kind == asked { // nobody was asked
			m.told, m.first, m.shelf = Told{}, 0, now+lull
		}
	}
	free := 0
	for _, m := range fit {
		if m.slot >= 0 {
			continue
		}
		for j.slots[free] != nil {
			free++
		}
		j.slots[free], m.slot = m, free
	}
	j.counts.Words, j.counts.Rest = len(fit), rest
}

// write makes the rows.
func (j *Judge) write(now int64) []control.Row {
	c := j.Counts()
	switch {
	case c.Words == 0:
		j.head = control.Row{Kind: control.KindWords, Name: j.name + headName, Gone: true}
	case now-j.beaten >= Pulse || c.Words != j.was:
		j.beat, j.beaten = j.beat+1, now
		j.head = words(j.name, headName, Head{j.beat, c.Words, c.Rest, c.Mixers})
	}
	j.was = c.Words
	type ranked struct {
		control.Row
		rank int
	}
	var full []ranked
	var empty []control.Row
	for i := 0; i < MostWords; i += perRow {
		var all []Told
		best := len(rank)
		for _, m := range j.slots[i : i+perRow] {
			if m != nil {
				all = append(all, m.told)
				best = min(best, rank[m.told.Kind])
			}
		}
		if name := fmt.Sprintf("/%02d", i/perRow); len(all) > 0 {
			full = append(full, ranked{words(j.name, name, all), best})
		} else {
			empty = append(empty, control.Row{Kind: control.KindWords, Name: j.name + name, Gone: true})
		}
	}
	for i, m := range j.more {
		full = append(full, ranked{words(j.name, fmt.Sprint("/more-", i), []Told{m.told}), len(rank)})
	}
	slices.SortStableFunc(full, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	rows := []control.Row{j.head}
	for _, r := range full {
		rows = append(rows, r.Row)
	}
	return append(rows, empty...)
}
