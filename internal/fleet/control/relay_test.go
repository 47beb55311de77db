package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
)

func relayOf(t testing.TB, o RelayOptions) *Relay {
	t.Helper()
	if o.Name == "" {
		o.Name, o.Life = "r-0", "1"
	}
	if o.Seats == nil {
		o.Seats = seats
	}
	r, err := NewRelay(0, o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func join(t testing.TB, r *Relay, now int64, name, zone string) *Session {
	t.Helper()
	s, err := r.Join(now, name, true, 0, "")
	if err == nil {
		err = r.Said(now, Self{Name: name, Region: "east", Zone: zone})
	}
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func standing(t testing.TB, r *Relay, name string) (s Standing) {
	t.Helper()
	row, ok := r.table.Get(KindRelay, name)
	if !ok || json.Unmarshal(row.Body, &s) != nil {
		t.Fatalf("no row of %s", name)
	}
	return s
}

func TestOptionsOfARelay(t *testing.T) {
	for name, o := range map[string]RelayOptions{
		"no seat":   {Name: "x", Life: "1", Seats: seats},
		"no life":   {Name: "r-0", Seats: seats},
		"long life": {Name: "r-0", Life: strings.Repeat("1", MaxAuthor), Seats: seats},
		"too many":  {Name: "r-0", Life: "1", Seats: append(slices.Repeat([]Seat{{Name: "r"}}, MaxSeats), seats[0])},
	} {
		if _, err := NewRelay(0, o); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// TestGive goes through what a relay needs to give a version, in a world of good lines.
func TestGive(t *testing.T) {
	alone := relayOf(t, RelayOptions{})
	var no *NoMajority
	if _, err := alone.Give(0, []byte(`{}`), nil, false); !errors.As(err, &no) || no.Heard != 1 || no.Needed != 2 {
		t.Errorf("alone: %v", err)
	}
	w := newWorld(1, faults{})
	w.run(40)
	r := w.nodes[0].relay
	long := `{"x":"` + strings.Repeat("x", MaxDocument) + `"}`
	for name, doc := range map[string]string{"none": "", "list": "[]", "broken": "{", "long": long} {
		if _, err := r.Give(w.now(), []byte(doc), nil, false); !errors.Is(err, ErrDocument) {
			t.Errorf("%s: %v", name, err)
		}
	}
	one, err := r.Give(w.now(), []byte(`{"a": 1}`), &Stamp{}, false)
	if err != nil || one.Epoch != 1 || one.Number != 1 || one.Author != "r-0/"+r.o.Life || string(one.Body) != `{"a":1}` {
		t.Fatalf("%+v, %v", one, err)
	}
	if held := r.Held(one.Stamp); held != 1 {
		t.Errorf("held by %d at once", held)
	}
	w.run(20)
	if held := r.Held(one.Stamp); held != 3 {
		t.Errorf("held by %d after 5 s", held)
	}
	var not *NotNewest
	if _, err := r.Give(w.now(), []byte(`{}`), &Stamp{}, false); !errors.As(err, &not) || not.Newest != one.Stamp {
		t.Errorf("after none: %v", err)
	}
	two, err := w.nodes[1].relay.Give(w.now(), []byte(`{}`), &Stamp{Epoch: 1, Number: 1}, false)
	if err != nil || two.Number != 2 {
		t.Errorf("%+v, %v", two, err)
	}
	// at the same moment at another relay: the greater author counts, which the other's status says
	same, err := r.Give(w.now(), []byte(`{}`), nil, false)
	if err != nil || same.Number != 2 {
		t.Fatalf("%+v, %v", same, err)
	}
	w.run(20)
	a, b := r.Status(w.now()), w.nodes[1].relay.Status(w.now())
	if a.Version != two.Stamp || !a.Overtaken || b.Version != two.Stamp || b.Overtaken || a.Held != 3 {
		t.Errorf("status %+v and %+v", a, b)
	}
	new, err := r.Give(w.now(), []byte(`{}`), nil, true)
	if err != nil || new.Epoch != 2 || new.Number != 1 {
		t.Errorf("%+v, %v", new, err)
	}
	// a mixer comes with a version that no relay has
	w.run(20)
	m := w.nodes[3].follower
	to, _ := m.Following()
	at := w.nodes[slices.IndexFunc(seats, func(s Seat) bool { return s.Name == to.Name })].relay
	if err := at.Said(w.now(), Self{Name: m.o.Self.Name, InForce: Stamp{2, 40, "x"}}); err != nil {
		t.Fatal(err)
	}
	w.run(20)
	for _, n := range w.nodes[:relays] {
		if s := n.relay.Status(w.now()); s.Newest != (Stamp{2, 40, "x"}) || s.Version != new.Stamp {
			t.Errorf("%s: newest %v, held %v", n.name, s.Newest, s.Version)
		}
	}
	beyond, err := w.nodes[2].relay.Give(w.now(), []byte(`{}`), nil, false)
	if err != nil || beyond.Number != 41 {
		t.Errorf("%+v, %v", beyond, err)
	}
	if err := at.Said(w.now(), Self{Name: m.o.Self.Name, InForce: Stamp{2, MaxCount, "x"}}); err != nil {
		t.Fatal(err)
	}
	if _, err := at.Give(w.now(), []byte(`{}`), nil, false); !errors.Is(err, ErrFull) {
		t.Errorf("at the greatest number: %v", err)
	}
	if _, err := at.Give(w.now(), []byte(`{}`), nil, true); err != nil {
		t.Errorf("a new epoch: %v", err)
	}
	if w.wrong != "" {
		t.Error(w.wrong)
	}
}

// TestContactIsLost has a relay that hears nobody any more give versions until the others count as away, and no longer.
func TestContactIsLost(t *testing.T) {
	w := newWorld(2, faults{})
	w.run(40)
	for o := range relays {
		w.cut[0][o], w.cut[o][0] = true, true
	}
	var given, refused int64
	for range 40 {
		w.step()
		if _, err := w.nodes[0].relay.Give(w.now(), []byte(`{}`), nil, false); err == nil {
			given = w.now()
		} else if refused == 0 {
			refused = w.now()
		}
	}
	if given >= refused || refused > 40*tick+Away+tick {
		t.Errorf("the last version is given at %d, the first refused at %d", given, refused)
	}
	if names, need := w.nodes[0].relay.Contact(w.now()); len(names) != 0 || need != 2 {
		t.Errorf("hears %v, needs %d", names, need)
	}
}

// TestRelayWaitsForItsMixers has a lone relay that knows no version wait for those that its mixers have.
func TestRelayWaitsForItsMixers(t *testing.T) {
	r := relayOf(t, RelayOptions{Name: "r-0", Life: "2", Seats: seats[:1], Wait: 10 * second})
	var no *NoMajority
	if _, err := r.Give(9*second, []byte(`{}`), nil, false); !errors.As(err, &no) || no.After != second {
		t.Errorf("within the wait: %v", err)
	}
	join(t, r, 9*second, "m", "z")
	if err := r.Said(9*second, Self{Name: "m", InForce: Stamp{1, 7, "r-0/1"}}); err != nil {
		t.Fatal(err)
	}
	if row, err := r.Give(9*second, []byte(`{}`), nil, false); err != nil || row.Number != 8 {
		t.Errorf("%+v, %v", row, err)
	}
}

// TestMembers counts mixers once, whatever their sessions, and forgets them.
func TestMembers(t *testing.T) {
	r := relayOf(t, RelayOptions{})
	mixers := func(now int64) int { r.Step(now); return standing(t, r, "r-0").Mixers }
	a := join(t, r, 0, "a", "x")
	again := join(t, r, second/10, "a", "x")
	b := join(t, r, second/5, "b", "y")
	if n := mixers(second); n != 2 || r.Status(second).Sessions != 3 {
		t.Errorf("%d mixers in %d sessions", n, r.Status(second).Sessions)
	}
	r.Leave(2*second, a, false)
	r.Leave(2*second, a, false) // once only
	if n := mixers(2 * second); n != 2 {
		t.Errorf("%d mixers with one of two sessions left", n)
	}
	r.Leave(3*second, again, false)
	r.Leave(3*second, b, true)
	if n := mixers(4 * second); n != 1 {
		t.Errorf("%d mixers after a goodbye", n)
	}
	if err := r.Said(7*second, Self{Name: "a", InForce: Stamp{1, 1, "x"}}); err != nil {
		t.Error(err)
	}
	if n := mixers(7 * second); n != 1 {
		t.Errorf("%d mixers within 5 s", n)
	}
	if n := mixers(8 * second); n != 0 || len(r.members) != 0 {
		t.Errorf("%d mixers after 5 s", n)
	}
	if err := r.Said(8*second, Self{Name: "a"}); !errors.Is(err, ErrUnknown) {
		t.Errorf("one without a session: %v", err)
	}
	if zones := Present(r.table, "r-0"); len(zones) != 0 {
		t.Errorf("still there: %v", zones)
	}
	if s := standing(t, r, "r-0"); s.Told != (Stamp{1, 1, "x"}) {
		t.Errorf("what it told is forgotten: %+v", s)
	}
}

func TestWhoIsRefused(t *testing.T) {
	r := relayOf(t, RelayOptions{Name: "r-0", Life: "1", Sessions: 12, NewPerS: 4})
	for _, name := range []string{"", strings.Repeat("x", MaxName+1), "\xff"} {
		if _, err := r.Join(0, name, true, 0, ""); err == nil {
			t.Errorf("%q has a session", name)
		}
	}
	if _, err := r.Join(0, "r-9", false, 0, ""); err == nil {
		t.Error("a relay without a seat has a session")
	}
	var busy *Busy
	in, now := 0, int64(0)
	for ; now < 5*second; now += second / 20 {
		if _, err := r.Join(now, fmt.Sprint("m-", now), true, 0, ""); err == nil {
			in++
		} else if !errors.As(err, &busy) || busy.After <= 0 {
			t.Fatal(err)
		}
		if most := min(12, 5+int(4*now/second)); in > most {
			t.Fatalf("%d sessions after %d ns", in, now)
		}
	}
	if in != 12 {
		t.Errorf("%d sessions, not all of the share", in)
	}
	for range 2 * 2 {
		if _, err := r.Join(now, "r-1", false, 0, ""); err != nil {
			t.Error(err)
		}
	}
	if _, err := r.Join(now, "r-1", false, 0, ""); !errors.As(err, &busy) {
		t.Errorf("a relay's many sessions: %v", err)
	}
	name := fmt.Sprint("m-", 0)
	for why, s := range map[string]Self{
		"long zone": {Name: name, Zone: strings.Repeat("z", MaxName+1)}, "not UTF-8": {Name: name, Region: "\xff"},
		"number": {Name: name, InForce: Stamp{1, MaxCount + 1, "a"}}, "epoch": {Name: name, Rejected: Stamp{MaxCount + 1, 1, "a"}},
		"author": {Name: name, Rejected: Stamp{1, 1, strings.Repeat("a", MaxAuthor+1)}},
	} {
		if err := r.Said(0, s); err == nil {
			t.Errorf("%s is taken", why)
		}
	}
	if r.told != (Stamp{}) || r.Status(0).Refused == 0 {
		t.Errorf("told %v, %d refused", r.told, r.Status(0).Refused)
	}
}
