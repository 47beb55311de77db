package sites

import (
	"math/rand"

	"nettlefold/internal/fleet/siteloss"
)

// Doubts is what random worlds of pauses, slow sites and cut lines had the deciders say.
type Doubts struct {
	Worlds, Steps int
	False         int     // declarations of a site out, while none was
	Missed        int     // worlds in which a site that was then really lost was not held so by all others in time
	Slowest       float64 // seconds until the last of them did
}

// doubter is one mixer of such a world.
type doubter struct {
	site    int
	state   *siteloss.State
	reports siteloss.Reports // Age: when it was made
	heard   []int64
	until   int64 // paused up to
	seen    []siteloss.Evidence
	next    int64
	waiting []siteloss.Report
	lost    int64
}

// Doubt plays the worlds of some seeds. No site is ever away from more than half of the sites there are, so each declaration
// is false; at the end all is mended and one site is lost for good.
func Doubt(from, to int64) (d Doubts) {
	for seed := from; seed < to; seed++ {
		d.play(rand.New(rand.NewSource(seed)))
	}
	return d
}

func (d *Doubts) play(rng *rand.Rand) {
	d.Worlds++
	n, every, step := 3+rng.Intn(4), 250*ms, 50*ms
	var all []*doubter
	for site := range n {
		for range 1 + rng.Intn(4) {
			terms := siteloss.Terms{Own: site, Sites: n, Every: every, Expected: 800 * ms, Warming: 15_000 * ms, Beat: 2000 * ms}
			st, err := siteloss.New(0, terms, uint64(len(all)+1))
			if err != nil {
				panic(err)
			}
			all = append(all, &doubter{site: site, state: st, next: rng.Int63n(every)})
		}
	}
	for _, m := range all {
		m.heard, m.seen = make([]int64, len(all)), make([]siteloss.Evidence, n)
	}
	cut, slow := make([][]bool, n), make([]float64, n)
	for i := range cut {
		cut[i] = make([]bool, n)
	}
	away := func(x int) (count int) {
		for o := range n {
			if cut[x][o] || cut[o][x] {
				count++
			}
		}
		return count
	}
	const calm, trouble, end = 3000 * ms, 25_000 * ms, 30_000 * ms
	dead := -1
	settles := siteloss.Terms{Every: every, Expected: 800 * ms}.Settles()
	for now := step; now < end+settles+2*every; now += step {
		switch {
		case now > calm && now < trouble && rng.Intn(20) == 0:
			x, y := rng.Intn(n), rng.Intn(n)
			switch rng.Intn(6) {
			case 0, 1: // a line is cut, one way or both
				if x != y && away(x) < n/2 && away(y) < n/2 {
					cut[x][y], cut[y][x] = true, rng.Intn(2) == 0
				}
			case 2:
				cut[x][y], cut[y][x] = false, false
			case 3:
				slow[x] = []float64{0, 0.3, 0.6}[rng.Intn(3)]
			case 4:
				all[rng.Intn(len(all))].until = now + 200*ms + rng.Int63n(6000*ms)
			case 5: // a host that carries all of a site's mixers
				until := now + 200*ms + rng.Int63n(4000*ms)
				for _, m := range all {
					if m.site == x {
						m.until = until
					}
				}
			}
		case now == trouble:
			for i := range cut {
				clear(cut[i])
			}
			clear(slow)
		case now == end:
			dead = 0
		}
		for i, m := range all {
			if m.site == dead {
				continue
			}
			for x := range n { // two forwards a site each 50 ms
				for range 2 {
					switch {
					case x == dead || cut[m.site][x] || cut[x][m.site] || now < m.until:
						m.seen[x].Lost++
					case rng.Float64() < slow[x]:
						m.seen[x].Late++
						if rng.Intn(2) == 0 {
							m.seen[x].Lost++
						} else {
							m.seen[x].Answered++
						}
					default:
						m.seen[x].Answered++
					}
				}
			}
			if now < m.until || now < m.next {
				continue
			}
			m.next = now + every
			d.decide(now, i, all, n, func(to int) bool { return !cut[m.site][to] && to != dead && rng.Intn(20) > 0 }, dead, end)
		}
	}
	for _, m := range all {
		if m.site == dead {
			continue
		}
		if m.lost == 0 || m.lost-end > settles {
			d.Missed++
			return
		}
		d.Slowest = max(d.Slowest, float64(m.lost-end)/1e9)
	}
}

// decide has one mixer take a step and tell the others, where the line lets it.
func (d *Doubts) decide(now int64, i int, all []*doubter, n int, reaches func(site int) bool, dead int, end int64) {
	m := all[i]
	for _, r := range m.waiting { // came since the last step, in a pause too: then they seem younger than they are
		m.heard[r.Life-1] = now
		r.Age = now
		m.reports = m.reports.Join(siteloss.Reports{r})
	}
	m.waiting = m.waiting[:0]
	in := siteloss.Inputs{Sites: m.seen}
	for j, o := range all {
		if j != i && m.heard[j] > 0 {
			in.Mixers = append(in.Mixers, siteloss.Mixer{Life: uint64(j + 1), Site: o.site, Heard: m.heard[j]})
		}
	}
	for _, r := range m.reports {
		r.Age = now - r.Age
		in.Reports = append(in.Reports, r)
	}
	out := m.state.Step(now, in)
	d.Steps++
	for x := range m.seen { // what is lately: a half a round ago is half as much
		e := &m.seen[x]
		e.Answered, e.Late, e.Lost = e.Answered/4, e.Late/4, e.Lost/4
	}
	for x, v := range out.Sites {
		if v.Declared && v.Out() {
			if x != dead || now < end {
				d.False++
			} else if m.lost == 0 {
				m.lost = now
			}
		}
	}
	for j, o := range all {
		if j != i && reaches(o.site) && len(o.waiting) < 64 {
			o.waiting = append(o.waiting, out.Report)
		}
	}
}
