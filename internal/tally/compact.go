package tally

import "strings"

// stored is an add in few bytes.
type stored struct {
	number uint64 // of the id's key
	by     int64
	tally  uint32
	other  bool
}

func (s *stored) id() idKey { return idKey{s.number, s.other} }

// chunkAdds is how many adds are kept in one piece, so that none is copied as an origin's grow.
const chunkAdds = 1024

// sequence is the adds of one origin.
type sequence struct {
	index  uint32
	size   uint64
	chunks [][]stored
}

func (q *sequence) append(add stored) {
	last := len(q.chunks) - 1
	if last < 0 || len(q.chunks[last]) == chunkAdds {
		q.chunks = append(q.chunks, nil)
		last++
	}
	q.chunks[last] = append(q.chunks[last], add)
	q.size++
}

func (q *sequence) at(index uint64) stored { return q.chunks[index/chunkAdds][index%chunkAdds] }

// names gives texts indexes.
type names struct {
	indexes map[string]uint32
	list    []string
}

func newNames() names { return names{indexes: map[string]uint32{}} }

func (n *names) intern(name string) uint32 {
	index, known := n.indexes[name]
	if !known {
		index = uint32(len(n.list))
		n.list = append(n.list, name)
		n.indexes[name] = index
	}
	return index
}

// idKey stands for an id: the number that 16 hex digits spell, or the index of another text.
type idKey struct {
	number uint64
	other  bool
}

// idDigits is the length of the ids that are kept as numbers.
const idDigits = 16

const hexDigits = "0123456789abcdef"

// ids keeps where the add that counts for an id is.
type ids struct {
	numbers   map[uint64]position
	others    names
	positions map[uint32]position // of others, by index
}

func newIDs() ids {
	return ids{numbers: map[uint64]position{}, others: newNames(), positions: map[uint32]position{}}
}

// spelt gives the number that an id spells in lower-case hex digits, all 16 of them.
func spelt(id string) (number uint64, is bool) {
	if len(id) != idDigits {
		return 0, false
	}
	for _, digit := range []byte(id) {
		value := strings.IndexByte(hexDigits, digit)
		if value < 0 {
			return 0, false
		}
		number = number<<4 | uint64(value)
	}
	return number, true
}

func spell(number uint64) string {
	var digits [idDigits]byte
	for i := range digits {
		digits[idDigits-1-i] = hexDigits[number&0xf]
		number >>= 4
	}
	return string(digits[:])
}

// intern gives an id's key, and makes one.
func (s *ids) intern(id string) idKey {
	if number, is := spelt(id); is {
		return idKey{number: number}
	}
	return idKey{uint64(s.others.intern(id)), true}
}

// find gives an id's key, if it has one.
func (s *ids) find(id string) (idKey, bool) {
	if number, is := spelt(id); is {
		return idKey{number: number}, true
	}
	index, known := s.others.indexes[id]
	return idKey{uint64(index), true}, known
}

// text gives the id of a key.
func (s *ids) text(key idKey) string {
	if key.other {
		return s.others.list[key.number]
	}
	return spell(key.number)
}

func (s *ids) position(key idKey) (at position, there bool) {
	if key.other {
		at, there = s.positions[uint32(key.number)]
	} else {
		at, there = s.numbers[key.number]
	}
	return at, there
}

func (s *ids) set(key idKey, at position) {
	if key.other {
		s.positions[uint32(key.number)] = at
	} else {
		s.numbers[key.number] = at
	}
}
