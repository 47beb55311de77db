package kvindex

// dropped remembers the keys of the parts that backends dropped last, up to a number of them. It takes memory as it fills.
type evictionLog struct {
	ring     []Key // a ring, once it is full
	capacity int
	oldest   int
	counts   map[Key]int // how often a key is in the ring
}

func newEvictionLog(most int) *evictionLog {
	return &evictionLog{capacity: most, counts: map[Key]int{}}
}

// add notes a key, in place of the oldest one when the ring is full.
func (d *evictionLog) add(k Key) {
	if len(d.ring) < d.capacity {
		d.ring = append(d.ring, k)
	} else {
		d.remove(d.ring[d.oldest])
		d.ring[d.oldest] = k
		d.oldest = (d.oldest + 1) % len(d.ring)
	}
	d.counts[k]++
}

func (d *evictionLog) remove(k Key) {
	if d.counts[k]--; d.counts[k] <= 0 {
		delete(d.counts, k)
	}
}

// RememberDropped has the index remember so many of the parts that backends dropped last.
func (x *Index) TrackEvictions(size int) { x.evictions = newEvictionLog(size) }

// Dropped tells whether a backend dropped a part lately, as far as the index remembers.
func (x *Index) RecentlyEvicted(k Key) bool { return x.evictions != nil && x.evictions.counts[k] > 0 }
