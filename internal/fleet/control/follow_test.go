package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"unicode/utf8"

	"pgregory.net/rapid"
)

var four = []Seat{{"a", "east", ""}, {"b", "east", ""}, {"c", "west", ""}, {"d", "west", ""}}

func follower(t interface{ Fatal(...any) }, name string, seed uint64, window int64) *Follower {
	f, err := NewFollower(0, FollowerOptions{Self: Self{Name: name, Region: "east", Zone: "z", Life: 7}, Seats: four, Window: window,
		Seed: seed})
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func version(epoch, number uint64, author string) Row {
	return Row{Kind: KindSettings, Name: SettingsName, Stamp: Stamp{epoch, number, author}, Body: json.RawMessage(`{}`)}
}

// TestFollowerStates has all that may happen to a follower happen in any order, also what makes no sense.
func TestFollowerStates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := follower(t, rapid.StringMatching("[a-z]{1,3}").Draw(t, "name"), rapid.Uint64().Draw(t, "seed"), 10*second)
		now, best, tried, applied := int64(0), Stamp{}, map[Stamp]bool{}, map[Stamp]bool{}
		dialled := false
		next := func() {
			for range 4 {
				open, trying := f.open, f.trying
				act, wait := f.Next(now)
				if wait < 0 || wait > Silent || wait == 0 && !act.Drop {
					t.Fatalf("waits for %d", wait)
				}
				if act.Drop && open < 0 || act.Tell && f.open < 0 {
					t.Fatal("drops or tells without a session")
				}
				if act.Dial == nil {
					if !act.Drop {
						return
					}
					continue
				}
				if trying >= 0 {
					t.Fatal("opens two sessions at once")
				}
				dialled = true
				for i := range f.trying {
					if f.seats[i].again <= now {
						t.Fatalf("passes over %v, which has not failed", f.seats[i])
					}
				}
				if f.open >= 0 && f.trying >= f.open {
					t.Fatalf("leaves seat %d for %d", f.open, f.trying)
				}
				if act.Since > 0 && act.Life != f.life {
					t.Fatal("resumes at another life")
				}
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				now += rapid.SampledFrom([]int64{1, second / 10, second, 10 * second, 100 * second}).Draw(t, "later")
			case 2, 3:
				f.Opened(now, fmt.Sprint("life ", rapid.IntRange(0, 2).Draw(t, "life")))
			case 4:
				f.Failed(now, rapid.Int64Range(0, 20*second).Draw(t, "after"))
			case 5:
				f.Lost(now)
			case 6:
				f.Beat(now)
			case 7:
				_, mark := f.Self(now)
				f.Told(now, mark, rapid.Bool().Draw(t, "told"))
			default:
				p := Piece{Index: rapid.Uint64Range(0, 5).Draw(t, "index"), Snapshot: rapid.Bool().Draw(t, "all"),
					More: rapid.Bool().Draw(t, "more")}
				if rapid.Bool().Draw(t, "settings") {
					p.Rows = append(p.Rows, version(rapid.Uint64Range(0, 1).Draw(t, "epoch"),
						rapid.Uint64Range(0, 12).Draw(t, "number"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "author")))
				}
				apply, _, err := f.Take(now, p)
				if err != nil && apply != nil {
					t.Fatal("applies what it cannot take")
				}
				if apply == nil {
					break
				}
				if apply.Compare(best) <= 0 || tried[apply.Stamp] {
					t.Fatalf("is to apply %v after %v", apply.Stamp, best)
				}
				if tried[apply.Stamp] = true; rapid.Bool().Draw(t, "good") {
					best = apply.Stamp
					applied[best] = true
					f.Applied(now, best)
				} else {
					f.Refused(now, apply.Stamp, "x", "y")
				}
			}
			if f.index > 0 && f.named != nil {
				t.Fatal("would resume in the midst of a snapshot")
			}
			if in, _ := f.InForce(); in != best || in != (Stamp{}) && !applied[in] {
				t.Fatalf("%v is in force, not %v", in, best)
			}
			next()
		}
		if len(f.refused) > mostRejected {
			t.Fatalf("keeps %d rejected versions", len(f.refused))
		}
		// whatever happened, it seeks a session within the longest wait
		if f.Lost(now); f.trying < 0 {
			f.Lost(now)
			dialled = false
			for end := now + waits + 20*second + 10*second; now <= end && !dialled; now += second {
				next()
			}
			if !dialled {
				t.Fatalf("seeks no session: %+v", f.seats)
			}
		}
	})
}

// TestTells has a mixer tell its relay of itself after a session opened and after each change, again where it was not taken.
func TestTells(t *testing.T) {
	f := follower(t, "m", 1, 10*second)
	now := int64(0)
	due := func() bool {
		act, _ := f.Next(now)
		return act.Tell
	}
	open := func() {
		for act, wait := f.Next(now); act.Dial == nil; act, wait = f.Next(now) {
			now += wait
		}
		f.Opened(now, "1")
	}
	if _, ever := f.Age(now); ever {
		t.Error("it heard of a relay before it had a session")
	}
	open()
	if due() {
		t.Error("tells before it has heard all")
	}
	apply, _, err := f.Take(now, Piece{Snapshot: true, Index: 3, Rows: []Row{version(1, 2, "a")}})
	if err != nil || apply == nil {
		t.Fatal(apply, err)
	}
	if !due() || due() {
		t.Error("does not tell once")
	}
	self, mark := f.Self(now)
	if self.InForce != (Stamp{}) || self.Relay != f.seats[0].Name || self.Heard != 0 || self.Life != 7 {
		t.Errorf("%+v", self)
	}
	f.Applied(now, apply.Stamp) // while it is told
	if f.Told(now, mark, true); !due() {
		t.Error("does not tell what changed meanwhile")
	}
	self, mark = f.Self(now)
	f.Told(now, mark, false)
	waited := now
	for !due() {
		f.Beat(now)
		now += second / 10
	}
	if waited = now - waited; self.InForce != (Stamp{1, 2, "a"}) || waited < second/2 || waited > 2*second {
		t.Errorf("%+v told again after %d", self, waited)
	}
	if f.Told(now, mark, true); due() {
		t.Error("tells without a reason")
	}
	f.Take(now, Piece{Index: 4, Rows: []Row{version(1, 3, "a")}})
	f.Refused(now, Stamp{1, 3, "a"}, "OverShareWorth", strings.Repeat("é", MaxName))
	if self, _ = f.Self(now); !due() || self.Rejected != (Stamp{1, 3, "a"}) || self.InForce != (Stamp{1, 2, "a"}) ||
		len(self.Value) > MaxName || !utf8.ValidString(self.Value) {
		t.Errorf("%+v", self)
	}
	lost := now
	f.Lost(now)
	open()
	f.Take(now, Piece{Snapshot: true, Index: 4})
	if self, _ = f.Self(now); self.Heard != max(now-lost, 1) {
		t.Errorf("silent for %d, not %d", self.Heard, now-lost)
	}
	_, old := f.Self(now)
	f.Lost(now)
	open()
	f.Take(now, Piece{Snapshot: true, Index: 4})
	if f.Told(now, old, true); !due() { // what an earlier session's relay took is not told to this one
		t.Error("does not tell the next relay")
	}
	now += 3 * second
	if age, ever := f.Age(now); age != 3*second || !ever {
		t.Errorf("what it has is %d old", age)
	}
	if _, _, err := f.Take(now, Piece{Index: 3}); !errors.Is(err, ErrIndex) {
		t.Errorf("an index that goes back: %v", err)
	}
	if act, _ := f.Next(now); !act.Drop {
		t.Error("keeps a session that tells nonsense")
	}
}

// TestSnapshotWithoutEnd has a relay name rows for ever.
func TestSnapshotWithoutEnd(t *testing.T) {
	f := follower(t, "m", 1, second)
	f.trying = 0
	f.Opened(0, "1")
	for i := range 10 * DefaultLimits.Rows {
		r := Row{Kind: KindZone, Name: fmt.Sprint("a/", i), Stamp: Stamp{1, 1, "a"}, Body: json.RawMessage(`{}`)}
		if _, _, err := f.Take(0, Piece{Snapshot: i == 0, More: true, Rows: []Row{r}}); err != nil {
			if !errors.Is(err, ErrEndless) || len(f.table.rows) > DefaultLimits.Rows {
				t.Errorf("%v, %d rows", err, len(f.table.rows))
			}
			return
		}
	}
	t.Error("takes it")
}

// TestLargeDocument goes alone, at once, and is paid for before the next piece.
func TestLargeDocument(t *testing.T) {
	table := NewTable(Limits{})
	for i := range 50 {
		table.Merge([]Row{{Kind: KindZone, Name: fmt.Sprint("a/", i), Stamp: Stamp{1, 1, "a"}, Body: json.RawMessage(`{}`)}})
	}
	large := version(1, 1, "a")
	large.Body = json.RawMessage(`"` + strings.Repeat("x", MaxDocument-2) + `"`)
	table.Merge([]Row{large})
	s := NewSession(0, "m", true, false, 0)
	p, ok, _ := s.Next(0, table)
	if !ok || len(p.Rows) != 1 || p.Rows[0].Kind != KindSettings || !p.More || !p.Snapshot {
		t.Fatalf("%d rows, more %v", len(p.Rows), p.More)
	}
	_, ok, wait := s.Next(0, table)
	if ok || wait < 2*second || wait > 4*second {
		t.Errorf("the next one after %d", wait)
	}
	if p, ok, _ = s.Next(wait, table); !ok || len(p.Rows) == 0 || p.Rows[0].Name != "a/0" {
		t.Errorf("%+v", p)
	}
}
