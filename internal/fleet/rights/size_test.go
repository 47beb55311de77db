package rights

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

func envelopeOf(lives ...*Ledger) []byte {
	e := envelope{Version: version}
	for _, l := range lives {
		h := l.sheets[l.self.ID]
		e.Sheets = append(e.Sheets, enclosed{Life: l.self.ID, Number: h.sheet.Number, Raw: h.raw})
	}
	raw, err := cbor.Marshal(e)
	if err != nil {
		panic(err)
	}
	return raw
}

// BenchmarkFleet is the greatest case: 300 lives of three wards, 200 resources, each life wants more than its floor of each.
// A round is a step of each of two lives, of which one is in a chair, and the whole state taken anew by it.
func BenchmarkFleet(b *testing.B) {
	o := Options{Reserve: 50, Floor: 1, Lease: 8 * half, Vote: 4 * half}
	for w := range 3 {
		o.Wards = append(o.Wards, Ward{fmt.Sprint("w", w), 100})
	}
	var lives []*Ledger
	for i := range 300 {
		l, err := New(0, Life{fmt.Sprint("mixer-", i), o.Wards[i/100].Name, uint64(i)*0x9e3779b97f4a7c15 + 1}, o)
		if err != nil {
			b.Fatal(err)
		}
		lives = append(lives, l)
	}
	var first []*Ledger
	for w := range 3 {
		least := func(a, b *Ledger) int { return cmp.Compare(a.self.ID, b.self.ID) }
		first = append(first, slices.MinFunc(lives[100*w:100*w+100], least))
	}
	var demand []Demand
	for r := range 200 {
		demand = append(demand, Demand{Resource{fmt.Sprint("searcher-", r), int64(r)}, 1500, int64(3 + r%7), 0})
	}
	at := int64(0)
	var state []byte
	round := func() {
		at += half / 2
		for _, l := range lives {
			l.Step(at, demand)
		}
		state = envelopeOf(lives...)
		few := envelopeOf(first...)
		for _, l := range lives {
			heard := few // of the others who will be in the chairs only, to save the test's time
			if slices.Contains(first, l) || l == lives[299] {
				heard = state
			}
			if err := l.Take(at, "", heard); err != nil {
				b.Fatal(err)
			}
		}
	}
	for range 32 {
		round()
	}
	chair, other := first[0], lives[299]
	if at >= chair.until || other.Usable(at, demand[6].Resource) < 2 {
		b.Fatal("nothing is lent")
	}
	for _, c := range []struct {
		name  string
		bytes int
		do    func()
	}{
		{"chair's step", len(chair.sheets[chair.self.ID].raw), func() { chair.Step(at, demand) }},
		{"other's step", len(other.sheets[other.self.ID].raw), func() { other.Step(at, demand) }},
		{"offer of all", len(other.Offer(at, MaxState)), func() { other.Offer(at, MaxState) }},
		{"take of all, nothing new", len(state), func() { _ = other.Take(at, "", state) }},
		{"take of all, all new", len(state), func() {
			if l, _ := New(0, Life{"new", "w0", 7}, o); l.Take(at, "", state) != nil {
				b.Fatal("not taken")
			}
		}},
	} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				c.do()
			}
			b.ReportMetric(float64(c.bytes), "bytes")
		})
	}
}
