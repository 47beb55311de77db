package desk

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

const (
	version = 1
	maxName = 32
	// MaxState is how many bytes of one state are taken.
	MaxState = 16 << 20
	head     = 8  // bytes of a state beside its parts
	each     = 16 // bytes of a part beside its name and state
)

// ErrState is the error of Take for what is no state, or one of another version.
var ErrState = errors.New("desk: not a state")

// state is what goes from one desk to another: what each table offers, as the table wrote it.
type state struct {
	Version int    `cbor:"1,keyasint"`
	Parts   []part `cbor:"2,keyasint"`
}

type part struct {
	_     struct{} `cbor:",toarray"`
	Table string
	Bytes []byte
}

var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 4, MaxArrayElements: 64, MaxMapPairs: 16, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Offer gives what the tables offered after their last rounds, in at most so many bytes. It also says how many bytes each may
// offer next: an equal part each, and to those that fill theirs, in equal parts, what the others leave. A table that does not
// fit, as the room has shrunk or another has grown, is left out this time; who comes first goes round. So is one whose last round
// is long past: where this process was stopped, it would tell of then as of now.
func (d *Desk) Offer(most int) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.share(min(most, MaxState) - head)
	left := min(most, MaxState) - head
	st := state{Version: version}
	for i := range d.slots {
		s := d.slots[(d.turn+i)%len(d.slots)]
		size := len(s.offer) + len(s.name) + each
		switch {
		case len(s.offer) == 0 || s.aside.Load() || d.clock()-s.offered > int64(stale*d.round):
		case size > left:
			s.stand.Out++
		default:
			left -= size
			st.Parts = append(st.Parts, part{Table: s.name, Bytes: s.offer})
		}
	}
	d.turn++
	if len(st.Parts) == 0 {
		return nil
	}
	raw, err := cbor.Marshal(st)
	if err != nil {
		panic(err) // text and bytes only
	}
	return raw
}

// Said gives what Take takes, for one table alone: what is to be told by another way than an exchange.
func Said(table string, of []byte) []byte {
	raw, err := cbor.Marshal(state{Version: version, Parts: []part{{Table: table, Bytes: of}}})
	if err != nil {
		panic(err) // text and bytes only
	}
	return raw
}

// Heard gives what Said was told of a table, where that is not a desk's to take. Its errors are ErrState.
func Heard(table string, raw []byte) ([]byte, error) {
	st := state{}
	if len(raw) > MaxState {
		return nil, fmt.Errorf("%w: %d bytes", ErrState, len(raw))
	}
	if err := decoder.Unmarshal(raw, &st); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrState, err)
	}
	if st.Version != version || len(st.Parts) != 1 || st.Parts[0].Table != table {
		return nil, fmt.Errorf("%w: version %d, %d parts, want %d and one for %q", ErrState, st.Version, len(st.Parts), version, table)
	}
	return st.Parts[0].Bytes, nil
}

// share divides room among the tables.
func (d *Desk) share(room int) {
	if len(d.slots) == 0 {
		return
	}
	equal := max(0, room/len(d.slots))
	spare, hungry := 0, 0
	full := func(s *slot) bool { return len(s.offer)+len(s.offer)/4 > equal-len(s.name)-each }
	for _, s := range d.slots {
		if full(s) {
			hungry++
		} else {
			spare += equal - len(s.name) - each - len(s.offer) - len(s.offer)/4
		}
	}
	for _, s := range d.slots {
		if s.most = equal - len(s.name) - each; full(s) {
			s.most += spare / hungry
		}
		s.most = max(0, s.most)
	}
}

// Take gives each table its part of what another offers. A part for a table that is not here is passed over. The tables take
// theirs when a worker comes to it, so what they refuse is in their standing and not in the error. Where more wait than a
// table's inbox holds, the oldest is dropped: states stand for all before them, and come again.
func (d *Desk) Take(from string, raw []byte) error {
	if len(raw) == 0 {
		return nil
	}
	if len(raw) > MaxState {
		return fmt.Errorf("%w: %d bytes from %q", ErrState, len(raw), from)
	}
	st := state{}
	if err := decoder.Unmarshal(raw, &st); err != nil {
		return fmt.Errorf("%w: from %q: %v", ErrState, from, err)
	}
	if st.Version != version {
		return fmt.Errorf("%w: version %d from %q", ErrState, st.Version, from)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	seen := map[string]bool{}
	for _, p := range st.Parts {
		s, err := d.slot(p.Table)
		if err != nil || seen[p.Table] {
			d.unread++
			continue
		}
		seen[p.Table] = true
		if s.aside.Load() || len(p.Bytes) > maxWaiting {
			s.stand.Dropped++
			continue
		}
		s.inbox = append(s.inbox, parcel{from, p.Bytes})
		for s.waiting += len(p.Bytes); len(s.inbox) > maxInbox || s.waiting > maxWaiting; s.stand.Dropped++ {
			s.waiting -= len(s.inbox[0].state)
			s.inbox = s.inbox[1:]
		}
		d.wake(s)
	}
	return nil
}

// Unread gives how many parts of states were for tables that are not here.
func (d *Desk) Unread() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.unread
}
