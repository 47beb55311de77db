package control

import (
	"errors"
	"testing"
)

// TestContactGoesBothWays has a relay number only while a majority says that it hears it: over a line that carries one way alone
// nobody would hear of the number, and another relay would give it again.
func TestContactGoesBothWays(t *testing.T) {
	for _, c := range []struct {
		name  string
		flaw  faults
		hears []string
		gives bool
	}{
		{"heard by one of two", faults{}, []string{"r-0"}, true},
		{"heard by none", faults{}, []string{"r-2"}, false},
		{"heard by none, planted", faults{oneWay: true}, []string{"r-2"}, true},
	} {
		r, err := NewRelay(0, RelayOptions{Name: "r-0", Seats: seats, Life: "1"})
		if err != nil {
			t.Fatal(err)
		}
		r.flaw = c.flaw
		f, now := r.Followers()[0], 2*second
		if act, _ := f.Next(now); act.Dial == nil || act.Dial.Name != "r-1" {
			t.Fatalf("%s: no session is sought: %+v", c.name, act)
		}
		f.Opened(now, "2")
		row := Row{Kind: KindRelay, Name: "r-1", Stamp: Stamp{1, 1, "r-1"}, Body: body(Standing{Life: "2", Contact: c.hears})}
		if _, _, err := f.Take(now, Piece{Index: 1, Snapshot: true, Rows: []Row{row}}); err != nil {
			t.Fatal(err)
		}
		_, err = r.Give(now, []byte("{}"), nil, false)
		var none *NoMajority
		if c.gives && err != nil || !c.gives && !errors.As(err, &none) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}
