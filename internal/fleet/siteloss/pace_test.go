package siteloss

import (
	"testing"
)

// A return: nothing but probes while the site is out, in turn; then stages that never ask more than a cold searcher bears, the
// pairs of each among those of the next; one back on doubt; all within 1.3 times the warming time; longer waits each time
// it comes and goes.
func TestPaceOfAReturn(t *testing.T) {
	const mixers, searchers = 30, 20
	terms := PaceTerms{Terms: terms(0, 3), ColdFrom: 0.15, Cold: 4 * tick, Mixers: mixers}
	paces := make([]*Pace, mixers)
	for i := range paces {
		of := terms
		of.Rank = i
		paces[i] = NewPace(of)
	}
	now := int64(1000) * tick
	sound := Evidence{Answered: 20}
	step := func(v Verdict, e Evidence) (leaves []Leave, probes int) {
		now += tick
		for _, p := range paces {
			l := p.Step(now, v, e)
			if leaves = append(leaves, l); l.Probe {
				probes++
			}
		}
		return leaves, probes
	}
	var waits []int64
	for go_ := range 3 {
		for range 20 {
			leaves, probes := step(Verdict{Kind: Lost, Declared: true}, Evidence{})
			if probes > 1 || leaves[0].Share > 0 || leaves[0].Meets(3) {
				t.Fatalf("while lost: %d probes, %+v", probes, leaves[0])
			}
		}
		back, first := now, int64(0)
		met := map[[2]int]bool{}
		doubted := false
		for now-back < terms.Warming*13/10+terms.Cold*4 {
			e := sound
			if go_ == 0 && !doubted && paces[0].stage == 3 {
				e, doubted = Evidence{Answered: 10, Lost: 10}, now-paces[0].at >= terms.Window()
			}
			was := paces[0].stage
			leaves, _ := step(Verdict{Kind: Returning}, e)
			if e.Lost > 0 && doubted && leaves[0].Stage != was-1 {
				t.Fatalf("doubt: stage %d after %d", leaves[0].Stage, was)
			}
			if first == 0 && leaves[0].Stage > 0 {
				first = now
			}
			if go_ != 1 || leaves[0].Stage == 0 {
				continue
			}
			bears := terms.ColdFrom + (1-terms.ColdFrom)*min(1, float64(now-first)/float64(terms.Warming))
			if leaves[0].Share > bears+1e-9 {
				t.Fatalf("share %.3f of %.3f", leaves[0].Share, bears)
			}
			of := make([]int, searchers)
			for i, l := range leaves {
				for s := range searchers {
					if is := l.Meets(s); is {
						met[[2]int{i, s}] = true
						of[s]++
					} else if met[[2]int{i, s}] {
						t.Fatal("a pair that had met may no more")
					}
				}
			}
			for s, n := range of {
				if want := leaves[0].Share * mixers; float64(n) > want+3 || float64(n) < want-3 {
					t.Fatalf("searcher %d meets %d mixers of %.1f", s, n, want)
				}
			}
		}
		if go_ == 1 && paces[0].full-first > terms.Warming*13/10 {
			t.Errorf("all after %d of %d", paces[0].full-first, terms.Warming)
		}
		waits = append(waits, first-back)
	}
	if waits[0] > tick || waits[1] <= waits[0] || waits[2] <= waits[1] {
		t.Errorf("waits before the first stage: %v", waits)
	}
}

// First parts of all mixers together stay within what their rights add up to, in any window.
func TestFirstPartsKeepTheRight(t *testing.T) {
	const mixers = 40
	budget := Budget(4)
	var sent []int64
	var paces []*Pace
	for i := range mixers {
		p := NewPace(PaceTerms{Terms: terms(0, 3), ColdFrom: 0.15, Cold: 4 * tick, Rank: i, Mixers: mixers})
		p.Step(1, Verdict{Kind: Lost, Declared: true}, Evidence{})
		paces = append(paces, p)
	}
	begin := 100 * tick
	for _, p := range paces {
		p.Step(begin, Verdict{Kind: Returning}, Evidence{Answered: 9})
	}
	for now := begin; now < begin+40*tick; now += tick / 50 {
		for _, p := range paces {
			if p.First(now, budget/2/mixers) { // half: what each has saved up comes on top
				sent = append(sent, now)
			}
		}
		for len(sent) > 0 && sent[0] <= now-4*tick {
			sent = sent[1:]
		}
		if float64(len(sent)) > budget {
			t.Fatalf("%d first parts in a window of %.1f", len(sent), budget)
		}
	}
	if len(sent) == 0 {
		t.Error("nobody sends")
	}
}
