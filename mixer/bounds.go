package mixer

import "math"

// key orders what may be picked: the least rank goes first, of equals the least time, of these the least effort, of these the
// least tie-break, which each searcher draws anew for each review.
type pickKey struct{ rank, time, effort, tie float64 }

// turns is beyond any count of calls that are out at one searcher.
const callsRange = 1 << 32

// rank is one figure for three that are compared one after another: the class, asked 0 or 1, and calls, below turns.
func rankOf(class, asked, calls int) float64 { return float64((2*class+asked)*callsRange + calls) }

var (
	unknownKey  = pickKey{rank: math.Inf(-1)}    // below all: has to be looked at
	maxKey      = pickKey{rank: math.MaxFloat64} // above all that may be picked
	excludedKey = pickKey{rank: math.Inf(1)}     // what may not be picked
)

// less tells whether k comes before o. No figure is NaN.
func (k *pickKey) less(o *pickKey) bool {
	if k.rank != o.rank {
		return k.rank < o.rank
	}
	if k.time != o.time {
		return k.time < o.time
	}
	return k.effort < o.effort || k.effort == o.effort && k.tie < o.tie
}

// block is how many rows one bound of bounds stands for.
const blockSize = 16

// bounds holds for each of a row of parts a key that none of its holders lies below, so that a pick looks only at parts that may have
// the least. It stays right while keys only rise: what a pick rests on beside them is told to begin, and a part that was picked is
// set anew. It decides nothing: whoever looks at all parts picks the same.
type keyBounds struct {
	lower, blockMin []pickKey // of each part, and the least of each block of them
	hedge, probes   bool
	hidden          []hiddenPart
}

// hidden is a part that one pick has looked at.
type hiddenPart struct {
	index int
	key   pickKey
}

// begin has all n parts looked at, unless it was begun for the same since the last end.
func (r *keyBounds) begin(n int, copy, tests bool) {
	if len(r.lower) == n && r.hedge == copy && r.probes == tests {
		return
	}
	r.lower, r.blockMin, r.hedge, r.probes = r.lower[:0], r.blockMin[:0], copy, tests
	for i := range n {
		r.lower = append(r.lower, unknownKey)
		if i%blockSize == 0 {
			r.blockMin = append(r.blockMin, unknownKey)
		}
	}
}

// end forgets all parts: the next begin is of another time or query.
func (r *keyBounds) reset() { r.lower = r.lower[:0] }

// set tells part i's key, which is no more than any of its holders' has.
func (r *keyBounds) set(i int, k pickKey) {
	least, first := &r.blockMin[i/blockSize], i/blockSize*blockSize
	was := r.lower[i]
	if r.lower[i] = k; k.less(least) {
		*least = k
	}
	if was != *least || k == was {
		return
	}
	*least = r.lower[first]
	for j := first + 1; j < min(first+blockSize, len(r.lower)) && *least != was; j++ { // none lies below what was the least
		if r.lower[j].less(least) {
			*least = r.lower[j]
		}
	}
}

// first gives a part of the least bound, -1 where none lies below k.
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

// hide passes a part over until show, which tells its key.
func (r *keyBounds) hide(i int, k pickKey) {
	r.hidden = append(r.hidden, hiddenPart{i, k})
	r.set(i, excludedKey)
}

// show brings all hidden parts back.
func (r *keyBounds) show() {
	for _, h := range r.hidden {
		r.set(h.index, h.key)
	}
	r.hidden = r.hidden[:0]
}
