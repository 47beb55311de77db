package feed

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"nettlefold/internal/dispatch"
)

// ReadList is the platform's list as it was read: the whole list, or the changes to the list whose digest is Base, or nothing but its digest
// where it did not change. Receivers share it and do not change it.
type ReadList struct {
	Sum      uint64                 `cbor:"1,keyasint"` // digest of the list
	Whole    bool                   `cbor:"3,keyasint,omitempty"`
	Backends []dispatch.BackendInfo `cbor:"2,keyasint,omitempty"` // all of them, if Whole
	Base     uint64                 `cbor:"4,keyasint,omitempty"` // 0 if there are no changes
	Changed  []dispatch.BackendInfo `cbor:"5,keyasint,omitempty"`
	Gone     []string               `cbor:"6,keyasint,omitempty"` // identities
	// Number orders readings: each reader adds one to the highest that it knows.
	Number uint64 `cbor:"8,keyasint"`
	AgeMS  int64  `cbor:"7,keyasint,omitempty"` // between the beginning of the reading and the sending of this message
}

// ListRequest asks an agent for its list, by the digest of the caller's.
type ListRequest struct {
	Sum uint64 `cbor:"1,keyasint"` // 0 if it has none
}

// emptyListSum is the digest of a list without entries; 0 is that of no list.
const emptyListSum = 1

// sorted encodes maps in one order.
var sorted, _ = cbor.CoreDetEncOptions().EncMode()

// ListSum digests a list. The order of its entries does not matter, so the digest can be kept up to date by its changes.
func ListSum(list []dispatch.BackendInfo) uint64 {
	sum := uint64(emptyListSum)
	for i := range list {
		sum ^= entrySum(&list[i])
	}
	return sum
}

func entrySum(entry *dispatch.BackendInfo) uint64 {
	encoded, err := sorted.Marshal(entry)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(encoded)
}

// WholeList makes news of a whole list.
func WholeList(list []dispatch.BackendInfo) *ReadList {
	return &ReadList{Sum: ListSum(list), Whole: true, Backends: list}
}

// ListChanges makes news of what leads from one list, whose digest is given, to another.
func ListChanges(from []dispatch.BackendInfo, fromSum uint64, to []dispatch.BackendInfo) *ReadList {
	changes := &ReadList{Sum: fromSum, Base: fromSum}
	before := make(map[string]*dispatch.BackendInfo, len(from))
	for i := range from {
		before[from[i].ID] = &from[i]
	}
	for i := range to {
		entry := &to[i]
		old := before[entry.ID]
		delete(before, entry.ID)
		switch {
		case old == nil:
			changes.Sum ^= entrySum(entry)
		case old.Equal(entry):
			continue
		default:
			changes.Sum ^= entrySum(old) ^ entrySum(entry)
		}
		changes.Changed = append(changes.Changed, *entry)
	}
	for id, old := range before {
		changes.Sum ^= entrySum(old)
		changes.Gone = append(changes.Gone, id)
	}
	if !changes.brings() {
		changes.Base = 0
	}
	return changes
}

// brings tells whether there are changes.
func (r *ReadList) brings() bool { return len(r.Changed) > 0 || len(r.Gone) > 0 }

// Apply gives the list that follows from the one whose digest is given. It fails where the news is of changes to another list.
func (r *ReadList) Apply(list []dispatch.BackendInfo, sum uint64) (next []dispatch.BackendInfo, ok bool) {
	switch {
	case r.Whole:
		return r.Backends, true
	case r.Sum == sum:
		return list, true
	case r.Base != sum || r.Base == 0:
		return nil, false
	}
	replaced := make(map[string]*dispatch.BackendInfo, len(r.Changed))
	for i := range r.Changed {
		replaced[r.Changed[i].ID] = &r.Changed[i]
	}
	next = make([]dispatch.BackendInfo, 0, len(list)+len(r.Changed))
	for i := range list {
		id := list[i].ID
		if entry := replaced[id]; entry != nil {
			next = append(next, *entry)
			delete(replaced, id)
		} else if !slices.Contains(r.Gone, id) {
			next = append(next, list[i])
		}
	}
	for i := range r.Changed {
		if replaced[r.Changed[i].ID] != nil {
			next = append(next, r.Changed[i])
		}
	}
	return next, true
}

// Then joins news with what came after it, for a receiver that has neither. Where the two do not follow each other that of the later reading
// stands alone.
func (r *ReadList) Then(later *ReadList) *ReadList {
	if r == nil {
		return later
	}
	if later.Number < r.Number {
		return r
	}
	out := *r.before(later)
	out.Number = later.Number
	return &out
}

// before is what r and later bring together.
func (r *ReadList) before(later *ReadList) *ReadList {
	switch {
	case later.Sum == r.Sum && !later.Whole:
		return r
	case later.Whole || later.Base != r.Sum || r.Base == 0 && !r.Whole:
		return later
	case r.Whole:
		backends, _ := later.Apply(r.Backends, r.Sum)
		return &ReadList{Sum: later.Sum, Whole: true, Backends: backends}
	}
	return r.joined(later)
}

// joined is the changes of both, of which the second follow the first.
func (r *ReadList) joined(later *ReadList) *ReadList {
	out := &ReadList{Sum: later.Sum, Base: r.Base, Changed: slices.Clone(later.Changed), Gone: slices.Clone(later.Gone)}
	told := map[string]bool{}
	for i := range later.Changed {
		told[later.Changed[i].ID] = true
	}
	for _, id := range later.Gone {
		told[id] = true
	}
	for i := range r.Changed {
		if !told[r.Changed[i].ID] {
			out.Changed = append(out.Changed, r.Changed[i])
		}
	}
	for _, id := range r.Gone {
		if !told[id] {
			out.Gone = append(out.Gone, id)
		}
	}
	return out
}
