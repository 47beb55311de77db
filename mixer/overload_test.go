package mixer

import "testing"

// A mixer whose only statistics are from an overload rejects lookups. As they decay without further
// answers, it must admit one again, see that the overload is over, and serve from then on.
func TestRecoveryAfterOverload(t *testing.T) {
	for seed := range int64(6) {
		w := startSimulation(t, seed, 4, nil)
		for _, s := range w.searchers { // busy with lookups of other mixers
			s.coreFreeAt = [2]int64{w.now + 1200*ms, w.now + 1200*ms}
		}
		w.startLookup(0, 2, 0, 4000*ms, false)
		w.run(w.now + 1500*ms)
		if l := w.startLookup(0, 2, 0, 4000*ms, false); !l.ended {
			t.Fatal("lookup under overload was not rejected: the test shows nothing")
		}
		served := 0
		for range 40 {
			l := w.startLookup(0, 2, 0, 4000*ms, false)
			if w.run(w.now + 300*ms); l.answeredWhole {
				served++
			}
		}
		if served < 20 {
			t.Errorf("after overload: got %d of 40 lookups served in 12 s, want at least 20", served)
		}
	}
}
