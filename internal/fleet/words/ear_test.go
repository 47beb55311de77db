package words

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"nettlefold/internal/fleet/control"
	"nettlefold/mixer"
)

// drawn gives rows of words as relays tell them, also such as none tells.
func drawn(t *rapid.T) control.Row {
	author := fmt.Sprint("r-", rapid.IntRange(0, 19).Draw(t, "relay"))
	r := control.Row{Kind: control.KindWords, Name: author + headName, Stamp: control.Stamp{Epoch: 1, Author: author,
		Number: rapid.Uint64Range(1, 5).Draw(t, "number")}}
	if rapid.IntRange(0, 5).Draw(t, "gone") == 0 {
		r.Gone = true
		return r
	}
	if r.Body = body(Head{r.Number, 1, 2, 3}); rapid.Bool().Draw(t, "head") {
		return r
	}
	r.Name = fmt.Sprintf("%s/%02d", author, rapid.IntRange(0, 20).Draw(t, "row"))
	var all []Told
	for range rapid.IntRange(0, perRow+1).Draw(t, "words") {
		all = append(all, Told{Searcher: fmt.Sprint("s", rapid.IntRange(0, 3).Draw(t, "s")), Started: int64(rapid.IntRange(1, 2).Draw(t, "life")),
			Kind: rapid.SampledFrom([]string{silent, sound, slow, asked, "other"}).Draw(t, "kind"), Slow: rapid.Float64().Draw(t, "slow"),
			Weight: rapid.Float64Range(-1, 9).Draw(t, "weight"), Suspecting: rapid.IntRange(-1, 5000).Draw(t, "suspecting")})
	}
	if r.Body = body(all); rapid.IntRange(0, 9).Draw(t, "garbage") == 0 {
		r.Body = json.RawMessage(`{"beat":"x"}`)
	}
	return r
}

// TestEar has rows come in any order, some twice, some that break bounds: what stands is the same, is bounded, and ends by itself.
func TestEar(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := 100 * second
		one := map[string]control.Row{} // a table has one row of a name
		var rows []control.Row
		for _, r := range rapid.SliceOfN(rapid.Custom(drawn), 0, 60).Draw(t, "rows") {
			if _, ok := one[r.Name]; !ok && len(rows) < 60 && r.Author < "r-2" { // fewer relays than are heard
				one[r.Name], rows = r, append(rows, r)
			}
		}
		a, b := NewEar(), NewEar()
		a.Take(now, rows, true)
		for _, r := range rapid.Permutation(rows).Draw(t, "order") {
			b.Take(now, []control.Row{r}, true)
		}
		b.Take(now, rows, true)
		if x, y := a.Words(now), b.Words(now); !reflect.DeepEqual(x, y) {
			t.Fatalf("one order\n%+v\nanother\n%+v", x, y)
		}
		all, _ := a.Standing(now)
		if again, _ := b.Standing(now); !reflect.DeepEqual(all, again) {
			t.Fatalf("one order\n%+v\nanother\n%+v", all, again)
		}
		for _, w := range a.Words(now) {
			if w.Until > now+Lease || w.At > now || w.Silent && w.Sound || w.Weight < 0 || w.Suspecting < 0 || w.Slow < 0 {
				t.Fatalf("%+v", w)
			}
		}
		later := now + rapid.Int64Range(1, 3*second).Draw(t, "later")
		if later >= now+Lease && len(a.Words(later)) > 0 {
			t.Fatal("a word stands after the last sign")
		}
		a.Take(later, rows, true) // told again, but no sign of life
		if later >= now+Lease && len(a.Words(later)) > 0 {
			t.Fatal("the same head is taken for a new one")
		}
		c := NewEar()
		if c.Take(now, rows, false); len(c.Words(now)) > 0 {
			t.Fatal("believed before all is settled")
		}
	})
}

// TestEarIsBounded has more relays, rows and words than there may be.
func TestEarIsBounded(t *testing.T) {
	e := NewEar()
	for r := range 40 {
		author := fmt.Sprint("r-", r)
		stamp := control.Stamp{Epoch: 1, Number: 1, Author: author}
		rows := []control.Row{{Kind: control.KindWords, Name: author + headName, Stamp: stamp, Body: body(Head{Beat: 1, Words: 64})}}
		for i := range 100 {
			var all []Told
			for n := range perRow {
				all = append(all, Told{Searcher: fmt.Sprint(r, "-", i, "-", n), Kind: silent})
			}
			rows = append(rows, control.Row{Kind: control.KindWords, Name: fmt.Sprintf("%s/%02d", author, i), Stamp: stamp, Body: body(all)})
		}
		e.Take(second, rows, true)
	}
	if n := len(e.Words(second)); n != control.MaxSeats*MostWords {
		t.Errorf("%d words", n)
	}
}

// TestJoinsRelays holds one relay's word against another's.
func TestJoinsRelays(t *testing.T) {
	take := func(e *Ear, now int64, author, kind string, suspecting int) {
		stamp := control.Stamp{Epoch: 1, Number: uint64(now), Author: author}
		w := Told{Searcher: "s", Started: 3, Kind: kind, Suspecting: suspecting}
		if kind == slow {
			w.Slow, w.Weight = float64(suspecting), 5
			w.Suspecting = 0
		}
		e.Take(now, []control.Row{{Kind: control.KindWords, Name: author + "/00", Stamp: stamp, Body: body([]Told{w})},
			{Kind: control.KindWords, Name: author + headName, Stamp: stamp, Body: body(Head{Beat: uint64(now), Words: 1})}}, true)
	}
	at := 100 * second
	for name, c := range map[string]struct {
		play func(e *Ear)
		want mixer.PeerReport
	}{
		"one says silent": {func(e *Ear) { take(e, at, "a", silent, 600) },
			mixer.PeerReport{Silent: true, At: at - recent, Until: at + Lease, Suspecting: 3}},
		"another vouches later": {func(e *Ear) { take(e, at-ms, "a", silent, 10); take(e, at, "b", sound, 2) },
			mixer.PeerReport{Sound: true, Until: at + Lease, Suspecting: 1}},
		"another vouched before": {func(e *Ear) { take(e, at-ms, "b", sound, 2); take(e, at, "a", silent, 10) },
			mixer.PeerReport{Silent: true, At: at - recent, Until: at + Lease, Suspecting: 1}},
		"it stands on": {func(e *Ear) { take(e, at-second, "a", silent, 10); take(e, at, "a", silent, 10) },
			mixer.PeerReport{Silent: true, At: at - second - recent, Until: at + Lease, Suspecting: 1}},
		"three paces": {func(e *Ear) { take(e, at, "a", slow, 9); take(e, at, "b", slow, 2); take(e, at-ms, "c", slow, 4) },
			mixer.PeerReport{Slow: 4, Weight: 15, At: at, Until: at + Lease}},
	} {
		e := NewEar()
		c.play(e)
		c.want.Searcher, c.want.Started = "s", 3
		if got := e.Words(at); len(got) != 1 || got[0] != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}

// TestJoin keeps loans and judgement apart.
func TestJoin(t *testing.T) {
	store := []mixer.PeerReport{{Searcher: "a", Until: 20, Silent: true, Lent: 3, LentUntil: 50, AwayUntil: 60}, {Searcher: "b", Until: 20, Sound: true}}
	got := Join(10, store, []mixer.PeerReport{{Searcher: "c", Until: 30, Silent: true}, {Searcher: "a", Until: 30, Slow: 2}, {Searcher: "b"}})
	want := []mixer.PeerReport{{Searcher: "a", Until: 30, Slow: 2, Lent: 3, LentUntil: 50, AwayUntil: 60}, {Searcher: "b", Until: 20, Sound: true},
		{Searcher: "c", Until: 30, Silent: true}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v", got)
	}
}
