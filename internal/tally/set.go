package tally

import (
	"maps"
	"slices"
)

// Set holds the adds that are on the local disk and the totals of those that count. To save memory,
// names and ids are interned, and ids of 16 hex digits are stored as numbers.
type Set struct {
	byOrigin   map[Origin]*originAdds
	origins    []Origin // by location.origin
	ids        idIndex
	tallyNames stringTable
	totals     []int64 // by index in tallyNames
	count      int

	duplicates, conflicts uint64
}

// location is where an add is stored: the index of its origin in Set.origins and its sequence number
// less one.
type location struct{ origin, index uint32 }

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{byOrigin: map[Origin]*originAdds{}, ids: newIDIndex(), tallyNames: newStringTable()}
}

// Insert adds a run to the adds of its origin and skips those that are already in the set. It returns
// false, and changes nothing, if sequence numbers are missing before the run.
func (s *Set) Insert(run *Run) bool {
	last := s.LastSequence(run.Origin)
	if run.First > last+1 {
		return false
	}
	for i := last + 1 - run.First; i < uint64(len(run.Adds)); i++ {
		s.insert(run.Origin, &run.Adds[i])
	}
	return true
}

// addsOf returns the adds of an origin and creates an empty list for a new one.
func (s *Set) addsOf(origin Origin) *originAdds {
	adds := s.byOrigin[origin]
	if adds == nil {
		adds = &originAdds{originIndex: uint32(len(s.origins))}
		s.byOrigin[origin] = adds
		s.origins = append(s.origins, origin)
	}
	return adds
}

// insert appends an add to its origin and updates the total of its tally. Of several adds with the same
// id only the least one, by Add.precedes, counts.
func (s *Set) insert(origin Origin, add *Add) {
	adds := s.addsOf(origin)
	at := location{adds.originIndex, uint32(adds.count)}
	id, tally := s.ids.intern(add.ID), s.tallyIndex(add.Tally)
	adds.append(compactAdd{idNumber: id.number, idInterned: id.interned, amount: add.Amount, tallyIndex: tally})
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

// tallyIndex returns the index of a tally and creates one, with total 0, for a new name.
func (s *Set) tallyIndex(name string) uint32 {
	index := s.tallyNames.intern(name)
	if int(index) == len(s.totals) {
		s.totals = append(s.totals, 0)
	}
	return index
}

// addAt returns the add at a location.
func (s *Set) addAt(at location) Add {
	return s.expand(s.byOrigin[s.origins[at.origin]].at(uint64(at.index)))
}

// expand converts an add from its in-memory form.
func (s *Set) expand(add compactAdd) Add {
	return Add{ID: s.ids.text(add.id()), Tally: s.tallyNames.values[add.tallyIndex], Amount: add.amount}
}

// Lookup returns the add that counts for an id, and its dot.
func (s *Set) Lookup(id string) (add Add, dot Dot, found bool) {
	key, known := s.ids.find(id)
	if !known {
		return Add{}, Dot{}, false
	}
	at, found := s.ids.location(key)
	if !found {
		return Add{}, Dot{}, false
	}
	return s.addAt(at), Dot{s.origins[at.origin], uint64(at.index) + 1}, true
}

// LastSequence returns the highest sequence number in the set for an origin, or 0.
func (s *Set) LastSequence(origin Origin) uint64 {
	if adds := s.byOrigin[origin]; adds != nil {
		return adds.count
	}
	return 0
}

// Contains reports whether the set has the add with a dot.
func (s *Set) Contains(dot Dot) bool { return s.LastSequence(dot.Origin) >= dot.Sequence }

// sortedOrigins returns the origins in the set in ascending order.
func (s *Set) sortedOrigins() []Origin { return slices.Sorted(maps.Keys(s.byOrigin)) }

// VersionVector returns the highest sequence number of each origin.
func (s *Set) VersionVector() VersionVector {
	vector := make(VersionVector, len(s.byOrigin))
	for origin, adds := range s.byOrigin {
		vector[origin] = adds.count
	}
	return vector
}

// Total returns a tally's total, or 0 if no add names it.
func (s *Set) Total(tally string) int64 {
	if index, known := s.tallyNames.indexes[tally]; known {
		return s.totals[index]
	}
	return 0
}

// Len returns the number of adds, including those whose id is in the set more than once.
func (s *Set) Len() int { return s.count }

// runAfter returns up to limit adds of an origin that follow the sequence number after.
func (s *Set) runAfter(origin Origin, after uint64, limit int) Run {
	adds := s.byOrigin[origin]
	run := Run{Origin: origin, First: after + 1}
	for at := after; at < adds.count && len(run.Adds) < limit; at++ {
		run.Adds = append(run.Adds, s.expand(adds.at(at)))
	}
	return run
}
