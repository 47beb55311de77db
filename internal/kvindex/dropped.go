package kvindex

// dropped remembers the keys of the parts that backends dropped last, up to a number of them. It takes memory as it fills.
type dropped struct {
	keys []Key // a ring, once it is full
	most int
	next int
	in   map[Key]int // how often a key is in the ring
}

func newDropped(most int) *dropped { return &dropped{most: most, in: map[Key]int{}} }

// add notes a key, in place of the oldest one when the ring is full.
func (d *dropped) add(k Key) {
	if len(d.keys) < d.most {
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
