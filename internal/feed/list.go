package feed

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"nettlefold/internal/dispatch"
)

// ListUpdate is the result of reading the platform's list of backends: the full list, the changes since the
// list with digest BaseDigest, or only the digest if nothing changed. Agents exchange it; proxies get a
// ProxyListUpdate. Receivers share it and must not modify it.
type ListUpdate struct {
	Digest     uint64                 `cbor:"1,keyasint"` // of the list that was read
	Full       bool                   `cbor:"3,keyasint,omitempty"`
	Backends   []dispatch.BackendInfo `cbor:"2,keyasint,omitempty"` // all of them, if Full is set
	BaseDigest uint64                 `cbor:"4,keyasint,omitempty"` // 0 if there are no changes
	Changed    []dispatch.BackendInfo `cbor:"5,keyasint,omitempty"`
	Removed    []string               `cbor:"6,keyasint,omitempty"` // backend IDs
	// Revision orders the reads of the list: each reader adds one to the highest revision that it knows.
	Revision uint64 `cbor:"8,keyasint"`
	AgeMS    int64  `cbor:"7,keyasint,omitempty"` // from the start of the read to the sending of this message
}

// ListRequest requests the backend list that an agent has, or its changes since the caller's list.
type ListRequest struct {
	Digest uint64 `cbor:"1,keyasint"` // of the caller's list, 0 if it has none
}

// emptyListDigest is the digest of an empty list; 0 stands for no list.
const emptyListDigest = 1

// canonicalCBOR encodes maps in a deterministic order. The options are valid, so there is no error.
var canonicalCBOR, _ = cbor.CoreDetEncOptions().EncMode()

// ListDigest returns the digest of a list: the XOR of the digests of its entries. It doesn't depend on their
// order, and can be updated from the changes alone.
func ListDigest(list []dispatch.BackendInfo) uint64 {
	digest := uint64(emptyListDigest)
	for i := range list {
		digest ^= entryDigest(&list[i])
	}
	return digest
}

func entryDigest(entry *dispatch.BackendInfo) uint64 {
	encoded, err := canonicalCBOR.Marshal(entry)
	if err != nil {
		return 0 // impossible: all backend entries can be encoded
	}
	return xxhash.Sum64(encoded)
}

// NewFullListUpdate returns an update with the full list.
func NewFullListUpdate(list []dispatch.BackendInfo) *ListUpdate {
	return &ListUpdate{Digest: ListDigest(list), Full: true, Backends: list}
}

// NewListDelta returns the update that leads from one list, with digest fromDigest, to another.
func NewListDelta(from []dispatch.BackendInfo, fromDigest uint64, to []dispatch.BackendInfo) *ListUpdate {
	update := &ListUpdate{Digest: fromDigest, BaseDigest: fromDigest}
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
			update.Digest ^= entryDigest(entry)
		case old.Equal(entry):
			continue
		default:
			update.Digest ^= entryDigest(old) ^ entryDigest(entry)
		}
		update.Changed = append(update.Changed, *entry)
	}
	for id, old := range before {
		update.Digest ^= entryDigest(old)
		update.Removed = append(update.Removed, id)
	}
	if !update.hasChanges() {
		update.BaseDigest = 0
	}
	return update
}

// hasChanges reports whether the update has changes to its base list.
func (u *ListUpdate) hasChanges() bool { return len(u.Changed) > 0 || len(u.Removed) > 0 }

// Apply returns the list that results from applying the update to the list with the given digest. ok is
// false if the update is based on another list.
func (u *ListUpdate) Apply(list []dispatch.BackendInfo, digest uint64) (next []dispatch.BackendInfo, ok bool) {
	switch {
	case u.Full:
		return u.Backends, true
	case u.Digest == digest:
		return list, true
	case u.BaseDigest != digest || u.BaseDigest == 0:
		return nil, false
	}
	replaced := make(map[string]*dispatch.BackendInfo, len(u.Changed))
	for i := range u.Changed {
		replaced[u.Changed[i].ID] = &u.Changed[i]
	}
	next = make([]dispatch.BackendInfo, 0, len(list)+len(u.Changed))
	for i := range list {
		id := list[i].ID
		if entry := replaced[id]; entry != nil {
			next = append(next, *entry)
			delete(replaced, id)
		} else if !slices.Contains(u.Removed, id) {
			next = append(next, list[i])
		}
	}
	for i := range u.Changed {
		if replaced[u.Changed[i].ID] != nil {
			next = append(next, u.Changed[i])
		}
	}
	return next, true
}

// Merge combines two updates for a receiver that has neither. If later isn't based on the list of u, it
// returns only the update with the higher Revision. u may be nil.
func (u *ListUpdate) Merge(later *ListUpdate) *ListUpdate {
	if u == nil {
		return later
	}
	if later.Revision < u.Revision {
		return u
	}
	merged := *u.compose(later)
	merged.Revision = later.Revision
	return &merged
}

// compose returns the combination of u and later, or later if it doesn't follow from u.
func (u *ListUpdate) compose(later *ListUpdate) *ListUpdate {
	switch {
	case later.Digest == u.Digest && !later.Full:
		return u
	case later.Full || later.BaseDigest != u.Digest || u.BaseDigest == 0 && !u.Full:
		return later
	case u.Full:
		backends, _ := later.Apply(u.Backends, u.Digest)
		return &ListUpdate{Digest: later.Digest, Full: true, Backends: backends}
	}
	return u.mergeChanges(later)
}

// mergeChanges returns the changes of both updates, of which later must follow from u. Entries of later
// replace those of u.
func (u *ListUpdate) mergeChanges(later *ListUpdate) *ListUpdate {
	merged := &ListUpdate{Digest: later.Digest, BaseDigest: u.BaseDigest, Changed: slices.Clone(later.Changed), Removed: slices.Clone(later.Removed)}
	replaced := map[string]bool{}
	for i := range later.Changed {
		replaced[later.Changed[i].ID] = true
	}
	for _, id := range later.Removed {
		replaced[id] = true
	}
	for i := range u.Changed {
		if !replaced[u.Changed[i].ID] {
			merged.Changed = append(merged.Changed, u.Changed[i])
		}
	}
	for _, id := range u.Removed {
		if !replaced[id] {
			merged.Removed = append(merged.Removed, id)
		}
	}
	return merged
}
