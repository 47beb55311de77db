package fanout

import (
	"cmp"
	"math"
	"slices"
)

// Chooser puts the holders of one cell, 0 to holders-1, in a mixer's order of preference, as many as are asked for. A mixer's subset
// of a cell is the first of them that are there.
type Chooser func(mixer, cell, holders, first int) []uint16

// Rendezvous orders holders by a hash of the mixer and the holder (highest random weight, Thaler and Ravishankar 1998): where one goes
// only its own mixers choose anew, and each of them another.
func Rendezvous(mixer, cell, holders, first int) []uint16 {
	type scored struct {
		score  uint64
		holder uint16
	}
	all := make([]scored, holders)
	for i := range all {
		all[i] = scored{mixed(mixed(uint64(mixer)+1) ^ mixed(uint64(cell)<<32|uint64(i)+1)), uint16(i)}
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	order := make([]uint16, min(first, holders))
	for i := range order {
		order[i] = all[i].holder
	}
	return order
}

// mixed is the finalizer of splitmix64 (Steele, Lea and Flood 2014).
func mixed(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Shares counts by searcher how many mixers have it in their subset, for each of several sizes, the largest last.
func Shares(choose Chooser, mixers, cells, holders int, sizes []int) [][]int {
	counts := make([][]int, len(sizes))
	for i := range counts {
		counts[i] = make([]int, cells*holders)
	}
	for m := range mixers {
		for c := range cells {
			order := choose(m, c, holders, sizes[len(sizes)-1])
			for i, size := range sizes {
				for _, h := range order[:min(size, len(order))] {
					counts[i][c*holders+int(h)]++
				}
			}
		}
	}
	return counts
}

// LoadOf tells how evenly counts lie.
func LoadOf(counts []int) Load { return loadOf(counts) }

// SharesInTheory gives mean, deviation and the expected worst of so many searchers, each in the subset of Binomial(mixers,
// subset/holders) of them: the worst by the normal tail beyond which one of them is expected.
func SharesInTheory(mixers, searchers, holders, subset int) (l Load) {
	n, p := float64(mixers), float64(subset)/float64(holders)
	l.Mean, l.Deviation = n*p, math.Sqrt(n*p*(1-p))
	l.Worst = l.Mean + l.Deviation*math.Sqrt2*math.Erfinv(1-2/float64(searchers))
	return l
}
