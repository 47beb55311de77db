package rendezvous

// OwnerCache caches the owners of many keys while candidates join and leave. It returns the same owners
// as the package function Owner, which computes the weights of all candidates on each call. A candidate that
// joins costs one weight per key; one that leaves costs the weights of all candidates for the keys that it
// owned. It isn't safe for concurrent use.
type OwnerCache struct {
	candidates []string
	present    map[string]bool   // the candidates as a set
	owners     map[string]ranked // by key
}

// NewOwnerCache returns a cache without candidates.
func NewOwnerCache() *OwnerCache {
	return &OwnerCache{present: map[string]bool{}, owners: map[string]ranked{}}
}

// SetCandidates replaces the candidates. The caller must not modify the slice afterwards.
func (o *OwnerCache) SetCandidates(candidates []string) {
	present := make(map[string]bool, len(candidates))
	var joined []string
	for _, c := range candidates {
		if !o.present[c] && !present[c] {
			joined = append(joined, c)
		}
		present[c] = true
	}
	left := false
	for c := range o.present {
		left = left || !present[c]
	}
	o.candidates, o.present = candidates, present
	if left {
		for key, owner := range o.owners {
			if !present[owner.candidate] {
				delete(o.owners, key) // computed again by the method Owner
			}
		}
	}
	for key, owner := range o.owners {
		for _, c := range joined {
			if r := (ranked{c, Weight(key, c)}); r.outranks(owner) {
				owner = r
			}
		}
		o.owners[key] = owner
	}
}

// Owner returns the candidate with the highest weight, "" if there are no candidates.
func (o *OwnerCache) Owner(key string) string {
	if owner, known := o.owners[key]; known {
		return owner.candidate
	}
	if len(o.candidates) == 0 {
		return ""
	}
	best := ranked{o.candidates[0], Weight(key, o.candidates[0])}
	for _, c := range o.candidates[1:] {
		if r := (ranked{c, Weight(key, c)}); r.outranks(best) {
			best = r
		}
	}
	o.owners[key] = best
	return best.candidate
}

// Retain drops all keys for which wanted returns false.
func (o *OwnerCache) Retain(wanted func(key string) bool) {
	for key := range o.owners {
		if !wanted(key) {
			delete(o.owners, key)
		}
	}
}

// Len returns the number of cached keys.
func (o *OwnerCache) Len() int { return len(o.owners) }
