package mixer

import "testing"

// A cold searcher's predicted latency must not be divided by its capacity share: it is sent no more
// than that share, so nothing queues there. If all holders of a slice have just been replaced,
// lookups are admitted at the cold rate.
func TestColdSearcherPrediction(t *testing.T) {
	for seed := range int64(6) {
		sim := startSimulation(t, seed, 4, func(c *Config) {
			c.Tariffs[0].Expected, c.ColdFrom, c.ColdFor = 800*ms, 0.05, 20000*ms
		})
		sim.warmUp(10)
		sim.updateList(false, Entry{Searcher: "box1", Cell: 1, Status: Dead},
			Entry{Searcher: "box3", Cell: 1, Status: Dead}, Entry{Searcher: "box4", Cell: 1, Started: sim.now})
		for range 3 {
			sim.run(sim.now + 1200*ms)
			l := sim.startLookup(0, 2, 0, 4000*ms, false)
			if sim.run(sim.now + 800*ms); !l.answeredWhole {
				t.Errorf("seed %d: lookup of a slice held only by a cold searcher: got no complete answer in 800 ms",
					seed)
			}
		}
	}
}
