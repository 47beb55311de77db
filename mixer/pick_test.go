package mixer

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
)

// plainPick is pick as it would be if it looked at all parts and holders each time. It draws the searchers' lots and changes nothing
// else; want is the cold searcher that would be picked with credit.
func plainPick(l *Lookup, now int64, copy bool) (best *part, to, want *searcher) {
	m, left := l.m, float64(l.end-now)
	mean, late := m.typical(now, l)
	if copy && !m.mayCopy(now, l, mean) {
		return nil, nil, nil
	}
	var least, wanted [6]float64
	for _, p := range l.parts[l.step:] {
		if p.in || !l.maySend(now, p) {
			continue
		}
		if out := p.lastOut(now); out > 0 && (!copy || out+late > now) {
			continue
		}
		bound := p.bound()
		if bound != nil && !bound.cut() && left > lastChance*mean {
			continue
		}
		m.holders(now, p, func(s *searcher) {
			if slices.ContainsFunc(p.forwards, func(f *forward) bool { return f.s == s }) {
				return
			}
			key := [6]float64{1: float64(min(1, len(p.forwards))), 2: float64(s.calls), 4: float64(p.Effort), 5: s.tie.draw(now, m.call, m.rng)}
			unit := m.unit(now, s)
			if len(s.out) > 0 {
				unit = max(unit, float64(now-s.out[0].sent)/float64(s.out[0].count))
			}
			key[3] = unit * float64(s.parts+1)
			if bound != nil && (m.shunned(now, s) || key[3] > backTimes*left) {
				return
			}
			if s.zone != m.zones[m.c.Zone] {
				key[3] *= 1 + crossing*m.c.CrossPrice
			}
			if m.shunned(now, s) {
				key[0] = 1
			} else if s.suspect {
				key[0] = -1
			}
			if m.coldWait(now, s) > 0 {
				if want == nil || slices.Compare(key[:], wanted[:]) < 0 {
					want, wanted = s, key
				}
			} else if best == nil || slices.Compare(key[:], least[:]) < 0 {
				best, to, least = p, s, key
			}
		})
	}
	if best != nil && want != nil && slices.Compare(wanted[:], least[:]) >= 0 {
		want = nil
	}
	return best, to, want
}

// A pick that passes over parts by their bounds takes the same searcher, for a part that is as good, as one that looks at all of
// them, and counts the same wish for a cold one, in mixers that have met all there is: lost, late and bound parts, suspects, cold searchers and silent zones.
func TestPicksAsIfAllWereLookedAt(t *testing.T) {
	picks, copies, cold, tests, again, ties := 0, 0, 0, 0, 0, uint64(0)
	for seed := range int64(400) {
		rng := rand.New(rand.NewSource(seed))
		c := Config{Mixers: 1 + rng.Intn(3), Zone: "z0", Cells: 1 + rng.Intn(12), PerCall: 1 + rng.Intn(3), MaxForwards: 1 + rng.Intn(4),
			MayCopy: rng.Intn(3) > 0, MayCancel: true, ColdFrom: 0.2, ColdFor: 9000 * ms, FallMultiple: 2, FallFor: 1000 * ms, Sized: rng.Intn(2) == 0,
			CrossPrice: float64(rng.Intn(2)) * 0.05, BudgetFor: int64(rng.Intn(2)) * 2000 * ms, BudgetFree: float64(rng.Intn(12)), BudgetShare: 0.2}
		c.Reach = 1 + rng.Intn(min(2, c.Cells))
		c.Tariffs = []Tariff{{Expected: 900 * ms, Patience: 2000 * ms, CompleteFrom: 1, LeastShare: 1, Effect: Effect(rng.Intn(2)), RepeatFor: 700 * ms}}
		floor := &mute{index: map[string]int{}}
		now := int64(1790000000e9)
		m := New(now, c, seed, floor)
		var rows []Entry
		for i := range c.Cells * (1 + rng.Intn(5)) {
			e := Entry{Searcher: fmt.Sprint("s", i), Cell: i % c.Cells, Zone: fmt.Sprint("z", rng.Intn(3)), Size: float64(1 + rng.Intn(3))}
			if rng.Intn(6) == 0 {
				e.Started = now - int64(rng.Intn(8000))*ms
			}
			rows = append(rows, e)
		}
		m.UpdateList(now, rows, true)
		of := func(i int) *searcher { return m.searchers[rows[i].Searcher] }
		distinct := rng.Intn(3) > 0 // else nothing is known of any, and all are alike
		for i := range rows {
			s := of(i)
			if distinct {
				s.pace.Add(now, float64(rng.Intn(60)*int(ms)), 1, paceHalf)
			}
			if rng.Intn(9) == 0 {
				s.suspect, s.wait, s.testAt = true, 100*ms, now+int64(rng.Intn(3)-1)*50*ms
			}
			if s.started != 0 {
				s.credit, s.creditAt = rng.Float64()*1.5, now
			}
		}
		if z := m.zones["z1"]; z != nil && rng.Intn(6) == 0 {
			z.missed = zoneLost
		}
		m.sent.Add(now, float64(rng.Intn(20)), halfLife)
		m.tests.Add(now, 0.45+0.1*float64(rng.Intn(3)), halfLife)
		l := m.StartLookup(now, LookupRequest{ID: "q", NotAfter: now + 2000*ms, Parts: 1 + rng.Intn(90)})
		for i := range l.ask.Parts {
			l.parts = append(l.parts, l.slab.add(l, PartRequest{ID: fmt.Sprint(i), Slice: rng.Intn(c.Cells), Weight: 1, Effort: int64(rng.Intn(2))}))
		}
		for range 3 { // reviews, with all sorts of outcomes between them
			m.call++
			m.bounds.end()
			copy := rng.Intn(3) == 0
			mean, late := m.typical(now, l)
			for range 1 + rng.Intn(len(l.parts)+5) {
				if rng.Intn(20) == 0 {
					copy = true // all that is needed is out
				}
				wishes := map[*searcher]float64{}
				for i := range rows {
					wishes[of(i)] = of(i).want.Read(now, halfLife)
				}
				p, to, want := plainPick(l, now, copy)
				q, at := l.pick(now, copy, mean, late)
				if to != at || p != q && (p == nil || q == nil || p.Effort != q.Effort || (len(p.forwards) > 0) != (len(q.forwards) > 0)) {
					t.Fatalf("seed %d, copy %v: picked %+v at %+v, want %+v at %+v", seed, copy, q, at, p, to)
				}
				if p = q; p != nil && !distinct {
					ties++
				}
				for s, was := range wishes {
					if more := s.want.Read(now, halfLife) - was; (more > 0.5) != (s == want) {
						t.Fatalf("seed %d: %s was wished for %v, want %v", seed, s.id, more, want)
					}
				}
				if want != nil {
					cold++
				}
				if p == nil {
					break
				}
				if picks++; copy {
					copies++
				}
				if to.suspect {
					tests++
				}
				if len(p.forwards) > 0 {
					again++
				}
				if f := p.bound(); f != nil {
					f.recalled = true
				} else {
					l.send(now, p, to)
				}
			}
			now += int64(rng.Intn(400)) * ms
			for _, p := range l.parts {
				for _, f := range p.forwards {
					if f.done || rng.Intn(2) == 0 {
						continue
					}
					o := []Outcome{Succeeded, Succeeded, Failed, Unreachable, Rejected, ConnectionReset}[rng.Intn(6)]
					f.done, f.ran = true, !o.NeverRan()
					p.in = p.in || o == Succeeded
					m.call++
					m.settle(now, f, o, now-f.sent)
				}
			}
		}
	}
	if picks < 10000 || copies < 300 || cold < 300 || tests < 100 || again < 500 || ties < 3000 {
		t.Errorf("%d picks, %d of copies, %d with a cold one wished for, %d at suspects, %d repeats, %d among equals", picks, copies, cold, tests, again, ties)
	}
}
