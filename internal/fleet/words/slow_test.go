package words

import (
	"math"
	"slices"
	"testing"

	"nettlefold/mixer"
)

// known is what a hollow mixer knows of the searcher's pace over the fleet's: answers that fade by half in 4 s.
type known struct {
	over, under float64
	at          int64
	due         []int64 // answers that are out
	heard       int64
}

func (k *known) fade(now int64) {
	part := math.Exp2(-float64(now-k.at) / float64(4*second))
	k.over, k.under, k.at = k.over*part, k.under*part, now
}

// meetSlow has a mixer meet the searcher until now; each answer takes so many times the usual, by chance.
func (m *model) meetSlow(h *hollow, k *known, times float64) {
	for ; h.next <= m.now; h.next += m.gap() {
		k.due = append(k.due, h.next+int64(times*float64(usually)))
	}
	k.due = slices.DeleteFunc(k.due, func(at int64) bool {
		if at > m.now {
			return false
		}
		k.fade(m.now)
		k.over, k.under, k.heard = k.over+times*(0.5+m.rng.ExpFloat64()/2), k.under+1, m.now
		return true
	})
}

// TestModelOfASlowOne has a searcher turn ten times slower: until nine of ten mixers know, by words and each alone.
func TestModelOfASlowOne(t *testing.T) {
	t.Parallel()
	for _, each := range []int{60, 900} {
		var told, alone []int64
		var paces []float64
		for seed := range uint64(2) {
			m := newModel(t, seed, 7, each, true)
			views := make([]known, len(m.mixers))
			byWords, byOwn := int64(-1), int64(-1)
			for began := int64(-1); byWords < 0 || byOwn < 0; {
				m.now += tick
				times := 1.0
				if m.now >= 1006*second {
					if times = 10; began < 0 {
						began = m.now
					}
				}
				if began >= 0 && m.now > began+60*second {
					t.Fatal("never")
				}
				know, own := 0, 0
				words, doubted := make([]mixer.PeerReport, 7), make([][]Told, 7)
				for i, e := range m.ears {
					doubted[i], _ = e.Standing(m.now)
					for _, w := range e.Words(m.now) {
						words[i] = w
						if began < 0 || w.Silent {
							t.Fatalf("%+v", w)
						}
					}
				}
				for i, h := range m.mixers {
					k := &views[i]
					m.meetSlow(h, k, times)
					k.fade(m.now)
					o := mixer.Observation{Searcher: sought, Started: 1, Heard: k.heard, Weight: k.under}
					if k.under > 0.01 {
						o.Slow = k.over / k.under
					}
					if (m.now-h.phase)%Round < tick {
						h.word = words[h.relay]
						raw, err := h.sheets.Next(m.now, []mixer.Observation{o}, doubted[h.relay])
						if err == nil && raw != nil {
							err = m.judges[h.relay].Heard(m.now, m.name(i), raw)
						}
						if err != nil {
							t.Fatal(err)
						}
					}
					know += truth(h.word.Slow >= standsOut && h.word.Until > m.now)
					own += truth(o.Slow >= 3 && o.Weight >= 0.5)
				}
				m.carry()
				if began >= 0 && byWords < 0 && know*10 >= 9*len(m.mixers) {
					byWords = m.now - began
					paces = append(paces, m.mixers[0].word.Slow)
				}
				if began >= 0 && byOwn < 0 && own*10 >= 9*len(m.mixers) {
					byOwn = m.now - began
				}
				if byOwn < 0 && began >= 0 && m.now > began+40*second {
					byOwn = 40 * second // sparse answers fade before nine of ten have one
				}
			}
			told, alone = append(told, byWords), append(alone, byOwn)
		}
		t.Logf("%d mixers a relay, 2 seeds: told %s, alone %s; told %.1f to %.1f times slower", each, figures(told), figures(alone),
			slices.Min(paces), slices.Max(paces))
		if slices.Max(told) > 10*second {
			t.Errorf("told after %s", figures(told))
		}
	}
}
