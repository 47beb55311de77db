package distribute

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MemberSet is the live agents, by ID.
type MemberSet struct {
	Digest uint64  `cbor:"1,keyasint"`
	Agents []Agent `cbor:"2,keyasint"`
}

// MemberDelta is what makes one set of members of another.
type MemberDelta struct {
	Base    uint64   `cbor:"1,keyasint"` // digest of the set that it applies to
	Digest  uint64   `cbor:"2,keyasint"` // of the set that it makes
	Added   []Agent  `cbor:"3,keyasint,omitempty"`
	Removed []string `cbor:"4,keyasint,omitempty"` // IDs
}

// NewMemberSet makes a set of agents in any order. It keeps the slice.
func NewMemberSet(agents []Agent) *MemberSet {
	slices.SortFunc(agents, func(a, b Agent) int { return cmp.Compare(a.ID, b.ID) })
	return &MemberSet{Digest: membersDigest(agents), Agents: agents}
}

// digestOf tells sets of agents apart by their IDs, which are in order.
func membersDigest(agents []Agent) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for i := range agents {
		digest.WriteString(agents[i].ID)
		digest.WriteString("\n")
	}
	return digest.Sum64()
}

// Delta gives what makes another set of this one.
func (s *MemberSet) DeltaTo(next *MemberSet) *MemberDelta {
	delta := &MemberDelta{Base: s.Digest, Digest: next.Digest}
	old, now := s.Agents, next.Agents
	for len(old) > 0 || len(now) > 0 {
		switch {
		case len(now) == 0 || len(old) > 0 && old[0].ID < now[0].ID:
			delta.Removed = append(delta.Removed, old[0].ID)
			old = old[1:]
		case len(old) == 0 || now[0].ID < old[0].ID:
			delta.Added = append(delta.Added, now[0])
			now = now[1:]
		default:
			if old[0] != now[0] {
				delta.Added = append(delta.Added, now[0]) // it replaces the other
			}
			old, now = old[1:], now[1:]
		}
	}
	return delta
}

// Apply makes the set that a delta leads to; nil if the delta is of another set.
func (s *MemberSet) Apply(delta *MemberDelta) *MemberSet {
	if delta.Base != s.Digest {
		return nil
	}
	left := make(map[string]bool, len(delta.Removed)+len(delta.Added))
	for _, id := range delta.Removed {
		left[id] = true
	}
	for i := range delta.Added {
		left[delta.Added[i].ID] = true
	}
	agents := make([]Agent, 0, len(s.Agents)+len(delta.Added))
	for _, a := range s.Agents {
		if !left[a.ID] {
			agents = append(agents, a)
		}
	}
	next := NewMemberSet(append(agents, delta.Added...))
	if next.Digest != delta.Digest {
		return nil
	}
	return next
}
