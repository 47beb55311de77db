package kvindex

// evictionLog records the keys of the most recently evicted parts, up to a fixed number of entries.
// Its memory grows as it fills.
type evictionLog struct {
	ring     []Key // used as a ring buffer once it is full
	capacity int
	oldest   int         // index of the oldest entry of a full ring
	counts   map[Key]int // number of entries per key
}

func newEvictionLog(capacity int) *evictionLog {
	return &evictionLog{capacity: capacity, counts: map[Key]int{}}
}

// add records a key. If the log is full, the key replaces the oldest entry.
func (l *evictionLog) add(k Key) {
	if len(l.ring) < l.capacity {
		l.ring = append(l.ring, k)
	} else {
		l.decrement(l.ring[l.oldest])
		l.ring[l.oldest] = k
		l.oldest = (l.oldest + 1) % len(l.ring)
	}
	l.counts[k]++
}

// decrement removes one of the entries of a key from the counts.
func (l *evictionLog) decrement(k Key) {
	if l.counts[k]--; l.counts[k] <= 0 {
		delete(l.counts, k)
	}
}

// TrackEvictions makes the index record the last capacity evictions of parts, of all backends
// together. An index does not record evictions by default.
func (x *Index) TrackEvictions(capacity int) { x.evictions = newEvictionLog(capacity) }

// RecentlyEvicted reports whether one of the recorded evictions is of this part.
func (x *Index) RecentlyEvicted(k Key) bool { return x.evictions != nil && x.evictions.counts[k] > 0 }
