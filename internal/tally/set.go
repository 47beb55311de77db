package tally

import (
	"maps"
	"slices"
)

// known is what counts for an id.
type known struct {
	add Add
	dot Dot
}

// Set is the adds that are on this machine's disk, and the totals of what counts among them.
type Set struct {
	adds   map[Origin][]Add // the add of number n at n-1
	byID   map[string]known
	totals map[string]int64
	names  map[string]string // one copy of each tally's name
	size   int

	duplicates, conflicts uint64
}

// NewSet makes an empty set.
func NewSet() *Set {
	return &Set{adds: map[Origin][]Add{}, byID: map[string]known{}, totals: map[string]int64{}, names: map[string]string{}}
}

// Insert takes a run that follows what is held of its origin; what is held already is passed over. It tells whether there was no gap.
func (s *Set) Insert(run *Run) bool {
	held := s.Held(run.Origin)
	if run.First > held+1 {
		return false
	}
	for i := held + 1 - run.First; i < uint64(len(run.Adds)); i++ {
		s.insert(Dot{run.Origin, run.First + i}, run.Adds[i])
	}
	return true
}

func (s *Set) insert(dot Dot, add Add) {
	if name, seen := s.names[add.Tally]; seen {
		add.Tally = name
	} else {
		s.names[add.Tally] = add.Tally
	}
	s.adds[dot.Origin] = append(s.adds[dot.Origin], add)
	s.size++
	earlier, seen := s.byID[add.ID]
	if !seen {
		s.byID[add.ID] = known{add, dot}
		s.totals[add.Tally] += add.By
		return
	}
	s.duplicates++
	if earlier.add == add {
		return
	}
	s.conflicts++
	if add.before(&earlier.add) {
		s.totals[earlier.add.Tally] -= earlier.add.By
		s.totals[add.Tally] += add.By
		s.byID[add.ID] = known{add, dot}
	}
}

// Held is the highest number held of an origin.
func (s *Set) Held(origin Origin) uint64 { return uint64(len(s.adds[origin])) }

// Holds tells whether an add is held.
func (s *Set) Holds(dot Dot) bool { return s.Held(dot.Origin) >= dot.Number }

// origins gives the origins of which adds are held, in an order.
func (s *Set) origins() []Origin { return slices.Sorted(maps.Keys(s.adds)) }

// Vector is what is held.
func (s *Set) Vector() Vector {
	vector := make(Vector, len(s.adds))
	for origin, adds := range s.adds {
		vector[origin] = uint64(len(adds))
	}
	return vector
}

// Total is a tally's total, 0 where no add names it.
func (s *Set) Total(tally string) int64 { return s.totals[tally] }

// Size is how many adds are held.
func (s *Set) Size() int { return s.size }

// slice gives the adds of an origin after a number, at most so many; it is not to be changed.
func (s *Set) slice(origin Origin, after uint64, most int) Run {
	adds := s.adds[origin][after:]
	return Run{Origin: origin, First: after + 1, Adds: adds[:min(len(adds), most):min(len(adds), most)]}
}
