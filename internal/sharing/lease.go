package sharing

import (
	"cmp"
	"maps"
	"slices"

	"nettlefold/mixer"
)

// A cold searcher bears little, and each mixer owns an equal share of that: a rate at which it saves up for one part at a
// time. The ledger keeps what of these rates is lent and borrowed. Three things make the sum of all no more than if each
// kept its own, without trust in the store:
//
//   - a lender gives its share up, with the part that it has saved up, at the moment it decides to lend, before anything is
//     written, and for longer by its own clock than any borrower may use it;
//   - a loan answers one sheet of one life of its borrower, and runs from when that sheet was made: which was before it was
//     lent. A loan that is late, read twice, restored or for an earlier life of the borrower is worth nothing more;
//   - a mixer that starts does not use its own share until what an earlier life may have lent has run out.
//
// A rate is lent, not parts: what a mixer may save up stays one part. In a window each mixer alone may send one part and
// its rate; a lender's rate and part together are never less than what its borrowers get for them there.
type ledger struct {
	lent     map[process]map[string][]loan // by borrower
	borrowed map[process]map[string]loan   // by lender, the newest
}

// loan is a rate until a time of this mixer's clock.
type loan struct {
	rate  float64 // parts per ns
	until int64
}

func newLedger() ledger {
	return ledger{lent: map[process]map[string][]loan{}, borrowed: map[process]map[string]loan{}}
}

// ask is what one mixer asks for.
type ask struct {
	name         string
	life, number uint64
	want         float64
}

// asks gives who asks for more of which process, in the order of their names.
func (b *Board) asks(now int64) map[process][]ask {
	asks := map[process][]ask{}
	for name, o := range b.others {
		if b.fresh(now, o) {
			for p, r := range o.rows {
				if r.Ask > 0 {
					asks[p] = append(asks[p], ask{name, o.sheet.Life, o.sheet.Number, r.Ask})
				}
			}
		}
	}
	for _, a := range asks {
		slices.SortFunc(a, func(x, y ask) int { return cmp.Compare(x.name, y.name) })
	}
	return asks
}

// lend divides this mixer's share among those who ask and have far more traffic there, by that traffic, where it has sent
// nothing there for a whole window. Traffic is that of the cell, also from before the process started: what is wanted of a
// newcomer itself tells too late, as all seem idle at first. After a quiet window the part that the lender could have saved
// up is in no window with what a borrower sends.
func (b *Board) lend(now int64, p process, own *mixer.Observation, asks []ask) (loans []Loan) {
	asks = slices.DeleteFunc(asks, func(a ask) bool { return a.want < unlike*own.Traffic })
	if !own.Quiet || len(asks) == 0 {
		return nil
	}
	want := 0.0
	for _, a := range asks {
		want += a.want
	}
	away := b.ledger.away(now, p)
	for _, a := range asks {
		rate, has := own.Loan*a.want/want, b.ledger.awayTo(now, p, a.name)
		// What was lent before still runs. The same borrower may count the new loan in its place, others may not.
		rate = min(rate, has+max(0, own.Loan-away))
		if rate < least*own.Loan/float64(len(asks)) {
			continue
		}
		away += max(0, rate-has)
		b.ledger.lend(now, p, a.name, rate, now+b.terms.giveUp)
		loans = append(loans, Loan{To: a.name, Life: a.life, Number: a.number, Rate: rate})
	}
	b.counts.Lent += uint64(len(loans))
	return loans
}

// Confirm takes loans out of a sheet whose process was sent to after the sheet was made and before its share was given up: the
// lender's own part would be in one window with what its borrowers send. All is told as it stands after that. What is taken
// out stays given up, for nothing. It tells whether any was.
func Confirm(s *Sheet, all []mixer.Observation) bool {
	quiet := make(map[process]bool, len(all))
	for i := range all {
		quiet[process{all[i].Searcher, all[i].Started}] = all[i].Quiet
	}
	out := false
	for i := range s.Rows {
		if r := &s.Rows[i]; len(r.Loans) > 0 && !quiet[process{r.Searcher, r.Started}] {
			r.Loans, out = nil, true
		}
	}
	return out
}

// Lends tells whether a sheet has any loan.
func (s *Sheet) Lends() bool {
	return slices.ContainsFunc(s.Rows, func(r Row) bool { return len(r.Loans) > 0 })
}

// lend books a loan to a borrower.
func (l *ledger) lend(now int64, p process, to string, rate float64, until int64) {
	if l.lent[p] == nil {
		l.lent[p] = map[string][]loan{}
	}
	live := slices.DeleteFunc(l.lent[p][to], func(o loan) bool { return o.until <= now || o.rate <= rate })
	l.lent[p][to] = append(live, loan{rate, until}) // those it outdoes end sooner and are less
}

// awayTo gives the rate that is lent to one borrower: the greatest, as it counts one loan of a lender at a time.
func (l *ledger) awayTo(now int64, p process, to string) (rate float64) {
	for _, o := range l.lent[p][to] {
		if o.until > now {
			rate = max(rate, o.rate)
		}
	}
	return rate
}

// away gives the rate that is lent to all.
func (l *ledger) away(now int64, p process) (rate float64) {
	for _, to := range slices.Sorted(maps.Keys(l.lent[p])) { // a sum in another order is another number
		rate += l.awayTo(now, p, to)
	}
	return rate
}

// borrow books a loan from a lender in place of the one before, and tells whether it is a new one.
func (l *ledger) borrow(now int64, p process, lender string, rate float64, until int64) bool {
	if l.borrowed[p] == nil {
		l.borrowed[p] = map[string]loan{}
	}
	if old, ok := l.borrowed[p][lender]; ok && old.until >= until {
		return false // read again, or from before
	}
	l.borrowed[p][lender] = loan{rate, until}
	return true
}

// live gives how many loans are in force, lent and borrowed, and drops those that are not.
func (l *ledger) live(now int64) (n int) {
	for p, of := range l.lent {
		for to, loans := range of {
			if loans = slices.DeleteFunc(loans, func(o loan) bool { return o.until <= now }); len(loans) == 0 {
				delete(of, to)
			} else {
				of[to] = loans
				n += len(loans)
			}
		}
		if len(of) == 0 {
			delete(l.lent, p)
		}
	}
	for p, of := range l.borrowed {
		for lender, o := range of {
			if o.until <= now {
				delete(of, lender)
			} else {
				n++
			}
		}
		if len(of) == 0 {
			delete(l.borrowed, p)
		}
	}
	return n
}

// settle puts what is lent and borrowed into the words on its process. What is borrowed counts until the first of the
// loans ends, what is lent until the last does: both err to the safe side until the next round.
func (l *ledger) settle(now int64, words []mixer.PeerReport) []mixer.PeerReport {
	l.live(now)
	at := map[process]int{}
	for i, w := range words {
		at[process{w.Searcher, w.Started}] = i
	}
	word := func(p process) *mixer.PeerReport {
		i, ok := at[p]
		if !ok {
			i = len(words)
			at[p] = i
			words = append(words, mixer.PeerReport{Searcher: p.searcher, Started: p.started})
		}
		return &words[i]
	}
	for p, of := range l.lent {
		w := word(p)
		for _, loans := range of {
			for _, o := range loans {
				w.AwayUntil = max(w.AwayUntil, o.until)
			}
		}
	}
	for p, of := range l.borrowed {
		w := word(p)
		for _, lender := range slices.Sorted(maps.Keys(of)) {
			o := of[lender]
			w.Lent += o.rate
			if w.LentUntil == 0 || o.until < w.LentUntil {
				w.LentUntil = o.until
			}
		}
	}
	return words
}
