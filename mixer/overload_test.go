package mixer

import "testing"

// A mixer that has met its fleet in a jam turns lookups away; with nothing answered since, it takes one to
// see how the fleet is now, and from then on serves. What it learnt in the jam must not hold for good.
func TestRecoveryAfterOverload(t *testing.T) {
	for seed := range int64(6) {
		w := startSimulation(t, seed, 4, nil)
		for _, b := range w.searchers { // as others' lookups keep them
			b.coreFreeAt = [2]int64{w.now + 1200*ms, w.now + 1200*ms}
		}
		w.startLookup(0, 2, 0, 4000*ms, false)
		w.run(w.now + 1500*ms)
		if l := w.startLookup(0, 2, 0, 4000*ms, false); !l.ended {
			t.Fatal("a lookup is taken in a jam: the test shows nothing")
		}
		served := 0
		for range 40 {
			l := w.startLookup(0, 2, 0, 4000*ms, false)
			if w.run(w.now + 300*ms); l.answeredWhole {
				served++
			}
		}
		if served < 20 {
			t.Errorf("%d of 40 lookups served after the jam, in 12 s", served)
		}
	}
}
