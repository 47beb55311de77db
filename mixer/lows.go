package mixer

import "math"

// key orders what may be picked: the least goes first, its first place weighs most.
type key [5]float64

var (
	unseen = key{math.Inf(-1)}    // below all: has to be looked at
	bottom = key{math.MaxFloat64} // above all that may be picked
	never  = key{math.Inf(1)}     // what may not be picked
)

// compare gives -1, 0 or 1 as k comes before o, with it or after it. No place is NaN.
func (k *key) compare(o *key) int {
	for i := range k {
		if k[i] != o[i] {
			if k[i] < o[i] {
				return -1
			}
			return 1
		}
	}
	return 0
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
	r.rows[i] = k
	at := i / block
	first := at * block
	least := &r.rows[first]
	for j := first + 1; j < min(first+block, len(r.rows)); j++ {
		if r.rows[j].compare(least) < 0 {
			least = &r.rows[j]
		}
	}
	r.least[at] = *least
}

// next gives the first part from i on that may have a key of at most k, their number if there is none.
func (r *lows) next(i int, k *key) int {
	for i < len(r.rows) {
		if i%block == 0 && r.least[i/block].compare(k) > 0 {
			i += block
		} else if r.rows[i].compare(k) > 0 {
			i++
		} else {
			return i
		}
	}
	return len(r.rows)
}
