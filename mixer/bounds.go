package mixer

import "math"

// pickKey orders the candidates of a pick: the least rank first, then the least time, then the
// least effort, and last a tie-break that each searcher draws anew for each review.
type pickKey struct{ rank, time, effort, tie float64 }

// callsRange is greater than any number of calls in flight at one searcher.
const callsRange = 1 << 32

// rankOf combines three numbers that are compared in order: the class, retry (0 or 1), and calls,
// below callsRange.
func rankOf(class, retry, calls int) float64 { return float64((2*class+retry)*callsRange + calls) }

var (
	unknownKey  = pickKey{rank: math.Inf(-1)}    // below all keys: the part must be examined
	maxKey      = pickKey{rank: math.MaxFloat64} // above all keys that may be picked
	excludedKey = pickKey{rank: math.Inf(1)}     // of a part that must not be picked
)

// less reports whether k comes before o. No field may be NaN.
func (k *pickKey) less(o *pickKey) bool {
	if k.rank != o.rank {
		return k.rank < o.rank
	}
	if k.time != o.time {
		return k.time < o.time
	}
	return k.effort < o.effort || k.effort == o.effort && k.tie < o.tie
}

// blockSize is the number of parts covered by one entry of keyBounds.blockMin.
const blockSize = 16

// keyBounds holds a lower bound of the keys of each part's holders, so that a pick examines only
// the parts that may have the least. Bounds stay valid while keys only rise: begin is told the
// other inputs of the keys, and the bound of a part that was picked is reset. It does not influence
// the choice, which is the same as when examining all parts.
type keyBounds struct {
	lower, blockMin []pickKey // bound of each part, and the least bound of each block of parts
	hedge, probes   bool
	hidden          []hiddenPart
}

// hiddenPart is a part that the current pick has examined.
type hiddenPart struct {
	index int
	key   pickKey
}

// begin marks all n parts as unknown, unless it was called with the same arguments since the last
// reset.
func (r *keyBounds) begin(n int, hedge, probes bool) {
	if len(r.lower) == n && r.hedge == hedge && r.probes == probes {
		return
	}
	r.lower, r.blockMin, r.hedge, r.probes = r.lower[:0], r.blockMin[:0], hedge, probes
	for i := range n {
		r.lower = append(r.lower, unknownKey)
		if i%blockSize == 0 {
			r.blockMin = append(r.blockMin, unknownKey)
		}
	}
}

// reset drops all bounds; the next begin is for another time or lookup.
func (r *keyBounds) reset() { r.lower = r.lower[:0] }

// set stores the bound of part i, which must not exceed the key of any of its holders.
func (r *keyBounds) set(i int, k pickKey) {
	least, first := &r.blockMin[i/blockSize], i/blockSize*blockSize
	old := r.lower[i]
	if r.lower[i] = k; k.less(least) {
		*least = k
	}
	if old != *least || k == old {
		return
	}
	*least = r.lower[first]
	for j := first + 1; j < min(first+blockSize, len(r.lower)) && *least != old; j++ { // none is below the old least
		if r.lower[j].less(least) {
			*least = r.lower[j]
		}
	}
}

// first returns a part with the least bound, or -1 if none is below k.
func (r *keyBounds) first(k *pickKey) int {
	at := -1
	for i := range r.blockMin {
		if r.blockMin[i].less(k) {
			at, k = i, &r.blockMin[i]
		}
	}
	if at < 0 {
		return at
	}
	for i := at * blockSize; ; i++ {
		if r.lower[i] == *k {
			return i
		}
	}
}

// hide excludes a part until show, which sets its bound to k.
func (r *keyBounds) hide(i int, k pickKey) {
	r.hidden = append(r.hidden, hiddenPart{i, k})
	r.set(i, excludedKey)
}

// show sets the bounds of all hidden parts.
func (r *keyBounds) show() {
	for _, h := range r.hidden {
		r.set(h.index, h.key)
	}
	r.hidden = r.hidden[:0]
}
