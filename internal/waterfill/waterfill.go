// Package waterfill is the rule that picks a holder: of those that hold a block, the one with the least outstanding count, equals by
// chance (the paper's Water-filling, for one block). The caller raises the count with the pick, before the next one.
package waterfill

// Pick gives the index of a least count among n, equals drawn evenly by random (a number below its argument); -1 for n of 0.
func Pick(n int, count func(i int) int, random func(n int) int) int {
	best, least, equals := -1, 0, 0
	for i := range n {
		switch c := count(i); {
		case best < 0 || c < least:
			best, least, equals = i, c, 1
		case c == least:
			equals++
			if random(equals) == 0 {
				best = i
			}
		}
	}
	return best
}
