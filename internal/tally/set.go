package tally

import (
	"maps"
	"slices"
)

// Set is the adds that are on this machine's disk, and the totals of what counts among them. It keeps them in few bytes: names and ids by
// index, and ids of 16 hex digits as the number that they spell.
type Set struct {
	sequences map[Origin]*sequence
	origins   []Origin // by the index that positions name
	ids       ids
	names     names
	totals    []int64 // by the tally's index
	size      int

	duplicates, conflicts uint64
}

// position is where an add is held: the origin's index and the number there, less one.
type position struct{ origin, at uint32 }

// NewSet makes an empty set.
func NewSet() *Set { return &Set{sequences: map[Origin]*sequence{}, ids: newIDs(), names: newNames()} }

// Insert takes a run that follows what is held of its origin; what is held already is passed over. It tells whether there was no gap.
func (s *Set) Insert(run *Run) bool {
	held := s.Held(run.Origin)
	if run.First > held+1 {
		return false
	}
	for i := held + 1 - run.First; i < uint64(len(run.Adds)); i++ {
		s.insert(run.Origin, &run.Adds[i])
	}
	return true
}

// sequence gives an origin's adds, and begins them.
func (s *Set) sequence(origin Origin) *sequence {
	q := s.sequences[origin]
	if q == nil {
		q = &sequence{index: uint32(len(s.origins))}
		s.sequences[origin] = q
		s.origins = append(s.origins, origin)
	}
	return q
}

func (s *Set) insert(origin Origin, add *Add) {
	q := s.sequence(origin)
	at := position{q.index, uint32(q.size)}
	id, tally := s.ids.intern(add.ID), s.tally(add.Tally)
	q.append(stored{number: id.number, other: id.other, by: add.By, tally: tally})
	s.size++
	counted, seen := s.ids.position(id)
	if !seen {
		s.ids.set(id, at)
		s.totals[tally] += add.By
		return
	}
	s.duplicates++
	earlier := s.add(counted)
	if earlier == *add {
		return
	}
	s.conflicts++
	if add.before(&earlier) {
		s.totals[s.tally(earlier.Tally)] -= earlier.By
		s.totals[tally] += add.By
		s.ids.set(id, at)
	}
}

// tally gives a tally's index.
func (s *Set) tally(name string) uint32 {
	index := s.names.intern(name)
	if int(index) == len(s.totals) {
		s.totals = append(s.totals, 0)
	}
	return index
}

// add gives the add at a position.
func (s *Set) add(at position) Add {
	return s.expand(s.sequences[s.origins[at.origin]].at(uint64(at.at)))
}

func (s *Set) expand(held stored) Add {
	return Add{ID: s.ids.text(held.id()), Tally: s.names.list[held.tally], By: held.by}
}

// Counted gives the add that counts for an id.
func (s *Set) Counted(id string) (add Add, dot Dot, there bool) {
	key, known := s.ids.find(id)
	if !known {
		return Add{}, Dot{}, false
	}
	at, there := s.ids.position(key)
	if !there {
		return Add{}, Dot{}, false
	}
	return s.add(at), Dot{s.origins[at.origin], uint64(at.at) + 1}, true
}

// Held is the highest number held of an origin.
func (s *Set) Held(origin Origin) uint64 {
	if q := s.sequences[origin]; q != nil {
		return q.size
	}
	return 0
}

// Holds tells whether an add is held.
func (s *Set) Holds(dot Dot) bool { return s.Held(dot.Origin) >= dot.Number }

// sorted gives the origins of which adds are held, in an order.
func (s *Set) sorted() []Origin { return slices.Sorted(maps.Keys(s.sequences)) }

// Vector is what is held.
func (s *Set) Vector() Vector {
	vector := make(Vector, len(s.sequences))
	for origin, q := range s.sequences {
		vector[origin] = q.size
	}
	return vector
}

// Total is a tally's total, 0 where no add names it.
func (s *Set) Total(tally string) int64 {
	if index, known := s.names.indexes[tally]; known {
		return s.totals[index]
	}
	return 0
}

// Size is how many adds are held.
func (s *Set) Size() int { return s.size }

// slice gives the adds of an origin after a number, at most so many.
func (s *Set) slice(origin Origin, after uint64, most int) Run {
	q := s.sequences[origin]
	run := Run{Origin: origin, First: after + 1}
	for at := after; at < q.size && len(run.Adds) < most; at++ {
		run.Adds = append(run.Adds, s.expand(q.at(at)))
	}
	return run
}
