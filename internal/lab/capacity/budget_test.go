package capacity

import (
	"math"
	"math/rand"
	"testing"
)

// The sums of connections are what a play of parts that come by chance gives, a searcher's bounded by the mixers that use it.
func TestConnectionsByChance(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	const used = 200
	for _, meets := range []float64{0.05, 0.5, 3} { // parts that one searcher is sent in the idle time
		kept := idle(keepAlive)
		gap := kept / (meets * used) // s between two parts of the mixer
		last := make([]float64, used)
		for i := range last {
			last[i] = -math.MaxFloat64
		}
		now, anew, open, parts := 0.0, 0, 0.0, 0
		for ; parts < 200000; parts++ {
			now += rng.ExpFloat64() * gap
			if parts%100 == 0 { // before the part: with it there would be one more
				for _, at := range last {
					if now-at < kept {
						open += 100
					}
				}
			}
			i := rng.Intn(used)
			if now-last[i] >= kept {
				anew++
			}
			last[i] = now
		}
		share := math.Exp(-meets)
		if got := float64(anew) / float64(parts); math.Abs(got-share) > 0.02 {
			t.Errorf("%v parts in the idle time: %.3f need a new connection, want %.3f", meets, got, share)
		}
		if got, want := open/float64(parts), used*(1-share); math.Abs(got/want-1) > 0.05 {
			t.Errorf("%v parts in the idle time: %.1f connections, want %.1f", meets, got, want)
		}
	}
	for _, used := range []float64{88, 1000, 2816, Searchers} {
		meets := MeetsOf(used) * idle(keepAlive)
		if got := HandshakesOf(used, keepAlive); got != math.Exp(-meets) {
			t.Errorf("%v searchers used: %v of the parts need a new connection", used, got)
		}
		if c, m := ConnectionsAtOf(used, keepAlive), MixersAt(used); c > m*(1+1e-9) || c < 0.9*m {
			t.Errorf("%v searchers used: %v connections of %v mixers at one", used, c, m)
		}
	}
	if ConnectionsAtOf(Searchers, keepAlive) != ConnectionsAt(keepAlive) || MixersAt(Searchers) != Mixers {
		t.Error("a mixer that uses all searchers has other connections than one without a subset")
	}
	if StartFor(1000, 2000) != 0 || StartFor(1000, 100) != 9 {
		t.Error("a start: the first second's handshakes are there at once")
	}
}
