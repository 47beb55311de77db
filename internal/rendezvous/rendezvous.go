// Package rendezvous ranks candidates for a key by highest random weight: every process that knows the same candidates picks the
// same ones, and a candidate that comes or goes moves only the keys it wins or held.
package rendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Weight is the candidate's weight for a key.
func Weight(key, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(key)
	d.Write([]byte{0})
	d.WriteString(candidate)
	return d.Sum64()
}

// Owner is the candidate with the highest weight, "" where there is none.
func Owner(key string, candidates []string) string {
	best, most := "", uint64(0)
	for _, c := range candidates {
		if w := Weight(key, c); best == "" || w > most || w == most && c < best {
			best, most = c, w
		}
	}
	return best
}

// ranked is a candidate and its weight.
type ranked struct {
	candidate string
	weight    uint64
}

func (r ranked) outranks(o ranked) bool {
	return r.weight > o.weight || r.weight == o.weight && r.candidate < o.candidate
}

// Top gives the n candidates of the highest weights, highest first.
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
