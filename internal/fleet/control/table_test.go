package control

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

var allKinds = []string{KindSettings, KindRelay, KindZone}

// drawn gives a row of a few names, stamps and bodies, so that all of them meet.
func drawn(t *rapid.T) Row {
	r := Row{Kind: rapid.SampledFrom(allKinds).Draw(t, "kind"),
		Stamp: Stamp{rapid.Uint64Range(0, 2).Draw(t, "epoch"), rapid.Uint64Range(0, 3).Draw(t, "number"), "a"}}
	r.Body = json.RawMessage(fmt.Sprintf(`{ "v":%d}`, rapid.IntRange(0, 2).Draw(t, "value")))
	switch r.Kind {
	case KindSettings:
		r.Name, r.Author = SettingsName, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "author")
	case KindRelay:
		r.Name = "a"
	default:
		r.Name = "a/" + rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "zone")
	}
	if r.Kind != KindSettings && rapid.Bool().Draw(t, "gone") {
		r.Gone, r.Body = true, nil
	}
	return r
}

// held writes all rows of a table by name, without indices.
func held(t *Table, gone bool) string {
	var all []string
	for _, e := range t.rows {
		if gone || !e.row.Gone {
			all = append(all, fmt.Sprint(e.row.Kind, " ", e.row.Name, " ", e.row.Stamp, " ", e.row.Gone, " ", string(e.row.Body)))
		}
	}
	slices.Sort(all)
	return strings.Join(all, "\n")
}

// sound tells what of a table's own reckoning is wrong.
func sound(t *Table) error {
	gone, size := 0, 0
	for k, e := range t.rows {
		b, err := json.Marshal(e.row)
		if err != nil || len(b) != e.size {
			return fmt.Errorf("%v has %d bytes, not %d: %v", k, len(b), e.size, err)
		}
		gone += truth(e.row.Gone)
		if k.kind != KindSettings {
			size += e.size
		}
		if !slices.Contains(t.order, place{e.index, k}) {
			return fmt.Errorf("%v has no place at %d", k, e.index)
		}
	}
	if gone != t.gone || size != t.bytes {
		return fmt.Errorf("%d gone, %d bytes, counted as %d and %d", gone, size, t.gone, t.bytes)
	}
	if !slices.IsSortedFunc(t.order, func(a, b place) int { return int(a.index) - int(b.index) }) {
		return fmt.Errorf("places are not in order")
	}
	if len(t.order) > 2*len(t.rows)+64 {
		return fmt.Errorf("%d places for %d rows", len(t.order), len(t.rows))
	}
	return nil
}

// TestJoin merges the same rows in two orders, in parts, some of them twice, and through another table.
func TestJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rows := rapid.SliceOfN(rapid.Custom(drawn), 0, 30).Draw(t, "rows")
		a, b, c := NewTable(Limits{}), NewTable(Limits{}), NewTable(Limits{})
		a.Merge(rows)
		for _, r := range rapid.Permutation(rows).Draw(t, "order") {
			b.Merge([]Row{r})
			if rapid.Bool().Draw(t, "twice") {
				b.Merge(rows[:rapid.IntRange(0, len(rows)).Draw(t, "again")])
			}
		}
		b.Merge(rows)
		if held(a, true) != held(b, true) {
			t.Fatalf("one order holds\n%s\nanother\n%s", held(a, true), held(b, true))
		}
		all, upto := a.Since(0, allKinds, 1000, 1<<20)
		if upto != a.Index() {
			t.Fatalf("all told up to %d of %d", upto, a.Index())
		}
		if c.Merge(all); held(a, true) != held(c, true) {
			t.Fatalf("passed on, it holds\n%s\nnot\n%s", held(c, true), held(a, true))
		}
		if news, _ := a.Merge(all); len(news) > 0 {
			t.Fatalf("its own rows are news: %v", news)
		}
		for _, x := range []*Table{a, b, c} {
			if err := sound(x); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// TestSession plays one follower of a table that changes while a session tells it: pieces get lost with their session, tombstones
// are forgotten, relays start anew with an older table. At the end both hold the same, and the settings row never went back.
func TestSession(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Gone: 1}
		table, life, now := NewTable(limits), 1, int64(0)
		f, err := NewFollower(0, FollowerOptions{Self: Self{Name: "m"}, Seats: []Seat{{Name: "a"}}, Window: second})
		if err != nil {
			t.Fatal(err)
		}
		var s *Session
		spent, opened, largest, best := 0, int64(0), 0, Stamp{}
		open := func() {
			for f.open < 0 {
				act, wait := f.Next(now)
				if act.Dial == nil {
					now += wait
					continue
				}
				name := fmt.Sprint("life ", life)
				s = NewSession(now, "m", true, act.Life == name && table.Known(act.Since), act.Since)
				s.room, spent, opened = 200, 0, now
				f.Opened(now, name)
			}
		}
		tell := func(lost bool) bool {
			p, ok, wait := s.Next(now, table)
			if now += wait; !ok {
				return wait > 0
			}
			b, err := json.Marshal(p)
			if err != nil || len(p.Rows) > PieceRows {
				t.Fatal(err, len(p.Rows))
			}
			if spent += len(b); int64(spent) > 2*PieceBytes+int64(largest)+Rate*(now-opened+1e8)/second {
				t.Fatalf("%d bytes in %d ns", spent, now-opened)
			}
			largest = max(largest, len(b))
			for i, r := range p.Rows {
				if r.Kind == KindSettings && i > 0 {
					t.Fatal("the settings row is not the first")
				}
			}
			if lost {
				f.Lost(now)
				return false
			}
			if _, _, err := f.Take(now, p); err != nil {
				t.Fatal(err)
			}
			if got := f.table.Settings(); got.Compare(best) < 0 {
				t.Fatalf("the settings go from %v back to %v", best, got)
			} else {
				best = got
			}
			return true
		}
		n := rapid.IntRange(1, 60).Draw(t, "steps")
		for range n {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2, 3:
				table.Merge(rapid.SliceOfN(rapid.Custom(drawn), 1, 4).Draw(t, "rows"))
			case 4:
				now += second
				f.Beat(now)
			case 5:
				if f.open >= 0 {
					tell(true)
				}
			case 6:
				if rapid.IntRange(0, 5).Draw(t, "anew") == 0 {
					old := NewTable(limits)
					rows, _ := table.Since(0, allKinds, 1000, 1<<20)
					old.Merge(rows[:rapid.IntRange(0, len(rows)).Draw(t, "kept")])
					table, life = old, life+1
					f.Lost(now)
				}
			default:
				open()
				tell(false)
			}
			if err := sound(table); err != nil {
				t.Fatal(err)
			}
		}
		open()
		for range 1000 {
			if !tell(false) {
				break
			}
		}
		want, got := held(table, false), held(f.table, false)
		if row, ok := f.table.Get(KindSettings, SettingsName); ok { // a relay with an older version never takes back a newer one
			table.Merge([]Row{row})
			want = held(table, false)
		}
		if got != want {
			t.Fatalf("the relay holds\n%s\nthe follower\n%s", want, got)
		}
		if err := sound(f.table); err != nil {
			t.Fatal(err)
		}
	})
}

func TestRowsThatBreakABound(t *testing.T) {
	good := Row{Kind: KindZone, Name: "a/x", Stamp: Stamp{1, 1, "a"}, Body: json.RawMessage(`{}`)}
	with := func(change func(*Row)) Row {
		r := good
		change(&r)
		return r
	}
	for name, r := range map[string]Row{
		"kind":             with(func(r *Row) { r.Kind = "other" }),
		"no name":          with(func(r *Row) { r.Name = "" }),
		"long name":        with(func(r *Row) { r.Name = "a/" + strings.Repeat("x", MaxName) }),
		"name of another":  with(func(r *Row) { r.Name = "b/x" }),
		"relay of another": with(func(r *Row) { r.Kind, r.Name = KindRelay, "b" }),
		"not UTF-8":        with(func(r *Row) { r.Name = "a/\xff" }),
		"no author":        with(func(r *Row) { r.Author, r.Name = "", "/x" }),
		"long author":      with(func(r *Row) { r.Author = strings.Repeat("a", MaxAuthor+1); r.Name = r.Author + "/" }),
		"number":           with(func(r *Row) { r.Number = MaxCount + 1 }),
		"epoch":            with(func(r *Row) { r.Epoch = MaxCount + 1 }),
		"no body":          with(func(r *Row) { r.Body = nil }),
		"not JSON":         with(func(r *Row) { r.Body = json.RawMessage(`{`) }),
		"long body":        with(func(r *Row) { r.Body = json.RawMessage(`"` + strings.Repeat("x", MaxBody) + `"`) }),
		"settings' name":   with(func(r *Row) { r.Kind = KindSettings }),
		"settings gone":    with(func(r *Row) { r.Kind, r.Name, r.Gone = KindSettings, SettingsName, true }),
		"long document": with(func(r *Row) {
			r.Kind, r.Name = KindSettings, SettingsName
			r.Body = json.RawMessage(`"` + strings.Repeat("x", MaxDocument) + `"`)
		}),
	} {
		table := NewTable(Limits{})
		if news, refused := table.Merge([]Row{r, good}); refused != 1 || len(news) != 1 || table.Index() != 1 {
			t.Errorf("%s: %d refused, %d taken", name, refused, len(news))
		}
	}
}

// TestTableIsBounded fills a table: rows and bytes beyond are refused, the settings row is not, and what is gone makes room.
func TestTableIsBounded(t *testing.T) {
	table := NewTable(Limits{Rows: 10, Gone: 3, Bytes: 2000})
	zone := func(i int, number uint64, bytes int) Row {
		return Row{Kind: KindZone, Name: fmt.Sprint("a/", i), Stamp: Stamp{1, number, "a"},
			Body: json.RawMessage(`"` + strings.Repeat("x", bytes) + `"`)}
	}
	for i := range 20 {
		table.Merge([]Row{zone(i, 1, 1)})
	}
	if got := len(table.Rows(KindZone)); got != 10 {
		t.Errorf("%d rows", got)
	}
	if _, refused := table.Merge([]Row{zone(1, 2, 1500)}); refused != 1 {
		t.Error("bytes beyond are not refused")
	}
	settings := Row{Kind: KindSettings, Name: SettingsName, Stamp: Stamp{1, 1, "a"},
		Body: json.RawMessage(`"` + strings.Repeat("x", MaxDocument-2) + `"`)}
	if _, refused := table.Merge([]Row{settings}); refused != 0 {
		t.Error("the settings row is refused")
	}
	before := table.Index()
	for i := range 10 {
		table.Merge([]Row{{Kind: KindZone, Name: fmt.Sprint("a/", i), Stamp: Stamp{1, 3, "a"}, Gone: true}})
	}
	if len(table.rows) != 4 || table.gone != 3 || table.Known(before) || !table.Known(table.Index()-3) || table.Known(table.Index()-4) {
		t.Errorf("%d rows, %d gone, forgotten up to %d of %d", len(table.rows), table.gone, table.forgotten, table.Index())
	}
	if _, refused := table.Merge([]Row{zone(30, 1, 1500)}); refused != 0 {
		t.Error("what is gone makes no room")
	}
	if err := sound(table); err != nil {
		t.Error(err)
	}
}
