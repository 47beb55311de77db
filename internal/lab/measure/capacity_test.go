package measure

import (
	"slices"
	"testing"

	"nettlefold/internal/lab/capacity"
)

// The quick form holds: predictions of the largest sizes and the laws that docs/capacity-lookups.md rests on, of deterministic quantities
// only. Times are judged nowhere; curves that have nothing else are not played here.
func TestCapacityQuickHolds(t *testing.T) {
	progress = t.Output()
	curves := slices.DeleteFunc(capacity.Curves(), func(c capacity.Curve) bool { return !c.Judged() })
	r, err := capacityOf(curves, true)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range r.Claims {
		if !c.Holds {
			t.Error(c.What)
		}
	}
	if len(r.Claims) < 40 {
		t.Errorf("%d claims, the quick form has had more", len(r.Claims))
	}
}

// The same of the router fleet, whose laws docs/CAPACITY.md rests on.
func TestFleetQuickHolds(t *testing.T) {
	progress = t.Output()
	r, err := Fleet(true)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range r.Claims {
		if !c.Holds {
			t.Error(c.What)
		}
	}
	if len(r.Claims) < 20 {
		t.Errorf("%d claims, the quick form has had more", len(r.Claims))
	}
}

// A failed prediction and a drifted constant make the measurement fail; what is no more than a time makes no claim.
func TestCapacityClaims(t *testing.T) {
	f := capacity.Fitted{Curve: capacity.Curve{Role: "r", Of: "n"}, Sizes: []int{1, 16}, Values: []float64{1, 16},
		Predicted: 22, Off: 22.0/16 - 1,
		Law: capacity.Law{Form: capacity.Affine, B: 1}, Quantity: capacity.Quantity{Name: "q", Deterministic: true,
			Known: capacity.Law{Form: capacity.Affine, B: 1.3}}}
	if claims := fittedClaims(f); len(claims) != 2 || claims[0].Holds || claims[1].Holds {
		t.Errorf("a prediction off by 0.375 and a constant off by 0.3: %v", claims)
	}
	f.Off, f.Quantity.Known.B = 0.2, 1.2
	if claims := fittedClaims(f); len(claims) != 2 || !claims[0].Holds || !claims[1].Holds {
		t.Errorf("both off by a fifth: %v", claims)
	}
	if f.Quantity.Deterministic = false; len(fittedClaims(f)) != 0 {
		t.Error("a time makes a claim")
	}
}
