// Package rendezvous assigns keys to candidates by rendezvous hashing (highest random weight). All processes
// that know the same candidates choose the same ones. A candidate that joins or leaves moves only the keys
// that it owns.
package rendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the weight of a candidate for a key.
func Weight(key, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(key)
	d.Write([]byte{0})
	d.WriteString(candidate)
	return d.Sum64()
}

// Owner returns the candidate with the highest weight, "" if there are no candidates. Of two candidates
// with the same weight the one with the lower name wins.
func Owner(key string, candidates []string) string {
	best, bestWeight := "", uint64(0)
	for _, c := range candidates {
		if w := Weight(key, c); best == "" || w > bestWeight || w == bestWeight && c < best {
			best, bestWeight = c, w
		}
	}
	return best
}

// ranked is a candidate with its weight for a key.
type ranked struct {
	candidate string
	weight    uint64
}

// outranks reports whether r comes before other.
func (r ranked) outranks(other ranked) bool {
	return r.weight > other.weight || r.weight == other.weight && r.candidate < other.candidate
}

// Top returns the n candidates with the highest weights, highest first. It returns all of them if there
// are fewer.
func Top(key string, candidates []string, n int) []string {
	n = min(n, len(candidates))
	if n <= 0 {
		return nil
	}
	best := make([]ranked, 0, n+1)
	for _, c := range candidates {
		r := ranked{c, Weight(key, c)}
		if len(best) == n && !r.outranks(best[n-1]) {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, r, func(a, b ranked) int {
			if a.outranks(b) {
				return -1
			}
			return 1
		})
		best = slices.Insert(best, at, r)[:min(len(best)+1, n)]
	}
	top := make([]string, len(best))
	for i, r := range best {
		top[i] = r.candidate
	}
	return top
}
