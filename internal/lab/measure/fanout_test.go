package measure

import (
	"slices"
	"testing"
	"time"

	"nettlefold/internal/lab/fanout"
)

// A part that costs too much and a list that others wait for too long make the measurement fail; the quick form judges no times.
func TestFanoutClaims(t *testing.T) {
	failing := func(claims []Claim) (n int) {
		for _, c := range claims {
			if !c.Holds {
				n++
			}
		}
		return n
	}
	good := fanout.Figures{Time: fanout.MostTime, Allocations: 2, LongestCall: time.Millisecond}
	bad := fanout.Figures{Time: fanout.Generous*fanout.MostTime + 1, Allocations: 2.1, LongestCall: fanout.Generous*fanout.MostHold + 1}
	part, list := fanout.Case{Judged: true}, fanout.Case{List: true}
	for _, c := range []struct {
		of     fanout.Case
		f      fanout.Figures
		quick  bool
		claims int
		fail   int
	}{
		{part, good, false, 2, 0}, {part, bad, false, 2, 2}, {part, bad, true, 1, 1}, {part, good, true, 1, 0},
		{list, good, false, 1, 0}, {list, bad, false, 1, 1}, {list, bad, true, 0, 0}, {fanout.Case{}, bad, false, 0, 0},
	} {
		if claims := fanoutClaims(c.of, c.f, c.quick); len(claims) != c.claims || failing(claims) != c.fail {
			t.Errorf("%+v quick %v: %v, want %d of %d to fail", c.f, c.quick, claims, c.fail, c.claims)
		}
	}
}

// What a part of a plain query allocates is within its bound at all sizes. Nothing else of the costs is judged here: times are not.
func TestFanoutCostsQuickHold(t *testing.T) {
	progress = t.Output()
	cases := slices.DeleteFunc(fanout.Cases(), func(c fanout.Case) bool { return !c.Judged })
	r, err := fanoutOf(cases, "", "", true)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range r.Claims {
		if !c.Holds {
			t.Error(c.What)
		}
	}
	if len(r.Claims) < 5 {
		t.Errorf("%d claims, the quick form has had more", len(r.Claims))
	}
}
