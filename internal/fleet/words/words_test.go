package words

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"nettlefold/internal/fleet/control"
	"nettlefold/internal/sharing"
	"nettlefold/mixer"
)

// sheet writes one as a mixer would.
func sheet(t interface{ Fatal(...any) }, name, zone string, life, number uint64, rows ...sharing.Row) []byte {
	raw, err := (&sharing.Sheet{Version: 1, Mixer: name, Zone: zone, Life: life, Number: number, Rows: rows}).Append()
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// bench is one relay with its judge, and a mixer's ear that hears its table.
type bench struct {
	*Judge
	relay *control.Relay
	ear   *Ear
	index uint64
	now   int64
}

func newBench(t interface{ Fatal(...any) }, name string) *bench {
	now := 100 * second
	r, err := control.NewRelay(now, control.RelayOptions{Name: name, Life: "1", Seats: []control.Seat{{Name: name}}})
	if err != nil {
		t.Fatal(err)
	}
	return &bench{NewJudge(name), r, NewEar(), 0, now}
}

// round judges and has the ear hear what changed.
func (b *bench) round() {
	b.relay.Words(b.now, b.Round(b.now))
	rows, upto := b.relay.Table().Since(b.index, []string{control.KindWords}, 1000, 1<<20)
	b.index = upto
	b.ear.Take(b.now, rows, true)
}

// play goes on for a time in rounds.
func (b *bench) play(ns int64) {
	for end := b.now + ns; b.now < end; b.now += Round {
		b.round()
	}
}

// kinds tells the words that the relay tells.
func (b *bench) kinds() (all []string) {
	for _, m := range b.slots {
		if m != nil {
			all = append(all, m.told.Kind+" "+m.searcher)
		}
	}
	slices.Sort(all)
	return all
}

var suspected = sharing.Row{Searcher: "s", Started: 7, Suspect: 100}

func say(t *testing.T, b *bench, who int, zone string, number uint64, rows ...sharing.Row) {
	t.Helper()
	name := fmt.Sprint("m", who)
	if err := b.Heard(b.now, name, sheet(t, name, zone, uint64(who+1), number, rows...)); err != nil {
		t.Fatal(err)
	}
}

// zones gives a mixer's zone.
func zone(i int) string { return fmt.Sprint("z", i%3) }

// TestSilence tells of a silent searcher, which a quorum of two zones has to say, and takes it back when it answers.
func TestSilence(t *testing.T) {
	b := newBench(t, "r")
	for i := range 20 {
		say(t, b, i, zone(i), 1)
	}
	for i := range 4 {
		if b.round(); len(b.kinds()) != 0 || len(b.ear.Words(b.now)) != 0 {
			t.Fatalf("said by %d: %v", i, b.kinds())
		}
		if i == 3 {
			break
		}
		say(t, b, 3*i, zone(0), 2, suspected) // all of one zone
	}
	say(t, b, 1, zone(1), 2, suspected)
	b.round()
	w := b.ear.Words(b.now)
	if len(w) != 1 || !w[0].Silent || w[0].Searcher != "s" || w[0].Started != 7 || w[0].Suspecting != 1 || w[0].Until != b.now+Lease ||
		w[0].At != b.now-recent {
		t.Fatalf("%+v", w)
	}
	b.play(60 * second / 4) // it stands while they stand
	if w := b.ear.Words(b.now); len(w) != 1 || !w[0].Silent {
		t.Fatalf("after a while: %+v", w)
	}
	for i := 10; i < 13; i++ { // answers newer than their suspicion
		say(t, b, i, zone(i), 3, sharing.Row{Searcher: "s", Started: 7, Heard: 50})
	}
	b.round()
	if w := b.ear.Words(b.now); len(w) != 1 || w[0].Silent || !w[0].Sound {
		t.Fatalf("answered: %+v", w)
	}
	for i := range 4 {
		say(t, b, 3*i, zone(0), 4)
	}
	say(t, b, 1, zone(1), 4)
	b.play(2 * lull)
	if len(b.kinds()) != 0 || len(b.ear.Words(b.now)) != 0 {
		t.Errorf("at the end: %v, %v", b.kinds(), b.ear.Words(b.now))
	}
}

// TestOneZoneAlone has mixers of one zone only, which then are enough.
func TestOneZoneAlone(t *testing.T) {
	b := newBench(t, "r")
	for i := range 3 {
		say(t, b, i, "z", 1, suspected)
	}
	if b.round(); len(b.kinds()) != 1 {
		t.Error(b.kinds())
	}
}

// TestQuorumGrows needs one of a hundred mixers where there are many.
func TestQuorumGrows(t *testing.T) {
	b := newBench(t, "r")
	for i := range 900 {
		say(t, b, i, zone(i), 1)
	}
	for i := range 9 {
		if b.round(); len(b.kinds()) != 0 {
			t.Fatalf("said by %d: %v", i, b.kinds())
		}
		say(t, b, i, zone(i), 2, suspected)
	}
	if b.round(); len(b.kinds()) != 1 {
		t.Error("9 of 900 say so, nothing is told")
	}
}

// TestNothingOfAnEarlierLife takes no sheet back in time, and none after its session has ended.
func TestNothingOfAnEarlierLife(t *testing.T) {
	b := newBench(t, "r")
	for i := range 3 {
		name := fmt.Sprint("m", i)
		for _, at := range [][2]uint64{{5, 1}, {6, 1}} {
			if err := b.Heard(b.now, name, sheet(t, name, zone(i), at[0], at[1])); err != nil {
				t.Fatal(err)
			}
		}
		for _, at := range [][2]uint64{{5, 9}, {6, 1}} { // the life before, and a sheet told twice
			if err := b.Heard(b.now, name, sheet(t, name, zone(i), at[0], at[1], suspected)); err != nil {
				t.Fatal(err)
			}
		}
	}
	if b.round(); len(b.kinds()) != 0 || b.Counts().Old != 6 {
		t.Errorf("%v, %+v", b.kinds(), b.Counts())
	}
	for i := range 3 {
		say(t, b, i+10, zone(i), 1, suspected)
	}
	if b.round(); len(b.kinds()) != 1 {
		t.Fatal(b.kinds())
	}
	for i := range 3 {
		b.Left(b.now, fmt.Sprint("m", i+10))
	}
	if b.play(2 * lull); len(b.kinds()) != 0 || b.rows != 0 {
		t.Errorf("their sessions have ended: %v, %d rows", b.kinds(), b.rows)
	}
}

// TestEndsByItself has a relay say nothing more, a session end, and a session begin with what a relay that is gone said last.
func TestEndsByItself(t *testing.T) {
	start := func() *bench {
		b := newBench(t, "r")
		for i := range 3 {
			say(t, b, i, zone(i), 1, suspected)
		}
		b.play(5 * second)
		b.now -= Round // of the last round
		if len(b.ear.Words(b.now)) != 1 {
			t.Fatal(b.kinds())
		}
		return b
	}
	b := start()
	if at := b.now + Lease; len(b.ear.Words(at)) != 0 {
		t.Error("a word stands after the last sign")
	}
	for at := b.now; at < b.now+Lease; at += 50 * ms {
		for _, w := range b.ear.Words(at) {
			if w.Until > b.now+Lease {
				t.Fatalf("until %d, the last sign was at %d", w.Until, b.now)
			}
		}
	}
	b = start()
	if b.ear.Lost(); len(b.ear.Words(b.now)) != 0 {
		t.Error("a word stands without a session")
	}
	rows := b.relay.Table().Rows(control.KindWords)
	if b.ear.Take(b.now, rows, false); len(b.ear.Words(b.now)) != 0 {
		t.Error("what may be long over is believed")
	}
	b.index = b.relay.Table().Index()
	b.play(2 * Pulse)
	if len(b.ear.Words(b.now)) != 1 {
		t.Error("the relay says that its words stand, and is not believed")
	}
}

// TestASheetEnds where its mixer hangs with its session open, though not before it has had time to tell it again.
func TestASheetEnds(t *testing.T) {
	b := newBench(t, "r")
	for i := range 3 {
		say(t, b, i, zone(i), 1, suspected)
	}
	if b.play(kept - Round); len(b.kinds()) != 1 {
		t.Error("it ends early")
	}
	if b.play(3 * lull); len(b.kinds()) != 0 {
		t.Error("it never ends")
	}
}

// TestPace tells of a slow searcher after asking those who know better, and asks in vain about one that is not.
func TestPace(t *testing.T) {
	for _, truly := range []bool{true, false} {
		b := newBench(t, "r")
		number := uint64(1)
		tell := func(pace func(i int) float32, most int) {
			number++
			for i := range most {
				say(t, b, i, zone(i), number, sharing.Row{Searcher: "s", Started: 7, Heard: 100, Slow: pace(i), Weight: 2})
			}
		}
		tell(func(int) float32 { return 12 }, 4) // the unlucky
		for i := 4; i < 30; i++ {
			say(t, b, i, zone(i), 1)
		}
		if b.round(); len(b.kinds()) != 1 || b.kinds()[0] != "asked s" {
			t.Fatal(b.kinds())
		}
		if w := b.ear.Words(b.now); len(w) != 0 {
			t.Fatalf("asking alone is no word: %+v", w)
		}
		if all, _ := b.ear.Standing(b.now); len(all) != 1 || all[0].Kind != asked {
			t.Fatalf("%+v", all)
		}
		for range 4 {
			b.play(second)
			tell(func(i int) float32 {
				if truly || i < 4 {
					return 10
				}
				return 1
			}, 30)
		}
		b.play(second)
		w := b.ear.Words(b.now)
		if truly && (len(w) != 1 || w[0].Slow != 10 || w[0].Weight <= 0 || w[0].Silent) {
			t.Errorf("%+v", w)
		}
		if !truly && (len(w) != 0 || len(b.kinds()) != 0) {
			t.Errorf("%+v %v", w, b.kinds())
		}
	}
}

// TestZoneLost has far more stand out than fit: the most pressing up to the bound, the rest counted, and none of it flaps.
func TestZoneLost(t *testing.T) {
	b := newBench(t, "r")
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 900 {
		var rows []sharing.Row
		for _, n := range rng.Perm(4600)[:mostStill] {
			rows = append(rows, sharing.Row{Searcher: fmt.Sprintf("searcher-%05d", n), Started: 1764649432000000000, Suspect: 1})
		}
		say(t, b, i, zone(i), 1, rows...)
	}
	b.round()
	before := b.kinds()
	c := b.Counts()
	if len(before) != MostWords || c.Words != MostWords || c.Rest < 1000 {
		t.Fatalf("%d words, %+v", len(before), c)
	}
	began := time.Now()
	const rounds = 40
	b.play(rounds * Round)
	t.Logf("a round of 900 sheets of %d rows takes %v", mostStill, time.Since(began)/rounds)
	if !slices.Equal(before, b.kinds()) {
		t.Error("words change though nothing does")
	}
	all, rest := b.ear.Standing(b.now)
	if len(all) != MostWords || rest != c.Rest {
		t.Errorf("heard: %d words, %d beyond", len(all), rest)
	}
	bytes := 0
	for _, r := range b.relay.Table().Rows(control.KindWords) {
		raw, _ := json.Marshal(r)
		bytes += len(raw)
	}
	t.Logf("%d words in %d bytes, %d beyond", len(all), bytes, rest)
	if bytes > 12<<10 {
		t.Errorf("%d bytes", bytes)
	}
}

// TestRefused are sheets that break a bound.
func TestRefused(t *testing.T) {
	b := newBench(t, "r")
	long := make([]sharing.Row, 64)
	for i := range long {
		long[i] = sharing.Row{Searcher: fmt.Sprintf("%064d", i), Suspect: 1, Started: 1 << 60, Heard: 1 << 39, Slow: 1, Weight: 1}
	}
	for name, raw := range map[string][]byte{
		"garbage": []byte("x"), "of another": sheet(t, "m2", "z", 1, 1), "too long": slices.Repeat(sheet(t, "m1", "z", 1, 1, long...), 2),
		"asks":  sheet(t, "m1", "z", 1, 1, sharing.Row{Searcher: "s", Ask: 1}),
		"lends": sheet(t, "m1", "z", 1, 1, sharing.Row{Searcher: "s", Loans: []sharing.Loan{{To: "m", Life: 1, Number: 1, Rate: 1}}}),
	} {
		if err := b.Heard(b.now, "m1", raw); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
	if c := b.Counts(); c.Refused != 5 || c.Mixers != 0 || c.Rows != 0 {
		t.Errorf("%+v", c)
	}
}

// TestSheets are told when they change, at most once a second, in bounds, and never with loans.
func TestSheets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		now := 100 * second
		s := NewSheets(now, "m", "z", 5)
		last, told := int64(0), 0
		for range rapid.IntRange(1, 12).Draw(t, "rounds") {
			now += rapid.Int64Range(1, 3*second).Draw(t, "on")
			var own []mixer.Observation
			var doubted []Told
			for i := range rapid.SampledFrom([]int{2, 200}).Draw(t, "searchers") {
				o := mixer.Observation{Searcher: fmt.Sprintf("%064d", i), Started: 3, Heard: now - rng.Int64N(6*second), Suspect: rng.IntN(2) == 0,
					Cold: true, Want: 1, Rate: 1, Traffic: 1, Loan: 1, Quiet: true, Slow: rng.Float64() * 30, Weight: rng.Float64() * 4}
				own = append(own, o)
				if rng.IntN(5) == 0 {
					doubted = append(doubted, Told{Searcher: o.Searcher, Started: 3, Kind: []string{silent, asked, sound, slow}[rng.IntN(4)]})
				}
			}
			raw, err := s.Next(now, own, doubted)
			if err != nil || len(raw) > MostSheet {
				t.Fatal(err, len(raw))
			}
			if raw == nil {
				continue
			}
			if told++; told > 1 && now-last < Every {
				t.Fatalf("two sheets in %d ms", (now-last)/ms)
			}
			last = now
			if err := NewJudge("r").Heard(now, "m", raw); err != nil {
				t.Fatal(err)
			}
			if more, _ := s.Next(now+Every-1, own, doubted); more != nil {
				t.Fatal("told within the second")
			}
			if more, _ := s.Next(now+Every, own, doubted); more != nil {
				t.Fatal("told again though nothing has changed")
			}
		}
		if told == 0 {
			t.Fatal("the first is not told")
		}
	})
}
