package replicated

import (
	"fmt"
	"slices"

	"nettlefold/internal/config"
)

// maxSharingTenantBytes bounds the names in PromptSharing.Tenants, unless the tenants of the current
// configuration alone need more than half of it.
const maxSharingTenantBytes = 256 << 10

// PromptSharing says which cached prompts the tenants that aren't isolated may share. Engines and stores
// find cached prompts by their salt alone, and neither events nor lists tell whose request made them. So a
// tenant that becomes isolated leaves prompts under the common salt that no other tenant may use, and the
// others need another salt from then on.
type PromptSharing struct {
	// Since is the version of the configuration that started the common salt in force, 0 for the first salt.
	// Cached prompts from before it are not used any more.
	Since int64 `cbor:"1,keyasint"`
	// Tenants has the names of all tenants that weren't isolated in some configuration from Since on, in
	// ascending order. Their prompts may be under the common salt, even if a later configuration has no
	// tenant of that name. The slice is replaced, never modified.
	Tenants []string `cbor:"2,keyasint,omitempty"`
	// Complete is false if Tenants may lack names, because the state comes from a build that didn't record
	// them. Any tenant may then have prompts under the common salt.
	Complete bool `cbor:"3,keyasint"`
}

// after returns the sharing that follows when a configuration comes into force.
func (p *PromptSharing) after(doc *config.Document) *PromptSharing {
	sharing, isolated := doc.TenantNames()
	if p.mayInclude(isolated) {
		return newSharing(doc.Version, sharing)
	}
	if !p.Complete {
		return p
	}
	tenants := slices.Concat(p.Tenants, sharing)
	slices.Sort(tenants)
	tenants = slices.Compact(tenants)
	if nameBytes(tenants) > max(maxSharingTenantBytes, 2*nameBytes(sharing)) {
		return newSharing(doc.Version, sharing)
	}
	return &PromptSharing{Since: p.Since, Tenants: tenants, Complete: true}
}

// newSharing returns the sharing that starts with a configuration whose tenants that aren't isolated are given.
func newSharing(version int64, tenants []string) *PromptSharing {
	tenants = slices.Sorted(slices.Values(tenants))
	return &PromptSharing{Since: version, Tenants: tenants, Complete: true}
}

// mayInclude reports whether prompts of one of the tenants may be under the common salt.
func (p *PromptSharing) mayInclude(tenants []string) bool {
	if !p.Complete {
		return len(tenants) > 0
	}
	return slices.ContainsFunc(tenants, func(name string) bool {
		_, found := slices.BinarySearch(p.Tenants, name)
		return found
	})
}

// startingAt returns the sharing with the start that the head of the chain has decided on, so that all
// replicas agree on it. Replicas differ only where one of them was started with the state of a build that
// didn't record the sharing. nil, from the head of such a build, decides nothing.
func (p *PromptSharing) startingAt(since *int64) *PromptSharing {
	switch {
	case since == nil || *since == p.Since:
		return p
	case *since > p.Since: // Tenants has at least those since then
		return &PromptSharing{Since: *since, Tenants: p.Tenants, Complete: p.Complete}
	}
	return &PromptSharing{Since: *since}
}

// unrecordedSharing returns the sharing for a state from a build that didn't record it. Unless its
// configuration isolates a tenant, whose prompts may be under the first salt, that salt stays in force.
func unrecordedSharing(s *State) (*PromptSharing, error) {
	if s.ConfigVersion == 0 {
		return &PromptSharing{Complete: true}, nil
	}
	doc, err := config.Decode(s.Config)
	if err != nil {
		return nil, fmt.Errorf("configuration %d: %w", s.ConfigVersion, err)
	}
	return new(PromptSharing).after(doc), nil
}

func nameBytes(names []string) (n int) {
	for _, name := range names {
		n += len(name)
	}
	return n
}

// Prepare returns the operation as the head of the chain appends it to the log, if Check has accepted it on
// top of this state.
func (s *State) Prepare(o *Operation) (*Operation, error) {
	if o.Kind != KindConfig {
		return o, nil
	}
	doc, err := config.Decode(o.Body)
	if err != nil {
		return nil, err
	}
	prepared := *o
	prepared.SharingSince = &s.PromptSharing.after(doc).Since
	return &prepared, nil
}
