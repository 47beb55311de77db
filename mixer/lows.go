package mixer

import "math"

// key orders what may be picked: the least rank goes first, of equals the least time, of these the least effort.
type key struct{ rank, time, effort float64 }

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
	return k.time < o.time || k.time == o.time && k.effort < o.effort
}

// block is how many rows one bound of lows stands for.
const block = 16

// lows holds for each of a row of parts a key that none of its holders lies below, so that a pick looks only at parts that may have
// the least. It stays right while keys only rise: what a pick rests on beside them is told to begin, and a part that was picked is
// set anew. It decides nothing: whoever looks at all parts picks the same.
type lows struct {
	rows, least []key // of each part, and the least of each block of them
	copy, tests bool
}

// begin has all n parts looked at, unless it was begun for the same since the last end.
func (r *lows) begin(n int, copy, tests bool) {
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
func (r *lows) end() { r.rows = r.rows[:0] }

// set tells part i's key, which is no more than any of its holders' has.
func (r *lows) set(i int, k key) {
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

// next gives the first part from i on that may have a key of at most k, their number if there is none.
func (r *lows) next(i int, k *key) int {
	for ; i < len(r.rows); i++ {
		for i%block == 0 && k.less(&r.least[i/block]) {
			if i += block; i >= len(r.rows) {
				return len(r.rows)
			}
		}
		if !k.less(&r.rows[i]) {
			return i
		}
	}
	return len(r.rows)
}
