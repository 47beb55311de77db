package fleet

import (
	"math"

	"nettlefold/internal/sharing"
	"nettlefold/mixer"
)

// Usual is a deployment of middling size: 24 searchers of two cores in 8 cells of three, two zones, all-parts lookups of
// two parts. Where home is set, that share of a mixer's lookups begins in its own region, as counters of one town ask for
// the blocks of that town; at 0 every mixer asks for everything alike.
func Usual(seed int64, mixers int, load, home float64, shared bool) Setup {
	s := Setup{Seed: seed, Mixers: mixers, Zones: 2, Searchers: 24, Parts: 2, Home: home, Work: 50 * ms, Cores: 2, Net: ms,
		Shared: shared, ListLate: 500 * ms,
		Charter: mixer.Config{
			Tariffs: []mixer.Tariff{{Expected: 800 * ms, Patience: 2000 * ms, CompleteFrom: 1, LeastShare: 1}},
			Cells:   8, Reach: 1, PerCall: 4, MaxForwards: 4, MayCopy: true,
			ColdFrom: 0.15, ColdFor: 18_000 * ms, FallMultiple: 2, FallFor: 1000 * ms,
			BudgetFor: 10_000 * ms, BudgetFree: 10, BudgetShare: 0.2,
		}}
	total := load * 24 * 2 / 0.05 / 2
	for range mixers {
		s.Rates = append(s.Rates, total/float64(mixers))
	}
	return s
}

// Release is what a rolling release showed.
type Release struct {
	Used   float64 // parts that newcomers were sent, over what they could have served while cold
	Falls  int     // searchers pushed over
	InTime float64
	Bytes  float64 // to and from the store, by mixer and second
}

// Roll plays a rolling release: after ten seconds three searchers at a time are drained and replaced by cold ones, every
// four seconds, until all are. Trouble, if any, is begun with it.
func Roll(s Setup, trouble func(*World)) Release {
	w := New(s)
	w.Run(w.Now + 10_000*ms)
	start, before := w.Now, 0
	for _, n := range w.Mixers {
		before += n.Bytes
	}
	for k := range 8 { // one of three in three cells at a time
		w.After(int64(k)*4000*ms, func() {
			for j := range 3 {
				w.Restart(w.Searchers[(k*3+j)%24], 1500*ms)
			}
		})
	}
	if trouble != nil {
		trouble(w)
	}
	could, step := 0.0, 50*ms
	var reckon func()
	reckon = func() {
		for _, o := range w.Searchers {
			if f := w.Frac(o); f < 1 && o.Status == mixer.Live {
				could += f * w.Bears() * float64(step)
			}
		}
		w.After(step, reckon)
	}
	w.After(step, reckon)
	w.Run(start + 45_000*ms)
	r := Release{InTime: w.InTime(start, start+43_000*ms)}
	for _, o := range w.Searchers {
		r.Used += o.Fair / could
		r.Falls += o.Falls
	}
	bytes := -before
	for _, n := range w.Mixers {
		bytes += n.Bytes
	}
	r.Bytes = float64(bytes) / 45 / float64(s.Mixers)
	return r
}

// Passing is what a searcher in trouble showed.
type Passing struct {
	After  float64 // seconds until nine of ten mixers pass it over; Cap where they do not
	InTime float64
}

// Cap is how long a searcher in trouble is watched, in seconds.
const Cap = 30.0

// passes tells whether a mixer passes a searcher over among equals: it is shunned, or held to take twice as long as the
// best of its cell. By chance a sound one is held to for moments; who does when the trouble begins is not counted.
func (n *Node) passes(s *Searcher) bool {
	st, _ := n.M.Standing(n.w.Now, s.Name)
	if st.Shunned || st.Suspect {
		return true
	}
	least := math.Inf(1)
	for _, o := range n.w.Searchers {
		if o.Cell == s.Cell && o != s {
			t, _ := n.M.Standing(n.w.Now, o.Name)
			least = min(least, t.Unit)
		}
	}
	return st.Unit > 2*least
}

// Pass plays a searcher that turns slow, ten times its work, or silent after fifteen seconds, at once and for good.
func Pass(s Setup, silent bool) Passing {
	w := New(s)
	w.Run(w.Now + 15_000*ms)
	start, ill := w.Now, w.Searchers[5]
	var watched []*Node
	for _, n := range w.Mixers {
		if !n.passes(ill) {
			watched = append(watched, n)
		}
	}
	if silent {
		ill.Silent = true
	} else {
		ill.Slower = 10
	}
	p := Passing{After: Cap}
	passed := map[*Node]bool{}
	for w.Now < start+int64(Cap*1e9) && p.After == Cap {
		w.Run(w.Now + 100*ms)
		for _, n := range watched {
			passed[n] = passed[n] || n.passes(ill)
		}
		n := 0
		for _, is := range passed {
			if is {
				n++
			}
		}
		if float64(n) >= 0.9*float64(len(watched)) {
			p.After = float64(w.Now-start) / 1e9
		}
	}
	w.Run(start + int64(Cap*1e9))
	p.InTime = w.InTime(start, start+int64(Cap*1e9)-2000*ms)
	return p
}

// Troubles are what a store may do in the middle of a release, by name, each for good or over and over.
var Troubles = map[string]func(*World){
	"silent":            func(w *World) { w.Store.Stalled = true },
	"answers after 5 s": func(w *World) { w.Store.Delay = 5000 * ms },
	"always just late":  func(w *World) { w.Store.Delay = 201 * ms },
	"drops replies":     func(w *World) { w.Store.Drops = true },
	"flaps each second": func(w *World) {
		var flap func()
		flap = func() {
			w.Store.Stalled = !w.Store.Stalled
			w.After(1000*ms, flap)
		}
		flap()
	},
	"restarts empty": func(w *World) {
		var clear func()
		clear = func() {
			w.Store.Clear()
			w.After(5000*ms, clear)
		}
		clear()
	},
	"goes back 30 s": func(w *World) {
		w.Store.Keep()
		w.After(30_000*ms, func() { w.Store.Restore(w.Now) })
		w.After(40_000*ms, func() { w.Store.Restore(w.Now) })
	},
	"stale writers": func(w *World) { // two mixers' sheets of ten seconds ago land again and again, as of paused writers
		var land func()
		land = func() {
			for _, n := range w.Mixers[:2] {
				old := w.Store.keys[n.Name]
				w.After(10_000*ms, func() {
					if old.raw != nil {
						w.Store.keys[n.Name] = entry{old.raw, old.sheet, w.Now + sharing.Lease}
					}
				})
			}
			w.After(500*ms, land)
		}
		land()
	},
	"half reach it": func(w *World) { w.Reaches = func(i int) bool { return i%2 == 0 } },
	"mixers pause 10 s": func(w *World) {
		for i := range w.Mixers {
			if i%4 == 0 {
				w.After(int64(i)*1000*ms, func() {
					w.Mixers[i].Paused = true
					w.After(10_000*ms, func() { w.Mixers[i].Paused = false })
				})
			}
		}
	},
	"mixers start anew": func(w *World) {
		for i := range w.Mixers {
			w.After(int64(i+1)*1500*ms, w.Mixers[i].Start)
		}
	},
}
