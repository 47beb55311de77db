package measure

import (
	"testing"

	"nettlefold/internal/lab/fanout"
)

// The model's quick form holds, all in model time from fixed seeds: counts are kept, subsets lie as evenly as the law says, troubles
// don't make mixers rush, and the module gives what the model does.
func TestFanoutModelQuickHolds(t *testing.T) {
	progress = t.Output()
	tables, claims, err := fanoutModel(modelPlanOf(true))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range claims {
		if !c.Holds {
			t.Error(c.What)
		}
	}
	if len(claims) < 29 || len(tables) != 5 {
		t.Errorf("%d claims in %d tables, the quick form has had more", len(claims), len(tables))
	}
}

func holding(claims []Claim) (n int) {
	for _, c := range claims {
		if c.Holds {
			n++
		}
	}
	return n
}

// A subset that ignores a mixer's rank, so that all use the same holders, fails the claims on evenness.
func TestSubsetWithoutRankFails(t *testing.T) {
	alike := func(_, cell, holders, first int) []uint16 { return fanout.Rendezvous(1, cell, holders, first) }
	_, claims, err := sharesOf(modelPlanOf(true), alike)
	if err != nil || len(claims) == 0 || holding(claims) > 0 {
		t.Errorf("%v: %v", claims, err)
	}
}

// Figures of the module that are off those of the model fail, and so does a play that loses count.
func TestFanoutModelClaims(t *testing.T) {
	f := fanout.Planned(1).Scaled(20)
	f.Subset, f.Warm, f.Length = 4, f.Warm/8, f.Length/8
	a := f.Play()
	if claims := agree(4, a, a); len(claims) != 3 || holding(claims) != 3 {
		t.Errorf("a play doesn't agree with itself: %v", claims)
	}
	f.Service *= 2
	if claims := agree(4, a, f.Play()); holding(claims) == 3 {
		t.Errorf("searchers that take twice as long agree: %v", claims)
	}
	if claims := sound("sound", a); holding(claims) != len(claims) {
		t.Errorf("%v", claims)
	}
	for _, plant := range []func(o *fanout.Outcome){
		func(o *fanout.Outcome) { o.Counted++ }, func(o *fanout.Outcome) { o.Stuck++ }, func(o *fanout.Outcome) { o.Answered-- },
		func(o *fanout.Outcome) { *o = fanout.Outcome{} },
	} {
		b := *a
		if plant(&b); holding(sound("planted", &b)) > 0 {
			t.Errorf("%d sent, %d answered, %d out, %d counted, %d stuck is held to be sound", b.Sent, b.Answered, b.Out, b.Counted, b.Stuck)
		}
	}
	if near(1, 1.3, 1.25) || near(0, 0, 2) || !near(1.2, 1, 1.25) {
		t.Error("near")
	}
}
