package tally

import "strings"

// compactAdd is the in-memory form of an add, with the id and the tally's name replaced by numbers.
type compactAdd struct {
	idNumber   uint64 // idKey.number
	amount     int64
	tallyIndex uint32
	idInterned bool // idKey.interned
}

func (c *compactAdd) id() idKey { return idKey{c.idNumber, c.idInterned} }

// addsPerChunk is the number of adds per chunk. Chunks are never reallocated, so appending to an
// origin doesn't copy its earlier adds.
const addsPerChunk = 1024

// originAdds stores the adds of one origin in the order of their sequence numbers.
type originAdds struct {
	originIndex uint32 // index in Set.origins
	count       uint64
	chunks      [][]compactAdd
}

func (a *originAdds) append(add compactAdd) {
	last := len(a.chunks) - 1
	if last < 0 || len(a.chunks[last]) == addsPerChunk {
		a.chunks = append(a.chunks, nil)
		last++
	}
	a.chunks[last] = append(a.chunks[last], add)
	a.count++
}

// at returns the add with sequence number index+1.
func (a *originAdds) at(index uint64) compactAdd {
	return a.chunks[index/addsPerChunk][index%addsPerChunk]
}

// stringTable interns strings: it assigns each distinct string an index.
type stringTable struct {
	indexes map[string]uint32
	values  []string
}

func newStringTable() stringTable { return stringTable{indexes: map[string]uint32{}} }

// intern returns the index of a string and assigns one if it is new.
func (t *stringTable) intern(value string) uint32 {
	index, known := t.indexes[value]
	if !known {
		index = uint32(len(t.values))
		t.values = append(t.values, value)
		t.indexes[value] = index
	}
	return index
}

// idKey represents an id: the value of an id of 16 lower-case hex digits, or the index of any other id
// in the string table.
type idKey struct {
	number   uint64 // the value of the hex digits, or the index in the string table
	interned bool   // number is an index in the string table
}

// hexIDDigits is the length, in hex digits, of the ids that are stored as numbers.
const hexIDDigits = 16

const hexDigits = "0123456789abcdef"

// idIndex maps each id to the location of the add that counts for it.
type idIndex struct {
	byNumber map[uint64]location
	texts    stringTable
	byText   map[uint32]location // of the ids in texts, by index
}

func newIDIndex() idIndex {
	return idIndex{byNumber: map[uint64]location{}, texts: newStringTable(), byText: map[uint32]location{}}
}

// parseHexID returns the value of an id of exactly 16 lower-case hex digits; ok is false for other ids.
func parseHexID(id string) (number uint64, ok bool) {
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

// formatHexID is the inverse of parseHexID.
func formatHexID(number uint64) string {
	var digits [hexIDDigits]byte
	for i := range digits {
		digits[hexIDDigits-1-i] = hexDigits[number&0xf]
		number >>= 4
	}
	return string(digits[:])
}

// intern returns the key of an id and creates one if it is new.
func (x *idIndex) intern(id string) idKey {
	if number, ok := parseHexID(id); ok {
		return idKey{number: number}
	}
	return idKey{uint64(x.texts.intern(id)), true}
}

// find returns the key of an id and reports whether it has one, without creating it.
func (x *idIndex) find(id string) (idKey, bool) {
	if number, ok := parseHexID(id); ok {
		return idKey{number: number}, true
	}
	index, known := x.texts.indexes[id]
	return idKey{uint64(index), true}, known
}

// text returns the id that a key represents.
func (x *idIndex) text(key idKey) string {
	if key.interned {
		return x.texts.values[key.number]
	}
	return formatHexID(key.number)
}

// location returns where the add that counts for an id is stored.
func (x *idIndex) location(key idKey) (at location, found bool) {
	if key.interned {
		at, found = x.byText[uint32(key.number)]
	} else {
		at, found = x.byNumber[key.number]
	}
	return at, found
}

// set records the location of the add that counts for an id.
func (x *idIndex) set(key idKey, at location) {
	if key.interned {
		x.byText[uint32(key.number)] = at
	} else {
		x.byNumber[key.number] = at
	}
}
