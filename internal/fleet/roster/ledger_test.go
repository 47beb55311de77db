package roster

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// draw gives an event about one of few lives of few names, with a term that is a fact of the life.
func draw(t *rapid.T) event {
	name, life := rapid.IntRange(0, 2).Draw(t, "name"), rapid.Uint64Range(1, 3).Draw(t, "life")
	e := event{what: what(rapid.IntRange(int(met), int(told)).Draw(t, "what")), age: rapid.Int64Range(0, 120).Draw(t, "age")}
	e.life = Life{Name: string(rune('a' + name)), Life: uint64(name)*10 + life, Site: "s", Since: int64(life*7%3) + 1}
	if e.what == bye {
		e.life = Life{Name: e.life.Name, Life: e.life.Life} // all that a goodbye tells
	} else if rapid.Bool().Draw(t, "settled") {
		e.term = uint32(life+1) / 2 // lives 1 and 2 have equal terms
	}
	return e
}

// proven are the reasons that stand for good.
func proven(m Member) bool { return m.State == Gone && m.Why >= Succeeded }

// TestLedgerKeepsItsLaws plays events in any order: who is proven gone stays so while it is held, nobody is gone for silence
// before its time, of settled lives of one name one counts at most, and the bounds hold.
func TestLedgerKeepsItsLaws(t *testing.T) {
	const forget = 100
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(2, 10).Draw(t, "most")
		self := Life{Name: "a", Life: 1, Site: "s", Since: 2}
		l := newLedger(self, most, forget)
		now := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += rapid.Int64Range(0, 40).Draw(t, "later")
			before := map[Life]Member{}
			for _, m := range l.members() {
				before[m.Life] = m
			}
			var e event
			if tick := rapid.IntRange(0, 9).Draw(t, "tick") == 0; tick {
				l.tick(now)
			} else {
				e = draw(t)
				l.step(now, e)
			}
			counts, living, gone := map[string]int{}, 0, 0
			for i, m := range l.members() {
				if i > 0 && order(l.rows[i-1].Life, m.Life) >= 0 {
					t.Fatalf("out of order: %+v", l.members())
				}
				was, held := before[m.Life]
				switch {
				case held && proven(was) && !proven(m):
					t.Fatalf("%+v after %+v", m, was)
				case held && m.State == Gone && m.Why == Forgotten && was.State != Gone && (was.State != CutOff || now-was.At < forget):
					t.Fatalf("forgotten at %d: %+v", now, was)
				case held && was.State != Gone && m.State == Gone && m.Why == Goodbye && e.what != bye:
					t.Fatalf("a goodbye nobody said: %+v by %+v", m, e)
				case m.Life == self && m.State != Here && m.Why != Succeeded:
					t.Fatalf("we are %+v", m)
				}
				if m.State == Gone {
					gone++
				} else if living++; m.Term > 0 {
					counts[m.Name]++
				}
			}
			for name, n := range counts {
				if n > 1 {
					t.Fatalf("%d settled lives of %s count: %+v", n, name, l.members())
				}
			}
			if living > most || gone > most {
				t.Fatalf("%d live, %d are gone, the bound is %d", living, gone, most)
			}
		}
	})
}

// TestLedgerAgreesInAnyOrder gives the same facts (who lives with which term, who said goodbye) in two orders, the second with
// repetitions: both ledgers have the same lives in the same states.
func TestLedgerAgreesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var facts []event
		for range rapid.IntRange(1, 12).Draw(t, "facts") {
			e := draw(t)
			if e.age = 0; e.what != bye {
				e.what = met
			}
			facts = append(facts, e)
		}
		again := append(slices.Clone(facts), facts...)
		shuffle := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1))
		shuffle.Shuffle(len(again), func(i, j int) { again[i], again[j] = again[j], again[i] })
		play := func(all []event) (out []string) {
			l := newLedger(Life{Name: "z", Life: 99}, 20, 100)
			for i, e := range all {
				l.step(int64(i), e)
			}
			for _, m := range l.members() {
				out = append(out, fmt.Sprintln(m.Life, m.State, m.Why, m.Term))
			}
			return out
		}
		if one, two := play(facts), play(again); !slices.Equal(one, two) {
			t.Fatalf("%v\nand in another order %v", one, two)
		}
	})
}

// TestLedgerTellsTheCasesApart: cut off and gone, doubt and its end, hearsay and its age, and the one that returns.
func TestLedgerTellsTheCasesApart(t *testing.T) {
	const forget = 1000
	l := newLedger(Life{Name: "self", Life: 1}, 8, forget)
	who := Life{Name: "b", Life: 5, Site: "s", Since: 1}
	next := Life{Name: "b", Life: 4, Site: "s", Since: 2}
	far := Life{Name: "c", Life: 6, Site: "t", Since: 1}
	for i, s := range []struct {
		now  int64
		e    event
		of   Life
		want State
		why  Reason
	}{
		{1, event{what: met, life: who, term: 1}, who, Here, NotGone},
		{2, event{what: silent, life: who}, who, Here, NotGone},
		{3, event{what: heard, life: who}, who, Here, NotGone},
		{4, event{what: silent, life: who}, who, Here, NotGone},
		{5, event{what: silent, life: who}, who, Doubted, NotGone},
		{6, event{what: heard, life: who}, who, Here, NotGone},
		{7, event{what: lost, life: who}, who, CutOff, NotGone},
		{8, event{what: met, life: next}, who, CutOff, NotGone}, // it has not met the fleet: who is newer is not known yet
		{9, event{what: met, life: next, term: 2}, who, Gone, Succeeded},
		{10, event{what: met, life: who, term: 1}, who, Gone, Succeeded},
		{11, event{what: bye, life: next}, next, Gone, Goodbye},
		{12, event{what: told, life: far, term: 1, age: 990}, far, CutOff, NotGone},
		{30, event{}, far, Gone, Forgotten},
		{31, event{what: told, life: far, term: 1, age: 900}, far, Gone, Forgotten},
		{32, event{what: met, life: far, term: 1}, far, Here, NotGone},
	} {
		if s.e == (event{}) {
			l.tick(s.now)
		} else {
			l.step(s.now, s.e)
		}
		if at, ok := l.find(s.of); !ok || l.rows[at].State != s.want || l.rows[at].Why != s.why {
			t.Fatalf("step %d: %+v, want %v %v", i, l.members(), s.want, s.why)
		}
	}
	if l.tick(1012); len(l.rows) != 2 { // this life and c
		t.Errorf("held long after: %+v", l.members())
	}
	if l.step(1013, event{what: told, life: who, term: 1, age: forget}); len(l.rows) != 2 {
		t.Errorf("hearsay goes round for ever: %+v", l.members())
	}
	// Of equal terms the later start counts, though its number is the lower; where all places are taken a forgotten one waits.
	for _, e := range []event{{what: met, life: who, term: 3}, {what: met, life: next, term: 3}, {what: lost, life: far}} {
		l.step(1014, e)
	}
	l.tick(3000)
	l.most = 2
	l.step(3001, event{what: met, life: far, term: 1})
	var got []string
	for _, m := range l.members() {
		got = append(got, fmt.Sprint(m.Name, m.Life.Life, m.State, m.Why))
	}
	if want := []string{"b4 here ", "c6 gone forgotten", "self1 here "}; !slices.Equal(got, want) {
		t.Errorf("%q, want %q", got, want)
	}
}
