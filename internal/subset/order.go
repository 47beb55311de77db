package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// seat gives where a searcher stands in a mixer's order, lowest first, by rendezvous hashing (Thaler, Ravishankar 1998): each mixer
// has an order of its own, and one searcher's coming or going moves no other in it.
func seat(mixer, searcher string) uint64 {
	var h xxhash.Digest
	h.Reset()
	h.WriteString(mixer)
	h.WriteString("\x00")
	h.WriteString(searcher)
	return h.Sum64()
}

func bySeat(a, b *member) int {
	if a.seat != b.seat {
		return cmp.Compare(a.seat, b.seat)
	}
	return cmp.Compare(a.Searcher, b.Searcher)
}

// order sorts a cell's members as this mixer takes them. Each zone's are sorted by their seats; the zones are merged so that any first
// part of the order has of each zone the same share of its holders, to one more or less. Who rounds up first differs by mixer, by chance
// of the hash: a zone of few holders is not in every mixer's subset, which would overload them. Where crossing zones costs, this
// mixer's own zone and the others take turns instead.
func (c *Chooser) order(at *cell) {
	type zone struct {
		shift       float64
		count, next int
	}
	zones, own := map[string]*zone{}, 0
	for _, m := range at.members {
		z := zones[m.Zone]
		if z == nil {
			z = &zone{shift: float64(seat(c.o.Name, "\x00"+m.Zone)>>11) / (1 << 53)}
			zones[m.Zone] = z
		}
		z.count++
	}
	if z := zones[c.o.Zone]; z != nil && c.o.OwnFirst && len(zones) > 1 {
		own = z.count
	}
	slices.SortFunc(at.members, bySeat)
	for _, m := range at.members {
		z := zones[m.Zone]
		m.key = (float64(z.next) + z.shift) / float64(z.count)
		z.next++
	}
	slices.SortFunc(at.members, func(a, b *member) int {
		if a.key != b.key {
			return cmp.Compare(a.key, b.key)
		}
		return bySeat(a, b)
	})
	if own == 0 {
		return
	}
	near, far := make([]*member, 0, own), make([]*member, 0, len(at.members)-own)
	for _, m := range at.members {
		if m.Zone == c.o.Zone {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	for i := range at.members {
		if len(near) > 0 && (i%2 == 0 || len(far) == 0) {
			at.members[i], near = near[0], near[1:]
		} else {
			at.members[i], far = far[0], far[1:]
		}
	}
}
