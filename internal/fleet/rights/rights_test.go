package rights

import (
	"bytes"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// site is some lives of two wards that exchange by rounds of an eighth of a vote.
type site struct {
	o     Options
	at    int64
	lives []*Ledger
	want  func(i int) int64
	limit int64
	moves int
	held  map[int]int64 // what is in use whatever is wanted
	slept map[int]int64 // lives that are stopped, and since when
}

func newSite(t testing.TB, seats ...int) *site {
	s := &site{o: Options{Reserve: 10, Floor: 2, Lease: 8 * half, Vote: 2 * half, Linger: 3 * half}, limit: 70}
	s.want = func(int) int64 { return 10 }
	for w, n := range seats {
		s.o.Wards = append(s.o.Wards, Ward{fmt.Sprint("w", w), n})
	}
	for w, n := range seats {
		for range n {
			s.start(t, w, uint64(len(s.lives)+1))
		}
	}
	return s
}

func (s *site) start(t testing.TB, w int, id uint64) *Ledger {
	l, err := New(s.at, Life{fmt.Sprint("m", id), s.o.Wards[w].Name, id}, s.o)
	if err != nil {
		t.Fatal(err)
	}
	s.lives = append(s.lives, l)
	return l
}

// run has those that may hear each other, by line, exchange for some halves.
func (s *site) run(t testing.TB, halves int, line func(i, j int) bool) {
	for range halves * 4 {
		s.at += half / 4
		for i, l := range s.lives {
			if l != nil && s.slept[i] == 0 {
				s.moves += len(l.Step(s.at, []Demand{{thing, s.limit, s.want(i), s.held[i]}}))
			}
		}
		for i, l := range s.lives {
			for j, m := range s.lives {
				if l != nil && m != nil && i != j && line(i, j) && s.slept[i]+s.slept[j] == 0 {
					if err := m.Take(s.at, "", l.Offer(s.at, MaxState)); err != nil {
						t.Fatal(err)
					}
				}
			}
		}
		if sum := s.sum(); sum > float64(s.limit-s.o.Reserve) {
			t.Fatalf("%v usable of %d", sum, s.limit-s.o.Reserve)
		}
	}
}

func (s *site) usable(i int) float64 {
	if s.lives[i] == nil {
		return 0
	}
	if at := s.slept[i]; at > 0 { // what it holds open is closed for it a while after its right has ended
		return s.lives[i].Usable(max(at, s.at-s.o.Linger), thing)
	}
	return s.lives[i].Usable(s.at, thing)
}

func (s *site) sum() (sum float64) {
	for i := range s.lives {
		sum += s.usable(i)
	}
	return sum
}

func all(i, j int) bool { return true }

// TestRightsFollowDemand plays a fleet of two wards through its hardest hours, and counts that no more than the limit is usable
// after each round (run does): 6 lives, 60 units beside the reserve, 12 of them floors.
func TestRightsFollowDemand(t *testing.T) {
	s := newSite(t, 3, 3)
	check := func(what string, want ...float64) {
		t.Helper()
		for i, w := range want {
			if got := s.usable(i); w >= 0 && math.Abs(got-w) > 1 { // swing is one
				t.Errorf("%s: life %d may use %v, want %v", what, i, got, w)
			}
		}
	}
	s.run(t, 1, all)
	check("at the start", 2, 2, 2, 2, 2, 2)
	s.run(t, 30, all)
	check("all want ten", 10, 10, 10, 10, 10, 10)
	s.want = func(i int) int64 { return []int64{26, 26, 2, 2, 2, 2}[i] }
	s.run(t, 30, all)
	check("two want all", 26, 26, 2, 2, 2, 2)
	s.want = func(i int) int64 { return 40 }
	s.run(t, 30, func(i, j int) bool { return i/3 == j/3 })
	check("cut between the wards", 10, 10, 10, 10, 10, 10)
	s.want = func(i int) int64 { return []int64{40, 40, 2, 2, 2, 2, 40}[i] }
	s.run(t, 30, func(i, j int) bool { return i/3 == j/3 })
	check("shifted to one side, cut", 14, 14, 2, 2, 2, 2)
	s.run(t, 30, all)
	check("healed", 26, 26, 2, 2, 2, 2)
	s.lives[0] = nil // the chair of the first ward and the greatest user
	s.run(t, 40, all)
	check("the chair is dead", 0, 40, 2, 2, 2, 2)
	s.start(t, 0, 99)
	s.run(t, 40, all)
	check("its next life wants what the other has", 0, -1, 2, 2, 2, 2, -1)
	if a, b := s.usable(1), s.usable(6); a+b != 52 || a < 20 || b < 20 {
		t.Errorf("the other life has %v, the next life %v of 52", a, b)
	}
	turn := int64(0)
	s.want = func(i int) int64 {
		if turn++; i == 1 || i == 6 {
			return 40 + (turn*7919)%5
		}
		return 2
	}
	s.run(t, 40, all)
	s.moves = 0
	if s.run(t, 30, all); s.moves > 0 {
		t.Errorf("%d loans changed where wants swing by a tenth", s.moves)
	}
	s = newSite(t, 3)
	s.run(t, 30, all)
	s.slept, s.want = map[int]int64{1: s.at}, func(i int) int64 { return 60 }
	s.run(t, 30, all)
	check("one sleeps past its lease and what it holds open", 29, 2, 29)
	s.slept = nil
	s.run(t, 30, all)
	check("and wakes", 20, 20, 20)
	s = newSite(t, 3)
	s.want = func(i int) int64 { return []int64{2, 60, 2}[i] }
	s.run(t, 30, all)
	s.held, s.want = map[int]int64{1: 40}, func(i int) int64 { return []int64{60, 2, 2}[i] }
	s.run(t, 2, all) // far less than a lease
	check("what is not held is given back", 18, 40, 2)
	s = newSite(t, 3) // the first is heard and hears nobody: all vote for it, and it never knows
	s.run(t, 40, func(i, j int) bool { return j != 0 })
	check("one that hears nobody is passed over", 2, 10, 10)
}

// TestLawsInAnyWorld plays random worlds: clocks hours apart and up to 1% fast or slow, sheets lost, late, repeated and out of
// order, cuts, lives that sleep, die and start anew, wants and limits that move. After each event what all may use of each
// resource fits in the greatest limit that was set, no ward has two chairs, and nobody has less than its floor.
func TestLawsInAnyWorld(t *testing.T) {
	lending := 0
	rapid.Check(t, func(t *rapid.T) {
		o := Options{Wards: []Ward{{"a", 3}, {"b", 2}}, Reserve: rapid.Int64Range(0, 3).Draw(t, "reserve"),
			Floor: rapid.Int64Range(0, 2).Draw(t, "floor"), Lease: 4 * half, Vote: 2 * half,
			Linger: rapid.Int64Range(0, 2).Draw(t, "linger") * half}
		const most = 40
		things := []Resource{thing, {"s", 8}}
		var lives [5]*Ledger
		var asleep [5]bool
		var slept [5]int64
		var rates, starts [5]int64
		var bag [][]byte
		at, id := int64(0), uint64(0)
		clock := func(i int) int64 { return starts[i]*hour + at*rates[i]/1000 }
		begin := func(i int) {
			id++
			ward := o.Wards[i/3].Name
			l, err := New(clock(i), Life{fmt.Sprint("m", i), ward, id*2654435761%1000003 + 1}, o)
			if err != nil {
				t.Fatal(err)
			}
			lives[i], asleep[i] = l, false
		}
		for i := range lives {
			rates[i], starts[i] = rapid.Int64Range(990, 1010).Draw(t, "rate"), rapid.Int64Range(0, 9).Draw(t, "hours")
			begin(i)
		}
		lent := false
		for range 40 { // calm at first, so that there are chairs and loans to lose
			at += half / 4
			for a, l := range lives {
				l.Step(clock(a), []Demand{{things[0], most, 15, 0}, {things[1], most, 5, 9}})
				bag = append(bag, l.Offer(clock(a), MaxState))
				for b, m := range lives {
					if a != b {
						_ = m.Take(clock(b), "", bag[len(bag)-1])
					}
				}
			}
		}
		side := [5]int{}
		for range rapid.IntRange(10, 60).Draw(t, "events") {
			i := rapid.IntRange(0, 4).Draw(t, "who")
			switch rapid.IntRange(0, 11).Draw(t, "what") {
			case 0:
				begin(i)
			case 1:
				asleep[i], slept[i] = !asleep[i], clock(i)
			case 2:
				side[i] = rapid.IntRange(0, 1).Draw(t, "side")
			case 3:
				at += rapid.Int64Range(0, 5*half).Draw(t, "pause")
			case 4:
				if len(bag) > 0 && !asleep[i] { // anything old, to anyone
					_ = lives[i].Take(clock(i), "", bag[rapid.IntRange(0, len(bag)-1).Draw(t, "old")])
				}
			default: // some time of exchange among those on a side
				wants := rapid.SliceOfN(rapid.Int64Range(0, most), 5, 5).Draw(t, "wants")
				limit, held := rapid.Int64Range(20, most).Draw(t, "limit"), rapid.Int64Range(0, most).Draw(t, "held")
				for range rapid.IntRange(1, 8).Draw(t, "rounds") {
					at += rapid.Int64Range(0, half/2).Draw(t, "time")
					for a, l := range lives {
						if asleep[a] {
							continue
						}
						l.Step(clock(a), []Demand{{things[0], limit, wants[a], 0}, {things[1], limit, most - wants[a], held}})
						offer := l.Offer(clock(a), MaxState)
						bag = append(bag, offer)
						for b, m := range lives {
							if a != b && !asleep[b] && side[a] == side[b] && rapid.IntRange(0, 9).Draw(t, "lost") > 0 {
								if err := m.Take(clock(b), "", offer); err != nil {
									t.Fatal(err)
								}
							}
						}
					}
				}
			}
			for _, r := range things {
				sum := 0.0
				for a, l := range lives {
					n := l.Usable(clock(a), r)
					if asleep[a] { // what it holds open is closed for it a while after its right has ended
						n = l.Usable(max(slept[a], clock(a)-o.Linger*rates[a]/1000), r)
					}
					lent = lent || n > float64(o.Floor)
					if sum += n; len(l.keys) > 0 && n < float64(o.Floor) {
						t.Fatalf("%v is below the floor", n)
					}
				}
				if sum > float64(most-o.Reserve) {
					t.Fatalf("%v of %v usable, limit %v", sum, r, most)
				}
			}
			chairs := map[int]int{}
			for a, l := range lives {
				if clock(a) < l.until {
					if chairs[l.ward]++; chairs[l.ward] > 1 {
						t.Fatal("two in one chair")
					}
				}
			}
		}
		if lent {
			lending++
		}
		joinLaws(t, bag, o)
	})
	if lending < 20 {
		t.Errorf("rights were lent in %d worlds only: this shows little", lending)
	}
}

// joinLaws: whatever order states come in, however often, and joined by whom before, the same sheets are known.
func joinLaws(t *rapid.T, bag [][]byte, o Options) {
	if len(bag) > 12 {
		bag = bag[len(bag)-12:]
	}
	known := func(states ...[]byte) (map[uint64][]byte, []byte) {
		l, _ := New(0, Life{"x", "a", 1 << 40}, o)
		for _, s := range states {
			if err := l.Take(0, "", s); err != nil {
				t.Fatal(err)
			}
		}
		all := map[uint64][]byte{}
		for id, h := range l.sheets {
			all[id] = h.raw
		}
		l.Step(0, nil)
		return all, l.Offer(0, MaxState)
	}
	want, _ := known(bag...)
	mixed := append(slices.Clone(bag), rapid.Permutation(bag).Draw(t, "order")...)
	cut := rapid.IntRange(0, len(mixed)).Draw(t, "cut")
	_, first := known(mixed[:cut]...)
	got, _ := known(append([][]byte{first}, mixed[cut:]...)...)
	delete(got, 1<<40)
	if !maps.EqualFunc(got, want, bytes.Equal) {
		t.Fatalf("another order gave %d sheets, want %d", len(got), len(want))
	}
}

// TestBothEndsOfALoanCountAlike: whatever a giver gives in turn, whichever of it comes through and how late, and whatever the user
// gives back meanwhile, the giver counts at least what the user does, and all that it gave where nothing was given back.
func TestBothEndsOfALoanCountAlike(t *testing.T) {
	for range 20 {
		rapid.Check(t, oneLoan)
	}
}

func oneLoan(t *rapid.T) {
	var giver, user claims
	var given []claim
	var back handed // as the user said last, and the giver has heard it or not
	heard := true
	now, amount := int64(0), int64(200)
	for n := range uint64(rapid.IntRange(1, 40).Draw(t, "loans")) {
		now += rapid.Int64Range(0, 9).Draw(t, "time")
		amount = max(1, amount-rapid.Int64Range(-1, 4).Draw(t, "less")) // falls as a rule, so that many run at a time
		if rapid.IntRange(0, 9).Draw(t, "back") == 0 && heard {
			back, heard = handed{n + 1, rapid.Int64Range(0, amount).Draw(t, "most")}, false
			user.cut(back.before, back.most)
		}
		given = append(given, claim{amount, now + 60, n + 1})
		giver = giver.more(now, given[n])
		if i := rapid.IntRange(0, int(n)).Draw(t, "comes"); given[i].until-10 > now {
			x := claim{given[i].amount, given[i].until - 10, given[i].number}
			if x.number < back.before {
				x.amount = min(x.amount, back.most)
			}
			user = user.fewer(now, x)
		}
		if !heard && rapid.Bool().Draw(t, "hears") {
			giver.cut(back.before, back.most)
			heard = true
		}
		for later := now; later < now+70; later += 7 {
			g, long := giver.running(later), max(len(giver), len(user)) > maxClaims
			if back.before == 0 && g < claims(given).running(later) || g < user.running(later) || long {
				t.Fatalf("%v given, %v back, counted %v, used %v", given, back, giver, user)
			}
		}
	}
}

func TestWhatCannotBeIsRefusedWithItsName(t *testing.T) {
	s := newSite(t, 3)
	l := s.lives[0]
	long := Resource{Name: strings.Repeat("x", 65)}
	low, none := Resource{"low", 1}, Resource{"none", 1}
	moves := l.Step(1, []Demand{{low, 15, 9, 0}, {none, 0, 9, 0}, {thing, 70, 9, 0}, {thing, 70, 9, 0}, {long, 70, 9, 0}})
	why := []string{}
	for _, m := range moves {
		why = append(why, fmt.Sprint(m.Kind, " ", m.Resource.Name[:1], " ", m.Why))
	}
	want := []string{"refused l limit 15 is below the reserve of 10 and the floor of 2 for each of 3 mixers", "refused n limit 0",
		"refused x no sound name", "refused s its key is taken"}
	if !slices.Equal(why, want) {
		t.Errorf("%q", why)
	}
	if a, b := l.Usable(1, low), l.Usable(1, thing); a != 0 || b != 2 {
		t.Errorf("%v usable of the refused, %v of the rest", a, b)
	}
	o := s.o
	o.Lease++
	foreign, _ := New(0, Life{"f", "w0", 77}, o)
	foreign.Step(1, nil)
	good := s.lives[1]
	good.Step(1, []Demand{{thing, 70, 9, 0}})
	bad := envelopeOf(foreign, good)
	err := l.Take(1, "peer", bad)
	if err == nil || !strings.Contains(err.Error(), `"peer"`) || l.sheets[2] == nil || l.sheets[77] != nil {
		t.Errorf("%v; taken %v", err, len(l.sheets))
	}
	for n := range 200 { // spoilt anywhere: an error or not, never a panic, and what was known stays
		spoilt := slices.Clone(bad)
		spoilt[n*len(spoilt)/200] ^= 0x55
		_ = l.Take(2, "peer", spoilt)
	}
	if l.sheets[2] == nil || l.Offer(2, 10) != nil {
		t.Error("what was known is lost, or an offer outgrew its bytes")
	}
	for _, o := range []Options{{}, {Wards: []Ward{{"w", 0}}, Lease: 1, Vote: 1}, {Wards: []Ward{{"w", 1}}, Vote: 1}} {
		if _, err := New(0, Life{"m", "w", 1}, o); err == nil {
			t.Errorf("%+v is taken", o)
		}
	}
}
