package words

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"nettlefold/internal/fleet/control"
	"nettlefold/internal/sharing"
)

// teller is what the search knows of one mixer, apart from the judge: its life, its session, what it says by its last sheet.
type teller struct {
	name, zone   string
	life, number uint64
	open         bool
	ever         bool
	suspect      map[int]int64 // searcher: since when
	heard        map[int]int64 // searcher: when
	told         int64
}

// search is one random world of a relay and its mixers, held against what may be told by a count of its own.
type search struct {
	*bench
	rng     *rand.Rand
	tellers []*teller
	many    int           // searchers
	enough  map[int]int64 // searcher: when a quorum last said it is silent
	was     map[int]bool  // told silent the round before
	zones   int
}

func (s *search) sheet(x *teller, life, number uint64) []byte {
	var rows []sharing.Row
	for n := range s.many {
		r := sharing.Row{Searcher: fmt.Sprint("s", n), Started: 1}
		if at, ok := x.suspect[n]; ok {
			r.Suspect = (s.now-at)/ms + 1
		}
		if at := x.heard[n]; at > 0 {
			r.Heard = (s.now-at)/ms + 1
		}
		if len(rows) < 64 && (r.Suspect > 0 || r.Heard > 0) {
			rows = append(rows, r)
		}
	}
	raw, err := (&sharing.Sheet{Version: 1, Mixer: x.name, Zone: x.zone, Life: life, Number: number, Rows: rows}).Append()
	if err != nil {
		panic(err)
	}
	return raw
}

// tell has a mixer tell what it knows now.
func (s *search) tell(x *teller) {
	x.number++
	x.told, x.ever = s.now, true
	if err := s.Heard(s.now, x.name, s.sheet(x, x.life, x.number)); err != nil {
		panic(err)
	}
}

// act has a mixer do something.
func (s *search) act() {
	x := s.tellers[s.rng.IntN(len(s.tellers))]
	n := s.rng.IntN(s.many)
	switch k := s.rng.IntN(20); {
	case k < 7:
		if !x.open {
			x.open = true
		}
		for i := range s.many {
			if i == n || s.many > 3 && s.rng.IntN(2) == 0 {
				x.suspect[i] = s.now
				delete(x.heard, i)
			}
		}
		s.tell(x)
	case k < 12:
		delete(x.suspect, n)
		x.heard[n] = s.now
		if x.open {
			s.tell(x)
		}
	case k < 14 && x.open: // its session ends
		x.open = false
		s.Left(s.now, x.name)
	case k < 15: // it starts anew
		old, number := x.life, x.number
		x.life, x.number, x.open = x.life+1, 0, true
		before := s.sheet(x, old, number+9)
		x.suspect, x.heard = map[int]int64{}, map[int]int64{}
		s.tell(x)
		if s.rng.IntN(2) == 0 && number > 0 { // what was under way comes late, of a life that is known
			s.Heard(s.now, x.name, before)
		}
	case k < 16 && x.ever && x.open && x.number > 1: // a sheet comes late
		was := x.suspect
		x.suspect = map[int]int64{0: s.now}
		raw := s.sheet(x, x.life, x.number-1)
		x.suspect = was
		s.Heard(s.now, x.name, raw)
	}
}

// quorums counts who says of a searcher that it is silent, and who has been answered since any suspicion began.
func (s *search) quorums(n int) (silent, well bool) {
	zones, has := map[string]bool{}, map[string]bool{}
	wells, wellZones := 0, map[string]bool{}
	says, newest := 0, int64(0)
	for _, x := range s.tellers {
		if !x.ever || !x.open {
			continue
		}
		zones[x.zone] = true
		if s.now-x.told >= kept {
			continue
		}
		if at, ok := x.suspect[n]; ok {
			says++
			has[x.zone] = true
			newest = max(newest, at)
		}
	}
	for _, x := range s.tellers {
		if _, suspects := x.suspect[n]; x.ever && x.open && !suspects && x.heard[n] > newest+2*ms && s.now-x.heard[n] < answered-2*ms {
			wells++
			wellZones[x.zone] = true
		}
	}
	two := len(zones) == 1
	return says >= 3 && (two || len(has) > 1), wells >= 3 && (two || len(wellZones) > 1)
}

// look holds what is told against the counts.
func (s *search) look() error {
	told := map[int]bool{}
	words := 0
	for _, m := range append(s.slots[:], s.more...) {
		if m == nil {
			continue
		}
		if words++; m.told.Kind == silent {
			var n int
			fmt.Sscanf(m.searcher, "s%d", &n)
			told[n] = true
		}
	}
	if words > MostWords || len(s.relay.Table().Rows(control.KindWords)) > MostWords/perRow+1 {
		return fmt.Errorf("%d words", words)
	}
	for n := range s.many {
		says, well := s.quorums(n)
		if says {
			s.enough[n] = s.now
		}
		switch {
		case told[n] && !s.was[n] && !says && s.many <= 3: // of many, one may get a place while it ends
			return fmt.Errorf("s%d is told silent without a quorum", n)
		case told[n] && well:
			return fmt.Errorf("s%d is told silent, though a quorum has been answered since", n)
		case told[n] && s.now-s.enough[n] > lull+Round:
			return fmt.Errorf("s%d is told silent %d ms after its quorum", n, (s.now-s.enough[n])/ms)
		case !told[n] && s.was[n] && s.enough[n] > 0 && s.now-s.enough[n] < lull && !s.contested(n):
			return fmt.Errorf("s%d flaps", n)
		}
	}
	s.was = told
	for _, w := range s.ear.Words(s.now) {
		if w.Until > s.now+Lease {
			return fmt.Errorf("%s is believed for %d ms", w.Searcher, (w.Until-s.now)/ms)
		}
	}
	return nil
}

// contested tells whether anybody has lately been answered by a searcher, or more stand out than fit.
func (s *search) contested(n int) bool {
	for _, x := range s.tellers {
		if s.now-x.heard[n] < answered+lull && x.heard[n] > 0 {
			return true
		}
	}
	return s.many > 3
}

// ends has the session end, the relay fall silent, and a session begin with what it said last.
func (s *search) ends() error {
	s.ear.Take(s.now, s.relay.Table().Rows(control.KindWords), true)
	if n := len(s.ear.Words(s.now + Lease)); n > 0 {
		return fmt.Errorf("%d words stand after their relay", n)
	}
	if s.ear.Lost(); len(s.ear.Words(s.now)) > 0 {
		return fmt.Errorf("words stand without a session")
	}
	s.ear.Take(s.now, s.relay.Table().Rows(control.KindWords), false)
	if n := len(s.ear.Words(s.now)); n > 0 {
		return fmt.Errorf("%d words are believed that may be long over", n)
	}
	return nil
}

// world plays a random world.
func world(t *testing.T, seed uint64, flaw faults) error {
	s := &search{bench: newBench(t, "r"), rng: rand.New(rand.NewPCG(seed, 7)), enough: map[int]int64{}, was: map[int]bool{}}
	s.Judge.flaw, s.ear.flaw = flaw, flaw
	s.many, s.zones = 1+s.rng.IntN(3), 1+s.rng.IntN(3)
	if s.rng.IntN(8) == 0 {
		s.many = 200
	}
	for i := range 4 + s.rng.IntN(8) {
		s.tellers = append(s.tellers, &teller{name: fmt.Sprint("m", i), zone: fmt.Sprint("z", s.rng.IntN(s.zones)), life: 1,
			suspect: map[int]int64{}, heard: map[int]int64{}})
	}
	busy := s.rng.IntN(4)
	for range 60 {
		for range s.rng.IntN(1 + 2*busy) {
			s.now += 5 * ms
			s.act()
		}
		s.now += Round
		s.round()
		if err := s.look(); err != nil {
			return err
		}
	}
	return s.ends()
}

// TestSearch finds nothing in random worlds, and finds each planted fault.
func TestSearch(t *testing.T) {
	t.Parallel()
	const worlds = 600
	for seed := range uint64(worlds) {
		if err := world(t, seed, faults{}); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	for name, flaw := range map[string]faults{
		"a quorum of one":                    {one: true},
		"a quorum of one zone":               {oneZone: true},
		"a sheet of an old life is believed": {oldLife: true},
		"a sheet outlives its session":       {stays: true},
		"answers do not count":               {unanswers: true},
		"a word never ends":                  {forever: true},
		"what a session begins with counts":  {stale: true},
		"words flap":                         {flaps: true},
		"words without a bound":              {unbounded: true},
	} {
		found := ""
		for seed := range uint64(worlds) {
			if err := world(t, seed, flaw); err != nil {
				found = fmt.Sprintf("seed %d: %v", seed, err)
				break
			}
		}
		if t.Logf("%s: %s", name, found); found == "" {
			t.Errorf("%s is not found in %d worlds", name, worlds)
		}
	}
}
