package fleet

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"nettlefold/mixer"
)

// press is a way to press a cold searcher: s0 starts anew at 12 s, and the trouble goes its way, told the steps of 100 ms since.
type press struct {
	name           string
	mixers, cores  int
	expected, work int64 // of lookups and of a part, ms
	uneven         bool  // parts have 0.1 or 1.9 times that work by chance, in one tariff
	moves          bool  // a third of the mixers bears nearly all of the traffic, each third for 3 s
	change         func(*mixer.Config)
	trouble        func(w *World, step int)
}

// short are settings of little room: a small N.
func short(c *mixer.Config) { c.FallFor, c.FallMultiple = 500*ms, 1.5 }
func large(c *mixer.Config) { c.FallMultiple, c.ColdFrom = 4, 0.5 }

// drained leaves s0 alone in its cell at 2 s.
func drained(w *World, step int) {
	for _, s := range w.Searchers[1:] {
		if step == 20 && s.Cell == 0 {
			s.Status = mixer.Draining
			w.Tell(s)
		}
	}
}

// replaced has so many of the other searchers start anew, as many as there are in 7 s.
func replaced(w *World, step, others int) {
	for i := range others {
		if step == i*70/others {
			w.Restart(w.Searchers[1+i], 1000*ms)
		}
	}
}

// anew has so many in a hundred mixers start anew at every so many steps, in turn: they forget what they sent.
func anew(w *World, step, every, share int) {
	if n, k := len(w.Mixers), step/every; step%every == 0 {
		for i := k * n * share / 100; i < (k+1)*n*share/100; i++ {
			w.Mixers[i%n].Start()
		}
	}
}

// play gives the worst use of what cold searchers may be sent in a window, how that was, and the parts they were sent.
func (p press) play(seed int64) (worst float64, at string, sent int, w *World) {
	return p.playOn(seed, func(*Setup) {})
}

// playOn is play with what else of the setup is otherwise.
func (p press) playOn(seed int64, otherwise func(*Setup)) (worst float64, at string, sent int, w *World) {
	s := Usual(seed, p.mixers, 0, 0, false)
	s.Rates, s.Work, s.Cores, s.Charter.ColdFor = nil, p.work*ms, p.cores, 10_000*ms
	s.Charter.Tariffs[0].Expected, s.Charter.Tariffs[0].Patience = p.expected*ms, 2*p.expected*ms
	if p.change != nil {
		p.change(&s.Charter)
	}
	otherwise(&s)
	w = New(s)
	times, rng, begun := make([][]int64, s.Searchers), rand.New(rand.NewSource(seed+1000)), w.Now
	w.Trace = func(_ int, what string) {
		_, to, found := strings.Cut(what, " to s")
		if !found {
			return
		}
		k, window := 0, float64(s.Charter.FallFor)
		fmt.Sscan(to, &k)
		o := w.Searchers[k]
		o.cold, o.Down = nil, false // it is counted here, and does not fall
		if p.uneven {
			o.Slower = 0.1 + 1.8*float64(rng.Intn(2))
		}
		frac := w.Frac(o)
		if frac == 1 {
			return
		}
		sent++
		times[k] = slices.DeleteFunc(append(times[k], w.Now), func(t int64) bool { return t < max(o.Started, w.Now-int64(window)) })
		n := w.Bears() * frac * s.Charter.FallMultiple * window
		if used := float64(len(times[k])) / (n + 2*math.Sqrt(n) + 2); used > worst {
			worst, at = used, fmt.Sprintf("%d parts of N %.1f after %.1f s", len(times[k]), n, float64(w.Now-o.Started)/1e9)
		}
	}
	var next func()
	next = func() {
		i := rng.Intn(p.mixers)
		if rng.Intn(4) == 0 { // one in ten has several times the traffic
			i = i / 10 * 10
		}
		if p.moves && rng.Intn(100) > 0 {
			i = i/3*3 + int((w.Now-begun)/(3000*ms)%3)
		}
		w.Mixers[min(i, p.mixers-1)].take(rng)
		w.After(int64(rng.ExpFloat64()/0.65/float64(s.Searchers)/w.Bears()*float64(s.Parts)), next)
	}
	next()
	w.Run(begun + 12_000*ms)
	w.Restart(w.Searchers[0], 1000*ms)
	for step := range 115 {
		p.trouble(w, step)
		w.Run(w.Now + 100*ms)
	}
	return worst, at, sent, w
}

// seeds are played of each case; 12 were for docs/incidents/standing.md.
const seeds = 2

// A searcher that has just started bears only so much of all mixers together: N and room for chance, in any window. That holds
// while mixers forget what they sent and what they learnt, and while their traffic moves. The first answers of a mixer may be few
// light parts, which tell of a searcher that bears far more.
func TestColdSearchersAreSparedByAllMixersTogether(t *testing.T) {
	often := func(w *World, step int) { drained(w, step); anew(w, step, 10, 100) }
	tenth := func(w *World, step int) { drained(w, step); anew(w, step, 3, 10) }
	whole := func(w *World, step int) {
		for i := 0; step == 1 && i < 70; i++ {
			replaced(w, i, 23)
		}
		anew(w, step, 20, 100)
	}
	most := func(w *World, step int) { replaced(w, step, 14) }
	for _, p := range []press{
		{"3, all anew each second, uneven", 3, 2, 800, 50, true, false, short, often},
		{"3, all anew each second", 3, 2, 800, 50, false, false, short, often},
		{"3, all anew each second, expected in little", 3, 1, 300, 100, true, false, short, often},
		{"3, all replaced, all anew each 2 s, uneven", 3, 2, 800, 50, true, false, short, whole},
		{"3, six in ten replaced", 3, 2, 800, 50, false, false, short, most},
		{"20, cell drained, uneven", 20, 2, 800, 50, true, false, short, drained},
		{"20, all anew each second, N large", 20, 2, 800, 170, false, false, large, often},
		{"30, a tenth anew each 0.3 s, traffic moves", 30, 2, 800, 50, true, true, short, tenth},
		{"30, all anew each second, traffic moves", 30, 2, 800, 50, true, true, nil, often},
		{"30, six in ten replaced", 30, 2, 800, 170, false, false, nil, most},
		{"30, six in ten replaced, traffic moves", 30, 2, 800, 50, false, true, nil, most},
		{"30, expected in little, traffic moves", 30, 1, 300, 100, true, true, short, drained},
	} {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			worst, how, sent, inTime := 0.0, "", 0, 0.0
			for seed := range int64(seeds) {
				used, at, n, w := p.play(seed)
				if used > worst {
					worst, how = used, at
				}
				sent, inTime = sent+n, inTime+w.InTime(w.Now-11_500*ms, w.Now-p.expected*ms)/seeds
			}
			if t.Logf("%.2f used, %s; %d parts in all, %.3f in time", worst, how, sent/seeds, inTime); worst > 1 {
				t.Errorf("a cold searcher is pushed over: %s", how)
			}
		})
	}
}
