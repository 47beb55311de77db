package rendezvous

// Owners keeps who owns each of many keys while candidates come and go. It gives what Owner does; a candidate that comes costs one weight a
// key, one that goes the weights of the keys that it owned, where Owner costs a weight for each candidate and key every time.
type OwnerCache struct {
	candidates []string
	present    map[string]bool
	owners     map[string]ranked // by key
}

// NewOwners makes a table without candidates.
func NewOwnerCache() *OwnerCache {
	return &OwnerCache{present: map[string]bool{}, owners: map[string]ranked{}}
}

// SetCandidates takes who there is now.
func (o *OwnerCache) SetCandidates(candidates []string) {
	now := make(map[string]bool, len(candidates))
	var came []string
	for _, c := range candidates {
		if !o.present[c] && !now[c] {
			came = append(came, c)
		}
		now[c] = true
	}
	gone := false
	for c := range o.present {
		gone = gone || !now[c]
	}
	o.candidates, o.present = candidates, now
	if gone {
		for key, owner := range o.owners {
			if !now[owner.candidate] {
				delete(o.owners, key) // found anew when it is asked for
			}
		}
	}
	for key, owner := range o.owners {
		for _, c := range came {
			if r := (ranked{c, Weight(key, c)}); r.outranks(owner) {
				owner = r
			}
		}
		o.owners[key] = owner
	}
}

// Owner is the candidate with the highest weight, "" where there is none.
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

// Keep forgets the keys that are asked for no more.
func (o *OwnerCache) Retain(wanted func(key string) bool) {
	for key := range o.owners {
		if !wanted(key) {
			delete(o.owners, key)
		}
	}
}

// Len is how many keys are kept.
func (o *OwnerCache) Len() int { return len(o.owners) }
