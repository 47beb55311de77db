package sharing

import (
	"errors"
	"fmt"
	"math"
	"runtime"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"nettlefold/mixer"
)

// said has a board hear a sheet of a mixer.
func said(t *testing.T, b *Board, now int64, name, zone string, life, number uint64, rows ...Row) {
	t.Helper()
	raw, err := (&Sheet{Version: version, Mixer: name, Zone: zone, Life: life, Number: number, Rows: rows}).Append()
	if err != nil {
		t.Fatal(err)
	}
	if err := b.Heard(now, raw); err != nil {
		t.Fatal(err)
	}
}

func known(searchers ...string) (all []mixer.Observation) {
	for _, s := range searchers {
		all = append(all, mixer.Observation{Searcher: s, Started: 7})
	}
	return all
}

func TestAThingIsBelievedOfTwoAndOfTwoZones(t *testing.T) {
	silent := Row{Searcher: "s", Started: 7, Suspect: 100}
	for _, c := range []struct {
		what     string
		zones    []string // of those who say it
		well     int      // how many have just heard from it
		ago      int64    // since it answered here, 0: never
		believed bool
	}{
		{"one", []string{"a"}, 0, 0, false},
		{"two of the own zone", []string{"a", "a"}, 0, 0, true},
		{"two of another zone", []string{"b", "b"}, 0, 0, false},
		{"two of two zones", []string{"b", "c"}, 0, 0, true},
		{"as many know better", []string{"a", "b"}, 2, 0, false},
		{"it has just answered here", []string{"a", "a"}, 0, answered - 1, false},
		{"it has answered here, before", []string{"a", "a"}, 0, answered, true},
	} {
		now, own := 5000*ms, known("s")
		if c.ago > 0 {
			own[0].Heard = now - c.ago
		}
		b := NewBoard(0, "me", "a", 1)
		for i, zone := range c.zones {
			said(t, b, now-100, fmt.Sprint("m", i), zone, 1, 1, silent)
		}
		for i := range c.well {
			said(t, b, now-100, fmt.Sprint("w", i), "a", 1, 1, Row{Searcher: "s", Started: 7, Heard: 10})
		}
		words := b.Words(now, own)
		if got := len(words) == 1 && words[0].Silent; got != c.believed {
			t.Errorf("%s: believed %v, want %v: %+v", c.what, got, c.believed, words)
		}
		if words := b.Words(now+Lease, own); len(words) != 0 {
			t.Errorf("%s: still said after a lease: %+v", c.what, words)
		}
		if other := b.Words(now, []mixer.Observation{{Searcher: "s", Started: 8}}); len(other) != 0 {
			t.Errorf("%s: said of another process: %+v", c.what, other)
		}
	}
}

func TestPaceIsTheMedianAndWaitsForThoseWhoKnowBetter(t *testing.T) {
	b := NewBoard(0, "me", "a", 1)
	for i, slow := range []float32{1, 4, 1000} {
		said(t, b, 100, fmt.Sprint("m", i), "a", 1, 1, Row{Searcher: "s", Started: 7, Slow: slow, Weight: 4, Heard: 1})
	}
	if words := b.Words(100, known("s")); len(words) == 1 && words[0].Slow > 0 {
		t.Errorf("believed at once: %+v", words)
	}
	if words := b.Words(100+hearing, known("s")); len(words) != 1 || words[0].Slow != 4 {
		t.Errorf("%+v, want the median 4", words)
	}
}

func TestAStoreThatGoesBackHasNothingCountedTwice(t *testing.T) {
	b := NewBoard(0, "me", "a", 1)
	said(t, b, 100, "m", "a", 1, 5, Row{Searcher: "s", Started: 7, Suspect: 1})
	said(t, b, 200, "m", "a", 2, 1) // started anew: says nothing bad
	for _, number := range []uint64{4, 5, 6} {
		said(t, b, 300, "m", "a", 1, number, Row{Searcher: "s", Started: 7, Suspect: 1}) // of its earlier life
	}
	if c := b.Counts(300); c.Sheets != 2 || c.Stale != 3 || len(b.others["m"].rows) != 0 {
		t.Errorf("%+v", c)
	}
}

func TestALoanCountsOnceAndEndsByItsOwnSheet(t *testing.T) {
	b := NewBoard(0, "me", "a", 9)
	cold := []mixer.Observation{{Searcher: "s", Started: 7, Cold: true, Rate: 1, Want: 5, Traffic: 5}}
	b.Compose(1000*ms, cold)
	lend := func(now int64, life, number, of uint64, rate float64) float64 {
		said(t, b, now, "l", "a", 1, number, Row{Searcher: "s", Started: 7, Loans: []Loan{{"me", life, of, rate}}})
		sum := 0.0
		for _, w := range b.Words(now, cold) {
			if now < w.LentUntil {
				sum += w.Lent
			}
		}
		return sum
	}
	if got := lend(1100*ms, 8, 1, 1, 3); got != 0 {
		t.Errorf("a loan to an earlier life gives %v", got)
	}
	if got := lend(1200*ms, 9, 2, 1, 3); got != 3 {
		t.Errorf("a loan gives %v, want 3", got)
	}
	if got := lend(1300*ms, 9, 3, 1, 3); got != 3 {
		t.Errorf("told again it gives %v, want 3", got)
	}
	if got := lend(1300*ms, 9, 4, 77, 3); got != 3 {
		t.Errorf("one for a sheet that was never made gives %v in all, want 3", got)
	}
	end := 1000*ms + sound.use
	if got := lend(end, 9, 5, 1, 3); got != 0 {
		t.Errorf("after its end it gives %v", got)
	}
	if c := b.Counts(end); c.Borrowed != 1 || c.Misaddressed != 2 || c.Late != 1 {
		t.Errorf("%+v", c)
	}
}

func TestALenderGivesItsWholeShareOnceAndOnlyWhenQuiet(t *testing.T) {
	now := sound.hold + 1
	own := func(quiet bool, traffic float64) []mixer.Observation {
		return []mixer.Observation{{Searcher: "s", Started: 7, Cold: true, Rate: 1, Loan: 2, Quiet: quiet, Traffic: traffic}}
	}
	ask := Row{Searcher: "s", Started: 7, Ask: 9}
	for _, c := range []struct {
		what    string
		at      int64
		quiet   bool
		traffic float64
		lent    float64
	}{
		{"quiet and idle", now, true, 1, 2}, {"just sent there", now, false, 1, 0},
		{"has use for it", now, true, 4, 0}, {"has just started", now - 2, true, 1, 0},
	} {
		b := NewBoard(0, "me", "a", 9)
		said(t, b, c.at-10, "x", "a", 1, 1, ask)
		said(t, b, c.at-10, "y", "a", 1, 1, ask)
		sum := 0.0
		for _, r := range b.Compose(c.at, own(c.quiet, c.traffic)).Rows {
			for _, l := range r.Loans {
				sum += l.Rate
			}
		}
		if math.Abs(sum-c.lent) > 1e-9 {
			t.Errorf("%s: lends %v, want %v", c.what, sum, c.lent)
		}
		words := b.Words(c.at, own(c.quiet, c.traffic))
		if away := len(words) == 1 && words[0].AwayUntil == c.at+GivenUp; away != (c.lent > 0) {
			t.Errorf("%s: its share is given up: %v: %+v", c.what, away, words)
		}
	}
}

// TestLoansOfALenderNeverExceedItsShare has borrowers come and go; what is lent of one share at any time counts, each
// borrower with the greatest of its loans.
func TestLoansOfALenderNeverExceedItsShare(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := NewBoard(0, "me", "a", 9)
		now := sound.hold + 1
		numbers := map[string]uint64{}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			name := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(rt, "who")
			numbers[name]++
			said(t, b, now, name, "a", 1, numbers[name], Row{Searcher: "s", Started: 7, Ask: float64(rapid.IntRange(0, 9).Draw(rt, "asks"))})
			b.Compose(now, []mixer.Observation{{Searcher: "s", Started: 7, Cold: true, Rate: 1, Loan: 2, Quiet: true, Traffic: 0.1}})
			if away := b.ledger.away(now, process{"s", 7}); away > 2+1e-9 {
				rt.Fatalf("%v is lent of 2", away)
			}
			now += int64(rapid.IntRange(1, 700).Draw(rt, "ms")) * ms
		}
	})
}

func TestSheetsAreReadWholeOrNotAtAll(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &Sheet{Version: version, Mixer: "m", Life: 1, Number: 1}
		for i := range rapid.IntRange(0, maxRows).Draw(rt, "rows") {
			s.Rows = append(s.Rows, Row{Searcher: fmt.Sprint("s", i), Started: rapid.Int64().Draw(rt, "started"),
				Slow: float32(rapid.IntRange(0, 99).Draw(rt, "slow")), Suspect: int64(rapid.IntRange(0, 9).Draw(rt, "suspect"))})
		}
		raw, err := s.Append()
		if err != nil {
			rt.Fatal(err)
		}
		back, err := ReadSheet(raw)
		if err != nil || fmt.Sprint(back) != fmt.Sprint(s) {
			rt.Fatalf("%v, %v", back, err)
		}
		cut := raw[:rapid.IntRange(0, len(raw)-1).Draw(rt, "cut")]
		if _, err := ReadSheet(cut); !errors.Is(err, ErrGarbage) {
			rt.Fatalf("a cut sheet: %v", err)
		}
		ReadSheet(rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(rt, "noise")) // must not panic
	})
}

func TestUnsoundSheetsArePassedOverAndCounted(t *testing.T) {
	b := NewBoard(0, "me", "a", 1)
	sheet := func(change func(*Sheet)) []byte {
		s := &Sheet{Version: version, Mixer: "m", Life: 1, Number: 1, Rows: []Row{{Searcher: "s"}}}
		change(s)
		raw, _ := cbor.Marshal(s)
		return raw
	}
	extra, _ := cbor.Marshal(map[int]any{1: version, 2: "m", 4: 1, 5: 1, 99: "of the future"})
	for what, raw := range map[string][]byte{
		"nothing": nil, "text": []byte("hello"), "a row without a name": sheet(func(s *Sheet) { s.Rows[0].Searcher = "" }),
		"a pace that is no number": sheet(func(s *Sheet) { s.Rows[0].Slow = float32(math.NaN()) }),
		"a rate below nothing":     sheet(func(s *Sheet) { s.Rows[0].Loans = []Loan{{"me", 1, 1, -1}} }),
		"a rate without end":       sheet(func(s *Sheet) { s.Rows[0].Loans = []Loan{{"me", 1, 1, math.Inf(1)}} }),
		"an age beyond reckoning":  sheet(func(s *Sheet) { s.Rows[0].Heard = 1 << 60 }),
		"too many rows":            sheet(func(s *Sheet) { s.Rows = make([]Row, maxRows+1) }),
		"an unknown field":         extra,
	} {
		if err := b.Heard(1, raw); !errors.Is(err, ErrGarbage) {
			t.Errorf("%s: %v", what, err)
		}
	}
	if err := b.Heard(1, sheet(func(s *Sheet) { s.Version = version + 1 })); !errors.Is(err, ErrVersion) {
		t.Errorf("another version: %v", err)
	}
	if c := b.Counts(1); c.Garbage != 9 || c.Foreign != 1 || c.Sheets != 0 {
		t.Errorf("%+v", c)
	}
}

// TestSizeGrowsWithTheMixersHeard states what a board of a large site holds and what a round carries: 1,000 searchers of
// which every one stands out, so that sheets are as full as they may be.
func TestSizeGrowsWithTheMixersHeard(t *testing.T) {
	var all []mixer.Observation
	for i := range 1000 {
		all = append(all, mixer.Observation{Searcher: fmt.Sprintf("searcher-%04d", i), Started: 1_700_000_000_000_000_000 + int64(i), Heard: 1,
			Pace: 1e8, Slow: 3 + float64(i)/1000, Weight: 5, Suspect: i%2 == 0})
	}
	held := map[int]int{}
	round := map[int]int{}
	for _, mixers := range []int{50, 100, 200} {
		var raws [][]byte
		for i := range mixers {
			raw, err := NewBoard(0, fmt.Sprintf("mixer-%04d", i), "a", uint64(i+1)).Compose(1000*ms, all).Append()
			if err != nil {
				t.Fatal(err)
			}
			raws = append(raws, raw)
			round[mixers] += len(raw)
		}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		b := NewBoard(0, "me", "a", 1)
		for _, raw := range raws {
			if err := b.Heard(1100*ms, raw); err != nil {
				t.Fatal(err)
			}
		}
		b.Words(1200*ms, all)
		runtime.GC()
		runtime.ReadMemStats(&after)
		held[mixers] = int(after.HeapAlloc - before.HeapAlloc)
		runtime.KeepAlive(b)
		t.Logf("%d mixers, 1,000 searchers: a mixer holds %d kB, a round carries %d kB", mixers, held[mixers]>>10, round[mixers]>>10)
	}
	if held[200] > 8<<20 || round[200] > 200*maxRows*48 {
		t.Errorf("200 mixers: %d bytes held, %d carried a round", held[200], round[200])
	}
	if float64(held[200]) > 2.4*float64(held[100]) || round[200] > 2*round[100]+MaxSheet {
		t.Errorf("it grows faster than linearly: %v, %v", held, round)
	}
}

func TestCircuitOpensAndTriesOneAtATime(t *testing.T) {
	c := NewCircuit(func() float64 { return 0.5 })
	now := int64(0)
	for i := range 3 {
		if !c.May(now) {
			t.Fatalf("open after %d failures", i)
		}
		c.Done(now, Late+1, true) // an answer, but late
	}
	if !c.Open() || c.May(now) || c.May(now+firstWait-1) || !c.May(now+firstWait) {
		t.Errorf("after three late answers: open %v", c.Open())
	}
	tries := 0
	for end := now + 60_000*ms; now < end; now += 10 * ms {
		if c.May(now) {
			tries++
			c.Done(now, 0, false)
		}
	}
	if tries < 6 || tries > 14 {
		t.Errorf("%d tries in a minute", tries)
	}
	c.Done(now, ms, true)
	if c.Open() || !c.May(now) || c.Trips() != 1 {
		t.Errorf("after an answer: open %v, %d trips", c.Open(), c.Trips())
	}
}
