package capacity

import (
	"io"
	"math"
	"testing"
)

var sizes = []int{10, 20, 40, 80, 160, 320}

func values(law Law) (v []float64) {
	for _, n := range sizes {
		v = append(v, law.At(float64(n)))
	}
	return v
}

// A law that gave the values is found again, in each form.
func TestFitFindsKnownLaws(t *testing.T) {
	for _, want := range []Law{{Power, 3, 1.7, 0}, {Power, 0.02, -0.5, 0}, {Affine, 1000, 3, 0}, {Affine, 0, 7, 0},
		{Quadratic, 500, 2, 0.25}, {Flat, 12, 0, 0}} {
		got, err := Fit(want.Form, sizes, values(want))
		if err != nil {
			t.Fatal(want, err)
		}
		for _, n := range []float64{1, 37, 320, 5000} {
			if d := off(got.At(n), want.At(n)); math.Abs(d) > 1e-6 {
				t.Errorf("%v: found %v, off %v at %v", want, got, d, n)
			}
		}
	}
	exponent, fault := slope(sizes, values(Law{Power, 3, 1.7, 0}))
	if math.Abs(exponent-1.7) > 1e-9 || fault > 1e-9 {
		t.Errorf("exponent %v±%v, want 1.7±0", exponent, fault)
	}
	noisy := values(Law{Power, 3, 1, 0})
	for i := range noisy {
		noisy[i] *= 1 + 0.1*float64(1-2*(i%2))
	}
	if exponent, fault = slope(sizes, noisy); math.Abs(exponent-1) > 3*fault || fault < 0.01 || fault > 0.1 {
		t.Errorf("exponent of values off by a tenth %v±%v", exponent, fault)
	}
}

// What has no law is an error, not a figure.
func TestFitRefuses(t *testing.T) {
	if _, err := Fit(Power, sizes, []float64{1, 2, 3, 0, 5, 6}); err == nil {
		t.Error("a power law through zero")
	}
	if _, err := Fit(Affine, sizes[:3], []float64{1, 2, 3}); err == nil {
		t.Error("a law of three values")
	}
	c := Curve{Sizes: []int{1, 2, 4, 8, 15}, Quantities: []Quantity{{Form: Power}}, Play: func(int) ([]float64,
		error) {
		return []float64{1}, nil
	}}
	if _, err := c.Run(false, io.Discard); err == nil {
		t.Error("a curve over less than a factor of 16")
	}
}

// planted gives a curve of known values.
func planted(form Form, deterministic bool, known Law, play func(n float64) float64) Curve {
	return Curve{Role: "r", Of: "n", Sizes: sizes, Quick: sizes,
		Quantities: []Quantity{{Name: "q", Form: form, Deterministic: deterministic, Known: known}},
		Play:       func(size int) ([]float64, error) { return []float64{play(float64(size))}, nil }}
}

// A law of the wrong exponent fails its prediction, and a constant that has drifted fails too; neither is judged of times.
func TestPlantedFaultsFail(t *testing.T) {
	square := func(n float64) float64 { return 1000 + n*n }
	for _, c := range []struct {
		name        string
		curve       Curve
		holds, keep bool
	}{
		{"true", planted(Quadratic, true, Law{Quadratic, 1000, 0, 1}, square), true, true},
		{"taken for affine", planted(Affine, true, Law{}, square), false, true},
		{"taken for a power", planted(Power, true, Law{}, square), false, true},
		{"jumps at the largest", planted(Power, true, Law{}, func(n float64) float64 {
			if n > 300 {
				return 2 * n
			}
			return n
		}), false, true},
		{"drifted", planted(Affine, true, Law{Affine, 0, 7, 0}, func(n float64) float64 { return 5 * n }), true, false},
		{"drifted by a tenth", planted(Affine, true, Law{Affine, 0, 5.5, 0}, func(n float64) float64 { return 5 * n }), true, true},
		{"a time", planted(Affine, false, Law{Affine, 0, 7, 0}, square), true, true},
	} {
		fits, err := c.curve.Run(true, io.Discard)
		if err != nil {
			t.Fatal(c.name, err)
		}
		if f := fits[0]; f.Holds() != c.holds || f.Keeps() != c.keep {
			t.Errorf("%s: holds %v (off %v), keeps %v (drift %v)", c.name, f.Holds(), f.Off, f.Keeps(), f.Drift())
		}
	}
}
