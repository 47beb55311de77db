// Package kvindex indexes which backend holds which prompt parts in its KV cache, as reported by the
// backends' cache events and snapshots. These reports arrive late and with gaps. The index does no
// I/O, has no clock and is not safe for concurrent use.
package kvindex

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a cached prompt part: a hash of its cache salt, model and part ID. A key only has to
// be unique within one backend, which caches a few thousand parts at most, so 32 bits suffice. A
// collision between backends in the record of evictions only blurs an estimate. Short keys matter
// because changes of keys are most of the traffic between agents.
type Key uint32

// Part is one part of a prompt. The parts of a prompt are ordered.
type Part struct {
	ID     string
	Tokens int
}

// KeyOf returns the key of a part under a cache salt and a model.
func KeyOf(salt, model, part string) Key {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(salt)
	d.Write([]byte{0})
	d.WriteString(model)
	d.Write([]byte{0})
	d.WriteString(part)
	return Key(d.Sum64())
}

// Change is the new state of one part in a backend's cache: the number of its tokens that are cached,
// 0 if the part was evicted.
type Change struct {
	_      struct{} `cbor:",toarray"`
	Key    Key
	Tokens int
}

// Cursor is a position in a backend's cache events.
type Cursor struct {
	Epoch int64 `cbor:"1,keyasint"` // identifies the backend's cache; changes with each restart
	Next  int64 `cbor:"2,keyasint"` // position of the next page of events, as the backend gave it; 0 is the beginning
}

// Batch is an update of one backend's cached parts: the changes between two cursors, or a snapshot.
type Batch struct {
	Backend  string   `cbor:"1,keyasint"`
	From     Cursor   `cbor:"2,keyasint"`
	To       Cursor   `cbor:"3,keyasint"`
	Snapshot bool     `cbor:"4,keyasint,omitempty"` // Changes lists all cached parts
	Changes  []Change `cbor:"5,keyasint,omitempty"`
	Digest   uint64   `cbor:"6,keyasint"` // of the backend's cached parts after the batch; 0 if not known
}

// Index holds the cached parts of all known backends.
type Index struct {
	backends  map[string]*backendParts
	evictions *evictionLog // nil unless TrackEvictions was called
}

type backendParts struct {
	cursor Cursor
	parts  map[Key]int32 // cached tokens
	digest uint64        // of parts, independent of their order
}

// New returns an empty index.
func New() *Index { return &Index{backends: map[string]*backendParts{}} }

// Apply applies a batch to the index. It returns false if the batch does not continue from
// the known cursor, if the backend is not known or if the digests differ; the caller then needs a snapshot of the backend. A batch that ends
// at or before the known cursor is ignored, and Apply returns true.
//
// A snapshot, or a batch from the beginning of a new epoch, replaces the backend's parts. The parts that
// it replaces are not recorded as evictions.
func (x *Index) Apply(b *Batch) bool {
	p := x.backends[b.Backend]
	if b.Snapshot || p == nil && b.From.Next == 0 || p != nil && b.From.Next == 0 && p.cursor.Epoch != b.To.Epoch {
		p = &backendParts{parts: make(map[Key]int32, len(b.Changes))}
		x.backends[b.Backend] = p
	} else if p == nil {
		return false
	} else if p.cursor != b.From {
		return p.cursor.Epoch == b.To.Epoch && p.cursor.Next >= b.To.Next // already applied
	}
	for _, c := range b.Changes {
		if x.evictions != nil && c.Tokens <= 0 && p.parts[c.Key] > 0 {
			x.evictions.add(c.Key)
		}
		p.set(c)
	}
	p.cursor = b.To
	return b.Digest == 0 || b.Digest == p.digest
}

func (p *backendParts) set(c Change) {
	if old, ok := p.parts[c.Key]; ok {
		p.digest ^= entryDigest(c.Key, int(old))
	}
	if c.Tokens <= 0 {
		delete(p.parts, c.Key)
		return
	}
	p.parts[c.Key] = int32(c.Tokens)
	p.digest ^= entryDigest(c.Key, c.Tokens)
}

// entryDigest returns the digest of one cached part. A backend's digest is the XOR over its parts.
// The parts are mixed with the constants of splitmix64.
func entryDigest(k Key, tokens int) uint64 {
	v := uint64(k) ^ uint64(tokens)*0x9e3779b97f4a7c15
	v ^= v >> 29
	v *= 0xbf58476d1ce4e5b9
	return v ^ v>>32
}

// Cursor returns the position up to which a backend's events are applied, and whether the backend is
// known.
func (x *Index) Cursor(backend string) (Cursor, bool) {
	p := x.backends[backend]
	if p == nil {
		return Cursor{}, false
	}
	return p.cursor, true
}

// Digest returns the digest of a backend's cached parts, 0 if the backend is not known.
func (x *Index) Digest(backend string) uint64 {
	if p := x.backends[backend]; p != nil {
		return p.digest
	}
	return 0
}

// Snapshot returns a batch with all known parts of a backend, nil if the backend is not known.
func (x *Index) Snapshot(backend string) *Batch {
	p := x.backends[backend]
	if p == nil {
		return nil
	}
	b := &Batch{Backend: backend, From: p.cursor, To: p.cursor, Snapshot: true, Digest: p.digest}
	for k, tokens := range p.parts {
		b.Changes = append(b.Changes, Change{Key: k, Tokens: int(tokens)})
	}
	return b
}

// Backends returns the names of the known backends in no particular order.
func (x *Index) Backends() []string { return slices.Collect(maps.Keys(x.backends)) }

// Remove removes a backend and its parts.
func (x *Index) Remove(backend string) { delete(x.backends, backend) }

// PartCount returns the number of cached parts over all backends.
func (x *Index) PartCount() (n int) {
	for _, p := range x.backends {
		n += len(p.parts)
	}
	return n
}

// PrefixTokens returns the number of tokens of a prompt's longest prefix that a backend has cached.
// The prefix ends at the first part that is missing or only partly cached; the cached tokens of that
// part count.
func (x *Index) PrefixTokens(backend string, keys []Key, parts []Part) (tokens int) {
	p := x.backends[backend]
	if p == nil {
		return 0
	}
	for i, k := range keys {
		cached := min(int(p.parts[k]), parts[i].Tokens)
		tokens += cached
		if cached < parts[i].Tokens {
			break
		}
	}
	return tokens
}

// Keys returns the keys of a prompt's parts, in their order.
func Keys(salt, model string, parts []Part) []Key {
	keys := make([]Key, len(parts))
	for i, p := range parts {
		keys[i] = KeyOf(salt, model, p.ID)
	}
	return keys
}
