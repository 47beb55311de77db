package control

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Order gives the seats in the order in which one of a name and region follows them: those of its own region first, each group by
// rendezvous hashing. So names spread evenly, and where a seat goes, only those that had it move.
func Order(name, region string, seats []Seat) []Seat {
	type ranked struct {
		seat  Seat
		other bool
		hash  uint64
	}
	all := make([]ranked, len(seats))
	for i, s := range seats {
		var h xxhash.Digest
		h.Reset()
		h.WriteString(name)
		h.WriteString("\x00")
		h.WriteString(s.Name)
		all[i] = ranked{s, s.Region != region, h.Sum64()}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(truth(a.other), truth(b.other)), cmp.Compare(b.hash, a.hash), cmp.Compare(a.seat.Name, b.seat.Name))
	})
	order := make([]Seat, len(all))
	for i, r := range all {
		order[i] = r.seat
	}
	return order
}
