// Package kvindex knows which backend keeps which parts of prompts: what their events and lists told, late and with gaps. It is a
// plain table without I/O or clock; whoever owns it feeds it and asks it.
package kvindex

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Key names a part of a prompt as a backend keeps it: a digest of salt, model and part. Parts are told apart within one backend only, which
// keeps some thousands at the most; 32 bits serve for that, and news of keys is most of what agents tell each other.
type Key uint32

// Part is one part of a prompt, in its order.
type Part struct {
	ID     string
	Tokens int
}

// KeyOf digests what tells parts apart.
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

// Change is what a backend tells of one part: how many of its tokens it keeps now, 0 if it dropped it.
type Change struct {
	_      struct{} `cbor:",toarray"`
	Key    Key
	Tokens int
}

// Cursor is how far a backend's events are known.
type Cursor struct {
	Epoch int64 `cbor:"1,keyasint"` // of the backend's memory; another after each restart
	Next  int64 `cbor:"2,keyasint"` // the token of the next page
}

// Batch is news of one backend: the changes between two cursors, or all that it keeps.
type Batch struct {
	Backend  string   `cbor:"1,keyasint"`
	From     Cursor   `cbor:"2,keyasint"`
	To       Cursor   `cbor:"3,keyasint"`
	Snapshot bool     `cbor:"4,keyasint,omitempty"`
	Changes  []Change `cbor:"5,keyasint,omitempty"`
	Digest   uint64   `cbor:"6,keyasint"` // digest of what the backend keeps after it
}

// Index has what every backend keeps.
type Index struct {
	backends  map[string]*backendParts
	evictions *evictionLog // nil unless it is to be remembered
}

type backendParts struct {
	cursor Cursor
	parts  map[Key]int32
	digest uint64 // order-free digest of parts
}

// New makes an empty index.
func New() *Index { return &Index{backends: map[string]*backendParts{}} }

// Apply takes a batch. It tells false when the batch does not follow what is known: then the whole is needed.
func (x *Index) Apply(b *Batch) bool {
	h := x.backends[b.Backend]
	if b.Snapshot || h == nil && b.From.Next == 0 || h != nil && b.From.Next == 0 && h.cursor.Epoch != b.To.Epoch {
		h = &backendParts{parts: make(map[Key]int32, len(b.Changes))}
		x.backends[b.Backend] = h
	} else if h == nil {
		return false
	} else if h.cursor != b.From {
		return h.cursor.Epoch == b.To.Epoch && h.cursor.Next >= b.To.Next // it is known already
	}
	for _, c := range b.Changes {
		if x.evictions != nil && c.Tokens <= 0 && h.parts[c.Key] > 0 {
			x.evictions.add(c.Key)
		}
		h.set(c)
	}
	h.cursor = b.To
	return b.Digest == 0 || b.Digest == h.digest
}

func (h *backendParts) set(c Change) {
	if old, ok := h.parts[c.Key]; ok {
		h.digest ^= entryDigest(c.Key, int(old))
	}
	if c.Tokens <= 0 {
		delete(h.parts, c.Key)
		return
	}
	h.parts[c.Key] = int32(c.Tokens)
	h.digest ^= entryDigest(c.Key, c.Tokens)
}

// mark is an entry's share of the digest.
func entryDigest(k Key, tokens int) uint64 {
	v := uint64(k) ^ uint64(tokens)*0x9e3779b97f4a7c15
	v ^= v >> 29
	v *= 0xbf58476d1ce4e5b9
	return v ^ v>>32
}

// Cursor tells how far a backend is known; false if it is not.
func (x *Index) Cursor(backend string) (Cursor, bool) {
	h := x.backends[backend]
	if h == nil {
		return Cursor{}, false
	}
	return h.cursor, true
}

// Sum is the digest of what a backend keeps.
func (x *Index) Digest(backend string) uint64 {
	if h := x.backends[backend]; h != nil {
		return h.digest
	}
	return 0
}

// Whole gives all that is known of a backend, nil if nothing is.
func (x *Index) Snapshot(backend string) *Batch {
	h := x.backends[backend]
	if h == nil {
		return nil
	}
	b := &Batch{Backend: backend, From: h.cursor, To: h.cursor, Snapshot: true, Digest: h.digest}
	for k, tokens := range h.parts {
		b.Changes = append(b.Changes, Change{Key: k, Tokens: int(tokens)})
	}
	return b
}

// Backends names those that are known.
func (x *Index) Backends() []string { return slices.Collect(maps.Keys(x.backends)) }

// Forget drops a backend.
func (x *Index) Remove(backend string) { delete(x.backends, backend) }

// Len is the number of parts known, of all backends.
func (x *Index) PartCount() (n int) {
	for _, h := range x.backends {
		n += len(h.parts)
	}
	return n
}

// Held is how many tokens of a prompt a backend keeps, counted over the unbroken prefix only.
func (x *Index) PrefixTokens(backend string, keys []Key, parts []Part) (tokens int) {
	h := x.backends[backend]
	if h == nil {
		return 0
	}
	for i, k := range keys {
		kept := min(int(h.parts[k]), parts[i].Tokens)
		tokens += kept
		if kept < parts[i].Tokens {
			break
		}
	}
	return tokens
}

// Keys digests the parts of a prompt.
func Keys(salt, model string, parts []Part) []Key {
	keys := make([]Key, len(parts))
	for i, p := range parts {
		keys[i] = KeyOf(salt, model, p.ID)
	}
	return keys
}
