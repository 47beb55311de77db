package twophase

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/bits"

	"github.com/bits-and-blooms/bloom/v3"
)

const (
	summaryLasts = 60_000 * ms // ns for which a summary is believed: keys come to a block meanwhile
	maxBits      = 1 << 20     // of one filter, 128 KiB
	maxHashes    = 16
	maxFill      = 0.6 // of bits set, above which a filter says too little
	headSize     = 8   // bytes of a filter's form before its words
)

// ErrSummary is the error of Summaries.Take for what is no sound summary.
var ErrSummary = errors.New("not a sound summary")

// summary is what one process says that its block may hold. It errs only by saying that a key may be there.
type summary struct {
	of     Process
	filter *bloom.BloomFilter
	taken  int64
	bytes  int
}

// Summaries are the newest filter of each block, within a bound of bytes. One filter of one process is believed for pruning
// as long as that process is listed, has long been warm, and the filter is fresh: a process that has not loaded all it holds
// knows nothing of what it lacks.
type Summaries struct {
	most, held int
	blocks     map[int]summary
	Unsound    int // filters that were not taken
}

// NewSummaries holds filters of so many bytes at the most.
func NewSummaries(most int) *Summaries { return &Summaries{most: most, blocks: map[int]summary{}} }

// Take takes a filter that a process gives of a block: 4 bytes of how many bits, 4 of how many hashes, then the bits in
// words of 8 bytes, all with the lowest byte first. One of a cold process is not taken.
func (s *Summaries) Take(now int64, block int, of Process, cold bool, raw []byte) error {
	filter, err := readFilter(raw)
	if err == nil && cold {
		err = fmt.Errorf("%w: of a cold process", ErrSummary)
	}
	old := s.blocks[block]
	if err == nil && s.held-old.bytes+len(raw) > s.most {
		err = fmt.Errorf("%w: over %d bytes with what is held", ErrSummary, s.most)
	}
	if err != nil {
		s.Unsound++
		return err
	}
	s.held += len(raw) - old.bytes
	s.blocks[block] = summary{of, filter, now, len(raw)}
	return nil
}

func readFilter(raw []byte) (*bloom.BloomFilter, error) {
	if len(raw) < headSize {
		return nil, fmt.Errorf("%w: %d bytes", ErrSummary, len(raw))
	}
	size, hashes := binary.LittleEndian.Uint32(raw), binary.LittleEndian.Uint32(raw[4:])
	if size == 0 || size > maxBits || size%64 != 0 || hashes == 0 || hashes > maxHashes || len(raw) != headSize+int(size/8) {
		return nil, fmt.Errorf("%w: %d bits, %d hashes, %d bytes", ErrSummary, size, hashes, len(raw))
	}
	words, set := make([]uint64, size/64), 0
	for i := range words {
		words[i] = binary.LittleEndian.Uint64(raw[headSize+8*i:])
		set += bits.OnesCount64(words[i])
	}
	if float64(set) > maxFill*float64(size) {
		return nil, fmt.Errorf("%w: %d of %d bits are set", ErrSummary, set, size)
	}
	return bloom.From(words, uint(hashes)), nil
}

// WriteFilter writes a filter of keys in that form, for one who serves a block. Bits are rounded up to whole words.
func WriteFilter(keys []string, size, hashes uint32) []byte {
	size = max((size+63)/64*64, 64)
	words := make([]uint64, size/64)
	filter := bloom.From(words, uint(hashes))
	for _, k := range keys {
		filter.AddString(k)
	}
	raw := binary.LittleEndian.AppendUint32(nil, size)
	raw = binary.LittleEndian.AppendUint32(raw, hashes)
	for _, w := range words {
		raw = binary.LittleEndian.AppendUint64(raw, w)
	}
	return raw
}

// Absent tells whether a block surely does not hold a key. Listed tells whether a process is still listed live and warm: of
// one that is not, the filter is dropped.
func (s *Summaries) Absent(now int64, block int, key string, listed func(Process) bool) bool {
	f, ok := s.blocks[block]
	if !ok {
		return false
	}
	if now-f.taken >= summaryLasts || !listed(f.of) {
		s.drop(block)
		return false
	}
	return !f.filter.TestString(key)
}

func (s *Summaries) drop(block int) {
	s.held -= s.blocks[block].bytes
	delete(s.blocks, block)
}

// Held gives how many bytes of filters are held.
func (s *Summaries) Held() int { return s.held }
