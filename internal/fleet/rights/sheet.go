package rights

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

const (
	version = 1
	ms      = 1_000_000
	// MaxSheet is how many bytes of one sheet are taken.
	MaxSheet = 512 << 10
	// MaxState is how many bytes of one state are taken.
	MaxState = 8 << 20
)

// Sheet is all that a life says at one time. It stands for all that it said before.
type Sheet struct {
	Version     int     `cbor:"1,keyasint"`
	Print       uint64  `cbor:"2,keyasint"` // of the options
	Name        string  `cbor:"3,keyasint"`
	Ward        int     `cbor:"4,keyasint,omitempty"`
	Life        uint64  `cbor:"5,keyasint"`
	Number      uint64  `cbor:"6,keyasint"`           // of the sheet in that life, from 1
	Voted       uint64  `cbor:"7,keyasint,omitempty"` // the life that it votes for, 0: none
	VotedNumber uint64  `cbor:"8,keyasint,omitempty"`
	Chair       bool    `cbor:"9,keyasint,omitempty"`
	Keys        []key   `cbor:"10,keyasint,omitempty"` // of what it asks for, in their order
	Asks        []int64 `cbor:"11,keyasint,omitempty"` // for each of them, of the chair of each ward
	LoanKeys    []key   `cbor:"12,keyasint,omitempty"`
	Loans       []Loan  `cbor:"13,keyasint,omitempty"`
	Back        []Back  `cbor:"14,keyasint,omitempty"`
}

// Loan lends a life an amount of each of the sheet's first resources. It answers one statement of that life, and runs from when
// that was made, by the borrower's own clock.
type Loan struct {
	_       struct{} `cbor:",toarray"`
	Life    uint64
	Number  uint64
	Amounts []int64
}

// envelope carries sheets as their lives wrote them.
type envelope struct {
	Version int        `cbor:"1,keyasint"`
	Sheets  []enclosed `cbor:"2,keyasint"`
}

// enclosed is a sheet under its cover. Age is for how long, in ms, those who passed it on have known it: without that two who
// forget at different times would tell each other of the dead for ever, each time as news. No right hangs on it.
type enclosed struct {
	_            struct{} `cbor:",toarray"`
	Life, Number uint64
	Age          uint64
	Raw          []byte
}

// heard is the newest sheet of a life, and when the first of those who passed it on had it, by this life's clock.
type heard struct {
	sheet *Sheet
	raw   []byte
	seen  int64
}

// ErrState is the error of Take for what cannot be taken, with what is at fault.
var ErrState = errors.New("rights: not a sound state")

var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8, MaxArrayElements: maxResources * maxWards, MaxMapPairs: 16,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// tell writes a sheet, takes it as heard, and with it what this life lends itself.
func (l *Ledger) tell(now int64, s *Sheet) {
	raw, err := cbor.Marshal(s)
	if err == nil && len(raw) > MaxSheet { // no loan is lost by what is not told: it is counted as given until its end
		s.LoanKeys, s.Loans = nil, nil
		raw, err = cbor.Marshal(s)
		l.counts.Unsent++
	}
	if err != nil {
		panic(err) // numbers and text only
	}
	l.sheets[s.Life] = &heard{s, raw, now}
	l.borrow(now, s)
}

// Offer gives what this life knows, in at most so many bytes: its own sheet, those of the chairs, then the others from where the
// last offer ended. What does not fit waits for its turn. It is nil where not even its own fits.
func (l *Ledger) Offer(now int64, most int) []byte {
	const around = 16 // bytes beside the sheets, and beside each
	e, left := envelope{Version: version}, min(most, MaxState)-around
	put := func(id uint64) bool {
		h := l.sheets[id]
		if len(h.raw)+2*around > left {
			return false
		}
		left -= len(h.raw) + 2*around
		e.Sheets = append(e.Sheets, enclosed{Life: id, Number: h.sheet.Number, Age: uint64(max(0, now-h.seen)) / ms, Raw: h.raw})
		return true
	}
	if l.sheets[l.self.ID] == nil || !put(l.self.ID) {
		l.counts.Unsent++
		return nil
	}
	ids := slices.Sorted(maps.Keys(l.sheets))
	for _, id := range ids {
		if id != l.self.ID && l.sheets[id].sheet.Chair {
			put(id)
		}
	}
	first, _ := slices.BinarySearch(ids, l.turn)
	for i := range ids {
		id := ids[(first+i)%len(ids)]
		if id == l.self.ID || l.sheets[id].sheet.Chair {
			continue
		}
		if !put(id) {
			l.turn = id
			break
		}
	}
	raw, err := cbor.Marshal(e)
	if err != nil {
		panic(err)
	}
	return raw
}

// Take joins what another offers: of each life the newest sheet counts. What is unsound is left out, the rest is taken.
func (l *Ledger) Take(now int64, from string, state []byte) error {
	e := envelope{}
	if len(state) > MaxState {
		return fmt.Errorf("%w: %d bytes from %q", ErrState, len(state), from)
	}
	if err := decoder.Unmarshal(state, &e); err != nil || e.Version != version {
		l.counts.Bad++
		return fmt.Errorf("%w: version %d from %q: %v", ErrState, e.Version, from, err)
	}
	var errs []error
	defer l.recount(now)
	for _, x := range e.Sheets {
		if err := l.join(now, x); err != nil {
			l.counts.Bad++
			if len(errs) < 4 {
				errs = append(errs, fmt.Errorf("%w: life %x from %q: %v", ErrState, x.Life, from, err))
			}
		}
	}
	return errors.Join(errs...)
}

func (l *Ledger) join(now int64, x enclosed) error {
	old := l.sheets[x.Life]
	if x.Life == l.self.ID { // its own word on itself is never news
		l.counts.Old++
		return nil
	}
	if old != nil && (x.Number < old.sheet.Number || x.Number == old.sheet.Number && bytes.Compare(x.Raw, old.raw) <= 0) {
		l.counts.Old++
		return nil
	}
	if x.Age >= uint64(l.forgotten()/ms) {
		l.counts.Old++
		return nil
	}
	if len(x.Raw) > MaxSheet {
		return fmt.Errorf("%d bytes", len(x.Raw))
	}
	s := &Sheet{}
	if err := decoder.Unmarshal(x.Raw, s); err != nil {
		return err
	}
	switch {
	case s.Version != version || s.Print != l.print:
		l.counts.Foreign++
		return errors.New("other version or options")
	case s.Life != x.Life || s.Number != x.Number:
		return errors.New("another sheet than its cover says")
	case old == nil && len(l.sheets) >= maxLives:
		l.counts.Full++
		return fmt.Errorf("more than %d lives", maxLives)
	}
	if err := l.unsound(s); err != nil {
		return err
	}
	l.sheets[x.Life] = &heard{s, x.Raw, now - int64(x.Age)*ms}
	l.counts.Taken++
	l.takeBack(s)
	l.borrow(now, s)
	return nil
}

// unsound says what of a sheet cannot be.
func (l *Ledger) unsound(s *Sheet) error {
	switch {
	case s.Name == "" || len(s.Name) > maxName || s.Ward < 0 || s.Ward >= len(l.o.Wards) || s.Life == 0 || s.Number == 0:
		return errors.New("head")
	case len(s.Keys) > maxResources || len(s.LoanKeys) > maxResources || !rising(s.Keys) || !rising(s.LoanKeys):
		return errors.New("keys")
	case len(s.Asks) != len(s.Keys)*len(l.o.Wards) || !amounts(s.Asks):
		return errors.New("asks")
	}
	if slices.ContainsFunc(s.Back, func(b Back) bool { return b.Before > s.Number || b.Most < 0 || b.Most > maxAmount }) {
		return errors.New("given back")
	}
	for _, n := range s.Loans {
		if n.Life == 0 || n.Number == 0 || len(n.Amounts) > len(s.LoanKeys) || !amounts(n.Amounts) {
			return errors.New("loans")
		}
	}
	return nil
}

func rising(keys []key) bool {
	for i := 1; i < len(keys); i++ {
		if keys[i] <= keys[i-1] {
			return false
		}
	}
	return true
}

func amounts(all []int64) bool {
	return !slices.ContainsFunc(all, func(x int64) bool { return x < 0 || x > maxAmount })
}

// when gives when a statement of this life was made, if that is remembered.
func (l *Ledger) when(number uint64) (int64, bool) {
	ok := number > 0 && number <= l.number && number+remembered > l.number
	return l.made[number%remembered], ok
}

// borrow takes the loans to this life off a sheet.
func (l *Ledger) borrow(now int64, s *Sheet) {
	for _, n := range s.Loans {
		if n.Life != l.self.ID && !l.terms.anyLife {
			continue
		}
		at, ok := l.when(n.Number)
		if l.terms.told {
			at = now
		}
		if !ok || at+l.terms.use <= now {
			l.counts.Late++
			continue
		}
		from := lender{s.Life, s.Ward}
		for i, amount := range n.Amounts {
			k := s.LoanKeys[i]
			if b, ok := l.back[k][from]; ok && n.Number < b.before && !l.terms.unkept {
				amount = min(amount, b.most)
			}
			if amount > 0 {
				if l.claims[k] == nil {
					l.claims[k] = map[lender]claims{}
				}
				if l.terms.summed {
					l.claims[k][from] = append(l.claims[k][from], claim{amount, at + l.terms.use, n.Number})
					continue
				}
				l.claims[k][from] = l.claims[k][from].fewer(now, claim{amount, at + l.terms.use, n.Number})
			}
		}
	}
}
