package capacity

import (
	"bytes"
	"errors"
	"fmt"
	"runtime"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"nettlefold/internal/fleet/rights"
)

// perMixer is how many searchers there are for each mixer, by the plan.
const perMixer = 6

const rightsRound = 250_000_000 // ns

// estate is the rights of many lives in model time. Only the chairs and one other hear all; the others hear the chairs.
type estate struct {
	lives  []*rights.Ledger
	chairs []int
	other  int // one who hears all, and is in no chair
	demand []rights.Demand
	o      rights.Options
	at     int64
}

// newEstate has mixers, in as many wards as the plan has regions, want more than their floor of all resources, which is the
// greatest case, and plays until the chairs lend.
func newEstate(mixers, resources int) (*estate, error) {
	const wards = int(Regions)
	e := &estate{o: rights.Options{Reserve: 50, Floor: 1, Lease: 4 * rightsRound, Vote: 3 * rightsRound}}
	for w := range wards {
		e.o.Wards = append(e.o.Wards, rights.Ward{Name: fmt.Sprint("region-", w), Seats: (mixers + wards - 1) / wards})
	}
	least := map[int]uint64{}
	for i := range mixers {
		w, id := i%wards, numbered(i, "").Life
		l, err := rights.New(0, rights.Life{Name: fmt.Sprintf("mixer-%05d", i), Ward: e.o.Wards[w].Name, ID: id}, e.o)
		if err != nil {
			return nil, err
		}
		e.lives = append(e.lives, l)
		if least[w] == 0 {
			e.chairs = append(e.chairs, i)
			least[w] = id
		} else if id < least[w] {
			least[w], e.chairs[w] = id, i
		}
	}
	for e.other = mixers - 1; slices.Contains(e.chairs, e.other); e.other-- {
	}
	for r := range resources {
		e.demand = append(e.demand, rights.Demand{Resource: rights.Resource{Name: fmt.Sprintf("searcher-%05d", r), Started: int64(r)},
			Limit: 50 + int64(5*mixers), Want: int64(3 + r%7)})
	}
	for range 14 {
		if err := e.round(); err != nil {
			return nil, err
		}
	}
	if u := e.lives[e.other].Usable(e.at, e.demand[0].Resource); u < 2 {
		return nil, errors.New("nothing is lent")
	}
	return e, nil
}

// round has all take a step, the chairs and one other hear each, and the others the chairs.
func (e *estate) round() error {
	e.at += rightsRound
	own := make([][]byte, len(e.lives))
	for i, l := range e.lives {
		l.Step(e.at, e.demand)
		raw, err := alone(l.Offer(e.at, rights.MaxState))
		if err != nil {
			return err
		}
		own[i] = raw
	}
	for i, l := range e.lives {
		all := i == e.other || slices.Contains(e.chairs, i)
		for from := range e.lives {
			if from != i && (all || slices.Contains(e.chairs, from)) {
				if err := l.Take(e.at, "", own[from]); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// alone gives of an offer the first sheet only, which is its maker's own.
func alone(offer []byte) ([]byte, error) {
	var all envelope
	if err := cbor.Unmarshal(offer, &all); err != nil || len(all.Sheets) == 0 {
		return nil, fmt.Errorf("an offer of %d bytes without its own sheet: %v", len(offer), err)
	}
	all.Sheets = all.Sheets[:1]
	return cbor.Marshal(all)
}

// envelope is what an offer of rights is on the wire.
type envelope struct {
	Version int `cbor:"1,keyasint"`
	Sheets  []struct {
		_                 struct{} `cbor:",toarray"`
		Life, Number, Age uint64
		Raw               []byte
	} `cbor:"2,keyasint"`
}

// rightsFigures measures the sheets, the state, what one who knows all holds, and a chair's step.
func rightsFigures(mixers, resources int) ([]float64, error) {
	e, err := newEstate(mixers, resources)
	if err != nil {
		return nil, err
	}
	chair, other := e.lives[e.chairs[0]], e.lives[e.other]
	state := other.Offer(e.at, rights.MaxState)
	var all envelope
	if err := cbor.Unmarshal(state, &all); err != nil {
		return nil, err
	}
	if len(all.Sheets) != mixers {
		return nil, fmt.Errorf("%d sheets of %d lives fit in a state", len(all.Sheets), mixers)
	}
	sizes := map[uint64]int{}
	for _, s := range all.Sheets {
		sizes[s.Life] = len(s.Raw)
	}
	chairs := sizes[numbered(e.chairs[0], "").Life]
	others := sizes[numbered(e.other, "").Life]
	fresh, held := Held(func() *rights.Ledger {
		l, err := rights.New(e.at, rights.Life{Name: "fresh", Ward: e.o.Wards[0].Name, ID: 1}, e.o)
		if err == nil {
			err = l.Take(e.at, "", bytes.Clone(state))
		}
		if err != nil {
			panic(err) // it was taken before
		}
		return l
	})
	runtime.KeepAlive(fresh)
	e.at += rightsRound
	allocations, allocated, took := Allocated(func() { chair.Step(e.at, e.demand) })
	_, _, otherTook := Allocated(func() { other.Step(e.at, e.demand) })
	return []float64{float64(len(state)), float64(chairs), float64(others), held, allocations, allocated, float64(took) / 1e9,
		float64(otherTook) / 1e9}, nil
}

// rightsCurves are of the rights, in model time. Nothing in the program uses them yet.
func rightsCurves() []Curve {
	quantities := func(all, one Form, state, chair Law) []Quantity {
		return []Quantity{
			exact("rights: state of all", "B", all, state),
			exact("rights: sheet of a chair", "B", all, chair),
			exact("rights: sheet of another", "B", one),
			exact("rights: bytes held of others' sheets", "B", all),
			exact("rights: allocations of a chair's step", "", all),
			exact("rights: bytes allocated by a chair's step", "B", all),
			rough("rights: a chair's step", "s", Power),
			rough("rights: a step of another", "s", Power),
		}
	}
	return []Curve{
		{Role: "mixer", Of: "members, 64 searchers", Plan: Mixers, Sizes: doubled(32), Quick: doubled(6),
			Quantities: quantities(Affine, Flat, Law{Affine, 2337, 982.5, 0}, Law{Affine, 1472, 19.25, 0}),
			Play:       func(n int) ([]float64, error) { return rightsFigures(n, 64) }},
		{Role: "mixer", Of: "members, 6 searchers each", Plan: Mixers, Sizes: doubled(10), Quick: []int{5, 9, 18, 36, 80},
			Quantities: quantities(Quadratic, Affine, rightsState, rightsChair),
			Play:       func(n int) ([]float64, error) { return rightsFigures(n, perMixer*n) }},
	}
}
