package fanout

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

// Delays counts how often delays came, each kept to within a 128th part, so that any number of them takes the same room.
type Delays struct {
	counts [4096]uint64 // by octave, 128 each
	total  uint64
	sum    time.Duration
}

// place gives the slot of a delay in µs: exact below 256, then the octave and its seven next bits.
func place(us uint64) int {
	if us < 256 {
		return int(us)
	}
	shift := bits.Len64(us) - 8
	return min(shift*128+int(us>>shift), 4095)
}

// Add counts a delay.
func (d *Delays) Add(of time.Duration) {
	d.counts[place(uint64(of.Microseconds()))]++
	d.total++
	d.sum += of
}

// At gives the delay that a share of them doesn't exceed, to within a 128th part; the rank is that of a plain sort, the ceiling of share
// times their number.
func (d *Delays) At(share float64) time.Duration {
	left := max(1, uint64(math.Ceil(share*float64(d.total))))
	for i, n := range d.counts {
		if n >= left {
			if i < 256 {
				return time.Duration(i) * time.Microsecond
			}
			shift := i/128 - 1
			return time.Duration(uint64(i-shift*128)<<shift) * time.Microsecond
		}
		left -= n
	}
	return 0
}

// Mean gives their mean.
func (d *Delays) Mean() time.Duration { return d.sum / time.Duration(max(1, d.total)) }

// Longest gives the delay that a share of queries doesn't exceed, each as long as the longest of so many parts that are late apart.
func (d *Delays) Longest(of int, share float64) time.Duration {
	return d.At(math.Pow(share, 1/float64(of)))
}

// Count gives how many there are.
func (d *Delays) Count() uint64 { return d.total }

// Load is how evenly counts lie.
type Load struct {
	Mean, Deviation, Worst float64
}

func loadOf[N uint32 | int](counts []N) (l Load) {
	for _, n := range counts {
		l.Mean += float64(n) / float64(len(counts))
	}
	for _, n := range counts {
		l.Deviation += (float64(n) - l.Mean) * (float64(n) - l.Mean) / float64(len(counts))
	}
	l.Deviation, l.Worst = math.Sqrt(l.Deviation), float64(slices.Max(counts))
	return l
}
