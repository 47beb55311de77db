package mixer

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
)

// referencePick is pickForward without bounds: it examines all parts and holders each time. It
// draws the tie-breaks of the searchers and changes nothing else; want is the cold searcher that
// would be picked if it had credit.
func referencePick(l *Lookup, now int64, hedge bool) (best *part, to, want *searcher) {
	m, left := l.mixer, float64(l.deadline-now)
	mean, late := m.typicalLatency(now, l)
	if hedge && !m.mayHedge(now, l, mean) {
		return nil, nil, nil
	}
	var least, wanted [6]float64
	for _, p := range l.parts[l.stepStart:] {
		if p.answered || !l.maySend(now, p) {
			continue
		}
		if out := p.newestPendingSentAt(now); out > 0 && (!hedge || out+late > now) {
			continue
		}
		bound := p.exclusiveForward()
		if bound != nil && !bound.cutOff() && left > lastChanceMeans*mean {
			continue
		}
		m.eachHolder(now, p, func(s *searcher) {
			if slices.ContainsFunc(p.forwards, func(f *forward) bool { return f.searcher == s }) {
				return
			}
			key := [6]float64{1: float64(min(1, len(p.forwards))), 2: float64(s.callsOut), 4: float64(p.Effort),
				5: s.tieBreak.draw(now, m.eventCount, m.rng)}
			unit := m.unitTime(now, s)
			if len(s.inFlight) > 0 {
				unit = max(unit, float64(now-s.inFlight[0].sentAt)/float64(s.inFlight[0].callsAtSend))
			}
			key[3] = unit * float64(s.partsOut+1)
			if bound != nil && (m.avoided(now, s) || key[3] > recallLatencyShare*left) {
				return
			}
			if s.zone != m.zones[m.config.Zone] {
				key[3] *= 1 + crossZoneFactor*m.config.CrossPrice
			}
			if m.avoided(now, s) {
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

// pickForward, which skips parts by their bounds, must pick the same searcher as referencePick, for
// an equivalent part, and count the same demand for a cold one, whatever the state of the mixer:
// lost, late and exclusive forwards, suspects, cold searchers and silent zones.
func TestPickMatchesReference(t *testing.T) {
	picks, hedges, cold, probes, retries, ties := 0, 0, 0, 0, 0, uint64(0)
	for seed := range int64(400) {
		rng := rand.New(rand.NewSource(seed))
		c := Config{Mixers: 1 + rng.Intn(3), Zone: "z0", Cells: 1 + rng.Intn(12), PerCall: 1 + rng.Intn(3),
			MaxForwards: 1 + rng.Intn(4), MayCopy: rng.Intn(3) > 0, MayCancel: true, ColdFrom: 0.2, ColdFor: 9000 * ms,
			FallMultiple: 2, FallFor: 1000 * ms, Sized: rng.Intn(2) == 0, CrossPrice: float64(rng.Intn(2)) * 0.05,
			BudgetFor: int64(rng.Intn(2)) * 2000 * ms, BudgetFree: float64(rng.Intn(12)), BudgetShare: 0.2}
		c.Reach = 1 + rng.Intn(min(2, c.Cells))
		c.Tariffs = []Tariff{{Expected: 900 * ms, Patience: 2000 * ms, CompleteFrom: 1, LeastShare: 1,
			Effect: Effect(rng.Intn(2)), RepeatFor: 700 * ms}}
		env := &nullEnvironment{index: map[string]int{}}
		now := int64(1790000000e9)
		m := New(now, c, seed, env)
		var list []Entry
		for i := range c.Cells * (1 + rng.Intn(5)) {
			e := Entry{Searcher: fmt.Sprint("s", i), Cell: i % c.Cells, Zone: fmt.Sprint("z", rng.Intn(3)), Size: float64(1 + rng.Intn(3))}
			if rng.Intn(6) == 0 {
				e.Started = now - int64(rng.Intn(8000))*ms
			}
			list = append(list, e)
		}
		m.UpdateList(now, list, true)
		of := func(i int) *searcher { return m.searchers[list[i].Searcher] }
		distinct := rng.Intn(3) > 0 // else there are no statistics, and all searchers are equal
		for i := range list {
			s := of(i)
			if distinct {
				s.pace.Add(now, float64(rng.Intn(60)*int(ms)), 1, paceHalfLife)
			}
			if rng.Intn(9) == 0 {
				s.suspect, s.probeInterval, s.nextProbe = true, 100*ms, now+int64(rng.Intn(3)-1)*50*ms
			}
			if s.started != 0 {
				s.coldCredit, s.coldCreditAt = rng.Float64()*1.5, now
			}
		}
		if z := m.zones["z1"]; z != nil && rng.Intn(6) == 0 {
			z.lost = silentZoneLosses
		}
		m.sentForwards.Add(now, float64(rng.Intn(20)), loadHalfLife)
		m.sentProbes.Add(now, 0.45+0.1*float64(rng.Intn(3)), loadHalfLife)
		l := m.StartLookup(now, LookupRequest{ID: "q", NotAfter: now + 2000*ms, Parts: 1 + rng.Intn(90)})
		for i := range l.request.Parts {
			l.parts = append(l.parts, l.partSlab.add(l, PartRequest{ID: fmt.Sprint(i), Slice: rng.Intn(c.Cells), Weight: 1, Effort: int64(rng.Intn(2))}))
		}
		for range 3 { // reviews, with random outcomes between them
			m.eventCount++
			m.keyBounds.reset()
			hedge := rng.Intn(3) == 0
			mean, late := m.typicalLatency(now, l)
			for range 1 + rng.Intn(len(l.parts)+5) {
				if rng.Intn(20) == 0 {
					hedge = true // enough parts are pending
				}
				demand := map[*searcher]float64{}
				for i := range list {
					demand[of(i)] = of(i).coldDemand.Read(now, loadHalfLife)
				}
				p, to, want := referencePick(l, now, hedge)
				q, at := l.pickForward(now, hedge, mean, late)
				if to != at || p != q && (p == nil || q == nil || p.Effort != q.Effort || (len(p.forwards) > 0) != (len(q.forwards) > 0)) {
					t.Fatalf("seed %d, hedge %v: got part %+v to searcher %+v, want part %+v to searcher %+v",
						seed, hedge, q, at, p, to)
				}
				if p = q; p != nil && !distinct {
					ties++
				}
				for s, before := range demand {
					if more := s.coldDemand.Read(now, loadHalfLife) - before; (more > 0.5) != (s == want) {
						t.Fatalf("seed %d: demand for cold searcher %s: got an increase of %v, want it for %+v only",
							seed, s.id, more, want)
					}
				}
				if want != nil {
					cold++
				}
				if p == nil {
					break
				}
				if picks++; hedge {
					hedges++
				}
				if to.suspect {
					probes++
				}
				if len(p.forwards) > 0 {
					retries++
				}
				if f := p.exclusiveForward(); f != nil {
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
					p.answered = p.answered || o == Succeeded
					m.eventCount++
					m.recordOutcome(now, f, o, now-f.sentAt)
				}
			}
		}
	}
	if picks < 10000 || hedges < 300 || cold < 300 || probes < 100 || retries < 500 || ties < 3000 {
		t.Errorf("got %d picks, %d hedges, %d with demand for a cold searcher, %d probes, %d retries, %d among equals, "+
			"want at least 10000, 300, 300, 100, 500, 3000", picks, hedges, cold, probes, retries, ties)
	}
}
