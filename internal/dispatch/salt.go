package dispatch

import (
	"net/url"
	"strconv"
)

// SetSharingSince sets the start of the common salt of the tenants that share cached prompts, which belongs
// to the current configuration (replicated.PromptSharing). nil means that it is unknown. It reports whether the
// start differs from the one before.
func (t *Table) SetSharingSince(since *int64) (changed bool) {
	before := t.sharingSince
	t.sharingSince = since
	if before == nil || since == nil {
		return before != since
	}
	return *before != *since
}

// promptOwner returns the tenant whose cached prompts no other may use, "" if the request shares its prompt.
// A tenant that is not in the current configuration may be an isolated one that was removed while its request
// waited, and shares nothing.
func (t *Table) promptOwner(tenant string) string {
	if tenant == "" || t.config != nil && t.config.TenantShares(tenant) {
		return ""
	}
	return tenant
}

// cacheSalt returns the cache salt, which is all that separates cached prompts at engines and stores: of
// versions of the weights, of owners, and of what tenants shared before one of them was isolated. If the start
// of the common salt is unknown, the salt names the set of isolated tenants instead: under it are only prompts
// of tenants that are not in the set.
func (t *Table) cacheSalt(version int64, owner string) string {
	salt := "v" + strconv.FormatInt(version, 10)
	switch {
	case owner != "":
		return salt + "/" + url.PathEscape(owner) // header fields can't carry every name
	case t.sharingSince == nil && t.config != nil && t.config.IsolatedTenantsDigest() != "":
		return salt + "~" + t.config.IsolatedTenantsDigest()
	case t.sharingSince != nil && *t.sharingSince > 0:
		return salt + "-" + strconv.FormatInt(*t.sharingSince, 10)
	}
	return salt
}
