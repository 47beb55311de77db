// Package capacity measures what each role of an installation costs against what it grows with, fits a law to it, and reckons
// from the laws what the operators' plan for two years on asks of each role (size.go, sums.go).
//
// What is played are hollow processes: the program's real code of the list reader, the module and its router, the settings,
// roster, desk, rights, site judgement and sharing. Left out: sockets to searchers and clients, the frames on them, HTTP, and
// the machine's own part of them (kernel, TLS). Many share one process; over loopback sockets only where a socket is what is
// measured, in model time where it is not.
//
// # How a curve is added
//
// Write a function that gives []Curve and add it to sources in curves.go. A curve is one play at several sizes, ascending, over
// a factor of 16 or more and five or more of them; a play gives one value for each of its quantities, in their order:
//
//	Curve{
//		Role: "mixer", Of: "members", Plan: Mixers,
//		Sizes: []int{32, 64, 128, 256, 512, 1024}, Quick: []int{16, 32, 64, 128, 256},
//		Quantities: []Quantity{
//			{Name: "roster: bytes held", Unit: "B", Form: Affine, Deterministic: true, Known: Law{Affine, 2000, 312, 0}},
//			{Name: "roster: s to learn of all", Unit: "s", Form: Power},
//		},
//		Play: func(size int) ([]float64, error) { ... },
//	}
//
// Plays run one after the other with nothing beside them, so a play may count allocations of the whole process (Allocated).
// The form of a law belongs to the definition: it is chosen from what the code does, never after the largest size was seen.
// The largest size is predicted by a fit to the others before it is played. Only deterministic quantities (bytes, messages,
// rows, operations, allocations; model time) make claims; times and processor time are printed. Known is the law of the last
// long run, which the sums use: its key is Key(curve, quantity).
package capacity

import (
	"fmt"
	"io"
	"math"
)

// Within is how far a prediction, or a known law, of a deterministic quantity may be off, as a share of what is measured.
const Within = 0.25

// Curve is one play at several sizes.
type Curve struct {
	Role string  // whose cost it is: "mixer", "searcher", "discovery", "agent", "control", "front", "store"
	Of   string  // what a size counts: "searchers", "members", "sites", "parts", "changes", "restarts"
	Plan float64 // of the operators' plan (size.go), 0: it names none
	// Sizes are those of the long form, Quick those of the quick one; ascending. The last is predicted before it is played.
	Sizes, Quick []int
	Quantities   []Quantity
	Play         func(size int) ([]float64, error) // one value a quantity
}

// Quantity is one thing that a play measures.
type Quantity struct {
	Name, Unit    string
	Form          Form
	Deterministic bool // judged; else printed only
	Known         Law  // of the last long run, what the sums use; none: nothing is held to it
}

// Key names a quantity of a curve, as pages and constants do.
func Key(c Curve, q Quantity) string { return c.Role + ": " + q.Name + " / " + c.Of }

// Fitted is a quantity after its curve was played.
type Fitted struct {
	Curve     Curve
	Quantity  Quantity
	Sizes     []int
	Values    []float64
	Predicted float64 // for the largest size, before it was played
	Off       float64 // Predicted over measured, less one
	Law       Law     // by all sizes, the largest too
	Exponent  float64 // slope in logs over all sizes, whatever the form
	Error     float64 // standard error of Exponent
}

// Holds tells whether the prediction is within bounds; one that is not judged always is.
func (f Fitted) Holds() bool { return !f.Quantity.Deterministic || math.Abs(f.Off) <= Within }

// Drift is how far the known law is off what is fitted now, at the largest size that was played, as a share of the fitted.
func (f Fitted) Drift() float64 {
	n := float64(f.Sizes[len(f.Sizes)-1])
	return off(f.Quantity.Known.At(n), f.Law.At(n))
}

// Keeps tells whether the known law is within bounds of what is fitted now; without one, or not judged, it is.
func (f Fitted) Keeps() bool {
	return !f.Quantity.Deterministic || f.Quantity.Known == (Law{}) || math.Abs(f.Drift()) <= Within
}

// off gives a over b, less one; nothing off where both are zero.
func off(a, b float64) float64 {
	if a == b {
		return 0
	}
	return a/b - 1
}

// Run plays a curve and fits its quantities. It writes how far it is.
func (c Curve) Run(quick bool, progress io.Writer) ([]Fitted, error) {
	sizes := c.Sizes
	if quick {
		sizes = c.Quick
	}
	if len(sizes) < 5 || sizes[len(sizes)-1] < 16*sizes[0] {
		return nil, fmt.Errorf("%s of %s: sizes %v are fewer than five or span less than a factor of 16", c.Role, c.Of, sizes)
	}
	fits := make([]Fitted, len(c.Quantities))
	for i, q := range c.Quantities {
		fits[i] = Fitted{Curve: c, Quantity: q, Sizes: sizes}
	}
	for k, size := range sizes {
		last := k == len(sizes)-1
		for i := 0; last && i < len(fits); i++ {
			f := &fits[i]
			law, err := Fit(f.Quantity.Form, sizes[:k], f.Values)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", Key(c, f.Quantity), err)
			}
			f.Predicted = law.At(float64(size))
		}
		fmt.Fprintf(progress, "%s by %s: size %d, %d of %d\n", c.Role, c.Of, size, k+1, len(sizes))
		values, err := c.Play(size)
		if err != nil {
			return nil, fmt.Errorf("%s of %d %s: %w", c.Role, size, c.Of, err)
		}
		if len(values) != len(fits) {
			return nil, fmt.Errorf("%s of %d %s: %d values for %d quantities", c.Role, size, c.Of, len(values), len(fits))
		}
		for i, v := range values {
			fits[i].Values = append(fits[i].Values, v)
		}
	}
	for i := range fits {
		f := &fits[i]
		var err error
		if f.Law, err = Fit(f.Quantity.Form, sizes, f.Values); err != nil {
			return nil, fmt.Errorf("%s: %w", Key(c, f.Quantity), err)
		}
		f.Off = off(f.Predicted, f.Values[len(f.Values)-1])
		f.Exponent, f.Error = slope(sizes, f.Values)
	}
	return fits, nil
}
