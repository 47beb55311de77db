package fanout

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// small is a fleet that is played in a moment, with meetings as often as in the whole one.
func small() Fleet {
	f := Planned(2).Scaled(10)
	f.Mixers, f.Warm, f.Length = 200, time.Second, time.Second
	f.Slots = 1
	return f
}

// A play is the same from the same seed, another from another.
func TestModelFromSeed(t *testing.T) {
	for _, d := range []int{0, 8} {
		f := small()
		f.Subset, f.Idle = d, time.Second/2
		a, b := f.Play(), f.Play()
		if *a != *b {
			t.Errorf("subset %d: two plays of one seed differ", d)
		}
		f.Seed = 2
		if c := f.Play(); c.Part == a.Part {
			t.Errorf("subset %d: plays of two seeds are the same", d)
		}
	}
}

// Each part that was sent is answered once, or out when time is up; what mixers count is what is out, and nothing in the end, also
// where a zone is lost or searchers restart meanwhile.
func TestModelKeepsCount(t *testing.T) {
	for name, change := range map[string]func(*Fleet){
		"plain":          func(*Fleet) {},
		"subset":         func(f *Fleet) { f.Subset = 4 },
		"one holder":     func(f *Fleet) { f.Subset = 1 },
		"jam":            func(f *Fleet) { f.Queries *= 2 },
		"zone":           func(f *Fleet) { f.Zones, f.LostAt, f.Notice = 8, f.Warm, 300*time.Millisecond },
		"zone, subset":   func(f *Fleet) { f.Subset, f.Zones, f.LostAt, f.Notice = 4, 8, f.Warm, 300*time.Millisecond },
		"restarts":       func(f *Fleet) { f.Restarts, f.Down, f.ColdFor = 10*time.Second, time.Second, time.Second },
		"subset, conns.": func(f *Fleet) { f.Subset, f.Idle, f.Handshake = 8, time.Second, time.Millisecond },
	} {
		f := small()
		change(&f)
		o := f.Play()
		if o.Sent == 0 || o.Sent != o.Answered || o.Stuck > 0 {
			t.Errorf("%s: %d parts sent, %d answered, %d counted in the end", name, o.Sent, o.Answered, o.Stuck)
		}
		if f.LostAt == 0 && (o.Out == 0 || o.Out != o.Counted) {
			t.Errorf("%s: %d out when time is up, %d counted", name, o.Out, o.Counted)
		}
		if got, want := o.Load.Mean*float64(f.Cells*f.Holders), f.Queries*float64(f.Mixers*f.Cells)*f.Length.Seconds(); f.LostAt == 0 &&
			math.Abs(got/want-1) > 0.05 {
			t.Errorf("%s: %.0f parts came while it was measured, want %.0f", name, got, want)
		}
	}
}

// The planted fault of counts that aren't raised is seen by the sum of counts, and by pairs that have a part out.
func TestForgetfulIsSeen(t *testing.T) {
	f := small()
	f.forgetful = true
	if o := f.Play(); o.Out == o.Counted || o.Busy > 0 {
		t.Errorf("%d parts out, %d counted, %.4f of pairs busy", o.Out, o.Counted, o.Busy)
	}
}

// Mixers keep to the fleet's allowance of cold searchers, however many they are; where each takes it for its own, that is seen.
func TestColdAllowanceIsOneOfTheFleet(t *testing.T) {
	for _, mixers := range []int{30, 300} {
		f := small()
		f.Queries *= float64(f.Mixers) / float64(mixers)
		f.Mixers, f.Slots, f.Length = mixers, 4, 4*time.Second
		f.Restarts, f.Down, f.ColdFor = 30*time.Second, time.Second, 4*time.Second
		if o := f.Play(); o.ColdSeconds < 10 || o.ColdBeyond > 0 {
			t.Errorf("%d mixers: %d of %d seconds beyond the allowance", mixers, o.ColdBeyond, o.ColdSeconds)
		}
		if f.lavish, f.Queries = true, 4*f.Queries; mixers < 300 {
			continue // so few are held back by their own counts
		}
		if o := f.Play(); o.ColdBeyond == 0 {
			t.Errorf("%d mixers that each send what all may: none of %d seconds is beyond it", mixers, o.ColdSeconds)
		}
	}
}

// A mixer sends to nobody but its subset, and to a lost zone no more once it knows.
func TestModelKeepsToTheSubset(t *testing.T) {
	f := small()
	f.Subset, f.Mixers, f.Queries = 3, 1, 200
	used := 0
	m := newModel(f)
	for c := range f.Cells {
		used += len(slices.Compact(slices.Sorted(slices.Values(m.holder[c*3 : c*3+3]))))
	}
	if used != 3*f.Cells {
		t.Fatalf("%d holders are used of %d cells, want 3 each", used, f.Cells)
	}
	for c := range f.Cells {
		for range 30 {
			for at := c * 3; at < c*3+3; at++ {
				m.pairs[at] = m.fresh()
			}
			p := m.pick(0, c)
			if int(p) < c*3 || int(p) >= c*3+3 {
				t.Fatalf("pair %d was picked of cell %d", p, c)
			}
		}
	}
	f.Zones, f.LostAt, f.Notice = 8, time.Second, 6*time.Millisecond
	m = newModel(f)
	m.now = 1e6 + 6000
	m.happen()
	for i := range m.pairs {
		if s := m.searcher(i/m.d%m.Cells, uint32(i)); m.zone.in(s) {
			t.Errorf("searcher %d of the lost zone is still used", s)
		}
	}
	order := Rendezvous(0, 0, f.Holders, f.Holders)
	order = slices.DeleteFunc(order, func(h uint16) bool { return m.zone.in(uint32(h)) })
	if got := slices.Sorted(slices.Values(m.holder[:3])); !slices.Equal(got, slices.Sorted(slices.Values(order[:3]))) {
		t.Errorf("%v are used after the loss, the first three by rank are %v", got, order[:3])
	}
}

// A pick is the least by own count, then by pace, and of equals any as often as another.
func TestModelPick(t *testing.T) {
	f := small()
	f.Cells = 1
	m := newModel(f)
	seen := make([]int, f.Holders)
	for range 1000 * f.Holders {
		seen[m.pick(0, 0)]++
	}
	for h, n := range seen {
		if n < 850 || n > 1150 {
			t.Errorf("holder %d of equals was picked %d times of 1000", h, n)
		}
	}
	m.pairs[7] = m.pairs[7] - 1<<8 // a little faster
	if p := m.pick(0, 0); p != 7 {
		t.Errorf("%d was picked, 7 is faster", p)
	}
	m.pairs[7] += 1 << 24
	if p := m.pick(0, 0); p == 7 {
		t.Error("7 was picked, which has a part out")
	}
}

// Percentiles are those of a plain sort, to within a 128th part, and exact below 256 µs.
func TestDelaysAgainstASort(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for _, size := range []int{1, 2, 10, 1000, 50000} {
		var d Delays
		all := make([]time.Duration, size)
		for i := range all {
			all[i] = time.Duration(math.Exp(12*rng.Float64())) * time.Microsecond
			if size == 1000 {
				all[i] %= 256 * time.Microsecond
			}
			d.Add(all[i])
		}
		slices.Sort(all)
		for _, share := range []float64{0, 0.1, 0.5, 0.9, 0.99, 0.999, 0.9999, 1} {
			want := all[max(1, int(math.Ceil(share*float64(size))))-1]
			got := d.At(share)
			if off := float64(want-got) / float64(want); got > want || off > 1.0/128 || size == 1000 && got != want {
				t.Errorf("%v of %d: %v, by a sort %v", share, size, got, want)
			}
		}
		if d.Count() != uint64(size) {
			t.Errorf("%d counted of %d", d.Count(), size)
		}
	}
	var d Delays
	for i := range 100000 {
		d.Add(time.Duration(i) * time.Microsecond)
	}
	// The longest of 88 that are even over 0.1 s is at most x in (x/0.1)^88.
	if got, want := d.Longest(88, 0.5), time.Duration(100e6*math.Pow(0.5, 1.0/88)); math.Abs(float64(got-want)) > float64(want)/64 {
		t.Errorf("the longest of 88: %v, want %v", got, want)
	}
}

// Rendezvous: the same order for the same mixer; one that goes moves nobody but those that had it; even over searchers as the law says,
// which a choice that all mixers make alike isn't.
func TestRendezvous(t *testing.T) {
	const holders, mixers, d = 84, 600, 8
	order := Rendezvous(5, 1, holders, holders)
	if !slices.Equal(order, Rendezvous(5, 1, holders, holders)) || !slices.Equal(order[:d], Rendezvous(5, 1, holders, d)) {
		t.Error("the order changes from call to call")
	}
	if sorted := slices.Sorted(slices.Values(order)); !slices.Equal(sorted, inOrder(holders)) {
		t.Errorf("not each holder once: %v", sorted)
	}
	even := LoadOf(Shares(Rendezvous, mixers, 2, holders, []int{4, d})[1])
	theory := SharesInTheory(mixers, 2*holders, holders, d)
	if math.Abs(even.Mean-theory.Mean) > 1e-6 || even.Worst > 1.15*theory.Worst || math.Abs(even.Deviation/theory.Deviation-1) > 0.2 {
		t.Errorf("rendezvous gives %+v, the law %+v", even, theory)
	}
	alike := func(_, _, holders, first int) []uint16 { return inOrder(holders)[:first] }
	if l := LoadOf(Shares(alike, mixers, 2, holders, []int{d})[0]); l.Worst != mixers {
		t.Errorf("all mixers choosing alike give %+v", l)
	}
}

// The module in a fleet: each part is answered once, nothing is counted in the end but what is out, a seed gives the same again.
func TestPlayModule(t *testing.T) {
	for _, d := range []int{0, 4} {
		f := small()
		f.Mixers, f.Subset = 30, d
		a, err := f.PlayModule()
		if err != nil {
			t.Fatal(err)
		}
		b, _ := f.PlayModule()
		if *a != *b {
			t.Errorf("subset %d: two plays of one seed differ", d)
		}
		if a.Sent == 0 || a.Out != a.Counted || a.Part.Count() == 0 {
			t.Errorf("subset %d: %d sent, %d out, %d counted, %d delays", d, a.Sent, a.Out, a.Counted, a.Part.Count())
		}
	}
	f := small()
	f.Restarts = time.Second
	if _, err := f.PlayModule(); err == nil {
		t.Error("the module is played with restarts, which aren't there")
	}
}
