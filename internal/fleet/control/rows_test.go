package control

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// TestOwnRows are made once a second at most, only where they say something else, within their pace, and each in its turn.
func TestOwnRows(t *testing.T) {
	r := relayOf(t, RelayOptions{Name: "r-0", Life: "1", NewPerS: 1000})
	for i := range 100 {
		join(t, r, 0, fmt.Sprint("m-", i), fmt.Sprint("z-", i))
	}
	for now := int64(0); now < 60*second; now += second {
		r.Step(now)
	}
	zones := Present(r.table, "r-0")
	if n := len(r.table.Rows(KindZone)); n != mostZones+1 || len(zones) != n || zones[0] != (ZoneCount{Mixers: 100 - mostZones}) {
		t.Errorf("%d rows, %v", n, zones)
	}
	if changed, wait := r.Step(60 * second); changed || wait != Remakes {
		t.Errorf("made anew without a reason, due in %d", wait)
	}
	start, spent, said := r.table.index, 0, map[string]int{}
	for s := int64(0); s < 300; s++ { // everything changes every quarter of a second
		for q := range int64(4) {
			now := (61+s)*second + q*second/4
			for i := range 100 {
				if err := r.Said(now, Self{Name: fmt.Sprint("m-", i), Zone: fmt.Sprint("z-", (int64(i)+s*4+q)%70),
					Rejected: Stamp{1, uint64(s*4 + q), "x"}}); err != nil {
					t.Fatal(err)
				}
			}
			before := r.table.index
			if r.Step(now); q != 0 && r.table.index != before {
				t.Fatal("made twice in a second")
			}
			rows, _ := r.table.Since(before, allKinds, 1000, 1<<20)
			for _, row := range rows {
				said[row.Name]++
				spent += r.table.rows[key{row.Kind, row.Name}].size
			}
		}
	}
	if limit := 300*Rate/2/len(seats) + 8<<10; spent > limit {
		t.Errorf("%d bytes in 300 s, not %d", spent, limit)
	}
	if said["r-0"] < 10 {
		t.Errorf("the relay's own row had its turn %d times of %d", said["r-0"], r.table.index-start)
	}
	// another version is told at once, whatever the pace
	r.table.Merge([]Row{version(3, 1, "r-1/1")})
	if changed, _ := r.Step(361*second + 1); !changed || standing(t, r, "r-0").Holds != (Stamp{3, 1, "r-1/1"}) {
		t.Error("another version is not told at once")
	}
}

// TestRowsOfALifeBefore has a relay that returned go beyond its own old rows, and say again what is gone.
func TestRowsOfALifeBefore(t *testing.T) {
	old, r := relayOf(t, RelayOptions{}), relayOf(t, RelayOptions{Name: "r-0", Life: "2"})
	for now := range int64(20) {
		join(t, old, now*second, fmt.Sprint("m-", now), "x")
		old.Step(now * second)
	}
	rows, _ := old.table.Since(0, allKinds, 100, 1<<20)
	r.Step(0)
	r.take(rows)
	r.Step(second)
	if s := standing(t, r, "r-0"); s.Life != "2" || s.Mixers != 0 || len(Present(r.table, "r-0")) != 0 {
		t.Errorf("%+v, %v", s, Present(r.table, "r-0"))
	}
	gone, _ := r.table.Get(KindZone, "r-0/east/x")
	if !gone.Gone || gone.Number <= rows[0].Number {
		t.Errorf("%+v", gone)
	}
	r.take(rows) // from one who has forgotten
	if r.Step(2 * second); true {
		if again, _ := r.table.Get(KindZone, "r-0/east/x"); !again.Gone || again.Number <= gone.Number {
			t.Errorf("%+v after %+v", again, gone)
		}
	}
	if changed, _ := r.Step(3 * second); changed {
		t.Error("it goes on")
	}
	if r.take([]Row{{Kind: KindRelay, Name: "r-9", Stamp: Stamp{1, 1, "r-9"}, Body: json.RawMessage(`{}`)}}); r.notAllowed != 1 {
		t.Error("a row of a relay without a seat is taken")
	}
}

// TestSizes tells what 900 sessions with their mixers take, and a table of seven relays.
func TestSizes(t *testing.T) {
	var seats []Seat
	for i := range 7 {
		seats = append(seats, Seat{Name: fmt.Sprint("r-", i), Region: fmt.Sprint("region-", i%4)})
	}
	r := relayOf(t, RelayOptions{Name: "r-0", Life: "0123456789abcdef", Seats: seats, Sessions: 1200, NewPerS: 1000})
	heap := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	before := heap()
	sessions := make([]*Session, 900)
	for i := range sessions {
		name := fmt.Sprintf("mixer-%04d", i)
		sessions[i] = join(t, r, 0, name, fmt.Sprint("zone-", i%3))
		if err := r.Said(0, Self{Name: name, Region: "region-0", Zone: fmt.Sprint("zone-", i%3), Relay: "r-0",
			InForce: Stamp{1, uint64(i % 4), "r-3/0123456789abcdef"}}); err != nil {
			t.Fatal(err)
		}
	}
	state := heap() - before
	for i, s := range seats {
		other := relayOf(t, RelayOptions{Name: s.Name, Life: "0123456789abcdef", Seats: seats})
		for z := range 12 {
			other.say(Row{Kind: KindZone, Name: fmt.Sprintf("%s/region-%d/zone-%d", s.Name, z%4, z/4), Body: body(ZoneCount{s.Name,
				fmt.Sprint("region-", z%4), fmt.Sprint("zone-", z/4), 300})})
		}
		other.say(Row{Kind: KindRelay, Name: s.Name, Body: body(r.standing(0))})
		rows, _ := other.table.Since(0, allKinds, 1000, 1<<20)
		if i > 0 {
			r.take(rows)
		}
	}
	r.Step(second)
	r.table.Merge([]Row{{Kind: KindSettings, Name: SettingsName, Stamp: Stamp{1, 3, "r-3/0123456789abcdef"},
		Body: json.RawMessage(`{"x":"` + strings.Repeat("x", 4000) + `"}`)}})
	told, pieces, largest, now := 0, 0, 0, int64(0)
	for {
		p, ok, wait := sessions[0].Next(now, r.table)
		if now += wait; !ok && wait == 0 {
			break
		}
		if ok {
			b, _ := json.Marshal(p)
			told, pieces, largest = told+len(b), pieces+1, max(largest, len(b))
		}
	}
	t.Logf("900 sessions: %d bytes of state, %d each; a table of %d rows, %d bytes, told in %d pieces (%d bytes, the largest %d) and "+
		"%.1f s", state, state/900, len(r.table.rows), r.table.bytes, pieces, told, largest, float64(now)/1e9)
	if state/900 > 1500 || largest > 2*PieceBytes || now > 4*second || len(r.table.rows) < 80 {
		t.Error("more than that")
	}
	runtime.KeepAlive(sessions)
}
