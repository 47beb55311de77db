package sharing

import (
	"cmp"
	"errors"
	"slices"

	"nettlefold/mixer"
)

const (
	standsOut = 1.5         // times the fleet's pace from which a searcher is told of
	quorum    = 2           // other mixers that must say a thing: one with a broken line is none
	answered  = 1000 * ms   // ns since an answer within which a mixer vouches for a searcher
	fadeHalf  = 4000 * ms   // ns; what stands behind a word weighs half as much after it
	voice     = 4.0         // calls that one mixer's word on pace weighs at the most
	enough    = 0.5         // calls that must still weigh behind a mixer's word on pace
	stale     = 60_000 * ms // ns after which a mixer that says nothing is forgotten
	unlike    = 3.0         // times a lender's own traffic in a cell that a borrower must have; alike ones differ by chance
	least     = 0.02        // of a share, the smallest loan
	needs     = 0.9         // of its share in use from which a mixer asks for more
	hearing   = 2 * Round   // ns between the first bad word on pace and its being believed: who knows better has told by then
)

// Counts are what a board did, for metrics. All but the last three only grow.
type Counts struct {
	Sheets, Garbage, Foreign, Stale     uint64 // heard: sound ones, unreadable, of another version, gone back
	Told, Believed, Overruled, Outvoted uint64 // rows told; words believed; of those, with newer own evidence; too few say it
	Lent, Borrowed, Late, Misaddressed  uint64 // loans given; used; that came after their end; for another life
	Others, Rows, Loans                 int    // mixers heard of late, rows of their sheets, loans in force here
}

// Board is one mixer's view of what all say. It is not safe for use by two at once.
type Board struct {
	name, zone string
	life       uint64
	number     uint64
	terms      terms
	held       int64             // until then its own share may still be lent from an earlier life, and is not lent
	made       [16]int64         // when the last sheets were made, by number
	since      map[process]int64 // when own suspicion began
	others     map[string]*other
	first      map[process]int64 // when others first said something bad of it, without a pause since
	ledger     ledger
	counts     Counts
}

// other is what is kept of another mixer.
type other struct {
	sheet *Sheet
	seen  int64 // when that sheet was first seen
	lives []uint64
	rows  map[process]*Row
}

// terms are the times that keep loans within what their lender gives up.
type terms struct {
	use, giveUp int64 // ns, for which a borrower uses a loan, and a lender gives it up
	hold        int64 // ns, for which a mixer that starts keeps its share back
}

var sound = terms{use: int64(borrowedPart * float64(Lease)), giveUp: GivenUp, hold: GivenUp}

// GivenUp is for how long, in ns, a lender gives up what it lends. A mixer that starts holds its share back as long.
const GivenUp = int64(lentPart * float64(Lease))

// NewBoard makes the board of a mixer that starts now. Life is drawn anew at each start; the caller has the module hold
// its own cold allowances back for GivenUp.
func NewBoard(now int64, name, zone string, life uint64) *Board {
	return &Board{name: name, zone: zone, life: max(life, 1), terms: sound, held: now + sound.hold,
		since: map[process]int64{}, others: map[string]*other{}, first: map[process]int64{}, ledger: newLedger()}
}

// Counts gives what the board did up to now.
func (b *Board) Counts(now int64) Counts {
	c := b.counts
	for _, o := range b.others {
		if b.fresh(now, o) {
			c.Others++
			c.Rows += len(o.rows)
		}
	}
	c.Loans = b.ledger.live(now)
	return c
}

// Newest gives how old the newest sheet of another mixer is, in ns, -1 where there is none.
func (b *Board) Newest(now int64) int64 {
	age := int64(-1)
	for _, o := range b.others {
		if age < 0 || now-o.seen < age {
			age = now - o.seen
		}
	}
	return age
}

func (b *Board) fresh(now int64, o *other) bool { return now-o.seen < Lease }

// Heard takes what the store holds of one mixer. A sheet that was seen before, or comes before one that was, changes
// nothing: a store that is restored from an older state has nothing counted twice.
func (b *Board) Heard(now int64, raw []byte) error {
	s, err := ReadSheet(raw)
	switch {
	case err == nil:
		b.Receive(now, s)
	case errors.Is(err, ErrVersion):
		b.counts.Foreign++
	default:
		b.counts.Garbage++
	}
	return err
}

// Receive takes a sheet that has been read, and keeps it; boards may share one.
func (b *Board) Receive(now int64, s *Sheet) {
	if s.Mixer == b.name {
		return
	}
	o := b.others[s.Mixer]
	if o == nil {
		b.forget(now)
		if len(b.others) >= MaxOthers {
			return
		}
		o = &other{}
		b.others[s.Mixer] = o
	}
	if old := o.sheet; old != nil {
		if s.Life == old.Life && s.Number <= old.Number || s.Life != old.Life && slices.Contains(o.lives, s.Life) {
			if s.Life != old.Life || s.Number != old.Number {
				b.counts.Stale++
			}
			return
		}
		if s.Life != old.Life {
			o.lives = append(o.lives, old.Life)
			o.lives = o.lives[max(0, len(o.lives)-maxLives):]
		}
	}
	o.sheet, o.seen, o.rows = s, now, make(map[process]*Row, len(s.Rows))
	for i := range s.Rows {
		r := &s.Rows[i]
		p := process{r.Searcher, r.Started}
		o.rows[p] = r
		for _, l := range r.Loans {
			if l.To == b.name {
				b.borrow(now, p, s.Mixer, l)
			}
		}
	}
	b.counts.Sheets++
}

// forget drops mixers that have said nothing for long.
func (b *Board) forget(now int64) {
	for name, o := range b.others {
		if now-o.seen > stale {
			delete(b.others, name)
		}
	}
}

// borrow takes a loan. It counts from when the sheet that asked for it was made, which was before its lender gave it:
// so it ends here before it ends there, whatever the clocks show and however late it comes.
func (b *Board) borrow(now int64, p process, lender string, l Loan) {
	if l.Life != b.life || l.Number > b.number || l.Number+uint64(len(b.made)) <= b.number {
		b.counts.Misaddressed++
		return
	}
	until := b.made[l.Number%uint64(len(b.made))] + b.terms.use
	if until <= now {
		b.counts.Late++
		return
	}
	if b.ledger.borrow(now, p, lender, l.Rate, until) {
		b.counts.Borrowed++
	}
}

// Compose makes the next sheet from what this mixer knows by itself, and gives away what it says it lends: Words must be
// handed to the module before the sheet is written anywhere.
func (b *Board) Compose(now int64, all []mixer.Observation) *Sheet {
	b.number++
	b.made[b.number%uint64(len(b.made))] = now
	s := &Sheet{Version: version, Mixer: b.name, Zone: b.zone, Life: b.life, Number: b.number}
	mentioned, asks := b.mentioned(now), b.asks(now)
	type urgent struct {
		row  Row
		rank float64
	}
	var rows []urgent
	since := make(map[process]int64)
	for i := range all {
		o := &all[i]
		p := process{o.Searcher, o.Started}
		r := Row{Searcher: o.Searcher, Started: o.Started}
		rank := 0.0
		if o.Suspect {
			since[p] = now
			if at, ok := b.since[p]; ok {
				since[p] = at
			}
			r.Suspect, rank = (now-since[p])/ms+1, 3
		}
		if o.Heard > 0 {
			r.Heard = (now-o.Heard)/ms + 1
		}
		if o.Weight >= enough && o.Slow > 0 {
			r.Slow, r.Weight = float32(o.Slow), float32(o.Weight)
		}
		if o.Slow >= standsOut && o.Weight >= enough {
			rank = max(rank, 1+min(1, o.Slow/100))
		}
		if mentioned[p] > 0 && (o.Heard > 0 && now-o.Heard < 2*Lease) {
			rank = max(rank, 2.5) // one who knows better is heard
		}
		if o.Cold {
			if o.Want > needs*o.Rate {
				r.Ask = o.Traffic
				rank = max(rank, 4)
			}
			if asked := asks[p]; len(asked) > 0 && now >= b.held {
				if r.Loans = b.lend(now, p, o, asked); len(r.Loans) > 0 {
					rank = 5
				}
			}
		}
		if rank > 0 {
			rows = append(rows, urgent{r, rank})
		}
	}
	b.since = since
	slices.SortStableFunc(rows, func(x, y urgent) int { return cmp.Compare(y.rank, x.rank) })
	loans := 0
	for _, u := range rows[:min(len(rows), maxRows)] {
		if loans+len(u.row.Loans) > maxGrants {
			u.row.Loans = nil // given away for nothing; the lender's share comes back with the lease
		}
		loans += len(u.row.Loans)
		s.Rows = append(s.Rows, u.row)
	}
	b.counts.Told += uint64(len(s.Rows))
	return s
}

// mentioned gives the processes of which others say something bad, with the time since when they do.
func (b *Board) mentioned(now int64) map[process]int64 {
	bad := map[process]int64{}
	for _, o := range b.others {
		if b.fresh(now, o) {
			for p, r := range o.rows {
				if r.Suspect > 0 || r.Slow >= standsOut {
					bad[p] = now
				}
			}
		}
	}
	for p := range bad {
		if at, ok := b.first[p]; ok {
			bad[p] = at
		}
	}
	b.first = bad
	return bad
}

// Words gives what is to be believed now, and what is lent and borrowed, for each process that any of it concerns, in
// the order of their names. Own is what this mixer knows by itself.
func (b *Board) Words(now int64, all []mixer.Observation) []mixer.PeerReport {
	b.mentioned(now)
	said := map[process][]Teller{}
	for _, o := range b.others {
		if !b.fresh(now, o) {
			continue
		}
		for p, r := range o.rows {
			said[p] = append(said[p], NewTeller(now, o.sheet.Zone, r, o.seen))
		}
	}
	own := make(map[process]*mixer.Observation, len(all))
	for i := range all {
		own[process{all[i].Searcher, all[i].Started}] = &all[i]
	}
	var words []mixer.PeerReport
	for p, tellers := range said {
		if own[p] == nil {
			continue // not listed here, or another process
		}
		if w := b.judge(now, p, tellers, own[p]); w.Until > 0 {
			b.counts.Believed++
			if own[p].Heard > w.At {
				b.counts.Overruled++
			}
			words = append(words, w)
		}
	}
	words = b.ledger.settle(now, words)
	slices.SortFunc(words, func(x, y mixer.PeerReport) int {
		return cmp.Or(cmp.Compare(x.Searcher, y.Searcher), cmp.Compare(x.Started, y.Started))
	})
	return words
}
