package distribute

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MemberSet has the live agents, the members, sorted by ID. The digest covers only the IDs: sets that differ
// just in Addr or Zone have the same digest.
type MemberSet struct {
	Digest uint64  `cbor:"1,keyasint"`
	Agents []Agent `cbor:"2,keyasint"`
}

// MemberDelta is the difference between two member sets.
type MemberDelta struct {
	Base    uint64   `cbor:"1,keyasint"` // digest of the set that the delta applies to
	Digest  uint64   `cbor:"2,keyasint"` // digest of the resulting set
	Added   []Agent  `cbor:"3,keyasint,omitempty"`
	Removed []string `cbor:"4,keyasint,omitempty"` // IDs
}

// NewMemberSet returns a set of agents. It sorts the slice, which the caller must not modify afterwards.
func NewMemberSet(agents []Agent) *MemberSet {
	slices.SortFunc(agents, func(a, b Agent) int { return cmp.Compare(a.ID, b.ID) })
	return &MemberSet{Digest: membersDigest(agents), Agents: agents}
}

// membersDigest returns the digest of the IDs of agents, which must be sorted.
func membersDigest(agents []Agent) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for i := range agents {
		digest.WriteString(agents[i].ID)
		digest.WriteString("\n")
	}
	return digest.Sum64()
}

// DeltaTo returns the delta that leads from this set to next. An agent that differs under the same ID counts
// as added.
func (s *MemberSet) DeltaTo(next *MemberSet) *MemberDelta {
	delta := &MemberDelta{Base: s.Digest, Digest: next.Digest}
	old, updated := s.Agents, next.Agents
	for len(old) > 0 || len(updated) > 0 {
		switch {
		case len(updated) == 0 || len(old) > 0 && old[0].ID < updated[0].ID:
			delta.Removed = append(delta.Removed, old[0].ID)
			old = old[1:]
		case len(old) == 0 || updated[0].ID < old[0].ID:
			delta.Added = append(delta.Added, updated[0])
			updated = updated[1:]
		default:
			if old[0] != updated[0] {
				delta.Added = append(delta.Added, updated[0]) // Apply replaces the old entry
			}
			old, updated = old[1:], updated[1:]
		}
	}
	return delta
}

// Apply returns the set that results from a delta. It returns nil if the delta belongs to another set or the
// result doesn't match its digest.
func (s *MemberSet) Apply(delta *MemberDelta) *MemberSet {
	if delta.Base != s.Digest {
		return nil
	}
	dropped := make(map[string]bool, len(delta.Removed)+len(delta.Added))
	for _, id := range delta.Removed {
		dropped[id] = true
	}
	for i := range delta.Added {
		dropped[delta.Added[i].ID] = true
	}
	agents := make([]Agent, 0, len(s.Agents)+len(delta.Added))
	for _, a := range s.Agents {
		if !dropped[a.ID] {
			agents = append(agents, a)
		}
	}
	next := NewMemberSet(append(agents, delta.Added...))
	if next.Digest != delta.Digest {
		return nil
	}
	return next
}
