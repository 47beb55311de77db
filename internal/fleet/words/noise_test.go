package words

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"nettlefold/mixer"
)

const noisyRounds = 24

// noisy plays one relay's mixers and sound searchers for a while. Each mixer suspects each searcher by mistake for a part of the time,
// and finds it slow by chance alone. It counts the words believed that are false, and the rounds for which one stands.
func noisy(t *testing.T, seed uint64, mixers, searchers int, wrong float64, flaw faults) (silent, slows, rounds int) {
	const met = 0.31 // answers a second
	b := newBench(t, "r")
	b.Judge.flaw = flaw
	rng := rand.New(rand.NewPCG(seed, 11))
	type view struct {
		heard, until int64 // last answer; suspect until
		slow, weight float64
	}
	views := make([][]view, mixers)
	sheets := make([]*Sheets, mixers)
	for i := range views {
		views[i] = make([]view, searchers)
		sheets[i] = NewSheets(b.now, fmt.Sprint("m", i), zone(i), uint64(i+1))
		for n := range views[i] {
			views[i][n].heard = b.now - rng.Int64N(6*second)
		}
	}
	standing := map[string]bool{}
	for range noisyRounds {
		doubted, _ := b.ear.Standing(b.now)
		for i := range views {
			own := make([]mixer.Observation, searchers)
			for n := range own {
				v := &views[i][n]
				if rng.Float64() < met*float64(Round)/float64(second) && b.now >= v.until {
					v.heard, v.weight = b.now, min(2, v.weight+1)
					v.slow = 0
					for range int(v.weight) {
						v.slow += rng.ExpFloat64() / float64(int(v.weight))
					}
				}
				if rng.Float64() < wrong*float64(Round)/float64(second) && b.now >= v.until {
					v.until = b.now + second/2 + rng.Int64N(second)
				}
				own[n] = mixer.Observation{Searcher: fmt.Sprint("s", n), Started: 1, Heard: v.heard, Suspect: b.now < v.until, Slow: v.slow, Weight: v.weight}
			}
			raw, err := sheets[i].Next(b.now, own, doubted)
			if err == nil && raw != nil {
				err = b.Heard(b.now, fmt.Sprint("m", i), raw)
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		b.round()
		now := map[string]bool{}
		for _, w := range b.ear.Words(b.now) {
			if w.Silent {
				now[w.Searcher] = true
				rounds++
				silent += truth(!standing[w.Searcher])
			}
			slows += truth(w.Slow > 0)
		}
		standing = now
		b.now += Round
	}
	return silent, slows, rounds
}

// TestNoise has chance alone speak in 1,000 worlds of 60 mixers and 8 searchers that all are sound, for 6 s: each mixer is wrong of
// each searcher once in 500 s, for a second or so. By chance three are now and then; those who are answered end it at once.
func TestNoise(t *testing.T) {
	t.Parallel()
	play := func(worlds, mixers int, flaw faults) (silent, slows, rounds int) {
		for seed := range worlds {
			s, p, r := noisy(t, uint64(seed), mixers, 8, 0.002, flaw)
			silent, slows, rounds = silent+s, slows+p, rounds+r
		}
		t.Logf("%d worlds of %d mixers, 8 searchers, 6 s: %d false words of silence, %d rounds in all of %d, %d of pace", worlds, mixers,
			silent, rounds, worlds*8*noisyRounds, slows)
		return silent, slows, rounds
	}
	silent, slows, rounds := play(1000, 60, faults{})
	if slows > 0 || rounds > 1000*8*noisyRounds/1000 || rounds > 4*silent+4 {
		t.Errorf("%d false words of silence in %d rounds, %d rounds of pace", silent, rounds, slows)
	}
	if silent, slows, _ := play(4, 900, faults{}); silent+slows > 1 {
		t.Errorf("900 mixers: %d false words of silence, %d rounds of pace", silent, slows)
	}
	if one, _, _ := play(20, 60, faults{one: true, oneZone: true}); one < 20 {
		t.Errorf("a quorum of one tells only %d false words, so the test shows little", one)
	}
}
