package tally

import (
	"maps"
	"slices"
)

// Set is the adds that are on this machine's disk, and the totals of what counts among them. It keeps them in few bytes: names and ids by
// index, and ids of 16 hex digits as the number that they spell.
type Set struct {
	byOrigin   map[Origin]*originAdds
	origins    []Origin // by the index that positions name
	ids        idIndex
	tallyNames stringTable
	totals     []int64 // by the tally's index
	count      int

	duplicates, conflicts uint64
}

// position is where an add is held: the origin's index and the number there, less one.
type location struct{ origin, index uint32 }

// NewSet makes an empty set.
func NewSet() *Set {
	return &Set{byOrigin: map[Origin]*originAdds{}, ids: newIDIndex(), tallyNames: newStringTable()}
}

// Insert takes a run that follows what is held of its origin; what is held already is passed over. It tells whether there was no gap.
func (s *Set) Insert(run *Run) bool {
	held := s.LastSequence(run.Origin)
	if run.First > held+1 {
		return false
	}
	for i := held + 1 - run.First; i < uint64(len(run.Adds)); i++ {
		s.insert(run.Origin, &run.Adds[i])
	}
	return true
}

// sequence gives an origin's adds, and begins them.
func (s *Set) addsOf(origin Origin) *originAdds {
	q := s.byOrigin[origin]
	if q == nil {
		q = &originAdds{originIndex: uint32(len(s.origins))}
		s.byOrigin[origin] = q
		s.origins = append(s.origins, origin)
	}
	return q
}

func (s *Set) insert(origin Origin, add *Add) {
	q := s.addsOf(origin)
	at := location{q.originIndex, uint32(q.count)}
	id, tally := s.ids.intern(add.ID), s.tallyIndex(add.Tally)
	q.append(compactAdd{idNumber: id.number, idInterned: id.interned, amount: add.Amount, tallyIndex: tally})
	s.count++
	counted, seen := s.ids.location(id)
	if !seen {
		s.ids.set(id, at)
		s.totals[tally] += add.Amount
		return
	}
	s.duplicates++
	earlier := s.addAt(counted)
	if earlier == *add {
		return
	}
	s.conflicts++
	if add.precedes(&earlier) {
		s.totals[s.tallyIndex(earlier.Tally)] -= earlier.Amount
		s.totals[tally] += add.Amount
		s.ids.set(id, at)
	}
}

// tally gives a tally's index.
func (s *Set) tallyIndex(name string) uint32 {
	index := s.tallyNames.intern(name)
	if int(index) == len(s.totals) {
		s.totals = append(s.totals, 0)
	}
	return index
}

// add gives the add at a position.
func (s *Set) addAt(at location) Add {
	return s.expand(s.byOrigin[s.origins[at.origin]].at(uint64(at.index)))
}

func (s *Set) expand(held compactAdd) Add {
	return Add{ID: s.ids.text(held.id()), Tally: s.tallyNames.values[held.tallyIndex], Amount: held.amount}
}

// Counted gives the add that counts for an id.
func (s *Set) Lookup(id string) (add Add, dot Dot, there bool) {
	key, known := s.ids.find(id)
	if !known {
		return Add{}, Dot{}, false
	}
	at, there := s.ids.location(key)
	if !there {
		return Add{}, Dot{}, false
	}
	return s.addAt(at), Dot{s.origins[at.origin], uint64(at.index) + 1}, true
}

// Held is the highest number held of an origin.
func (s *Set) LastSequence(origin Origin) uint64 {
	if q := s.byOrigin[origin]; q != nil {
		return q.count
	}
	return 0
}

// Holds tells whether an add is held.
func (s *Set) Contains(dot Dot) bool { return s.LastSequence(dot.Origin) >= dot.Sequence }

// sorted gives the origins of which adds are held, in an order.
func (s *Set) sortedOrigins() []Origin { return slices.Sorted(maps.Keys(s.byOrigin)) }

// Vector is what is held.
func (s *Set) VersionVector() VersionVector {
	vector := make(VersionVector, len(s.byOrigin))
	for origin, q := range s.byOrigin {
		vector[origin] = q.count
	}
	return vector
}

// Total is a tally's total, 0 where no add names it.
func (s *Set) Total(tally string) int64 {
	if index, known := s.tallyNames.indexes[tally]; known {
		return s.totals[index]
	}
	return 0
}

// Size is how many adds are held.
func (s *Set) Len() int { return s.count }

// slice gives the adds of an origin after a number, at most so many.
func (s *Set) runAfter(origin Origin, after uint64, most int) Run {
	q := s.byOrigin[origin]
	run := Run{Origin: origin, First: after + 1}
	for at := after; at < q.count && len(run.Adds) < most; at++ {
		run.Adds = append(run.Adds, s.expand(q.at(at)))
	}
	return run
}
