package config

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
)

// isolatedDigestBytes is the length of the digest of the isolated tenants' names.
const isolatedDigestBytes = 16

// tenantSharing says which tenants share cached prompts.
type tenantSharing struct {
	shares         map[string]bool // by name; false for isolated tenants and for those that are not in the configuration
	isolatedDigest string
}

// TenantNames returns the names of the tenants that share cached prompts with each other, and of those that
// are isolated.
func (d *Document) TenantNames() (sharing, isolated []string) {
	for i := range d.Tenants {
		if d.Tenants[i].Isolated {
			isolated = append(isolated, d.Tenants[i].Name)
		} else {
			sharing = append(sharing, d.Tenants[i].Name)
		}
	}
	return sharing, isolated
}

func newTenantSharing(doc *Document) tenantSharing {
	sharing, isolated := doc.TenantNames()
	s := tenantSharing{shares: make(map[string]bool, len(doc.Tenants)), isolatedDigest: digestNames(isolated)}
	for _, name := range sharing {
		s.shares[name] = true
	}
	return s
}

// digestNames returns a digest, in hex, of a set of names. It is "" for none.
func digestNames(names []string) string {
	if len(names) == 0 {
		return ""
	}
	var encoded []byte
	for _, name := range slices.Sorted(slices.Values(names)) {
		encoded = binary.AppendUvarint(encoded, uint64(len(name)))
		encoded = append(encoded, name...)
	}
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:isolatedDigestBytes])
}

// TenantShares reports whether a tenant shares cached prompts with other tenants: it is in the configuration
// and not isolated.
func (t *Table) TenantShares(name string) bool { return t.tenants.shares[name] }

// IsolatedTenantsDigest returns a digest, in hex, of the set of isolated tenants. It is "" if there are none.
func (t *Table) IsolatedTenantsDigest() string { return t.tenants.isolatedDigest }
