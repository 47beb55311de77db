package rights

import (
	"cmp"
	"maps"
	"slices"
)

// One chair a ward lends what the ward's seats own beyond their floors. It is in the chair while a majority of the seats vote for
// it. A vote answers one statement of the candidate, as a loan answers one of the borrower: used 0.98 terms from when that was
// made, counted 1.02 terms from when it was given. So two majorities would need one voter that gives two votes at a time, which
// no life does, nor two lives of a seat: one that starts gives none until an earlier one's have run out. Nobody need know who
// they are: lives that vote are spread over time as lives that live, so no more of them than seats.
//
// A new chair lends nothing until all that an earlier one lent has run out: it lent nothing after its votes had.

// elect votes, and finds whether this life is in the chair.
func (l *Ledger) elect(now int64) (moves []Move) {
	moves = l.cast(now)
	l.recount(now)
	if is := now < l.until; is != l.chaired {
		l.chaired = is
		moves = append(moves, Move{Kind: map[bool]Kind{true: Took, false: Lost}[is], Life: l.self.ID})
	}
	return moves
}

// recount finds until when a majority votes for this life, by the newest that is heard of each.
func (l *Ledger) recount(now int64) {
	var untils []int64
	count := func(life, number uint64) {
		if life == l.self.ID {
			if at, ok := l.when(number); ok {
				untils = append(untils, at+l.terms.voteUse)
			}
		}
	}
	count(l.vote.life, l.vote.number)
	for id, h := range l.sheets {
		if id != l.self.ID && h.sheet.Ward == l.ward {
			count(h.sheet.Voted, h.sheet.VotedNumber)
		}
	}
	slices.SortFunc(untils, func(a, b int64) int { return cmp.Compare(b, a) })
	need, before := l.majority, l.until
	if l.terms.fewVotes {
		need = 1
	}
	if l.until = 0; len(untils) >= need {
		l.until = untils[need-1]
	}
	if now < l.until && now >= before { // also where it slept, or heard of the votes too late: another may have been there
		l.since = now
	}
}

// cast renews this life's vote or gives a new one once the old has run out. It votes for who is in the chair, else for the least
// of the lives that are heard, which most see alike. One that never comes to the chair, as when it is heard but hears nobody, is
// passed over.
func (l *Ledger) cast(now int64) (moves []Move) {
	if now < l.started+l.terms.start {
		return nil
	}
	v := &l.vote
	if id := v.life; id != 0 && id != l.self.ID && now-v.since > patience*l.o.Vote && l.passed[id] <= now {
		if h := l.sheets[id]; h == nil || !h.sheet.Chair {
			l.passed[id] = now + passOver*l.o.Vote
			moves = append(moves, Move{Kind: Passed, Life: id})
		}
	}
	best, number, chair := l.self.ID, l.number, now < l.until
	for _, id := range slices.Sorted(maps.Keys(l.sheets)) {
		h := l.sheets[id]
		if id == l.self.ID || h.sheet.Ward != l.ward || now-h.seen > l.o.Vote || l.passed[id] > now {
			continue
		}
		if h.sheet.Chair && !chair || h.sheet.Chair == chair && id < best {
			best, number, chair = id, h.sheet.Number, h.sheet.Chair
		}
	}
	switch {
	case now >= v.until:
		since := now
		if v.life == best {
			since = v.since
		}
		*v = vote{best, number, now + l.terms.voteGiveUp, since}
	case v.life == best && number > v.number:
		v.number, v.until = number, now+l.terms.voteGiveUp
	}
	return moves
}

// asker is who asks this chair for how much of one resource.
type asker struct {
	id, number uint64
	ward       int
	ask, give  int64
	fair       int64 // what it should have
}

// lend divides what the chair may lend of each resource, and puts the loans on the sheet.
func (l *Ledger) lend(now int64, s *Sheet) (moves []Move) {
	all := make([][]asker, len(l.keys))
	at := make(map[key]int, len(l.keys))
	for i, k := range l.keys {
		at[k] = i
	}
	hear := func(from *Sheet) {
		for r, k := range from.Keys {
			if i, ok := at[k]; ok {
				ask := from.Asks[r*len(l.o.Wards)+l.ward]
				all[i] = append(all[i], asker{id: from.Life, number: from.Number, ward: from.Ward, ask: ask})
			}
		}
	}
	ids := slices.Sorted(maps.Keys(l.sheets))
	for _, id := range ids {
		if h := l.sheets[id]; id != l.self.ID && now-h.seen <= l.o.Lease {
			hear(h.sheet)
		}
	}
	hear(s)
	s.LoanKeys = l.keys
	loans := map[uint64]*Loan{}
	for i, k := range l.keys {
		total := int64(0)
		for _, c := range l.away[k] {
			total += l.terms.running(c, now)
		}
		pool := l.o.pool(l.ward, l.demand[i].Limit)
		l.divide(k, pool, all[i])
		for _, a := range all[i] {
			has := l.away[k][a.id].running(now)
			room := max(0, pool-(total-has)) // less all that others may still use
			if l.terms.copied {
				room = pool
			}
			give, told := min(a.give, room), l.given[k][a.id]
			if told.number == a.number { // a statement is answered once, and that answer told again
				give = told.amount
			} else {
				total += l.book(now, k, a.id, told, loaned{give, a.number}) - has
			}
			if give != told.amount {
				moves = append(moves, Move{Kind: Lent, Resource: l.demand[i].Resource, Life: a.id, Amount: give})
			}
			if give == 0 {
				continue
			}
			if loans[a.id] == nil {
				loans[a.id] = &Loan{Life: a.id, Number: a.number}
			}
			n := loans[a.id]
			n.Amounts = append(n.Amounts, make([]int64, i-len(n.Amounts))...)
			n.Amounts = append(n.Amounts, give)
		}
	}
	for _, id := range append(ids, l.self.ID) {
		if n := loans[id]; n != nil {
			s.Loans = append(s.Loans, *n)
			delete(loans, id)
		}
	}
	return moves
}

// loaned is what a life was last lent of a resource, and which of its statements that answers.
type loaned struct {
	amount int64
	number uint64
}

// book counts a loan as given, and gives what then counts as that life's.
func (l *Ledger) book(now int64, k key, id uint64, told, n loaned) int64 {
	if n.amount == 0 && told.amount == 0 {
		return l.away[k][id].running(now)
	}
	if l.away[k] == nil {
		l.away[k] = map[uint64]claims{}
	}
	if l.given[k] == nil {
		l.given[k] = map[uint64]loaned{}
	}
	l.given[k][id] = n
	if l.terms.freed {
		l.away[k][id] = nil
	}
	if n.amount > 0 {
		l.away[k][id] = l.away[k][id].more(now, claim{n.amount, now + l.terms.giveUp, n.number})
	}
	return l.away[k][id].running(now)
}

// divide says who should have how much of a pool: those of this ward first, each what it asks for or, where there is less, by
// what it asks for; then the others from what is left. What each has is left as it is where little would change.
func (l *Ledger) divide(k key, pool int64, all []asker) {
	left := pool
	for _, ours := range []bool{true, false} {
		total := int64(0)
		for _, a := range all {
			if (a.ward == l.ward) == ours {
				total += a.ask
			}
		}
		short, share, spare := total > left, left, left
		for i := range all {
			if a := &all[i]; (a.ward == l.ward) == ours {
				if a.give = a.ask; short {
					a.give = share * a.ask / total
				}
				spare -= a.give
			}
		}
		for i := range all {
			a := &all[i]
			if (a.ward == l.ward) != ours || a.ask == 0 {
				continue
			}
			if spare > 0 && a.give < a.ask { // what is left by whole units goes to the first
				a.give, spare = a.give+1, spare-1
			}
			a.fair = a.give
			has := l.given[k][a.id].amount
			little := max(1, has/swing)
			if has > 0 && a.give > 0 && (a.give < has && a.give >= has-little || short && a.give > has && a.give <= has+little) {
				a.give = has
			}
			left = max(0, left-a.give)
		}
		if short { // what is left as it is leaves some free: for those who should have more, and not for the others
			for i := range all {
				a := &all[i]
				more := min(left, max(0, a.fair-a.give))
				a.give, left = a.give+more, left-more
			}
			left = 0
		}
	}
}
