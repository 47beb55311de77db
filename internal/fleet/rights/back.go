package rights

import (
	"cmp"
	"maps"
	"slices"
)

// handed is what a life has given back by its own word: of all loans of one lender that answer statements before one it uses no
// more than most. It says so in each statement until those loans have ended by themselves. So it is free at once, without the
// wait for a term and for what outlasts it, which is for those who say nothing.
type handed struct {
	before uint64
	most   int64
}

// Back tells a lender what its borrower has given back.
type Back struct {
	_      struct{} `cbor:",toarray"`
	Key    key
	Lender uint64
	Before uint64
	Most   int64
}

// giveBack gives back what is not held, where the lender has lent less since or less is wanted of it, by more than swings. It is
// given up here first and then told: whatever comes later that answers an earlier statement is cut alike.
func (l *Ledger) giveBack(now int64, s *Sheet) {
	for i, k := range l.keys {
		of := l.claims[k]
		total := l.o.Floor
		for _, c := range of {
			total += c.running(now)
		}
		froms := slices.SortedFunc(maps.Keys(of), func(a, b lender) int { return cmp.Compare(a.life, b.life) })
		for _, from := range froms {
			c, asks := of[from], int64(0)
			if at, ok := slices.BinarySearch(s.Keys, k); ok {
				asks = s.Asks[at*len(l.o.Wards)+from.ward]
			}
			has := c.running(now)
			keep := max(min(asks, c[len(c)-1].amount), l.demand[i].Held-(total-has))
			if off := has - keep; off > max(1, has/swing) {
				total -= off
				c.cut(s.Number, keep)
				if l.back[k] == nil {
					l.back[k] = map[lender]handed{}
				}
				l.back[k][from] = handed{s.Number, keep}
			}
		}
	}
	for _, k := range slices.Sorted(maps.Keys(l.back)) {
		of := l.back[k]
		for _, from := range slices.SortedFunc(maps.Keys(of), func(a, b lender) int { return cmp.Compare(a.life, b.life) }) {
			s.Back = append(s.Back, Back{Key: k, Lender: from.life, Before: of[from].before, Most: of[from].most})
		}
	}
}

// takeBack cuts what this life has lent another by the other's word.
func (l *Ledger) takeBack(s *Sheet) {
	for _, b := range s.Back {
		if b.Lender == l.self.ID {
			l.away[b.Key][s.Life].cut(b.Before, b.Most)
		}
	}
}
