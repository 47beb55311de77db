package kvindex

// dropped remembers the keys of the parts that backends dropped last, a fixed number of them.
type dropped struct {
	keys []Key // a ring
	next int
	in   map[Key]int // how often a key is in the ring
}

func newDropped(size int) *dropped {
	return &dropped{keys: make([]Key, 0, size), in: make(map[Key]int, size)}
}

// add notes a key, in place of the oldest one when the ring is full.
func (d *dropped) add(k Key) {
	if len(d.keys) < cap(d.keys) {
		d.keys = append(d.keys, k)
	} else {
		d.forget(d.keys[d.next])
		d.keys[d.next] = k
		d.next = (d.next + 1) % len(d.keys)
	}
	d.in[k]++
}

func (d *dropped) forget(k Key) {
	if d.in[k]--; d.in[k] <= 0 {
		delete(d.in, k)
	}
}

// RememberDropped has the index remember so many of the parts that backends dropped last.
func (x *Index) RememberDropped(size int) { x.dropped = newDropped(size) }

// Dropped tells whether a backend dropped a part lately, as far as the index remembers.
func (x *Index) Dropped(k Key) bool { return x.dropped != nil && x.dropped.in[k] > 0 }
