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

// Top gives the n candidates of the highest weights, highest first.
func Top(key string, candidates []string, n int) []string {
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(a, b string) int {
		wa, wb := Weight(key, a), Weight(key, b)
		switch {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		case a < b:
			return -1
		}
		return 1
	})
	return ranked[:min(n, len(ranked))]
}
