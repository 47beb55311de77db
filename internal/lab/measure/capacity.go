package measure

import (
	"fmt"
	"io"
	"math"
	"os"

	"nettlefold/internal/lab/capacity"
	"nettlefold/internal/lab/fleetcost"
)

// progress is where a long measurement says how far it is.
var progress io.Writer = os.Stderr

// Capacity plays each role's cost against what it grows with, and holds the laws, the predictions of the largest sizes and the
// constants of the sums to what is measured.
func Capacity(quick bool) (Result, error) { return capacityOf(capacity.Curves(), quick) }

// Fleet does the same for the programs of the router fleet.
func Fleet(quick bool) (Result, error) {
	r, err := capacityOf(fleetcost.Curves(), quick)
	r.Size = fmt.Sprintf("plan: %.0f mixers, %.0f backends, %.0f requests a second; times are printed, never judged",
		fleetcost.Mixers, fleetcost.Backends, fleetcost.Requests)
	return r, err
}

func capacityOf(curves []capacity.Curve, quick bool) (Result, error) {
	r := Result{Size: fmt.Sprintf("plan: %.0f mixers, %.0f searchers, %.0f queries a second of %.0f parts; times are printed, never judged",
		capacity.Mixers, capacity.Searchers, capacity.Queries, capacity.Parts),
		Header: []string{"role: quantity / grows with", "unit", "sizes", "least", "largest", "predicted", "off", "exponent",
			"law", "at the plan", "known there"}}
	fits, err := capacity.All(curves, quick, progress)
	if err != nil {
		return r, err
	}
	for _, f := range fits {
		r.Rows = append(r.Rows, fittedRow(f))
		r.Claims = append(r.Claims, fittedClaims(f)...)
	}
	return r, nil
}

func fittedRow(f capacity.Fitted) []string {
	short := func(x float64) string {
		if math.IsNaN(x) {
			return "-"
		}
		return fmt.Sprintf("%.4g", x)
	}
	last := len(f.Sizes) - 1
	plan, known := "-", "-"
	if f.Curve.Plan > 0 {
		plan = short(f.Law.At(f.Curve.Plan))
		if f.Quantity.Known != (capacity.Law{}) {
			known = short(f.Quantity.Known.At(f.Curve.Plan))
		}
	}
	return []string{capacity.Key(f.Curve, f.Quantity), f.Quantity.Unit, fmt.Sprintf("%d to %d", f.Sizes[0], f.Sizes[last]),
		short(f.Values[0]), short(f.Values[last]), short(f.Predicted), fmt.Sprintf("%+.1f%%", 100*f.Off),
		fmt.Sprintf("%.3f±%.3f", f.Exponent, f.Error), f.Law.String(), plan, known}
}

// fittedClaims gives what a fitted quantity claims, nothing where it is not judged.
func fittedClaims(f capacity.Fitted) (claims []Claim) {
	if !f.Quantity.Deterministic {
		return nil
	}
	last, key := len(f.Sizes)-1, capacity.Key(f.Curve, f.Quantity)
	claims = append(claims, Claim{fmt.Sprintf("%s: %d predicted to a quarter before it was played: %.4g, measured %.4g, off %+.1f%%",
		key, f.Sizes[last], f.Predicted, f.Values[last], 100*f.Off), f.Holds()})
	if f.Quantity.Known != (capacity.Law{}) {
		claims = append(claims, Claim{fmt.Sprintf("%s: the law that the sums use, %v, is within a quarter of %v at %d: off %+.1f%%",
			key, f.Quantity.Known, f.Law, f.Sizes[last], 100*f.Drift()), f.Keeps()})
	}
	return claims
}
