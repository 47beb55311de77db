package mixer

import "testing"

// A newcomer is predicted to take what searchers take, not that over its share of capacity: it is sent no
// more than that share, so nothing waits there. Where all holders of a slice have just been replaced lookups
// are taken, one for each allowance.
func TestNewcomersAreTakenAsTheyAnswer(t *testing.T) {
	for seed := range int64(6) {
		w := start(t, seed, 4, func(c *Config) {
			c.Tariffs[0].Expected, c.ColdFrom, c.ColdFor = 800*ms, 0.05, 20000*ms
		})
		w.warmUp(10)
		w.list(false, Entry{Searcher: "box1", Cell: 1, Status: Dead},
			Entry{Searcher: "box3", Cell: 1, Status: Dead}, Entry{Searcher: "box4", Cell: 1, Started: w.now})
		for range 3 {
			w.run(w.now + 1200*ms)
			l := w.take(0, 2, 0, 4000*ms, false)
			if w.run(w.now + 800*ms); !l.answeredWhole {
				t.Errorf("seed %d: a lookup is not served where only a newcomer holds its slice", seed)
			}
		}
	}
}
