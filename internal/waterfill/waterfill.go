// Package waterfill implements water-filling selection: among several holders of the same data it picks
// the one with the fewest outstanding requests and breaks ties at random. The caller must increment the
// count of the picked holder before the next pick.
package waterfill

// Pick returns the index of a smallest count among n counts, -1 if n is 0. Ties are broken with equal
// probability by random, which must return a uniform number in [0, limit).
func Pick(n int, count func(i int) int, random func(limit int) int) int {
	best, least, ties := -1, 0, 0
	for i := range n {
		switch c := count(i); {
		case best < 0 || c < least:
			best, least, ties = i, c, 1
		case c == least:
			ties++
			if random(ties) == 0 {
				best = i
			}
		}
	}
	return best
}
