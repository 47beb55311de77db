package feed

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"nettlefold/internal/dispatch"
)

// ReadList is the platform's list as it was read: the whole list, or the changes to the list whose digest is Base, or nothing but its digest
// where it did not change. Receivers share it and do not change it.
type ListUpdate struct {
	Digest     uint64                 `cbor:"1,keyasint"` // digest of the list
	Full       bool                   `cbor:"3,keyasint,omitempty"`
	Backends   []dispatch.BackendInfo `cbor:"2,keyasint,omitempty"` // all of them, if Whole
	BaseDigest uint64                 `cbor:"4,keyasint,omitempty"` // 0 if there are no changes
	Changed    []dispatch.BackendInfo `cbor:"5,keyasint,omitempty"`
	Removed    []string               `cbor:"6,keyasint,omitempty"` // identities
	// Number orders readings: each reader adds one to the highest that it knows.
	Revision uint64 `cbor:"8,keyasint"`
	AgeMS    int64  `cbor:"7,keyasint,omitempty"` // between the beginning of the reading and the sending of this message
}

// ListRequest asks an agent for its list, by the digest of the caller's.
type ListRequest struct {
	Digest uint64 `cbor:"1,keyasint"` // 0 if it has none
}

// emptyListSum is the digest of a list without entries; 0 is that of no list.
const emptyListDigest = 1

// sorted encodes maps in one order.
var canonicalCBOR, _ = cbor.CoreDetEncOptions().EncMode()

// ListSum digests a list. The order of its entries does not matter, so the digest can be kept up to date by its changes.
func ListDigest(list []dispatch.BackendInfo) uint64 {
	sum := uint64(emptyListDigest)
	for i := range list {
		sum ^= entryDigest(&list[i])
	}
	return sum
}

func entryDigest(entry *dispatch.BackendInfo) uint64 {
	encoded, err := canonicalCBOR.Marshal(entry)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(encoded)
}

// WholeList makes news of a whole list.
func NewFullListUpdate(list []dispatch.BackendInfo) *ListUpdate {
	return &ListUpdate{Digest: ListDigest(list), Full: true, Backends: list}
}

// ListChanges makes news of what leads from one list, whose digest is given, to another.
func NewListDelta(from []dispatch.BackendInfo, fromSum uint64, to []dispatch.BackendInfo) *ListUpdate {
	changes := &ListUpdate{Digest: fromSum, BaseDigest: fromSum}
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
			changes.Digest ^= entryDigest(entry)
		case old.Equal(entry):
			continue
		default:
			changes.Digest ^= entryDigest(old) ^ entryDigest(entry)
		}
		changes.Changed = append(changes.Changed, *entry)
	}
	for id, old := range before {
		changes.Digest ^= entryDigest(old)
		changes.Removed = append(changes.Removed, id)
	}
	if !changes.hasChanges() {
		changes.BaseDigest = 0
	}
	return changes
}

// brings tells whether there are changes.
func (r *ListUpdate) hasChanges() bool { return len(r.Changed) > 0 || len(r.Removed) > 0 }

// Apply gives the list that follows from the one whose digest is given. It fails where the news is of changes to another list.
func (r *ListUpdate) Apply(list []dispatch.BackendInfo, sum uint64) (next []dispatch.BackendInfo, ok bool) {
	switch {
	case r.Full:
		return r.Backends, true
	case r.Digest == sum:
		return list, true
	case r.BaseDigest != sum || r.BaseDigest == 0:
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
		} else if !slices.Contains(r.Removed, id) {
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
func (r *ListUpdate) Merge(later *ListUpdate) *ListUpdate {
	if r == nil {
		return later
	}
	if later.Revision < r.Revision {
		return r
	}
	out := *r.compose(later)
	out.Revision = later.Revision
	return &out
}

// before is what r and later bring together.
func (r *ListUpdate) compose(later *ListUpdate) *ListUpdate {
	switch {
	case later.Digest == r.Digest && !later.Full:
		return r
	case later.Full || later.BaseDigest != r.Digest || r.BaseDigest == 0 && !r.Full:
		return later
	case r.Full:
		backends, _ := later.Apply(r.Backends, r.Digest)
		return &ListUpdate{Digest: later.Digest, Full: true, Backends: backends}
	}
	return r.mergeChanges(later)
}

// joined is the changes of both, of which the second follow the first.
func (r *ListUpdate) mergeChanges(later *ListUpdate) *ListUpdate {
	out := &ListUpdate{Digest: later.Digest, BaseDigest: r.BaseDigest, Changed: slices.Clone(later.Changed), Removed: slices.Clone(later.Removed)}
	told := map[string]bool{}
	for i := range later.Changed {
		told[later.Changed[i].ID] = true
	}
	for _, id := range later.Removed {
		told[id] = true
	}
	for i := range r.Changed {
		if !told[r.Changed[i].ID] {
			out.Changed = append(out.Changed, r.Changed[i])
		}
	}
	for _, id := range r.Removed {
		if !told[id] {
			out.Removed = append(out.Removed, id)
		}
	}
	return out
}
