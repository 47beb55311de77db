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
	maxKey      = pickKey{rank: math.MaxFloat64} // initial least key of a pick: above all that may be picked
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
// the parts that may have the least. Bounds stay valid while keys only rise: begin drops all bounds
// if its other inputs change, and the bound of a part that was picked is set to unknownKey. The
// choice is the same as when examining all parts.
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
func (b *keyBounds) begin(n int, hedge, probes bool) {
	if len(b.lower) == n && b.hedge == hedge && b.probes == probes {
		return
	}
	b.lower, b.blockMin, b.hedge, b.probes = b.lower[:0], b.blockMin[:0], hedge, probes
	for i := range n {
		b.lower = append(b.lower, unknownKey)
		if i%blockSize == 0 {
			b.blockMin = append(b.blockMin, unknownKey)
		}
	}
}

// reset drops all bounds. It must be called before a begin for another time or lookup.
func (b *keyBounds) reset() { b.lower = b.lower[:0] }

// set stores the bound of part i, which must not exceed the key of any of its holders.
func (b *keyBounds) set(i int, k pickKey) {
	least, first := &b.blockMin[i/blockSize], i/blockSize*blockSize
	old := b.lower[i]
	if b.lower[i] = k; k.less(least) {
		*least = k
	}
	if old != *least || k == old {
		return
	}
	*least = b.lower[first]
	for j := first + 1; j < min(first+blockSize, len(b.lower)) && *least != old; j++ { // none is below the old least
		if b.lower[j].less(least) {
			*least = b.lower[j]
		}
	}
}

// first returns a part with the least bound, or -1 if none is below k.
func (b *keyBounds) first(k *pickKey) int {
	at := -1
	for i := range b.blockMin {
		if b.blockMin[i].less(k) {
			at, k = i, &b.blockMin[i]
		}
	}
	if at < 0 {
		return at
	}
	for i := at * blockSize; ; i++ {
		if b.lower[i] == *k {
			return i
		}
	}
}

// hide excludes a part until show, which sets its bound to k.
func (b *keyBounds) hide(i int, k pickKey) {
	b.hidden = append(b.hidden, hiddenPart{i, k})
	b.set(i, excludedKey)
}

// show sets the bounds of all hidden parts.
func (b *keyBounds) show() {
	for _, h := range b.hidden {
		b.set(h.index, h.key)
	}
	b.hidden = b.hidden[:0]
}
