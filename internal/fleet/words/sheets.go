package words

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"nettlefold/internal/sharing"
	"nettlefold/mixer"
)

// Sheets are what one mixer tells its relay: real sheets of sharing, of what stands out for it and of what relays ask or say of
// others that it knows better. They are told when they have changed.
type Sheets struct {
	name, zone string
	board      *sharing.Board
	seed       uint64
	doubts     uint64 // numbers of what relays say, as the board takes it
	last       map[process]sharing.Row
	still      int              // suspects of the last
	doubted    map[process]bool // by relays, now
	told       int64            // when the last was told, 0: never
	ever       bool             // one has been told in this session
}

// doubters is the name under which a mixer's board knows what the relays say. No mixer has it.
const doubters = "/relays"

// NewSheets makes those of a mixer that starts.
func NewSheets(now int64, name, zone string, life uint64) *Sheets {
	return &Sheets{name: name, zone: zone, board: sharing.NewBoard(now, name, zone, life), seed: life ^ xxhash.Sum64String(name)}
}

// Opened says that a session has opened, or that what was told last did not arrive: the next sheet is told whatever it says.
func (s *Sheets) Opened() { s.ever = false }

// Due tells whether a sheet may be told now.
func (s *Sheets) Due(now int64) bool { return s.told == 0 || now-s.told >= Every }

// Next makes the sheet of what the mixer knows by itself, where it is to be told: nil where it says nothing new. Doubted are the words
// of relays that stand.
func (s *Sheets) Next(now int64, all []mixer.Observation, doubted []Told) ([]byte, error) {
	if !s.Due(now) {
		return nil, nil
	}
	kinds := make(map[process]string, len(doubted))
	rows := make([]sharing.Row, 0, min(len(doubted), MostWords*2))
	for _, t := range doubted {
		kinds[process{t.Searcher, t.Started}] = t.Kind
		rows = append(rows, sharing.Row{Searcher: t.Searcher, Started: t.Started, Suspect: 1})
	}
	s.doubted = make(map[process]bool, len(kinds))
	for p := range kinds {
		s.doubted[p] = true
	}
	s.doubts++
	s.board.Receive(now, &sharing.Sheet{Mixer: doubters, Life: 1, Number: s.doubts, Rows: rows})
	chosen := s.choose(now, all, kinds)
	sheet := s.board.Compose(now, chosen)
	if s.ever && !s.changed(now, sheet.Rows) && (len(sheet.Rows) == 0 || now-s.told < again) {
		return nil, nil
	}
	rows = sheet.Rows
	raw, err := sheet.Append()
	for err == nil && len(raw) > MostSheet {
		sheet.Rows = sheet.Rows[:len(sheet.Rows)*MostSheet/len(raw)-1]
		raw, err = sheet.Append()
	}
	if err != nil {
		return nil, err
	}
	s.last, s.told, s.still, s.ever = make(map[process]sharing.Row, len(rows)), now, 0, true
	for i := range chosen { // also what had no room in the sheet: it is not news where another's place is free a second later
		o := &chosen[i]
		r := sharing.Row{Searcher: o.Searcher, Started: o.Started, Suspect: int64(truth(o.Suspect))}
		if o.Heard > 0 {
			r.Heard = (now-o.Heard)/ms + 1
		}
		s.last[process{o.Searcher, o.Started}] = r
	}
	for _, r := range rows { // also what had none in its bytes
		s.last[process{r.Searcher, r.Started}] = r
		s.still += truth(r.Suspect > 0)
	}
	return raw, nil
}

// choose leaves what is worth telling: the suspects, in an order of this mixer's own, so that many mixers together tell of more than
// one has room for; those that relays doubt and this mixer has lately been answered by; the slowest beyond chance.
func (s *Sheets) choose(now int64, all []mixer.Observation, kinds map[process]string) []mixer.Observation {
	type scored struct {
		mixer.Observation
		score float64
		hash  uint64
	}
	var still, known, late []scored
	for i := range all {
		o := &all[i]
		kind := kinds[process{o.Searcher, o.Started}]
		score := (o.Slow - 1) * math.Sqrt(o.Weight)
		x := scored{Observation: *o, score: score}
		x.Cold = false // nothing is asked for or lent through relays
		switch {
		case o.Suspect:
			x.hash = xxhash.Sum64String(o.Searcher) ^ s.seed
			x.hash *= 0x9e3779b97f4a7c15 // another order for each mixer
			still = append(still, x)
		case kind == silent || kind == sound:
			if o.Heard > 0 && now-o.Heard < recent {
				known = append(known, x)
			}
		case kind != "":
			if o.Heard > 0 && now-o.Heard < 2*sharing.Lease {
				known = append(known, x)
			}
		case score >= surely && o.Slow >= standsOut:
			late = append(late, x)
		}
	}
	slices.SortFunc(still, func(a, b scored) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.Searcher, b.Searcher)) })
	slices.SortFunc(late, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Searcher, b.Searcher))
	})
	chosen := slices.Concat(still[:min(len(still), mostStill)], known, late[:min(len(late), mostSlow)])
	own := make([]mixer.Observation, len(chosen))
	for i := range chosen {
		own[i] = chosen[i].Observation
	}
	return own
}

// changed tells whether rows say something else than was told. Ages alone do not, nor does a row that is left out as its searcher has
// not answered lately: at the relay that ends by itself. What concerns pace alone may wait.
func (s *Sheets) changed(now int64, rows []sharing.Row) bool {
	pace := now-s.told >= paced
	still := 0
	for _, r := range rows {
		was, ok := s.last[process{r.Searcher, r.Started}]
		still += truth(r.Suspect > 0)
		if (was.Suspect > 0) != (r.Suspect > 0) {
			return true
		}
		if pace && (!ok || r.Slow > was.Slow*step || r.Slow < was.Slow/step) {
			return true
		}
		answer := now - r.Heard*ms
		if s.doubted[process{r.Searcher, r.Started}] && r.Suspect == 0 && r.Heard > 0 && (!ok || answer > s.told-was.Heard*ms+recent) {
			return true
		}
	}
	return still != s.still
}
