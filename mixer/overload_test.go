package mixer

import "testing"

// A mixer whose only statistics are from an overload rejects lookups. As they decay without further
// answers, it must admit one again, see that the overload is over, and serve from then on.
func TestRecoveryAfterOverload(t *testing.T) {
	for seed := range int64(6) {
		sim := startSimulation(t, seed, 4, nil)
		for _, s := range sim.searchers { // busy with lookups of other mixers
			s.coreFreeAt = [2]int64{sim.now + 1200*ms, sim.now + 1200*ms}
		}
		sim.startLookup(0, 2, 0, 4000*ms, false)
		sim.run(sim.now + 1500*ms)
		if l := sim.startLookup(0, 2, 0, 4000*ms, false); !l.ended {
			t.Fatal("lookup under overload was not rejected: the test shows nothing")
		}
		served := 0
		for range 40 {
			l := sim.startLookup(0, 2, 0, 4000*ms, false)
			if sim.run(sim.now + 300*ms); l.answeredWhole {
				served++
			}
		}
		if served < 20 {
			t.Errorf("after overload: got %d of 40 lookups served in 12 s, want at least 20", served)
		}
	}
}
