package mixer

import "math"

// key orders what may be picked: the least rank goes first, of equals the least time, of these the least effort, of these the
// least tie-break, which each searcher draws anew for each review.
type key struct{ rank, time, effort, tie float64 }

// turns is beyond any count of calls that are out at one searcher.
const turns = 1 << 32

// rank is one figure for three that are compared one after another: the class, asked 0 or 1, and calls, below turns.
func rank(class, asked, calls int) float64 { return float64((2*class+asked)*turns + calls) }

var (
	unseen = key{rank: math.Inf(-1)}    // below all: has to be looked at
	bottom = key{rank: math.MaxFloat64} // above all that may be picked
	never  = key{rank: math.Inf(1)}     // what may not be picked
)

// less tells whether k comes before o. No figure is NaN.
func (k *key) less(o *key) bool {
	if k.rank != o.rank {
		return k.rank < o.rank
	}
	if k.time != o.time {
		return k.time < o.time
	}
	return k.effort < o.effort || k.effort == o.effort && k.tie < o.tie
}

// block is how many rows one bound of bounds stands for.
const block = 16

// bounds holds for each of a row of parts a key that none of its holders lies below, so that a pick looks only at parts that may have
// the least. It stays right while keys only rise: what a pick rests on beside them is told to begin, and a part that was picked is
// set anew. It decides nothing: whoever looks at all parts picks the same.
type bounds struct {
	rows, least []key // of each part, and the least of each block of them
	copy, tests bool
	hidden      []hidden
}

// hidden is a part that one pick has looked at.
type hidden struct {
	i int
	k key
}

// begin has all n parts looked at, unless it was begun for the same since the last end.
func (r *bounds) begin(n int, copy, tests bool) {
	if len(r.rows) == n && r.copy == copy && r.tests == tests {
		return
	}
	r.rows, r.least, r.copy, r.tests = r.rows[:0], r.least[:0], copy, tests
	for i := range n {
		r.rows = append(r.rows, unseen)
		if i%block == 0 {
			r.least = append(r.least, unseen)
		}
	}
}

// end forgets all parts: the next begin is of another time or query.
func (r *bounds) end() { r.rows = r.rows[:0] }

// set tells part i's key, which is no more than any of its holders' has.
func (r *bounds) set(i int, k key) {
	least, first := &r.least[i/block], i/block*block
	was := r.rows[i]
	if r.rows[i] = k; k.less(least) {
		*least = k
	}
	if was != *least || k == was {
		return
	}
	*least = r.rows[first]
	for j := first + 1; j < min(first+block, len(r.rows)) && *least != was; j++ { // none lies below what was the least
		if r.rows[j].less(least) {
			*least = r.rows[j]
		}
	}
}

// first gives a part of the least bound, -1 where none lies below k.
func (r *bounds) first(k *key) int {
	at := -1
	for i := range r.least {
		if r.least[i].less(k) {
			at, k = i, &r.least[i]
		}
	}
	if at < 0 {
		return at
	}
	for i := at * block; ; i++ {
		if r.rows[i] == *k {
			return i
		}
	}
}

// hide passes a part over until show, which tells its key.
func (r *bounds) hide(i int, k key) {
	r.hidden = append(r.hidden, hidden{i, k})
	r.set(i, never)
}

// show brings all hidden parts back.
func (r *bounds) show() {
	for _, h := range r.hidden {
		r.set(h.i, h.k)
	}
	r.hidden = r.hidden[:0]
}
