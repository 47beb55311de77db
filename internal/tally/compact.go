package tally

import "strings"

// stored is an add in few bytes.
type compactAdd struct {
	idNumber   uint64 // of the id's key
	amount     int64
	tallyIndex uint32
	idInterned bool
}

func (s *compactAdd) id() idKey { return idKey{s.idNumber, s.idInterned} }

// chunkAdds is how many adds are kept in one piece, so that none is copied as an origin's grow.
const addsPerChunk = 1024

// sequence is the adds of one origin.
type originAdds struct {
	originIndex uint32
	count       uint64
	chunks      [][]compactAdd
}

func (q *originAdds) append(add compactAdd) {
	last := len(q.chunks) - 1
	if last < 0 || len(q.chunks[last]) == addsPerChunk {
		q.chunks = append(q.chunks, nil)
		last++
	}
	q.chunks[last] = append(q.chunks[last], add)
	q.count++
}

func (q *originAdds) at(index uint64) compactAdd {
	return q.chunks[index/addsPerChunk][index%addsPerChunk]
}

// names gives texts indexes.
type stringTable struct {
	indexes map[string]uint32
	values  []string
}

func newStringTable() stringTable { return stringTable{indexes: map[string]uint32{}} }

func (n *stringTable) intern(name string) uint32 {
	index, known := n.indexes[name]
	if !known {
		index = uint32(len(n.values))
		n.values = append(n.values, name)
		n.indexes[name] = index
	}
	return index
}

// idKey stands for an id: the number that 16 hex digits spell, or the index of another text.
type idKey struct {
	number   uint64
	interned bool
}

// idDigits is the length of the ids that are kept as numbers.
const hexIDDigits = 16

const hexDigits = "0123456789abcdef"

// ids keeps where the add that counts for an id is.
type idIndex struct {
	byNumber map[uint64]location
	texts    stringTable
	byText   map[uint32]location // of others, by index
}

func newIDIndex() idIndex {
	return idIndex{byNumber: map[uint64]location{}, texts: newStringTable(), byText: map[uint32]location{}}
}

// spelt gives the number that an id spells in lower-case hex digits, all 16 of them.
func parseHexID(id string) (number uint64, is bool) {
	if len(id) != hexIDDigits {
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

func formatHexID(number uint64) string {
	var digits [hexIDDigits]byte
	for i := range digits {
		digits[hexIDDigits-1-i] = hexDigits[number&0xf]
		number >>= 4
	}
	return string(digits[:])
}

// intern gives an id's key, and makes one.
func (s *idIndex) intern(id string) idKey {
	if number, is := parseHexID(id); is {
		return idKey{number: number}
	}
	return idKey{uint64(s.texts.intern(id)), true}
}

// find gives an id's key, if it has one.
func (s *idIndex) find(id string) (idKey, bool) {
	if number, is := parseHexID(id); is {
		return idKey{number: number}, true
	}
	index, known := s.texts.indexes[id]
	return idKey{uint64(index), true}, known
}

// text gives the id of a key.
func (s *idIndex) text(key idKey) string {
	if key.interned {
		return s.texts.values[key.number]
	}
	return formatHexID(key.number)
}

func (s *idIndex) location(key idKey) (at location, there bool) {
	if key.interned {
		at, there = s.byText[uint32(key.number)]
	} else {
		at, there = s.byNumber[key.number]
	}
	return at, there
}

func (s *idIndex) set(key idKey, at location) {
	if key.interned {
		s.byText[uint32(key.number)] = at
	} else {
		s.byNumber[key.number] = at
	}
}
