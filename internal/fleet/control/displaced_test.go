package control

import (
	"fmt"
	"testing"
)

// giveTo has a relay without peers number a document.
func giveTo(t *testing.T, r *Relay, now int64, doc string) Stamp {
	t.Helper()
	row, err := r.Give(now, r.Ask(now), []byte(doc), nil, false)
	if err != nil {
		t.Fatal(err)
	}
	return row.Stamp
}

// proven gives the stamp of a relay's proven version.
func proven(r *Relay) Stamp {
	row, _ := r.table.Get(KindSettings, ProvenName)
	return row.Stamp
}

func lone(t *testing.T) *Relay {
	return relayOf(t, RelayOptions{Name: "r-0", Life: "1", Seats: seats[:1]})
}

// TestNewcomerHasNoGoodVersionWhenTheReportCameAfterTheNext has a mixer's report of the good version arrive after the bad one was given:
// a newcomer is still told the good one.
func TestNewcomerHasNoGoodVersionWhenTheReportCameAfterTheNext(t *testing.T) {
	r := lone(t)
	join(t, r, 0, "m", "z")
	good := giveTo(t, r, 0, `{"a":1}`)
	bad := giveTo(t, r, 0, `{"Bad":1}`)
	if err := r.Said(second, Self{Name: "m", InForce: good, Rejected: bad}); err != nil {
		t.Fatal(err)
	}
	late, err := r.Join(2*second, "late", true, 0, "")
	if err != nil {
		t.Fatal(err)
	}
	told := map[Stamp]bool{}
	for range 10 {
		piece, ok, _ := late.Next(2*second, r.table)
		if !ok {
			break
		}
		for _, row := range piece.Rows {
			told[row.Stamp] = row.Kind == KindSettings
		}
	}
	if !told[good] || !told[bad] {
		t.Errorf("told %v, want %v and %v", told, good, bad)
	}
}

// TestProvenVersionDoesNotGoBack reports versions in either order: the greatest that is in force anywhere stays the proven one.
func TestProvenVersionDoesNotGoBack(t *testing.T) {
	r := lone(t)
	join(t, r, 0, "a", "z")
	join(t, r, 0, "b", "z")
	first := giveTo(t, r, 0, `{"a":1}`)
	next := giveTo(t, r, 0, `{"a":2}`)
	giveTo(t, r, 0, `{"Bad":1}`)
	for _, step := range []struct {
		mixer string
		force Stamp
		want  Stamp
	}{{"a", first, first}, {"b", next, next}, {"a", first, next}, {"a", Stamp{9, 9, "x"}, next}} {
		if err := r.Said(0, Self{Name: step.mixer, InForce: step.force}); err != nil {
			t.Fatal(err)
		}
		if got := proven(r); got != step.want {
			t.Errorf("%s reports %v: %v is proven, want %v", step.mixer, step.force, got, step.want)
		}
	}
	if len(r.displaced.rows) != 0 {
		t.Errorf("%d versions are kept that can no longer be proven", len(r.displaced.rows))
	}
}

// TestDisplacedVersionsAreBounded gives many versions that no mixer reports.
func TestDisplacedVersionsAreBounded(t *testing.T) {
	r := lone(t)
	for i := range 3 * mostDisplaced {
		giveTo(t, r, int64(i)*second, fmt.Sprintf(`{"a":%d}`, i))
	}
	if len(r.displaced.rows) != mostDisplaced {
		t.Errorf("%d versions are kept, want %d", len(r.displaced.rows), mostDisplaced)
	}
}
