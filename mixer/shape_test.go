package mixer

import "testing"

// Where the list tells sizes, equals that are not known yet are ordered by them; where it does not, they tell nothing.
func TestLargerOfEqualsFirst(t *testing.T) {
	for _, sized := range []bool{true, false} {
		w, large := newWorld(t, 1, plain(func(c *Config) { c.Cells, c.Sized = 1, sized })), 0
		rows := boxes(40, 1)
		for i := range rows {
			rows[i].Size = float64(1 + i%2)
		}
		w.list(true, rows...)
		w.warmUp(2)
		w.take(0, 10, 0, 4000*ms, false)
		counts, _ := w.counts()
		for i, n := range counts {
			large += n * (i % 2)
		}
		if sized && large < 10 || !sized && large > 8 {
			t.Errorf("sizes told %v: %d of 10 parts went to the larger ones", sized, large)
		}
	}
}

// In a jam who goes beyond its share is turned away first, at once and with a return time where that is allowed.
func TestWhoGoesBeyondItsShareIsTurnedAwayFirst(t *testing.T) {
	var taken, served [2]int
	for seed := range int64(6) {
		w := start(t, seed, 2, func(c *Config) {
			c.Cells, c.MayAdvise, c.MaxAdvice = 1, seed%2 == 0, 500*ms
			c.Allowances, c.OverWorth = []float64{10, 10}, 0.1
		})
		w.warmUp(10)
		var all [2][]*seen
		for i := range 1200 {
			who := min(1, i%6) // the second sends five times as much, and takes the fleet beyond what it bears
			all[who] = append(all[who], w.takeFrom(who+1, 0, 1, 0, 4000*ms, false))
			w.run(w.now + 17*ms)
		}
		w.run(w.now + 4000*ms)
		for who := range all {
			for _, l := range all[who] {
				if taken[who]++; l.answeredWhole {
					served[who]++
				}
			}
		}
	}
	in, beyond := float64(served[0])/float64(taken[0]), float64(served[1])/float64(taken[1])
	if in < 0.8 || beyond > in-0.2 {
		t.Errorf("%.2f served within its share, %.2f beyond it", in, beyond)
	}
}

// What is given up gets its final answer at once, whether a return time may be said or not.
func TestGivenUpIsNotHeld(t *testing.T) {
	for _, advise := range []bool{true, false} {
		w := start(t, 5, 1, func(c *Config) { c.Cells, c.MayAdvise, c.MaxAdvice = 1, advise, 500*ms })
		w.warmUp(10)
		for range 200 {
			before := len(w.m.searchers["box0"].out)
			l := w.take(0, 1, 0, 4000*ms, false)
			if !l.ended && len(w.m.searchers["box0"].out) == before {
				t.Fatalf("advice allowed %v: a lookup of which nothing is sent is held", advise)
			}
			if l.ended && (l.wait > 0) != advise {
				t.Fatalf("advice allowed %v: bounced with a wait of %d ns", advise, l.wait)
			}
			w.run(w.now + 10*ms)
		}
	}
}

// What a mixer has learnt of a slow searcher holds for the one that comes after it, where the same process runs.
func TestWhatIsKeptIsTakenOver(t *testing.T) {
	w := start(t, 7, 2, func(c *Config) { c.Cells = 1 })
	w.box["box0"].far = 600 * ms
	w.warmUp(10)
	k := w.m.Snapshot(w.now)
	slow := [2]int{}
	for seed := range int64(10) {
		for kept := range slow {
			v := newWorld(t, seed, w.c)
			v.list(true, boxes(2, 1)...)
			if kept == 1 && v.m.Restore(v.now, k) != 2 {
				t.Error("processes that still run are not met again")
			}
			v.take(0, 1, 0, 4000*ms, false)
			slow[kept] += v.m.searchers["box0"].parts
		}
	}
	if slow[0] == 0 || slow[1] > 0 {
		t.Errorf("of 10 first parts the slow one got %d with nothing kept, %d with what was", slow[0], slow[1])
	}
	v := newWorld(t, 1, w.c)
	v.list(true, Entry{Searcher: "box0", Started: 1}, Entry{Searcher: "box1"})
	if met := v.m.Restore(v.now, k); met != 1 || v.m.searchers["box0"].pace.under.sum > 0 {
		t.Errorf("%d processes met, %v is held of one that is not the same", met, v.m.searchers["box0"].pace)
	}
}
