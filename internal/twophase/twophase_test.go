package twophase

import (
	"fmt"
	"math/rand"
	"testing"
)

var terms = Terms{Expected: 1000 * ms, CompleteFrom: 1, LeastShare: 0.5}

// learnt gives knowledge of so many answers for each block, with the share of hits given.
func learnt(hits float64, asked, fetched int64) *Knowledge {
	k := NewKnowledge(terms, 8)
	rng := rand.New(rand.NewSource(1))
	for i := range 400 {
		k.Answered(1000*ms, i%8, rng.Float64() < hits, asked, 1)
		k.Fetched(1000*ms, fetched, 10)
	}
	return k
}

func parts(n int) (all []Part) {
	for i := range n {
		all = append(all, Part{Block: i, Weight: 1 / float64(n)})
	}
	return all
}

func TestQuestionsAreAskedWhereTheySaveWork(t *testing.T) {
	now := 1000 * ms
	for _, c := range []struct {
		hits float64
		left int64
		ask  bool
	}{{0.01, 900 * ms, true}, {0.5, 900 * ms, true}, {0.98, 900 * ms, false}, {0.01, 120 * ms, false}, {0.01, 50 * ms, false}} {
		p := learnt(c.hits, 40*ms, 100*ms).Plan(now, now+c.left, parts(8))
		asks := 0
		for _, w := range p.Ways {
			if w == Ask {
				asks++
			}
		}
		if (asks == 8) != c.ask || !c.ask && asks != 0 {
			t.Errorf("hits %v, %d ms left: %d of 8 asked about", c.hits, c.left/ms, asks)
		}
		if c.ask && (p.AskUntil <= now || p.AskUntil > now+c.left-100*ms) {
			t.Errorf("hits %v: waits %d of %d ms, a fetch takes 100", c.hits, (p.AskUntil-now)/ms, c.left/ms)
		}
	}
	all := parts(2)
	all[0].Absent = true
	if p := learnt(0.5, 40*ms, 100*ms).Plan(now, now+900*ms, all); p.Ways[0] != Skip || p.Ways[1] != Ask {
		t.Errorf("%v", p.Ways)
	}
}

func TestDurationsFadeInHalves(t *testing.T) {
	d := newDurations()
	for range 100 {
		d.add(0, 500*ms)
	}
	if q := d.quantile(0.9); q < 490*ms || q > 510*ms {
		t.Errorf("%d", q)
	}
	d.add(memory, 10*ms)
	if q := d.quantile(0.9); q < 490*ms {
		t.Errorf("after one half: %d", q)
	}
	d.add(2*memory, 10*ms)
	if q := d.quantile(0.9); q > 11*ms {
		t.Errorf("after both halves: %d", q)
	}
	if w := d.within(20 * ms); w != 1 {
		t.Errorf("within 20 ms: %v", w)
	}
}

// begun gives a run of so many parts that are all asked about until 500 of 1,000 ms.
func begun(n int) *Run {
	p := Plan{Ways: make([]Way, n), AskUntil: 500 * ms}
	r, _ := NewRun(0, 1000*ms, terms, p, parts(n))
	return r
}

func only(t *testing.T, got []Action, want ...Action) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%v, want %v", got, want)
	}
}

// ends checks how a run has ended, and its parts' marks.
func ends(t *testing.T, r *Run, want Verdict, marks ...Mark) {
	t.Helper()
	if v, got := r.Verdict(); v != want || fmt.Sprint(got) != fmt.Sprint(marks) {
		t.Errorf("%v %v, want %v %v", v, got, want, marks)
	}
}

var (
	one = Process{"one", 1}
	two = Process{"two", 2}
)

func TestAColdSearchersEmptyNeedsASecondWord(t *testing.T) {
	r := begun(1)
	only(t, r.Answered(10*ms, 0, one, true, No), Action{Question, 0, one})
	only(t, r.Answered(15*ms, 0, one, true, No)) // again the same process: no second word
	only(t, r.Answered(20*ms, 0, two, false, No), Action{Do: End})
	if ends(t, r, Whole, Pruned); r.Strays != 1 {
		t.Errorf("%d strays", r.Strays)
	}
	r = begun(1)
	r.Answered(10*ms, 0, one, true, No)
	only(t, r.Answered(20*ms, 0, two, true, No), Action{Do: Get})
	only(t, r.Got(30*ms, 0, true, true), Action{Do: End}) // of a cold one too, and empty
	ends(t, r, Failed, Unsure)
}

func TestWordsThatDifferAreUnsure(t *testing.T) {
	r := begun(2)
	only(t, r.Answered(10*ms, 0, one, false, Yes), Action{Do: Get})
	only(t, r.Answered(11*ms, 1, one, false, No))
	only(t, r.Got(20*ms, 0, false, true), Action{Do: End}) // said to hold it, and brought nothing
	ends(t, r, Partly, Unsure, Pruned)
}

func TestLateAnswersAreNotWaitedFor(t *testing.T) {
	r := begun(3)
	r.Answered(10*ms, 0, one, false, No)
	if at := r.Wake(10 * ms); at != 500*ms {
		t.Errorf("woken at %d", at)
	}
	only(t, r.Due(500*ms), Action{Do: Get, Part: 1}, Action{Do: Get, Part: 2})
	only(t, r.Answered(510*ms, 1, one, false, No)) // too late: it is being fetched
	only(t, r.Got(600*ms, 1, false, false))
	if at := r.Wake(600 * ms); at != 1000*ms {
		t.Errorf("woken at %d", at)
	}
	only(t, r.Due(1000*ms), Action{Do: End})
	ends(t, r, Partly, Pruned, Straight, Missing)
	only(t, r.Got(1001*ms, 2, false, false)) // nothing after the end
}

func TestAllEmptyIsWholeAndSpoiltIsUnknown(t *testing.T) {
	r := begun(2)
	r.Answered(1*ms, 0, one, false, No)
	only(t, r.Answered(2*ms, 1, two, false, No), Action{Do: End})
	ends(t, r, Whole, Pruned, Pruned)
	r = begun(2)
	only(t, r.Answered(1*ms, 0, one, false, Spoilt), Action{Do: Get})
	only(t, r.Unanswered(2*ms, 1), Action{Do: Get, Part: 1})
	only(t, r.Lost(3*ms, 1))
	only(t, r.Got(4*ms, 0, false, false), Action{Do: End})
	ends(t, r, Partly, Brought, Missing)
	r = begun(2)
	r.Left()
	only(t, r.Answered(1*ms, 0, one, false, Yes))
	ends(t, r, Gone, Missing, Missing)
}

func TestHeavyPartsAreFetchedFirst(t *testing.T) {
	p := Plan{Ways: []Way{Fetch, Fetch, Ask}, AskUntil: 500 * ms}
	_, first := NewRun(0, 1000*ms, terms, p, []Part{{0, 0.2, false}, {1, 0.5, false}, {2, 0.3, false}})
	only(t, first, Action{Do: Question, Part: 2}, Action{Do: Get, Part: 1}, Action{Do: Get, Part: 0})
}

// TestMarksAreNeverBetterThanTheTruth plays random worlds with known data: searchers that are cold and say 'empty' of all,
// answers late, lost, spoilt, twice and for parts never asked about, fetches that fail, clients that leave.
func TestMarksAreNeverBetterThanTheTruth(t *testing.T) {
	whole, unsure, pruned := 0, 0, 0
	for seed := range int64(20_000) {
		rng := rand.New(rand.NewSource(seed))
		n := 1 + rng.Intn(8)
		holds, cold := make([]bool, n), [3]bool{rng.Intn(3) == 0, rng.Intn(3) == 0, false}
		p := Plan{Ways: make([]Way, n), AskUntil: int64(rng.Intn(700)) * ms}
		for i := range n {
			holds[i] = rng.Intn(2) == 0
			p.Ways[i] = Way(rng.Intn(2))
		}
		terms := Terms{CompleteFrom: []float64{1, 0.6}[rng.Intn(2)], LeastShare: []float64{0.5, 1}[rng.Intn(2)]}
		terms.LeastShare = min(terms.LeastShare, terms.CompleteFrom)
		type out struct {
			Action
			at int64
		}
		var queue []out
		ends, brought, now := 0, make([]bool, n), int64(0)
		var r *Run
		take := func(actions []Action) {
			for _, a := range actions {
				if a.Do == End {
					ends++
				} else if ends > 0 {
					t.Fatalf("seed %d: %v after the end", seed, a)
				}
				queue = append(queue, out{a, now + int64(1+rng.Intn(600))*ms})
			}
		}
		r, first := NewRun(0, 1000*ms, terms, p, parts(n))
		take(first)
		for steps := 0; ends == 0 && steps < 1000; steps++ {
			next := -1
			for i := range queue {
				if queue[i].Do != End && (next < 0 || queue[i].at < queue[next].at) {
					next = i
				}
			}
			if wake := r.Wake(now); next < 0 || wake <= queue[next].at {
				now = wake
				take(r.Due(now))
				continue
			}
			o := queue[next]
			queue = append(queue[:next], queue[next+1:]...)
			now = o.at
			s := rng.Intn(3)
			if o.Avoid.Searcher != "" && fmt.Sprint(s) == o.Avoid.Searcher {
				s = (s + 1) % 3
			}
			if rng.Intn(20) == 0 { // nobody waits for this
				take(r.Answered(now, rng.Intn(n+2)-1, Process{fmt.Sprint(s), 1}, true, No))
				if ends > 0 {
					break
				}
			}
			says, lost := holds[o.Part] && !cold[s], rng.Intn(6) == 0
			switch {
			case o.Do == Question && lost:
				take(r.Unanswered(now, o.Part))
			case o.Do == Question:
				w := No
				if says {
					w = Yes
				}
				if rng.Intn(10) == 0 {
					w = Spoilt
				}
				take(r.Answered(now, o.Part, Process{fmt.Sprint(s), 1}, cold[s], w))
			case lost:
				take(r.Lost(now, o.Part))
			default:
				brought[o.Part] = brought[o.Part] || !(cold[s] && !says)
				take(r.Got(now, o.Part, cold[s], !says))
			}
		}
		if ends != 1 || now > 1000*ms {
			t.Fatalf("seed %d: %d ends, at %d ms", seed, ends, now/ms)
		}
		v, marks := r.Verdict()
		known := 0.0
		for i, m := range marks {
			if m == Pruned && holds[i] {
				t.Fatalf("seed %d: part %d is pruned and holds what is sought", seed, i)
			}
			if (m == Brought || m == Straight) && !brought[i] {
				t.Fatalf("seed %d: part %d is marked %d and nothing was brought", seed, i, m)
			}
			if m.Known() {
				known += 1 / float64(n)
			}
			if m == Unsure {
				unsure++
			}
			if m == Pruned {
				pruned++
			}
		}
		if v == Whole != (known >= terms.CompleteFrom-rounding) || v == Partly && known < terms.LeastShare-rounding {
			t.Fatalf("seed %d: verdict %d with %v known of %+v", seed, v, known, terms)
		}
		if v == Whole {
			whole++
		}
	}
	t.Logf("20,000 lookups: %d whole, %d parts pruned, %d unsure", whole, pruned, unsure)
	if whole < 1000 || pruned < 1000 || unsure < 100 {
		t.Error("the worlds show too little")
	}
}
